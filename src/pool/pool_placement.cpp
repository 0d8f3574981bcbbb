// Assigns queued tasks to servers and forecasts the wait of new jobs.
#include "durations.h"
#include "pool_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace lovage {

using pool::Ownership;
using pool::QueueKey;
using pool::Run;
using pool::scaled;
using pool::Task;
using pool::TaskState;

namespace {

constexpr double milliCoreMicrosPerCoreSecond = 1e9;
// A placement pass ends when more than this number of jobs could not be placed completely.
constexpr size_t maxUnplacedJobs = 32;
// Average share of a server's cores that is in use when no further task fits.
constexpr double packingShare = 0.85;
// Safety margin of a task before its objective, in standard deviations of the run time.
constexpr double marginDeviations = 1.2;
// Retry time for a job that is refused after it was accepted. Its queue is then full of more urgent
// work.
constexpr Duration retryAfterOverload = std::chrono::seconds(1);
// Maximum number of tasks that a forecast places. A longer queue is too long for any new job.
constexpr size_t maxForecastTasks = 1000;
// Cores of a typical task until the first job of a service has been placed.
constexpr uint32_t defaultMilliCores = 1000;

} // namespace

Pool::Implementation::ServiceSpeed Pool::Implementation::speedOf(const std::string &service) const
{
    std::vector<const Server *> known;
    for (const auto &[id, server] : servers_) {
        if (server.info().service == service && server.ownership == Ownership::Held
            && server.samples > 0)
            known.push_back(&server);
    }
    ServiceSpeed speed;
    if (known.empty())
        return speed;
    for (const Server *server : known)
        speed.meanLogSlowness += server->logSlowness / static_cast<double>(known.size());
    speed.minSlowness = std::numeric_limits<double>::max();
    for (const Server *server : known)
        speed.minSlowness =
                std::min(speed.minSlowness, pool::slownessOf(*server, speed.meanLogSlowness));
    return speed;
}

double Pool::Implementation::rateOf(const std::string &service, Time now) const
{
    const double meanLogSlowness = speedOf(service).meanLogSlowness;
    double rate = 0;
    for (const auto &[id, server] : servers_) {
        if (server.info().service == service && server.isOpen(now))
            rate += server.info().capacity.milliCores / 1000.0 * packingShare
                    / pool::slownessOf(server, meanLogSlowness);
    }
    return rate;
}

std::vector<ServiceLoad> Pool::Implementation::load(Time now) const
{
    std::map<std::string, ServiceLoad> loads;
    for (const auto &[id, server] : servers_) {
        if (!server.isOpen(now))
            continue;
        const std::string &service = server.info().service;
        ServiceLoad &load = loads[service];
        load.service = service;
        ++load.servers;
        const auto typical = typicalMilliCores_.find(service);
        const uint32_t portion =
                typical == typicalMilliCores_.end() ? defaultMilliCores : typical->second;
        load.freeMilliCores += uint64_t {server.freeMilliCores() / portion} * portion;
    }
    for (const auto &[number, job] : jobs_) {
        const auto load = loads.find(job.offer.service);
        if (load != loads.end())
            load->second.queuedWork += pool::queuedCoreSeconds(job);
    }
    std::vector<ServiceLoad> result;
    for (auto &[service, load] : loads) {
        load.rate = isDraining_ ? 0 : rateOf(service, now);
        result.push_back(std::move(load));
    }
    return result;
}

// Simulates placement of the current queue, with this job in it, on the current capacity.
Pool::Implementation::Forecast Pool::Implementation::forecast(const Job &job, Time now)
{
    const double minSlowness = speedOf(job.offer.service).minSlowness;
    std::vector<std::pair<QueueKey, const Job *>> queue {{queueKey(job, minSlowness, now), &job}};
    for (const auto &[number, other] : jobs_) {
        if (other.queued > 0 && other.offer.service == job.offer.service)
            queue.emplace_back(queueKey(other, minSlowness, now), &other);
    }
    std::sort(queue.begin(), queue.end(),
              [](const auto &left, const auto &right) { return left.first < right.first; });
    Forecast forecast;
    pool::Timetable timetable = makeTimetable(job.offer.service, now);
    reserveForMoves(movesOf(job.offer.service, now), timetable, now);
    std::optional<pool::Timetable> timetableWithoutJob;
    size_t budget = maxForecastTasks;
    for (const auto &[key, waiting] : queue) {
        if (waiting == &job) {
            timetableWithoutJob = timetable;
            forecast.jobSpan = simulate(job, timetable, budget, now);
            continue;
        }
        const auto span = simulate(*waiting, timetable, budget, now);
        if (!timetableWithoutJob || !span)
            continue;
        const auto undelayed = simulate(*waiting, *timetableWithoutJob, budget, now);
        forecast.delaysAcceptedJobs |= undelayed && undelayed->end <= waiting->objectiveAt
                && span->end > undelayed->end
                && likelyEnd(*waiting, span->lastStart, span->end, now) > waiting->objectiveAt;
    }
    return forecast;
}

