// A random mix of faults and load for a fleet in virtual time.
#pragma once

#include "fleet_world.h"

#include <functional>
#include <vector>

namespace lovage::test {

struct FleetFaultOptions
{
    Duration duration = std::chrono::seconds(10);
    Duration meanFaultInterval = milliseconds(250);
    Duration meanJobInterval = milliseconds(40);
};

// Everything that it does follows from the seed.
class FleetFaults
{
public:
    FleetFaults(FleetWorld &world, const FleetOptions &fleet, FleetFaultOptions options)
        : world_(world), fleet_(fleet), options_(options), random_(fleet.seed),
          evacuationRandom_(~fleet.seed)
    { }

    // Runs the load and the faults, and then waits for the answers.
    void run()
    {
        scheduleJob();
        scheduleFault();
        if (fleet_.evacuationLimit)
            scheduleEvacuation();
        world_.time.runFor(options_.duration);
        isOver_ = true;
        world_.time.runFor(drainTime);
    }

private:
    static constexpr Duration drainTime = std::chrono::seconds(12);

    Duration between(Duration low, Duration high)
    {
        return low + Duration(static_cast<int64_t>(random_.unit() * double((high - low).count())));
    }
    Duration exponential(Duration mean)
    {
        return Duration(static_cast<int64_t>(random_.exponential(double(mean.count()))));
    }
    bool chance(double share) { return random_.unit() < share; }
    size_t anyVm() { return random_.below(world_.vmCount()); }

    void scheduleJob()
    {
        world_.time.scheduleAfter(exponential(options_.meanJobInterval), [this] {
            if (isOver_)
                return;
            submitJob();
            scheduleJob();
        });
    }

    void submitJob()
    {
        FleetJob job;
        job.id = fmt::format("job{}", nextJob_++);
        job.tasks = 1 + static_cast<uint32_t>(random_.below(3));
        job.kind = {500, between(milliseconds(50), milliseconds(2500))};
        job.deadline = job.kind.runTime + between(milliseconds(500), milliseconds(2000));
        job.closeNotice = closeNotice();
        const std::string id = job.id;
        const Duration deadline = job.deadline;
        world_.callers.submit(std::move(job));
        if (chance(0.2))
            world_.time.scheduleAfter(between({}, deadline), [this, id] {
                world_.callers.breakConnectionsOf(id, closeNotice());
            });
    }

    // Most VMs notice immediately that a caller has gone.
    CloseNotice closeNotice()
    {
        return chance(0.7) ? Duration::zero() : between({}, milliseconds(30));
    }

    void scheduleFault()
    {
        world_.time.scheduleAfter(exponential(options_.meanFaultInterval), [this] {
            if (isOver_)
                return;
            injectFault();
            scheduleFault();
        });
    }

    // Requests and withdraws evacuations and cuts VMs off from the operators' records. The numbers
    // have a generator of their own, so that they don't change the other faults of a seed.
    void scheduleEvacuation()
    {
        constexpr double meanIntervalUs = 1'200'000;
        const auto wait =
                Duration(static_cast<int64_t>(evacuationRandom_.exponential(meanIntervalUs)));
        world_.time.scheduleAfter(wait, [this] {
            if (isOver_)
                return;
            if (evacuationRandom_.unit() < 0.4)
                changeEvacuation();
            else
                cutFromStore();
            scheduleEvacuation();
        });
    }
    void changeEvacuation()
    {
        const std::string name = fmt::format("dc{}", evacuationRandom_.below(fleet_.dataCentres));
        const bool isEvacuated = world_.operators.evacuations.dataCentres.contains(name);
        world_.time.note(name + (isEvacuated ? " is used again" : " is evacuated"));
        if (isEvacuated)
            world_.operators.withdraw(name);
        else
            world_.operators.evacuate(name, world_.time.now());
        if (evacuationRandom_.unit() < 0.2) { // changed twice in a row
            world_.operators.withdraw(name);
            world_.operators.evacuate(name, world_.time.now());
        }
    }
    void cutFromStore()
    {
        FleetVm &vm = world_.vm(evacuationRandom_.below(world_.vmCount()));
        world_.time.note(vm.name() + " is cut off from the store");
        vm.setStoreCut(true);
        const auto time = Duration(static_cast<int64_t>(evacuationRandom_.exponential(3e6)));
        world_.time.scheduleAfter(time, [&vm] { vm.setStoreCut(false); });
    }

    void injectFault()
    {
        static const std::vector<void (FleetFaults::*)()> faults = {
                &FleetFaults::killVm,    &FleetFaults::pauseVm,    &FleetFaults::starveVm,
                &FleetFaults::resetVm,   &FleetFaults::cutCentres, &FleetFaults::isolateVm,
                &FleetFaults::cutTwoVms, &FleetFaults::delayLinks, &FleetFaults::cutServer,
                &FleetFaults::stopStore,
        };
        (this->*faults[random_.below(faults.size())])();
    }

