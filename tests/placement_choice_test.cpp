#define BOOST_TEST_MODULE placement_choice
#include "placement_rig.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::test;
using namespace std::chrono_literals;

namespace {

const TaskRequirements screen = needOf("screen");

BackendInfo worker(const std::string &name, Demand capacity)
{
    BackendInfo info;
    info.name = name;
    info.kind = BackendKind::Worker;
    info.capacity = capacity;
    return info;
}

TaskRequirements workerNeed(Demand demand)
{
    TaskRequirements need = needOf("vet");
    need.kind = BackendKind::Worker;
    need.demand = demand;
    return need;
}

PeerCapacity peerWith(uint32_t freeSlots)
{
    PeerCapacity capacity;
    capacity.vm = "medina-1";
    capacity.freeSlots[0][2] = freeSlots;
    return capacity;
}

// Starts tasks until no slot is free, as a dispatcher with a long queue does. Returns their number.
int startUntilFull(PlacementRig &rig, TaskRequirements need)
{
    need.waiting = 10'000;
    int started = 0;
    while (rig.start(need))
        ++started;
    return started;
}

} // namespace

// Guards against a task that stays queued until its deadline although no server can ever run it.
BOOST_AUTO_TEST_CASE(impossibleTaskIsReportedWithReason)
{
    PlacementRig rig(1);
    rig.all = {worker("w1", {32000, 128000, 0}), worker("w2", {8000, 16000, 4})};
    rig.share = {"w1"};
    rig.apply();
    const auto reasonFor = [&](Demand demand) {
        const Choice choice = rig.placement.choose(workerNeed(demand), rig.now);
        const auto *impossible = std::get_if<Impossible>(&choice);
        return impossible ? impossible->reason : "possible";
    };
    BOOST_TEST(reasonFor({1000, 1000, 8}) == "needs 8 accelerators; the largest worker has 4");
    BOOST_TEST(reasonFor({64000, 1, 0}) == "needs 64000 milliCores; the largest worker has 32000");
    BOOST_TEST(reasonFor({32000, 1, 1}).starts_with("no single worker"));
    // The task fits a worker outside the own share, so a peer can run it.
    BOOST_TEST(reasonFor({1000, 1000, 4}) == "possible");
}

// Guards against refusing tasks as impossible before the list of backend servers has arrived.
BOOST_AUTO_TEST_CASE(nothingIsImpossibleWithoutAnyKnownWorker)
{
    PlacementRig rig(2);
    const Choice choice = rig.placement.choose(workerNeed({1000, 0, 0}), rig.now);
    BOOST_TEST(std::holds_alternative<Wait>(choice));
}

// Guards against tasks on a worker that together need more of any resource than it has.
BOOST_AUTO_TEST_CASE(workerResourcesAreExact)
{
    PlacementRig rig(0);
    rig.all = {worker("w1", {4000, 8000, 2})};
    rig.share = {"w1"};
    rig.apply();
    rig.run(0, workerNeed({1000, 1000, 0}), AttemptOutcome::Succeeded, 100ms);
    BOOST_TEST(startUntilFull(rig, workerNeed({1000, 1000, 1})) == 2);
    BOOST_TEST(startUntilFull(rig, workerNeed({500, 4000, 0})) == 1);
    BOOST_TEST(startUntilFull(rig, workerNeed({500, 2000, 0})) == 1);
    BOOST_TEST(startUntilFull(rig, workerNeed({500, 0, 0})) == 2);
    rig.placement.release(0, workerNeed({500, 4000, 0}), AttemptOutcome::Succeeded, 50ms, rig.now);
    BOOST_TEST(startUntilFull(rig, workerNeed({500, 4000, 0})) == 1);
}

// Guards against using a slow free server when a fast one is soon free, and against keeping slow
// servers idle while the queue is long.
BOOST_AUTO_TEST_CASE(slowServerIsUsedOnlyForALongQueue)
{
    PlacementRig rig(2);
    rig.learnRunTimes(screen, {200ms, 900ms});
    for (int i = 0; i < 8; ++i)
        BOOST_TEST((rig.start(screen) == std::optional<uint32_t>(0)));
    BOOST_TEST(!rig.start(screen));
    TaskRequirements longQueueNeed = screen;
    longQueueNeed.waiting = 60;
    BOOST_TEST((rig.start(longQueueNeed) == std::optional<uint32_t>(1)));
}

