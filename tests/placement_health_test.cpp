#define BOOST_TEST_MODULE placement_health
#include "placement_rig.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::test;
using namespace std::chrono_literals;

namespace {

const TaskRequirements healthy = needOf("screen");
const TaskRequirements otherHealthy = needOf("echo", "owner-b");

// Runs random tasks on the chosen servers. All tasks fail on a failed server; on other servers a
// task fails with the probability of its workload.
class FaultSimulation
{
public:
    FaultSimulation(uint32_t servers, uint64_t seed)
        : rig(servers, {}, seed), random(seed), failsFromStep(servers, UINT64_MAX), failed(servers)
    { }

    void step(uint64_t number, const std::vector<std::pair<TaskRequirements, double>> &workloads)
    {
        rig.now += 10ms;
        const auto &[need, failureProbability] = workloads[random.below(workloads.size())];
        if (const auto server = rig.start(need)) {
            const bool isServerFailed = number >= failsFromStep[*server];
            const bool fails = isServerFailed || random.unit() < failureProbability;
            const auto runTimeMs = fails ? 1 : 40 + static_cast<int64_t>(random.below(50));
            const Time end = rig.now + std::chrono::milliseconds(runTimeMs);
            running.push_back({*server, need, fails, rig.now, end});
            failed[*server] += isServerFailed && !rig.placement.health(*server).ejected;
        }
        std::erase_if(running, [&](const Running &task) {
            if (task.end > rig.now)
                return false;
            rig.placement.release(task.server, task.need,
                                  task.fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded,
                                  task.end - task.begin, rig.now);
            return true;
        });
        maxEjected = std::max(maxEjected, rig.placement.ejectedCount());
    }

    struct Running
    {
        uint32_t server;
        TaskRequirements need;
        bool fails;
        Time begin;
        Time end;
    };
    PlacementRig rig;
    Random random;
    std::vector<uint64_t> failsFromStep; // step from which all tasks fail, by server
    std::vector<uint32_t> failed;        // tasks failed on a failed server before its ejection
    std::vector<Running> running;
    size_t maxEjected = 0;
};

} // namespace

// Guards against a server that fails all tasks quickly and gets most of them because it is always
// free.
BOOST_AUTO_TEST_CASE(blackHoleIsEjectedAfterFiveFailures)
{
    PlacementRig rig(10);
    rig.learnRunTimes(healthy, std::vector<Duration>(10, 50ms), 2);
    for (int failure = 1; failure <= 5; ++failure) {
        BOOST_TEST(!rig.placement.health(3).ejected);
        rig.run(3, healthy, AttemptOutcome::Failed, 1ms);
        rig.run(4, healthy, AttemptOutcome::Succeeded, 50ms);
    }
    BOOST_TEST(rig.placement.health(3).ejected);
    for (int i = 0; i < 72; ++i) {
        const auto server = rig.start(healthy);
        BOOST_TEST((!server || *server != 3));
    }
}

// Guards against more failures than the ejection limit on a server that had several outstanding
// tasks when it began to fail: from the first failure on, the outstanding tasks count against the
// limit too.
BOOST_AUTO_TEST_CASE(failuresOfABlackHoleAreBoundedWithStartsInFlight)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FaultSimulation simulation(12, seed);
        simulation.failsFromStep[0] = 200;
        for (uint64_t number = 0; number < 800; ++number)
            simulation.step(number, {{healthy, 0}, {otherHealthy, 0}});
        BOOST_TEST(simulation.failed[0] <= 5, "seed " << seed << ": " << simulation.failed[0]);
        BOOST_TEST(simulation.maxEjected <= 1, "seed " << seed);
    }
}

// Guards against a second batch for a server that has just begun to fail: after the first failure
// at most as many tasks may be outstanding as failures are missing to an ejection.
BOOST_AUTO_TEST_CASE(suspectHasAtMostTheMissingFailuresOutstanding)
{
    PlacementRig rig(4);
    rig.learnRunTimes(healthy, std::vector<Duration>(4, 50ms), 6);
    rig.run(0, healthy, AttemptOutcome::Failed, 1ms);
    rig.run(1, healthy, AttemptOutcome::Succeeded, 50ms);
    TaskRequirements longQueueNeed = healthy;
    longQueueNeed.waiting = 1000;
    while (rig.start(longQueueNeed)) { }
    BOOST_TEST(rig.placement.health(0).outstanding == 4U);
    BOOST_TEST(rig.placement.health(1).outstanding == 8U);
}

// Guards against a faulty workload that reduces the tasks of other workloads on healthy servers.
BOOST_AUTO_TEST_CASE(faultyWorkloadDoesNotRestrictServers)
{
    PlacementRig rig(6);
    const TaskRequirements faulty = needOf("broken", "owner-c");
    rig.learnRunTimes(healthy, std::vector<Duration>(6, 50ms), 6);
    for (int round = 0; round < 8; ++round) {
        for (uint32_t server = 0; server < 6; ++server)
            rig.run(server, faulty, AttemptOutcome::Failed, 1ms);
    }
    TaskRequirements longQueueNeed = healthy;
    longQueueNeed.waiting = 1000;
    int started = 0;
    while (rig.start(longQueueNeed))
        ++started;
    BOOST_TEST(started == 48);
}

// Guards against a large first batch on a new server, all of which could fail before the first
// result is known.
BOOST_AUTO_TEST_CASE(serverWithoutSuccessGetsFewTasks)
{
    PlacementRig rig(1);
    int started = 0;
    while (rig.start(healthy))
        ++started;
    BOOST_TEST(started == 5);
}

