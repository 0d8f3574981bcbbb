// Tests of how well a pool at high load serves jobs of different sizes.
#define BOOST_TEST_MODULE pool_sizes
#include "pool_world.h"

#include <algorithm>
#include <cmath>

using namespace lovage;
using namespace lovage::test;

namespace {

constexpr Duration simulatedTime = std::chrono::seconds(40);
constexpr Duration deadline = milliseconds(1500);
// Relative variation between jobs, which is also the error of declared run times, and between the
// tasks of a job. Both are standard deviations of logarithms.
constexpr double spread = 0.4;
constexpr double taskSpread = 0.15;

struct JobKind
{
    std::string name;
    double width;
    Duration runTime;
    double perSecond;
};

// Heavy jobs, whose tasks take most of their deadline, account for nearly a third of the work.
const std::vector<JobKind> kinds {{"quick", 8, milliseconds(60), 11.4},
                                  {"heavy", 4, milliseconds(900), 2.1},
                                  {"lookup", 2, milliseconds(200), 33}};

// Returns a sample of the lognormal distribution with this mean; `deviation` is the standard
// deviation of the logarithm.
double lognormal(Random &random, double mean, double deviation)
{
    return mean * std::exp(deviation * standardNormal(random) - deviation * deviation / 2);
}

struct SimulatedJob
{
    std::string kind;
    double coreSeconds = 0;
    Time offered {};
    Duration objective {};
    bool isServed = false; // completed before the deadline
    bool isInTime = false; // completed within the objective
};

// Simulates seeded random arrivals on 16 servers. A quarter of the servers are more than twice as
// fast as the others, and only these can end the longest tasks in time.
std::vector<SimulatedJob> simulateLoad(uint64_t seed, double load)
{
    constexpr double meanMilliCores = 6800;
    constexpr double largestMilliCores = 10000;
    Random random(seed);
    PoolWorld world;
    for (int i = 0; i < 16; ++i)
        world.addServer("s" + std::to_string(i), i % 3 == 2 ? 24000 : 16000,
                        i % 4 == 0 ? 0.55 : 1.2);
    std::map<std::string, Duration> runTimes; // by task
    world.runTimeOf = [&](const std::string &task) { return runTimes.at(task); };
    world.begin();
    std::map<uint64_t, SimulatedJob> jobs; // by ticket
    std::vector<Time> nextArrival;
    nextArrival.reserve(kinds.size());
    for (const JobKind &kind : kinds)
        nextArrival.push_back(world.now
                              + Duration(static_cast<int64_t>(
                                      random.exponential(1e6 / (kind.perSecond * load)))));
    const auto arrive = [&](const JobKind &kind) {
        const auto id = "job" + std::to_string(jobs.size());
        const auto width =
                static_cast<uint32_t>(std::clamp(std::lround(lognormal(random, kind.width, spread)),
                                                 1L, std::lround(4 * kind.width)));
        const double micros =
                std::min(lognormal(random, static_cast<double>(kind.runTime.count()), spread),
                         4 * static_cast<double>(kind.runTime.count()));
        const double milliCores =
                std::min(lognormal(random, meanMilliCores, 0.2), largestMilliCores);
        SimulatedJob job;
        job.kind = kind.name;
        job.offered = world.now;
        Duration longest {};
        for (uint32_t index = 0; index < width; ++index) {
            const double taskMicros = lognormal(random, micros, taskSpread);
            const Duration runTime(static_cast<int64_t>(taskMicros));
            runTimes[toString(TaskName {id, 0, 0, index})] = runTime;
            longest = std::max(longest, runTime);
            job.coreSeconds += milliCores * taskMicros / 1e9;
        }
        JobOffer offer = PoolWorld::makeOffer(
                id, width, static_cast<uint32_t>(milliCores),
                Duration(static_cast<int64_t>(micros * std::exp(spread * standardNormal(random)))),
                deadline);
        offer.queue = kind.name;
        job.objective = longest * 16 / 10 + offer.objectiveSlack;
        jobs.emplace(offer.ticket.number, job);
        world.offer(offer);
    };
    const Time end = world.now + simulatedTime;
    while (world.now < end) {
        for (size_t k = 0; k < kinds.size(); ++k) {
            for (; nextArrival[k] <= world.now;
                 nextArrival[k] += Duration(static_cast<int64_t>(
                         random.exponential(1e6 / (kinds[k].perSecond * load)))))
                arrive(kinds[k]);
        }
        world.runFor(milliseconds(1));
    }
    world.runFor(deadline * 2);
    for (const auto &[at, answer] : world.answers) {
        SimulatedJob &job = jobs.at(answer.ticket.number);
        const bool isCompleted = answer.result == JobResult::Completed;
        job.isServed = isCompleted && at <= job.offered + deadline;
        job.isInTime = job.isServed && at <= job.offered + job.objective;
    }
    BOOST_TEST(world.overlappingRuns == 0U);
    std::vector<SimulatedJob> simulatedJobs;
    simulatedJobs.reserve(jobs.size());
    for (const auto &[number, job] : jobs)
        simulatedJobs.push_back(job);
    return simulatedJobs;
}

struct ServedShares
{
    double all = 0;
    double largestTenth = 0;
    double nextFifth = 0;
};

double servedShare(const std::vector<SimulatedJob> &jobs, size_t begin, size_t end)
{
    const auto served = std::count_if(jobs.begin() + static_cast<long>(begin),
                                      jobs.begin() + static_cast<long>(end),
                                      [](const SimulatedJob &job) { return job.isServed; });
    return static_cast<double>(served) / static_cast<double>(end - begin);
}

ServedShares servedSharesOf(std::vector<SimulatedJob> jobs, const std::string &kind)
{
    std::erase_if(jobs, [&](const SimulatedJob &job) { return job.kind != kind; });
    std::sort(jobs.begin(), jobs.end(), [](const SimulatedJob &left, const SimulatedJob &right) {
        return left.coreSeconds > right.coreSeconds;
    });
    const size_t tenth = jobs.size() / 10;
    return {servedShare(jobs, 0, jobs.size()), servedShare(jobs, 0, tenth),
            servedShare(jobs, tenth, 3 * tenth)};
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
