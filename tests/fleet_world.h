// A fleet of entry VMs in virtual time, with a network, backend servers, a store and callers. It
// checks that no task runs twice at one time, that a refused job has never run, and that requests
// are answered.
#pragma once

#include "fleet_callers.h"

#include <boost/test/unit_test.hpp>

namespace lovage::test {

struct FleetOptions
{
    size_t dataCentres = 5;
    size_t vmsEach = 4;
    size_t serversEach = 4;
    uint32_t serverMilliCores = 4000;
    uint64_t seed = 1;
    // Time limit of the evacuation of a data centre, if data centres are evacuated.
    std::optional<Duration> evacuationLimit {};
};

class FleetWorld
{
public:
    explicit FleetWorld(const FleetOptions &options = {})
        : network(time, options.seed), servers(time, network),
          callers(time, vms_, violations, options.seed), random_(options.seed),
          evacuationLimit_(options.evacuationLimit)
    {
        setLogLevel(LogLevel::Error);
        servers.kindOf = [this](const std::string &job) { return callers.kindOf(job); };
        servers.onStart = [this](const RunStart &start) {
            callers.recordStart(start);
            if (evacuationLimit_)
                checkEvacuation(start);
        };
        configuration_.version = 1;
        configuration_.queues.push_back(callers.queue);
        for (size_t dataCentre = 0; dataCentre < options.dataCentres; ++dataCentre)
            addDataCentre(fmt::format("dc{}", dataCentre), options);
        for (const auto &vm : vms_)
            vm->start(configuration_);
        introduceVms();
        time.runFor(settleTime);
    }

    VirtualTime time;
    VirtualNetwork network;
    FleetServers servers;
    std::vector<std::string> violations;

private:
    std::vector<std::unique_ptr<FleetVm>> vms_;

public:
    FleetCallers callers;
    bool isStoreDown = false;
    FleetOperators operators;
    size_t startsInEvacuated = 0; // starts in a data centre while it is evacuated

    size_t vmCount() const { return vms_.size(); }
    FleetVm &vm(size_t index) { return *vms_[index]; }
    size_t indexOf(const std::string &name) const
    {
        const auto found = std::find_if(vms_.begin(), vms_.end(),
                                        [&](const auto &vm) { return vm->name() == name; });
        BOOST_REQUIRE(found != vms_.end());
        return static_cast<size_t>(found - vms_.begin());
    }
    // Returns the VM that holds the servers of a data centre.
    size_t holderOf(size_t dataCentre) const
    {
        const auto members = holders_.at(fmt::format("dc{}", dataCentre)).members();
        BOOST_REQUIRE(!members.empty());
        return indexOf(members.front());
    }
    // Returns a VM of the data centre that holds no servers. `skip` selects a further one.
    size_t otherVmOf(size_t dataCentre, size_t skip = 0) const
    {
        const size_t holder = holderOf(dataCentre);
        for (size_t vm = 0; vm < vms_.size(); ++vm) {
            if (vms_[vm]->dataCentre() == vms_[holder]->dataCentre() && vm != holder && skip-- == 0)
                return vm;
        }
        BOOST_FAIL("too few VMs");
        return 0;
    }

    // Kills the process of a VM. Its peers and callers notice it at once, unless it loses power.
    void kill(size_t vm, bool losesPower = false)
    {
        time.note(fmt::format("{} {}", vms_[vm]->name(), losesPower ? "loses power" : "is killed"));
        vms_[vm]->kill(losesPower);
        callers.breakConnections(vm, std::nullopt);
    }
    void restart(size_t vm)
    {
        time.note(vms_[vm]->name() + " restarts");
        vms_[vm]->start(configuration_);
        introduceVms();
    }
    void pauseFor(size_t vm, Duration time)
    {
        FleetVm &paused = *vms_[vm];
        this->time.note(paused.name() + " is paused");
        paused.pause();
        this->time.scheduleAfter(time, [this, &paused, generation = paused.generation()] {
            if (generation != paused.generation())
                return;
            this->time.note(paused.name() + " wakes up");
            paused.resume();
        });
    }
    // Resets every connection of a VM: those of its callers first, then those of its peers.
    void resetConnections(size_t vm, CloseNotice notice)
    {
        time.note("the connections of " + vms_[vm]->name() + " are reset");
        callers.breakConnections(vm, notice);
        network.resetConnections(vms_[vm]->host());
    }
    // Cuts the path between two VMs for a time.
    void cutOneWay(size_t from, size_t to, Traffic traffic, Duration time)
    {
        const HostId sender = vms_[from]->host();
        const HostId receiver = vms_[to]->host();
        network.cut(sender, receiver, traffic);
        this->time.scheduleAfter(time, [this, sender, receiver, traffic] {
            network.heal(sender, receiver, traffic);
        });
    }
    void cutBothWays(size_t left, size_t right, Traffic traffic, Duration time)
    {
        cutOneWay(left, right, traffic, time);
        cutOneWay(right, left, traffic, time);
    }

private:
    static constexpr Duration settleTime = std::chrono::milliseconds(2500);

    void addDataCentre(const std::string &name, const FleetOptions &options)
    {
        holders_.emplace(name, FleetGroup(NodeSettings().shardCount));
        for (size_t server = 0; server < options.serversEach; ++server)
            servers.add(fmt::format("{}-s{}", name, server), name, options.serverMilliCores,
                        nextClock());
        for (size_t i = 0; i < options.vmsEach; ++i) {
            NodeSettings settings;
            settings.name = fmt::format("vm{}", vms_.size());
            settings.dataCentre = name;
            settings.peer = {fmt::format("10.0.0.{}", vms_.size() + 1), 7000};
            settings.evacuationLimit = options.evacuationLimit;
            vms_.push_back(std::make_unique<FleetVm>(
                    FleetEnvironment {time, network, servers, holders_, isStoreDown, operators},
                    settings, nextClock()));
        }
    }
    // The clocks of VMs and servers differ by seconds, and their rates by up to 2%.
    SkewedClock nextClock()
    {
        constexpr double maxOffsetSeconds = 10;
        constexpr double maxRateError = 0.01;
        const double offset = (random_.unit() * 2 - 1) * maxOffsetSeconds;
        return {time, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(offset)),
                1 + (random_.unit() * 2 - 1) * maxRateError};
    }
    // A VM in touch with the platform must not start a task in an evacuated data centre later than
    // the limit after the request.
    void checkEvacuation(const RunStart &start)
    {
        constexpr Duration stableTime = std::chrono::seconds(4);
        const FleetVm &vm = *vms_[indexOf(start.vm)];
        const auto requested = operators.requestedAt.find(vm.dataCentre());
        if (requested == operators.requestedAt.end())
            return;
        ++startsInEvacuated;
        if (time.now() > requested->second + *evacuationLimit_
            && vm.isInTouchSince(time.now() - stableTime))
            violations.push_back(fmt::format("{} ms: {} starts {} in evacuated {}",
                                             time.elapsedMs(), start.vm, start.task,
                                             vm.dataCentre()));
    }
    // The store lists the VMs that are up.
    void introduceVms()
    {
        std::vector<VmInfo> infos;
        for (const auto &vm : vms_) {
            if (vm->isUp())
                infos.push_back(vm->node().self());
        }
        for (const auto &vm : vms_)
            vm->post([&vm = *vm, infos] { vm.node().setPeers(infos); });
    }

    Random random_;
    std::optional<Duration> evacuationLimit_;
    Configuration configuration_;
    std::map<std::string, FleetGroup> holders_;
};

} // namespace lovage::test
