// Progress of runs, and what follows when one will end too late.
#include "durations.h"
#include "pool_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lovage {

using pool::Run;
using pool::RunState;
using pool::scaled;
using pool::Task;
using pool::TaskState;

namespace {

// A run that shows no progress after this share of its expected time, and this time more, hangs.
constexpr double hangFactor = 1.2;
constexpr Duration hangSlack = std::chrono::milliseconds(50);
constexpr uint32_t hangPercent = 5;
// Progress below these says little about the whole run time.
constexpr Duration shortestProgress = std::chrono::milliseconds(40);
constexpr uint32_t leastPercent = 3;
// Servers cut the figure off to whole percents.
constexpr double halfPercent = 0.5;
// Progress from which on a projection is good enough to give a job up.
constexpr uint32_t percentToGiveUp = 10;
// Largest error of a run time that is projected from its progress, as a share.
constexpr double projectionError = 0.1;
// Standard deviations of the run time beyond which a prediction is not taken to be the cause.
constexpr double implausibleDeviations = 2.5;
// A run is started again elsewhere only if it ends in time with this share to spare.
constexpr double moveMargin = 0.1;

} // namespace

// A run that stands still, or that will end too late while another server could still make it, is
// started again elsewhere. A job that cannot be done in time any more is answered now.
void Pool::Implementation::checkProgress(Server &server, const RunningRow &row, Run &run, Time now)
{
    const Duration elapsed = now - run.confirmedAt;
    const bool isOverdue = run.expected > Duration::zero()
            && elapsed >= scaled(run.expected, hangFactor) + hangSlack;
    const auto found = jobs_.find(run.job);
    const bool isOpen = run.stored || found != jobs_.end();
    if (isOpen && isOverdue && row.percent < hangPercent) {
        pool::avoid(server, options_, now);
        note("server-avoided", {}, fmt::format("server={} cause=hanging", server.info().id));
        moveRun(server, row, run, "hanging", now);
        return;
    }
    if (found == jobs_.end())
        return;
    Job &job = found->second;
    if (elapsed < shortestProgress || row.percent < leastPercent)
        return;
    const Duration total = scaled(elapsed, 100 / (row.percent + halfPercent));
    run.expected = total;
    const Duration predicted = job.predictedFor(job.tasks[run.task]);
    if (isOverdue && !run.isSlowNoted) {
        run.isSlowNoted = true;
        pool::noteSlow(server, predicted, total);
    }
    const Time end = run.confirmedAt + total;
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    if (end <= target)
        return;
    const double common = speedOf(job.offer.service).common;
    // A run that takes far longer than any of its queue tells of the server, not of the job.
    const Duration longest =
            scaled(predicted, std::exp(implausibleDeviations * model_.deviation(job.offer.queue)));
    const Duration ordinary =
            std::min(scaled(total, 1 / pool::slownessOf(server, common)), longest);
    // A place is looked for by what this run shows.
    Duration &stepPrediction = job.predicted[job.tasks[run.task].step];
    const Duration before = std::exchange(stepPrediction, ordinary);
    if (canBeMoved(job, run, target, now)) {
        moveRun(server, row, run, "slow", now);
        return;
    }
    // A task alone may take long; the others of its step keep their prediction until one has moved.
    stepPrediction = before;
    const Duration fastest = scaled(ordinary, speedOf(job.offer.service).fastest);
    const bool couldBeMoved = now + options_.stopTime + fastest <= job.deadlineAt;
    if (!couldBeMoved && row.percent >= percentToGiveUp
        && end > job.deadlineAt + scaled(total, projectionError)) {
        noteGivenUp(job, "progress", ordinary,
                    fmt::format("server={} slowness={:.2f} percent={} elapsed_us={} "
                                "total_us={}",
                                server.info().id, pool::slownessOf(server, common), row.percent,
                                elapsed.count(), total.count()),
                    now);
        answer(job, JobResult::Abandoned, "cannot-end-in-time", now);
    }
}

// Whether another server ends the task by the target, with the room that it has now or, unless an
// accepted job waits for that, the room that comes. Room is kept first for the waiting tasks of
// jobs that have begun, and for runs that are being stopped for a move: a wide job would otherwise
// stop all of its tasks for the room of one.
bool Pool::Implementation::canBeMoved(const Job &job, const Run &run, Time target, Time now)
{
    pool::Timetable timetable = makeTimetable(job.offer.service, now);
    const auto reserve = [&](const Job &other, const Task &task) {
        const auto choice = choosePlace(other, task, timetable, now);
        if (choice)
            choice->place->reserve(other.stepOf(task).demand, choice->start, choice->end);
    };
    bool isOthersTurn = false;
    for (const auto &[number, other] : jobs_) {
        isOthersTurn |= !other.isBegun && other.queued > 0;
        if (!other.isBegun || other.offer.service != job.offer.service)
            continue;
        for (const Task &task : other.tasks) {
            if (task.state == TaskState::Queued)
                reserve(other, task);
        }
    }
    for (const auto &[id, server] : servers_) {
        for (const auto &[name, other] : server.runs()) {
            const Job *owner = other.state == RunState::Stopping ? jobOfActive(other) : nullptr;
            if (owner && owner->offer.service == job.offer.service)
                reserve(*owner, owner->tasks[other.task]);
        }
    }
    const auto choice = choosePlace(job, job.tasks[run.task], timetable, now);
    if (!choice || (choice->start > now && isOthersTurn))
        return false;
    const Duration time = choice->end - choice->start;
    const Duration wait = std::max(choice->start - now, options_.stopTime);
    return now + scaled(wait + time, 1 + moveMargin) <= target;
}

void Pool::Implementation::moveRun(Server &server, const RunningRow &row, Run &run,
                                   std::string_view cause, Time now)
{
    const auto job = jobs_.find(run.job);
    note("run-moved", job == jobs_.end() ? run.stored->job : job->second.offer.job.id,
         fmt::format("task={} run={} server={} cause={} percent={} elapsed_us={}", row.task,
                     row.run, server.info().id, cause, row.percent,
                     (now - run.confirmedAt).count()));
    if (job != jobs_.end()) {
        ++job->second.moves;
        job->second.tasks[run.task].avoid = server.info().id;
    }
    sendStop(server, row.task, run, now);
}

} // namespace lovage
