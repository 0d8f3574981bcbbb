#include "lovage/admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace lovage {

namespace {

// Budget that one retry takes, in hundredths of a retry.
constexpr uint64_t retryCost = 100;
// Limit of the budget that an owner can accumulate, in retries.
constexpr uint64_t maxSavedRetries = 100;

Duration timeToStart(size_t tasks, uint64_t milliStartsPerSecond)
{
    if (milliStartsPerSecond == 0)
        return Duration::max();
    return Duration(static_cast<int64_t>(1e9 * static_cast<double>(tasks)
                                         / static_cast<double>(milliStartsPerSecond)));
}

} // namespace

void RetryBudget::setPercent(const std::string &owner, uint32_t percent)
{
    budgets_[owner].percent = percent;
}

void RetryBudget::started(const std::string &owner, uint32_t count)
{
    Budget &budget = budgets_[owner];
    budget.hundredths += uint64_t {budget.percent} * count;
    budget.hundredths = std::min(budget.hundredths, maxSavedRetries * retryCost);
}

bool RetryBudget::tryRetry(const std::string &owner)
{
    const auto found = budgets_.find(owner);
    if (found == budgets_.end() || found->second.hundredths < retryCost)
        return false;
    found->second.hundredths -= retryCost;
    return true;
}

Admission::Admission(AdmissionOptions options, Time started)
    : options_(std::move(options)), queue_(options_.queue), quotas_(options_.quota, started)
{ }

void Admission::setLimits(const std::string &owner, const OwnerLimits &limits, Time now)
{
    owners_[owner].limits = limits;
    queue_.setOwner(owner, limits.startsPerSecond, limits.queued);
    quotas_.setQuota(owner, limits.startsPerSecond, now);
    retries_.setPercent(owner, limits.retryPercent);
}

Result<void> Admission::admit(const std::string &owner, size_t tasks, Duration expectedRun,
                              Time deadline, Time now)
{
    const OwnerLimits &limits = owners_[owner].limits;
    if (limits.maxTasks > 0 && tasks > limits.maxTasks)
        return notRun(ErrorCode::TooManyTasks,
                      fmt::format("{} tasks; the limit is {}", tasks, limits.maxTasks));
    if (deadline <= now)
        return notRun(ErrorCode::PastDeadline, "the deadline has passed");
    const size_t queued = queue_.size(owner) + tasks;
    if (limits.queued > 0 && queued > limits.queued)
        return notRun(ErrorCode::QueueFull,
                      fmt::format("owner {} would have {} tasks queued; the limit is {}", owner,
                                  queued, limits.queued));
    if (queue_.size() + tasks > options_.queue.capacity)
        return notRun(ErrorCode::QueueFull, fmt::format("{} tasks are queued", queue_.size()));
    const Duration firstWait = queue_.expectedWait(owner, 0, now);
    if (firstWait > options_.maxExpectedWait)
        return notRun(ErrorCode::Overloaded,
                      fmt::format("expected wait is {} ms", firstWait.count() / 1000));
    const Duration remaining = deadline - now;
    if (limits.startsPerSecond > 0
        && timeToStart(queued, quotas_.milliShare(owner, now)) > remaining)
        return notRun(ErrorCode::QuotaExceeded,
                      fmt::format("the quota of owner {} does not admit {} starts in {} ms", owner,
                                  queued, remaining.count() / 1000));
    if (queue_.expectedWait(owner, tasks, now) + expectedRun > remaining)
        return notRun(ErrorCode::DeadlineUnreachable,
                      fmt::format("the work cannot end in {} ms", remaining.count() / 1000));
    return boost::outcome_v2::success();
}

bool Admission::tryStart(const std::string &owner, Time now)
{
    Owner &entry = owners_[owner];
    if (entry.limits.concurrent > 0 && entry.running >= entry.limits.concurrent)
        return false;
    if (!quotas_.tryAcquire(owner, 1, now))
        return false;
    ++entry.running;
    return true;
}

void Admission::undoStart(const std::string &owner, Time now)
{
    finished(owner);
    quotas_.refund(owner, 1, now);
}

void Admission::finished(const std::string &owner)
{
    Owner &entry = owners_[owner];
    assert(entry.running > 0);
    --entry.running;
}

uint32_t Admission::running(const std::string &owner) const
{
    const auto found = owners_.find(owner);
    return found == owners_.end() ? 0 : found->second.running;
}

} // namespace lovage
