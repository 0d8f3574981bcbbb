// Decides which work is accepted and in which order it starts: fair deadline queue, quotas as
// shares, retry budget, concurrency and overload. No sockets, threads or clock.
#pragma once

#include "lovage/core.h"
#include "lovage/placement.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

// The limits of a catalogue entry that admission applies to its owner. 0 means unlimited, except
// for retryPercent.
struct OwnerLimits
{
    uint32_t startsPerSecond = 0; // quota over all VMs
    uint32_t concurrent = 0;      // started and unfinished tasks on this VM
    uint32_t queued = 0;          // queued tasks on this VM
    uint32_t maxTasks = 0;        // tasks of one submission
    uint32_t retryPercent = 0;    // retries per 100 first starts

    auto operator<=>(const OwnerLimits &) const = default;
};

struct QueuedTask
{
    uint64_t submission = 0; // number chosen by the caller, unique among queued submissions
    uint32_t index = 0;
    TaskRequirements need;
    uint64_t order = 0; // set by FairQueue::push; keeps the place for requeue
};

struct FairQueueOptions
{
    size_t capacity = 200'000; // queued tasks of all owners
};

// Queue of startable tasks: deficit round robin between owners by weight, earliest deadline first
// inside an owner, arrival order among equal deadlines.
//
// Obligations of the caller: requeue() only a task that was the last popped one of its submission
// and whose submission was not cancelled since.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options = {});
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    // Weight is the quota of the owner; owners without one have weight 1. limit bounds its queued
    // tasks (0: only the capacity of the queue).
    void setOwner(const std::string &owner, double weight, size_t limit);

    // Starts per second that the backend servers sustain; used until the queue has measured its own
    // rate. Without either, no task is refused for its expected wait.
    void setServiceRate(double startsPerSecond);

    // Errors (NotRun): QueueFull, PastDeadline, DeadlineUnreachable.
    Result<void> push(const std::string &owner, QueuedTask task, Time now);
    // Next task by fairness and deadline among classes that are not held. Tasks of cancelled
    // submissions are dropped, never returned.
    std::optional<QueuedTask> pop(Time now);
    void requeue(QueuedTask task);

    // After a Wait for a class: pop() skips the class until clearHolds(), so that other classes
    // pass. The caller clears the holds before the next round of choices.
    void holdClass(const std::string &workClass);
    // The same for an owner that is at its quota or concurrency limit.
    void holdOwner(const std::string &owner);
    void clearHolds();

    // O(1). Returns the number of queued tasks that will never be popped.
    size_t cancel(uint64_t submission);

    size_t size() const;
    // Queued tasks for one kind of backend server. All tasks of a submission have the same kind.
    size_t size(BackendKind kind) const;
    size_t size(const std::string &owner) const;
    // Queued tasks of a submission that are not cancelled.
    size_t queuedOf(uint64_t submission) const;
    // Expected wait of the last of so many tasks that are pushed now, by the rate and the fair
    // share of the owner, with a margin of 10%. 0 while no rate is known.
    Duration expectedWait(const std::string &owner, size_t tasks, Time now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// Asks another VM for a part of its share.
struct LoanRequest
{
    std::string owner;
    std::string lender;
    std::string borrower;
    uint64_t borrowerIncarnation = 0;
    uint64_t milliStartsPerSecond = 0;

    auto operator<=>(const LoanRequest &) const = default;
};

// Lends a part of a share until the expiry. A repeated or late grant has no further effect.
struct LoanGrant
{
    std::string owner;
    std::string lender;
    uint64_t lenderIncarnation = 0;
    uint64_t loan = 0; // unique for the lender incarnation
    std::string borrower;
    uint64_t borrowerIncarnation = 0;
    uint64_t milliStartsPerSecond = 0;
    Time expiry {};

    auto operator<=>(const LoanGrant &) const = default;
};

struct QuotaOptions
{
    std::string vm;
    uint64_t incarnation = 0;
    std::vector<std::string> configuredVms; // all entry VM names, this one included
    Duration loanDuration = std::chrono::seconds(2);
    Duration skewMargin = std::chrono::seconds(2);
    // Part of the base share that is never lent, and all that a new incarnation may use until the
    // loans of its predecessor have expired.
    double retainedShare = 0.2;
    // Unused starts are kept for this time. 40 ms bounds the overshoot to 4% of a second.
    Duration burst = std::chrono::milliseconds(40);
    Duration requestInterval = std::chrono::milliseconds(250);
};

// Share of this VM in the quota of each owner. The shares of all VMs together never exceed the
// quota, whatever happens to loan messages: a lender reduces its share before it sends the grant
// and takes it back only when the grant has expired on every clock within the skew margin.
class QuotaShares
{
public:
    QuotaShares(QuotaOptions options, Time started);
    ~QuotaShares();
    QuotaShares(QuotaShares &&) noexcept;
    QuotaShares &operator=(QuotaShares &&) noexcept;

    // Quota over all VMs in starts per second; 0 removes the limit.
    void setQuota(const std::string &owner, uint32_t startsPerSecond, Time now);

    // Takes starts from the share of the owner: all of them or none.
    bool tryAcquire(const std::string &owner, uint32_t count, Time now);
    // Returns starts that did not happen.
    void refund(const std::string &owner, uint32_t count, Time now);
    // Whole starts that tryAcquire would grant now.
    uint32_t available(const std::string &owner, Time now);

    // Requests to send now, for owners that asked for more than their share. usablePeers are the
    // alive peers that hear this VM.
    std::vector<LoanRequest> loanRequests(const std::vector<std::string> &usablePeers, Time now);
    // As lender: reduces the own share and returns the grant to send, or nothing.
    std::optional<LoanGrant> grant(const LoanRequest &request, Time now);
    // As borrower. False if the grant is not for this incarnation, expired or known.
    bool accept(const LoanGrant &grant, Time now);

    // Present share in thousandths of a start per second.
    uint64_t milliShare(const std::string &owner, Time now) const;
    // Bytes of state for all owners.
    size_t stateBytes() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// Retries are limited to retryPercent of the first starts of the owner.
class RetryBudget
{
public:
    void setPercent(const std::string &owner, uint32_t percent);
    void started(const std::string &owner, uint32_t count = 1);
    bool tryRetry(const std::string &owner);

private:
    struct Budget
    {
        uint32_t percent = 0;
        uint64_t hundredths = 0; // a retry costs 100
    };
    std::map<std::string, Budget, std::less<>> budgets_;
};

struct AdmissionOptions
{
    FairQueueOptions queue;
    QuotaOptions quota;
    // Work is refused when the expected wait before its first start exceeds this.
    Duration maxExpectedWait = std::chrono::seconds(2);
};

// Everything that is asked before a submission is accepted and before a task starts.
class Admission
{
public:
    Admission(AdmissionOptions options, Time started);

    // Applies the limits of an owner to queued and later work.
    void setLimits(const std::string &owner, const OwnerLimits &limits, Time now);

    // Decides on a whole submission before any of its tasks is queued. expectedRun is
    // Placement::expectedRunTime(). Errors (NotRun): TooManyTasks, PastDeadline, QueueFull,
    // Overloaded, QuotaExceeded, DeadlineUnreachable.
    Result<void> admit(const std::string &owner, size_t tasks, Duration expectedRun, Time deadline,
                       Time now);

    // Before a start: concurrency limit and quota. True reserves both.
    bool tryStart(const std::string &owner, Time now);
    // The start did not happen (no server chosen, or refused before the start).
    void undoStart(const std::string &owner, Time now);
    // The started task has ended.
    void finished(const std::string &owner);
    uint32_t running(const std::string &owner) const;

    FairQueue &queue() { return queue_; }
    QuotaShares &quotas() { return quotas_; }
    RetryBudget &retries() { return retries_; }

private:
    struct Owner
    {
        OwnerLimits limits;
        uint32_t running = 0;
    };

    AdmissionOptions options_;
    FairQueue queue_;
    QuotaShares quotas_;
    RetryBudget retries_;
    std::map<std::string, Owner, std::less<>> owners_;
};

} // namespace lovage
