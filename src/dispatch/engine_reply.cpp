#include "engine.h"

namespace lovage {

using dispatch::AttemptState;

Dispatcher::Engine::TaskLocation Dispatcher::Engine::locate(const TaskRef &ref)
{
    const auto found = submissions_.find(ref.submission);
    if (found == submissions_.end())
        return {};
    if (found->second.tasks[ref.index].attempt != ref.attempt)
        return {};
    return {&found->second, ref.index};
}

// Finds the task or borrowed task with this id. The result is null if the id is unknown or belongs
// to an attempt other than the current one.
Dispatcher::Engine::TaskLocation Dispatcher::Engine::locate(const TaskId &id)
{
    if (issuerOf(id.submission) != options_.self) {
        const auto borrowed = borrowedRecords_.find(id);
        if (borrowed == borrowedRecords_.end()
            || borrowed->second.state != dispatch::BorrowedState::Active)
            return {};
        const auto found = submissions_.find(borrowed->second.submission);
        return found == submissions_.end() ? TaskLocation {} : TaskLocation {&found->second, 0};
    }
    const auto found = submissions_.find(id.submission.sequence);
    if (found == submissions_.end() || id.index >= found->second.tasks.size())
        return {};
    if (found->second.tasks[id.index].attempt != id.attempt)
        return {};
    return {&found->second, id.index};
}

// Returns true if a start of this attempt was sent to some server or can no longer be ruled out.
bool Dispatcher::Engine::mayHaveBeenSent(const TaskId &id) const
{
    if (issuerOf(id.submission) != options_.self)
        return borrowedRecords_.contains(id);
    if (id.submission.sequence == 0 || id.submission.sequence > lastAccepted_)
        return false;
    const auto found = submissions_.find(id.submission.sequence);
    if (found == submissions_.end())
        return true;
    const std::vector<Task> &tasks = found->second.tasks;
    return id.index < tasks.size() && id.attempt <= tasks[id.index].attempt;
}

// Returns true if a refusal or a tombstone has proven that this attempt never runs.
bool Dispatcher::Engine::isKnownNotRun(const TaskId &id) const
{
    const auto found = submissions_.find(id.submission.sequence);
    if (issuerOf(id.submission) != options_.self || found == submissions_.end())
        return false;
    const Task &task = found->second.tasks[id.index];
    return id.attempt < task.attempt && !task.started;
}

// Returns true if the reply comes from the server to which the attempt was sent. Any other reply is
// counted as late or as a fault of the server that sent it.
bool Dispatcher::Engine::isExpected(const TaskLocation &found, uint32_t server,
                                    const TaskReply &reply)
{
    if (found && found.task().server == server)
        return true;
    const bool reportsStart = reply.status == TaskStatus::Done || reply.status == TaskStatus::Failed
            || reply.status == TaskStatus::Accepted || reply.status == TaskStatus::Running;
    ServerFaults &faults = servers_[server].faults;
    const bool isHeldElsewhere = found && found.task().state != AttemptState::Done;
    if (isHeldElsewhere || !mayHaveBeenSent(reply.id))
        ++faults.unknownAnswers;
    else if (reportsStart && isKnownNotRun(reply.id))
        ++faults.startsAfterRefusal;
    else
        ++counters_.lateReplies;
    return false;
}

void Dispatcher::Engine::on(StartReplied &event, Time now)
{
    const uint32_t server = serverOfBackend(event.backend);
    if (event.leaving)
        placement_.setLeaving(event.backend);
    startReplied(server, event.exchange, event.instance, event.results, now);
    if (event.freeSlots)
        placement_.reportFree(event.backend, *event.freeSlots, now);
}

void Dispatcher::Engine::on(LendReplied &event, Time now)
{
    startReplied(serverOfPeer(event.vm), event.exchange, event.incarnation, event.results, now);
}

void Dispatcher::Engine::startReplied(uint32_t server, uint64_t exchange, uint64_t instance,
                                      std::vector<TaskReply> &results, Time now)
{
    updateInstance(server, instance, now);
    for (TaskReply &reply : results)
        applyReply(server, instance, reply, now);
    const auto open = exchanges_.find(exchange);
    if (open == exchanges_.end() || open->second.server != server)
        return;
    const dispatch::Exchange batch = std::move(open->second);
    exchanges_.erase(open);
    // The state of a task that is missing in the reply is unknown.
    for (const TaskRef &ref : batch.refs) {
        const TaskLocation found = locate(ref);
        if (!found || found.task().server != server || found.task().state != AttemptState::Sent)
            continue;
        ++servers_[server].faults.malformedAnswers;
        startInquiry(*found.submission, ref.index, now);
    }
}

void Dispatcher::Engine::on(StartLost &event, Time now)
{
    startLost(serverOfBackend(event.backend), event.exchange, event.wasSent, now);
}

void Dispatcher::Engine::on(LendLost &event, Time now)
{
    startLost(serverOfPeer(event.vm), event.exchange, event.wasSent, now);
}

void Dispatcher::Engine::startLost(uint32_t server, uint64_t exchange, bool wasSent, Time now)
{
    const auto open = exchanges_.find(exchange);
    if (open == exchanges_.end() || open->second.server != server)
        return;
    const dispatch::Exchange batch = std::move(open->second);
    exchanges_.erase(open);
    for (const TaskRef &ref : batch.refs) {
        const TaskLocation found = locate(ref);
        if (!found || found.task().server != server)
            continue;
        const AttemptState state = found.task().state;
        const bool isOpen = state == AttemptState::Sent || state == AttemptState::Inquiring;
        if (!wasSent && isOpen) {
            onNotRun(*found.submission, ref.index, AttemptOutcome::Lost, now);
        } else if (state == AttemptState::Sent) {
            ++counters_.lostStarts;
            startInquiry(*found.submission, ref.index, now);
        }
    }
}

void Dispatcher::Engine::on(TaskFinished &event, Time now)
{
    const uint32_t server = serverOfBackend(event.backend);
    updateInstance(server, event.instance, now);
    applyReply(server, event.instance, event.reply, now);
    if (event.freeSlots)
        placement_.reportFree(event.backend, *event.freeSlots, now);
}

void Dispatcher::Engine::on(LendFinished &event, Time now)
{
    const uint32_t server = serverOfPeer(event.vm);
    updateInstance(server, event.incarnation, now);
    for (TaskReply &reply : event.results)
        applyReply(server, event.incarnation, reply, now);
}

void Dispatcher::Engine::on(InquiryReplied &event, Time now)
{
    inquiryReplied(serverOfBackend(event.backend), event.exchange, event.instance, event.results,
                   now);
}

void Dispatcher::Engine::on(LendInquiryReplied &event, Time now)
{
    inquiryReplied(serverOfPeer(event.vm), event.exchange, event.incarnation, event.results, now);
}

void Dispatcher::Engine::inquiryReplied(uint32_t server, uint64_t exchange, uint64_t instance,
                                        std::vector<TaskReply> &results, Time now)
{
    updateInstance(server, instance, now);
    for (TaskReply &reply : results)
        applyReply(server, instance, reply, now);
    if (closeInquiry(servers_[server], exchange))
        backOff(servers_[server], now);
}

void Dispatcher::Engine::on(InquiryLost &event, Time now)
{
    inquiryLost(serverOfBackend(event.backend), event.exchange, now);
}

void Dispatcher::Engine::on(LendInquiryLost &event, Time now)
{
    inquiryLost(serverOfPeer(event.vm), event.exchange, now);
}

void Dispatcher::Engine::inquiryLost(uint32_t server, uint64_t exchange, Time now)
{
    if (closeInquiry(servers_[server], exchange))
        backOff(servers_[server], now);
}

void Dispatcher::Engine::on(LeaseLapsed &event, Time now)
{
    startInquiries(serverOfBackend(event.backend), 0, now);
}

void Dispatcher::Engine::applyReply(uint32_t server, uint64_t instance, TaskReply &reply, Time now)
{
    const TaskLocation found = locate(reply.id);
    if (!isExpected(found, server, reply))
        return;
    Submission &submission = *found.submission;
    Task &task = found.task();
    switch (reply.status) {
    case TaskStatus::Accepted:
    case TaskStatus::Running:
        onAccepted(submission, found.index, now);
        break;
    case TaskStatus::Refused:
        if (task.attemptStarted) {
            ++servers_[server].faults.contradictoryAnswers;
            break;
        }
        ++counters_.refusedStarts;
        // After a restart the server refuses a copy of a start message whose original may have been
        // accepted before the restart.
        if (task.instance != 0 && instance != task.instance) {
            startInquiry(submission, found.index, now);
            break;
        }
        onNotRun(submission, found.index, AttemptOutcome::Refused, now);
        break;
    case TaskStatus::Done:
        onDone(submission, found.index, reply, now);
        break;
    case TaskStatus::Failed:
        onFailed(submission, found.index, AttemptOutcome::Failed, reply,
                 {Verdict::Ran, ErrorCode::TaskFailed, reply.reason}, true, now);
        break;
    case TaskStatus::Malformed:
        ++servers_[server].faults.malformedAnswers;
        reply.status = TaskStatus::Lost; // tells a lender not to retry the task
        onFailed(submission, found.index, AttemptOutcome::Failed, reply,
                 {Verdict::Ran, ErrorCode::MalformedAnswer, "the answer of a task is malformed"},
                 false, now);
        break;
    case TaskStatus::Duplicate:
        // An earlier copy of the start message has arrived. Its result must be learned by an
        // inquiry.
        startInquiry(submission, found.index, now);
        break;
    case TaskStatus::Unknown:
        onUnknown(submission, found.index, instance, now);
        break;
    case TaskStatus::Stopped:
        onStopped(submission, found.index, reply, now);
        break;
    case TaskStatus::Lost:
        onMayHaveRun(submission, found.index,
                     mayHaveRun(ErrorCode::BackendLost, "a peer lost track of a task"), now);
        break;
    }
}

// A stopped task was started and did not succeed, so a repeatable task may be retried.
void Dispatcher::Engine::onStopped(Submission &submission, uint32_t index, TaskReply &reply,
                                   Time now)
{
    const AttemptOutcome outcome = submission.tasks[index].stopRequested ? AttemptOutcome::Succeeded
                                                                         : AttemptOutcome::Failed;
    reply.runTime = {};
    onFailed(submission, index, outcome, reply,
             {Verdict::Ran, ErrorCode::BackendLost, "a task was stopped by its lapsed lease"}, true,
             now);
}

// The server has no record of the task and refuses it from now on. This proves that the task never
// ran only if the server has kept its records since the start was sent.
void Dispatcher::Engine::onUnknown(Submission &submission, uint32_t index, uint64_t instance,
                                   Time now)
{
    const Task &task = submission.tasks[index];
    if (task.state != AttemptState::Inquiring)
        return;
    const bool isSameInstance = instance != 0 && instance == task.instance;
    const bool isWithinRetention = now - task.sentAt < options_.serverRetention;
    if (task.attemptStarted && isSameInstance && isWithinRetention)
        ++servers_[task.server].faults.contradictoryAnswers;
    if (isSameInstance && isWithinRetention && !task.attemptStarted) {
        onNotRun(submission, index, AttemptOutcome::Lost, now);
        return;
    }
    onMayHaveRun(submission, index,
                 mayHaveRun(ErrorCode::BackendLost, "a server lost track of a task"), now);
}

} // namespace lovage
