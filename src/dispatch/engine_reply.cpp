#include "engine.h"

namespace lovage {

using dispatch::AttemptState;

Dispatcher::Engine::Located Dispatcher::Engine::locate(const TaskRef &ref)
{
    const auto found = submissions_.find(ref.submission);
    if (found == submissions_.end())
        return {};
    if (found->second.tasks[ref.index].attempt != ref.attempt)
        return {};
    return {&found->second, ref.index};
}

// The task of this VM or borrowed task with this id; null for ids that are unknown or name another
// attempt than the present one.
Dispatcher::Engine::Located Dispatcher::Engine::locate(const TaskId &id)
{
    if (issuerOf(id.submission) != options_.self) {
        const auto borrowed = borrowedRecords_.find(id);
        if (borrowed == borrowedRecords_.end()
            || borrowed->second.state != dispatch::BorrowedState::Active)
            return {};
        const auto found = submissions_.find(borrowed->second.submission);
        return found == submissions_.end() ? Located {} : Located {&found->second, 0};
    }
    const auto found = submissions_.find(id.submission.sequence);
    if (found == submissions_.end() || id.index >= found->second.tasks.size())
        return {};
    if (found->second.tasks[id.index].attempt != id.attempt)
        return {};
    return {&found->second, id.index};
}

// True if a start of this attempt was ever given to some server, as far as is still known.
bool Dispatcher::Engine::wasGiven(const TaskId &id) const
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

// True if a refusal or tombstone settled that this attempt never runs.
bool Dispatcher::Engine::wasNotRun(const TaskId &id) const
{
    const auto found = submissions_.find(id.submission.sequence);
    if (issuerOf(id.submission) != options_.self || found == submissions_.end())
        return false;
    const Task &task = found->second.tasks[id.index];
    return id.attempt < task.attempt && !task.started;
}

// Only the server that holds the attempt may report about it. Anything else is late, or the fault
// of the server that said it.
bool Dispatcher::Engine::isExpected(const Located &found, uint32_t server, const TaskReply &reply)
{
    if (found && found.task().server == server)
        return true;
    const bool saysStarted = reply.status == TaskStatus::Done || reply.status == TaskStatus::Failed
            || reply.status == TaskStatus::Accepted || reply.status == TaskStatus::Running;
    ServerFaults &faults = servers_[server].faults;
    const bool isHeldElsewhere = found && found.task().state != AttemptState::Done;
    if (isHeldElsewhere || !wasGiven(reply.id))
        ++faults.unknownAnswers;
    else if (saysStarted && wasNotRun(reply.id))
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
    noteInstance(server, instance, now);
    for (TaskReply &reply : results)
        applyReply(server, instance, reply, now);
    const auto open = exchanges_.find(exchange);
    if (open == exchanges_.end() || open->second.server != server)
        return;
    const dispatch::Exchange batch = std::move(open->second);
    exchanges_.erase(open);
    // A reply that leaves out a task says nothing about it.
    for (const TaskRef &ref : batch.refs) {
        const Located found = locate(ref);
        if (!found || found.task().server != server || found.task().state != AttemptState::Sent)
            continue;
        ++servers_[server].faults.malformedAnswers;
        lose(*found.submission, ref.index, now);
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
        const Located found = locate(ref);
        if (!found || found.task().server != server)
            continue;
        const AttemptState state = found.task().state;
        const bool isOpen = state == AttemptState::Sent || state == AttemptState::Asking;
        if (!wasSent && isOpen) {
            onNotRun(*found.submission, ref.index, AttemptOutcome::Lost, now);
        } else if (state == AttemptState::Sent) {
            ++counters_.lostStarts;
            lose(*found.submission, ref.index, now);
        }
    }
}

void Dispatcher::Engine::on(TaskFinished &event, Time now)
{
    const uint32_t server = serverOfBackend(event.backend);
    noteInstance(server, event.instance, now);
    applyReply(server, event.instance, event.reply, now);
    if (event.freeSlots)
        placement_.reportFree(event.backend, *event.freeSlots, now);
}

void Dispatcher::Engine::on(LendFinished &event, Time now)
{
    const uint32_t server = serverOfPeer(event.vm);
    noteInstance(server, event.incarnation, now);
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
    noteInstance(server, instance, now);
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
    loseAll(serverOfBackend(event.backend), 0, now);
}

void Dispatcher::Engine::applyReply(uint32_t server, uint64_t instance, TaskReply &reply, Time now)
{
    const Located found = locate(reply.id);
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
        // A restarted server refuses a copy of a message that its predecessor may have accepted.
        if (task.instance != 0 && instance != task.instance) {
            lose(submission, found.index, now);
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
        reply.status = TaskStatus::Lost; // for a lender: the task must not be tried again
        onFailed(submission, found.index, AttemptOutcome::Failed, reply,
                 {Verdict::Ran, ErrorCode::MalformedAnswer, "the answer of a task is malformed"},
                 false, now);
        break;
    case TaskStatus::Duplicate:
        // An earlier copy of the start message arrived; only an inquiry tells what became of it.
        lose(submission, found.index, now);
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

// A stopped task started and did not succeed, so a repeatable one may be tried again.
void Dispatcher::Engine::onStopped(Submission &submission, uint32_t index, TaskReply &reply,
                                   Time now)
{
    const AttemptOutcome end =
            submission.tasks[index].stopWanted ? AttemptOutcome::Succeeded : AttemptOutcome::Failed;
    reply.runTime = {};
    onFailed(submission, index, end, reply,
             {Verdict::Ran, ErrorCode::BackendLost, "a task was stopped by its lapsed lease"}, true,
             now);
}

// The server refuses the task from now on. That proves that it never ran only if the server has
// kept its memory since the start was sent.
void Dispatcher::Engine::onUnknown(Submission &submission, uint32_t index, uint64_t instance,
                                   Time now)
{
    const Task &task = submission.tasks[index];
    if (task.state != AttemptState::Asking)
        return;
    const bool isSameInstance = instance != 0 && instance == task.instance;
    const bool isRemembered = now - task.sentAt < options_.serverRetention;
    if (task.attemptStarted && isSameInstance && isRemembered)
        ++servers_[task.server].faults.contradictoryAnswers;
    if (isSameInstance && isRemembered && !task.attemptStarted) {
        onNotRun(submission, index, AttemptOutcome::Lost, now);
        return;
    }
    onMayHaveRun(submission, index,
                 mayHaveRun(ErrorCode::BackendLost, "a server lost track of a task"), now);
}

} // namespace lovage
