// Actions that a single thread runs when they are due.
#pragma once

#include "lovage/core.h"

#include <functional>
#include <map>
#include <thread>

namespace lovage::soak {

class Schedule
{
public:
    void runAfter(Duration time, std::function<void()> action)
    {
        actions_.emplace(currentTime() + time, std::move(action));
    }
    // Waits, and runs what is due meanwhile.
    void wait(Duration time)
    {
        const Time end = currentTime() + time;
        while (currentTime() < end) {
            std::this_thread::sleep_for(pollInterval);
            runDue();
        }
    }
    // Runs all actions in order, whether they are due or not.
    void runAll()
    {
        for (auto &[at, action] : actions_)
            action();
        actions_.clear();
    }

private:
    static constexpr std::chrono::milliseconds pollInterval {5};

    void runDue()
    {
        while (!actions_.empty() && actions_.begin()->first <= currentTime()) {
            actions_.begin()->second();
            actions_.erase(actions_.begin());
        }
    }

    std::multimap<Time, std::function<void()>> actions_;
};

} // namespace lovage::soak
