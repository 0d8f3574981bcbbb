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
// A run that is too slow for a projection is listed again after this time at the latest.
constexpr Duration minCheckInterval = std::chrono::milliseconds(20);
// Logarithm of the ratio to the expected run time from which on a run is examined even if it ends
// in time, because it shows that the server is slow.
constexpr double suspiciousLogRatio = 0.8;
// Period for which ended runs tell about the present speed of their server.
constexpr Duration endedRunsPeriod = std::chrono::seconds(10);
// Probability from which on a slow run counts as evidence against its server.
constexpr double minProbabilityToLearn = 0.5;
// A run is moved to another server only if it then ends in time with this relative margin.
constexpr double moveMargin = 0.1;

} // namespace

// Returns how long the run had been executed when the server made its list. The list and the answer
// to the start may have arrived late, or may have waited while this VM was paused. The server's own
// clock tells the time between the two; without it, the list was made after its poll was sent.
pool::ListedTime Pool::Implementation::listedTime(const Server &server, const Run &run, Time now)
{
    const Duration longest = now - run.orderedAt;
    if (run.startClockMs && server.listClockMs && run.orderedTo == server.incarnationCount()
        && *server.listClockMs >= *run.startClockMs) {
        const Duration between = std::chrono::milliseconds(*server.listClockMs - *run.startClockMs);
        return {std::min(between, longest), std::min(between, longest)};
    }
    const Duration shortest = std::max(server.pollSentAt - run.confirmedAt, Duration::zero());
    return {shortest, std::max(now - run.confirmedAt, shortest)};
}

// Moves a run that hangs to another server immediately, and examines a run that takes longer than
// expected.
void Pool::Implementation::checkProgress(Server &server, const RunningRow &row, Run &run, Time now)
{
    run.percent = row.percent;
    const pool::ListedTime listed = listedTime(server, run, now);
    const bool isOverdue = run.expected > Duration::zero()
            && listed.likely >= scaled(run.expected, hangFactor) + hangSlack;
    const auto found = jobs_.find(run.job);
    const bool isOpen = run.stored || found != jobs_.end();
    const bool mayRestart = run.stored || mayContinueJobs(now);
    if (isOpen && isOverdue && mayRestart && row.percent < hangPercent) {
        ++counters_.runsMovedHanging;
        pool::avoid(server, options_, now);
        logEvent("server-avoided", {}, fmt::format("server={} cause=hanging", server.info().id));
        moveRun(server, row.task, run, "hanging", now);
        return;
    }
    if (found == jobs_.end())
        return;
    Job &job = found->second;
    const auto total = pool::projectRunTime(listed, row.percent);
    if (!total) {
        run.checkAt = now + std::max(listed.likely, minCheckInterval);
        return;
    }
    run.expected = total->likely;
    Task &task = job.tasks[run.task];
    const Duration predicted = std::max(job.predicted[task.step], Duration(1));
    run.logRatio = pool::logRatioOf(total->likely, predicted);
    run.logRatioError = total->error;
    const double learned = task.latestRun && task.latestRun->server == server.info().id
            ? task.latestRun->learned
            : 0;
    task.latestRun = {server.info().id, *run.logRatio, total->error, learned};
    const Time target = std::min(job.objectiveAt, job.deadlineAt);
    // The run has gone on since the server made the list.
    const Duration elapsed = std::max(now - run.confirmedAt, listed.likely);
    const bool isLate = now + total->low - elapsed > target;
    run.needsMove = false;
    if (isLate || *run.logRatio > suspiciousLogRatio)
        handleSlowRun(server, run, job, *total, elapsed, now);
}

