// Tests of the outcomes that a pool reports for stored tasks: each must hold whatever the server
// does afterwards.
#define BOOST_TEST_MODULE pool_outcome
#include "pool_world.h"

using namespace lovage;
using namespace lovage::test;

// Guards against reporting a run as never started while its order may still be executed: the server
// restarts, and its new process, which does not know the stop, executes the delayed order.
BOOST_AUTO_TEST_CASE(run_reported_as_not_started_never_starts)
{
    constexpr Duration orderDelay = milliseconds(600);
    PoolWorld world;
    world.addServer("a", 32000);
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(800)); };
    world.begin();
    OrderDelivery delivery {false, orderDelay};
    world.delivery = [&delivery](const std::string &) { return std::exchange(delivery, {}); };
    world.startBatch(PoolWorld::makeBatch("job1", 1, 14000));
    world.runFor(orderDelay - milliseconds(2));
    world.servers.at("a").restart(world.now);
    world.runFor(milliseconds(100));
    BOOST_REQUIRE(world.starts == 1U);
    BOOST_TEST(world.outcomesOf(TaskOutcome::Kind::NotStarted) == 0U);
}

// Guards against reporting a run that was started as never started when its lease lapses: the
// server may list its end later.
BOOST_AUTO_TEST_CASE(lapsed_run_is_reported_as_lost)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.runTimeOf = [](const std::string &) { return Duration(std::chrono::seconds(10)); };
    world.begin();
    world.startBatch(PoolWorld::makeBatch("job1", 1, 14000));
    world.runFor(milliseconds(100));
    BOOST_REQUIRE(world.runningCount() == 1U);
    world.isPollSent = [] { return false; };
    world.runFor(std::chrono::seconds(3));
    BOOST_TEST(world.outcomesOf(TaskOutcome::Kind::Lost) == 1U);
    BOOST_TEST(world.outcomesOf(TaskOutcome::Kind::NotStarted) == 0U);
}
