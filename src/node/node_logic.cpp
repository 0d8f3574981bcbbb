#include "evacuation_watch.h"
#include "held_shards.h"
#include "job_metrics.h"
#include "peers.h"
#include "stored_jobs.h"

#include "lovage/node.h"

#include <algorithm>

namespace lovage {

namespace {

// After a start, jobs wait for pools to become known for this time. Pools are reported once their
// holders have settled and have read the list of servers.
constexpr Duration startupPoolWait = std::chrono::milliseconds(1000);
// Retry-after time of a job that is refused while draining. Another VM can take the job
// immediately.
constexpr Duration drainingRetryAfter = std::chrono::seconds(1);
// Retry-after time of a job that is refused because its request waited too long.
constexpr Duration staleRetryAfter = std::chrono::seconds(1);
constexpr Duration busyTickInterval = std::chrono::milliseconds(10);
constexpr Duration idleTickInterval = std::chrono::milliseconds(50);
// A longer gap between two ticks means that the process was paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(500);
// The list of servers of a VM that does not hold shards counts for this time. It is read every
// 0.4 s while it is needed.
constexpr Duration serverListLifetime = std::chrono::seconds(2);
// An event loop with less lag is in time. Its bound is inaccurate by the duration of some turns.
constexpr Duration minInputLag = std::chrono::milliseconds(20);
// A VM that knows of no pool reports that it is ready after this time nevertheless, because callers
// get its refusals faster than they would get a timeout.
constexpr Duration readyWithoutPoolAfter = std::chrono::seconds(3);

// Time limit of an evacuation if the settings have none.
constexpr Duration defaultEvacuationLimit = std::chrono::seconds(5);
// Inverse of the share of the limit in which jobs that have started may go on. A VM learns of the
// request up to 1.7 s after it, if a read of the store has failed, and a start may be executed
// until its lease of at most 1 s has ended. The sum stays well below the limit.
constexpr int evacuationGraceInverse = 5;

ResubmissionLimits resubmissionLimits(const NodeSettings &settings)
{
    return {settings.resubmitDelay, settings.stopTime};
}

PoolOptions poolOptions(const NodeSettings &settings)
{
    PoolOptions options;
    options.shardCount = settings.shardCount;
    options.resubmission = resubmissionLimits(settings);
    // A longer lease could not be granted to the runs of a job whose own lease ends earlier.
    options.lease = std::min(settings.lease, options.resubmission.jobLease());
    options.maxLease = settings.lease;
    options.stopTime = settings.stopTime;
    options.pollWait = options.lease / 4;
    options.needsEvacuationState = settings.evacuationLimit.has_value();
    options.evacuationGrace =
            settings.evacuationLimit.value_or(defaultEvacuationLimit) / evacuationGraceInverse;
    return options;
}

RouterOptions routerOptions(const NodeSettings &settings)
{
    RouterOptions options;
    options.resubmission = resubmissionLimits(settings);
    return options;
}

// Returns the time by which the event loop was late for a request, without the inaccuracy of the
// bound on a loop that is in time.
Duration latenessOf(const RequestTiming &timing)
{
    return std::max(timing.waited - EventLoopLag::tickInterval, Duration::zero());
}

VmInfo vmInfo(const NodeSettings &settings, Time now)
{
    return {settings.name, settings.dataCentre,
            toString(settings.peerAdvertised.value_or(settings.peer)),
            static_cast<uint64_t>(now.time_since_epoch().count()), settings.cpuMilliCores};
}

} // namespace

NodeLogic::NodeLogic(NodeSettings settings, const NodePorts &ports, PeerPort &peers,
                     const Clock &clock, Metrics &metrics)
    : clock_(clock), started_(clock.now()), self_(vmInfo(settings, started_)),
      servers_(ports.servers), settings_(std::move(settings)), vms_({}, self_),
      router_(routerOptions(settings_), vms_), pool_(poolOptions(settings_)),
      holderOptions_(node::holderOptions(settings_)),
      peers_(std::make_unique<node::Peers>(settings_, holderOptions_, clock, peers, vms_,
                                           peerHandlers())),
      heldShards_(std::make_unique<node::HeldShards>(holderOptions_, clock, ports.holders, pool_,
                                                     metrics, [this] { flush(); })),
      storedJobs_(std::make_unique<node::StoredJobs>(
              settings_, clock, vms_, pool_, ports.keepers, ports.journal,
              [this](const std::string &vm, const VmMessage &message) {
                  peers_->send(vm, message);
              })),
      metrics_(std::make_unique<node::JobMetrics>(metrics)),
      evacuationWatch_(std::make_unique<node::EvacuationWatch>(metrics, self_.dataCentre))
{ }

NodeLogic::~NodeLogic() = default;

void NodeLogic::start()
{
    router_.waitForPoolsUntil(started_ + startupPoolWait);
    logEvent(LogLevel::Info, "started",
             {{"vm", self_.name},
              {"data_centre", self_.dataCentre},
              {"incarnation", self_.incarnation}});
    lastTick_ = clock_.now();
}

void NodeLogic::tick()
{
    const Time now = clock_.now();
    // Events that arrived before the last tick were handled between the two ticks. A pause does not
    // count: it may end with events that are read after this tick.
    router_.setHandledThrough(std::exchange(previousTickAt_, now));
    detectPause(now);
    lastTick_ = now;
    removeSilentVms(now);
    peers_->tick(now);
    const auto renewals = router_.leaseRenewals();
    const auto own = renewals.find(self_.name);
    if (own != renewals.end())
        pool_.renewLeases(self_.name, self_.incarnation, own->second);
    pool_.tick(now);
    metrics_->setLateOffers(pool_.counters().offersLate);
    metrics_->recordSlowRuns(pool_.counters());
    metrics_->setUnansweredOffers(router_.unansweredOffers());
    router_.tick(now);
    const bool isPoolChanged =
            heldShards_->setSurplus(peers_->contacts().isSurplusHolder(localState(now), now), now);
    heldShards_->sendDueRequest(wantsShards(now), now);
    storedJobs_->setEligible(!isDraining_ && storedJobs_->jobsExist() && heldShards_->isMember());
    storedJobs_->tick(now);
    watchEvacuation(now);
    flush();
    if (isPoolChanged)
        peers_->sendReportNow(contactState(), report(), router_.leaseRenewals(), now);
    else
        peers_->sendReports([this] { return contactState(); }, [this] { return report(); },
                            [this] { return router_.leaseRenewals(); }, now);
}

Duration NodeLogic::tickInterval() const
{
    const bool isBusy = router_.openCount() > 0 || !pool_.isIdle() || storedJobs_->isBusy();
    return isBusy ? busyTickInterval : idleTickInterval;
}

void NodeLogic::setInputHandledThrough(Time time)
{
    inputHandledThrough_ = time;
    const Duration lag = inputLag(clock_.now());
    pool_.setInputLag(lag);
    router_.setInputLag(lag);
    metrics_->setInputLag(lag);
}

Duration NodeLogic::inputLag(Time now) const
{
    if (!inputHandledThrough_)
        return Duration::zero();
    const Duration lag = now - *inputHandledThrough_ - EventLoopLag::tickInterval;
    return lag < minInputLag ? Duration::zero() : lag;
}

void NodeLogic::removeSilentVms(Time now)
{
    const VmTable::RemovedVms removed = vms_.removeSilent(now);
    for (const std::string &vm : removed.lost)
        onVmLost(vm, "silent");
    const std::set<std::string> served =
            removed.forgotten.empty() ? std::set<std::string> {} : pool_.servedVms();
    for (const std::string &vm : removed.forgotten) {
        if (served.contains(vm))
            logEvent(LogLevel::Warning, "vm-forgotten-with-open-jobs", {{"vm", vm}});
    }
}

// Detects that the process was paused. Called before any event is handled, because events that
// arrived during the pause are dispatched before the next tick.
void NodeLogic::detectPause(Time now)
{
    if (now <= lastTick_ + pauseThreshold)
        return;
    const Duration pause = now - lastTick_;
    logEvent(LogLevel::Warning, "paused", {{"for_us", pause.count()}});
    lastTick_ = now;
    pool_.onPaused(pause, self_.name, now);
}

void NodeLogic::refuseStaleRequest(const std::string &job, const RequestTiming &timing,
                                   const JobCallback &respond)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    logEvent(LogLevel::Warning, "job-refused",
             {{"job", job},
              {"cause", "stale-request"},
              {"waited_ms", duration_cast<milliseconds>(timing.waited).count()},
              {"limit_ms", duration_cast<milliseconds>(staleRequestLimit()).count()},
              {"deadline_ms", duration_cast<milliseconds>(timing.deadline).count()}});
    metrics_->recordStale();
    respond({{}, JobResult::Refused, "stale-request", staleRetryAfter});
}

