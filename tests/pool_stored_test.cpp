// Tasks of stored jobs in a pool: started at once or given back, ends kept until they are stored.
#define BOOST_TEST_MODULE pool_stored
#include "pool_world.h"

using namespace lovage;
using namespace lovage::test;

using Kind = TaskOutcome::Kind;

// Guards against a batch that waits in the pool although other pools have room.
BOOST_AUTO_TEST_CASE(what_has_no_room_is_given_back)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.begin();
    world.startBatch(PoolWorld::makeBatch("job1", 5, 10000));
    world.run(milliseconds(20));
    BOOST_TEST(world.runningCount() == 3U);
    BOOST_TEST(world.outcomesOf(Kind::NotStarted) == 2U);
}

// Guards against an end that the server forgets before the job's keeper has stored it.
BOOST_AUTO_TEST_CASE(end_is_acknowledged_after_its_confirmation)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.begin();
    world.startBatch(PoolWorld::makeBatch("job1", 1, 10000));
    world.run(milliseconds(600));
    BOOST_TEST(world.outcomes.size() >= 2U); // repeated until it is confirmed
    BOOST_TEST(world.listedEnds() == 1U);
    world.confirm(world.outcomes.front());
    world.run(milliseconds(300));
    BOOST_TEST(world.listedEnds() == 0U);
}

// Guards against the acknowledgement of an end that must not count, because the task was started
// again elsewhere: it counts for good unless the lease has lapsed in between.
BOOST_AUTO_TEST_CASE(superseded_end_waits_for_the_lease_to_lapse)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.begin();
    world.startBatch(PoolWorld::makeBatch("job1", 1, 10000));
    world.startBatch(PoolWorld::makeBatch("job2", 1, 10000));
    world.run(milliseconds(300));
    BOOST_REQUIRE(world.outcomesOf(Kind::Ended) == 2U);
    const Time leaseUntil = world.servers.at("a").leaseUntil;
    for (const TaskOutcome &outcome : std::vector<TaskOutcome>(world.outcomes))
        world.confirm(outcome, outcome.task.starts_with("job1"));
    world.offer(PoolWorld::makeOffer("job3", 1, 10000, milliseconds(100)));
    while (world.now <= leaseUntil) {
        world.run(milliseconds(10));
        BOOST_TEST(world.runningCount() == 0U); // a start would extend the lease
        BOOST_TEST(world.listedEnds() >= 1U);
    }
    world.run(milliseconds(600));
    BOOST_TEST(
            (world.servers.at("a").leaseUntil == leaseUntil || world.servers.at("a").token == 1U));
    BOOST_TEST(world.listedEnds() == 0U);
}

// Guards against a second start by a batch that is repeated, or arrives late.
BOOST_AUTO_TEST_CASE(repeated_batch_starts_nothing)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.addServer("b", 32000);
    world.begin();
    const TaskBatch batch = PoolWorld::makeBatch("job1", 2, 10000);
    world.startBatch(batch);
    world.run(milliseconds(20));
    world.startBatch(batch);
    world.run(milliseconds(300));
    world.startBatch(batch);
    for (const TaskOutcome &outcome : std::vector<TaskOutcome>(world.outcomes))
        world.confirm(outcome);
    world.startBatch(batch);
    world.run(milliseconds(300));
    BOOST_TEST(world.starts == 2U);
}

// Guards against two keepers of one job: what an earlier one has started ends.
BOOST_AUTO_TEST_CASE(runs_of_an_earlier_keeper_are_stopped)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.workOf = [](const std::string &) { return Duration(std::chrono::seconds(10)); };
    world.begin();
    world.startBatch(PoolWorld::makeBatch("job1", 2, 10000, 5));
    world.run(milliseconds(50));
    BOOST_TEST(world.runningCount() == 2U);
    world.pool.updateKeeperEpoch(0, 6, world.now);
    world.run(milliseconds(50));
    BOOST_TEST(world.runningCount() == 0U);
    BOOST_TEST(world.outcomesOf(Kind::Ended) == 2U);
    world.startBatch(PoolWorld::makeBatch("job2", 1, 10000, 5));
    world.run(milliseconds(50));
    BOOST_TEST(world.runningCount() == 0U);
    BOOST_TEST(world.outcomesOf(Kind::NotStarted) == 1U);
}

