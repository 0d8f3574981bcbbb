#include "engine.h"

namespace lovage {

using dispatch::noServer;

bool Dispatcher::Engine::apply(Task &task, AttemptEvent event)
{
    const auto next = dispatch::nextState(task.state, event);
    if (!next)
        return false;
    task.state = *next;
    return true;
}

// Returns the account of an attempt. The caller has moved the attempt to Done.
void Dispatcher::Engine::endAttempt(Submission &submission, Task &task, AttemptOutcome end,
                                    Duration ran, bool wasNotRun, Time now)
{
    const Server &server = servers_[task.server];
    if (server.isPeer)
        placement_.lendEnded(server.name, submission.need, end, now);
    else
        placement_.release(server.backend, submission.need, end, ran, now);
    if (!submission.isBorrowed()) {
        if (wasNotRun)
            admission_.undoStart(submission.need.owner, now);
        else
            admission_.finished(submission.need.owner);
    }
    task.server = noServer;
    task.stopWanted = false;
    --submission.outstanding;
    isStartable_ = true;
}

void Dispatcher::Engine::markStarted(Submission &submission, Task &task)
{
    task.attemptStarted = true;
    task.started = true;
    submission.anyStarted = true;
}

void Dispatcher::Engine::beginAttempt(Task &task)
{
    ++task.attempt;
    task.attemptStarted = false;
    task.state = dispatch::AttemptState::Queued;
}

void Dispatcher::Engine::onAccepted(Submission &submission, uint32_t index, Time now)
{
    Task &task = submission.tasks[index];
    // A peer accepts a task before it starts it.
    if (!servers_[task.server].isPeer)
        markStarted(submission, task);
    if (!task.stopWanted)
        apply(task, AttemptEvent::Accept);
    settle(submission, now);
}

void Dispatcher::Engine::onNotRun(Submission &submission, uint32_t index, AttemptOutcome end,
                                  Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Resolve))
        return;
    LOVAGE_ASSERT_INVARIANT(Promise::TrueNotRun, !task.attemptStarted,
                            "a started attempt counted as not run");
    endAttempt(submission, task, end, {}, true, now);
    if (submission.isBorrowed()) {
        finishBorrowed(submission, {submission.loan->id, TaskStatus::Refused}, now);
        return;
    }
    if (submission.abort) {
        settle(submission, now);
        return;
    }
    // A new attempt number, because the server refuses the old one for good.
    beginAttempt(task);
    enqueue(submission, index, now);
}

void Dispatcher::Engine::onDone(Submission &submission, uint32_t index, TaskReply &reply, Time now)
{
    Task &task = submission.tasks[index];
    Server &server = servers_[task.server];
    markStarted(submission, task);
    if (reply.output.size() > options_.maxAnswerBytes) {
        ++server.faults.oversizeAnswers;
        reply.output = {};
        reply.status = TaskStatus::Lost; // for a lender: the task must not be tried again
        onFailed(submission, index, AttemptOutcome::Failed, reply,
                 {Verdict::Ran, ErrorCode::AnswerTooLarge, "the answer of a task is too large"},
                 false, now);
        return;
    }
    const bool isFetchedLater = server.kind == BackendKind::Worker && !server.isPeer;
    if (!reply.hasOutput && isFetchedLater && !task.stopWanted) {
        // A worker keeps the result until it is fetched.
        apply(task, AttemptEvent::Accept);
        return;
    }
    if (!reply.hasOutput) {
        reply.status = TaskStatus::Lost;
        onFailed(submission, index, AttemptOutcome::Succeeded, reply,
                 {Verdict::Ran, ErrorCode::BackendLost, "the answer of a task was lost"}, false,
                 now);
        return;
    }
    if (!apply(task, AttemptEvent::Resolve))
        return;
    endAttempt(submission, task, AttemptOutcome::Succeeded, reply.runTime, false, now);
    LOVAGE_ASSERT_INVARIANT(Promise::StartOnce, !task.succeeded, "a task succeeded twice");
    task.succeeded = true;
    if (submission.isBorrowed()) {
        finishBorrowed(submission, std::move(reply), now);
        return;
    }
    --submission.remaining;
    submission.outputs[index] = std::move(reply.output);
    if (submission.abort)
        settle(submission, now);
    else if (submission.remaining == 0)
        succeed(submission, now);
}

// The attempt started and did not succeed.
void Dispatcher::Engine::onFailed(Submission &submission, uint32_t index, AttemptOutcome end,
                                  TaskReply &reply, Error error, bool mayRetry, Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Resolve))
        return;
    markStarted(submission, task);
    endAttempt(submission, task, end, reply.runTime, false, now);
    if (submission.isBorrowed()) {
        reply.id = submission.loan->id;
        finishBorrowed(submission, std::move(reply), now);
        return;
    }
    if (submission.abort)
        settle(submission, now);
    else if (!mayRetry || !retry(submission, index, now))
        abort(submission, std::move(error), false, now);
}

