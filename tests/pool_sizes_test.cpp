// How jobs of different sizes fare in one pool at high load.
#define BOOST_TEST_MODULE pool_sizes
#include "pool_world.h"

#include <algorithm>
#include <cmath>

using namespace lovage;
using namespace lovage::test;

namespace {

constexpr Duration day = std::chrono::seconds(40);
constexpr Duration deadline = milliseconds(1500);
// Relative errors and spreads, as standard deviations of logarithms.
constexpr double spread = 0.4;
constexpr double unevenness = 0.15;

struct Kind
{
    std::string name;
    double width;
    Duration work;
    double perSecond;
};

// Nearly a third of the work is that of heavy jobs, whose tasks take most of their deadline.
const std::vector<Kind> kinds {{"quick", 8, milliseconds(60), 11.4},
                               {"heavy", 4, milliseconds(900), 2.1},
                               {"lookup", 2, milliseconds(200), 33}};

// Lognormal with the given mean.
double around(Random &random, double mean, double deviation)
{
    return mean * std::exp(deviation * standardNormal(random) - deviation * deviation / 2);
}

struct PlayedJob
{
    std::string kind;
    double coreSeconds = 0;
    Time offered {};
    Duration objective {};
    bool isServed = false; // before the deadline
    bool isInTime = false; // within the objective
};

// Seeded arrivals on 16 servers. A quarter of them are more than twice as fast as the others, and
// only these end the longest tasks in time.
std::vector<PlayedJob> playDay(uint64_t seed, double load)
{
    constexpr double meanMilliCores = 6800;
    constexpr double largestMilliCores = 10000;
    Random random(seed);
    PoolWorld world;
    for (int i = 0; i < 16; ++i)
        world.addServer("s" + std::to_string(i), i % 3 == 2 ? 24000 : 16000,
                        i % 4 == 0 ? 0.55 : 1.2);
    std::map<std::string, Duration> works; // by task
    world.workOf = [&](const std::string &task) { return works.at(task); };
    world.begin();
    std::map<uint64_t, PlayedJob> jobs; // by ticket
    std::vector<Time> next;
    next.reserve(kinds.size());
    for (const Kind &kind : kinds)
        next.push_back(world.now
                       + Duration(static_cast<int64_t>(
                               random.exponential(1e6 / (kind.perSecond * load)))));
    const auto arrive = [&](const Kind &kind) {
        const auto id = "job" + std::to_string(jobs.size());
        const auto width = static_cast<uint32_t>(std::clamp(
                std::lround(around(random, kind.width, spread)), 1L, std::lround(4 * kind.width)));
        const double micros =
                std::min(around(random, static_cast<double>(kind.work.count()), spread),
                         4 * static_cast<double>(kind.work.count()));
        const double milliCores = std::min(around(random, meanMilliCores, 0.2), largestMilliCores);
        PlayedJob job;
        job.kind = kind.name;
        job.offered = world.now;
        Duration longest {};
        for (uint32_t index = 0; index < width; ++index) {
            const double taskMicros = around(random, micros, unevenness);
            const Duration work(static_cast<int64_t>(taskMicros));
            works[toString(TaskName {id, 0, 0, index})] = work;
            longest = std::max(longest, work);
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
    const Time end = world.now + day;
    while (world.now < end) {
        for (size_t k = 0; k < kinds.size(); ++k) {
            for (; next[k] <= world.now;
                 next[k] += Duration(static_cast<int64_t>(
                         random.exponential(1e6 / (kinds[k].perSecond * load)))))
                arrive(kinds[k]);
        }
        world.run(milliseconds(1));
    }
    world.run(deadline * 2);
    for (const auto &[at, answer] : world.answers) {
        PlayedJob &job = jobs.at(answer.ticket.number);
        const bool isCompleted = answer.result == JobResult::Completed;
        job.isServed = isCompleted && at <= job.offered + deadline;
        job.isInTime = job.isServed && at <= job.offered + job.objective;
    }
    BOOST_TEST(world.overlappingRuns == 0U);
    std::vector<PlayedJob> played;
    played.reserve(jobs.size());
    for (const auto &[number, job] : jobs)
        played.push_back(job);
    return played;
}

struct Shares
{
    double all = 0;
    double largestTenth = 0;
    double fifthBelow = 0;
};

double servedShare(const std::vector<PlayedJob> &jobs, size_t begin, size_t end)
{
    const auto served = std::count_if(jobs.begin() + static_cast<long>(begin),
                                      jobs.begin() + static_cast<long>(end),
                                      [](const PlayedJob &job) { return job.isServed; });
    return static_cast<double>(served) / static_cast<double>(end - begin);
}

Shares sharesOf(std::vector<PlayedJob> jobs, const std::string &kind)
{
    std::erase_if(jobs, [&](const PlayedJob &job) { return job.kind != kind; });
    std::sort(jobs.begin(), jobs.end(), [](const PlayedJob &left, const PlayedJob &right) {
        return left.coreSeconds > right.coreSeconds;
    });
    const size_t tenth = jobs.size() / 10;
    return {servedShare(jobs, 0, jobs.size()), servedShare(jobs, 0, tenth),
            servedShare(jobs, tenth, 3 * tenth)};
}

} // namespace

// Guards against a task that is given up as too long although the one fast server would end it: few
// servers may be fast, so no share of the fleet stands for them.
BOOST_AUTO_TEST_CASE(waiting_task_is_kept_for_the_only_fast_server)
{
    PoolWorld world;
    for (const char *id : {"a", "b", "c", "d", "e", "f", "g", "h"})
        world.addServer(id, 16000, *id == 'a' ? 0.5 : 2);
    for (auto &[id, server] : world.servers)
        server.info.labels = {id};
    world.begin();
    // All speeds become known.
    for (int i = 0; i < 160; ++i) {
        JobOffer job = PoolWorld::makeOffer("warm" + std::to_string(i), 1, 6800, milliseconds(100));
        job.job.steps.front().requiredLabel = std::string(1, static_cast<char>('a' + i % 8));
        world.offer(job);
        world.run(milliseconds(250));
    }
    // Two tasks at a time end on a; on the others each one takes 2 s.
    world.workOf = [](const std::string &) { return Duration(milliseconds(1000)); };
    world.offer(PoolWorld::makeOffer("job", 3, 6800, milliseconds(1000), deadline));
    world.run(std::chrono::seconds(2));
    BOOST_TEST((world.resultOf("job") == JobResult::Completed));
}

// Guards against a run that shows that it ends too late, but never gets the faster server, because
// each time that one has room a small job takes it first.
BOOST_AUTO_TEST_CASE(run_that_ends_too_late_gets_the_fast_server_before_small_jobs)
{
    PoolWorld world;
    world.addServer("fast", 7000, 0.5);
    world.addServer("slow", 14000, 1.2);
    for (auto &[id, server] : world.servers)
        server.info.labels = {id};
    world.workOf = [](const std::string &) { return Duration(milliseconds(100)); };
    world.begin();
    size_t count = 0;
    const auto offerSmall = [&](const std::string &label) {
        JobOffer job =
                PoolWorld::makeOffer("small" + std::to_string(count++), 1, 6800, milliseconds(100));
        job.queue = "small";
        job.job.steps.front().requiredLabel = label;
        world.offer(job);
    };
    // Both speeds become known.
    for (int i = 0; i < 40; ++i) {
        offerSmall(i % 2 == 0 ? "fast" : "slow");
        world.run(milliseconds(150));
    }
    // The fast server has no room when the long job comes, and its queue does not run dry.
    world.workOf = [](const std::string &task) {
        return Duration(milliseconds(task.starts_with("long") ? 1400 : 100));
    };
    offerSmall("fast");
    JobOffer job = PoolWorld::makeOffer("long", 1, 6800, milliseconds(600), deadline);
    world.offer(job);
    for (int i = 0; i < 60; ++i) {
        offerSmall("fast");
        world.run(milliseconds(30));
    }
    BOOST_TEST((world.resultOf("long") == JobResult::Completed));
    BOOST_TEST(world.overlappingRuns == 0U);
}

// Guards against large jobs that are given up, or that wait behind small ones, while servers that
// can end them in time are there: every seed serves each size at least half as often as the kind.
BOOST_AUTO_TEST_CASE(largest_jobs_are_served_at_high_load)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        const Shares heavy = sharesOf(playDay(seed, 0.9), "heavy");
        BOOST_TEST_MESSAGE("seed " << seed << ": heavy " << heavy.all << ", largest tenth "
                                   << heavy.largestTenth << ", fifth below " << heavy.fifthBelow);
        BOOST_TEST(heavy.largestTenth >= heavy.all / 2);
        BOOST_TEST(heavy.fifthBelow >= heavy.all / 2);
    }
}