// Guards against runs that go on for a keeper that is lost or does not hear this VM.
BOOST_AUTO_TEST_CASE(runs_of_a_lost_keeper_are_stopped)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.workOf = [](const std::string &) { return Duration(std::chrono::seconds(10)); };
    world.begin();
    world.startBatch(PoolWorld::makeBatch("job1", 2, 10000));
    world.run(milliseconds(50));
    world.pool.withdrawAll("vm1", 0, world.now);
    world.run(milliseconds(50));
    BOOST_TEST(world.runningCount() == 0U);
}

// Guards gangs against a start of some of their members only.
BOOST_AUTO_TEST_CASE(gang_is_started_whole_or_not_at_all)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.begin();
    TaskBatch batch = PoolWorld::makeBatch("job1", 4, 10000);
    batch.step.isGang = true;
    world.startBatch(batch);
    world.run(milliseconds(20));
    BOOST_TEST(world.runningCount() == 0U);
    BOOST_TEST(world.outcomesOf(Kind::NotStarted) == 4U);
    batch.tasks.pop_back();
    batch.tasks.front().run = 2;
    batch.job = "job2";
    world.startBatch(batch);
    world.run(milliseconds(20));
    BOOST_TEST(world.runningCount() == 3U);
}

namespace {

// A server lists the end of a run that an earlier holder has started.
void takeOverServerWithEnd(PoolWorld &world)
{
    world.addServer("a", 32000);
    SimulatedServer &server = world.servers.at("a");
    server.leaseUntil = world.now + std::chrono::seconds(1);
    server.running["job7.0.0.0"] = {"job7.0.0.0", 3, world.now, world.now + milliseconds(5),
                                    RunEnd::Succeeded};
    world.registerServers();
    world.grantAll(1);
    world.run(milliseconds(200));
}

} // namespace

// Guards against ends that nobody hears of because another holder had started the runs.
BOOST_AUTO_TEST_CASE(ends_of_an_earlier_holder_are_reported)
{
    PoolWorld world;
    world.pool.expectStoredJobs(true);
    takeOverServerWithEnd(world);
    BOOST_REQUIRE(world.outcomesOf(Kind::Ended) == 1U);
    BOOST_TEST(world.outcomes.front().task == "job7.0.0.0");
    BOOST_TEST(world.outcomes.front().run == 3U);
    BOOST_TEST(world.listedEnds() == 1U);
}

// Guards against a VM that has just started, cannot read the store, and acknowledges the ends of
// stored jobs that it does not know of.
BOOST_AUTO_TEST_CASE(ends_are_kept_until_it_is_known_that_no_job_is_stored)
{
    PoolWorld world;
    world.pool = Pool(PoolOptions {});
    takeOverServerWithEnd(world);
    BOOST_TEST(world.listedEnds() == 1U);
    world.pool.expectStoredJobs(false);
    world.run(milliseconds(200));
    BOOST_TEST(world.listedEnds() == 0U);
}

// Guards tasks that answer users of their own against those that take what cores are left.
BOOST_AUTO_TEST_CASE(filling_tasks_keep_away_from_serving_ones)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.workOf = [](const std::string &) { return Duration(std::chrono::seconds(10)); };
    world.begin();
    TaskBatch serving = PoolWorld::makeBatch("job1", 1, 10000);
    serving.step.isServing = true;
    world.startBatch(serving);
    TaskBatch filling = PoolWorld::makeBatch("job2", 1, 10000);
    filling.step.usesSpareCores = true;
    world.startBatch(filling);
    world.run(milliseconds(20));
    BOOST_TEST(world.runningCount() == 1U);
    BOOST_TEST(world.outcomesOf(Kind::NotStarted) == 1U);
}
