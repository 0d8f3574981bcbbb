// A clock that a test advances, with events that are due at given times.
#pragma once

#include "lovage/node.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <queue>
#include <vector>

namespace lovage::test {

// Events that are due at the same time run in the order in which they were scheduled.
class VirtualTime : public Clock
{
public:
    Time now() const override { return now_; }

    void schedule(Time at, std::function<void()> action)
    {
        events_.push({std::max(at, now_), nextNumber_++, std::move(action)});
    }
    void scheduleAfter(Duration delay, std::function<void()> action)
    {
        schedule(now_ + delay, std::move(action));
    }
    void runFor(Duration time)
    {
        const Time end = now_ + time;
        while (!events_.empty() && events_.top().at <= end) {
            now_ = events_.top().at;
            const auto action = events_.top().action;
            events_.pop();
            action();
        }
        now_ = end;
    }

    // Milliseconds since the start of the test.
    int64_t elapsedMs() const { return toUnixMillis(now_) - startMs; }
    // Prints the text if the test runs with --log_level=message.
    void note(const std::string &text) const { BOOST_TEST_MESSAGE(elapsedMs() << " ms: " << text); }

private:
    static constexpr int64_t startMs = 1'700'000'000'000;

    struct Event
    {
        Time at;
        uint64_t number;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    Time now_ = fromUnixMillis(startMs);
    std::priority_queue<Event> events_;
    uint64_t nextNumber_ = 0;
};

} // namespace lovage::test
