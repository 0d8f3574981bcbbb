// Orders of a pool to its servers and what follows when they are lost, late or refused.
#define BOOST_TEST_MODULE pool_orders
#include "pool_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

struct TwoServers : PoolWorld
{
    TwoServers()
    {
        addServer("a", 32000);
        addServer("b", 32000);
        begin();
    }
};

} // namespace

// Guards against ends that the server lists for ever.
BOOST_FIXTURE_TEST_CASE(job_completes_and_its_ends_are_acknowledged, TwoServers)
{
    offer(makeOffer("job1", 4, 14000, milliseconds(100)));
    run(milliseconds(300));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(starts == 4U);
    BOOST_TEST(servers.at("a").ended.empty());
    BOOST_TEST(servers.at("b").ended.empty());
}

// Guards against a second start elsewhere while the first one may still run.
BOOST_FIXTURE_TEST_CASE(start_without_answer_does_not_run_twice, TwoServers)
{
    // Longer than the time after which an answer counts as lost, so that the first run goes on.
    workOf = [](const std::string &) { return Duration(milliseconds(300)); };
    size_t orders = 0;
    fate = [&](const std::string &) {
        OrderFate fate;
        fate.isAnswered = ++orders > 2; // both starts of the job
        return fate;
    };
    offer(makeOffer("job1", 2, 14000, milliseconds(200)));
    run(std::chrono::seconds(2));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(overlappingRuns == 0U);
}

// Guards against a lost start that the server carries out only after it was given up.
BOOST_FIXTURE_TEST_CASE(late_start_is_refused_by_its_lease, TwoServers)
{
    bool isFirst = true;
    fate = [&](const std::string &) {
        OrderFate fate;
        if (std::exchange(isFirst, false))
            fate = {false, std::chrono::seconds(3)};
        return fate;
    };
    offer(makeOffer("job1", 1, 14000, milliseconds(100)));
    run(std::chrono::seconds(4));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(starts == 1U);
    BOOST_TEST(runningCount() == 0U);
}

// Guards against an order with a token that another VM has passed, and against a repeat of tasks
// that the next holder may still find running.
BOOST_FIXTURE_TEST_CASE(fenced_holder_gives_its_jobs_up, TwoServers)
{
    offer(makeOffer("job1", 4, 14000, milliseconds(500)));
    run(milliseconds(50));
    servers.at("a").token = 9;
    servers.at("b").token = 9;
    const uint64_t before = starts;
    run(milliseconds(400));
    BOOST_TEST((resultOf("job1") == JobResult::Abandoned));
    BOOST_TEST(starts == before);
    BOOST_TEST(pool.serverCount() == 0U);
}

// Guards against placing on a server that still runs what its last holder started.
BOOST_AUTO_TEST_CASE(new_holder_stops_what_it_finds)
{
    PoolWorld world;
    world.addServer("a", 32000);
    auto &server = world.servers.at("a");
    server.token = 4;
    server.leaseUntil = world.now + std::chrono::seconds(1);
    server.running["old.0.0.0"] = {"old.0.0.0",       1,
                                   world.now,         world.now + std::chrono::seconds(9),
                                   RunEnd::Succeeded, 20000};
    world.registerServers();
    world.grantAll(5);
    world.run(milliseconds(100));
    BOOST_TEST(world.runningCount() == 0U);
    world.offer(PoolWorld::makeOffer("job1", 2, 14000, milliseconds(100)));
    world.run(milliseconds(300));
    BOOST_TEST((world.resultOf("job1") == JobResult::Completed));
    BOOST_TEST(world.pool.counters().startsRejected == 0U);
}

// Guards against waiting for runs that ended with the server's process.
BOOST_FIXTURE_TEST_CASE(tasks_of_a_restarted_server_start_again, TwoServers)
{
    offer(makeOffer("job1", 4, 14000, milliseconds(400)));
    run(milliseconds(100));
    servers.at("a").restart();
    registerServers();
    run(std::chrono::seconds(2));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(overlappingRuns == 0U);
}

// Guards against a crashed server that holds its job for ever.
BOOST_FIXTURE_TEST_CASE(tasks_of_a_dead_server_start_again_after_the_lease, TwoServers)
{
    offer(makeOffer("job1", 4, 14000, milliseconds(200)));
    run(milliseconds(50));
    servers.at("a").isUp = false;
    run(std::chrono::seconds(3));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
}

