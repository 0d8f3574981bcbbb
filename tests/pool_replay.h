// Seeded replays of random arrivals in a pool at high load, and the shares of the jobs that are
// served.
#pragma once

#include "pool_world.h"

#include <algorithm>
#include <cmath>

namespace lovage::test {

inline constexpr Duration simulatedTime = std::chrono::seconds(40);
inline constexpr Duration deadline = milliseconds(1500);
// Relative variation between jobs, which is also the error of declared run times, and between the
// tasks of a job. Both are standard deviations of logarithms.
inline constexpr double spread = 0.4;
inline constexpr double taskSpread = 0.15;

struct JobKind
{
    std::string name;
    double width;
    Duration runTime;
    double perSecond;
};

struct ReplayedLoad
{
    struct Server
    {
        uint32_t milliCores = 0;
        double slowness = 1;
    };
    std::vector<Server> servers;
    std::vector<JobKind> kinds; // rates at load 1
    double meanMilliCores = 0;
    double largestMilliCores = 0;
    // Share of the jobs that run `longFactor` times as long, which their declared run time does not
    // reflect.
    double longShare = 0;
    double longFactor = 7;
};

// Returns a sample of the lognormal distribution with this mean; `deviation` is the standard
// deviation of the logarithm.
inline double lognormal(Random &random, double mean, double deviation)
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

// Simulates seeded random arrivals.
inline std::vector<SimulatedJob> simulateLoad(const ReplayedLoad &replayed, uint64_t seed,
                                              double load)
{
    const std::vector<JobKind> &kinds = replayed.kinds;
    Random random(seed);
    PoolWorld world;
    for (size_t i = 0; i < replayed.servers.size(); ++i)
        world.addServer("s" + std::to_string(i), replayed.servers[i].milliCores,
                        replayed.servers[i].slowness);
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
        const double milliCores = std::min(lognormal(random, replayed.meanMilliCores, 0.2),
                                           replayed.largestMilliCores);
        const bool isLong = replayed.longShare > 0 && random.unit() < replayed.longShare;
        const double actualMicros = isLong ? micros * replayed.longFactor : micros;
        SimulatedJob job;
        job.kind = kind.name;
        job.offered = world.now;
        Duration longest {};
        for (uint32_t index = 0; index < width; ++index) {
            const double taskMicros = lognormal(random, actualMicros, taskSpread);
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

inline double servedShare(const std::vector<SimulatedJob> &jobs, size_t begin, size_t end)
{
    const auto served = std::count_if(jobs.begin() + static_cast<long>(begin),
                                      jobs.begin() + static_cast<long>(end),
                                      [](const SimulatedJob &job) { return job.isServed; });
    return static_cast<double>(served) / static_cast<double>(end - begin);
}

inline ServedShares servedSharesOf(std::vector<SimulatedJob> jobs, const std::string &kind)
{
    std::erase_if(jobs, [&](const SimulatedJob &job) { return job.kind != kind; });
    std::sort(jobs.begin(), jobs.end(), [](const SimulatedJob &left, const SimulatedJob &right) {
        return left.coreSeconds > right.coreSeconds;
    });
    const size_t tenth = jobs.size() / 10;
    return {servedShare(jobs, 0, jobs.size()), servedShare(jobs, 0, tenth),
            servedShare(jobs, tenth, 3 * tenth)};
}

} // namespace lovage::test