// Guards against gains of the smaller jobs at the cost of the largest: over all seeds these are
// served four fifths as often as the kind.
BOOST_AUTO_TEST_CASE(largest_jobs_are_served_nearly_as_often_as_others)
{
    constexpr double aim = 0.8;
    constexpr uint64_t seeds = 20;
    for (const double load : {0.7, 0.9, 1.1}) {
        Shares sum;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const Shares heavy = sharesOf(playDay(100 + seed, load), "heavy");
            sum.all += heavy.all / seeds;
            sum.largestTenth += heavy.largestTenth / seeds;
            sum.fifthBelow += heavy.fifthBelow / seeds;
        }
        BOOST_TEST_MESSAGE("load " << load << ": heavy " << sum.all << ", largest tenth "
                                   << sum.largestTenth << ", fifth below " << sum.fifthBelow);
        BOOST_TEST(sum.largestTenth >= aim * sum.all);
        BOOST_TEST(sum.fifthBelow >= aim * sum.all);
    }
}

// Guards against large jobs that are served at the cost of the small ones.
BOOST_AUTO_TEST_CASE(small_jobs_are_in_time_at_high_load)
{
    constexpr double aim = 0.9;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        const auto jobs = playDay(seed, 0.9);
        const auto isSmall = [](const PlayedJob &job) { return job.kind != "heavy"; };
        const auto inTime = std::count_if(jobs.begin(), jobs.end(), [&](const PlayedJob &job) {
            return isSmall(job) && job.isInTime;
        });
        const auto small = std::count_if(jobs.begin(), jobs.end(), isSmall);
        const double share = static_cast<double>(inTime) / static_cast<double>(small);
        BOOST_TEST_MESSAGE("seed " << seed << ": small jobs in time " << share);
        BOOST_TEST(share >= aim);
    }
}