uint64_t NodeLogic::submit(JobSpec job, const Queue &queue, const RequestTiming &timing,
                           JobCallback respond)
{
    metrics_->recordSubmitted();
    const Duration lateness = latenessOf(timing);
    const Duration deadline = timing.deadline - lateness;
    if (timing.waited > staleRequestLimit() || deadline <= Duration::zero()) {
        refuseStaleRequest(job.id, timing, respond);
        return 0;
    }
    if (isDraining_ && clock_.now() + deadline > drainingSince_ + settings_.stopLimit) {
        // The job might not be answered before this process is killed.
        logEvent(LogLevel::Info, "job-refused", {{"job", job.id}, {"cause", "draining"}});
        respond({{}, JobResult::Refused, "draining", drainingRetryAfter});
        return 0;
    }
    const uint64_t number = nextNumber_++;
    JobOffer offer;
    offer.stretchFactor = queue.stretchFactor;
    offer.objectiveSlack = queue.objectiveSlack;
    offer.elapsed = lateness;
    offer.deadline = deadline;
    offer.queue = queue.name;
    offer.service = queue.service;
    offer.priority = queue.priority;
    offer.attempts = queue.attempts;
    offer.job = std::move(job);
    callers_.emplace(number,
                     Caller {std::move(respond), clock_.now() - lateness, taskCount(offer.job)});
    router_.setOwnLoad(pool_.load(clock_.now()));
    const Time now = clock_.now();
    router_.submit(number, std::move(offer), now - timing.waited, now);
    flush();
    return number;
}

