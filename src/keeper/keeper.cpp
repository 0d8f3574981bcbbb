// Handles requests about stored jobs, outcomes of their runs, and the partitions of this VM.
#include "lovage/keeper.h"

#include "partition.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

using keeper::StoredJob;
using keeper::StoredTask;

namespace {

// Interval at which a VM is asked again to stop the runs of a closed job, until it reports their
// ends. It doubles with each stop up to the maximum, since a VM that is behind has to read them
// all.
constexpr Duration initialStopInterval = std::chrono::milliseconds(200);
constexpr Duration maxStopInterval = std::chrono::seconds(1);
// Delay before an endless task that has ended is started again.
constexpr Duration endlessRestartDelay = std::chrono::milliseconds(100);
// Time for which the answer to a query about a job that is about to end is delayed. Callers often
// query a job when its last task has just ended, some milliseconds before that end is stored.
constexpr Duration maxQueryDelay = std::chrono::milliseconds(30);
// Minimum retry-after time of a refused job.
constexpr Duration minRetryAfter = std::chrono::seconds(1);
// Number of low bits of an epoch. They distinguish successive holds of a partition by one VM within
// a generation of the group.
constexpr unsigned epochBits = 8;
// Memory for jobs as a multiple of that for jobs that this VM accepts. The rest is for partitions
// of other VMs.
constexpr size_t takeoverFactor = 2;

bool isFailure(const TaskOutcome &outcome)
{
    return outcome.kind == TaskOutcome::Kind::Ended && outcome.end == RunEnd::Failed;
}

// Whether the failure is in the journal already.
bool isRecordedFailure(const StoredTask &task, const TaskOutcome &outcome)
{
    return isFailure(outcome) && outcome.run == task.lastFailedRun;
}

// Whether a success or a failure must not count, because another run of the task has succeeded or a
// later run has been started.
bool isSuperseded(const StoredJob &job, const TaskName &name, const StoredTask *task,
                  const TaskOutcome &outcome)
{
    const bool isSuccess =
            outcome.kind == TaskOutcome::Kind::Ended && outcome.end == RunEnd::Succeeded;
    if (!isSuccess && !isFailure(outcome))
        return false;
    const uint32_t succeededRun = job.succeededRun(name);
    if (succeededRun > 0)
        return outcome.run != succeededRun;
    return task && outcome.run < task->lastRun && !isRecordedFailure(*task, outcome);
}

// Returns why an outcome changes nothing, for the log; empty if it changes the state of the job.
std::string_view causeToIgnore(const StoredJob *job, const TaskName &name, const StoredTask *task,
                               const TaskOutcome &outcome, bool isStale)
{
    if (!job)
        return "job-unknown";
    if (isStale)
        return "superseded";
    if ((task && task->isDone) || job->succeededRun(name) > 0)
        return "task-done";
    if (!task)
        return job->isClosed() ? "job-closed" : "task-unknown";
    return isRecordedFailure(*task, outcome) ? "failure-recorded" : "";
}

// Whether the outcome must be recorded in the journal.
bool mustBeRecorded(const TaskOutcome &outcome, bool isLatest)
{
    if (outcome.kind != TaskOutcome::Kind::Ended)
        return false;
    return outcome.end == RunEnd::Succeeded || outcome.end == RunEnd::Failed
            || (isLatest && !outcome.checkpoint.empty());
}

} // namespace

JobKeeper::JobKeeper(KeeperOptions options, VmTable &vms) : options_(options), vms_(vms) { }

JobKeeper::~JobKeeper() = default;

void JobKeeper::addLogEntry(std::string event, const std::string &job, std::string details)
{
    logEntries_.push_back({std::move(event), job, std::move(details)});
}

JobKeeper::Partition *JobKeeper::partitionOf(std::string_view job)
{
    const auto found = partitions_.find(shardOf(job, options_.partitions));
    return found == partitions_.end() ? nullptr : found->second.get();
}

void JobKeeper::setPartitions(const std::vector<uint32_t> &partitions, uint64_t generation,
                              Time now)
{
    std::erase_if(partitions_, [&](const auto &entry) {
        const bool isKept =
                std::find(partitions.begin(), partitions.end(), entry.first) != partitions.end()
                && entry.second->stage() != Partition::Stage::Lost;
        if (!isKept) {
            addLogEntry("partition-released", {},
                        fmt::format("partition={} epoch={}", entry.first, entry.second->epoch()));
            stopAllRuns(*entry.second);
        }
        return !isKept;
    });
    for (const uint32_t number : partitions) {
        if (partitions_.contains(number))
            continue;
        const uint64_t epoch = nextEpoch(number, generation);
        partitions_.emplace(number, std::make_unique<Partition>(number, epoch, options_));
        addLogEntry("partition-taken", {}, fmt::format("partition={} epoch={}", number, epoch));
    }
}

