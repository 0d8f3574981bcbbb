#include "leased_server.h"

#include "durations.h"

#include <algorithm>
#include <array>

namespace lovage::pool {

namespace {

int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// A poll returns shortly after the next run is due to end, so that a run without progress is
// noticed. A run is due after its expected run time times the factor, plus the slack.
constexpr double overdueFactor = 1.5;
constexpr Duration overdueSlack = std::chrono::milliseconds(20);
constexpr Duration minPollWait = std::chrono::milliseconds(20);
// Shares of the expected run time after which a poll checks the progress of a run. The first check
// finds a run that takes much longer than declared early enough to start it again on a faster
// server.
constexpr std::array<double, 3> progressCheckShares = {0.08, 0.2, 0.4};
constexpr Duration minCheckedRunTime = std::chrono::milliseconds(400);
// Minimum interval between polls of a server that lists an end which must not be acknowledged yet.
constexpr Duration heldEndPollInterval = std::chrono::milliseconds(20);

} // namespace

bool hasLabel(const ServerInfo &info, const std::string &label)
{
    return std::find(info.labels.begin(), info.labels.end(), label) != info.labels.end();
}

bool LeasedServer::fits(const Demand &demand) const
{
    return used_.milliCores + demand.milliCores <= info_.capacity.milliCores
            && used_.memoryMb + demand.memoryMb <= info_.capacity.memoryMb
            && used_.accelerators + demand.accelerators <= info_.capacity.accelerators;
}

uint32_t LeasedServer::freeMilliCores() const
{
    return info_.capacity.milliCores - std::min(used_.milliCores, info_.capacity.milliCores);
}

bool LeasedServer::isOpen(Time now) const
{
    return ownership == Ownership::Held && !isReleasing && isRegistered && !info_.isLeaving
            && clockMs_ && now >= closedUntil && now >= avoidUntil && !hasSupersededEnds();
}

Run *LeasedServer::findRun(const RunRef &ref)
{
    const auto found = runs_.find(ref.task);
    return found != runs_.end() && found->second.number == ref.run ? &found->second : nullptr;
}

// The lapse is counted from the first call without runs, because the lease may have been extended
// up to then, also by an earlier holder.
bool LeasedServer::tryReleaseSupersededEnds(Time now)
{
    if (lapseAt_ == Time {})
        lapseAt_ = latestLeaseEnd(now, options_.lease);
    if (now <= lapseAt_)
        return false;
    for (const uint64_t end : std::exchange(supersededEnds_, {}))
        heldEnds_.erase(end);
    lapseAt_ = {};
    return true;
}

void LeasedServer::add(const std::string &task, Run run)
{
    lapseAt_ = {};
    used_.milliCores += run.demand.milliCores;
    used_.memoryMb += run.demand.memoryMb;
    used_.accelerators += run.demand.accelerators;
    runs_.insert_or_assign(task, run);
}

Run LeasedServer::remove(const std::string &task)
{
    const auto found = runs_.find(task);
    Run run = found->second;
    used_.milliCores -= run.demand.milliCores;
    used_.memoryMb -= run.demand.memoryMb;
    used_.accelerators -= run.demand.accelerators;
    runs_.erase(found);
    return run;
}

bool LeasedServer::hasForeignRuns() const
{
    return std::any_of(runs_.begin(), runs_.end(),
                       [](const auto &entry) { return entry.second.job == foreignJob; });
}

void LeasedServer::updateClock(const ServerReading &reading, Time now)
{
    if (!reading.clockMs)
        return;
    // Answers may arrive out of order. A reading earlier than the current estimate is ignored,
    // since its answer was delayed for longer.
    const auto estimate = clockMs(now);
    if (estimate && *reading.clockMs < *estimate)
        return;
    clockMs_ = reading.clockMs;
    clockReadAt_ = now;
}

std::optional<int64_t> LeasedServer::clockMs(Time now) const
{
    if (!clockMs_)
        return std::nullopt;
    const double elapsed = static_cast<double>(toMillis(now - clockReadAt_));
    return *clockMs_ + static_cast<int64_t>(elapsed * (1 - options_.clockError));
}

// Returns the time by which a lease granted now has ended and its runs have stopped, assuming the
// slowest possible clock of the server.
Time LeasedServer::latestLeaseEnd(Time now, Duration lease) const
{
    return now + scaled(lease, 1 + 2 * options_.clockError) + options_.stopTime;
}

// Returns the longest lease that has ended by the limit if it is granted now.
Duration LeasedServer::leaseWithin(Time now, Time limit) const
{
    if (limit >= latestLeaseEnd(now, options_.lease))
        return options_.lease;
    const Duration left = limit - now - options_.stopTime;
    return std::max(Duration::zero(), scaled(left, 1 / (1 + 2 * options_.clockError)));
}

int64_t LeasedServer::leaseUntilMs(Time now, Duration lease) const
{
    return clockMs(now).value_or(0) + toMillis(lease);
}

int64_t LeasedServer::leaseForStart(Time now, Time limit)
{
    const Duration lease = leaseWithin(now, limit);
    startLeaseEnd_ = std::max(startLeaseEnd_, latestLeaseEnd(now, lease));
    return leaseUntilMs(now, lease);
}

int64_t LeasedServer::leaseForPoll(Time now, Time limit)
{
    const Duration lease = leaseWithin(now, limit);
    committedPollLeaseEnd_ = pollLeaseEnd_;
    if (toMillis(lease) == 0)
        return 0;
    pollLeaseEnd_ = std::max(pollLeaseEnd_, latestLeaseEnd(now, lease));
    return leaseUntilMs(now, lease);
}

bool LeasedServer::isPollDue(Time now) const
{
    if (isPollPending || ownership == Ownership::None || now < nextPollAt)
        return false;
    if (ownership == Ownership::TakingOver)
        return true;
    // While the server lists an end that is not acknowledged, it answers polls without waiting, so
    // the polls have to be spaced out.
    if (!heldEnds_.empty() && now < pollSentAt + heldEndPollInterval)
        return false;
    if (!runs_.empty())
        return true;
    return hasUnacknowledged() && now >= endSeenAt + options_.idleAckDelay;
}

Duration LeasedServer::pollWait(Time now) const
{
    if (ownership == Ownership::TakingOver || runs_.empty())
        return Duration::zero();
    Duration wait = options_.pollWait;
    for (const auto &[task, run] : runs_) {
        if (run.state != RunState::Running) {
            wait = std::min(wait, minPollWait);
            continue;
        }
        if (run.expected >= minCheckedRunTime) {
            for (const double share : progressCheckShares) {
                const Time check = run.confirmedAt + scaled(run.expected, share);
                if (check > now)
                    wait = std::min(wait, std::max(check - now, minPollWait));
            }
        }
        const auto due = run.confirmedAt + overdueSlack + scaled(run.expected, overdueFactor);
        if (due > now)
            wait = std::min(wait, std::max(due - now, minPollWait));
    }
    return std::chrono::floor<std::chrono::milliseconds>(wait);
}

bool LeasedServer::recordEnd(uint64_t number)
{
    if (number <= seenThrough_)
        return false;
    seenThrough_ = number;
    return true;
}

void LeasedServer::resetIncarnationState()
{
    seenThrough_ = 0;
    acknowledged_ = 0;
    pollAck_ = 0;
    heldEnds_.clear();
    supersededEnds_.clear();
    lapseAt_ = {};
    clockMs_.reset();
    startLeaseEnd_ = {};
    pollLeaseEnd_ = {};
    committedPollLeaseEnd_ = {};
    unansweredPolls = 0;
    closedUntil = {};
}

void LeasedServer::pruneCancelledStarts(Time now)
{
    std::erase_if(cancelledStarts_, [&](const auto &entry) { return now > entry.second.until; });
}

void LeasedServer::recordCancelledStart(const std::string &task, uint32_t run, Time now)
{
    pruneCancelledStarts(now);
    cancelledStarts_[task] = {run, now + maxOrderDelay};
}

void LeasedServer::restoreCancelledStarts(Time now)
{
    pruneCancelledStarts(now);
    for (const auto &[task, cancelled] : cancelledStarts_) {
        if (runs_.contains(task))
            continue; // the stop of the later run also prevents this one
        Run run;
        run.number = cancelled.run;
        run.orderedAt = now;
        run.state = RunState::Stopping;
        add(task, run);
    }
}

} // namespace lovage::pool
