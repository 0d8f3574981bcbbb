// Forecasts the wait of new jobs from a plan of the queue.
#include "durations.h"
#include "pool_impl.h"

#include <algorithm>

namespace lovage {

using pool::Task;
using pool::TaskState;

namespace {

// Maximum number of tasks in a plan. A longer queue is too long for any new job.
constexpr size_t maxPlannedTasks = 1000;
// Maximum number of waiting tasks behind a new job for which a forecast checks whether the job
// delays them.
constexpr size_t maxCheckedTasks = 200;
// A plan is used for this time per pair of a task and a server that were compared for it, although
// the queue or the runs have changed since. A comparison takes some 4 ns on a whole core, so a VM
// of an eighth of a core spends at most about a fifth of its time on plans.
constexpr Duration maxAgePerThousandComparisons = std::chrono::microseconds(160);

} // namespace

void Pool::Implementation::forgetPlans()
{
    plans_.clear();
    speeds_.clear();
}

// Forecasts the course of the new job and of those behind it in the queue.
Pool::Implementation::Forecast Pool::Implementation::forecast(const Job &job, Time now)
{
    const QueuePlan &plan = planOf(job.offer.service, now);
    const QueueKey key = queueKey(job, speedOf(job.offer.service).minSlowness, now);
    const auto behind =
            std::partition_point(plan.jobs.begin(), plan.jobs.end(),
                                 [&](const PlannedJob &planned) { return planned.key < key; });
    pool::Timetable timetable = plan.timetable;
    size_t tasks = 0;
    for (auto ahead = plan.jobs.begin(); ahead != behind; ++ahead) {
        for (const PlannedTask &task : ahead->tasks)
            timetable[task.place].reserve(task.demand, task.start, task.end);
        tasks += ahead->tasks.size();
    }
    Forecast forecast;
    forecast.position = static_cast<size_t>(behind - plan.jobs.begin());
    if (tasks >= maxPlannedTasks)
        return forecast;
    forecast.replanned.push_back(simulate(key, job, timetable, now));
    forecast.jobSpan = forecast.replanned.front().span;
    if (!forecast.jobSpan || isLate(job, *forecast.jobSpan, now))
        return forecast;
    tasks = 0;
    for (auto planned = behind; planned != plan.jobs.end(); ++planned) {
        const auto found = jobs_.find(planned->key.job);
        if (found == jobs_.end() || found->second.queued == 0 || tasks >= maxCheckedTasks) {
            forecast.replanned.push_back(*planned);
            continue;
        }
        const Job &waiting = found->second;
        forecast.replanned.push_back(simulate(planned->key, waiting, timetable, now));
        tasks += forecast.replanned.back().tasks.size();
        const auto &span = forecast.replanned.back().span;
        const auto &undelayed = planned->span;
        if (!span || !undelayed)
            continue;
        forecast.delaysAcceptedJobs |= undelayed->end <= waiting.objectiveAt
                && span->end > undelayed->end
                && likelyEnd(waiting, span->lastStart, span->end, now) > waiting.objectiveAt;
    }
    return forecast;
}

// Returns a plan that is up to date or not older than its maximum age.
const Pool::Implementation::QueuePlan &Pool::Implementation::planOf(const std::string &service,
                                                                    Time now)
{
    const auto [entry, isNew] = plans_.try_emplace(service);
    QueuePlan &plan = entry->second;
    const bool hasChanged = isPlacementDue_ || plan.placementPass != placementPasses_;
    if (isNew || (hasChanged && now - plan.madeAt >= plan.maxAge))
        plan = makePlan(service, now);
    return plan;
}

// Simulates the placement of the current queue on the current capacity.
Pool::Implementation::QueuePlan Pool::Implementation::makePlan(const std::string &service, Time now)
{
    QueuePlan plan;
    plan.madeAt = now;
    plan.placementPass = placementPasses_;
    plan.timetable = makeTimetable(service, now);
    reserveForMoves(movesOf(service, now), plan.timetable, now);
    const double minSlowness = speedOf(service).minSlowness;
    for (const auto &[number, job] : jobs_) {
        if (job.queued > 0 && job.offer.service == service)
            plan.jobs.push_back({queueKey(job, minSlowness, now)});
    }
    std::sort(plan.jobs.begin(), plan.jobs.end(),
              [](const PlannedJob &left, const PlannedJob &right) { return left.key < right.key; });
    pool::Timetable timetable = plan.timetable;
    size_t tasks = 0;
    for (PlannedJob &planned : plan.jobs) {
        if (tasks >= maxPlannedTasks)
            break;
        planned = simulate(planned.key, jobs_.at(planned.key.job), timetable, now);
        tasks += planned.tasks.size();
    }
    plan.maxAge = maxAgePerThousandComparisons * ((tasks + 1) * timetable.size()) / 1000;
    return plan;
}

// Adds an accepted job to the plan from which it was forecast.
void Pool::Implementation::insertIntoPlan(const std::string &service, Forecast forecast)
{
    std::vector<PlannedJob> &jobs = plans_.at(service).jobs;
    jobs.erase(jobs.begin() + static_cast<std::ptrdiff_t>(forecast.position), jobs.end());
    std::move(forecast.replanned.begin(), forecast.replanned.end(), std::back_inserter(jobs));
}

// Reserves capacity for the queued tasks of a job. The span is not set if a task fits no server.
Pool::Implementation::PlannedJob Pool::Implementation::simulate(const QueueKey &key, const Job &job,
                                                                pool::Timetable &timetable,
                                                                Time now) const
{
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    PlannedJob planned {key};
    StepPlaces places;
    ForecastSpan span {now, now};
    for (const Task &task : job.tasks) {
        if (task.state != TaskState::Queued)
            continue;
        const auto choice = choosePlace(job, task, timetable, places, now);
        if (!choice)
            return planned;
        reserve(job, task, *choice, timetable, places, now);
        planned.tasks.push_back(
                {choice->place, job.stepOf(task).demand, choice->start, choice->end});
        span.lastStart = std::max(span.lastStart, choice->start);
        span.end = std::max(span.end, choice->end);
        if (likelyEnd(job, choice->start, choice->end, now) <= target)
            ++span.inTime;
        if (conservativeEnd(job, choice->start, choice->end, now) <= target)
            ++span.inTimeWithMargin;
    }
    planned.span = span;
    return planned;
}

} // namespace lovage