// Guards against ejecting healthy servers because of workloads that fail often or always.
BOOST_AUTO_TEST_CASE(faultyWorkloadEjectsNoServer)
{
    const TaskRequirements faulty = needOf("broken", "owner-c");
    const TaskRequirements otherFaulty = needOf("broken-too", "owner-d");
    for (const double failureProbability : {0.3, 0.6, 1.0}) {
        for (uint64_t seed = 1; seed <= 8; ++seed) {
            FaultSimulation simulation(12, seed);
            for (uint64_t number = 0; number < 3000; ++number)
                simulation.step(number,
                                {{healthy, 0},
                                 {faulty, failureProbability},
                                 {otherFaulty, failureProbability}});
            BOOST_TEST(simulation.maxEjected == 0U,
                       "failure probability " << failureProbability << " seed " << seed);
        }
    }
}

// Guards against ejecting healthy servers when the only workload begins to fail on all of them.
BOOST_AUTO_TEST_CASE(workloadThatBecomesFaultyEjectsNoServer)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FaultSimulation simulation(12, seed);
        for (uint64_t number = 0; number < 500; ++number)
            simulation.step(number, {{healthy, 0}});
        for (uint64_t number = 0; number < 1500; ++number)
            simulation.step(number, {{healthy, 1}});
        BOOST_TEST(simulation.maxEjected == 0U, "seed " << seed);
    }
}

// Guards against ejecting most servers of the share when many fail at once, and against exceeding
// the limit on ejections when the share becomes smaller later.
BOOST_AUTO_TEST_CASE(atMostAThirdIsEjected)
{
    size_t most = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        FaultSimulation simulation(12, seed);
        for (uint32_t server = 0; server < 8; ++server)
            simulation.failsFromStep[server] = 200 + 10 * server;
        for (uint64_t number = 0; number < 3000; ++number)
            simulation.step(number, {{healthy, 0}, {otherHealthy, 0}});
        BOOST_TEST(simulation.maxEjected <= 4U, "seed " << seed);
        most = std::max(most, simulation.maxEjected);
        simulation.rig.share = {"executor-0", "executor-1", "executor-2", "executor-3"};
        simulation.rig.apply();
        BOOST_TEST(simulation.rig.placement.ejectedCount() <= 1U, "seed " << seed);
    }
    BOOST_TEST(most == 4U);
}

// Guards against the success of a task that began before a fault and clears the failures since
// then.
BOOST_AUTO_TEST_CASE(oldSuccessDoesNotHideNewFailures)
{
    PlacementRig rig(4);
    rig.learnRunTimes(healthy, std::vector<Duration>(4, 50ms), 6);
    rig.placement.reserve(0, healthy, rig.now);
    const Time begun = rig.now;
    for (int failure = 0; failure < 4; ++failure) {
        rig.run(0, healthy, AttemptOutcome::Failed, 1ms);
        rig.run(1, healthy, AttemptOutcome::Succeeded, 50ms);
    }
    rig.placement.release(0, healthy, AttemptOutcome::Succeeded, rig.now - begun, rig.now);
    rig.run(0, healthy, AttemptOutcome::Failed, 1ms);
    BOOST_TEST(rig.placement.health(0).ejected);
}

// Guards against a recovered server that stays ejected, and against many probes of a failed server.
BOOST_AUTO_TEST_CASE(probesBackOffAndReinstate)
{
    PlacementRig rig(3);
    const auto fillOtherServers = [&] {
        while (rig.start(healthy)) { }
    };
    rig.learnRunTimes(healthy, std::vector<Duration>(3, 50ms), 6);
    for (int failure = 0; failure < 5; ++failure) {
        rig.run(0, healthy, AttemptOutcome::Failed, 1ms);
        rig.run(1, healthy, AttemptOutcome::Succeeded, 50ms);
    }
    BOOST_TEST(rig.placement.health(0).ejected);
    fillOtherServers();
    TaskRequirements longQueueNeed = healthy;
    longQueueNeed.waiting = 1000;
    TaskRequirements last = longQueueNeed;
    last.lastOfJob = true;
    std::vector<Duration> delays;
    Time since = rig.now;
    for (int probe = 0; probe < 8; ++probe) {
        while (!std::holds_alternative<ToBackend>(rig.placement.choose(longQueueNeed, rig.now)))
            rig.now += 50ms;
        BOOST_TEST((std::holds_alternative<Wait>(rig.placement.choose(last, rig.now))));
        BOOST_TEST((rig.start(longQueueNeed) == std::optional<uint32_t>(0)));
        BOOST_TEST(!rig.start(longQueueNeed));
        delays.push_back(rig.now - since);
        rig.placement.release(0, healthy, AttemptOutcome::Failed, 1ms, rig.now);
        since = rig.now;
    }
    for (size_t i = 2; i < 6; ++i)
        BOOST_TEST((delays[i] > delays[i - 1] * 3 / 2));
    BOOST_TEST((delays.back() <= 60s));
    rig.now += 61s;
    BOOST_TEST((rig.start(longQueueNeed) == std::optional<uint32_t>(0)));
    rig.placement.release(0, healthy, AttemptOutcome::Succeeded, 50ms, rig.now + 50ms);
    BOOST_TEST(!rig.placement.health(0).ejected);
}
