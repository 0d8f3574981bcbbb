#include "engine.h"

namespace lovage {

using dispatch::never;

namespace {

// Maximum number of unacknowledged parts of the ledger that are sent at the same time.
constexpr size_t handoverWindow = 8;

} // namespace

void Dispatcher::Engine::on(DrainRequested &event, Time now)
{
    if (state_ != DispatcherState::Serving) {
        endDrain(now);
        return;
    }
    state_ = DispatcherState::Draining;
    successor_ = std::move(event.successor);
    redirect_ = std::move(event.redirect);
    drainUntil_ = now + options_.drainDeadline;
    ledger_.seal();
}

// A newer incarnation of this VM exists. From now on this process starts no task; running tasks may
// finish.
void Dispatcher::Engine::on(FenceRequested &, Time now)
{
    isFenced_ = true;
    ledger_.seal();
    std::vector<uint64_t> queued;
    for (const auto &[number, submission] : submissions_) {
        if (!submission.isBorrowed() && submission.outstanding < submission.remaining)
            queued.push_back(number);
    }
    for (const uint64_t number : queued) {
        const auto found = submissions_.find(number);
        if (found != submissions_.end())
            abort(found->second, notRun(ErrorCode::Fenced, "a newer incarnation of this VM exists"),
                  false, now);
    }
}

void Dispatcher::Engine::on(IssuerSealed &event, Time now)
{
    ledger_.recordSuccessor(event.issuer, event.successor, now);
}

void Dispatcher::Engine::on(HandoverReceived &event, Time now)
{
    AcknowledgeHandover acknowledgement {event.vm, event.part.issuer, event.part.part};
    ledger_.import(std::move(event.part), now);
    actions_.push_back(std::move(acknowledgement));
}

void Dispatcher::Engine::on(HandoverAcknowledged &event, Time)
{
    std::erase_if(parts_, [&](const LedgerPart &part) {
        return part.issuer == event.issuer && part.part == event.part;
    });
}

void Dispatcher::Engine::processDrain(Time now)
{
    if (state_ == DispatcherState::Draining) {
        const bool isIdle = unanswered_ == 0 && borrowed_ == 0 && forwards_.empty();
        if (isIdle)
            beginHandover(now);
        else if (now >= drainUntil_)
            endDrain(now);
    }
    if (state_ != DispatcherState::HandingOver)
        return;
    if (parts_.empty()) {
        LOVAGE_ASSERT_INVARIANT(Promise::NothingCutOnDrain, unanswered_ == 0 && forwards_.empty(),
                                "drain ended with an unanswered request");
        finishDrain(true);
    } else if (now >= handoverUntil_) {
        finishDrain(false);
    } else if (now >= nextHandover_) {
        sendHandover(now);
    }
}

void Dispatcher::Engine::beginHandover(Time now)
{
    state_ = DispatcherState::HandingOver;
    handoverUntil_ = now + options_.handoverTimeout;
    drainUntil_ = handoverUntil_;
    nextHandover_ = now;
    if (!successor_.empty())
        parts_ = ledger_.handover();
}

void Dispatcher::Engine::sendHandover(Time now)
{
    nextHandover_ = now + options_.handoverRetryInterval;
    for (size_t i = 0; i < std::min(handoverWindow, parts_.size()); ++i)
        actions_.push_back(HandOverLedger {successor_, parts_[i]});
}

// Ends the drain at once: every open request is answered with the verdict that is known by now.
void Dispatcher::Engine::endDrain(Time now)
{
    if (state_ == DispatcherState::Finished)
        return;
    std::vector<uint64_t> open;
    for (const auto &[number, submission] : submissions_) {
        if (!submission.isBorrowed() && !submission.isAnswered)
            open.push_back(number);
    }
    for (const uint64_t number : open) {
        const auto found = submissions_.find(number);
        abort(found->second, notRun(ErrorCode::Draining, "the drain of this VM was cut short"),
              false, now);
        const auto remaining = submissions_.find(number);
        if (remaining != submissions_.end() && !remaining->second.isAnswered)
            answerFailure(remaining->second, now);
    }
    std::vector<uint64_t> forwards;
    for (const auto &[forward, request] : forwards_)
        forwards.push_back(forward);
    for (const uint64_t forward : forwards)
        failForward(forward);
    if (state_ == DispatcherState::Draining && !successor_.empty()) {
        parts_ = ledger_.handover();
        sendHandover(now);
    }
    finishDrain(false);
}

void Dispatcher::Engine::finishDrain(bool wasOrderly)
{
    state_ = DispatcherState::Finished;
    parts_.clear();
    drainUntil_ = never;
    nextHandover_ = never;
    actions_.push_back(DrainFinished {wasOrderly});
}

} // namespace lovage