// Reserves capacity for the queued tasks of a job. Returns nullopt if a task fits no server or if
// the budget of tasks is used up.
std::optional<Pool::Implementation::ForecastSpan>
Pool::Implementation::simulate(const Job &job, pool::Timetable &timetable, size_t &budget,
                               Time now) const
{
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    ForecastSpan span {now, now};
    for (const Task &task : job.tasks) {
        if (task.state != TaskState::Queued)
            continue;
        const auto choice = choosePlace(job, task, timetable, now);
        if (!choice || budget == 0)
            return std::nullopt;
        --budget;
        choice->place->reserve(job.stepOf(task).demand, choice->start, choice->end);
        span.lastStart = std::max(span.lastStart, choice->start);
        span.end = std::max(span.end, choice->end);
        if (likelyEnd(job, choice->start, choice->end, now) <= target)
            ++span.inTime;
        if (conservativeEnd(job, choice->start, choice->end, now) <= target)
            ++span.inTimeWithMargin;
    }
    return span;
}

void Pool::Implementation::placeQueued(Time now)
{
    isPlacementDue_ = false;
    std::map<std::string, std::vector<QueueKey>> waiting; // keys of the queued jobs, by service
    for (const auto &[number, job] : jobs_) {
        std::vector<QueueKey> &keys = waiting[job.offer.service];
        if (job.queued > 0)
            keys.push_back(queueKey(job, speedOf(job.offer.service).minSlowness, now));
    }
    std::vector<JobNumber> unachievable;
    for (auto &[service, keys] : waiting) {
        const std::vector<Move> moves = movesOf(service, now);
        if (keys.empty() && moves.empty())
            continue;
        std::sort(keys.begin(), keys.end());
        pool::Timetable timetable = makeTimetable(service, now);
        for (const Move &move : reserveForMoves(moves, timetable, now))
            moveSlowRun(move, now);
        size_t unplacedJobs = 0;
        for (const QueueKey &key : keys) {
            Job &job = jobs_.at(key.job);
            const PlacementResult placed = placeJob(job, timetable, now);
            if (placed.expectedEnd > giveUpTime(job) && !job.hasStarted)
                unachievable.push_back(key.job);
            if (!placed.isComplete && ++unplacedJobs > maxUnplacedJobs)
                break;
        }
    }
    for (const JobNumber number : unachievable)
        answer(jobs_.at(number), JobResult::Refused, "no-room-in-time", now, retryAfterOverload);
}

pool::Timetable Pool::Implementation::makeTimetable(const std::string &service, Time now)
{
    const double meanLogSlowness = speedOf(service).meanLogSlowness;
    pool::Timetable timetable;
    for (auto &[id, server] : servers_) {
        if (server.info().service == service && isPlaceable(server, now))
            timetable.emplace_back(server, pool::slownessOf(server, meanLogSlowness), now);
    }
    return timetable;
}

// Returns whether a server may still run the task.
bool Pool::Implementation::hasRuns(const std::string &task) const
{
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const auto &entry) { return entry.second.runs().contains(task); });
}

// Starts the tasks that can start now and reserves capacity for the others.
Pool::Implementation::PlacementResult
Pool::Implementation::placeJob(Job &job, pool::Timetable &timetable, Time now)
{
    PlacementResult placed;
    for (size_t i = 0; i < job.tasks.size() && job.queued > 0; ++i) {
        if (job.tasks[i].state != TaskState::Queued)
            continue;
        if (job.tasks[i].lastRun > 0 && hasRuns(toString(job.nameOf(i)))) {
            placed.isComplete = false;
            continue;
        }
        const auto choice = choosePlace(job, job.tasks[i], timetable, now);
        if (!choice) {
            placed.isComplete = false;
            return placed;
        }
        placed.expectedEnd = std::max(placed.expectedEnd, choice->end);
        if (choice->start > now) {
            choice->place->reserve(job.stepOf(job.tasks[i]).demand, choice->start, choice->end);
            placed.isComplete = false;
            continue;
        }
        choice->place->reserve(job.stepOf(job.tasks[i]).demand, now, choice->end);
        orderTask(choice->place->server(), job, i, now);
    }
    return placed;
}