// Nothing is known about the attempt and nothing will be.
void Dispatcher::Engine::onMayHaveRun(Submission &submission, uint32_t index, Error error, Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Resolve))
        return;
    submission.anyUnknown = true;
    endAttempt(submission, task, AttemptOutcome::Lost, {}, false, now);
    if (submission.isBorrowed())
        finishBorrowed(submission, {submission.loan->id, TaskStatus::Lost}, now);
    else if (submission.abort)
        settle(submission, now);
    else
        abort(submission, std::move(error), false, now);
}

// Queues a second attempt of a repeatable task whose first one certainly ended without success.
bool Dispatcher::Engine::retry(Submission &submission, uint32_t index, Time now)
{
    Task &task = submission.tasks[index];
    if (!submission.repeatable || task.retried || now >= submission.need.deadline)
        return false;
    if (!admission_.retries().tryRetry(submission.need.owner))
        return false;
    task.retried = true;
    beginAttempt(task);
    ++counters_.retries;
    enqueue(submission, index, now);
    return true;
}

void Dispatcher::Engine::setEnd(Submission &submission, Time at)
{
    submission.endAt = at;
    submissionTimes_.push({at, submission.number});
}

void Dispatcher::Engine::succeed(Submission &submission, Time now)
{
    Answer answer;
    answer.tasks.reserve(submission.tasks.size());
    bool isWhole = true;
    for (size_t i = 0; i < submission.tasks.size(); ++i) {
        isWhole = isWhole && submission.tasks[i].succeeded;
        answer.tasks.push_back({(*submission.inputs)[i].name, std::move(submission.outputs[i])});
    }
    LOVAGE_ASSERT_INVARIANT(Promise::WholeAnswer, isWhole && submission.outstanding == 0,
                            "answer with a task missing");
    ++counters_.completed;
    answerWaiters(submission, makeOutcome(std::move(answer)), now);
    forget(submission);
}

void Dispatcher::Engine::answerWaiters(Submission &submission, const OutcomePtr &outcome, Time now)
{
    LOVAGE_ASSERT_INVARIANT(Promise::OwnAnswer, !submission.isAnswered,
                            "second answer of a submission");
    submission.isAnswered = true;
    --unanswered_;
    ledger_.finish(submission.id, outcome, now);
    for (const Origin &origin : submission.waiters)
        complete(origin, submission.id, outcome);
    submission.waiters.clear();
}

// Ends a submission with one failure: queued tasks are dropped, started ones are stopped.
void Dispatcher::Engine::abort(Submission &submission, Error cause, bool isConfirmed, Time now)
{
    if (submission.abort)
        return;
    submission.abort = std::move(cause);
    submission.isConfirmed = isConfirmed;
    if (!submission.isBorrowed())
        counters_.cancelledTasks += admission_.queue().cancel(submission.number);
    for (uint32_t i = 0; i < submission.tasks.size(); ++i)
        wantStop(submission, i, now);
    const bool isPastDeadline = now >= submission.need.deadline;
    if (submission.isBorrowed()) {
        setEnd(submission, now + options_.stopRetryPeriod);
        return;
    }
    if (isPastDeadline && !submission.isAnswered) {
        answerFailure(submission, now);
        return;
    }
    setEnd(submission, std::min(submission.need.deadline, now + options_.cancelTimeout));
    settle(submission, now);
}

void Dispatcher::Engine::settle(Submission &submission, Time now)
{
    if (!submission.abort || submission.isBorrowed())
        return;
    if (submission.isAnswered) {
        if (submission.outstanding == 0)
            forget(submission);
        return;
    }
    const bool isVerdictFinal = submission.anyStarted && !submission.isConfirmed;
    if (submission.outstanding == 0 || isVerdictFinal)
        answerFailure(submission, now);
}

void Dispatcher::Engine::answerFailure(Submission &submission, Time now)
{
    Error error = *submission.abort;
    error.verdict = Verdict::NotRun;
    if (submission.outstanding > 0 || submission.anyUnknown)
        error.verdict = Verdict::MayHaveRun;
    if (submission.anyStarted)
        error.verdict = Verdict::Ran;
    if (error.verdict == Verdict::NotRun) {
        bool isUntouched = true;
        for (const Task &task : submission.tasks)
            isUntouched = isUntouched && !task.started && task.server == noServer;
        LOVAGE_ASSERT_INVARIANT(Promise::TrueNotRun, isUntouched,
                                "verdict not-run with a started task");
        ++counters_.failedNotRun;
    } else if (error.verdict == Verdict::MayHaveRun) {
        ++counters_.failedMayHaveRun;
    } else {
        ++counters_.failedRan;
    }
    answerWaiters(submission, makeOutcome(std::move(error)), now);
    if (submission.outstanding == 0)
        forget(submission);
    else
        setEnd(submission, std::max(submission.need.deadline, now) + options_.stopRetryPeriod);
}

void Dispatcher::Engine::forget(Submission &submission)
{
    const uint64_t number = submission.number;
    submissions_.erase(number);
}

} // namespace lovage