// Guards against work for a caller that has left.
BOOST_FIXTURE_TEST_CASE(withdrawn_job_is_stopped, TwoServers)
{
    JobOffer offered = makeOffer("job1", 4, 14000, milliseconds(2000));
    offer(offered);
    run(milliseconds(50));
    BOOST_TEST(runningCount() == 4U);
    pool.withdraw(offered.ticket, now);
    run(milliseconds(60));
    BOOST_TEST(runningCount() == 0U);
    BOOST_TEST(pool.isIdle());
    BOOST_TEST((resultOf("job1") == JobResult::Abandoned));
}

// Guards against two runs of one task when a caller sends a job again.
BOOST_FIXTURE_TEST_CASE(repeated_id_is_not_started_while_the_first_is_open, TwoServers)
{
    offer(makeOffer("job1", 2, 14000, milliseconds(300)));
    run(milliseconds(20));
    JobOffer again = makeOffer("job1", 2, 14000, milliseconds(300));
    again.ticket.vm = "vm2";
    offer(again);
    run(milliseconds(10));
    BOOST_REQUIRE_EQUAL(answers.size(), 1U);
    BOOST_TEST((answers.front().second.result == JobResult::Abandoned));
    run(milliseconds(500));
    BOOST_TEST(starts == 2U);
}

// Guards against new work on a server that is leaving.
BOOST_FIXTURE_TEST_CASE(leaving_server_gets_no_new_work, TwoServers)
{
    servers.at("a").info.isLeaving = true;
    registerServers();
    offer(makeOffer("job1", 2, 14000, milliseconds(100)));
    run(milliseconds(500));
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(servers.at("a").endedRuns.empty());
}

// Guards against two holders of a shard: nothing new starts on servers that are being released,
// and the release waits for what runs there.
BOOST_FIXTURE_TEST_CASE(released_shards_are_given_up_when_they_are_idle, TwoServers)
{
    offer(makeOffer("job1", 4, 14000, milliseconds(200)));
    run(milliseconds(20));
    ShardGrants grants;
    for (uint32_t shard = 0; shard < PoolOptions {}.shardCount; ++shard)
        grants[shard] = {1, true};
    pool.setGrants(grants, now);
    BOOST_TEST(!pool.isReleaseReady());
    offer(makeOffer("job2", 1, 14000, milliseconds(100)));
    run(milliseconds(300));
    BOOST_TEST(pool.isReleaseReady());
    BOOST_TEST((resultOf("job1") == JobResult::Completed));
    BOOST_TEST(!startedJobs.contains("job2"));
}

// Guards against a lease that is taken back with a look that was not sent although a start had
// extended it before: the run would be started again elsewhere while it goes on.
BOOST_FIXTURE_TEST_CASE(unsent_look_does_not_end_the_lease_of_a_start, TwoServers)
{
    workOf = [](const std::string &) { return Duration(milliseconds(400)); };
    isLookSent = [] { return false; };
    offer(makeOffer("job1", 2, 30000, milliseconds(400), milliseconds(1500)));
    run(std::chrono::seconds(5)); // several looks were lost, and nothing runs any more
    offer(makeOffer("job2", 1, 14000, milliseconds(400)));
    run(milliseconds(100));
    isLookSent = [] { return true; };
    run(std::chrono::seconds(2));
    BOOST_TEST(startedJobs.contains("job2"));
    BOOST_TEST(overlappingRuns == 0U);
    BOOST_TEST((resultOf("job2") == JobResult::Completed));
}

