#define BOOST_TEST_MODULE placement_health
#include "placement_rig.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::test;
using namespace std::chrono_literals;

namespace {

const TaskRequirements good = needOf("screen");
const TaskRequirements other = needOf("echo", "owner-b");

// Results of random work on random servers. A task fails as its server or its work says.
class FaultyWorld
{
public:
    FaultyWorld(uint32_t servers, uint64_t seed)
        : rig(servers, {}, seed), random(seed), deadFrom(servers, UINT64_MAX), failed(servers)
    { }

    void step(uint64_t number, const std::vector<std::pair<TaskRequirements, double>> &work)
    {
        rig.now += 10ms;
        const auto &[need, failureShare] = work[random.below(work.size())];
        if (const auto server = rig.start(need)) {
            const bool dead = number >= deadFrom[*server];
            const bool fails = dead || random.unit() < failureShare;
            const auto ran = fails ? 1 : 40 + static_cast<int64_t>(random.below(50));
            const Time end = rig.now + std::chrono::milliseconds(ran);
            running.push_back({*server, need, fails, rig.now, end});
            failed[*server] += dead && !rig.placement.health(*server).ejected;
        }
        std::erase_if(running, [&](const Running &task) {
            if (task.end > rig.now)
                return false;
            rig.placement.release(task.server, task.need,
                                  task.fails ? AttemptOutcome::Failed : AttemptOutcome::Succeeded,
                                  task.end - task.begin, rig.now);
            return true;
        });
        mostEjected = std::max(mostEjected, rig.placement.ejectedCount());
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
    std::vector<uint64_t> deadFrom; // step from which the server fails everything
    std::vector<uint32_t> failed;
    std::vector<Running> running;
    size_t mostEjected = 0;
};

} // namespace

// Guards against a black hole that keeps attracting work because it ends everything quickly.
BOOST_AUTO_TEST_CASE(blackHoleIsEjectedAfterFiveFailures)
{
    PlacementRig rig(10);
    rig.teach(good, std::vector<Duration>(10, 50ms), 2);
    for (int failure = 1; failure <= 5; ++failure) {
        BOOST_TEST(!rig.placement.health(3).ejected);
        rig.run(3, good, AttemptOutcome::Failed, 1ms);
        rig.run(4, good, AttemptOutcome::Succeeded, 50ms);
    }
    BOOST_TEST(rig.placement.health(3).ejected);
    for (int i = 0; i < 72; ++i) {
        const auto server = rig.start(good);
        BOOST_TEST((!server || *server != 3));
    }
}

// Guards against more failures than the limit while several starts are on their way: after the
// first failure the outstanding ones are bounded too.
BOOST_AUTO_TEST_CASE(failuresOfABlackHoleAreBoundedWithStartsInFlight)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FaultyWorld world(12, seed);
        world.deadFrom[0] = 200;
        for (uint64_t number = 0; number < 800; ++number)
            world.step(number, {{good, 0}, {other, 0}});
        BOOST_TEST(world.failed[0] <= 5, "seed " << seed << ": " << world.failed[0]);
        BOOST_TEST(world.mostEjected <= 1, "seed " << seed);
    }
}

// Guards against a second batch for a server that has just begun to fail: with the first failure
// only as many tasks may be outstanding as are missing to the limit.
BOOST_AUTO_TEST_CASE(suspectGetsOnlyWhatTheLimitLeaves)
{
    PlacementRig rig(4);
    rig.teach(good, std::vector<Duration>(4, 50ms), 6);
    rig.run(0, good, AttemptOutcome::Failed, 1ms);
    rig.run(1, good, AttemptOutcome::Succeeded, 50ms);
    TaskRequirements crowded = good;
    crowded.waiting = 1000;
    while (rig.start(crowded)) { }
    BOOST_TEST(rig.placement.health(0).outstanding == 4U);
    BOOST_TEST(rig.placement.health(1).outstanding == 8U);
}

// Guards against faulty work that takes the capacity of healthy servers from good work.
BOOST_AUTO_TEST_CASE(badWorkDoesNotRestrictServers)
{
    PlacementRig rig(6);
    const TaskRequirements bad = needOf("broken", "owner-c");
    rig.teach(good, std::vector<Duration>(6, 50ms), 6);
    for (int round = 0; round < 8; ++round) {
        for (uint32_t server = 0; server < 6; ++server)
            rig.run(server, bad, AttemptOutcome::Failed, 1ms);
    }
    TaskRequirements crowded = good;
    crowded.waiting = 1000;
    int started = 0;
    while (rig.start(crowded))
        ++started;
    BOOST_TEST(started == 48);
}

// Guards against a new server that fails its whole first batch before any result is known.
BOOST_AUTO_TEST_CASE(unprovenServerGetsFewTasks)
{
    PlacementRig rig(1);
    int started = 0;
    while (rig.start(good))
        ++started;
    BOOST_TEST(started == 5);
}

