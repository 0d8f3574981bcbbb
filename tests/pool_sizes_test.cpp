// Tests of how well a pool at high load serves jobs of different sizes.
#define BOOST_TEST_MODULE pool_sizes
#include "pool_replay.h"

#include <algorithm>

using namespace lovage;
using namespace lovage::test;

namespace {

// Heavy jobs, whose tasks take most of their deadline, account for nearly a third of the work. A
// quarter of the 16 servers are more than twice as fast as the others, and only these can end the
// longest tasks in time.
std::vector<SimulatedJob> simulateLoad(uint64_t seed, double load)
{
    ReplayedLoad replayed;
    for (int i = 0; i < 16; ++i)
        replayed.servers.push_back({i % 3 == 2 ? 24000U : 16000U, i % 4 == 0 ? 0.55 : 1.2});
    replayed.kinds = {{"quick", 8, milliseconds(60), 11.4},
                      {"heavy", 4, milliseconds(900), 2.1},
                      {"lookup", 2, milliseconds(200), 33}};
    replayed.meanMilliCores = 6800;
    replayed.largestMilliCores = 10000;
    return test::simulateLoad(replayed, seed, load);
}

} // namespace

// Guards against giving up a task as too long although the only fast server would end it in time.
// Few servers may be fast, so the limit must follow the fastest server and not a share of all
// servers.
BOOST_AUTO_TEST_CASE(waiting_task_is_kept_for_the_only_fast_server)
{
    PoolWorld world;
    for (const char *id : {"a", "b", "c", "d", "e", "f", "g", "h"})
        world.addServer(id, 16000, *id == 'a' ? 0.5 : 2);
    for (auto &[id, server] : world.servers)
        server.info.labels = {id};
    world.begin();
    // Warm-up, in which the pool learns the speeds of all servers.
    for (int i = 0; i < 160; ++i) {
        JobOffer job = PoolWorld::makeOffer("warm" + std::to_string(i), 1, 6800, milliseconds(100));
        job.job.steps.front().requiredLabel = std::string(1, static_cast<char>('a' + i % 8));
        world.offer(job);
        world.runFor(milliseconds(250));
    }
    // Server a has room for two tasks and ends them in time. On other servers a task takes 2 s.
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(1000)); };
    world.offer(PoolWorld::makeOffer("job", 3, 6800, milliseconds(1000), deadline));
    world.runFor(std::chrono::seconds(2));
    BOOST_TEST((world.resultOf("job") == JobResult::Completed));
}

// Guards against a run that is known to end too late but is never moved to the fast server, because
// a small job takes the capacity there whenever it becomes free.
BOOST_AUTO_TEST_CASE(run_that_ends_too_late_gets_the_fast_server_before_small_jobs)
{
    PoolWorld world;
    world.addServer("fast", 7000, 0.5);
    world.addServer("slow", 14000, 1.2);
    for (auto &[id, server] : world.servers)
        server.info.labels = {id};
    world.runTimeOf = [](const std::string &) { return Duration(milliseconds(100)); };
    world.begin();
    size_t count = 0;
    const auto offerSmall = [&](const std::string &label) {
        JobOffer job =
                PoolWorld::makeOffer("small" + std::to_string(count++), 1, 6800, milliseconds(100));
        job.queue = "small";
        job.job.steps.front().requiredLabel = label;
        world.offer(job);
    };
    // Warm-up, in which the pool learns the speeds of both servers.
    for (int i = 0; i < 40; ++i) {
        offerSmall(i % 2 == 0 ? "fast" : "slow");
        world.runFor(milliseconds(150));
    }
    // The fast server is busy when the long job arrives, and its queue never becomes empty.
    world.runTimeOf = [](const std::string &task) {
        return Duration(milliseconds(task.starts_with("long") ? 1400 : 100));
    };
    offerSmall("fast");
    JobOffer job = PoolWorld::makeOffer("long", 1, 6800, milliseconds(600), deadline);
    world.offer(job);
    for (int i = 0; i < 60; ++i) {
        offerSmall("fast");
        world.runFor(milliseconds(30));
    }
    BOOST_TEST((world.resultOf("long") == JobResult::Completed));
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against large jobs that are given up or wait behind small ones although some servers can
// end them in time. For every seed, each group of large jobs must be served at least half as often
// as the heavy kind as a whole.
BOOST_AUTO_TEST_CASE(largest_jobs_are_served_at_high_load)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        const ServedShares heavy = servedSharesOf(simulateLoad(seed, 0.9), "heavy");
        BOOST_TEST_MESSAGE("seed " << seed << ": heavy " << heavy.all << ", largest tenth "
                                   << heavy.largestTenth << ", next fifth " << heavy.nextFifth);
        BOOST_TEST(heavy.largestTenth >= heavy.all / 2);
        BOOST_TEST(heavy.nextFifth >= heavy.all / 2);
    }
}

// Guards against serving smaller jobs at the expense of the largest. Averaged over all seeds, each
// group of large jobs must be served at least four fifths as often as the heavy kind as a whole.
BOOST_AUTO_TEST_CASE(largest_jobs_are_served_nearly_as_often_as_others)
{
    constexpr double aim = 0.8;
    constexpr uint64_t seeds = 20;
    for (const double load : {0.7, 0.9, 1.1}) {
        ServedShares sum;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const ServedShares heavy = servedSharesOf(simulateLoad(100 + seed, load), "heavy");
            sum.all += heavy.all / seeds;
            sum.largestTenth += heavy.largestTenth / seeds;
            sum.nextFifth += heavy.nextFifth / seeds;
        }
        BOOST_TEST_MESSAGE("load " << load << ": heavy " << sum.all << ", largest tenth "
                                   << sum.largestTenth << ", next fifth " << sum.nextFifth);
        BOOST_TEST(sum.largestTenth >= aim * sum.all);
        BOOST_TEST(sum.nextFifth >= aim * sum.all);
    }
}

// Guards against serving large jobs at the expense of the small ones.
BOOST_AUTO_TEST_CASE(small_jobs_are_in_time_at_high_load)
{
    constexpr double aim = 0.9;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        const auto jobs = simulateLoad(seed, 0.9);
        const auto isSmall = [](const SimulatedJob &job) { return job.kind != "heavy"; };
        const auto inTime = std::count_if(jobs.begin(), jobs.end(), [&](const SimulatedJob &job) {
            return isSmall(job) && job.isInTime;
        });
        const auto small = std::count_if(jobs.begin(), jobs.end(), isSmall);
        const double share = static_cast<double>(inTime) / static_cast<double>(small);
        BOOST_TEST_MESSAGE("seed " << seed << ": small jobs in time " << share);
        BOOST_TEST(share >= aim);
    }
}