void NodeLogic::withdraw(uint64_t number)
{
    callers_.erase(number);
    router_.withdraw(number, clock_.now());
    flush();
}

void NodeLogic::request(KeeperRequest request, Duration deadline, StoredJobCallback respond)
{
    storedJobs_->request(std::move(request), deadline, std::move(respond));
    flush();
}

void NodeLogic::storeJob(JobSpec job, const Queue &queue, Duration deadline,
                         StoredJobCallback respond)
{
    QueueParameters queueParameters {queue.name,     queue.service,       queue.priority,
                                     queue.attempts, queue.stretchFactor, queue.objectiveSlack};
    request(StoreJob {{}, std::move(job), std::move(queueParameters)}, deadline,
            std::move(respond));
}

void NodeLogic::queryJob(const std::string &job, Duration deadline, StoredJobCallback respond)
{
    request(QueryJob {{}, job}, deadline, std::move(respond));
}

void NodeLogic::cancelJob(const std::string &job, Duration deadline, StoredJobCallback respond)
{
    request(CancelJob {{}, job}, deadline, std::move(respond));
}

uint32_t NodeLogic::pendingJobs(const std::string &queue) const
{
    return storedJobs_->pendingJobs(queue);
}

void NodeLogic::setStoredJobsExist(bool exist)
{
    storedJobs_->setJobsExist(exist);
}

void NodeLogic::setConfiguration(Configuration configuration)
{
    if (hasConfiguration_ && configuration.version <= configuration_.version)
        return;
    logEvent(LogLevel::Info, "configuration-in-force",
             {{"version", configuration.version},
              {"replaces", configuration_.version},
              {"queues", configuration.queues.size()}});
    configuration_ = std::move(configuration);
    hasConfiguration_ = true;
}

