#include "engine.h"

namespace lovage {

namespace {

// Interval at which expired records of the ledger and of borrowed tasks are removed. Their removal
// needs no precise time.
constexpr Duration expireInterval = std::chrono::seconds(1);

// Maximum time between two ticks.
constexpr Duration maxSleep = std::chrono::milliseconds(250);

// Interval between attempts to start queued tasks. Attempts are needed even if no task ends,
// because no event tells that a quota was refilled or that a server is no longer being skipped.
constexpr Duration queueRetryInterval = std::chrono::milliseconds(10);

template<class Queue>
bool isDue(const Queue &queue, Time now)
{
    return !queue.empty() && queue.top().at <= now;
}

// Combines the limits of the entries of each owner. Retired entries are included, because their
// queued tasks still run.
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
    advanceTime(now);
    std::visit([&](auto &typed) { on(typed, now); }, event);
}

std::vector<Action> Dispatcher::Engine::takeActions(Time now)
{
    now = std::max(now, lastEvent_);
    advanceTime(now);
    startQueuedTasks(now);
    flush(now);
    processServers(now);
    processDrain(now);
    return std::exchange(actions_, {});
}

// Handles a pause of the process and all timers that are due. It is called before every event is
// handled, so that the first event after a pause does not act on deadlines, leases or records that
// have expired meanwhile.
void Dispatcher::Engine::advanceTime(Time now)
{
    const Duration gap = now - lastEvent_;
    lastEvent_ = now;
    if (gap > options_.pauseThreshold)
        onPause(gap, now);
    while (isDue(submissionTimers_, now)) {
        const uint64_t number = submissionTimers_.top().value;
        submissionTimers_.pop();
        const auto found = submissions_.find(number);
        if (found != submissions_.end() && found->second.timerAt <= now)
            onSubmissionTimer(found->second, now);
    }
    while (isDue(forwardTimers_, now)) {
        const uint64_t forward = forwardTimers_.top().value;
        forwardTimers_.pop();
        failForward(forward);
    }
    if (now >= nextExpire_) {
        nextExpire_ = now + expireInterval;
        ledger_.expire(now);
        expireBorrowed(now);
    }
}

// Holds back starts, because the list of servers is outdated after a pause: a server may be
// leaving, or a newer incarnation of this VM may exist. Leases that were not renewed in time have
// expired.
void Dispatcher::Engine::onPause(Duration gap, Time now)
{
    ++counters_.pauses;
    resumedAt_ = now;
    holdUntil_ = now + options_.startHoldAfterPause;
    if (gap < options_.lease)
        return;
    for (uint32_t i = 0; i < servers_.size(); ++i) {
        if (!servers_[i].isPeer && servers_[i].kind == BackendKind::Worker)
            startInquiries(i, 0, now);
    }
}

void Dispatcher::Engine::onSubmissionTimer(Submission &submission, Time now)
{
    if (submission.isAnswered || (submission.isBorrowed() && submission.abortError)) {
        for (uint32_t i = 0; i < submission.tasks.size(); ++i) {
            Task &task = submission.tasks[i];
            if (task.server == dispatch::noServer || !apply(task, AttemptEvent::Abandon))
                continue;
            endAttempt(submission, task, AttemptOutcome::Lost, {}, false, now);
        }
        if (submission.isBorrowed())
            finishBorrowed(submission, {submission.loan->id, TaskStatus::Lost}, now);
        else
            eraseSubmission(submission);
        return;
    }
    if (!submission.abortError) {
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
    Time wake = std::min({now + maxSleep, nextServerTimer_, drainUntil_, nextHandover_});
    if (!submissionTimers_.empty())
        wake = std::min(wake, submissionTimers_.top().at);
    if (!forwardTimers_.empty())
        wake = std::min(wake, forwardTimers_.top().at);
    if (admission_.queue().size() > 0)
        wake = std::min(wake, now + queueRetryInterval);
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

void Dispatcher::Engine::onBackendsRead(Time asOf)
{
    needsStartPass_ = true;
    if (asOf >= resumedAt_)
        holdUntil_ = Time::min();
}

void Dispatcher::Engine::on(BackendsChanged &event, Time now)
{
    placement_.setBackends(std::move(event.backends), event.ownShare, now);
    for (const std::string &name : event.ownShare) {
        const std::optional<uint32_t> backend = placement_.indexOf(name);
        if (backend)
            scheduleFirstInquiry(serverOfBackend(*backend), now);
    }
    onBackendsRead(event.asOf);
}

void Dispatcher::Engine::on(BackendsUnchanged &event, Time)
{
    onBackendsRead(event.asOf);
}

void Dispatcher::Engine::on(PeerCapacityChanged &event, Time now)
{
    placement_.setPeerCapacity(event.capacity, now);
    needsStartPass_ = true;
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
    needsStartPass_ = true;
}

void Dispatcher::Engine::on(PeerLost &event, Time now)
{
    placement_.removePeer(event.vm);
    const auto found = peerServers_.find(event.vm);
    if (found != peerServers_.end())
        startInquiries(found->second, 0, now);
}

void Dispatcher::Engine::on(Tick &, Time)
{
    needsStartPass_ = true;
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