size_t JobKeeper::heldBytes() const
{
    size_t bytes = 0;
    for (const auto &[number, partition] : partitions_)
        bytes += partition->heldBytes();
    return bytes;
}

// Whether a new job fits into the memory of its partition and of this VM.
bool JobKeeper::hasRoomFor(const JobSpec &job, const Partition &partition) const
{
    return keeper::bytesOfNewJob(job) <= partition.freeBytes(heldBytes() - partition.heldBytes());
}

// Whether the partition may be read on. A VM that takes over more jobs than it has memory for reads
// one partition after another, and waits while those that are served have jobs that will end.
bool JobKeeper::mayRead(const Partition &partition) const
{
    const size_t bytes = heldBytes();
    if (bytes < options_.maxBytes)
        return true;
    size_t servedBytes = 0;
    const Partition *first = nullptr; // of those that are not read to their end
    for (const auto &[number, other] : partitions_) {
        servedBytes += other->isServing() ? other->heldBytes() : 0;
        if (!first && other->stage() == Partition::Stage::Reading)
            first = other.get();
    }
    const bool hasMemory = bytes < takeoverFactor * options_.maxBytes;
    return first == &partition && (hasMemory || servedBytes < options_.maxBytes);
}

// A partition that is released and taken again within one generation needs a new epoch, because the
// numbering of its appends restarts.
uint64_t JobKeeper::nextEpoch(uint32_t partition, uint64_t generation)
{
    uint64_t &last = lastEpochs_[partition];
    last = std::max(last + 1, generation << epochBits);
    return last;
}

void JobKeeper::onLeaseLost(Time now)
{
    if (partitions_.empty())
        return;
    addLogEntry("keeper-lease-lost", {}, fmt::format("partitions={}", partitions_.size()));
    for (auto &[number, partition] : partitions_)
        stopAllRuns(*partition);
    partitions_.clear();
}

// Stops the runs of a partition that this VM gives up. The pools that have them may not hear the
// next keeper, and go on as long as they hear this VM.
void JobKeeper::stopAllRuns(Partition &partition)
{
    for (auto &[id, job] : partition.jobs())
        sendStops(partition, id, job.pools());
}

void JobKeeper::sendStops(const Partition &partition, const std::string &job,
                          const std::vector<std::string> &vms)
{
    const KeeperRef self {vms_.self().name, vms_.self().incarnation, partition.number(),
                          partition.epoch()};
    for (const std::string &vm : vms)
        actions_.emplace_back(SendStopJob {vm, {self, job}});
}

void JobKeeper::answer(const CallerRef &caller, KeeperAnswer::Kind kind, JobState state)
{
    actions_.emplace_back(KeeperAnswer {caller, kind, state});
}

// Whether the partition is served and no other keeper can have taken it over.
bool JobKeeper::isAuthoritative(const Partition &partition, Time now) const
{
    return partition.isServing() && now < leaseUntil_;
}

void JobKeeper::onRequest(KeeperRequest request, Time now)
{
    Partition *partition = partitionOf(jobIdOf(request));
    if (!partition || !isAuthoritative(*partition, now)) {
        answer(callerOf(request), KeeperAnswer::Kind::Unavailable);
        return;
    }
    std::visit([&](auto &alternative) { handle(std::move(alternative), now); }, request);
}

