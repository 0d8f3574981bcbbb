// Watches the progress of runs and moves those that hang or will end too late.
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

namespace {

// A run is considered to hang if it is below hangPercent after its expected run time times
// hangFactor plus hangSlack.
constexpr double hangFactor = 1.2;
constexpr Duration hangSlack = std::chrono::milliseconds(50);
constexpr uint32_t hangPercent = 5;
// Below these values the progress is too small to project the total run time from it.
constexpr Duration minElapsedToProject = std::chrono::milliseconds(40);
constexpr uint32_t minPercentToProject = 3;
// Correction of a reported percentage, which servers round down to a whole number.
constexpr double halfPercent = 0.5;
// Minimum progress for a projection to be reliable enough to give a job up.
constexpr uint32_t minPercentToGiveUp = 10;
// Maximum relative error of a run time that is projected from its progress.
constexpr double projectionError = 0.1;
// Standard deviations of the run time beyond which a slow run is blamed on the server and no longer
// on the prediction.
constexpr double implausibleDeviations = 2.5;
// A run is moved to another server only if it then ends in time with this relative margin.
constexpr double moveMargin = 0.1;

} // namespace

// Moves a run that hangs to another server immediately, and marks a run that will end too late to
// be moved once a server that could still end it in time is free. A job that can no longer end in
// time is answered now.
void Pool::Implementation::checkProgress(Server &server, const RunningRow &row, Run &run, Time now)
{
    run.percent = row.percent;
    const Duration elapsed = now - run.confirmedAt;
    const bool isOverdue = run.expected > Duration::zero()
            && elapsed >= scaled(run.expected, hangFactor) + hangSlack;
    const auto found = jobs_.find(run.job);
    const bool isOpen = run.stored || found != jobs_.end();
    const bool mayRestart = run.stored || mayContinueJobs(now);
    if (isOpen && isOverdue && mayRestart && row.percent < hangPercent) {
        pool::avoid(server, options_, now);
        logEvent("server-avoided", {}, fmt::format("server={} cause=hanging", server.info().id));
        moveRun(server, row.task, run, "hanging", now);
        return;
    }
    if (found == jobs_.end())
        return;
    Job &job = found->second;
    if (elapsed < minElapsedToProject || row.percent < minPercentToProject)
        return;
    const Duration total = scaled(elapsed, 100 / (row.percent + halfPercent));
    run.expected = total;
    const Duration predicted = job.predicted[job.tasks[run.task].step];
    if (isOverdue && !run.isSlowRecorded) {
        run.isSlowRecorded = true;
        pool::recordSlowRun(server, predicted, total);
        speeds_.clear();
    }
    const Time end = run.confirmedAt + total;
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    run.needsMove = end > target;
    if (run.needsMove)
        handleLateRun(server, row, run, job, total, now);
}

// Handles a run whose progress shows that it takes `total`, which is too long on this server.
void Pool::Implementation::handleLateRun(Server &server, const RunningRow &row, const Run &run,
                                         Job &job, Duration total, Time now)
{
    const Duration predicted = job.predicted[job.tasks[run.task].step];
    const double meanLogSlowness = speedOf(job.offer.service).meanLogSlowness;
    // A run that takes far longer than any other of its queue is slow because of the server and not
    // because of the job.
    const Duration longest =
            scaled(predicted, std::exp(implausibleDeviations * model_.deviation(job.offer.queue)));
    const Duration ordinaryRunTime =
            std::min(scaled(total, 1 / pool::slownessOf(server, meanLogSlowness)), longest);
    job.tasks[run.task].projectedRunTime = ordinaryRunTime;
    isPlacementDue_ = true;
    const Duration fastestRunTime = scaled(ordinaryRunTime, speedOf(job.offer.service).minSlowness);
    const bool couldBeMoved = now + options_.stopTime + fastestRunTime <= job.deadlineAt;
    const Time certainlyLateAt = job.deadlineAt + scaled(total, projectionError);
    if (couldBeMoved || row.percent < minPercentToGiveUp
        || run.confirmedAt + total <= certainlyLateAt)
        return;
    logGivenUp(job, "progress", ordinaryRunTime,
               fmt::format("server={} slowness={:.2f} percent={} elapsed_us={} total_us={}",
                           server.info().id, pool::slownessOf(server, meanLogSlowness), row.percent,
                           (now - run.confirmedAt).count(), total.count()),
               now);
    answer(job, JobResult::Abandoned, "cannot-end-in-time", now);
}

