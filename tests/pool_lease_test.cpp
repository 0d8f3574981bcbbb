// Tests that runs end in time before the caller of a broken request can repeat it at another pool.
#define BOOST_TEST_MODULE pool_lease
#include "pool_world.h"

using namespace lovage;
using namespace lovage::test;
using std::chrono::seconds;

namespace {

// Shortest time after which a caller repeats a request whose connection has broken.
constexpr Duration resubmitDelay = milliseconds(1300);

struct OneServer : PoolWorld
{
    OneServer()
    {
        addServer("a", 64000);
        runTimeOf = [](const std::string &) { return Duration(seconds(4)); };
        begin();
    }

    bool isRunning(const std::string &task) const { return servers.at("a").running.contains(task); }
};

} // namespace

// Guards against polls that keep extending the lease of a run which could not be stopped: the
// caller's repeated request would start the task a second time in another pool.
BOOST_FIXTURE_TEST_CASE(run_whose_stop_is_lost_ends_before_the_request_is_repeated, OneServer)
{
    isStopLost = [](const std::string &task) { return task.starts_with("job1"); };
    const JobOffer offered = makeOffer("job1", 1, 14000, seconds(4));
    offer(offered);
    runFor(milliseconds(50));
    BOOST_TEST(isRunning("job1.0.0.0"));
    pool.withdraw(offered.ticket, now);
    runFor(resubmitDelay);
    BOOST_TEST(!isRunning("job1.0.0.0"));
}

// Guards against the same for a run that an earlier holder of the server started.
BOOST_AUTO_TEST_CASE(run_of_an_earlier_holder_is_not_extended)
{
    PoolWorld world;
    world.addServer("a", 64000);
    world.isStopLost = [](const std::string &task) { return task.starts_with("old"); };
    auto &server = world.servers.at("a");
    server.token = 4;
    server.leaseUntil = world.now + seconds(1);
    server.running["old.0.0.0"] = {"old.0.0.0",       1,    world.now, world.now + seconds(9),
                                   RunEnd::Succeeded, 20000};
    world.registerServers();
    world.grantAll(5);
    world.runFor(resubmitDelay);
    BOOST_TEST(world.runningCount() == 0U);
}