void JobKeeper::handle(StoreJob request, Time now)
{
    Partition &partition = *partitionOf(request.job.id);
    const KeeperAnswer storedAnswer {request.caller, KeeperAnswer::Kind::Stored};
    if (partition.find(request.job.id)) {
        actions_.emplace_back(storedAnswer);
        return;
    }
    if (partition.isAcceptancePending(request.job.id))
        return; // the caller's VM repeats the request
    if (partition.isStalled()) {
        answer(request.caller, KeeperAnswer::Kind::Unavailable);
        return;
    }
    const Duration objective = keeper::objectiveOf(request.job, request.queueParameters);
    const Duration wait = expectedWait(request.job, request.queueParameters.service, now);
    const std::string details =
            fmt::format("queue={} tasks={} partition={} epoch={} wait_us={} objective_us={}",
                        request.queueParameters.queue, taskCount(request.job), partition.number(),
                        partition.epoch(), wait.count(), objective.count());
    if (wait + criticalPath(request.job) > objective && wait > Duration::zero()) {
        addLogEntry("job-refused", request.job.id, details + " cause=backlog");
        actions_.emplace_back(KeeperAnswer {request.caller, KeeperAnswer::Kind::Refused,
                                            JobState::Queued, std::max(wait, minRetryAfter)});
        return;
    }
    if (!hasRoomFor(request.job, partition)) {
        addLogEntry("job-refused", request.job.id,
                    fmt::format("{} cause=memory held={}", details, partition.heldBytes()));
        const Duration retryAfter = partition.nextRelease().value_or(now) - now;
        actions_.emplace_back(KeeperAnswer {request.caller, KeeperAnswer::Kind::Refused,
                                            JobState::Queued,
                                            std::max({retryAfter, wait, minRetryAfter})});
        return;
    }
    addLogEntry("job-stored", request.job.id, details);
    JobAccepted record {toUnixMillis(now), partition.epoch(), std::move(request.job),
                        std::move(request.queueParameters)};
    partition.write(std::move(record), storedAnswer);
}

void JobKeeper::handle(const QueryJob &request, Time now)
{
    Partition &partition = *partitionOf(request.job);
    const StoredJob *job = partition.find(request.job);
    if (job && job->mayEndSoon())
        deferredQueries_.push_back({request, now + maxQueryDelay});
    else if (job)
        answer(request.caller, KeeperAnswer::Kind::State, job->state());
    else if (!partition.isAcceptancePending(request.job))
        answer(request.caller, KeeperAnswer::Kind::Unknown);
}

// Answers the queries whose job has ended or whose deadline has passed.
void JobKeeper::answerDeferredQueries(Time now)
{
    for (DeferredQuery &pending : std::exchange(deferredQueries_, {})) {
        Partition *partition = partitionOf(pending.query.job);
        const StoredJob *job = partition ? partition->find(pending.query.job) : nullptr;
        if (!job)
            answer(pending.query.caller, KeeperAnswer::Kind::Unavailable);
        else if (job->isClosed() || now >= pending.deadline)
            answer(pending.query.caller, KeeperAnswer::Kind::State, job->state());
        else
            deferredQueries_.push_back(std::move(pending));
    }
}

void JobKeeper::handle(const CancelJob &request, Time now)
{
    Partition &partition = *partitionOf(request.job);
    StoredJob *job = partition.find(request.job);
    if (!job) {
        if (!partition.isAcceptancePending(request.job))
            answer(request.caller, KeeperAnswer::Kind::Unknown);
        return;
    }
    if (job->isClosed()) {
        answer(request.caller, KeeperAnswer::Kind::Cancelled, job->state());
        return;
    }
    if (partition.isCancelPending(request.job))
        return; // the caller's VM repeats the request
    addLogEntry("job-cancelled", request.job, fmt::format("begun={}", job->hasStarted));
    partition.write(
            JobCancelled {toUnixMillis(now), request.job},
            KeeperAnswer {request.caller, KeeperAnswer::Kind::Cancelled, JobState::Cancelled});
}

void JobKeeper::onOpened(uint32_t partition, uint64_t epoch, const Result<uint64_t> &end, Time now)
{
    const auto found = partitions_.find(partition);
    if (found != partitions_.end() && found->second->epoch() == epoch)
        found->second->onOpened(end, now);
}

void JobKeeper::onRead(uint32_t partition, uint64_t epoch, const Result<JournalPage> &page,
                       Time now)
{
    const auto found = partitions_.find(partition);
    if (found == partitions_.end() || found->second->epoch() != epoch)
        return;
    found->second->onRead(page, options_.takeoverDelay, now);
    if (found->second->isServing())
        addLogEntry("partition-served", {},
                    fmt::format("partition={} epoch={} jobs={}", partition, epoch,
                                found->second->jobs().size()));
}

void JobKeeper::onAppended(uint32_t partition, uint64_t epoch, const Result<uint64_t> &offset,
                           Time now)
{
    addLogEntry("journal-appended", {},
                offset.has_value() ? fmt::format("partition={} epoch={} offset={}", partition,
                                                 epoch, offset.value())
                                   : fmt::format("partition={} epoch={} reason=\"{}\"", partition,
                                                 epoch, offset.error().reason));
    const auto found = partitions_.find(partition);
    if (found != partitions_.end() && found->second->epoch() == epoch)
        found->second->onAppended(offset, now);
    isPlacementDue_ = true;
}