// Collects what is known about a run of this queue from its server.
pool::SlowRunEvidence Pool::Implementation::serverEvidence(const Server &server, const Run &run,
                                                           const std::string &queue,
                                                           Duration predicted,
                                                           const pool::Projection &total,
                                                           Time now) const
{
    pool::SlowRunEvidence evidence;
    evidence.total = total;
    evidence.predicted = std::max(predicted, Duration(1));
    evidence.spread = model_.spread(queue);
    evidence.slowness = pool::slownessOf(server, speedOf(server.info().service).meanLogSlowness);
    evidence.serverSamples = server.samples;
    std::set<pool::JobNumber> seenJobs {run.job};
    const double logSlowness = std::log(evidence.slowness);
    for (const auto &[name, other] : server.runs()) {
        const auto found = jobs_.find(other.job);
        if (other.logRatio && found != jobs_.end() && seenJobs.insert(other.job).second)
            evidence.neighbours.push_back({{*other.logRatio - logSlowness, other.logRatioError},
                                           model_.spread(found->second.offer.queue)});
    }
    for (const pool::EndedRun &ended : server.endedRuns) {
        if (now - ended.endedAt < endedRunsPeriod && seenJobs.insert(ended.job).second)
            evidence.neighbours.push_back(
                    {{ended.logRatio - logSlowness, 0, ended.endedAt > run.orderedAt},
                     model_.spread(ended.queue)});
    }
    return evidence;
}

// Collects what is known about a run from its server and from the other tasks of its step.
pool::SlowRunEvidence Pool::Implementation::slowRunEvidence(const Server &server, const Run &run,
                                                            const Job &job,
                                                            const pool::Projection &total,
                                                            Time now) const
{
    const Task &task = job.tasks[run.task];
    pool::SlowRunEvidence evidence =
            serverEvidence(server, run, job.offer.queue, job.predicted[task.step], total, now);
    const ServiceSpeed speed = speedOf(job.offer.service);
    evidence.wasMoved = task.movedRun.has_value();
    evidence.untilObjective = job.objectiveAt - now;
    evidence.untilDeadline = job.deadlineAt - now;
    evidence.stopTime = options_.stopTime;
    evidence.fastestSlowness = speed.minSlowness;
    std::set<std::string> seenServers {server.info().id};
    const auto addSibling = [&](const std::optional<pool::TaskRun> &other) {
        if (!other || !seenServers.insert(other->server).second)
            return;
        const auto found = servers_.find(other->server);
        const double slowness = found == servers_.end()
                ? 1
                : pool::slownessOf(found->second, speed.meanLogSlowness);
        evidence.siblings.push_back({other->logRatio - std::log(slowness), other->error});
    };
    addSibling(task.movedRun);
    const uint32_t first = job.firstTask[task.step];
    for (uint32_t i = first; i < first + job.offer.job.steps[task.step].count; ++i)
        addSibling(job.tasks[i].latestRun);
    return evidence;
}

// Handles a run that is projected to take `total`, which is too long or much longer than predicted.
void Pool::Implementation::handleSlowRun(Server &server, Run &run, Job &job,
                                         const pool::Projection &total, Duration elapsed, Time now)
{
    pool::SlowRunEvidence evidence = slowRunEvidence(server, run, job, total, now);
    evidence.elapsed = elapsed;
    const pool::SlowRunDecision decision = pool::decideSlowRun(evidence);
    const std::string inputs = fmt::format(
            "reason={} server={} slowness={:.2f} slow_server={:.2f} siblings={} neighbours={} "
            "percent={} elapsed_us={} total_us={}",
            toString(decision.cause()), server.info().id, evidence.slowness,
            decision.slowServerProbability, evidence.siblings.size(), evidence.neighbours.size(),
            run.percent, elapsed.count(), total.likely.count());
    Task &task = job.tasks[run.task];
    task.projectedRunTime = decision.ordinaryRunTime;
    learnFromSlowRun(server, run, job, decision, total.likely);
    if (std::holds_alternative<pool::GiveUpJob>(decision.action)) {
        ++counters_.jobsGivenUpSlow;
        if (decision.isStepLong)
            model_.observe(job.offer.queue, job.stepOf(task).estimate, decision.ordinaryRunTime, 0,
                           job.stepOf(task).count);
        logGivenUp(job, "progress", decision.ordinaryRunTime, inputs, now);
        answer(job, JobResult::Abandoned, "cannot-end-in-time", now);
        return;
    }
    run.needsMove = std::holds_alternative<pool::MoveRun>(decision.action);
    if (run.needsMove) {
        run.moveReason = toString(decision.cause());
        isPlacementDue_ = true;
    } else if (decision.cause() != pool::SlowRunCause::InTime
               && !std::exchange(run.isKeepRecorded, true)) {
        ++counters_.runsKeptSlow;
        logEvent("run-kept", job.offer.job.id,
                 fmt::format("task={} run={} {}", toString(job.nameOf(run.task)), run.number,
                             inputs));
    }
}

