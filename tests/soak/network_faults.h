// Faults of the network between VMs, and between VMs and callers or the store. VMs are affected one
// at a time or with their data centre.
#pragma once

#include "process_faults.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

namespace lovage::soak {

class NetworkFaults
{
public:
    // VMs on one side of a fault.
    struct Side
    {
        std::string name; // of the VM or the data centre
        std::vector<size_t> vms;

        auto operator<=>(const Side &) const = default;
    };
    // A fault to inject, chosen at random.
    struct Choice
    {
        size_t kind = 0;
        Side vm;
        Side dataCentre;
        bool isWhole = false;   // affects the data centre rather than the VM
        bool isOutward = false; // a cut one way affects what the side sends
        std::chrono::milliseconds time {0};

        auto operator<=>(const Choice &) const = default;
    };

    NetworkFaults(const Options &options, Fleet &fleet, Schedule &schedule)
        : options_(options), fleet_(fleet), schedule_(schedule)
    { }

    Choice choose(Random &random) const
    {
        Choice choice;
        choice.kind = random.below(kindNames.size());
        choice.vm = sideOfVm(random.below(fleet_.size()));
        choice.dataCentre = sideOfDataCentre(random.below(dataCentreCount(options_)));
        choice.isWhole = random.unit() < 0.5;
        choice.isOutward = random.unit() < 0.5;
        choice.time = std::chrono::milliseconds(300 + static_cast<int>(random.below(5700)));
        return choice;
    }
    static std::string_view nameOf(const Choice &choice) { return kindNames[choice.kind]; }

    FaultTarget inject(const Choice &choice)
    {
        const Side &side = choice.isWhole ? choice.dataCentre : choice.vm;
        const size_t vm = choice.vm.vms.front();
        switch (choice.kind) {
        case 0:
            return breakBothWays(side, PathFault::Cut, choice.time);
        case 1:
            breakPaths(side, PathFault::Cut, choice.isOutward, choice.time);
            return {(choice.isOutward ? "from-" : "to-") + side.name, choice.time};
        case 2:
            return cutFromStore(choice.dataCentre, choice.time);
        case 3:
            return fleet_.resetConnections(vm), FaultTarget {choice.vm.name};
        case 4:
            return breakBothWays(side, PathFault::HeldFrames, choice.time);
        case 5:
            return breakBothWays(side, PathFault::LostDatagrams, choice.time);
        case 6:
            stall(schedule_, fleet_.callerProxy(vm), LinkMode::StallBoth, choice.time);
            return {choice.vm.name, choice.time};
        case 7:
            return fleet_.callerProxy(vm).resetCallers(), FaultTarget {choice.vm.name};
        default:
            return starve(vm, choice.time), FaultTarget {choice.vm.name, choice.time};
        }
    }

private:
    // In the order of the cases in inject().
    static constexpr std::array<std::string_view, 9> kindNames {
            "cut",         "cut-one-way",    "store-cut",      "reset-connections",
            "frames-held", "datagrams-lost", "callers-silent", "callers-reset",
            "starve"};
    // A starved process stands still for a time that is shorter than the daemons take for a pause.
    static constexpr std::chrono::milliseconds starvedPause {400};
    static constexpr std::chrono::milliseconds starvedRun {20};

    static Side sideOfVm(size_t vm) { return {Fleet::nameOf(vm), {vm}}; }
    Side sideOfDataCentre(size_t dataCentre) const
    {
        Side side {dataCentreName(dataCentre), {}};
        for (size_t vm = 0; vm < fleet_.size(); ++vm) {
            if (fleet_.dataCentreOf(vm) == dataCentre)
                side.vms.push_back(vm);
        }
        return side;
    }

    // Breaks the paths between the side and all other VMs.
    FaultTarget breakBothWays(const Side &side, PathFault fault, std::chrono::milliseconds time)
    {
        breakPaths(side, fault, true, time);
        breakPaths(side, fault, false, time);
        return {side.name, time};
    }
    void breakPaths(const Side &side, PathFault fault, bool isOutward, Duration time)
    {
        for (size_t other = 0; other < fleet_.size(); ++other) {
            if (std::find(side.vms.begin(), side.vms.end(), other) != side.vms.end())
                continue;
            for (const size_t vm : side.vms)
                breakPath(isOutward ? vm : other, isOutward ? other : vm, fault, time);
        }
    }
    void breakPath(size_t from, size_t to, PathFault fault, Duration time)
    {
        fleet_.network().addFault(from, to, fault);
        schedule_.runAfter(
                time, [this, from, to, fault] { fleet_.network().removeFault(from, to, fault); });
    }
    FaultTarget cutFromStore(const Side &side, std::chrono::milliseconds time)
    {
        for (const size_t vm : side.vms)
            stall(schedule_, fleet_.storeProxy(vm), LinkMode::Cut, time);
        return {side.name, time};
    }
    // Lets the daemon run only now and then, as on a machine whose processors are overloaded.
    void starve(size_t vm, std::chrono::milliseconds time)
    {
        Daemon &daemon = fleet_.daemon(vm);
        for (auto at = std::chrono::milliseconds(0); at < time; at += starvedPause + starvedRun) {
            schedule_.runAfter(at, [&daemon] { daemon.signal(SIGSTOP); });
            schedule_.runAfter(at + starvedPause, [&daemon] { daemon.signal(SIGCONT); });
        }
    }

    const Options &options_;
    Fleet &fleet_;
    Schedule &schedule_;
};

} // namespace lovage::soak
