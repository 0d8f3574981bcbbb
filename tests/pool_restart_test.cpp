// Tests of a pool whose servers restart under their id, or whose entries say something else than
// the servers themselves.
#define BOOST_TEST_MODULE pool_restart
#include "pool_world.h"

using namespace lovage;
using namespace lovage::test;
using std::chrono::seconds;

namespace {

struct TwoServers : PoolWorld
{
    TwoServers()
    {
        addServer("a", 32000);
        addServer("b", 32000);
        begin();
    }

    // Leaves an entry of another writer until the server's own next heartbeat.
    void playEntry(const std::string &id, const std::optional<ServerInfo> &entry,
                   Duration time = milliseconds(100))
    {
        oddEntries[id] = entry;
        registerServers();
        runFor(time);
        oddEntries.clear();
        registerServers();
    }
};

constexpr uint64_t largestIncarnation = 9'000'000'000'000'000;

} // namespace

// Guards against a second start of tasks whose starts were executed by a new process: the server
// list names the new incarnation after the starts were confirmed, and before a list of runs does.
BOOST_FIXTURE_TEST_CASE(entry_of_a_new_process_ends_no_run_that_it_executes, TwoServers)
{
    for (int i = 0; i < 20; ++i) {
        const std::string job = "job" + std::to_string(i);
        offer(makeOffer(job, 2, 14000, milliseconds(100)));
        servers.at("a").restart(now); // before the orders arrive
        runFor(milliseconds(1));      // the starts are confirmed
        registerServers();
        runFor(milliseconds(400));
        BOOST_TEST((resultOf(job) == JobResult::Completed));
    }
    BOOST_TEST(overlappingRuns == 0U);
}

// Guards against runs that are started again because an entry of another writer names an
// incarnation that does not exist.
BOOST_FIXTURE_TEST_CASE(entry_with_a_wrong_incarnation_ends_no_run, TwoServers)
{
    runTimeOf = [](const std::string &) { return Duration(milliseconds(600)); };
    for (const uint64_t incarnation : {uint64_t {0}, uint64_t {2}, largestIncarnation}) {
        const std::string job = "job" + std::to_string(incarnation);
        offer(makeOffer(job, 2, 14000, milliseconds(600)));
        runFor(milliseconds(100));
        ServerInfo entry = servers.at("a").info;
        entry.incarnation = incarnation;
        playEntry("a", entry);
        runFor(seconds(1));
        BOOST_TEST((resultOf(job) == JobResult::Completed));
    }
    BOOST_TEST(overlappingRuns == 0U);
    BOOST_TEST(starts == 6U);
}

// Guards against a live server that is never used again after one entry of another writer named a
// later incarnation than its own.
BOOST_FIXTURE_TEST_CASE(server_is_used_again_after_an_entry_with_a_wrong_incarnation, TwoServers)
{
    ServerInfo entry = servers.at("a").info;
    entry.incarnation = largestIncarnation;
    playEntry("a", entry);
    for (int i = 0; i < 40; ++i) {
        offer(makeOffer("job" + std::to_string(i), 2, 14000, milliseconds(100)));
        runFor(milliseconds(400));
        BOOST_TEST((resultOf("job" + std::to_string(i)) == JobResult::Completed));
    }
    BOOST_TEST(!servers.at("a").highestEndedRuns.empty());
}

// Guards against runs that are started again because an entry of another writer names an address
// at which another server answers.
BOOST_FIXTURE_TEST_CASE(entry_with_a_wrong_address_ends_no_run, TwoServers)
{
    runTimeOf = [](const std::string &) { return Duration(milliseconds(600)); };
    offer(makeOffer("job1", 2, 14000, milliseconds(600)));
    runFor(milliseconds(100));
    ServerInfo entry = servers.at("a").info;
    entry.address = servers.at("b").info.address;
    playEntry("a", entry, milliseconds(400));
    runFor(seconds(1));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(overlappingRuns == 0U);
}

// Guards against runs that are started again while their server, which goes on, is missing from the
// server list for a moment. Its entry may expire while the store is away.
BOOST_FIXTURE_TEST_CASE(entry_that_is_missing_for_a_moment_ends_no_run, TwoServers)
{
    runTimeOf = [](const std::string &) { return Duration(seconds(30)); };
    offer(makeOffer("job1", 2, 14000, seconds(30), seconds(60)));
    runFor(seconds(20));
    playEntry("a", std::nullopt);
    runFor(seconds(20));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(starts == 2U);
    BOOST_TEST(overlappingRuns == 0U);
}