// Learns the speed of the server if it is the cause. If the run belongs to a long job, the waiting
// tasks of its step will take as long, and a server from which the task was moved was not to blame.
void Pool::Implementation::learnFromSlowRun(Server &server, Run &run, Job &job,
                                            const pool::SlowRunDecision &decision, Duration total)
{
    Task &task = job.tasks[run.task];
    if (decision.slowServerProbability >= minProbabilityToLearn) {
        if (!std::exchange(run.isSlowRecorded, true))
            task.latestRun->learned = pool::recordRunTime(server, job.predicted[task.step], total);
        speeds_.clear();
        return;
    }
    if (!decision.isStepLong)
        return;
    if (task.movedRun) {
        const auto first = servers_.find(task.movedRun->server);
        if (first != servers_.end())
            pool::retractRunTime(first->second, std::exchange(task.movedRun->learned, 0));
        speeds_.clear();
    }
    const uint32_t first = job.firstTask[task.step];
    for (uint32_t i = first; i < first + job.stepOf(task).count; ++i) {
        if (job.tasks[i].state == pool::TaskState::Queued)
            job.tasks[i].projectedRunTime = decision.ordinaryRunTime;
    }
}

// Learns the run times of the queue and the speed of the server from a run that has succeeded. A
// run far from its prediction tells only about one of the two. The speed is learned from the
// original prediction and not from the projected run time, which depends on the learned speed
// itself.
void Pool::Implementation::learnFromSuccess(Server &server, const Run &run,
                                            const std::string &queue, Duration declared,
                                            uint32_t tasks, const pool::SlowRunEvidence &evidence,
                                            Time now)
{
    const Duration ran = evidence.total.likely;
    const double logRatio = pool::logRatioOf(ran, evidence.predicted);
    const double logSlowness = std::log(evidence.slowness);
    const bool isSuspicious = logRatio - logSlowness > suspiciousLogRatio;
    const bool isServerSlow =
            isSuspicious && pool::slowServerProbability(evidence) >= minProbabilityToLearn;
    const bool isLongJob =
            isSuspicious && pool::longJobProbability(evidence) >= minProbabilityToLearn;
    pool::recordSuccess(server);
    if (!isLongJob)
        pool::recordRunTime(server, evidence.predicted, ran);
    speeds_.clear();
    if (!isServerSlow)
        model_.observe(queue, declared, ran, logSlowness, tasks);
    pool::rememberEndedRun(server, {run.job, queue, now, logRatio});
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

void Pool::Implementation::moveSlowRun(const Move &move, Time now)
{
    ++counters_.runsMovedSlow;
    Task &task = jobs_.at(move.run->job).tasks[move.run->task];
    task.movedRun = task.latestRun;
    moveRun(*move.server, move.task, *move.run, move.run->moveReason, now);
}

void Pool::Implementation::moveRun(Server &server, const std::string &name, Run &run,
                                   std::string_view cause, Time now)
{
    const auto job = jobs_.find(run.job);
    logEvent("run-moved", job == jobs_.end() ? run.stored->job : job->second.offer.job.id,
             fmt::format("task={} run={} server={} cause={} percent={} elapsed_us={}", name,
                         run.number, server.info().id, cause, run.percent,
                         (now - run.confirmedAt).count()));
    if (job != jobs_.end()) {
        ++job->second.moves;
        job->second.tasks[run.task].avoidedServer = server.info().id;
    }
    sendStop(server, name, run, now);
}

} // namespace lovage