// Guards every order against lost answers, late execution, restarts and silence, in seeded mixes.
BOOST_AUTO_TEST_CASE(random_faults_start_no_task_twice)
{
    for (uint64_t seed = 1; seed <= 600; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Random random(seed);
            PoolWorld world;
            for (int i = 0; i < 6; ++i)
                world.addServer(std::string(1, static_cast<char>('a' + i)), 32000,
                                0.6 + random.unit());
            world.workOf = [](const std::string &task) {
                return Duration(milliseconds(40 + stableHash(task.substr(0, 6)) % 400));
            };
            world.fate = [&](const std::string &) {
                OrderFate fate;
                fate.isAnswered = random.unit() > 0.05;
                if (!fate.isAnswered && random.unit() < 0.5)
                    fate.delay = milliseconds(200 + random.below(3000));
                return fate;
            };
            world.isLookSent = [&] { return random.unit() > 0.05; };
            world.checksIncarnation = seed % 2 == 0;
            world.begin();
            size_t offered = 0;
            for (int step = 0; step < 100; ++step) {
                const auto id = "job" + std::to_string(seed * 1000 + step);
                world.offer(PoolWorld::makeOffer(id, 1 + static_cast<uint32_t>(random.below(5)),
                                                 14000, milliseconds(50 + random.below(400)),
                                                 milliseconds(1500)));
                ++offered;
                if (random.unit() < 0.03) {
                    auto server = world.servers.begin();
                    std::advance(server, static_cast<long>(random.below(6)));
                    server->second.restart();
                    world.registerServers();
                }
                world.run(milliseconds(random.below(60)));
            }
            world.fate = [](const std::string &) { return OrderFate {}; };
            world.isLookSent = [] { return true; };
            world.run(std::chrono::seconds(6));
            BOOST_TEST(world.overlappingRuns == 0U);
            BOOST_TEST(world.answers.size() == offered);
            for (const auto &[time, answer] : world.answers) {
                for (int step = 0; step < 100; ++step) {
                    const auto id = "job" + std::to_string(seed * 1000 + step);
                    if (answer.ticket.number == std::hash<std::string> {}(id)
                        && answer.result == JobResult::Refused)
                        BOOST_TEST(!world.startedJobs.contains(id));
                }
            }
            BOOST_TEST(world.runningCount() == 0U);
        }
    }
}

// Guards against a second start of a task whose server has restarted just before the first: the
// order was carried out by the new process.
BOOST_AUTO_TEST_CASE(start_that_meets_a_new_process_is_kept)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.addServer("b", 32000);
    world.checksIncarnation = false;
    world.begin();
    for (int i = 0; i < 20; ++i) {
        const std::string job = "job" + std::to_string(i);
        world.offer(PoolWorld::makeOffer(job, 2, 14000, milliseconds(100)));
        world.servers.at("a").restart(); // before the order arrives
        world.run(milliseconds(400));
        BOOST_TEST((world.resultOf(job) == JobResult::Completed));
    }
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against a second start of a task that a new process of its server runs: the lease of the
// earlier process says nothing about it.
BOOST_AUTO_TEST_CASE(run_found_in_a_new_process_has_not_lapsed)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.checksIncarnation = false;
    world.workOf = [](const std::string &) { return Duration(milliseconds(400)); };
    world.begin();
    bool isFirst = true;
    world.fate = [&](const std::string &) {
        OrderFate fate;
        fate.isAnswered = !std::exchange(isFirst, false);
        return fate;
    };
    world.offer(PoolWorld::makeOffer("job1", 1, 14000, milliseconds(400)));
    world.servers.at("a").restart(); // before the order arrives
    world.isLookSent = [] { return false; };
    world.registerServers();
    world.run(milliseconds(110)); // the start counts as unanswered
    world.isLookSent = [] { return true; };
    world.run(std::chrono::seconds(2));
    BOOST_TEST((world.resultOf("job1") == JobResult::Completed));
    BOOST_TEST(world.starts == 1U);
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against a late start in a new process of the server, which knows nothing of the stop that
// the earlier one had confirmed.
BOOST_AUTO_TEST_CASE(stop_is_repeated_to_a_new_process)
{
    // The process is replaced while a look waits for the end of the stop, or after the look.
    for (const Duration restartAfter : {milliseconds(130), milliseconds(300)}) {
        PoolWorld world;
        world.addServer("a", 32000);
        world.addServer("b", 32000);
        world.checksIncarnation = false;
        world.workOf = [](const std::string &) { return Duration(milliseconds(800)); };
        world.begin();
        bool isFirst = true;
        world.fate = [&](const std::string &) {
            OrderFate fate;
            if (std::exchange(isFirst, false))
                fate = {false, milliseconds(600)};
            return fate;
        };
        world.offer(PoolWorld::makeOffer("job1", 1, 14000, milliseconds(800)));
        world.run(milliseconds(110));
        world.servers.at("a").info.isLeaving = true; // the task starts again on b
        world.registerServers();
        world.run(restartAfter - milliseconds(110));
        world.servers.at("a").restart();
        world.registerServers();
        world.run(std::chrono::seconds(3));
        BOOST_TEST((world.resultOf("job1") == JobResult::Completed));
        BOOST_TEST(world.overlappingRuns == 0U);
    }
}

