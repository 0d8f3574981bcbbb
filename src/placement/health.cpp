#include "health.h"

#include <algorithm>

namespace lovage::placement {

namespace {

// A server is ejected if a healthy server would show its consecutive failures with at most this
// probability. For a workload that fails in 30% of its attempts, that is a series of 12 failures.
constexpr double maxEjectionProbability = 1e-6;
// The outstanding tasks of a server are limited if its consecutive failures are at most this
// probable on a healthy server.
constexpr double maxSuspectProbability = 0.1;
// Probability that an attempt is lost on a healthy server. A lost connection is hardly ever caused
// by the workload.
constexpr double lostProbability = 0.03;
// Prior of the failure rate of a workload: this many attempts, half of them failures. With 15
// successes, five failures are sufficient for an ejection.
constexpr double priorAttempts = 2;
// The result counts of a workload are halved above this number, so that they follow changes.
constexpr double maxResults = 1000;
// A workload is faulty if it has failed on at least this many other servers and on most of them.
constexpr uint32_t minFailedServers = 2;
// Maximum number of consecutive failures recorded for a server. Older ones are dropped.
constexpr size_t maxRecordedFailures = 32;
// A suspect that cannot be ejected because of the limit on ejections gets one task at a time, with
// this pause before the next one.
constexpr Duration ejectionLimitPause = std::chrono::milliseconds(20);
// A suspect without evidence against it from other servers waits this long for their results.
constexpr Duration evidencePause = std::chrono::milliseconds(500);

} // namespace

void Health::resize(size_t backends)
{
    servers_.resize(backends);
    for (Workload &workload : workloads_)
        workload.latestResults.resize(backends, LatestResult::Unknown);
}

void Health::ensureWorkload(uint32_t number)
{
    if (number < workloads_.size())
        return;
    workloads_.resize(number + 1);
    for (Workload &workload : workloads_)
        workload.latestResults.resize(servers_.size(), LatestResult::Unknown);
}

void Health::setInUse(uint32_t backend, BackendKind kind, bool inUse)
{
    Server &server = servers_[backend];
    server.kind = kind;
    server.inUse = inUse;
    if (!inUse)
        server.ejected = false;
}

size_t Health::ejectedCount() const
{
    return std::count_if(servers_.begin(), servers_.end(),
                         [](const Server &server) { return server.ejected; });
}

size_t Health::ejectedCount(BackendKind kind) const
{
    return std::count_if(servers_.begin(), servers_.end(), [&](const Server &server) {
        return server.ejected && server.kind == kind;
    });
}

size_t Health::maxEjected(BackendKind kind) const
{
    const auto inUse = std::count_if(servers_.begin(), servers_.end(), [&](const Server &server) {
        return server.inUse && server.kind == kind;
    });
    return static_cast<size_t>(static_cast<double>(inUse) * options_.maxEjectedShare + 1e-9);
}

void Health::enforceEjectionLimit()
{
    for (const BackendKind kind : {BackendKind::Executor, BackendKind::Worker}) {
        while (ejectedCount(kind) > maxEjected(kind)) {
            std::optional<uint32_t> oldest;
            for (uint32_t i = 0; i < servers_.size(); ++i) {
                if (!servers_[i].ejected || servers_[i].kind != kind)
                    continue;
                if (!oldest || servers_[i].ejectedAt < servers_[*oldest].ejectedAt)
                    oldest = i;
            }
            reinstate(*oldest);
        }
    }
}

void Health::started(uint32_t backend)
{
    if (servers_[backend].ejected)
        ++servers_[backend].probes;
}

bool Health::isProbeDue(uint32_t backend, Time now) const
{
    const Server &server = servers_[backend];
    return server.ejected && server.probes == 0 && now >= server.nextStart;
}

uint32_t Health::outstandingLimit(uint32_t backend, Time now) const
{
    const Server &server = servers_[backend];
    if (server.ejected)
        return isProbeDue(backend, now) ? unlimited : 0;
    if (now < server.nextStart)
        return 0;
    return server.hasSucceeded ? server.limit : std::min(server.limit, options_.failuresToEject);
}

uint32_t Health::consecutiveFailures(uint32_t backend) const
{
    return static_cast<uint32_t>(servers_[backend].failures.size());
}

void Health::ended(uint32_t backend, uint32_t workload, AttemptOutcome outcome, Time begun,
                   Time now)
{
    Server &server = servers_[backend];
    const bool wasProbe = server.probes > 0;
    if (wasProbe)
        --server.probes;
    if (outcome == AttemptOutcome::Refused)
        return;
    if (outcome == AttemptOutcome::Succeeded) {
        recordResult(backend, workload, true, begun);
        server.hasSucceeded = true;
        // The success of a task that began before the first failure is no evidence against a fault
        // that began with that failure.
        if (server.failures.empty() || begun >= server.firstFailure) {
            chargeFailuresToWorkloads(backend);
            reinstate(backend);
        }
        reevaluateSuspects(now);
        return;
    }
    if (outcome == AttemptOutcome::Failed && !server.ejected)
        recordResult(backend, workload, false, begun);
    if (server.failures.empty())
        server.firstFailure = now;
    if (server.failures.size() == maxRecordedFailures)
        server.failures.erase(server.failures.begin());
    server.failures.push_back({workload, outcome == AttemptOutcome::Lost});
    if (server.ejected) {
        if (wasProbe && now >= server.nextStart) {
            server.probeDelay = std::min(server.probeDelay * 2, options_.maxProbeDelay);
            server.nextStart = now + server.probeDelay;
        }
        return;
    }
    evaluate(backend, now);
    if (outcome == AttemptOutcome::Failed && ejectedCount() > 0)
        reevaluateEjected(workload);
}

// A success on another server can complete the evidence against a suspect.
void Health::reevaluateSuspects(Time now)
{
    const std::vector<uint32_t> suspects = std::move(suspects_);
    suspects_.clear();
    for (const uint32_t suspect : suspects) {
        const Server &server = servers_[suspect];
        if (server.inUse && !server.ejected && !server.failures.empty())
            evaluate(suspect, now);
    }
}

void Health::RecentEvents::record(uint32_t backend, Time time)
{
    if (server != backend) {
        latestOnOther = latest;
        server = backend;
    }
    latest = time;
}

void Health::recordResult(uint32_t backend, uint32_t number, bool succeeded, Time begun)
{
    Workload &workload = workloads_[number];
    LatestResult &latest = workload.latestResults[backend];
    workload.failedServers -= latest == LatestResult::Failed;
    workload.succeededServers -= latest == LatestResult::Succeeded;
    latest = succeeded ? LatestResult::Succeeded : LatestResult::Failed;
    workload.failedServers += latest == LatestResult::Failed;
    workload.succeededServers += latest == LatestResult::Succeeded;
    (succeeded ? workload.successes : workload.failures).record(backend, begun);
    if (!succeeded)
        return;
    workload.healthySuccesses += 1;
    if (workload.healthySuccesses + workload.healthyFailures > maxResults) {
        workload.healthySuccesses /= 2;
        workload.healthyFailures /= 2;
    }
}

// Counts the failures of a server that has succeeded again as failures of their workloads, because
// the server is taken to have been healthy.
void Health::chargeFailuresToWorkloads(uint32_t backend)
{
    if (servers_[backend].ejected)
        return;
    for (const Failure &failure : servers_[backend].failures) {
        if (!failure.lost)
            workloads_[failure.workload].healthyFailures += 1;
    }
}

// The results of an ejected server are no evidence about the workloads.
void Health::forgetResults(uint32_t backend)
{
    for (Workload &workload : workloads_) {
        LatestResult &latest = workload.latestResults[backend];
        workload.failedServers -= latest == LatestResult::Failed;
        workload.succeededServers -= latest == LatestResult::Succeeded;
        latest = LatestResult::Unknown;
    }
}

double Health::failureRate(const Workload &workload)
{
    return (workload.healthyFailures + priorAttempts / 2)
            / (workload.healthyFailures + workload.healthySuccesses + priorAttempts);
}

bool Health::isFaulty(const Workload &workload, size_t backend) const
{
    const uint32_t failed =
            workload.failedServers - (workload.latestResults[backend] == LatestResult::Failed);
    const uint32_t succeeded = workload.succeededServers
            - (workload.latestResults[backend] == LatestResult::Succeeded);
    return failed >= minFailedServers && failed >= succeeded;
}

Health::Evidence Health::evidenceAgainst(uint32_t backend) const
{
    const Server &server = servers_[backend];
    Evidence evidence;
    std::optional<uint32_t> previous;
    bool hasSeveralWorkloads = false;
    bool failsElsewhere = false;
    for (const Failure &failure : server.failures) {
        const Workload &workload = workloads_[failure.workload];
        if (failure.lost) {
            ++evidence.failures;
            evidence.isConfirmed = true;
            evidence.probability *= lostProbability;
            continue;
        }
        if (isFaulty(workload, backend))
            continue;
        ++evidence.failures;
        evidence.probability *= failureRate(workload);
        evidence.isConfirmed |= workload.successes.excluding(backend) >= server.firstFailure;
        failsElsewhere |= workload.failures.excluding(backend) >= server.firstFailure;
        hasSeveralWorkloads |= previous && *previous != failure.workload;
        previous = failure.workload;
    }
    evidence.isConfirmed |= hasSeveralWorkloads && !failsElsewhere;
    return evidence;
}

void Health::evaluate(uint32_t backend, Time now)
{
    Server &server = servers_[backend];
    const Evidence evidence = evidenceAgainst(backend);
    server.limit = unlimited;
    if (evidence.failures == 0 || evidence.probability > maxSuspectProbability)
        return;
    if (evidence.failures < options_.failuresToEject) {
        server.limit = options_.failuresToEject - evidence.failures;
        return;
    }
    server.limit = 1;
    const bool isConclusive =
            evidence.isConfirmed && evidence.probability <= maxEjectionProbability;
    if (isConclusive && ejectedCount(server.kind) < maxEjected(server.kind))
        eject(backend, now);
    else
        markSuspect(backend, now, isConclusive ? ejectionLimitPause : evidencePause);
}

void Health::markSuspect(uint32_t backend, Time now, Duration pause)
{
    Server &server = servers_[backend];
    server.nextStart = now + pause;
    if (std::find(suspects_.begin(), suspects_.end(), backend) == suspects_.end())
        suspects_.push_back(backend);
}

void Health::eject(uint32_t backend, Time now)
{
    Server &server = servers_[backend];
    server.ejected = true;
    server.ejectedAt = now;
    server.probeDelay = std::max(server.probeDelay * 2, options_.initialProbeDelay);
    server.probeDelay = std::min(server.probeDelay, options_.maxProbeDelay);
    server.nextStart = now + server.probeDelay;
    forgetResults(backend);
}

void Health::reinstate(uint32_t backend)
{
    Server &server = servers_[backend];
    server.ejected = false;
    server.failures.clear();
    server.limit = unlimited;
    server.nextStart = {};
    server.probeDelay = {};
}

// Reinstates servers that were ejected for failures of a workload that has since failed on several
// other servers: the workload is faulty, not the servers.
void Health::reevaluateEjected(uint32_t number)
{
    for (uint32_t i = 0; i < servers_.size(); ++i) {
        const Server &server = servers_[i];
        if (!server.ejected || !isFaulty(workloads_[number], i))
            continue;
        if (evidenceAgainst(i).failures < options_.failuresToEject)
            reinstate(i);
    }
}

} // namespace lovage::placement