// Guards against declared run times that are wrong by up to a factor of 4 and still determine the
// placement after run times were measured.
BOOST_AUTO_TEST_CASE(measurementsReplaceWrongDeclaredRunTimes)
{
    for (const Duration declared : {125ms, 2000ms}) {
        PlacementRig rig(4);
        const TaskRequirements need = needOf("screen", "owner-a", declared);
        rig.learnRunTimes(need, {250ms, 250ms, 1000ms, 1000ms}, 40);
        const double fast = rig.placement.health(0).relativeRunTime;
        const double slow = rig.placement.health(2).relativeRunTime;
        BOOST_TEST(slow / fast > 3.2);
        BOOST_TEST(slow / fast < 4.8);
        const auto expected = static_cast<double>(rig.placement.expectedRunTime(need).count());
        BOOST_TEST(expected * fast > 0.8 * 250'000);
        BOOST_TEST(expected * fast < 1.25 * 250'000);
    }
}

// Guards against a server that keeps its share of the tasks after its speed has dropped to a third.
BOOST_AUTO_TEST_CASE(slowdownIsNoticedWithinTwentyTasks)
{
    PlacementRig rig(4);
    rig.learnRunTimes(screen, std::vector<Duration>(4, 200ms));
    for (int i = 0; i < 20; ++i)
        rig.run(0, screen, AttemptOutcome::Succeeded, 600ms);
    BOOST_TEST(rig.placement.health(0).relativeRunTime
               > 2 * rig.placement.health(1).relativeRunTime);
}

// Guards against long tasks that occupy all slots, so that short tasks wait many times their run
// time.
BOOST_AUTO_TEST_CASE(slotsAreReservedForShortClasses)
{
    PlacementRig rig(10);
    const TaskRequirements vet = needOf("vet", "owner-a", 3s);
    rig.learnRunTimes(vet, std::vector<Duration>(10, 3s), 15);
    rig.learnRunTimes(screen, std::vector<Duration>(10, 200ms), 15);
    BOOST_TEST(startUntilFull(rig, vet) == 76);
    BOOST_TEST(startUntilFull(rig, screen) == 4);
}

// Guards against starting tasks on a server that is leaving, also if an outdated list does not say
// so.
BOOST_AUTO_TEST_CASE(leavingServersGetNoTasks)
{
    PlacementRig rig(2);
    rig.learnRunTimes(screen, {100ms, 100ms}, 3);
    rig.placement.setLeaving(0);
    rig.apply();
    BOOST_TEST(startUntilFull(rig, screen) == 8);
    BOOST_TEST(rig.placement.health(0).outstanding == 0U);
    rig.all[1].leaving = true;
    rig.apply();
    rig.placement.release(1, screen, AttemptOutcome::Succeeded, 100ms, rig.now);
    BOOST_TEST(startUntilFull(rig, screen) == 0);
}

// Guards against indexes or counts of servers that change when the list of servers changes.
BOOST_AUTO_TEST_CASE(indexesAndCountsSurviveListChanges)
{
    PlacementRig rig(3);
    rig.learnRunTimes(screen, std::vector<Duration>(3, 100ms), 3);
    rig.placement.reserve(2, screen, rig.now);
    std::swap(rig.all[0], rig.all[2]);
    rig.all.pop_back();
    rig.apply();
    BOOST_TEST(rig.placement.info(2).name == "executor-2");
    BOOST_TEST(rig.placement.health(2).outstanding == 1U);
    BOOST_TEST(startUntilFull(rig, screen) == 15);
}

// Guards against repeated refused starts on a server whose slots are used by other VMs.
BOOST_AUTO_TEST_CASE(refusalsAndReportsLimitStarts)
{
    PlacementRig rig(1);
    rig.learnRunTimes(screen, {100ms}, 3);
    rig.run(0, screen, AttemptOutcome::Refused, 0ms);
    BOOST_TEST(startUntilFull(rig, screen) == 0);
    rig.placement.reportFree(0, 3, rig.now);
    BOOST_TEST(startUntilFull(rig, screen) == 3);
}

// Guards against lending more tasks to a peer than it advertised slots for, and against using
// outdated advertisements.
BOOST_AUTO_TEST_CASE(lendingRespectsAdvertisedSlots)
{
    PlacementRig rig(1);
    rig.learnRunTimes(screen, {100ms}, 3);
    startUntilFull(rig, screen);
    rig.placement.setPeerCapacity(peerWith(3), rig.now);
    TaskRequirements longQueueNeed = screen;
    longQueueNeed.waiting = 100;
    const auto lendAll = [&] {
        int lent = 0;
        while (lent < 100
               && std::holds_alternative<ToPeer>(rig.placement.choose(longQueueNeed, rig.now))) {
            rig.placement.lend("medina-1", longQueueNeed, rig.now);
            ++lent;
        }
        return lent;
    };
    BOOST_TEST(lendAll() == 3);
    // An advertisement that was sent before the lend messages arrived does not free the slots
    // again.
    rig.placement.setPeerCapacity(peerWith(3), rig.now + 1ms);
    BOOST_TEST(lendAll() == 0);
    rig.now += 100ms;
    rig.placement.setPeerCapacity(peerWith(2), rig.now);
    rig.now += 3s;
    BOOST_TEST(lendAll() == 0);
}

// Guards against a waste weight that does not lead to fewer lend messages and larger start
// messages.
BOOST_AUTO_TEST_CASE(wasteWeightReducesMessages)
{
    PlacementRig rig(1);
    rig.learnRunTimes(screen, {100ms}, 3);
    startUntilFull(rig, screen);
    rig.placement.setPeerCapacity(peerWith(3), rig.now);
    TaskRequirements need = screen;
    need.waiting = 4;
    BOOST_TEST(std::holds_alternative<ToPeer>(rig.placement.choose(need, rig.now)));
    BOOST_TEST(rig.placement.batchLimit(need) == 1U);
    need.wasteWeight = 1;
    BOOST_TEST(std::holds_alternative<Wait>(rig.placement.choose(need, rig.now)));
    BOOST_TEST(rig.placement.batchLimit(need) > 3U);
}

// Guards against advertising slots that the queued tasks of this VM need.
BOOST_AUTO_TEST_CASE(slotsForTheOwnQueueAreNotAdvertised)
{
    PlacementRig rig(2);
    rig.learnRunTimes(screen, {100ms, 100ms}, 3);
    const auto total = [](const PeerCapacity &capacity) {
        uint32_t sum = 0;
        for (const uint32_t slots : capacity.freeSlots[0])
            sum += slots;
        return sum;
    };
    BOOST_TEST(total(rig.placement.ownCapacity({0, 0}, rig.now)) == 16U);
    BOOST_TEST(total(rig.placement.ownCapacity({1, 0}, rig.now)) == 15U);
    BOOST_TEST(total(rig.placement.ownCapacity({100, 0}, rig.now)) == 0U);
    startUntilFull(rig, screen);
    BOOST_TEST(total(rig.placement.ownCapacity({0, 0}, rig.now)) == 0U);
}

// Guards against wrong counts of outstanding tasks, overloaded servers, starts on leaving servers
// and too many ejections, with random events and each policy.
BOOST_AUTO_TEST_CASE(randomEventsKeepCountsInBounds)
{
    const std::vector<Policy> policies = {RandomPolicy {}, RoundRobinPolicy {},
                                          LeastOutstandingPolicy {}, EarliestFinishPolicy {}};
    for (uint64_t seed = 1; seed <= 24; ++seed) {
        Random random(seed);
        PlacementOptions options;
        options.policy = policies[seed % policies.size()];
        PlacementRig rig(20, options, seed);
        std::vector<std::pair<uint32_t, TaskRequirements>> running;
        std::vector<uint32_t> outstanding(20);
        for (int step = 0; step < 4000; ++step) {
            rig.now += Duration(random.below(20'000));
            TaskRequirements need = needOf(random.below(2) ? "screen" : "vet");
            need.waiting = 1 + static_cast<uint32_t>(random.below(100));
            need.lastOfJob = random.below(10) == 0;
            need.wasteWeight = random.unit();
            if (const auto server = rig.start(need)) {
                running.emplace_back(*server, need);
                BOOST_REQUIRE_MESSAGE(++outstanding[*server] <= 8, "seed " << seed);
                BOOST_REQUIRE_MESSAGE(!rig.placement.health(*server).leaving, "seed " << seed);
            }
            if (!running.empty() && random.below(3) > 0) {
                std::swap(running[random.below(running.size())], running.back());
                const auto [server, done] = running.back();
                running.pop_back();
                --outstanding[server];
                const auto outcome =
                        static_cast<AttemptOutcome>(random.below(10) < 7 ? 0 : random.below(4));
                rig.placement.release(server, done, outcome, Duration(random.below(900'000)),
                                      rig.now);
            }
            if (random.below(200) == 0) {
                rig.all[random.below(20)].leaving = random.below(2) == 0;
                rig.apply();
            }
            BOOST_REQUIRE_MESSAGE(rig.placement.ejectedCount() <= 6, "seed " << seed);
            for (uint32_t server = 0; server < 20; ++server)
                BOOST_REQUIRE_MESSAGE(rig.placement.health(server).outstanding
                                              == outstanding[server],
                                      "seed " << seed);
        }
    }
}
