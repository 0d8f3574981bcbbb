// Tasks of stored jobs: starts requested by a keeper, and outcomes that the keeper must store.
#include "durations.h"
#include "pool_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lovage {

using pool::Run;
using pool::RunState;
using pool::scaled;

namespace {

// Time after which an unconfirmed outcome is reported again, because the keeper may have changed or
// the message may have been lost.
constexpr Duration outcomeRetryInterval = std::chrono::milliseconds(300);

// Time for which confirmed runs are remembered. Keepers repeat batches, so an old message may
// arrive after the outcome of its run was confirmed.
constexpr Duration confirmedRetention = std::chrono::seconds(10);

std::string nameOf(const TaskBatch &batch, const TaskStart &start)
{
    return toString(TaskName {batch.job, batch.occurrence, batch.stepNumber, start.index});
}

} // namespace

// Returns the server for each task of the batch, in the order of the tasks; null for a task for
// which no server has room.
std::vector<pool::ServerTimetable *> Pool::Implementation::planBatch(const TaskBatch &batch,
                                                                     Duration predicted,
                                                                     pool::Timetable &timetable,
                                                                     Time now) const
{
    std::vector<pool::ServerTimetable *> places;
    std::map<const Server *, uint32_t> planned;
    for (const TaskStart &start : batch.tasks) {
        pool::ServerTimetable *best = nullptr;
        Duration shortest {};
        const std::string name = nameOf(batch, start);
        for (pool::ServerTimetable &place : timetable) {
            const Server &server = place.server();
            const Step &step = batch.step;
            const uint32_t earlier = planned.contains(&server) ? planned.at(&server) : 0;
            Demand total = step.demand;
            total.memoryMb *= earlier + 1;
            total.accelerators *= earlier + 1;
            total.milliCores *= earlier + 1;
            if (!server.fits(total) || server.runs().contains(name)
                || !isAllowed(server, step, name)
                || (step.maxPerServer > 0 && earlier >= step.maxPerServer))
                continue;
            Duration run = scaled(std::max(predicted, Duration(1)), place.slowness());
            if (!step.dataRack.empty() && !pool::hasLabel(server.info(), step.dataRack))
                run *= 2;
            if (!best || run < shortest) {
                best = &place;
                shortest = run;
            }
        }
        if (best)
            ++planned[&best->server()];
        places.push_back(best);
    }
    return places;
}

void Pool::Implementation::expectStoredJobs(bool exist)
{
    expectsStoredJobs_ = exist;
    if (exist)
        return;
    for (const auto &[key, pending] : outcomes_) {
        const auto server = servers_.find(pending.server);
        if (server != servers_.end())
            server->second.releaseEnd(pending.end);
    }
    outcomes_.clear();
}

void Pool::Implementation::startBatch(TaskBatch batch, Time now)
{
    expectsStoredJobs_ = true;
    if (batch.step.usesSpareCores)
        batch.step.demand.milliCores = 0;
    updateKeeperEpoch(batch.keeper.partition, batch.keeper.epoch, now);
    const bool isCurrent = batch.keeper.epoch >= keeperEpochs_[batch.keeper.partition];
    std::erase_if(batch.tasks, [&](const TaskStart &start) {
        return isKnownRun(nameOf(batch, start), start.run);
    });
    if (batch.tasks.empty())
        return; // the batch is a repetition
    const Duration predicted = model_.predict(batch.queue, batch.step.estimate);
    pool::Timetable timetable;
    const bool isLate = now >= batch.startBy;
    if (isCurrent && !isLate && takesNewWork() && now >= startsHeldUntil_)
        timetable = makeTimetable(batch.service, now);
    auto places = planBatch(batch, predicted, timetable, now);
    for (size_t i = 0; i < places.size(); ++i) {
        if (stopEarlierRuns(nameOf(batch, batch.tasks[i]), batch.tasks[i].run, now))
            places[i] = nullptr;
    }
    const bool isWhole = std::find(places.begin(), places.end(), nullptr) == places.end();
    size_t started = 0;
    for (size_t i = 0; i < batch.tasks.size(); ++i) {
        if (places[i] && (isWhole || !batch.step.isGang)) {
            orderStoredRun(places[i]->server(), batch, batch.tasks[i], predicted, now);
            ++started;
            continue;
        }
        queueOutcome({nameOf(batch, batch.tasks[i]), batch.tasks[i].run,
                      TaskOutcome::Kind::NotStarted, RunEnd::Stopped, batch.tasks[i].checkpoint},
                     now);
    }
    logEvent(
            "batch-started", batch.job,
            fmt::format("step={} occurrence={} tasks={} started={} keeper={} partition={} epoch={} "
                        "servers={} late={}",
                        batch.stepNumber, batch.occurrence, batch.tasks.size(), started,
                        batch.keeper.vm, batch.keeper.partition, batch.keeper.epoch,
                        timetable.size(), isLate));
}

