// Assigns queued tasks to servers.
#include "durations.h"
#include "pool_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace lovage {

using pool::Ownership;
using pool::Run;
using pool::scaled;
using pool::Task;
using pool::TaskState;

namespace {

// A placement pass ends when more than this number of jobs could not be placed completely.
constexpr size_t maxUnplacedJobs = 32;
// Largest share of a server's cores that tasks use on average under full load, however small they
// are: a part is idle between the end of a run and the next start.
constexpr double maxUsedShare = 0.85;
// Safety margin of a task before its objective, in standard deviations of the run time.
constexpr double marginDeviations = 1.2;
// Retry time for a job that is refused after it was accepted. Its queue is then full of more urgent
// work.
constexpr Duration retryAfterOverload = std::chrono::seconds(1);

// Returns whether isAllowed() depends on the server for tasks of this step.
bool hasRequirements(const Step &step)
{
    return !step.requiredLabel.empty() || step.usesSpareCores || step.isServing
            || step.maxPerServer > 0;
}

} // namespace

Pool::Implementation::ServiceSpeed Pool::Implementation::speedOf(const std::string &service) const
{
    auto known = speeds_.find(service);
    if (known == speeds_.end())
        known = speeds_.emplace(service, calculateSpeed(service)).first;
    return known->second;
}

Pool::Implementation::ServiceSpeed
Pool::Implementation::calculateSpeed(const std::string &service) const
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
    const auto sizes = sizes_.find(service);
    double rate = 0;
    for (const auto &[id, server] : servers_) {
        if (server.info().service != service || !server.isOpen(now))
            continue;
        const double all = server.info().capacity.milliCores;
        const double usable = sizes == sizes_.end()
                ? all
                : sizes->second.usable(server.info().capacity.milliCores);
        rate += std::min(usable, all * maxUsedShare) / 1000
                / pool::slownessOf(server, meanLogSlowness);
    }
    return rate;
}

std::vector<ServiceLoad> Pool::Implementation::load(Time now) const
{
    std::map<std::string, ServiceLoad> loads;
    ServiceLoad *load = nullptr; // that of the previous server or job, which most others share
    const pool::TaskSizes *sizes = nullptr; // those of the service of `load`
    for (const auto &[id, server] : servers_) {
        if (!server.isOpen(now))
            continue;
        const std::string &service = server.info().service;
        if (!load || load->service != service) {
            load = &loads[service];
            load->service = service;
            const auto known = sizes_.find(service);
            sizes = known == sizes_.end() ? nullptr : &known->second;
        }
        ++load->servers;
        const uint32_t free = server.freeMilliCores();
        if (isOpenForWork())
            load->freeMilliCores += sizes ? sizes->usable(free) : free;
    }
    for (const auto &[number, job] : jobs_) {
        if (!load || load->service != job.offer.service) {
            const auto found = loads.find(job.offer.service);
            if (found == loads.end())
                continue;
            load = &found->second;
        }
        load->queuedWork += pool::queuedCoreSeconds(job);
    }
    std::vector<ServiceLoad> result;
    for (auto &[service, entry] : loads) {
        entry.rate = takesNewWork() ? rateOf(service, now) : 0;
        entry.inputLag = inputLag_;
        result.push_back(std::move(entry));
    }
    return result;
}

void Pool::Implementation::placeQueued(Time now)
{
    isPlacementDue_ = false;
    const bool isReview = std::exchange(isReviewDue_, false);
    ++placementPasses_;
    std::map<std::string, std::vector<QueueKey>> waiting; // keys of the queued jobs, by service
    for (const auto &[number, job] : jobs_) {
        std::vector<QueueKey> &keys = waiting[job.offer.service];
        if (job.queued > 0)
            keys.push_back(queueKey(job, speedOf(job.offer.service).minSlowness, now));
    }
    std::vector<JobNumber> unachievable;
    for (auto &[service, keys] : waiting) {
        const std::vector<Move> moves = movesOf(service, now);
        if (moves.empty() && (keys.empty() || !(isReview || hasRoomForAny(service, keys, now))))
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

// Returns whether some server has enough free cores for the smallest task of the waiting jobs.
bool Pool::Implementation::hasRoomForAny(const std::string &service,
                                         const std::vector<QueueKey> &keys, Time now) const
{
    uint32_t smallest = UINT32_MAX;
    for (const QueueKey &key : keys) {
        for (const Step &step : jobs_.at(key.job).offer.job.steps)
            smallest = std::min(smallest, step.demand.milliCores);
    }
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto &entry) {
        const Server &server = entry.second;
        return server.freeMilliCores() >= smallest && server.info().service == service
                && server.isOpen(now);
    });
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
    StepPlaces places;
    for (size_t i = 0; i < job.tasks.size() && job.queued > 0; ++i) {
        if (job.tasks[i].state != TaskState::Queued)
            continue;
        if (job.tasks[i].lastRun > 0 && hasRuns(toString(job.nameOf(i)))) {
            placed.isComplete = false;
            continue;
        }
        const auto choice = choosePlace(job, job.tasks[i], timetable, places, now);
        if (!choice) {
            placed.isComplete = false;
            return placed;
        }
        placed.expectedEnd = std::max(placed.expectedEnd, choice->end);
        if (choice->start > now)
            placed.isComplete = false;
        else
            orderTask(timetable[choice->place].server(), job, i, now);
        reserve(job, job.tasks[i], *choice, timetable, places, now);
    }
    return placed;
}

