#include "health.h"

#include <algorithm>

namespace lovage::placement {

namespace {

// A server is ejected when a healthy one would show its streak with at most this probability.
// Work that fails in 30% of its attempts shows a streak of 12 on a healthy server that rarely.
constexpr double ejectionChance = 1e-6;
// Streaks less likely than this restrict the outstanding tasks of a server.
constexpr double suspicion = 0.1;
// A lost connection blames the server, hardly ever the work.
constexpr double lostChance = 0.03;
// Attempts that stand for unknown work, half of them failures. 15 successes make five failures
// sufficient for an ejection.
constexpr double assumedAttempts = 2;
// Results of work are halved beyond this number, so that a change shows.
constexpr double mostResults = 1000;
// Faulty work has failed on at least this many other servers and on most of them.
constexpr uint32_t fewestFaultyServers = 2;
constexpr size_t longestStreak = 32;
// A suspect that cannot be ejected because of the cap gets one task at a time with this pause.
constexpr Duration cappedPause = std::chrono::milliseconds(20);
// A suspect without evidence against it from other servers waits for their results.
constexpr Duration evidencePause = std::chrono::milliseconds(500);

} // namespace

void Health::resize(size_t backends)
{
    servers_.resize(backends);
    for (Work &work : works_)
        work.latest.resize(backends, Latest::Unknown);
}

void Health::ensureWork(uint32_t work)
{
    if (work < works_.size())
        return;
    works_.resize(work + 1);
    for (Work &known : works_)
        known.latest.resize(servers_.size(), Latest::Unknown);
}

void Health::setCounted(uint32_t backend, BackendKind kind, bool counted)
{
    Server &server = servers_[backend];
    server.kind = kind;
    server.counted = counted;
    if (!counted)
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

size_t Health::largestEjected(BackendKind kind) const
{
    const auto counted = std::count_if(servers_.begin(), servers_.end(), [&](const Server &server) {
        return server.counted && server.kind == kind;
    });
    return static_cast<size_t>(static_cast<double>(counted) * options_.maxEjectedShare + 1e-9);
}

void Health::enforceCap()
{
    for (const BackendKind kind : {BackendKind::Executor, BackendKind::Worker}) {
        while (ejectedCount(kind) > largestEjected(kind)) {
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
    return server.ejected && server.probes == 0 && now >= server.nextTry;
}

uint32_t Health::allowance(uint32_t backend, Time now) const
{
    const Server &server = servers_[backend];
    if (server.ejected)
        return isProbeDue(backend, now) ? unlimited : 0;
    if (now < server.nextTry)
        return 0;
    return server.proven ? server.limit : std::min(server.limit, options_.failuresToEject);
}

uint32_t Health::streak(uint32_t backend) const
{
    return static_cast<uint32_t>(servers_[backend].failures.size());
}

void Health::ended(uint32_t backend, uint32_t work, AttemptOutcome end, Time begun, Time now)
{
    Server &server = servers_[backend];
    const bool wasProbe = server.probes > 0;
    if (wasProbe)
        --server.probes;
    if (end == AttemptOutcome::Refused)
        return;
    if (end == AttemptOutcome::Succeeded) {
        noteResult(backend, work, true, begun);
        server.proven = true;
        // A task that began before the first failure does not disprove a fault since then.
        if (server.failures.empty() || begun >= server.firstFailure) {
            confirmHealthy(backend);
            reinstate(backend);
        }
        reviewSuspects(now);
        return;
    }
    if (end == AttemptOutcome::Failed && !server.ejected)
        noteResult(backend, work, false, begun);
    if (server.failures.empty())
        server.firstFailure = now;
    if (server.failures.size() == longestStreak)
        server.failures.erase(server.failures.begin());
    server.failures.push_back({work, end == AttemptOutcome::Lost});
    if (server.ejected) {
        if (wasProbe && now >= server.nextTry) {
            server.probeDelay = std::min(server.probeDelay * 2, options_.maxProbeDelay);
            server.nextTry = now + server.probeDelay;
        }
        return;
    }
    judge(backend, now);
    if (end == AttemptOutcome::Failed && ejectedCount() > 0)
        reviewEjected(work);
}

// A success elsewhere may be the evidence that was missing against a suspect.
void Health::reviewSuspects(Time now)
{
    const std::vector<uint32_t> suspects = std::move(suspects_);
    suspects_.clear();
    for (const uint32_t suspect : suspects) {
        const Server &server = servers_[suspect];
        if (server.counted && !server.ejected && !server.failures.empty())
            judge(suspect, now);
    }
}

void Health::Recent::note(uint32_t backend, Time time)
{
    if (server != backend) {
        otherAt = at;
        server = backend;
    }
    at = time;
}

void Health::noteResult(uint32_t backend, uint32_t number, bool succeeded, Time begun)
{
    Work &work = works_[number];
    Latest &latest = work.latest[backend];
    work.failed -= latest == Latest::Failed;
    work.succeeded -= latest == Latest::Succeeded;
    latest = succeeded ? Latest::Succeeded : Latest::Failed;
    work.failed += latest == Latest::Failed;
    work.succeeded += latest == Latest::Succeeded;
    (succeeded ? work.success : work.failure).note(backend, begun);
    if (!succeeded)
        return;
    work.healthySuccesses += 1;
    if (work.healthySuccesses + work.healthyFailures > mostResults) {
        work.healthySuccesses /= 2;
        work.healthyFailures /= 2;
    }
}

// A server that succeeds again was healthy, so the failures before were those of the work.
void Health::confirmHealthy(uint32_t backend)
{
    if (servers_[backend].ejected)
        return;
    for (const Failure &failure : servers_[backend].failures) {
        if (!failure.lost)
            works_[failure.work].healthyFailures += 1;
    }
}

// The results of an ejected server say nothing about the work.
void Health::forgetResults(uint32_t backend)
{
    for (Work &work : works_) {
        Latest &latest = work.latest[backend];
        work.failed -= latest == Latest::Failed;
        work.succeeded -= latest == Latest::Succeeded;
        latest = Latest::Unknown;
    }
}

double Health::failureShare(const Work &work)
{
    return (work.healthyFailures + assumedAttempts / 2)
            / (work.healthyFailures + work.healthySuccesses + assumedAttempts);
}

bool Health::isFaulty(const Work &work, size_t backend) const
{
    const uint32_t failed = work.failed - (work.latest[backend] == Latest::Failed);
    const uint32_t succeeded = work.succeeded - (work.latest[backend] == Latest::Succeeded);
    return failed >= fewestFaultyServers && failed >= succeeded;
}

Health::Evidence Health::weigh(uint32_t backend) const
{
    const Server &server = servers_[backend];
    Evidence evidence;
    std::optional<uint32_t> firstWork;
    bool spans = false; // more than one class or owner
    bool failsElsewhere = false;
    for (const Failure &failure : server.failures) {
        const Work &work = works_[failure.work];
        if (failure.lost) {
            ++evidence.counted;
            evidence.supported = true;
            evidence.chance *= lostChance;
            continue;
        }
        if (isFaulty(work, backend))
            continue;
        ++evidence.counted;
        evidence.chance *= failureShare(work);
        evidence.supported |= work.success.elsewhere(backend) >= server.firstFailure;
        failsElsewhere |= work.failure.elsewhere(backend) >= server.firstFailure;
        spans |= firstWork && *firstWork != failure.work;
        firstWork = failure.work;
    }
    evidence.supported |= spans && !failsElsewhere;
    return evidence;
}

void Health::judge(uint32_t backend, Time now)
{
    Server &server = servers_[backend];
    const Evidence evidence = weigh(backend);
    server.limit = unlimited;
    if (evidence.counted == 0 || evidence.chance > suspicion)
        return;
    if (evidence.counted < options_.failuresToEject) {
        server.limit = options_.failuresToEject - evidence.counted;
        return;
    }
    server.limit = 1;
    const bool certain = evidence.supported && evidence.chance <= ejectionChance;
    if (certain && ejectedCount(server.kind) < largestEjected(server.kind))
        eject(backend, now);
    else
        suspect(backend, now, certain ? cappedPause : evidencePause);
}

void Health::suspect(uint32_t backend, Time now, Duration pause)
{
    Server &server = servers_[backend];
    server.nextTry = now + pause;
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
    server.nextTry = now + server.probeDelay;
    forgetResults(backend);
}

void Health::reinstate(uint32_t backend)
{
    Server &server = servers_[backend];
    server.ejected = false;
    server.failures.clear();
    server.limit = unlimited;
    server.nextTry = {};
    server.probeDelay = {};
}

// Work that fails on several servers after one of them was ejected for it proves that server right.
void Health::reviewEjected(uint32_t number)
{
    for (uint32_t i = 0; i < servers_.size(); ++i) {
        const Server &server = servers_[i];
        if (!server.ejected || !isFaulty(works_[number], i))
            continue;
        if (weigh(i).counted < options_.failuresToEject)
            reinstate(i);
    }
}

} // namespace lovage::placement
