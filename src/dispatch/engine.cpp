#include "engine.h"

namespace lovage {

namespace {

// Interval of the work that needs no precise time: expiry of records and of borrowed tasks.
constexpr Duration expireInterval = std::chrono::seconds(1);

// Longest sleep of the daemon.
constexpr Duration longestSleep = std::chrono::milliseconds(250);

// Queued work is tried again after this time even without a release: a quota refills and a pause of
// a server ends without an event.
constexpr Duration queueRetry = std::chrono::milliseconds(10);

template<class Queue>
bool isDue(const Queue &queue, Time now)
{
    return !queue.empty() && queue.top().at <= now;
}

// Limits of an owner over all of its entries. Retired entries count, because their queued work
// still runs.
std::map<std::string, OwnerLimits> limitsByOwner(const Catalogue &catalogue)
{
    std::map<std::string, OwnerLimits> all;
    for (const auto &entry : catalogue.entries()) {
        OwnerLimits &limits = all[entry->owner];
        limits.startsPerSecond += entry->limits.startsPerSecond;
        limits.concurrent += entry->limits.concurrent;
        limits.queued += entry->limits.queued;
        limits.maxTasks = std::max(limits.maxTasks, entry->limits.maxTasks);
        limits.retryPercent = std::max(limits.retryPercent, entry->limits.retryPercent);
    }
    return all;
}

} // namespace

Dispatcher::Engine::Engine(DispatcherOptions options, Ledger ledger, Placement placement,
                           Admission admission, Time started)
    : options_(std::move(options)), ledger_(std::move(ledger)), placement_(std::move(placement)),
      admission_(std::move(admission)), lastEvent_(started), nextExpire_(started + expireInterval),
      resumedAt_(started), holdUntil_(Time::min())
{ }

void Dispatcher::Engine::handle(Event event, Time now)
{
    now = std::max(now, lastEvent_);
    advance(now);
    std::visit([&](auto &typed) { on(typed, now); }, event);
}

std::vector<Action> Dispatcher::Engine::takeActions(Time now)
{
    now = std::max(now, lastEvent_);
    advance(now);
    pump(now);
    flush(now);
    runServers(now);
    runDrain(now);
    return std::exchange(actions_, {});
}

// Runs before every event, so that the first event after a pause finds passed deadlines, leases and
// expiries already dealt with.
void Dispatcher::Engine::advance(Time now)
{
    const Duration gap = now - lastEvent_;
    lastEvent_ = now;
    if (gap > options_.pauseThreshold)
        onPause(gap, now);
    while (isDue(submissionTimes_, now)) {
        const uint64_t number = submissionTimes_.top().value;
        submissionTimes_.pop();
        const auto found = submissions_.find(number);
        if (found != submissions_.end() && found->second.endAt <= now)
            onSubmissionTime(found->second, now);
    }
    while (isDue(forwardTimes_, now)) {
        const uint64_t forward = forwardTimes_.top().value;
        forwardTimes_.pop();
        loseForward(forward);
    }
    if (now >= nextExpire_) {
        nextExpire_ = now + expireInterval;
        ledger_.expire(now);
        forgetBorrowed(now);
    }
}

// The view of the servers is as old as the pause: a server may be leaving, or a newer incarnation
// of this VM may exist. Leases that were not renewed during the pause have lapsed.
void Dispatcher::Engine::onPause(Duration gap, Time now)
{
    ++counters_.pauses;
    resumedAt_ = now;
    holdUntil_ = now + options_.startHoldAfterPause;
    if (gap < options_.lease)
        return;
    for (uint32_t i = 0; i < servers_.size(); ++i) {
        if (!servers_[i].isPeer && servers_[i].kind == BackendKind::Worker)
            loseAll(i, 0, now);
    }
}

void Dispatcher::Engine::onSubmissionTime(Submission &submission, Time now)
{
    if (submission.isAnswered || (submission.isBorrowed() && submission.abort)) {
        for (uint32_t i = 0; i < submission.tasks.size(); ++i) {
            Task &task = submission.tasks[i];
            if (task.server == dispatch::noServer || !apply(task, AttemptEvent::GiveUp))
                continue;
            endAttempt(submission, task, AttemptOutcome::Lost, {}, false, now);
        }
        if (submission.isBorrowed())
            finishBorrowed(submission, {submission.loan->id, TaskStatus::Lost}, now);
        else
            forget(submission);
        return;
    }
    if (!submission.abort) {
        abort(submission, notRun(ErrorCode::DeadlineExceeded, "the deadline passed"), false, now);
        return;
    }
    answerFailure(submission, now);
}

bool Dispatcher::Engine::mayStart(Time now) const
{
    return !isFenced_ && now >= holdUntil_ && state_ != DispatcherState::Finished;
}

Time Dispatcher::Engine::nextWake(Time now)
{
    Time wake = std::min({now + longestSleep, nextServerTime_, drainUntil_, nextHandover_});
    if (!submissionTimes_.empty())
        wake = std::min(wake, submissionTimes_.top().at);
    if (!forwardTimes_.empty())
        wake = std::min(wake, forwardTimes_.top().at);
    if (admission_.queue().size() > 0)
        wake = std::min(wake, now + queueRetry);
    return std::max(wake, now);
}

PeerCapacity Dispatcher::Engine::advertisedCapacity(Time now)
{
    if (state_ != DispatcherState::Serving || !mayStart(now))
        return {.vm = options_.self.vm};
    const FairQueue &queue = admission_.queue();
    PeerCapacity capacity = placement_.ownCapacity({uint32_t(queue.size(BackendKind::Executor)),
                                                    uint32_t(queue.size(BackendKind::Worker))},
                                                   now);
    capacity.vm = options_.self.vm;
    return capacity;
}

void Dispatcher::Engine::confirmView(Time asOf)
{
    isStartable_ = true;
    if (asOf >= resumedAt_)
        holdUntil_ = Time::min();
}

void Dispatcher::Engine::on(BackendsChanged &event, Time now)
{
    placement_.setBackends(std::move(event.backends), event.ownShare, now);
    for (const std::string &name : event.ownShare) {
        const std::optional<uint32_t> backend = placement_.indexOf(name);
        if (backend)
            contact(serverOfBackend(*backend), now);
    }
    confirmView(event.asOf);
}

void Dispatcher::Engine::on(BackendsUnchanged &event, Time)
{
    confirmView(event.asOf);
}

void Dispatcher::Engine::on(PeerCapacityChanged &event, Time now)
{
    placement_.setPeerCapacity(event.capacity, now);
    isStartable_ = true;
}

void Dispatcher::Engine::on(CatalogueChanged &event, Time now)
{
    catalogue_ = std::move(event.catalogue);
    std::map<std::string, OwnerLimits> limits = limitsByOwner(*catalogue_);
    for (const auto &[owner, limit] : limits) {
        const auto applied = ownerLimits_.find(owner);
        if (applied == ownerLimits_.end() || applied->second != limit)
            admission_.setLimits(owner, limit, now);
    }
    ownerLimits_ = std::move(limits);
    isStartable_ = true;
}

void Dispatcher::Engine::on(PeerLost &event, Time now)
{
    placement_.removePeer(event.vm);
    const auto found = peerServers_.find(event.vm);
    if (found != peerServers_.end())
        loseAll(found->second, 0, now);
}

void Dispatcher::Engine::on(Tick &, Time)
{
    isStartable_ = true;
}

Dispatcher::Dispatcher(DispatcherOptions options, Ledger ledger, Placement placement,
                       Admission admission, Time started)
    : engine_(std::make_unique<Engine>(std::move(options), std::move(ledger), std::move(placement),
                                       std::move(admission), started))
{ }

Dispatcher::~Dispatcher() = default;
Dispatcher::Dispatcher(Dispatcher &&) noexcept = default;
Dispatcher &Dispatcher::operator=(Dispatcher &&) noexcept = default;

void Dispatcher::handle(Event event, Time now)
{
    engine_->handle(std::move(event), now);
}

std::vector<Action> Dispatcher::takeActions(Time now)
{
    return engine_->takeActions(now);
}

Time Dispatcher::nextWake(Time now) const
{
    return engine_->nextWake(now);
}

DispatcherState Dispatcher::state() const
{
    return engine_->state();
}

bool Dispatcher::isFenced() const
{
    return engine_->isFenced();
}

size_t Dispatcher::inFlight() const
{
    return engine_->inFlight();
}

const DispatchCounters &Dispatcher::counters() const
{
    return engine_->counters();
}

ServerFaults Dispatcher::faultsOf(const std::string &server) const
{
    return engine_->faultsOf(server);
}

const Ledger &Dispatcher::ledger() const
{
    return engine_->ledger();
}

Placement &Dispatcher::placement()
{
    return engine_->placement();
}

const Placement &Dispatcher::placement() const
{
    return engine_->placement();
}

Admission &Dispatcher::admission()
{
    return engine_->admission();
}

PeerCapacity Dispatcher::advertisedCapacity(Time now) const
{
    return engine_->advertisedCapacity(now);
}

} // namespace lovage
