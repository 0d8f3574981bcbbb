// Cost of single operations, as input for the capacity page.
#pragma once

#include "lovage/admission.h"
#include "lovage/placement.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lovage::bench {

struct Point
{
    double x = 0;
    double y = 0;
};

// Least squares line. error is the root mean square of the residuals.
struct Line
{
    double base = 0;
    double slope = 0;
    double error = 0;
};

inline Line fitLine(const std::vector<Point> &points)
{
    const auto count = static_cast<double>(points.size());
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const Point &point : points) {
        x += point.x / count;
        y += point.y / count;
        xx += point.x * point.x / count;
        xy += point.x * point.y / count;
    }
    Line line;
    line.slope = (xy - x * y) / (xx - x * x);
    line.base = y - line.slope * x;
    for (const Point &point : points)
        line.error += std::pow(point.y - line.base - line.slope * point.x, 2) / count;
    line.error = std::sqrt(line.error);
    return line;
}

template<class Work>
double nanosecondsFor(const Work &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start)
            .count();
}

// Best of several runs, because the machine is shared.
template<class Work>
double leastNanoseconds(const Work &work)
{
    double least = INFINITY;
    for (int i = 0; i < 5; ++i)
        least = std::min(least, work());
    return least;
}

inline Placement makePlacement(uint32_t servers, uint64_t seed, Time now)
{
    Placement placement(PlacementOptions {}, seed);
    std::vector<BackendInfo> all;
    std::set<std::string> share;
    for (uint32_t i = 0; i < servers; ++i) {
        BackendInfo info;
        info.name = fmt::format("executor-{}", i);
        info.slots = 8;
        share.insert(info.name);
        all.push_back(info);
    }
    placement.setBackends(all, share, now);
    // Proves every server and teaches speeds that differ by a factor of four.
    TaskRequirements need;
    need.workClass = "screen";
    need.owner = "owner-a";
    need.declaredRunTime = std::chrono::milliseconds(500);
    for (int round = 0; round < 20; ++round) {
        for (uint32_t i = 0; i < servers; ++i) {
            placement.reserve(i, need, now);
            placement.release(i, need, AttemptOutcome::Succeeded,
                              Duration(250'000 + 750'000 * i / servers), now);
        }
    }
    return placement;
}

// Choice, reservation and release in steady state with seven of ten slots in use.
inline double nanosecondsPerTask(uint32_t servers, uint64_t seed)
{
    Time now {std::chrono::seconds(1000)};
    Placement placement = makePlacement(servers, seed, now);
    TaskRequirements need;
    need.workClass = "screen";
    need.owner = "owner-a";
    need.deadline = now + std::chrono::hours(1);
    std::vector<uint32_t> running;
    const auto start = [&] {
        const Choice choice = placement.choose(need, now);
        const auto *backend = std::get_if<ToBackend>(&choice);
        if (backend == nullptr)
            return false;
        placement.reserve(backend->backend, need, now);
        running.push_back(backend->backend);
        return true;
    };
    while (running.size() < servers * 56 / 10 && start()) { }
    Random random(seed);
    constexpr int tasks = 20000;
    const double total = nanosecondsFor([&] {
        for (int i = 0; i < tasks; ++i) {
            now += Duration(100);
            std::swap(running[random.below(running.size())], running.back());
            const uint32_t backend = running.back();
            running.pop_back();
            placement.release(backend, need, AttemptOutcome::Succeeded,
                              Duration(250'000 + 750'000 * backend / servers), now);
            start();
        }
    });
    return total / tasks;
}

inline double nanosecondsPerChoice(uint32_t servers, uint64_t seed)
{
    Time now {std::chrono::seconds(1000)};
    Placement placement = makePlacement(servers, seed, now);
    TaskRequirements need;
    need.workClass = "screen";
    need.owner = "owner-a";
    for (uint32_t i = 0; i < servers * 56 / 10; ++i) {
        const Choice choice = placement.choose(need, now);
        if (const auto *backend = std::get_if<ToBackend>(&choice))
            placement.reserve(backend->backend, need, now);
    }
    constexpr int choices = 20000;
    return nanosecondsFor([&] {
               for (int i = 0; i < choices; ++i)
                   placement.choose(need, now);
           })
            / choices;
}

// A job of 1,900 tasks on an idle share: choices until nothing is free.
inline double microsecondsForJob(uint32_t servers, uint64_t seed, uint32_t &started)
{
    const Time now {std::chrono::seconds(1000)};
    Placement placement = makePlacement(servers, seed, now);
    TaskRequirements need;
    need.workClass = "screen";
    need.owner = "owner-a";
    started = 0;
    return nanosecondsFor([&] {
               for (uint32_t i = 0; i < 1900; ++i) {
                   need.waiting = 1900 - i;
                   need.jobWaiting = need.waiting;
                   const Choice choice = placement.choose(need, now);
                   const auto *backend = std::get_if<ToBackend>(&choice);
                   if (backend == nullptr)
                       break;
                   placement.reserve(backend->backend, need, now);
                   ++started;
               }
           })
            / 1000;
}