// Returns the runs that are to be started on another server: first those that are being stopped,
// which have lost their capacity already, then those that would end too late on their servers. Both
// groups are sorted by deadline.
std::vector<Pool::Implementation::Move> Pool::Implementation::movesOf(const std::string &service,
                                                                      Time now)
{
    const double minSlowness = speedOf(service).minSlowness;
    std::vector<Move> moves;
    for (auto &[id, server] : servers_) {
        if (server.info().service != service)
            continue;
        for (auto &[name, run] : server.runs()) {
            const bool isStopping = run.state == RunState::Stopping;
            if (!isStopping && !(run.state == RunState::Running && run.needsMove))
                continue;
            const Job *job = activeJobOf(run);
            if (!job)
                continue;
            const Move move {&server, name, &run, job};
            const Duration shortest = scaled(job->predictedFor(job->tasks[run.task]), minSlowness);
            if (isStopping || isWorthMoving(move, options_.stopTime + shortest, now))
                moves.push_back(move);
        }
    }
    std::stable_sort(moves.begin(), moves.end(), [](const Move &left, const Move &right) {
        const bool isLeftStopping = left.run->state == RunState::Stopping;
        const bool isRightStopping = right.run->state == RunState::Stopping;
        if (isLeftStopping != isRightStopping)
            return isLeftStopping;
        return left.job->deadlineAt < right.job->deadlineAt;
    });
    return moves;
}

// Reserves capacity for the moves ahead of all queued jobs. Returns the moves of running tasks
// whose new server is free.
std::vector<Pool::Implementation::Move>
Pool::Implementation::reserveForMoves(const std::vector<Move> &moves, pool::Timetable &timetable,
                                      Time now) const
{
    std::vector<Move> due;
    for (const Move &move : moves) {
        const Task &task = move.job->tasks[move.run->task];
        StepPlaces places;
        const auto choice = choosePlace(*move.job, task, timetable, places, now);
        if (!choice)
            continue;
        const Duration wait = std::max(choice->start - now, options_.stopTime);
        const Duration needed = wait + (choice->end - choice->start);
        if (move.run->state != RunState::Stopping && !isWorthMoving(move, needed, now))
            continue;
        reserve(*move.job, task, *choice, timetable, places, now);
        if (move.run->state != RunState::Stopping && choice->start <= now + options_.stopTime)
            due.push_back(move);
    }
    return due;
}

// Returns whether a move helps; `needed` is the time until the end of the task on its new server. A
// run that would miss its objective but not its deadline is moved only if it then meets the
// objective. A run that would miss its deadline is moved if it then meets the deadline.
bool Pool::Implementation::isWorthMoving(const Move &move, Duration needed, Time now) const
{
    const Time end = now + scaled(needed, 1 + moveMargin);
    if (end <= std::min(move.job->objectiveAt, move.job->deadlineAt))
        return true;
    return end <= move.job->deadlineAt && pool::expectedEnd(*move.run, now) > move.job->deadlineAt;
}

void Pool::Implementation::moveRun(Server &server, const std::string &task, Run &run,
                                   std::string_view cause, Time now)
{
    const auto job = jobs_.find(run.job);
    logEvent("run-moved", job == jobs_.end() ? run.stored->job : job->second.offer.job.id,
             fmt::format("task={} run={} server={} cause={} percent={} elapsed_us={}", task,
                         run.number, server.info().id, cause, run.percent,
                         (now - run.confirmedAt).count()));
    if (job != jobs_.end()) {
        ++job->second.moves;
        job->second.tasks[run.task].avoidedServer = server.info().id;
    }
    sendStop(server, task, run, now);
}

} // namespace lovage
