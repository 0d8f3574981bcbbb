// Decides which work is accepted and in which order it starts: fair queue with deadlines, quotas
// that are divided between VMs, retry budgets, concurrency limits and overload. No sockets, threads
// or clock: the caller passes the time.
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

// The limits of a catalogue entry that admission applies to its owner. 0 means unlimited, except in
// retryPercent, where it means no retries.
struct OwnerLimits
{
    uint32_t startsPerSecond = 0; // quota of task starts per second over all VMs
    uint32_t concurrent = 0;      // maximum number of started and unfinished tasks on this VM
    uint32_t queued = 0;          // maximum number of queued tasks on this VM
    uint32_t maxTasks = 0;        // maximum number of tasks of one submission
    uint32_t retryPercent = 0;    // maximum number of retries per 100 first starts

    auto operator<=>(const OwnerLimits &) const = default;
};

struct QueuedTask
{
    uint64_t submission = 0; // number chosen by the caller, unique among queued submissions
    uint32_t index = 0;
    TaskRequirements need;
    // Number of the task in order of arrival, set by FairQueue::push() and kept by requeue().
    uint64_t order = 0;
};

struct FairQueueOptions
{
    size_t capacity = 200'000; // maximum number of queued tasks of all owners together
};

// Queue of tasks that are ready to start. It serves the owners by deficit round robin according to
// their weights, the tasks of an owner by earliest deadline first, and tasks with equal deadlines
// in order of arrival.
//
// The caller may pass to requeue() only the task of a submission that was popped last, and only if
// the submission was not cancelled since.
class FairQueue
{
public:
    explicit FairQueue(FairQueueOptions options = {});
    ~FairQueue();
    FairQueue(FairQueue &&) noexcept;
    FairQueue &operator=(FairQueue &&) noexcept;

    // weight is the quota of the owner, or 0 for an owner without one, which then has weight 1.
    // limit is the maximum number of its queued tasks; at 0 only the capacity of the queue limits
    // them.
    void setOwner(const std::string &owner, double weight, size_t limit);

    // Sets the starts per second that the backend servers are expected to sustain. The value is
    // used while the queue has no measured rate. Without either, no task is refused for its
    // expected wait.
    void setServiceRate(double startsPerSecond);

    // Errors (NotRun): QueueFull, PastDeadline, DeadlineUnreachable.
    Result<void> push(const std::string &owner, QueuedTask task, Time now);
    // Returns the next task by fairness and deadline. Tasks of held classes and owners are skipped.
    // Tasks of cancelled submissions are dropped, never returned.
    std::optional<QueuedTask> pop(Time now);
    // Undoes pop(): the task gets back its place and the owner its turn.
    void requeue(QueuedTask task);

    // Makes pop() skip the class until clearHolds(), so that tasks of other classes can start. To
    // be called when placement returned Wait for the class. The caller clears the holds before the
    // next round of choices.
    void holdClass(const std::string &workClass);
    // Makes pop() skip an owner until clearHolds(). To be called when the owner is at its quota or
    // concurrency limit.
    void holdOwner(const std::string &owner);
    void clearHolds();

    // Cancels the queued tasks of a submission in O(1) and returns their number.
    size_t cancel(uint64_t submission);

    size_t size() const;
    // Queued tasks for one kind of backend server. All tasks of a submission have the same kind.
    size_t size(BackendKind kind) const;
    size_t size(const std::string &owner) const;
    // Queued tasks of a submission; 0 if it is cancelled.
    size_t queuedOf(uint64_t submission) const;
    // Expected wait of the last task if this many tasks of the owner were pushed now. It follows
    // from the start rate and the fair share of the owner, with a margin of 10%. 0 while no rate is
    // known.
    Duration expectedWait(const std::string &owner, size_t tasks, Time now) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

// Asks another VM to lend a part of its share in the quota of an owner.
struct LoanRequest
{
    std::string owner;
    std::string lender;
    std::string borrower;
    uint64_t borrowerIncarnation = 0;
    uint64_t milliStartsPerSecond = 0;

