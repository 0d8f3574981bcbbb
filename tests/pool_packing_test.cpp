// Tests of how well a pool serves tasks of which only one or two fit on a server.
#define BOOST_TEST_MODULE pool_packing
#include "pool_replay.h"

using namespace lovage;
using namespace lovage::test;

namespace {

// Servers of 64 cores, one in three of 96, and tasks of 32 cores plus or minus a fifth. Three jobs
// in a hundred run seven times as long as declared. At load 1 the tasks request all cores on
// average.
ReplayedLoad makeTightLoad()
{
    ReplayedLoad replayed;
    double cores = 0;
    for (int i = 0; i < 30; ++i) {
        replayed.servers.push_back({i % 3 == 2 ? 96000U : 64000U, 1});
        cores += replayed.servers.back().milliCores / 1000.0;
    }
    replayed.kinds = {{"quick", 8, milliseconds(51), 0.4},
                      {"heavy", 4, milliseconds(760), 0.2},
                      {"lookup", 2, milliseconds(170), 0.4}};
    replayed.meanMilliCores = 32000;
    replayed.largestMilliCores = 64000;
    replayed.longShare = 0.03;
    double coreSeconds = 0; // of an average job
    for (const JobKind &kind : replayed.kinds)
        coreSeconds += kind.perSecond * kind.width * replayed.meanMilliCores / 1000
                * std::chrono::duration<double>(kind.runTime).count()
                * (1 + replayed.longShare * (replayed.longFactor - 1));
    for (JobKind &kind : replayed.kinds)
        kind.perSecond *= cores / coreSeconds;
    return replayed;
}

// Averages over seeds.
std::map<std::string, ServedShares> sharesAt(double load, uint64_t seeds)
{
    const ReplayedLoad replayed = makeTightLoad();
    std::map<std::string, ServedShares> shares;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        const auto jobs = simulateLoad(replayed, seed, load);
        double served = 0;
        double offered = 0;
        for (const SimulatedJob &job : jobs) {
            offered += job.coreSeconds;
            served += job.isServed ? job.coreSeconds : 0;
        }
        shares["work"].all += served / offered / static_cast<double>(seeds);
        for (const JobKind &kind : replayed.kinds) {
            const ServedShares one = servedSharesOf(jobs, kind.name);
            ServedShares &sum = shares[kind.name];
            sum.all += one.all / static_cast<double>(seeds);
            sum.largestTenth += one.largestTenth / static_cast<double>(seeds);
            sum.nextFifth += one.nextFifth / static_cast<double>(seeds);
        }
    }
    return shares;
}

} // namespace

// Guards against starving the largest jobs of a kind where only one or two tasks fit on a server.
// The largest tenth of the heavy kind is left out: a third of it runs too long for any server, and
// more of it for most. The limits are a fifth below what was measured, as the shares vary by seed.
BOOST_AUTO_TEST_CASE(large_jobs_are_served_on_tight_servers)
{
    for (const double load : {0.5, 0.75, 1.0, 1.25, 1.5}) {
        const auto shares = sharesAt(load, 4);
        for (const auto &[kind, share] : shares)
            BOOST_TEST_MESSAGE("load " << load << " " << kind << " " << share.all
                                       << " largest tenth " << share.largestTenth << " next fifth "
                                       << share.nextFifth);
        BOOST_TEST(shares.at("lookup").largestTenth >= 0.6 * shares.at("lookup").all);
        BOOST_TEST(shares.at("heavy").nextFifth >= 0.6 * shares.at("heavy").all);
        BOOST_TEST(shares.at("work").all >= 0.8 * std::min(0.8, 0.69 / load));
    }
}

// Guards against a reported rate that a service with tasks of half a server cannot reach, and
// against a lower one than before for small tasks.
BOOST_AUTO_TEST_CASE(rate_follows_the_sizes_of_tasks)
{
    const auto shareFor = [](uint32_t smallest, uint32_t largest) {
        PoolWorld world;
        world.addServer("a", 64000);
        world.begin();
        for (uint32_t i = 0; i < 64; ++i)
            world.offer(PoolWorld::makeOffer("job" + std::to_string(i), 1,
                                             smallest + (largest - smallest) * (i % 16) / 15,
                                             milliseconds(100)));
        return world.pool.load(world.now).front().rate / 64;
    };
    BOOST_TEST(shareFor(1000, 2000) == 0.85, boost::test_tools::tolerance(0.001));
    BOOST_TEST(shareFor(33000, 39000) == 36.0 / 64, boost::test_tools::tolerance(0.02));
    BOOST_TEST(shareFor(26000, 38000) > 0.6);
    BOOST_TEST(shareFor(26000, 38000) < 0.84);
}

// Guards against free cores that change by half a server with the size of the latest task.
BOOST_AUTO_TEST_CASE(free_cores_follow_all_recent_sizes)
{
    PoolWorld world;
    world.addServer("a", 64000);
    world.begin();
    BOOST_TEST(world.pool.load(world.now).front().freeMilliCores == 64000U);
    const auto freeAfter = [&](const std::string &id, uint32_t milliCores) {
        world.offer(PoolWorld::makeOffer(id, 1, milliCores, milliseconds(100)));
        world.runFor(milliseconds(300));
        return double(world.pool.load(world.now).front().freeMilliCores);
    };
    for (uint32_t i = 0; i < 32; ++i)
        freeAfter("job" + std::to_string(i), 26000 + 1000 * (i % 13));
    const double small = freeAfter("small", 24000);
    const double large = freeAfter("large", 40000);
    BOOST_TEST(small == large, boost::test_tools::tolerance(0.1));
}

// Guards against a burst of offers that are all accepted from a plan of the queue without the jobs
// that were accepted from it before. Such jobs would be refused only after they have waited.
BOOST_AUTO_TEST_CASE(jobs_of_a_burst_are_forecast_behind_one_another)
{
    PoolWorld world;
    for (int i = 0; i < 30; ++i)
        world.addServer("s" + std::to_string(i), 64000);
    world.begin();
    for (int i = 0; i < 200; ++i)
        world.offer(PoolWorld::makeOffer("job" + std::to_string(i), 1, 40000, milliseconds(100),
                                         deadline));
    const auto refused =
            std::count_if(world.answers.begin(), world.answers.end(),
                          [](const auto &entry) { return entry.second.reason == "backlog"; });
    // Within the objective of 220 ms, a job may wait for one other on each server.
    BOOST_TEST(refused >= 140);
    BOOST_TEST(refused <= 170);
    world.runFor(std::chrono::seconds(1));
    BOOST_TEST((world.resultOf("job0") == JobResult::Completed));
}