void NodeLogic::setEvacuations(Evacuations evacuations)
{
    const Time now = clock_.now();
    const bool isFirst = !evacuations_.isKnown();
    const EvacuationState::Change change = evacuations_.merge(std::move(evacuations), now);
    if (change.isEmpty() && !isFirst)
        return;
    evacuationWatch_->recordChange(change, evacuations_.current().version, now);
    vms_.setEvacuated(evacuations_.current().dataCentres);
    pool_.setEvacuated(evacuations_.isEvacuated(self_.dataCentre), now);
    flush();
    const bool isOwn =
            change.begun.contains(self_.dataCentre) || change.ended.contains(self_.dataCentre);
    if (isOwn && heldShards_->isMember())
        peers_->sendReportNow(contactState(), report(), router_.leaseRenewals(), now);
}

void NodeLogic::watchEvacuation(Time now)
{
    const auto since = evacuations_.since(self_.dataCentre);
    if (since && (pool_.serverCount() > 0 || evacuationWatch_->hasRuns()))
        evacuationWatch_->recordRuns(pool_.runCount(), *since, now);
}

void NodeLogic::setServers(const std::vector<ServerInfo> &servers)
{
    std::vector<ServerInfo> own;
    for (const ServerInfo &server : servers) {
        if (server.dataCentre == self_.dataCentre)
            own.push_back(server);
    }
    serversReadAt_ = clock_.now();
    pool_.setServers(own, serversReadAt_);
    flush();
}

void NodeLogic::setPeers(const std::vector<VmInfo> &peers)
{
    peers_->addContacts(peers);
}

bool NodeLogic::needsServerList() const
{
    return heldShards_->isMember() || shouldHold(clock_.now());
}

bool NodeLogic::isReady() const
{
    if (isDraining_ || !hasConfiguration_)
        return false;
    const bool hasPool = pool_.serverCount() > 0
            || std::any_of(vms_.rows().begin(), vms_.rows().end(),
                           [](const auto &entry) { return !entry.second.report.loads.empty(); });
    return hasPool || clock_.now() > started_ + readyWithoutPoolAfter;
}

const Configuration *NodeLogic::configuration() const
{
    return hasConfiguration_ ? &configuration_ : nullptr;
}

void NodeLogic::drain()
{
    if (isDraining_)
        return;
    isDraining_ = true;
    drainingSince_ = clock_.now();
    pool_.drain();
    logEvent(LogLevel::Info, "draining", {{"open_requests", router_.openCount()}});
    peers_->sendReportNow(contactState(), report(), router_.leaseRenewals(), clock_.now());
}

bool NodeLogic::isDrained() const
{
    return isDraining_ && router_.openCount() == 0 && pool_.isIdle() && !heldShards_->isMember()
            && !storedJobs_->isMember();
}

VmReport NodeLogic::report() const
{
    const Time now = clock_.now();
    VmReport report;
    report.vm = self_;
    report.isHolder = heldShards_->isMember();
    report.isDraining = isDraining_;
    report.configurationVersion = configuration_.version;
    report.evacuationsVersion = evacuations_.current().version;
    report.isHolderConfirmed = !isDraining_ && heldShards_->isConfirmed(now);
    report.knownServers = knownServers(now);
    report.loads = pool_.load(now);
    report.lostVms = vms_.recentlyLost(now);
    storedJobs_->addToReport(report);
    return report;
}

// The list of a VM that does not hold shards any more is not updated and is soon out of date.
uint32_t NodeLogic::knownServers(Time now) const
{
    const bool isUpToDate = heldShards_->isMember() || now < serversReadAt_ + serverListLifetime;
    return isUpToDate ? static_cast<uint32_t>(pool_.knownServerCount()) : 0;
}

ContactState NodeLogic::localState(Time now) const
{
    ContactState state;
    state.isHolder = heldShards_->isMember();
    state.isDraining = isDraining_;
    state.knownServers = knownServers(now);
    return state;
}

ContactState NodeLogic::contactState() const
{
    ContactState state = localState(clock_.now());
    state.offeredVms = router_.offeredVms();
    state.servedVms = pool_.servedVms();
    state.needsAllVms = storedJobs_->jobsExist();
    return state;
}

bool NodeLogic::shouldHold(Time now) const
{
    return peers_->contacts().shouldHoldShards(localState(now), now);
}

// A draining VM leaves the group when nothing runs on its servers.
bool NodeLogic::wantsShards(Time now) const
{
    return isDraining_ ? heldShards_->isMember() && !pool_.isIdle() : shouldHold(now);
}

} // namespace lovage