// Stops the runs of the task before the given one, which the keeper takes for ended. Returns
// whether any run of the task is left on a server.
bool Pool::Implementation::stopEarlierRuns(const std::string &task, uint32_t before, Time now)
{
    bool hasRuns = false;
    for (auto &[id, server] : servers_) {
        const auto run = server.runs().find(task);
        if (run == server.runs().end())
            continue;
        hasRuns = true;
        if (run->second.number < before && run->second.state != RunState::Stopping)
            sendStop(server, task, run->second, now);
    }
    return hasRuns;
}

void Pool::Implementation::orderStoredRun(Server &server, const TaskBatch &batch,
                                          const TaskStart &start, Duration predicted, Time now)
{
    if (batch.step.demand.milliCores > 0)
        sizes_[batch.service].record(batch.step.demand.milliCores, 1);
    Run run;
    run.job = pool::storedJob;
    run.number = start.run;
    run.demand = batch.step.demand;
    // Endless tasks and gangs get no expected run time, since they report no progress towards an
    // end.
    if (!batch.step.isEndless && !batch.step.isGang)
        run.expected =
                pool::expectedRunTime(server, predicted, speedOf(batch.service).meanLogSlowness);
    run.stored = pool::StoredOrigin {batch.keeper, batch.job, batch.queue, batch.step.estimate,
                                     predicted};
    run.checkpoint = start.checkpoint;
    run.isServing = batch.step.isServing;
    run.usesSpareCores = batch.step.usesSpareCores;
    orderRun(server, nameOf(batch, start), std::move(run), batch.payload, start.checkpoint, now);
}

template<class Predicate>
void Pool::Implementation::stopStoredRuns(Predicate matches, Time now)
{
    for (auto &[id, server] : servers_) {
        for (auto &[task, run] : server.runs()) {
            if (run.stored && run.state != RunState::Stopping && matches(*run.stored))
                sendStop(server, task, run, now);
        }
    }
}

void Pool::Implementation::stopJob(const StopJob &stop, Time now)
{
    if (stop.keeper.epoch < keeperEpochs_[stop.keeper.partition])
        return;
    logEvent("job-stopped", stop.job, fmt::format("keeper={}", stop.keeper.vm));
    stopStoredRuns([&](const pool::StoredOrigin &origin) { return origin.job == stop.job; }, now);
}

void Pool::Implementation::stopRunsOfKeeper(const std::string &vm, uint64_t exceptIncarnation,
                                            Time now)
{
    stopStoredRuns(
            [&](const pool::StoredOrigin &origin) {
                return origin.keeper.vm == vm
                        && (exceptIncarnation == 0
                            || origin.keeper.incarnation != exceptIncarnation);
            },
            now);
}

void Pool::Implementation::updateKeeperEpoch(uint32_t partition, uint64_t epoch, Time now)
{
    uint64_t &known = keeperEpochs_[partition];
    if (epoch <= known)
        return;
    known = epoch;
    stopStoredRuns(
            [&](const pool::StoredOrigin &origin) {
                return origin.keeper.partition == partition && origin.keeper.epoch < epoch;
            },
            now);
}

