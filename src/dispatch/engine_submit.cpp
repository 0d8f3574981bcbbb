#include "engine.h"

#include <algorithm>

namespace lovage {

using dispatch::Forward;

namespace {

Error issuerUnreachable()
{
    return mayHaveRun(ErrorCode::IssuerUnreachable,
                      "the VM that answers for the id is unreachable");
}

} // namespace

void Dispatcher::Engine::complete(const Origin &origin, const SubmissionId &id, OutcomePtr outcome)
{
    const Error *error = errorOf(*outcome);
    const bool isDraining = error && error->code == ErrorCode::Draining;
    actions_.push_back(CompleteSubmission {origin, id, std::move(outcome),
                                           isDraining ? redirect_ : std::string()});
}

void Dispatcher::Engine::on(OpenRequested &event, Time now)
{
    std::vector<SubmissionId> ids;
    for (uint32_t i = 0; i < event.count; ++i) {
        Result<SubmissionId> id = ledger_.open(now);
        if (!id.has_value()) {
            const ErrorCode code = isFenced_ ? ErrorCode::Fenced : ErrorCode::Draining;
            actions_.push_back(
                    ReplyOpened {event.origin, notRun(code, id.error().reason), redirect_});
            return;
        }
        ids.push_back(std::move(id.value()));
    }
    actions_.push_back(ReplyOpened {event.origin, std::move(ids), {}});
}

void Dispatcher::Engine::on(SubmitRequested &event, Time now)
{
    SubmitDecision decision = event.key.empty()
            ? ledger_.submit(event.id, event.owner, event.bodyDigest, now)
            : ledger_.submitKeyed(event.key, event.owner, event.bodyDigest, now);
    if (const auto *start = std::get_if<Start>(&decision)) {
        startSubmission(start->id, event, now);
    } else if (const auto *running = std::get_if<AlreadyRunning>(&decision)) {
        addWaiter(running->id, event.origin);
    } else if (auto *finished = std::get_if<Finished>(&decision)) {
        complete(event.origin, finished->id, std::move(finished->outcome));
    } else if (const auto *refusal = std::get_if<Refuse>(&decision)) {
        complete(event.origin, event.id, makeOutcome(refusal->error));
    } else if (!mayForward(event.origin)) {
        complete(event.origin, event.id, makeOutcome(issuerUnreachable()));
    } else {
        const Time until = std::max(event.deadline, now) + options_.forwardTimeout;
        const uint64_t forward = addForward(event.origin, event.id, until);
        std::string vm = std::get<ForwardTo>(decision).vm;
        actions_.push_back(ForwardSubmission {forward, std::move(vm), std::move(event)});
    }
}

Result<TaskRequirements> Dispatcher::Engine::checkSubmission(const SubmitRequested &event,
                                                             Time &deadline, Time now)
{
    if (!catalogue_)
        return notRun(ErrorCode::NoCatalogue, "no catalogue has been read yet");
    const Entry *entry = catalogue_->find(event.entry);
    if (!entry)
        return notRun(ErrorCode::UnknownEntry, "no entry " + event.entry);
    if (entry->retired)
        return notRun(ErrorCode::EntryRetired, "the entry is retired");
    if (entry->owner != event.owner)
        return notRun(ErrorCode::WrongOwner, "the entry belongs to another owner");
    if (event.tasks.empty())
        return notRun(ErrorCode::MalformedBody, "a submission needs a task");
    if (event.tasks.size() > entry->limits.maxTasks)
        return notRun(ErrorCode::TooManyTasks, "more tasks than the entry permits");
    deadline = std::min(event.deadline, now + entry->limits.deadline);
    if (deadline <= now)
        return notRun(ErrorCode::PastDeadline, "the deadline has passed");
    TaskRequirements need {.workClass = entry->workClass,
                           .owner = entry->owner,
                           .kind = entry->backendKind,
                           .demand = entry->demand,
                           .declaredRunTime = entry->declaredRunTime,
                           .deadline = deadline,
                           .wasteWeight = entry->wasteWeight};
    const Duration expectedRun = placement_.expectedRunTime(need);
    const Result<void> admitted =
            admission_.admit(event.owner, event.tasks.size(), expectedRun, deadline, now);
    if (!admitted.has_value())
        return admitted.error();
    return need;
}

// The refusal is recorded under the id, so that a delayed copy of the request does not start after
// the caller received NotRun.
void Dispatcher::Engine::refuse(const Origin &origin, const SubmissionId &id, Error error)
{
    LOVAGE_ASSERT_INVARIANT(Promise::TrueNotRun, error.verdict == Verdict::NotRun,
                            "refusal with a verdict other than NotRun");
    ++counters_.failedNotRun;
    OutcomePtr outcome = makeOutcome(std::move(error));
    ledger_.finish(id, outcome, lastEvent_);
    complete(origin, id, std::move(outcome));
}

void Dispatcher::Engine::startSubmission(const SubmissionId &id, SubmitRequested &event, Time now)
{
    Time deadline = event.deadline;
    Result<TaskRequirements> need = checkSubmission(event, deadline, now);
    if (!need.has_value()) {
        refuse(event.origin, id, need.error());
        return;
    }
    FairQueue &queue = admission_.queue();
    const auto count = uint32_t(event.tasks.size());
    for (uint32_t i = 0; i < count; ++i) {
        const Result<void> pushed = queue.push(event.owner, {id.sequence, i, need.value(), 0}, now);
        if (pushed.has_value())
            continue;
        queue.cancel(id.sequence);
        refuse(event.origin, id, pushed.error());
        return;
    }
    Submission &submission = submissions_[id.sequence];
    submission.number = id.sequence;
    submission.id = id;
    submission.need = std::move(need.value());
    submission.repeatable = event.repeatable;
    submission.remaining = count;
    submission.inputs = std::make_shared<const std::vector<TaskInput>>(std::move(event.tasks));
    submission.tasks.resize(count);
    submission.outputs.resize(count);
    submission.waiters.push_back(event.origin);
    setTimer(submission, deadline);
    lastAccepted_ = std::max(lastAccepted_, id.sequence);
    ++unanswered_;
    needsStartPass_ = true;
}

void Dispatcher::Engine::addWaiter(const SubmissionId &id, const Origin &origin)
{
    const auto found = submissions_.find(id.sequence);
    const bool isRunning = found != submissions_.end() && !found->second.isAnswered;
    LOVAGE_ASSERT_INVARIANT(Promise::OwnAnswer, isRunning && found->second.id == id,
                            "the dispatcher has no running submission that matches the ledger");
    if (!isRunning)
        return;
    std::vector<Origin> &waiters = found->second.waiters;
    if (std::find(waiters.begin(), waiters.end(), origin) == waiters.end())
        waiters.push_back(origin);
}

void Dispatcher::Engine::on(CancelRequested &event, Time now)
{
    CancelDecision decision = ledger_.cancel(event.id, event.owner, now);
    if (std::holds_alternative<AlreadyRunning>(decision)) {
        addWaiter(event.id, event.origin);
        const auto found = submissions_.find(event.id.sequence);
        if (found == submissions_.end())
            return;
        abort(found->second, notRun(ErrorCode::Cancelled, "cancelled by the caller"), true, now);
    } else if (auto *finished = std::get_if<Finished>(&decision)) {
        complete(event.origin, event.id, std::move(finished->outcome));
    } else if (const auto *refusal = std::get_if<Refuse>(&decision)) {
        complete(event.origin, event.id, makeOutcome(refusal->error));
    } else if (!mayForward(event.origin)) {
        complete(event.origin, event.id, makeOutcome(issuerUnreachable()));
    } else {
        const Time until = now + options_.cancelTimeout + options_.forwardTimeout;
        const uint64_t forward = addForward(event.origin, event.id, until);
        actions_.push_back(ForwardCancel {forward, std::get<ForwardTo>(decision).vm, event.id,
                                          std::move(event.owner)});
    }
}

void Dispatcher::Engine::on(QueryRequested &event, Time now)
{
    LookupDecision decision = ledger_.find(event.id, event.owner, now);
    if (auto *finished = std::get_if<Finished>(&decision)) {
        complete(event.origin, event.id, std::move(finished->outcome));
    } else if (const auto *refusal = std::get_if<Refuse>(&decision)) {
        complete(event.origin, event.id, makeOutcome(refusal->error));
    } else if (!std::holds_alternative<ForwardTo>(decision)) {
        const bool isRunning = std::holds_alternative<AlreadyRunning>(decision);
        actions_.push_back(ReplyState {event.origin, event.id, isRunning});
    } else if (!mayForward(event.origin)) {
        complete(event.origin, event.id, makeOutcome(issuerUnreachable()));
    } else {
        const uint64_t forward = addForward(event.origin, event.id, now + options_.forwardTimeout);
        actions_.push_back(ForwardQuery {forward, std::get<ForwardTo>(decision).vm, event.id,
                                         std::move(event.owner)});
    }
}

// A forwarded request is not forwarded again, because outdated records of successors could form a
// loop. Nothing is forwarded once the handover of the ledger has begun, because the process may
// exit before the reply arrives.
bool Dispatcher::Engine::mayForward(const Origin &origin) const
{
    const bool isLeaving =
            state_ == DispatcherState::HandingOver || state_ == DispatcherState::Finished;
    return std::holds_alternative<LocalCaller>(origin) && !isLeaving;
}

uint64_t Dispatcher::Engine::addForward(const Origin &origin, const SubmissionId &id, Time until)
{
    const uint64_t forward = ++lastForward_;
    forwards_.emplace(forward, Forward {origin, id});
    forwardTimers_.push({until, forward});
    return forward;
}

// Answers a forwarded request that got no reply with MayHaveRun: this request or an earlier copy of
// it may have reached the issuer.
void Dispatcher::Engine::failForward(uint64_t forward)
{
    const auto found = forwards_.find(forward);
    if (found == forwards_.end())
        return;
    const Forward lost = std::move(found->second);
    forwards_.erase(found);
    complete(lost.origin, lost.id, makeOutcome(issuerUnreachable()));
}

void Dispatcher::Engine::on(ForwardReplied &event, Time)
{
    const auto found = forwards_.find(event.forward);
    if (found == forwards_.end())
        return;
    const Forward replied = std::move(found->second);
    forwards_.erase(found);
    if (event.outcome)
        complete(replied.origin, replied.id, std::move(event.outcome));
    else
        actions_.push_back(ReplyState {replied.origin, replied.id, event.isRunning});
}

void Dispatcher::Engine::on(ForwardLost &event, Time)
{
    failForward(event.forward);
}

} // namespace lovage