// Guards against a run that counts as lapsed while a new process goes on with it: late polls with
// times on the clock of the previous process extend the lease of the new one further than the pool
// had asked for.
BOOST_AUTO_TEST_CASE(lease_of_an_unknown_process_is_not_counted_by_the_previous_clock)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.addServer("b", 32000);
    world.runTimeOf = [](const std::string &) { return Duration(seconds(4)); };
    world.begin();
    world.offer(PoolWorld::makeOffer("job1", 2, 14000, seconds(4), seconds(12)));
    world.servers.at("a").restart(world.now); // before the orders arrive
    world.runFor(milliseconds(1));            // the starts are confirmed
    world.delivery = [](const std::string &server) {
        return server == "a" ? OrderDelivery {false, milliseconds(900)} : OrderDelivery {};
    };
    world.runFor(seconds(12));
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against a task that is started again although its run succeeded, because the server has
// more ends to list than one list holds.
BOOST_AUTO_TEST_CASE(run_whose_end_is_not_listed_yet_is_not_started_again)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.pool.expectStoredJobs(true);
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(50)); };
    world.begin();
    // The keeper confirms no outcome, so the ends of these runs stay listed.
    world.startBatch(PoolWorld::makeBatch("job1", 510, 50));
    world.runFor(milliseconds(300));
    world.startBatch(PoolWorld::makeBatch("job2", 2, 50));
    world.runFor(milliseconds(600));
    BOOST_TEST(world.outcomesOf(TaskOutcome::Kind::Lost) == 0U);
}

// Guards against the loss of ends: an end number of the previous process, sent to the new one as an
// acknowledgement, deletes ends there that were not read yet.
BOOST_AUTO_TEST_CASE(acknowledgement_for_the_previous_process_deletes_no_end)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.pool.expectStoredJobs(true);
    world.runTimeOf = [](const std::string &task) {
        return Duration(milliseconds(task.starts_with("long") ? 400 : 20));
    };
    world.begin();
    world.startBatch(PoolWorld::makeBatch("long", 1, 1000));
    world.startBatch(PoolWorld::makeBatch("job1", 4, 1000));
    world.runFor(milliseconds(40));
    world.isPollSent = [] { return false; };
    for (const TaskOutcome &outcome : std::vector<TaskOutcome>(world.outcomes))
        world.confirm(outcome); // the ends 1 to 4 are to be acknowledged by the next poll
    world.startBatch(PoolWorld::makeBatch("job2", 2, 1000));
    world.servers.at("a").restart(world.now); // before the orders arrive
    world.runFor(milliseconds(100));          // the runs end in the new process
    world.isPollSent = [] { return true; };
    world.runFor(seconds(2));
    size_t listed = 0;
    for (const TaskOutcome &outcome : world.outcomes)
        listed += outcome.task.starts_with("job2") && outcome.kind == TaskOutcome::Kind::Ended;
    BOOST_TEST(listed >= 2U);
    BOOST_TEST(world.outcomesOf(TaskOutcome::Kind::Lost) == 1U); // the long run
}

// Guards against waiting for runs that were lost when the process of the server restarted.
BOOST_FIXTURE_TEST_CASE(tasks_of_a_restarted_server_start_again, TwoServers)
{
    offer(makeOffer("job1", 4, 14000, milliseconds(400)));
    runFor(milliseconds(100));
    servers.at("a").restart(now);
    registerServers();
    runFor(std::chrono::seconds(2));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(overlappingRuns == 0U);
}

// Guards against a second start of a task when the server restarts just before it receives the
// first start: the new process executes the order, so the run must not count as ended with the old
// one.
BOOST_AUTO_TEST_CASE(start_that_meets_a_new_process_is_kept)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.addServer("b", 32000);
    world.begin();
    for (int i = 0; i < 20; ++i) {
        const std::string job = "job" + std::to_string(i);
        world.offer(PoolWorld::makeOffer(job, 2, 14000, milliseconds(100)));
        world.servers.at("a").restart(world.now); // before the order arrives
        world.runFor(milliseconds(400));
        BOOST_TEST((world.resultOf(job) == JobResult::Completed));
    }
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against a second start of a task that is running in a new process of its server: the lapse
// of the lease of the previous process does not end this run.
BOOST_AUTO_TEST_CASE(run_found_in_a_new_process_has_not_lapsed)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(400)); };
    world.begin();
    bool isFirst = true;
    world.delivery = [&](const std::string &) {
        OrderDelivery delivery;
        delivery.isAnswered = !std::exchange(isFirst, false);
        return delivery;
    };
    world.offer(PoolWorld::makeOffer("job1", 1, 14000, milliseconds(400)));
    world.servers.at("a").restart(world.now); // before the order arrives
    world.isPollSent = [] { return false; };
    world.registerServers();
    world.runFor(milliseconds(110)); // the start counts as unanswered
    world.isPollSent = [] { return true; };
    world.runFor(std::chrono::seconds(2));
    BOOST_TEST((world.resultOf("job1") == JobResult::Completed));
    BOOST_TEST(world.starts == 1U);
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against a delayed start that a new process of the server executes although the run was
// stopped: the new process does not know the stop that the previous one confirmed.
BOOST_AUTO_TEST_CASE(stop_is_repeated_to_a_new_process)
{
    // The process restarts while a poll waits for the stop to complete, or after that poll.
    for (const Duration restartAfter : {milliseconds(130), milliseconds(300)}) {
        PoolWorld world;
        world.addServer("a", 32000);
        world.addServer("b", 32000);
        world.runTimeOf = [](const std::string &) { return Duration(milliseconds(800)); };
        world.begin();
        bool isFirst = true;
        world.delivery = [&](const std::string &) {
            OrderDelivery delivery;
            if (std::exchange(isFirst, false))
                delivery = {false, milliseconds(600)};
            return delivery;
        };
        world.offer(PoolWorld::makeOffer("job1", 1, 14000, milliseconds(800)));
        world.runFor(milliseconds(110));
        world.servers.at("a").info.isLeaving = true; // the task starts again on b
        world.registerServers();
        world.runFor(restartAfter - milliseconds(110));
        world.servers.at("a").restart(world.now);
        world.registerServers();
        world.runFor(std::chrono::seconds(3));
        BOOST_TEST((world.resultOf("job1") == JobResult::Completed));
        BOOST_TEST(world.overlappingRuns == 0U);
    }
}

