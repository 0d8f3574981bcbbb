// Tests of a pool whose data centre is evacuated.
#define BOOST_TEST_MODULE pool_evacuation
#include "pool_world.h"

using namespace lovage;
using namespace lovage::test;

using Kind = TaskOutcome::Kind;
using std::chrono::seconds;

namespace {

constexpr Duration grace = PoolOptions {}.evacuationGrace;

// A job of steps of one task each, which run one after the other.
JobOffer makeChain(const std::string &id, uint32_t steps, Duration estimate)
{
    JobOffer offer = PoolWorld::makeOffer(id, 1, 1000, estimate);
    for (uint32_t step = 1; step < steps; ++step) {
        offer.job.steps.push_back(offer.job.steps.front());
        offer.job.steps.back().after = {step - 1};
    }
    return offer;
}

} // namespace

// Guards against starts in an evacuated data centre under load: a full queue, started jobs with
// waiting tasks and new jobs all the time.
BOOST_AUTO_TEST_CASE(nothing_starts_after_the_grace_under_load)
{
    PoolWorld world;
    for (const char *id : {"a", "b", "c", "d"})
        world.addServer(id, 4000);
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(300)); };
    world.begin();
    Random random(7);
    size_t next = 0;
    const auto offerSome = [&] {
        for (int i = 0; i < 8; ++i)
            world.offer(makeChain("job" + std::to_string(next++), 1 + random.below(4),
                                  milliseconds(300)));
    };
    for (int i = 0; i < 20; ++i) {
        offerSome();
        world.runFor(milliseconds(100));
    }
    BOOST_REQUIRE(world.runningCount() == 16U);
    const std::set<std::string> started = world.startedJobs;
    world.pool.setEvacuated(true, world.now);
    BOOST_TEST(world.pool.load(world.now).front().rate == 0.0);
    BOOST_TEST(world.pool.load(world.now).front().freeMilliCores == 0U);
    for (Duration time {}; time < grace; time += milliseconds(100)) {
        offerSome();
        world.runFor(milliseconds(100));
    }
    BOOST_TEST((world.startedJobs == started)); // only jobs that have started go on
    const uint64_t starts = world.starts;
    for (int i = 0; i < 30; ++i) {
        offerSome();
        world.runFor(milliseconds(100));
    }
    BOOST_TEST(world.starts == starts);
    BOOST_TEST(world.runningCount() == 0U);
    BOOST_TEST(world.pool.runCount() == 0U);
    for (size_t i = 0; i < next; ++i) {
        const std::string id = "job" + std::to_string(i);
        BOOST_REQUIRE(world.resultOf(id).has_value());
        if (!started.contains(id))
            BOOST_TEST((world.resultOf(id) == JobResult::Refused));
    }
}

// Guards against waiting jobs that are held until their deadline instead of being offered to
// another pool at once, and against running tasks that are stopped.
BOOST_AUTO_TEST_CASE(waiting_jobs_are_refused_at_once_and_runs_go_on)
{
    PoolWorld world;
    world.addServer("a", 4000);
    world.runTimeOf = [](const std::string &) { return Duration(seconds(3)); };
    world.begin();
    world.offer(PoolWorld::makeOffer("running", 4, 1000, seconds(3)));
    world.runFor(milliseconds(500));
    JobOffer waiting = PoolWorld::makeOffer("waiting", 1, 1000, seconds(3), seconds(12));
    waiting.stretchFactor = 4;
    world.offer(waiting);
    world.runFor(milliseconds(100));
    BOOST_REQUIRE(!world.answerOf("waiting"));
    world.pool.setEvacuated(true, world.now);
    world.runFor(milliseconds(1));
    const JobAnswer *answer = world.answerOf("waiting");
    BOOST_REQUIRE(answer);
    BOOST_TEST((answer->result == JobResult::Refused));
    BOOST_TEST(answer->isEvacuated);
    world.runFor(seconds(3));
    BOOST_TEST((world.resultOf("running") == JobResult::Completed));
}

// Guards against a started job that starts tasks without end, and against one that is given up
// although all its tasks have started in time.
BOOST_AUTO_TEST_CASE(started_jobs_go_on_for_the_grace)
{
    PoolWorld world;
    world.addServer("a", 8000);
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(400)); };
    world.begin();
    world.offer(makeChain("short", 3, milliseconds(400)));
    world.offer(makeChain("long", 9, milliseconds(400)));
    world.runFor(milliseconds(100));
    world.pool.setEvacuated(true, world.now);
    world.runFor(grace + milliseconds(20));
    BOOST_TEST((world.resultOf("long") == JobResult::Abandoned));
    world.runFor(seconds(2));
    BOOST_TEST((world.resultOf("short") == JobResult::Completed));
    BOOST_TEST(world.starts == 6U);
}