// Prefers the slowest server that is free now and on which the task would end in time with a
// margin, because this leaves faster servers to work that needs them. The second choice is the free
// server on which the task would end first, if that is in time. Otherwise the task waits for the
// server on which it would end first.
std::optional<Pool::Implementation::Choice>
Pool::Implementation::choosePlace(const Job &job, const Task &task, pool::Timetable &timetable,
                                  Time now) const
{
    const Step &step = job.stepOf(task);
    const double margin = std::exp(marginDeviations * model_.deviation(job.offer.queue));
    const std::string name = toString(TaskName {job.offer.job.id, 0, task.step, task.index});
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    std::optional<Choice> earliest;    // earliest end on any server
    std::optional<Choice> earliestNow; // earliest end on a server that is free now
    std::optional<Choice> withMargin;  // latest end with a margin on a server that is free now
    for (pool::ServerTimetable &place : timetable) {
        const Server &server = place.server();
        if (server.info().capacity.milliCores < step.demand.milliCores
            || server.runs().contains(name) || !isAllowed(server, step, name))
            continue;
        // A server never shortens its lease, so the run might outlive the lease of its job.
        if (server.leaseEnd() > runsEndBy(job))
            continue;
        Choice choice {&place, place.earliestStart(step.demand), {}};
        const bool isNow = choice.start <= now;
        if (isNow && !server.fits(step.demand))
            continue; // lacks memory or accelerators
        Duration run = scaled(job.predictedFor(task), place.slowness());
        if (server.info().id == task.avoidedServer
            || (!step.dataRack.empty() && !pool::hasLabel(server.info(), step.dataRack)))
            run *= 2;
        choice.end = choice.start + run;
        if (!earliest || choice.end < earliest->end)
            earliest = choice;
        if (isNow && (!earliestNow || choice.end < earliestNow->end))
            earliestNow = choice;
        if (isNow && now + scaled(run, margin) <= target
            && (!withMargin || choice.end > withMargin->end))
            withMargin = choice;
    }
    if (withMargin)
        return withMargin;
    return earliestNow && earliestNow->end <= target ? earliestNow : earliest;
}

// Returns whether the requirements of the step, other than its demand, permit the task on the
// server.
bool Pool::Implementation::isAllowed(const Server &server, const Step &step,
                                     const std::string &task)
{
    if (!step.requiredLabel.empty() && !pool::hasLabel(server.info(), step.requiredLabel))
        return false;
    const auto disturbs = [&](const auto &entry) {
        return (step.usesSpareCores && entry.second.isServing)
                || (step.isServing && entry.second.usesSpareCores);
    };
    const auto &runs = server.runs();
    if ((step.usesSpareCores || step.isServing) && std::any_of(runs.begin(), runs.end(), disturbs))
        return false;
    if (step.maxPerServer == 0)
        return true;
    const std::string prefix = task.substr(0, task.rfind('.') + 1);
    uint32_t count = 0;
    for (auto run = runs.lower_bound(prefix); run != runs.end() && run->first.starts_with(prefix);
         ++run)
        ++count;
    return count < step.maxPerServer;
}

void Pool::Implementation::orderTask(Server &server, Job &job, size_t index, Time now)
{
    Task &task = job.tasks[index];
    const Step &step = job.stepOf(task);
    const std::string name = toString(job.nameOf(index));
    task.state = TaskState::Active;
    if (++task.lastRun == 1)
        job.lastFirstStart = now;
    --job.queued;
    ++job.active;
    job.hasStarted = true;
    typicalMilliCores_[job.offer.service] = std::max<uint32_t>(step.demand.milliCores, 1);
    Run run;
    run.job = job.number;
    run.task = index;
    run.number = task.lastRun;
    run.demand = step.demand;
    run.expected = pool::expectedRunTime(server, job.predictedFor(task),
                                         speedOf(job.offer.service).meanLogSlowness);
    logEvent("run-ordered", job.offer.job.id,
             fmt::format("task={} run={} server={} token={} expected_us={}", name, run.number,
                         server.info().id, server.token, run.expected.count()));
    orderRun(server, name, run, job.offer.job.payload, {}, now);
}

void Pool::Implementation::orderRun(Server &server, const std::string &task, Run run,
                                    std::string payload, std::string checkpoint, Time now)
{
    ++counters_.starts;
    run.orderedAt = now;
    run.orderedTo = server.incarnationCount();
    run.address = server.info().address;
    OrderStart start;
    start.ref = {server.info().id, task, run.number};
    start.address = server.info().address;
    start.payload = std::move(payload);
    start.checkpoint = std::move(checkpoint);
    start.token = server.token;
    server.add(task, std::move(run));
    start.leaseUntilMs = server.leaseForStart(now, leaseEndsBy(server));
    actions_.emplace_back(std::move(start));
}

} // namespace lovage