// Guards against a flood of orders to a server whose address another one has taken, as each answer
// says at once: the entry of the lost server may stay for seconds.
BOOST_FIXTURE_TEST_CASE(orders_to_a_replaced_server_are_bounded, TwoServers)
{
    bool isFirst = true;
    fate = [&](const std::string &) {
        OrderFate fate;
        fate.isAnswered = !std::exchange(isFirst, false);
        return fate;
    };
    workOf = [](const std::string &) { return Duration(std::chrono::seconds(3)); };
    offer(makeOffer("job1", 1, 14000, std::chrono::seconds(3), std::chrono::seconds(10)));
    offer(makeOffer("job2", 3, 14000, std::chrono::seconds(3), std::chrono::seconds(10)));
    run(milliseconds(105)); // the first start counts as unanswered
    const uint64_t before = pool.counters().polls + pool.counters().stops;
    servers.at("a").isReplaced = true;
    servers.at("a").restart();
    pool.withdraw(makeOffer("job1", 1, 14000, std::chrono::seconds(3)).ticket, now);
    run(std::chrono::seconds(3));
    const uint64_t orders = pool.counters().polls + pool.counters().stops - before;
    BOOST_TEST_MESSAGE("orders: " << orders);
    // A look that waits ends four times a second on the other server.
    BOOST_TEST(orders <= 60U);
}

// Guards against a flood of looks to a server that resets each connection: the missing answer shows
// at once and not after a timeout.
BOOST_FIXTURE_TEST_CASE(looks_at_a_server_that_resets_connections_are_bounded, TwoServers)
{
    workOf = [](const std::string &) { return Duration(milliseconds(600)); };
    offer(makeOffer("job1", 3, 14000, milliseconds(600)));
    run(milliseconds(100));
    const uint64_t before = pool.counters().polls;
    servers.at("a").resetsConnections = true;
    run(std::chrono::seconds(2));
    const uint64_t looks = pool.counters().polls - before;
    BOOST_TEST_MESSAGE("looks: " << looks);
    BOOST_TEST(looks <= 40U);
    servers.at("a").resetsConnections = false;
    run(milliseconds(500));
    offer(makeOffer("job2", 4, 14000, milliseconds(100)));
    run(milliseconds(50));
    BOOST_TEST(!servers.at("a").running.empty()); // it is in use again
}

// Guards against a process that wakes up and starts, from where it was, tasks of jobs that other
// VMs have given up meanwhile.
BOOST_AUTO_TEST_CASE(woken_pool_starts_nothing_old)
{
    PoolWorld world;
    world.addServer("a", 32000);
    world.workOf = [](const std::string &) { return Duration(milliseconds(600)); };
    world.begin();
    world.offer(PoolWorld::makeOffer("job1", 2, 14000, milliseconds(600)));
    world.offer(PoolWorld::makeOffer("job2", 2, 14000, milliseconds(600)));
    world.run(milliseconds(2));
    const Duration pause = std::chrono::seconds(3);
    world.now += pause;
    world.pool.onPaused(pause, "vm2", world.now);
    world.offer(PoolWorld::makeOffer("job3", 1, 1000, milliseconds(600)));
    BOOST_TEST((world.resultOf("job3") == JobResult::Refused));
    world.run(std::chrono::seconds(2));
    BOOST_TEST(world.starts == 2U);
    BOOST_TEST((world.resultOf("job1") == JobResult::Abandoned));
    BOOST_TEST((world.resultOf("job2") == JobResult::Refused));
    world.offer(PoolWorld::makeOffer("job4", 1, 1000, milliseconds(600)));
    world.run(std::chrono::seconds(1));
    BOOST_TEST((world.resultOf("job4") == JobResult::Completed));
}
