// Faults of single processes: VMs, backend servers and the store, and of the links of one process.
#pragma once

#include "fleet.h"
#include "platform.h"
#include "schedule.h"

#include <array>
#include <string_view>

namespace lovage::soak {

// What a fault affected, for the log.
struct FaultTarget
{
    std::string name;
    std::chrono::milliseconds time {0}; // 0 for a fault without an end

    auto operator<=>(const FaultTarget &) const = default;
};

inline void stall(Schedule &schedule, Proxy &proxy, LinkMode mode, Duration time)
{
    proxy.setMode(mode);
    schedule.runAfter(time, [&proxy] { proxy.setMode(LinkMode::Open); });
}

class ProcessFaults
{
public:
    // A fault to inject, chosen at random.
    struct Choice
    {
        size_t kind = 0;
        size_t vm = 0;
        size_t server = 0;
        std::chrono::milliseconds time {0};
        LinkMode linkMode = LinkMode::Open;

        auto operator<=>(const Choice &) const = default;
    };

    ProcessFaults(Fleet &fleet, Platform &platform, Schedule &schedule)
        : fleet_(fleet), platform_(platform), schedule_(schedule)
    { }

    Choice choose(Random &random) const
    {
        Choice choice;
        choice.vm = random.below(fleet_.size());
        choice.server = random.below(platform_.serverCount());
        choice.time = std::chrono::milliseconds(300 + static_cast<int>(random.below(4000)));
        choice.linkMode = static_cast<LinkMode>(1 + random.below(4)); // Slow to StallBoth
        choice.kind = random.below(kindNames.size());
        return choice;
    }
    static std::string_view nameOf(const Choice &choice) { return kindNames[choice.kind]; }

    FaultTarget inject(const Choice &choice)
    {
        const std::string vm = Fleet::nameOf(choice.vm);
        const std::string server = "e" + std::to_string(choice.server);
        switch (choice.kind) {
        case 0:
            return fleet_.daemon(choice.vm).kill(), FaultTarget {vm};
        case 1:
            return fleet_.daemon(choice.vm).signal(SIGTERM), FaultTarget {vm};
        case 2:
            return pause(choice), FaultTarget {vm, choice.time};
        case 3:
            stall(schedule_, fleet_.storeProxy(choice.vm), choice.linkMode, choice.time);
            return {vm, choice.time};
        case 4:
            return fleet_.storeProxy(choice.vm).reset(), FaultTarget {vm};
        case 5:
            stall(schedule_, platform_.serverProxy(choice.server), choice.linkMode, choice.time);
            return {server, choice.time};
        case 6:
            return platform_.serverProxy(choice.server).reset(), FaultTarget {server};
        case 7:
            platform_.entries().setStoreDown(true);
            schedule_.runAfter(choice.time, [this] { platform_.entries().setStoreDown(false); });
            return {"store", choice.time};
        case 8:
            return platform_.restartServer(choice.server), FaultTarget {server};
        default:
            return platform_.publishConfig(), FaultTarget {"store"};
        }
    }

private:
    // In the order of the cases in inject().
    static constexpr std::array<std::string_view, 10> kindNames {
            "kill",        "term",         "pause",      "store-link",     "store-reset",
            "server-link", "server-reset", "store-down", "server-restart", "publish"};

    void pause(const Choice &choice)
    {
        Daemon &daemon = fleet_.daemon(choice.vm);
        daemon.signal(SIGSTOP);
        schedule_.runAfter(choice.time, [&daemon] { daemon.signal(SIGCONT); });
    }

    Fleet &fleet_;
    Platform &platform_;
    Schedule &schedule_;
};

} // namespace lovage::soak
