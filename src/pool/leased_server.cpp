#include "leased_server.h"

#include "durations.h"

#include <algorithm>
#include <array>
#include <cmath>

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
            && !isListRequired_ && clockMs_ && now >= closedUntil && now >= avoidUntil
            && !hasSupersededEnds();
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
        lapseAt_ = now + longestLease();
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

bool LeasedServer::isNewIncarnation(const PollReply &list) const
{
    if (!incarnation_)
        return false;
    // A server that does not name its incarnation shows a restart by its clock alone.
    if (!list.incarnation && *incarnation_ == 0)
        return contradictsClock(list.clock, pollSentAt);
    return list.incarnation.value_or(0) != *incarnation_;
}

void LeasedServer::beginIncarnation(uint64_t incarnation, bool mayHaveLease, Time now)
{
    resetIncarnationState();
    incarnation_ = incarnation;
    ++incarnationCount_;
    incarnationKnownAt_ = now;
    if (mayHaveLease)
        startLeaseEnd_ = now + longestLease();
    if (unansweredLeaseSentAt_ != Time {})
        lateLeaseEnd_ = unansweredLeaseSentAt_ + maxOrderDelay + longestLease();
}

bool LeasedServer::requireList(Time now)
{
    listRequiredAt_ = now;
    nextPollAt = std::min(nextPollAt, now);
    return !std::exchange(isListRequired_, true);
}

bool LeasedServer::contradictsClock(ServerClock clock, Time orderSentAt) const
{
    const auto earliest = clockMs(orderSentAt);
    return clock && earliest && *clock < *earliest;
}

bool LeasedServer::provesIncarnation(ServerClock clock, Time now) const
{
    return clock && clockMs_ && *clock > toMillis(now - aliveAt_) + 1;
}

void LeasedServer::setClock(ServerClock clock, Time listSentAt, Time now)
{
    aliveAt_ = std::max(aliveAt_, listSentAt);
    if (!clock)
        return;
    clockMs_ = clock;
    clockReadAt_ = now;
}

void LeasedServer::updateClock(ServerClock clock, Time orderSentAt, Time now)
{
    if (!clock)
        return;
    if (provesIncarnation(clock, now))
        aliveAt_ = std::max(aliveAt_, orderSentAt);
    // Answers may arrive out of order. A reading earlier than the current estimate is ignored,
    // since its answer was delayed for longer.
    const auto estimate = clockMs(now);
    if (estimate && *clock < *estimate)
        return;
    clockMs_ = clock;
    clockReadAt_ = now;
}

ServerClock LeasedServer::clockMs(Time time) const
{
    if (!clockMs_)
        return std::nullopt;
    const int64_t elapsed =
            std::chrono::floor<std::chrono::milliseconds>(time - clockReadAt_).count();
    // Before the reading, the clock was at most that time behind.
    const double rate = elapsed < 0 ? 1 : 1 - options_.clockError;
    return *clockMs_ + static_cast<int64_t>(std::floor(static_cast<double>(elapsed) * rate));
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
    leaseSentAt_ = now;
    startLeaseEnd_ = std::max(startLeaseEnd_, latestLeaseEnd(now, lease));
    return leaseUntilMs(now, lease);
}

int64_t LeasedServer::leaseForPoll(Time now, Time limit)
{
    const Duration lease = leaseWithin(now, limit);
    committedPollLeaseEnd_ = pollLeaseEnd_;
    if (toMillis(lease) == 0)
        return 0;
    leaseSentAt_ = now;
    pollLeaseEnd_ = std::max(pollLeaseEnd_, latestLeaseEnd(now, lease));
    return leaseUntilMs(now, lease);
}

bool LeasedServer::hasLapsed(const Run &run, Time now) const
{
    if (run.isListed || run.isIncarnationProven)
        return now > std::max(leaseEnd(), lateLeaseEnd_);
    return now > leaseSentAt_ + maxOrderDelay + longestLease();
}

void LeasedServer::onOrderUnanswered(Time sentAt)
{
    unansweredLeaseSentAt_ = std::max(unansweredLeaseSentAt_, sentAt);
    if (sentAt <= incarnationKnownAt_)
        lateLeaseEnd_ = std::max(lateLeaseEnd_, sentAt + maxOrderDelay + longestLease());
}

bool LeasedServer::isPollDue(Time now) const
{
    if (isPollPending || ownership == Ownership::None || now < nextPollAt)
        return false;
    if (ownership == Ownership::TakingOver || isListRequired_)
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
    if (ownership == Ownership::TakingOver || isListRequired_ || runs_.empty())
        return Duration::zero();
    Duration wait = options_.pollWait;
    for (const auto &[task, run] : runs_) {
        if (run.state != RunState::Running) {
            wait = std::min(wait, minPollWait);
            continue;
        }
        if (run.checkAt > now)
            wait = std::min(wait, std::max(run.checkAt - now, minPollWait));
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
    aliveAt_ = {};
    lateLeaseEnd_ = {};
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

bool LeasedServer::isCancelledStart(const RunRef &ref) const
{
    const auto found = cancelledStarts_.find(ref.task);
    return found != cancelledStarts_.end() && found->second.run == ref.run;
}

bool LeasedServer::hasCancelledStarts(Time now) const
{
    return std::any_of(cancelledStarts_.begin(), cancelledStarts_.end(),
                       [&](const auto &entry) { return now <= entry.second.until; });
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