inline QueuedTask makeTask(uint64_t submission, const std::string &owner, Time deadline)
{
    QueuedTask task;
    task.submission = submission;
    task.need.workClass = "screen";
    task.need.owner = owner;
    task.need.deadline = deadline;
    return task;
}

inline double nanosecondsPerQueuedTask(uint32_t owners)
{
    const Time now {std::chrono::seconds(1000)};
    FairQueue queue;
    std::vector<std::string> names;
    for (uint32_t i = 0; i < owners; ++i) {
        names.push_back(fmt::format("owner-{}", i));
        queue.setOwner(names.back(), 50 + 10.0 * (i % 10), 0);
    }
    constexpr uint32_t tasks = 20000;
    const double total = nanosecondsFor([&] {
        for (uint32_t i = 0; i < tasks; ++i) {
            const Time deadline = now + std::chrono::seconds(1 + i % 7);
            if (!queue.push(names[i % owners], makeTask(i + 1, names[i % owners], deadline), now))
                return;
        }
        while (queue.pop(now)) { }
    });
    return total / tasks;
}

// Cancels every second of 50,000 queued single-task submissions, then drops them by popping.
inline double millisecondsForCancelWave(double &popped)
{
    const Time now {std::chrono::seconds(1000)};
    FairQueue queue;
    for (uint64_t i = 1; i <= 50'000; ++i) {
        if (!queue.push("owner-a", makeTask(i, "owner-a", now + Duration(1'000'000 + i % 1000)),
                        now))
            return INFINITY;
    }
    const double wave = nanosecondsFor([&] {
        for (uint64_t i = 1; i <= 50'000; i += 2)
            queue.cancel(i);
    });
    popped = nanosecondsFor([&] {
                 while (queue.pop(now)) { }
             })
            / 1e6;
    return wave / 1e6;
}

inline double quotaBytesPerOwner(uint32_t loans)
{
    constexpr uint32_t owners = 360;
    QuotaOptions options;
    options.vm = "vm-0";
    options.incarnation = 1;
    for (int i = 0; i < 8; ++i)
        options.configuredVms.push_back(fmt::format("vm-{}", i));
    Time now {std::chrono::seconds(1000)};
    QuotaShares shares(options, now);
    for (uint32_t i = 0; i < owners; ++i)
        shares.setQuota(fmt::format("owner-{}", i), 1000, now);
    now += std::chrono::seconds(5);
    for (uint32_t i = 0; i < owners; ++i) {
        for (uint32_t loan = 0; loan < loans; ++loan)
            shares.grant({fmt::format("owner-{}", i), "vm-0", "vm-1", 1, 5000}, now);
    }
    return static_cast<double>(shares.stateBytes()) / owners;
}

inline void printLine(const char *what, const char *per, const std::vector<Point> &points)
{
    for (const Point &point : points)
        fmt::print("{}: {:.0f} {}: {:.0f} ns\n", what, point.x, per, point.y);
    const Line line = fitLine(points);
    fmt::print("{}: {:.1f} ns + {:.3f} ns per {}, fit error {:.1f} ns\n", what, line.base,
               line.slope, per, line.error);
}

inline void printCosts(uint64_t seed)
{
    std::vector<Point> choices;
    std::vector<Point> tasks;
    for (const uint32_t servers : {10U, 50U, 100U, 200U, 400U, 800U, 1100U}) {
        choices.push_back({double(servers),
                           leastNanoseconds([&] { return nanosecondsPerChoice(servers, seed); })});
        tasks.push_back({double(servers),
                         leastNanoseconds([&] { return nanosecondsPerTask(servers, seed); })});
    }
    printLine("choice", "servers", choices);
    printLine("choice+reserve+release", "servers", tasks);
    for (const uint32_t servers : {50U, 400U}) {
        uint32_t started = 0;
        const double spent =
                leastNanoseconds([&] { return microsecondsForJob(servers, seed, started); });
        fmt::print("job of 1900 tasks on {} idle servers: {} started in {:.0f} us\n", servers,
                   started, spent);
    }
    std::vector<Point> queue;
    for (const uint32_t owners : {1U, 10U, 30U, 60U, 120U, 240U, 360U})
        queue.push_back({double(owners),
                         leastNanoseconds([&] { return nanosecondsPerQueuedTask(owners); })});
    printLine("fair queue push+pop", "owners", queue);
    double popped = 0;
    const double wave = leastNanoseconds([&] { return millisecondsForCancelWave(popped); });
    fmt::print("cancel 25000 of 50000 queued tasks: {:.2f} ms; popping the rest: {:.2f} ms\n", wave,
               popped);
    for (const uint32_t loans : {0U, 4U, 8U})
        fmt::print("quota state with {} loans: {:.0f} bytes per owner\n", loans,
                   quotaBytesPerOwner(loans));
}

} // namespace lovage::bench