// Guards against ejecting healthy servers for faulty work, whether it always fails or often.
BOOST_AUTO_TEST_CASE(badWorkEjectsNoServer)
{
    const TaskRequirements bad = needOf("broken", "owner-c");
    const TaskRequirements alsoBad = needOf("broken-too", "owner-d");
    for (const double failureShare : {0.3, 0.6, 1.0}) {
        for (uint64_t seed = 1; seed <= 8; ++seed) {
            FaultyWorld world(12, seed);
            for (uint64_t number = 0; number < 3000; ++number)
                world.step(number, {{good, 0}, {bad, failureShare}, {alsoBad, failureShare}});
            BOOST_TEST(world.mostEjected == 0U, "share " << failureShare << " seed " << seed);
        }
    }
}

// Guards against ejecting healthy servers when the only work there is turns bad everywhere.
BOOST_AUTO_TEST_CASE(workThatTurnsBadEjectsNoServer)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FaultyWorld world(12, seed);
        for (uint64_t number = 0; number < 500; ++number)
            world.step(number, {{good, 0}});
        for (uint64_t number = 0; number < 1500; ++number)
            world.step(number, {{good, 1}});
        BOOST_TEST(world.mostEjected == 0U, "seed " << seed);
    }
}

// Guards against ejecting most of the share when many servers fail at once, and against a cap that
// is only kept for the share at the time of ejection.
BOOST_AUTO_TEST_CASE(neverMoreThanAThirdIsEjected)
{
    size_t most = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        FaultyWorld world(12, seed);
        for (uint32_t server = 0; server < 8; ++server)
            world.deadFrom[server] = 200 + 10 * server;
        for (uint64_t number = 0; number < 3000; ++number)
            world.step(number, {{good, 0}, {other, 0}});
        BOOST_TEST(world.mostEjected <= 4U, "seed " << seed);
        most = std::max(most, world.mostEjected);
        world.rig.share = {"executor-0", "executor-1", "executor-2", "executor-3"};
        world.rig.apply();
        BOOST_TEST(world.rig.placement.ejectedCount() <= 1U, "seed " << seed);
    }
    BOOST_TEST(most == 4U);
}

// Guards against a success of a task from before the fault that hides the failures since.
BOOST_AUTO_TEST_CASE(oldSuccessDoesNotHideNewFailures)
{
    PlacementRig rig(4);
    rig.teach(good, std::vector<Duration>(4, 50ms), 6);
    rig.placement.reserve(0, good, rig.now);
    const Time begun = rig.now;
    for (int failure = 0; failure < 4; ++failure) {
        rig.run(0, good, AttemptOutcome::Failed, 1ms);
        rig.run(1, good, AttemptOutcome::Succeeded, 50ms);
    }
    rig.placement.release(0, good, AttemptOutcome::Succeeded, rig.now - begun, rig.now);
    rig.run(0, good, AttemptOutcome::Failed, 1ms);
    BOOST_TEST(rig.placement.health(0).ejected);
}

// Guards against a recovered server that stays out, and against probes that flood a dead one.
BOOST_AUTO_TEST_CASE(probesBackOffAndReinstate)
{
    PlacementRig rig(3);
    const auto fillOthers = [&] {
        while (rig.start(good)) { }
    };
    rig.teach(good, std::vector<Duration>(3, 50ms), 6);
    for (int failure = 0; failure < 5; ++failure) {
        rig.run(0, good, AttemptOutcome::Failed, 1ms);
        rig.run(1, good, AttemptOutcome::Succeeded, 50ms);
    }
    BOOST_TEST(rig.placement.health(0).ejected);
    fillOthers();
    TaskRequirements crowded = good;
    crowded.waiting = 1000;
    TaskRequirements last = crowded;
    last.lastOfJob = true;
    std::vector<Duration> delays;
    Time since = rig.now;
    for (int probe = 0; probe < 8; ++probe) {
        while (!std::holds_alternative<ToBackend>(rig.placement.choose(crowded, rig.now)))
            rig.now += 50ms;
        BOOST_TEST((std::holds_alternative<Wait>(rig.placement.choose(last, rig.now))));
        BOOST_TEST((rig.start(crowded) == std::optional<uint32_t>(0)));
        BOOST_TEST(!rig.start(crowded));
        delays.push_back(rig.now - since);
        rig.placement.release(0, good, AttemptOutcome::Failed, 1ms, rig.now);
        since = rig.now;
    }
    for (size_t i = 2; i < 6; ++i)
        BOOST_TEST((delays[i] > delays[i - 1] * 3 / 2));
    BOOST_TEST((delays.back() <= 60s));
    rig.now += 61s;
    BOOST_TEST((rig.start(crowded) == std::optional<uint32_t>(0)));
    rig.placement.release(0, good, AttemptOutcome::Succeeded, 50ms, rig.now + 50ms);
    BOOST_TEST(!rig.placement.health(0).ejected);
}