    void killVm()
    {
        const size_t vm = anyVm();
        if (!world_.vm(vm).isUp())
            return;
        world_.kill(vm, chance(0.5));
        world_.time.scheduleAfter(between(milliseconds(200), milliseconds(4000)),
                                  [this, vm] { world_.restart(vm); });
    }
    void pauseVm()
    {
        const size_t vm = anyVm();
        if (world_.vm(vm).isUp() && !world_.vm(vm).isPaused())
            world_.pauseFor(vm, between(milliseconds(100), milliseconds(5000)));
    }
    void starveVm()
    {
        FleetVm &vm = world_.vm(anyVm());
        vm.setSliceInterval(between(milliseconds(50), milliseconds(900)));
        world_.time.note(vm.name() + " is starved");
        world_.time.scheduleAfter(between(milliseconds(500), milliseconds(3000)),
                                  [&vm] { vm.setSliceInterval({}); });
    }
    void resetVm() { world_.resetConnections(anyVm(), closeNotice()); }

    Traffic anyTraffic()
    {
        static constexpr std::array<Traffic, 3> kinds {
                {{true, true}, {true, false}, {false, true}}};
        return kinds.at(random_.below(kinds.size()));
    }
    void note(std::string_view what, size_t index, Traffic traffic, bool isOneWay, Duration time)
    {
        world_.time.note(fmt::format("{} {} for {} us:{}{}{}", what, index, time.count(),
                                     traffic.datagrams ? " datagrams" : "",
                                     traffic.streams ? " streams" : "",
                                     isOneWay ? ", one way" : ""));
    }
    void cut(size_t left, size_t right, Traffic traffic, bool isOneWay, Duration time)
    {
        if (isOneWay)
            world_.cutOneWay(left, right, traffic, time);
        else
            world_.cutBothWays(left, right, traffic, time);
    }
    template<class Function>
    void forEachPair(size_t leftCentre, size_t rightCentre, Function function)
    {
        const auto vmsEach = fleet_.vmsEach;
        for (size_t left = 0; left < vmsEach; ++left) {
            for (size_t right = 0; right < vmsEach; ++right)
                function(leftCentre * vmsEach + left, rightCentre * vmsEach + right);
        }
    }
    void cutCentres()
    {
        const size_t centre = random_.below(fleet_.dataCentres);
        const Traffic traffic = anyTraffic();
        const bool isOneWay = chance(0.3);
        const Duration time = between(milliseconds(200), milliseconds(4500));
        note("cut of data centre", centre, traffic, isOneWay, time);
        for (size_t other = 0; other < fleet_.dataCentres; ++other) {
            if (other != centre)
                forEachPair(centre, other, [&](size_t left, size_t right) {
                    cut(left, right, traffic, isOneWay, time);
                });
        }
    }
    void isolateVm()
    {
        const size_t vm = anyVm();
        const Traffic traffic = anyTraffic();
        const bool isOneWay = chance(0.3);
        const Duration time = between(milliseconds(200), milliseconds(3000));
        note("cut of VM", vm, traffic, isOneWay, time);
        for (size_t other = 0; other < world_.vmCount(); ++other) {
            if (other != vm)
                cut(vm, other, traffic, isOneWay, time);
        }
    }
    void cutTwoVms()
    {
        const size_t left = anyVm();
        const size_t right = anyVm();
        if (left == right)
            return;
        world_.time.note(fmt::format("cut between vm{} and vm{}", left, right));
        cut(left, right, anyTraffic(), chance(0.5), between(milliseconds(200), milliseconds(3000)));
    }
    void delayLinks()
    {
        const size_t centre = random_.below(fleet_.dataCentres);
        const size_t other = random_.below(fleet_.dataCentres);
        const Duration delay = between(milliseconds(20), milliseconds(400));
        const auto setDelay = [this, centre, other](Duration value) {
            forEachPair(centre, other, [&](size_t left, size_t right) {
                world_.network.setExtraDelay(world_.vm(left).host(), world_.vm(right).host(),
                                             value);
            });
        };
        world_.time.note(fmt::format("links from data centre {} to {} are {} us late", centre,
                                     other, delay.count()));
        setDelay(delay);
        world_.time.scheduleAfter(between(milliseconds(500), milliseconds(3000)),
                                  [setDelay] { setDelay({}); });
    }
    void cutServer()
    {
        const auto infos = world_.servers.infos();
        const std::string id = infos[random_.below(infos.size())].id;
        const size_t index = anyVm();
        world_.time.note(fmt::format("cut between vm{} and {}", index, id));
        const HostId server = world_.servers.hostOf(id);
        const HostId vm = world_.vm(index).host();
        world_.network.cut(vm, server);
        world_.time.scheduleAfter(between(milliseconds(100), milliseconds(2000)),
                                  [this, vm, server] { world_.network.heal(vm, server); });
    }
    void stopStore()
    {
        world_.time.note("the store is down");
        world_.isStoreDown = true;
        world_.time.scheduleAfter(between(milliseconds(500), milliseconds(4000)),
                                  [this] { world_.isStoreDown = false; });
    }

    FleetWorld &world_;
    FleetOptions fleet_;
    FleetFaultOptions options_;
    Random random_;
    Random evacuationRandom_;
    size_t nextJob_ = 0;
    bool isOver_ = false;
};

} // namespace lovage::test