// Guards against runs that are started again because of a list that names no incarnation, although
// its server has named one before.
BOOST_FIXTURE_TEST_CASE(list_without_an_incarnation_ends_no_run, TwoServers)
{
    runTimeOf = [](const std::string &) { return Duration(milliseconds(400)); };
    offer(makeOffer("job1", 2, 14000, milliseconds(400)));
    runFor(milliseconds(100));
    for (const char *id : {"a", "b"}) {
        PollReply list;
        list.server = id;
        list.result = OrderResult::Done;
        pool.onPollAnswered(list, now);
    }
    runFor(seconds(1));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(starts == 2U);
}

// Guards against a task that is started again while a list shows an earlier run of it: the start of
// the earlier run was not answered, the task was started again on the same server, and a new
// process executes the earlier start late.
BOOST_AUTO_TEST_CASE(task_waits_for_the_end_of_an_earlier_run_that_a_list_shows)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(800)); };
    world.begin();
    bool isFirst = true;
    world.delivery = [&](const std::string &) {
        OrderDelivery delivery;
        if (std::exchange(isFirst, false))
            delivery = {false, milliseconds(600)};
        return delivery;
    };
    world.offer(PoolWorld::makeOffer("job1", 1, 14000, milliseconds(800)));
    world.runFor(milliseconds(500)); // the second run goes on
    BOOST_REQUIRE_EQUAL(world.runningCount(), 1U);
    world.addServer("b", 32000);
    world.registerServers();
    world.grantAll(1);
    world.runFor(milliseconds(90));
    world.servers.at("a").restart(world.now);
    world.isPollSent = [] { return false; };
    world.runFor(milliseconds(30)); // the late start is executed
    world.isPollSent = [] { return true; };
    world.runFor(seconds(4));
    BOOST_TEST((world.resultOf("job1") == JobResult::Completed));
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against a flood of polls to a server that has left, after an entry named another process
// than the known one.
BOOST_FIXTURE_TEST_CASE(list_demanded_of_a_dead_server_costs_few_polls, TwoServers)
{
    servers.at("a").isUp = false;
    const uint64_t before = pool.counters().polls;
    ServerInfo entry = servers.at("a").info;
    entry.incarnation = 2;
    playEntry("a", entry, seconds(5));
    BOOST_TEST(pool.counters().polls - before <= 15U);
}

// Guards against a new server that takes no jobs for its first second: nothing has extended its
// lease yet, so a job whose lease was last renewed 200 ms ago can be placed there.
BOOST_AUTO_TEST_CASE(new_server_takes_a_job_with_an_older_lease)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.begin();
    JobOffer offer = PoolWorld::makeOffer("job1", 1, 14000, milliseconds(100));
    offer.lease =
            JobLease {1, world.now + PoolOptions {}.resubmission.jobLease() - milliseconds(200)};
    world.offer(offer);
    world.runFor(milliseconds(200));
    BOOST_TEST((world.resultOf("job1") == JobResult::Completed));
}

// Guards against tasks of a replaced server that wait until a poll is answered, although another
// server has rejected a start at the same address.
BOOST_FIXTURE_TEST_CASE(rejected_start_ends_the_runs_of_a_replaced_server, TwoServers)
{
    runTimeOf = [](const std::string &) { return Duration(milliseconds(600)); };
    offer(makeOffer("job1", 2, 14000, milliseconds(600)));
    runFor(milliseconds(20));
    BOOST_REQUIRE_EQUAL(servers.at("a").running.size(), 2U);
    servers.at("a").isReplaced = true;
    servers.at("a").restart(now);
    arePollsLostAtRestart = true; // the connection of the poll that waits does not break
    offer(makeOffer("job2", 1, 4000, milliseconds(600)));
    runFor(milliseconds(20));
    BOOST_TEST(servers.at("b").running.size() == 3U);
}
