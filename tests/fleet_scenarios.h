// Jobs and faults that the tests of a fleet share.
#pragma once

#include "fleet_faults.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <functional>
#include <set>
#include <string>
#include <vector>

namespace lovage::test {

using std::chrono::seconds;

constexpr Traffic framesOnly {false, true};
constexpr Traffic datagramsOnly {true, false};

// A small fleet in which VMs still follow only some of the others.
constexpr FleetOptions twoDataCentres {2, 7};

// Runs the fleet until the caller of the job has a result, at most for twice its deadline.
inline void runUntilEnded(FleetWorld &world)
{
    for (int half = 0; half < 16 && !world.callers.isEnded("job"); ++half)
        world.time.runFor(milliseconds(500));
}

// Reports every violation that the world has recorded.
inline void checkRules(const FleetWorld &world)
{
    for (const std::string &violation : world.violations)
        BOOST_ERROR(violation);
}

inline FleetJob makeJob(const std::string &id, Duration runTime, Duration deadline,
                        std::vector<size_t> vms = {})
{
    FleetJob job;
    job.id = id;
    job.kind = {1000, runTime};
    job.deadline = deadline;
    job.vms = std::move(vms);
    return job;
}

inline uint64_t seedFrom(const char *variable, uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

// Runs load and random faults. LOVAGE_FLEET_FIRST_SEED and LOVAGE_FLEET_LAST_SEED select other
// seeds.
inline void runRandomFaults(FleetOptions options, const FleetFaultOptions &faults = {})
{
    const uint64_t last = seedFrom("LOVAGE_FLEET_LAST_SEED", 6);
    for (uint64_t seed = seedFrom("LOVAGE_FLEET_FIRST_SEED", 1); seed <= last; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            options.seed = seed;
            FleetWorld world(options);
            FleetFaults(world, options, faults).run();
            BOOST_TEST_MESSAGE(fmt::format(
                    "seed {}: {} jobs, {} completed, {} ended, {} violations, {} starts in "
                    "evacuated data centres",
                    seed, world.callers.jobCount(), world.callers.completedCount(),
                    world.callers.endedCount(), world.violations.size(), world.startsInEvacuated));
            BOOST_TEST(world.callers.endedCount() == world.callers.jobCount());
            checkRules(world);
        }
    }
}

// A job that a VM without servers has offered to the pool of its data centre. If the caller submits
// it again, it does so through another data centre. The run is long enough to overlap with one that
// the second submission starts.
struct OfferedJob
{
    explicit OfferedJob(FleetWorld &world, Duration age = milliseconds(100))
        : entry(world.otherVmOf(0)), pool(world.holderOf(0)), other(world.otherVmOf(1))
    {
        world.callers.submit(makeJob("job", seconds(2), seconds(4), {entry, other}));
        world.time.runFor(age);
        BOOST_REQUIRE(world.servers.vmRunning("job") == world.vm(pool).name());
    }

    size_t entry; // VM that has the caller's connection
    size_t pool;  // VM whose pool runs the job
    size_t other; // VM that gets the job if the caller submits it again
};

// Ages of an offer at which a fault strikes. They cover the interval of the reports between VMs.
inline std::vector<Duration> offerAges()
{
    std::vector<Duration> ages;
    for (int64_t age = 5; age <= 350; age += 45)
        ages.emplace_back(milliseconds(age));
    return ages;
}

// Runs a fault against a job at each of these ages.
inline void runAtEachAge(const std::function<void(FleetWorld &, const OfferedJob &)> &fault,
                         const FleetOptions &options = twoDataCentres)
{
    for (const Duration age : offerAges()) {
        BOOST_TEST_CONTEXT("age of the offer " << age.count() << " us")
        {
            FleetWorld world(options);
            const OfferedJob job(world, age);
            fault(world, job);
            runUntilEnded(world);
            BOOST_TEST(world.callers.isEnded("job"));
            checkRules(world);
        }
    }
}

// Returns a VM of the same data centre that the given VM does not follow.
inline size_t vmNotFollowedBy(FleetWorld &world, size_t follower)
{
    std::set<HostId> followed;
    world.network.datagramFilter = [&](HostId from, HostId to, std::string &bytes) {
        const auto message = decodeMessage(bytes);
        if (from == world.vm(follower).host() && std::get<VmReport>(message.value()).isFollowing)
            followed.insert(to);
        return true;
    };
    world.time.runFor(seconds(1));
    world.network.datagramFilter = nullptr;
    for (size_t vm = 0; vm < world.vmCount(); ++vm) {
        if (vm != follower && world.vm(vm).dataCentre() == world.vm(follower).dataCentre()
            && !followed.contains(world.vm(vm).host()))
            return vm;
    }
    BOOST_FAIL("every VM is followed");
    return 0;
}

// Returns a filter that makes the reports of a VM to another one say that it does not follow it.
inline auto withoutFollowing(FleetWorld &world, size_t from, size_t to)
{
    return [sender = world.vm(from).host(),
            receiver = world.vm(to).host()](HostId host, HostId target, std::string &bytes) {
        if (host != sender || target != receiver)
            return true;
        auto message = decodeMessage(bytes);
        VmReport &report = std::get<VmReport>(message.value());
        report.isFollowing = false;
        bytes = encodeMessage(report);
        return true;
    };
}

// Lets the entry VM lose power, and cuts the pool off from its server after a delay.
inline void cutServerAndKill(FleetWorld &world, const OfferedJob &job, Duration delay)
{
    const HostId server = world.servers.hostOf(world.servers.serversRunning("job").front());
    world.kill(job.entry, true);
    world.time.runFor(delay);
    world.network.cut(world.vm(job.pool).host(), server);
}

// Pauses a VM, submits a job to it meanwhile, and lets the caller give up and submit the job to
// another data centre. The VM wakes up while the second submission runs.
inline void pauseWithUnreadRequest(CloseNotice notice)
{
    for (int64_t pause = 2000; pause <= 5000; pause += 600) {
        BOOST_TEST_CONTEXT("pause of " << pause << " ms")
        {
            FleetWorld world(twoDataCentres);
            const size_t entry = world.otherVmOf(0);
            FleetJob job = makeJob("job", seconds(2), seconds(4), {entry, world.otherVmOf(1)});
            job.closeNotice = notice;
            world.pauseFor(entry, milliseconds(pause));
            // The caller leaves 1.6 s before the VM wakes up, so that its second submission has
            // been running for 0.3 s then.
            world.time.runFor(milliseconds(pause - 1900));
            world.callers.submit(job);
            world.time.runFor(milliseconds(300));
            const Duration untilAwake = milliseconds(1600);
            world.callers.breakConnectionsOf(
                    "job", notice ? CloseNotice(*notice + untilAwake) : std::nullopt);
            runUntilEnded(world);
            checkRules(world);
        }
    }
}

} // namespace lovage::test
