#include "engine.h"

namespace lovage {

using dispatch::noServer;

namespace {

// The last tenth of the tasks of a job counts as its last tasks. They determine when the job
// completes, so placement prefers servers with predictable run times for them.
constexpr size_t lastTasksDivisor = 10;

bool isSameEntry(const TaskRequirements &left, const TaskRequirements &right)
{
    return left.workClass == right.workClass && left.owner == right.owner && left.kind == right.kind
            && left.demand == right.demand && left.declaredRunTime == right.declaredRunTime;
}

} // namespace

void Dispatcher::Engine::startQueuedTasks(Time now)
{
    if (!needsStartPass_ || !mayStart(now))
        return;
    needsStartPass_ = false;
    FairQueue &queue = admission_.queue();
    queue.clearHolds();
    while (std::optional<QueuedTask> task = queue.pop(now)) {
        const StartResult result = tryStart(*task, now);
        if (result == StartResult::Dequeued)
            continue;
        const std::string held =
                result == StartResult::ClassBlocked ? task->need.workClass : task->need.owner;
        queue.requeue(std::move(*task));
        if (result == StartResult::ClassBlocked)
            queue.holdClass(held);
        else
            queue.holdOwner(held);
    }
}

Dispatcher::Engine::StartResult Dispatcher::Engine::tryStart(QueuedTask &queued, Time now)
{
    const auto found = submissions_.find(queued.submission);
    if (found == submissions_.end() || found->second.abortError)
        return StartResult::Dequeued;
    Submission &submission = found->second;
    if (!admission_.tryStart(queued.need.owner, now))
        return StartResult::OwnerBlocked;
    FairQueue &queue = admission_.queue();
    TaskRequirements need = queued.need;
    need.waiting = uint32_t(queue.size(need.kind) + 1);
    need.jobWaiting = uint32_t(queue.queuedOf(queued.submission) + 1);
    const size_t taskCount = submission.tasks.size();
    need.lastOfJob = taskCount > 1 && need.jobWaiting * lastTasksDivisor <= taskCount;
    const Choice choice = placement_.choose(need, now);
    if (const auto *backend = std::get_if<ToBackend>(&choice)) {
        const uint32_t server = serverOfBackend(backend->backend);
        placement_.reserve(backend->backend, submission.need, now);
        if (!servers_[server].hasReplied) {
            // The attempt is reported as a refusal, so that placement skips the server for a while.
            placement_.release(backend->backend, submission.need, AttemptOutcome::Refused, {}, now);
            admission_.undoStart(queued.need.owner, now);
            scheduleFirstInquiry(server, now);
            return StartResult::ClassBlocked;
        }
        send(submission, queued.index, server, now);
        return StartResult::Dequeued;
    }
    if (const auto *peer = std::get_if<ToPeer>(&choice)) {
        placement_.lend(peer->vm, submission.need, now);
        send(submission, queued.index, serverOfPeer(peer->vm), now);
        return StartResult::Dequeued;
    }
    admission_.undoStart(queued.need.owner, now);
    if (std::holds_alternative<Wait>(choice))
        return StartResult::ClassBlocked;
    const std::string &reason = std::get<Impossible>(choice).reason;
    abort(submission, notRun(ErrorCode::Impossible, reason), false, now);
    return StartResult::Dequeued;
}

void Dispatcher::Engine::send(Submission &submission, uint32_t index, uint32_t server, Time now)
{
    Task &task = submission.tasks[index];
    const bool isFirst = task.attempt == 0 || submission.isBorrowed();
    const bool wasQueued = apply(task, AttemptEvent::Send);
    LOVAGE_ASSERT_INVARIANT(Promise::StartOnce, wasQueued && task.server == noServer,
                            "start of a task with an active attempt");
    LOVAGE_ASSERT_INVARIANT(Promise::StartOnce, !task.succeeded && !submission.abortError,
                            "start of a task that has ended");
    LOVAGE_ASSERT_INVARIANT(Promise::NonRepeatableOnce,
                            !task.started || (submission.repeatable && task.retried),
                            "second start of a task that is not repeatable");
    LOVAGE_ASSERT_INVARIANT(Promise::StartOnce,
                            submission.isBorrowed() || issuerOf(submission.id) == options_.self,
                            "start of a task that another VM issued");
    task.sentAt = now;
    task.server = server;
    task.instance = servers_[server].instance;
    ++submission.outstanding;
    if (isFirst && !submission.isBorrowed())
        admission_.retries().started(submission.need.owner);
    Batch &batch = openBatch(server, submission, now);
    batch.refs.push_back({submission.number, index, task.attempt});
    batch.expiry = std::min(batch.expiry, submission.need.deadline);
    if (submission.isBorrowed())
        batch.expiry = std::min(batch.expiry, submission.loan->expiry);
}

// Returns a batch for this server to which a task of the submission may be added. An executor
// replies only when the whole batch has ended, so a batch for an executor has tasks of one
// submission only.
Dispatcher::Engine::Batch &Dispatcher::Engine::openBatch(uint32_t server,
                                                         const Submission &submission, Time now)
{
    Server &target = servers_[server];
    if (target.openBatch != noServer) {
        Batch &open = batches_[target.openBatch];
        const bool isShared = target.isPeer || target.kind == BackendKind::Worker
                || submission.number == open.submission;
        const bool isSameNeed = target.isPeer || isSameEntry(open.need, submission.need);
        if (isShared && isSameNeed && open.refs.size() < options_.maxBatchTasks)
            return open;
    }
    target.openBatch = uint32_t(batches_.size());
    Batch &batch = batches_.emplace_back();
    batch.server = server;
    batch.exchange = ++lastExchange_;
    batch.submission = submission.number;
    batch.expiry = now + options_.startExpiry;
    batch.need = submission.need;
    return batch;
}

// Removes the tasks for which a stop was requested after they were added to the batch.
void Dispatcher::Engine::dropStoppedTasks(Batch &batch, Time now)
{
    const std::vector<TaskRef> refs = std::exchange(batch.refs, {});
    for (const TaskRef &ref : refs) {
        const TaskLocation found = locate(ref);
        if (found && !found.task().stopRequested)
            batch.refs.push_back(ref);
        else if (found)
            onNotRun(*found.submission, ref.index, AttemptOutcome::Refused, now);
    }
}

void Dispatcher::Engine::flush(Time now)
{
    for (Batch &batch : batches_) {
        servers_[batch.server].openBatch = noServer;
        if (hasStopRequests_)
            dropStoppedTasks(batch, now);
        if (batch.refs.empty())
            continue;
        if (servers_[batch.server].isPeer)
            flushLend(batch);
        else
            flushStarts(batch);
        exchanges_.emplace(batch.exchange,
                           dispatch::Exchange {batch.server, std::move(batch.refs)});
    }
    batches_.clear();
    hasStopRequests_ = false;
}

void Dispatcher::Engine::flushStarts(Batch &batch)
{
    const Server &server = servers_[batch.server];
    LOVAGE_ASSERT_INVARIANT(Promise::NoWorkOnLeaving, !placement_.health(server.backend).leaving,
                            "start at a leaving backend server");
    SendStarts starts;
    starts.backend = server.backend;
    starts.exchange = batch.exchange;
    starts.instance = server.instance;
    starts.expiry = batch.expiry;
    starts.wait = server.kind == BackendKind::Executor;
    if (!starts.wait)
        starts.lease = options_.lease;
    starts.need = std::move(batch.need);
    starts.tasks.reserve(batch.refs.size());
    for (const TaskRef &ref : batch.refs) {
        const TaskLocation found = locate(ref);
        if (!found)
            continue;
        const Submission &submission = *found.submission;
        SharedInput input = submission.isBorrowed()
                ? submission.loan->input
                : SharedInput(submission.inputs, &(*submission.inputs)[ref.index].input);
        starts.tasks.push_back({idOf(submission, ref.index), std::move(input)});
    }
    counters_.starts += starts.tasks.size();
    ++counters_.startMessages;
    actions_.push_back(std::move(starts));
}

void Dispatcher::Engine::flushLend(Batch &batch)
{
    Server &server = servers_[batch.server];
    SendLend lend;
    lend.vm = server.name;
    lend.exchange = batch.exchange;
    lend.expectedIncarnation = server.instance;
    lend.expiry = batch.expiry;
    lend.tasks.reserve(batch.refs.size());
    for (const TaskRef &ref : batch.refs) {
        const TaskLocation found = locate(ref);
        if (!found)
            continue;
        const Submission &submission = *found.submission;
        SharedInput input(submission.inputs, &(*submission.inputs)[ref.index].input);
        lend.tasks.push_back({idOf(submission, ref.index), submission.need, std::move(input)});
        server.lent.push_back(ref);
    }
    counters_.lends += lend.tasks.size();
    server.nextLendCheck =
            std::min(server.nextLendCheck, lastEvent_ + options_.lentTaskCheckInterval);
    scheduleServerTimer(server.nextLendCheck);
    actions_.push_back(std::move(lend));
}

// Queues the next attempt at a task. The previous attempt must have been proven not to have run, or
// the task must be repeatable.
void Dispatcher::Engine::enqueue(Submission &submission, uint32_t index, Time now)
{
    if (isFenced_) {
        abort(submission, notRun(ErrorCode::Fenced, "a newer incarnation of this VM exists"), false,
              now);
        return;
    }
    const Result<void> pushed = admission_.queue().push(
            submission.need.owner, {submission.number, index, submission.need, 0}, now);
    needsStartPass_ = true;
    if (!pushed.has_value())
        abort(submission, pushed.error(), false, now);
}

} // namespace lovage