void JobKeeper::onOutcome(const std::string &vm, const TaskOutcome &outcome, Time now)
{
    const auto name = parseTaskName(outcome.task);
    Partition *partition = name ? partitionOf(name->job) : nullptr;
    // Without the lease, only a later keeper may know the job. The pool repeats the report.
    if (!partition || !isAuthoritative(*partition, now))
        return;
    StoredJob *job = partition->find(name->job);
    // A run in an occurrence that this keeper has not opened does not mean that the occurrence is
    // over: an earlier keeper has opened it, and this one waits for the takeover delay or has a
    // clock that is behind.
    if (job && !job->isClosed())
        job->openOccurrence(name->occurrence);
    StoredTask *task = job ? job->find(*name) : nullptr;
    const bool isStale = job && isSuperseded(*job, *name, task, outcome);
    const std::string_view cause = causeToIgnore(job, *name, task, outcome, isStale);
    if (cause.empty()) {
        applyOutcome(*partition, *job, *name, vm, outcome, now);
        return;
    }
    addLogEntry("outcome-known", name->job,
                fmt::format("task={} run={} vm={} cause={}", outcome.task, outcome.run, vm, cause));
    actions_.emplace_back(SendConfirm {vm, {outcome.task, outcome.run, isStale}});
    if (task && outcome.run >= task->lastRun)
        task->pool.clear();
}

// Applies an outcome that changes the state of its task, and confirms it, if necessary once it is
// in the journal.
void JobKeeper::applyOutcome(Partition &partition, StoredJob &job, const TaskName &name,
                             const std::string &vm, const TaskOutcome &outcome, Time now)
{
    StoredTask &task = *job.find(name);
    const ConfirmOutcome confirm {outcome.task, outcome.run};
    if (outcome.kind == TaskOutcome::Kind::Ended)
        job.hasStarted = true;
    if (outcome.kind != TaskOutcome::Kind::Lost && outcome.run == task.lastRun
        && task.ownRun == StoredTask::OwnRun::Open)
        task.ownRun = StoredTask::OwnRun::Ended;
    if (!outcome.checkpoint.empty())
        task.checkpoint = outcome.checkpoint;
    if (task.isEndPending && outcome.run == task.pendingRun)
        return; // being written; the pool gets the confirmation afterwards
    const bool isLatest = outcome.run >= task.lastRun;
    const bool isEndless = job.spec().steps[name.step].isEndless;
    const bool needsRecord = !isEndless && mustBeRecorded(outcome, isLatest);
    addLogEntry("outcome", name.job,
                fmt::format("task={} run={} vm={} kind={} end={} written={}", outcome.task,
                            outcome.run, vm, toString(outcome.kind), toString(outcome.end),
                            needsRecord));
    if (needsRecord) {
        task.isEndPending = true;
        task.pendingRun = outcome.run;
        partition.write(
                TaskEnded {toUnixMillis(now), name, outcome.run, outcome.end, outcome.checkpoint},
                Partition::Confirmation {vm, confirm});
        return;
    }
    if (isLatest) {
        task.lastRun = outcome.run;
        task.pool.clear();
        task.presumedEndAt = Time::max();
        if (outcome.kind == TaskOutcome::Kind::NotStarted)
            job.recordRefusal(vm, now);
        if (isEndless && outcome.kind == TaskOutcome::Kind::Ended) {
            task.notBefore = now + endlessRestartDelay;
            partition.scheduleWakeup(task.notBefore, name.job);
        }
        partition.updateIndexes(name.job, now);
    }
    actions_.emplace_back(SendConfirm {vm, confirm});
}

void JobKeeper::onBatchUnsent(const std::string &vm, const TaskBatch &batch, Time now)
{
    Partition *partition = partitionOf(batch.job);
    StoredJob *job = partition ? partition->find(batch.job) : nullptr;
    for (const TaskStart &start : batch.tasks) {
        const TaskName name {batch.job, batch.occurrence, batch.stepNumber, start.index};
        const StoredTask *task = job ? job->find(name) : nullptr;
        if (task && task->sends > 1)
            continue; // the pool may have received another copy
        onOutcome(vm, {toString(name), start.run, TaskOutcome::Kind::NotStarted}, now);
    }
}

void JobKeeper::onVmLost(const std::string &vm, Time now)
{
    lostVms_.insert(vm);
    for (auto &[number, partition] : partitions_) {
        for (auto &[id, job] : partition->jobs()) {
            bool isAffected = false;
            for (StoredTask *task : job.tasksPlacedAt(vm)) {
                if (task->presumedEndAt != Time::max())
                    continue;
                task->presumedEndAt = now + options_.lostRunTimeout;
                isAffected = true;
            }
            if (isAffected)
                partition->scheduleWakeup(now + options_.lostRunTimeout, id);
        }
    }
}

