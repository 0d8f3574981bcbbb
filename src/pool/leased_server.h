// State of one backend server as its lease holder sees it.
#pragma once

#include "lovage/pool.h"

#include <map>
#include <set>

namespace lovage::pool {

// Number of a job within the pool. 0 stands for runs that an earlier holder started.
using JobNumber = uint64_t;
constexpr JobNumber foreignJob = 0;

// Number of the runs of stored jobs, whose queue is elsewhere.
constexpr JobNumber storedJob = UINT64_MAX;

// Where a run of a stored job comes from.
struct StoredOrigin
{
    KeeperRef keeper;
    std::string job;
    std::string queue;
    Duration declared {};  // run time
    Duration predicted {}; // on an ordinary server
};

enum class RunState {
    Starting, // ordered, not answered
    Running,
    Unconfirmed, // the order to start was not answered; a look shows whether it runs
    Stopping,    // ordered to stop
};

// One run of a task that the server may be executing.
struct Run
{
    JobNumber job = foreignJob;
    size_t task = 0; // index within the job
    uint32_t number = 0;
    Demand demand;
    RunState state = RunState::Starting;
    Time orderedAt {};
    Time confirmedAt {};         // of Running
    Duration expected {};        // predicted run time on this server
    bool isSlowRecorded = false; // its lack of speed was held against the server
    uint32_t percent = 0;        // of its work that is done, by the latest look
    bool needsMove = false;      // it ends too late here
    bool isStopPending = false;
    Time stopConfirmedAt {}; // zero: not yet
    Time nextStopAt {};
    std::optional<StoredOrigin> stored {};
    std::string checkpoint {}; // latest that the server listed
    bool isServing = false;
    bool usesSpareCores = false;
};

// Whether the holder may place on the server.
enum class Ownership {
    None,       // no grant for its shard, or a higher token was seen
    TakingOver, // waits for the first look with the present token
    Held,
};

// An order that was not answered is not carried out any more after this time.
constexpr Duration maxOrderDelay = std::chrono::seconds(15);

bool hasLabel(const ServerInfo &info, const std::string &label);

class LeasedServer
{
public:
    LeasedServer(ServerInfo info, const PoolOptions &options)
        : info_(std::move(info)), options_(options)
    { }

    const ServerInfo &info() const { return info_; }
    void update(ServerInfo info) { info_ = std::move(info); }

    // Room.
    bool fits(const Demand &demand) const;
    uint32_t freeMilliCores() const;
    // Whether a new run may be ordered now.
    bool isOpen(Time now) const;

    // Runs by the text form of their task.
    std::map<std::string, Run> &runs() { return runs_; }
    const std::map<std::string, Run> &runs() const { return runs_; }
    Run *findRun(const RunRef &ref);
    void add(const std::string &task, Run run);
    Run remove(const std::string &task);
    bool hasForeignRuns() const;

    // Clock and lease.
    void updateClock(const ServerReading &reading, Time now);
    // The server's time, a little early; nullopt before its first answer.
    std::optional<int64_t> clockMs(Time now) const;
    // The lease to ask for with a start, or with a look. One look at a time is pending.
    int64_t leaseForStart(Time now);
    int64_t leaseForPoll(Time now);
    // An order to start was carried out, maybe in a life that began after it was sent.
    void onStartExecuted(Time orderedAt)
    {
        startLeaseEnd_ = std::max(startLeaseEnd_, latestLeaseEnd(orderedAt));
    }
    // The pending look did not reach the server.
    void rollBackPollLease() { pollLeaseEnd_ = committedPollLeaseEnd_; }
    void commitPollLease() { committedPollLeaseEnd_ = pollLeaseEnd_; }
    // Whether everything that was started there has ended.
    bool hasLapsed(Time now) const { return now > std::max(startLeaseEnd_, pollLeaseEnd_); }

    // Looks.
    bool isPollPending = false;
    Time pollSentAt {};
    Time nextPollAt {};
    uint32_t unansweredPolls = 0; // in a row
    Duration replacedDelay {};    // between orders while another server answers
    Duration resetDelay {};       // between looks while they are not answered
    bool isPollDue(Time now) const;
    Duration pollWait(Time now) const;

    // Ends. Returns false for one that was seen before.
    bool recordEnd(uint64_t number);
    uint64_t ackedThrough() const
    {
        return heldEnds_.empty() ? seenThrough_ : *heldEnds_.begin() - 1;
    }
    // An end that may not be acknowledged yet, because its job's keeper has not stored it.
    void holdEnd(uint64_t number) { heldEnds_.insert(number); }
    void releaseEnd(uint64_t number) { heldEnds_.erase(number); }
    // The end is held until the lease has lapsed with nothing running.
    void supersedeEnd(uint64_t number) { supersededEnds_.insert(number); }
    bool hasSupersededEnds() const { return !supersededEnds_.empty(); }
    // Nothing runs: releases the superseded ends if the lease has lapsed. Returns whether it has.
    bool tryReleaseSupersededEnds(Time now);
    // The pending look acknowledges ends up to here; noteAcknowledged() when it is answered.
    void setPollAck(uint64_t number) { pollAck_ = number; }
    void commitPollAck() { acknowledged_ = std::max(acknowledged_, pollAck_); }
    bool hasUnacknowledged() const { return ackedThrough() > acknowledged_; }

    // Forgets what belongs to an incarnation that has ended.
    void resetIncarnationState();
    // A start that was not answered was stopped, so that the server refuses it if it comes late.
    void recordCancelledStart(const std::string &task, uint32_t run, Time now);
    // In a new incarnation, which does not refuse them: adds such starts as runs to be stopped.
    void restoreCancelledStarts(Time now);

    Ownership ownership = Ownership::None;
    uint64_t token = 0;
    bool isReleasing = false;
    bool isRegistered = true; // its entry is present
    Time closedUntil {};      // full or unreachable for now
    Time endSeenAt {};        // of the oldest end that is not acknowledged

    // Health, kept by Health.
    double logSlowness = 0; // logarithm of run time over that on an ordinary server
    uint32_t samples = 0;
    uint32_t consecutiveFaults = 0;
    std::string lastFaultJob;
    Time avoidUntil {};
    Duration avoidance {};

private:
    ServerInfo info_;
    const PoolOptions &options_;
    std::map<std::string, Run> runs_;
    Demand used_ {0, 0, 0};
    std::optional<int64_t> clockMs_;
    Time clockReadAt_ {};
    Time latestLeaseEnd(Time now) const;
    int64_t leaseUntilMs(Time now) const;

    // Latest ends of the leases that servers may have got, by the kind of order that carried them.
    Time startLeaseEnd_ {};
    Time pollLeaseEnd_ {};
    Time committedPollLeaseEnd_ {}; // without the pending look
    uint64_t seenThrough_ = 0;
    uint64_t acknowledged_ = 0;
    uint64_t pollAck_ = 0;
    std::set<uint64_t> heldEnds_;
    std::set<uint64_t> supersededEnds_; // of heldEnds_
    Time lapseAt_ {};                   // zero: something runs

    struct CancelledStart
    {
        uint32_t run = 0;
        Time until {}; // it is not carried out any more
    };
    std::map<std::string, CancelledStart> cancelledStarts_; // by task
    void pruneCancelledStarts(Time now);
};

} // namespace lovage::pool