// Handles the end of a run of a stored job, or of a run that an earlier holder started and that may
// belong to a stored job.
void Pool::Implementation::onStoredRunEnded(Server &server, const Run &run, const EndedRow &row,
                                            Time now)
{
    server.holdEnd(row.number);
    const RunKey key {row.task, row.run};
    outcomes_[key] = {{row.task, row.run, TaskOutcome::Kind::Ended, row.end, row.checkpoint},
                      server.info().id,
                      server.incarnation().value_or(0),
                      row.number};
    if (!run.stored)
        return;
    const pool::StoredOrigin &origin = *run.stored;
    if (row.end == RunEnd::Succeeded && run.expected > Duration::zero() && run.checkpoint.empty()) {
        const Duration ran = now - (run.confirmedAt != Time {} ? run.confirmedAt : run.orderedAt);
        learnFromSuccess(server, run, origin.queue, origin.declared, 1,
                         serverEvidence(server, run, origin.queue, origin.predicted,
                                        {ran, ran, ran, 0}, now),
                         now);
    }
    if (row.end == RunEnd::Failed && pool::recordFault(server, origin.job, options_, now))
        logEvent("server-avoided", {}, fmt::format("server={} cause=failures", server.info().id));
}

bool Pool::Implementation::isKnownRun(const std::string &task, uint32_t run)
{
    if (outcomes_.contains({task, run}) || confirmedRuns_.contains({task, run}))
        return true;
    return std::any_of(servers_.begin(), servers_.end(), [&](auto &entry) {
        return entry.second.findRun({entry.first, task, run}) != nullptr;
    });
}

void Pool::Implementation::queueOutcome(TaskOutcome outcome, Time now)
{
    const RunKey key {outcome.task, outcome.run};
    outcomes_.try_emplace(key, PendingOutcome {std::move(outcome)});
}

// Queues a Lost outcome for a run on a server that another VM took over. The next holder of the
// server reports how the run ends. The outcome is delayed until the lease has lapsed, by which time
// the run is over in any case.
void Pool::Implementation::queueLostOutcome(const std::string &task, const Run &run, Time now)
{
    const Duration lease =
            scaled(options_.maxLease, 1 + 2 * options_.clockError) + options_.stopTime;
    PendingOutcome pending {
            {task, run.number, TaskOutcome::Kind::Lost, RunEnd::Lapsed, run.checkpoint}};
    pending.nextReportAt = now + lease;
    outcomes_.try_emplace({task, run.number}, pending);
}

void Pool::Implementation::confirmOutcome(const std::string &task, uint32_t run, bool isSuperseded,
                                          Time now)
{
    const auto found = outcomes_.find({task, run});
    if (found == outcomes_.end())
        return;
    logEvent("outcome-confirmed", {},
             fmt::format("task={} run={} server={} end={} superseded={}", task, run,
                         found->second.server, found->second.end, isSuperseded));
    const auto server = servers_.find(found->second.server);
    if (server != servers_.end()
        && server->second.incarnation().value_or(0) == found->second.incarnation) {
        if (isSuperseded && found->second.end > 0)
            server->second.supersedeEnd(found->second.end);
        else
            server->second.releaseEnd(found->second.end);
        server->second.endSeenAt = now;
    }
    outcomes_.erase(found);
    confirmedRuns_.emplace(RunKey {task, run}, now + confirmedRetention);
}

// Reopens servers with superseded ends, which get no new work until nothing runs there and their
// lease has lapsed.
void Pool::Implementation::finishLeaseLapses(Time now)
{
    for (auto &[id, server] : servers_) {
        if (!server.hasSupersededEnds() || !server.runs().empty())
            continue;
        if (server.tryReleaseSupersededEnds(now)) {
            logEvent("lease-lapsed", {}, fmt::format("server={}", id));
            isPlacementDue_ = true;
        }
    }
}

void Pool::Implementation::pruneConfirmedRuns(Time now)
{
    std::erase_if(confirmedRuns_, [&](const auto &entry) { return now > entry.second; });
}

// Reports new outcomes, and repeats those that were not confirmed in time.
void Pool::Implementation::reportDueOutcomes(Time now)
{
    for (auto &[key, pending] : outcomes_) {
        if (now < pending.nextReportAt)
            continue;
        pending.nextReportAt = now + outcomeRetryInterval;
        ++counters_.outcomes;
        actions_.emplace_back(pending.outcome);
    }
}

} // namespace lovage