void JobKeeper::resumeRunsOfReturnedVms(Time now)
{
    std::erase_if(lostVms_, [&](const std::string &vm) {
        const VmTable::Row *row = vms_.find(vm);
        if (row)
            resumeRuns(vm, row->report.vm.incarnation, now);
        return row != nullptr;
    });
}

// Expects outcomes again from the pool of a VM that was taken for lost: its process is the same, so
// its runs may go on. The pool may not have received its last batches, so these are resent.
void JobKeeper::resumeRuns(const std::string &vm, uint64_t incarnation, Time now)
{
    for (auto &[number, partition] : partitions_) {
        for (auto &[id, job] : partition->jobs()) {
            for (StoredTask *task : job.tasksPlacedAt(vm)) {
                if (task->poolIncarnation == incarnation)
                    task->presumedEndAt = Time::max();
            }
        }
    }
    const auto isForVm = [&](const auto &entry) {
        return entry.second.vm == vm && entry.second.batch.poolIncarnation == incarnation;
    };
    std::vector<BatchDelivery> deliveries;
    for (const auto &entry : sentBatches_) {
        if (isForVm(entry))
            deliveries.push_back(entry.second);
    }
    std::erase_if(sentBatches_, isForVm);
    for (BatchDelivery &delivery : deliveries)
        sendBatch(std::move(delivery), now);
}

void JobKeeper::tick(Time now)
{
    resumeRunsOfReturnedVms(now);
    for (auto &[number, partition] : partitions_) {
        partition->tick(options_, heldBytes() - partition->heldBytes(), now);
        stopClosedJobs(*partition, now);
    }
    resendBatches(now);
    isPlacementDue_ = true;
}

// Stops the remaining runs of jobs that were cancelled or have failed.
void JobKeeper::stopClosedJobs(Partition &partition, Time now)
{
    for (auto job = partition.stoppingJobs().begin(); job != partition.stoppingJobs().end();) {
        StoredJob *closed = partition.find(*job);
        const auto pools = closed ? closed->pools() : std::vector<std::string> {};
        if (pools.empty()) {
            job = partition.stoppingJobs().erase(job);
            continue;
        }
        if (now >= closed->nextStopAt) {
            closed->stopInterval =
                    std::clamp(closed->stopInterval * 2, initialStopInterval, maxStopInterval);
            closed->nextStopAt = now + closed->stopInterval;
            sendStops(partition, *job, pools);
        }
        ++job;
    }
}

std::vector<KeeperAction> JobKeeper::takeActions(Time now)
{
    for (auto &[number, partition] : partitions_) {
        for (Partition::Reply &reply : partition->takeReplies()) {
            if (auto *answer = std::get_if<KeeperAnswer>(&reply))
                actions_.emplace_back(std::move(*answer));
            else if (auto *confirmation = std::get_if<Partition::Confirmation>(&reply))
                actions_.emplace_back(SendConfirm {confirmation->vm, confirmation->confirm});
            else if (auto *delivery = std::get_if<BatchDelivery>(&reply))
                onRestartStored(*partition, std::move(*delivery), now);
        }
    }
    if (isPlacementDue_)
        placeWaitingJobs(now);
    for (auto &[number, partition] : partitions_) {
        if (partition->stage() == Partition::Stage::Reading && !mayRead(*partition))
            continue;
        while (auto call = partition->nextCall(now))
            actions_.push_back(std::move(*call));
    }
    answerDeferredQueries(now);
    return std::exchange(actions_, {});
}

std::vector<PartitionClaim> JobKeeper::claims() const
{
    std::vector<PartitionClaim> claims;
    for (const auto &[number, partition] : partitions_) {
        if (partition->stage() != Partition::Stage::Lost)
            claims.push_back({number, partition->epoch(), partition->isServing()});
    }
    return claims;
}

std::vector<QueueBacklog> JobKeeper::backlog() const
{
    std::vector<QueueBacklog> backlog;
    for (const auto &[number, partition] : partitions_) {
        std::map<std::string, uint32_t> queues;
        for (const std::string &id : partition->unstartedJobs())
            ++queues[partition->jobs().at(id).queueParameters().queue];
        for (const auto &[queue, jobs] : queues)
            backlog.push_back({number, queue, jobs});
    }
    return backlog;
}

bool JobKeeper::hasOpenJobs() const
{
    return std::any_of(partitions_.begin(), partitions_.end(),
                       [](const auto &entry) { return entry.second->openJobCount() > 0; });
}

} // namespace lovage