// Guards against a run that fails after the grace and starts again in the evacuated data centre.
BOOST_AUTO_TEST_CASE(run_that_fails_after_the_grace_is_not_repeated)
{
    PoolWorld world;
    world.addServer("a", 8000);
    world.addServer("b", 8000);
    world.runTimeOf = [](const std::string &) { return Duration(seconds(2)); };
    world.begin();
    world.offer(PoolWorld::makeOffer("job", 1, 1000, seconds(2), seconds(9)));
    world.runFor(milliseconds(100));
    world.pool.setEvacuated(true, world.now);
    world.runFor(grace + milliseconds(100));
    BOOST_REQUIRE(!world.answerOf("job"));
    for (auto &[id, server] : world.servers) {
        if (!server.running.empty())
            server.endRun(server.running.begin()->first, RunEnd::Failed);
    }
    world.runFor(seconds(1));
    BOOST_TEST((world.resultOf("job") == JobResult::Abandoned));
    BOOST_TEST(world.starts == 1U);
}

// Guards against tasks of stored jobs that start in an evacuated data centre, and against endless
// ones that are stopped there.
BOOST_AUTO_TEST_CASE(batches_are_reported_as_not_started)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.runTimeOf = [](const std::string &) { return Duration(seconds(60)); };
    world.begin();
    TaskBatch endless = PoolWorld::makeBatch("endless", 1, 1000);
    endless.step.isEndless = true;
    world.startBatch(endless);
    world.runFor(milliseconds(100));
    world.pool.setEvacuated(true, world.now);
    TaskBatch gang = PoolWorld::makeBatch("gang", 3, 1000);
    gang.step.isGang = true;
    world.startBatch(gang);
    world.startBatch(PoolWorld::makeBatch("job", 2, 1000));
    world.runFor(seconds(5));
    BOOST_TEST(world.outcomesOf(Kind::NotStarted) == 5U);
    BOOST_TEST(world.starts == 1U);
    BOOST_TEST(world.runningCount() == 1U);
}

// Guards against a VM that has restarted and starts work before it knows of an evacuation.
BOOST_AUTO_TEST_CASE(nothing_starts_before_the_evacuations_are_known)
{
    PoolOptions options;
    options.needsEvacuationState = true;
    for (const bool isEvacuated : {false, true}) {
        PoolWorld world(options);
        world.addServer("a", 32000);
        world.begin();
        world.offer(PoolWorld::makeOffer("early", 1, 1000, milliseconds(100)));
        world.startBatch(PoolWorld::makeBatch("batch", 1, 1000));
        world.runFor(milliseconds(500));
        BOOST_TEST((world.resultOf("early") == JobResult::Refused));
        BOOST_TEST(world.outcomesOf(Kind::NotStarted) == 1U);
        world.pool.setEvacuated(isEvacuated, world.now);
        world.offer(PoolWorld::makeOffer("late", 1, 1000, milliseconds(100)));
        world.runFor(milliseconds(500));
        BOOST_TEST(world.starts == (isEvacuated ? 0U : 1U));
    }
}

// Guards against servers that stay unused after a withdrawal, and against a second evacuation that
// is not obeyed.
BOOST_AUTO_TEST_CASE(withdrawal_and_repetition_take_effect_at_once)
{
    PoolWorld world;
    world.addServer("a", 4000);
    world.begin();
    for (int round = 0; round < 2; ++round) {
        world.pool.setEvacuated(true, world.now);
        const std::string refused = "refused" + std::to_string(round);
        world.offer(PoolWorld::makeOffer(refused, 1, 1000, milliseconds(100)));
        BOOST_TEST((world.resultOf(refused) == JobResult::Refused));
        world.runFor(milliseconds(300));
        world.pool.setEvacuated(false, world.now);
        const std::string served = "served" + std::to_string(round);
        world.offer(PoolWorld::makeOffer(served, 1, 1000, milliseconds(100)));
        world.runFor(milliseconds(300));
        BOOST_TEST((world.resultOf(served) == JobResult::Completed));
    }
}