Pool::Implementation::PlaceOption Pool::Implementation::optionOf(const Job &job, const Task &task,
                                                                 bool hasRun,
                                                                 const pool::ServerTimetable &place,
                                                                 Time now) const
{
    const Step &step = job.stepOf(task);
    const Server &server = place.server();
    PlaceOption option;
    if (server.info().capacity.milliCores < step.demand.milliCores)
        return option;
    if (hasRun || hasRequirements(step)) {
        const std::string name = toString(TaskName {job.offer.job.id, 0, task.step, task.index});
        if ((hasRun && server.runs().contains(name)) || !isAllowed(server, step, name))
            return option;
    }
    // A server never shortens its lease, so the run might outlive the lease of its job.
    if (server.leaseEnd() > runsEndBy(job))
        return option;
    option.start = std::max(place.earliestStart(step.demand), now);
    if (option.start <= now && !server.fits(step.demand))
        return option; // lacks memory or accelerators
    option.run = scaled(job.predictedFor(task), place.slowness());
    if (server.info().id == task.avoidedServer
        || (!step.dataRack.empty() && !pool::hasLabel(server.info(), step.dataRack)))
        option.run *= 2;
    option.isUsable = true;
    return option;
}

// Calculates the options of all servers unless they are known from a task of the same step.
void Pool::Implementation::findPlaces(const Job &job, const Task &task,
                                      const pool::Timetable &timetable, StepPlaces &places,
                                      Time now) const
{
    const bool hasRun = task.lastRun > 0;
    if (!hasRun && places.job == &job && places.step == task.step)
        return;
    places.job = hasRun ? nullptr : &job;
    places.step = task.step;
    places.margin = std::exp(marginDeviations * model_.deviation(job.offer.queue));
    places.options.clear();
    for (size_t i = 0; i < timetable.size(); ++i) {
        PlaceOption option = optionOf(job, task, hasRun, timetable[i], now);
        option.place = i;
        if (option.isUsable)
            places.options.push_back(option);
    }
}

// Prefers the slowest server that is free now and on which the task would end in time with a
// margin, because this leaves faster servers to work that needs them. The second choice is the free
// server on which the task would end first, if that is in time. Otherwise the task waits for the
// server on which it would end first.
std::optional<Pool::Implementation::Choice>
Pool::Implementation::choosePlace(const Job &job, const Task &task,
                                  const pool::Timetable &timetable, StepPlaces &places,
                                  Time now) const
{
    findPlaces(job, task, timetable, places, now);
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    std::optional<Choice> earliest;    // earliest end on any server
    std::optional<Choice> earliestNow; // earliest end on a server that is free now
    std::optional<Choice> withMargin;  // latest end with a margin on a server that is free now
    for (size_t i = 0; i < places.options.size(); ++i) {
        const PlaceOption &option = places.options[i];
        if (!option.isUsable)
            continue;
        const Choice choice {i, option.place, option.start, option.start + option.run};
        if (!earliest || choice.end < earliest->end)
            earliest = choice;
        if (choice.start > now)
            continue;
        if (!earliestNow || choice.end < earliestNow->end)
            earliestNow = choice;
        if ((!withMargin || choice.end > withMargin->end)
            && now + scaled(option.run, places.margin) <= target)
            withMargin = choice;
    }
    if (withMargin)
        return withMargin;
    return earliestNow && earliestNow->end <= target ? earliestNow : earliest;
}

void Pool::Implementation::reserve(const Job &job, const Task &task, const Choice &choice,
                                   pool::Timetable &timetable, StepPlaces &places, Time now) const
{
    pool::ServerTimetable &place = timetable[choice.place];
    place.reserve(job.stepOf(task).demand, choice.start, choice.end);
    if (places.job != &job)
        return; // the options are those of this task only
    PlaceOption &option = places.options[choice.option];
    option = optionOf(job, task, false, place, now);
    option.place = choice.place;
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