    auto operator<=>(const LoanRequest &) const = default;
};

// Lends a part of a share until the expiry. A duplicate or expired grant has no effect.
struct LoanGrant
{
    std::string owner;
    std::string lender;
    uint64_t lenderIncarnation = 0;
    uint64_t loan = 0; // number of the loan, unique within the incarnation of the lender
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
    std::vector<std::string> configuredVms; // names of all entry VMs, this one included
    Duration loanDuration = std::chrono::seconds(2);
    Duration skewMargin = std::chrono::seconds(2);
    // Fraction of the base share that is never lent. A new incarnation may use only this until the
    // loans of its predecessor have expired.
    double retainedShare = 0.2;
    // Unused starts accumulate for at most this time. 40 ms limits the starts in any second to 4%
    // above the quota.
    Duration burst = std::chrono::milliseconds(40);
    Duration requestInterval = std::chrono::milliseconds(250);
};

// Share of this VM in the quota of each owner. The shares of all VMs together never exceed the
// quota, even if loan messages are lost, delayed or duplicated: a lender reduces its share before
// it sends the grant and restores it only when the grant has expired on every clock within the skew
// margin.
class QuotaShares
{
public:
    QuotaShares(QuotaOptions options, Time started);
    ~QuotaShares();
    QuotaShares(QuotaShares &&) noexcept;
    QuotaShares &operator=(QuotaShares &&) noexcept;

    // Quota over all VMs in starts per second; 0 removes the limit.
    void setQuota(const std::string &owner, uint32_t startsPerSecond, Time now);

    // Takes starts from the share of the owner, all of them or none. Returns whether it took them.
    bool tryAcquire(const std::string &owner, uint32_t count, Time now);
    // Returns starts that did not happen to the share of the owner.
    void refund(const std::string &owner, uint32_t count, Time now);
    // Number of starts that tryAcquire() would grant now.
    uint32_t available(const std::string &owner, Time now);

    // Requests to send now, for owners that need more than their share. usablePeers are the alive
    // peers that receive the heartbeats of this VM.
    std::vector<LoanRequest> loanRequests(const std::vector<std::string> &usablePeers, Time now);
    // On the lender: reduces the share of this VM and returns the grant to send, or nothing.
    std::optional<LoanGrant> grant(const LoanRequest &request, Time now);
    // On the borrower: adds the loan to the share of this VM. Returns false if the grant is not for
    // this incarnation, has expired or is already known.
    bool accept(const LoanGrant &grant, Time now);

    // Current share in thousandths of a start per second.
    uint64_t milliShare(const std::string &owner, Time now) const;
    // Bytes of memory used for the state of all owners.
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
    // Adds the budget for retries that this many first starts allow.
    void started(const std::string &owner, uint32_t count = 1);
    // Takes one retry from the budget. Returns false if the budget is too small.
    bool tryRetry(const std::string &owner);

private:
    struct Budget
    {
        uint32_t percent = 0;
        uint64_t hundredths = 0; // available budget in hundredths of a retry
    };
    std::map<std::string, Budget, std::less<>> budgets_;
};

struct AdmissionOptions
{
    FairQueueOptions queue;
    QuotaOptions quota;
    // Work is refused if the expected wait before its first start exceeds this.
    Duration maxExpectedWait = std::chrono::seconds(2);
};

// Combines the checks before a submission is accepted and before a task starts.
class Admission
{
public:
    Admission(AdmissionOptions options, Time started);

    // Applies the limits of an owner to queued and later work.
    void setLimits(const std::string &owner, const OwnerLimits &limits, Time now);

    // Accepts or refuses a whole submission before any of its tasks is queued. expectedRun is
    // Placement::expectedRunTime(). Errors (NotRun): TooManyTasks, PastDeadline, QueueFull,
    // Overloaded, QuotaExceeded, DeadlineUnreachable.
    Result<void> admit(const std::string &owner, size_t tasks, Duration expectedRun, Time deadline,
                       Time now);

    // Checks the concurrency limit and quota before a start. If it returns true, both are reserved.
    bool tryStart(const std::string &owner, Time now);
    // Releases what tryStart() reserved for a start that did not happen, because no server was
    // chosen or the server refused it.
    void undoStart(const std::string &owner, Time now);
    // Must be called when a started task has ended.
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
