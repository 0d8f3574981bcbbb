#include "lovagebench/workload.h"

#include <algorithm>
#include <queue>

namespace lovage::bench {

using namespace std::chrono_literals;

namespace {

constexpr Duration burstLength = 2s;
constexpr double burstFactor = 10.0;
constexpr double repeatableShare = 0.5;
constexpr double maxOverMean = 10.0; // a few tasks last several seconds

Duration drawRunTime(const ClassProfile &workClass, Random &random)
{
    const double mean = workClass.meanMs;
    const double drawn = 0.1 * mean + random.exponential(0.9 * mean);
    return Duration(static_cast<int64_t>(1000 * std::min(drawn, maxOverMean * mean)));
}

double capacityOf(const std::vector<Server> &servers, BackendKind kind)
{
    double capacity = 0;
    for (const Server &server : servers) {
        if (server.kind == kind)
            capacity += server.slots * server.speed;
    }
    return capacity;
}

void planClass(const Profile &profile, size_t index, double capacity,
               const WorkloadOptions &options, Random &random, std::vector<Planned> &work)
{
    const ClassProfile &workClass = profile.classes[index];
    const double meanTasks = (workClass.minTasks + workClass.maxTasks) / 2.0;
    const double meanWorkUs = 1000 * workClass.meanMs * meanTasks;
    const double ratePerUs = options.load * workClass.workShare * capacity / meanWorkUs;
    if (ratePerUs <= 0)
        return;
    Duration at {};
    while (true) {
        const bool isBurst =
                options.burstAt && at >= *options.burstAt && at < *options.burstAt + burstLength;
        const double rate = isBurst ? burstFactor * ratePerUs : ratePerUs;
        at += Duration(static_cast<int64_t>(random.exponential(1.0 / rate)));
        if (at >= options.length)
            return;
        Planned planned;
        planned.at = at;
        planned.workClass = index;
        const uint64_t span = workClass.maxTasks - workClass.minTasks + 1;
        const uint64_t count = workClass.minTasks + random.below(span);
        for (uint64_t i = 0; i < count; ++i)
            planned.runTimes.push_back(drawRunTime(workClass, random));
        planned.isRepeatable = random.unit() < repeatableShare;
        planned.isCancelled = random.unit() < options.cancelShare;
        planned.isResent = random.unit() < options.resendShare;
        work.push_back(std::move(planned));
    }
}

} // namespace

std::optional<Profile> findProfile(const std::string &name)
{
    constexpr auto executor = BackendKind::Executor;
    constexpr auto worker = BackendKind::Worker;
    if (name == "teranga")
        return Profile {"teranga",
                        "shortlist",
                        0.8,
                        {{"screen", executor, false, 150, 1, 1, 0.5},
                         {"echo", executor, false, 60, 1, 1, 0.1},
                         {"vet", executor, false, 400, 1, 1, 0.4},
                         {"vet-job", worker, true, 400, 20, 200, 1.0}}};
    if (name == "manhmoi")
        return Profile {"manhmoi",
                        "cluepack",
                        0.2,
                        {{"check", executor, false, 100, 1, 1, 0.5},
                         {"hint", executor, false, 300, 1, 1, 0.5},
                         {"route", worker, true, 300, 20, 300, 1.0}}};
    return std::nullopt;
}

void declareWrongSizes(Profile &profile)
{
    constexpr double factor = 4;
    for (size_t i = 0; i < profile.classes.size(); ++i)
        profile.classes[i].declaredFactor = i % 2 == 0 ? factor : 1 / factor;
}

void addImpossibleClass(Profile &profile)
{
    ClassProfile impossible {"impossible", BackendKind::Worker, true, 300, 20, 20, 0.01};
    impossible.isImpossible = true;
    profile.classes.push_back(impossible);
}

std::vector<Planned> planWorkload(const Profile &profile, const std::vector<Server> &servers,
                                  const WorkloadOptions &options)
{
    Random random(options.seed);
    std::vector<Planned> work;
    for (size_t i = 0; i < profile.classes.size(); ++i)
        planClass(profile, i, capacityOf(servers, profile.classes[i].kind), options, random, work);
    std::sort(work.begin(), work.end(), [](const Planned &a, const Planned &b) {
        return std::pair(a.at, a.workClass) < std::pair(b.at, b.workClass);
    });
    return work;
}

std::vector<Duration> idealResponses(const Profile &profile, const std::vector<Planned> &work,
                                     const std::vector<Server> &servers)
{
    using Slots = std::priority_queue<Duration, std::vector<Duration>, std::greater<>>;
    std::vector<Slots> freeAt(servers.size());
    for (size_t i = 0; i < servers.size(); ++i) {
        for (uint32_t slot = 0; slot < servers[i].slots; ++slot)
            freeAt[i].push(Duration::zero());
    }
    std::vector<Duration> responses;
    for (const Planned &planned : work) {
        const BackendKind kind = profile.classes[planned.workClass].kind;
        if (profile.classes[planned.workClass].isImpossible) {
            responses.push_back(Duration::zero());
            continue;
        }
        Duration last = planned.at;
        for (const Duration runTime : planned.runTimes) {
            std::optional<size_t> best;
            Duration bestEnd {};
            for (size_t i = 0; i < servers.size(); ++i) {
                if (servers[i].kind != kind || freeAt[i].empty())
                    continue;
                const auto ran = static_cast<int64_t>(static_cast<double>(runTime.count())
                                                      / servers[i].speed);
                const Duration end = std::max(planned.at, freeAt[i].top()) + Duration(ran);
                if (!best || end < bestEnd) {
                    best = i;
                    bestEnd = end;
                }
            }
            if (!best)
                continue;
            freeAt[*best].pop();
            freeAt[*best].push(bestEnd);
            last = std::max(last, bestEnd);
        }
        responses.push_back(last - planned.at);
    }
    return responses;
}

} // namespace lovage::bench
