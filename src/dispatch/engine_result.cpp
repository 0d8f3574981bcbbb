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

// Releases the server and the quota that an attempt used. The caller must have moved the attempt to
// state Done.
void Dispatcher::Engine::endAttempt(Submission &submission, Task &task, AttemptOutcome outcome,
                                    Duration runTime, bool wasNotRun, Time now)
{
    const Server &server = servers_[task.server];
    if (server.isPeer)
        placement_.lendEnded(server.name, submission.need, outcome, now);
    else
        placement_.release(server.backend, submission.need, outcome, runTime, now);
    if (!submission.isBorrowed()) {
        if (wasNotRun)
            admission_.undoStart(submission.need.owner, now);
        else
            admission_.finished(submission.need.owner);
    }
    task.server = noServer;
    task.stopRequested = false;
    --submission.outstanding;
    needsStartPass_ = true;
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
    // A peer accepts a task before the task is started.
    if (!servers_[task.server].isPeer)
        markStarted(submission, task);
    if (!task.stopRequested)
        apply(task, AttemptEvent::Accept);
    tryFinishAborted(submission, now);
}

void Dispatcher::Engine::onNotRun(Submission &submission, uint32_t index, AttemptOutcome outcome,
                                  Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Resolve))
        return;
    LOVAGE_ASSERT_INVARIANT(Promise::TrueNotRun, !task.attemptStarted,
                            "a started attempt counted as not run");
    endAttempt(submission, task, outcome, {}, true, now);
    if (submission.isBorrowed()) {
        finishBorrowed(submission, {submission.loan->id, TaskStatus::Refused}, now);
        return;
    }
    if (submission.abortError) {
        tryFinishAborted(submission, now);
        return;
    }
    // A new attempt number is needed, because the server refuses the old one permanently.
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
        reply.status = TaskStatus::Lost; // tells a lender not to retry the task
        onFailed(submission, index, AttemptOutcome::Failed, reply,
                 {Verdict::Ran, ErrorCode::AnswerTooLarge, "the answer of a task is too large"},
                 false, now);
        return;
    }
    const bool isFetchedLater = server.kind == BackendKind::Worker && !server.isPeer;
    if (!reply.hasOutput && isFetchedLater && !task.stopRequested) {
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
    if (submission.abortError)
        tryFinishAborted(submission, now);
    else if (submission.remaining == 0)
        succeed(submission, now);
}

// Handles an attempt that started and did not succeed.
void Dispatcher::Engine::onFailed(Submission &submission, uint32_t index, AttemptOutcome outcome,
                                  TaskReply &reply, Error error, bool mayRetry, Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Resolve))
        return;
    markStarted(submission, task);
    endAttempt(submission, task, outcome, reply.runTime, false, now);
    if (submission.isBorrowed()) {
        reply.id = submission.loan->id;
        finishBorrowed(submission, std::move(reply), now);
        return;
    }
    if (submission.abortError)
        tryFinishAborted(submission, now);
    else if (!mayRetry || !retry(submission, index, now))
        abort(submission, std::move(error), false, now);
}

// Handles an attempt of which it will never be known whether it ran.
void Dispatcher::Engine::onMayHaveRun(Submission &submission, uint32_t index, Error error, Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Resolve))
        return;
    submission.anyUnknown = true;
    endAttempt(submission, task, AttemptOutcome::Lost, {}, false, now);
    if (submission.isBorrowed())
        finishBorrowed(submission, {submission.loan->id, TaskStatus::Lost}, now);
    else if (submission.abortError)
        tryFinishAborted(submission, now);
    else
        abort(submission, std::move(error), false, now);
}

// Queues a second attempt at a repeatable task whose first attempt is known to have failed. Returns
// false if the task may not be retried.
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

void Dispatcher::Engine::setTimer(Submission &submission, Time at)
{
    submission.timerAt = at;
    submissionTimers_.push({at, submission.number});
}

void Dispatcher::Engine::succeed(Submission &submission, Time now)
{
    Answer answer;
    answer.tasks.reserve(submission.tasks.size());
    bool isComplete = true;
    for (size_t i = 0; i < submission.tasks.size(); ++i) {
        isComplete = isComplete && submission.tasks[i].succeeded;
        answer.tasks.push_back({(*submission.inputs)[i].name, std::move(submission.outputs[i])});
    }
    LOVAGE_ASSERT_INVARIANT(Promise::WholeAnswer, isComplete && submission.outstanding == 0,
                            "answer with a task missing");
    ++counters_.completed;
    answerWaiters(submission, makeOutcome(std::move(answer)), now);
    eraseSubmission(submission);
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

// Aborts a submission with an error: queued tasks are dropped and started tasks are stopped.
void Dispatcher::Engine::abort(Submission &submission, Error cause, bool awaitsStops, Time now)
{
    if (submission.abortError)
        return;
    submission.abortError = std::move(cause);
    submission.awaitsStops = awaitsStops;
    if (!submission.isBorrowed())
        counters_.cancelledTasks += admission_.queue().cancel(submission.number);
    for (uint32_t i = 0; i < submission.tasks.size(); ++i)
        requestStop(submission, i, now);
    const bool isPastDeadline = now >= submission.need.deadline;
    if (submission.isBorrowed()) {
        setTimer(submission, now + options_.stopRetryPeriod);
        return;
    }
    if (isPastDeadline && !submission.isAnswered) {
        answerFailure(submission, now);
        return;
    }
    setTimer(submission, std::min(submission.need.deadline, now + options_.cancelTimeout));
    tryFinishAborted(submission, now);
}

void Dispatcher::Engine::tryFinishAborted(Submission &submission, Time now)
{
    if (!submission.abortError || submission.isBorrowed())
        return;
    if (submission.isAnswered) {
        if (submission.outstanding == 0)
            eraseSubmission(submission);
        return;
    }
    const bool isVerdictFinal = submission.anyStarted && !submission.awaitsStops;
    if (submission.outstanding == 0 || isVerdictFinal)
        answerFailure(submission, now);
}

void Dispatcher::Engine::answerFailure(Submission &submission, Time now)
{
    Error error = *submission.abortError;
    error.verdict = Verdict::NotRun;
    if (submission.outstanding > 0 || submission.anyUnknown)
        error.verdict = Verdict::MayHaveRun;
    if (submission.anyStarted)
        error.verdict = Verdict::Ran;
    if (error.verdict == Verdict::NotRun) {
        bool noneStarted = true;
        for (const Task &task : submission.tasks)
            noneStarted = noneStarted && !task.started && task.server == noServer;
        LOVAGE_ASSERT_INVARIANT(Promise::TrueNotRun, noneStarted,
                                "verdict not-run with a started task");
        ++counters_.failedNotRun;
    } else if (error.verdict == Verdict::MayHaveRun) {
        ++counters_.failedMayHaveRun;
    } else {
        ++counters_.failedRan;
    }
    answerWaiters(submission, makeOutcome(std::move(error)), now);
    if (submission.outstanding == 0)
        eraseSubmission(submission);
    else
        setTimer(submission, std::max(submission.need.deadline, now) + options_.stopRetryPeriod);
}

void Dispatcher::Engine::eraseSubmission(Submission &submission)
{
    const uint64_t number = submission.number;
    submissions_.erase(number);
}

} // namespace lovage
