// State of one backend server as seen by the VM that holds its shard.
#pragma once

#include "lovage/pool.h"

#include <map>
#include <set>
#include <vector>

namespace lovage::pool {

// Number of a job within the pool.
using JobNumber = uint64_t;
// Job number of the runs that an earlier holder of the server started.
constexpr JobNumber foreignJob = 0;
// Job number of the runs of stored jobs, which are queued by their keeper and not in the pool.
constexpr JobNumber storedJob = UINT64_MAX;

// Stored job of a run, and the keeper that asked for the run.
struct StoredOrigin
{
    KeeperRef keeper;
    std::string job;
    std::string queue;
    Duration declared {};  // declared run time
    Duration predicted {}; // predicted run time on an ordinary server
};

enum class RunState {
    Starting, // the start was ordered, but not answered yet
    Running,
    Unconfirmed, // the answer to the start was lost; a poll shows whether the task runs
    Stopping,    // the stop was ordered
};

// A run of a task that the server may be executing.
struct Run
{
    JobNumber job = foreignJob;
    size_t task = 0; // index of the task within the job
    uint32_t number = 0;
    Demand demand;
    RunState state = RunState::Starting;
    Time orderedAt {};
    uint32_t orderedTo = 0; // LeasedServer::incarnationCount() when the start was sent
    std::string address {}; // address to which the start was sent, or at which the run was found
    Time confirmedAt {};    // time at which the start was known to be executed; zero: not yet
    // Whether a list of the current incarnation has shown the run. Until then it is not known which
    // incarnation executes it.
    bool isListed = false;
    // Whether the clock in the answer to the start proves that the incarnation known then has
    // executed it.
    bool isIncarnationProven = false;
    Duration expected {};        // predicted run time on this server
    bool isSlowRecorded = false; // whether the run counted against the speed of the server
    // Server's clock when it answered the start; nullopt if the answer did not tell.
    ServerClock startClockMs {};
    // Logarithm of the ratio of the projected run time to the prediction for an ordinary server,
    // and its standard deviation; nullopt before there is a projection.
    std::optional<double> logRatio {};
    double logRatioError = 0;
    Time checkAt {};                // time at which to check the progress again; zero: none
    uint32_t percent = 0;           // percentage of its work that is done, as of the latest poll
    bool needsMove = false;         // whether the run would end too late on this server
    std::string_view moveReason {}; // reason for needsMove
    bool isKeepRecorded = false;    // whether it was logged that the run is slow but stays
    bool isRefused = false; // whether the server has answered that it does not execute the start
    bool isStopPending = false;
    Time stopSentAt {};
    uint32_t stopSentTo = 0; // LeasedServer::incarnationCount() when the latest stop was sent
    Time stopConfirmedAt {}; // time at which the server confirmed the stop; zero: not yet
    Time nextStopAt {};
    std::optional<StoredOrigin> stored {};
    std::string checkpoint {}; // latest checkpoint that the server listed
    bool isServing = false;
    bool usesSpareCores = false;
    // Time by which the run must have ended. The lease of its server is not extended beyond it, so
    // that the run ends even if it cannot be stopped.
    Time endBy = Time::max();
};

// Whether this VM may place work on the server.
enum class Ownership {
    None,       // this VM has no grant for the server's shard, or another VM used a higher token
    TakingOver, // the first poll with the current token is not answered yet
    Held,       // this VM may place work on the server
};

// Run that ended on a server.
struct EndedRun
{
    JobNumber job = foreignJob;
    std::string queue {};
    Time endedAt {};
    double logRatio = 0; // logarithm of the ratio of its time to the prediction
};

// Time after which an unanswered order can no longer be executed.
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

    // Returns whether the free capacity covers the demand.
    bool fits(const Demand &demand) const;
    uint32_t freeMilliCores() const;
    // Returns whether a new run may be ordered now.
    bool isOpen(Time now) const;

    // Returns the runs by the text form of their task names.
    std::map<std::string, Run> &runs() { return runs_; }
    const std::map<std::string, Run> &runs() const { return runs_; }
    Run *findRun(const RunRef &ref);
    void add(const std::string &task, Run run);
    Run remove(const std::string &task);
    bool hasForeignRuns() const;

    // Returns whether the reading, of an answer to an order that was sent at the given time, is of
    // another incarnation than the known one.
    bool contradictsClock(ServerClock clock, Time orderSentAt) const;
    // Returns whether no incarnation that began after the known one was last heard of can show the
    // reading: its clock would be behind.
    bool provesIncarnation(ServerClock clock, Time now) const;
    // Takes the reading of a list, which names its incarnation.
    void setClock(ServerClock clock, Time listSentAt, Time now);
    // Takes the reading of an answer to a start or a stop. The order was sent at the given time, to
    // an incarnation that is still the known one.
    void updateClock(ServerClock clock, Time orderSentAt, Time now);
    // Returns a lower bound of the clock of the known incarnation at the given time; nullopt before
    // its first answer.
    std::optional<int64_t> clockMs(Time time) const;
    // Return the end of the lease to request with a start or a poll, on the server's clock. The
    // lease has certainly lapsed by `limit`; a poll requests none (0) if there is no time left
    // until then. At most one poll is pending at a time.
    int64_t leaseForStart(Time now, Time limit);
    int64_t leaseForPoll(Time now, Time limit);
    // Counts the lease as the longest one, because a list shows a run that was not ordered from the
    // known incarnation by this VM.
    void assumeLongestLease(Time now)
    {
        startLeaseEnd_ = std::max(startLeaseEnd_, now + longestLease());
    }
    // Takes back the lease of a poll that did not reach the server.
    void rollBackPollLease() { pollLeaseEnd_ = committedPollLeaseEnd_; }
    // Keeps the lease of a poll that may have reached the server.
    void commitPollLease() { committedPollLeaseEnd_ = pollLeaseEnd_; }
    // Returns the latest time at which the lease, as far as it was requested, has lapsed.
    Time leaseEnd() const { return std::max(startLeaseEnd_, pollLeaseEnd_); }
    // Returns the longest time for which runs may go on after an order has extended the lease.
    Duration longestLease() const { return latestLeaseEnd(Time {}, options_.maxLease) - Time {}; }
    // Returns whether the run must have ended because the lease of its incarnation has lapsed.
    bool hasLapsed(const Run &run, Time now) const;
    // Records that an order that was sent at the given time may be executed late.
    void onOrderUnanswered(Time sentAt);

    bool isPollPending = false;
    Time pollSentAt {};
    std::string pollAddress {}; // address to which the latest poll was sent
    bool doesPollExtendLease = false;
    Time nextPollAt {};
    uint32_t unansweredPolls = 0; // number of failed polls since the last answer to a poll
    Duration replacedDelay {}; // delay between orders while another server answers at the address
    Duration resetDelay {};    // delay between polls while the answers are lost
    bool isPollDue(Time now) const;
    Duration pollWait(Time now) const;

    // Records that the server listed the end of a run. Returns false if it was seen before.
    bool recordEnd(uint64_t number);
    // Returns the number up to which the next poll acknowledges ends; 0 if it acknowledges none. An
    // incarnation forgets ends up to this number even if it is meant for the previous one. A poll
    // after one that was not answered is the most likely to meet a new incarnation, so it
    // acknowledges nothing.
    uint64_t ackForPoll() const
    {
        return hasUnacknowledged() && unansweredPolls == 0 && !isListRequired_ ? ackedThrough() : 0;
    }
    // Delays the acknowledgement of an end until releaseEnd(), because its job's keeper has not
    // stored it yet.
    void holdEnd(uint64_t number) { heldEnds_.insert(number); }
    void releaseEnd(uint64_t number) { heldEnds_.erase(number); }
    // Holds the end until the lease has lapsed with nothing running.
    void supersedeEnd(uint64_t number) { supersededEnds_.insert(number); }
    bool hasSupersededEnds() const { return !supersededEnds_.empty(); }
    // Called while nothing runs on the server. Releases the superseded ends and returns true if the
    // lease has lapsed.
    bool tryReleaseSupersededEnds(Time now);
    // Sets the number up to which the pending poll acknowledges ends. It takes effect when
    // commitPollAck() is called after the answer.
    void setPollAck(uint64_t number) { pollAck_ = number; }
    void commitPollAck() { acknowledged_ = std::max(acknowledged_, pollAck_); }
    bool hasUnacknowledged() const { return ackedThrough() > acknowledged_; }

    // Incarnation that the latest list named; nullopt before the first list.
    std::optional<uint64_t> incarnation() const { return incarnation_; }
    // Number of incarnations that were seen.
    uint32_t incarnationCount() const { return incarnationCount_; }
    // Returns whether a list is of another incarnation than the lists before it.
    bool isNewIncarnation(const PollReply &list) const;
    // Sets the incarnation and clears the state that belongs to the previous one. Its lease counts
    // as the longest one if orders to the previous incarnation may have extended it.
    void beginIncarnation(uint64_t incarnation, bool mayHaveLease, Time now);
    // Clears the state that belongs to the incarnation.
    void resetIncarnationState();
    // Demands a list of runs before new runs are ordered, because another incarnation may be alive
    // than the known one. Returns false if a list is demanded already.
    bool requireList(Time now);
    // Notes the answer to a poll for a list.
    void onListed(Time sentAt) { isListRequired_ = isListRequired_ && sentAt < listRequiredAt_; }
    // Records a start that was not answered and then stopped. The server refuses such a start if it
    // arrives late, but a new incarnation of the server does not.
    void recordCancelledStart(const std::string &task, uint32_t run, Time now);
    bool isCancelledStart(const RunRef &ref) const;
    bool hasCancelledStarts(Time now) const;
    // Adds the recorded starts as runs to be stopped, because the new incarnation of the server
    // would execute them if they arrived late.
    void restoreCancelledStarts(Time now);

    Ownership ownership = Ownership::None;
    uint64_t token = 0;
    bool isReleasing = false;
    bool isRegistered = true; // whether the server has an entry in the server list
    // Time until which no new run is ordered, because the server is full, unhealthy or unreachable.
    Time closedUntil {};
    // Time from which idleAckDelay counts: the time at which the first unacknowledged end was seen,
    // or that of the latest confirmation of an outcome.
    Time endSeenAt {};

    // State of the health estimation in health.cpp.
    // Logarithm of the ratio of the server's run times to run times on an ordinary server.
    double logSlowness = 0;
    uint32_t samples = 0;               // number of runs from which logSlowness was learned
    std::vector<EndedRun> endedRuns {}; // latest successful runs, one for each job
    ServerClock listClockMs {};         // clock in the latest list; nullopt if it had none
    uint32_t consecutiveFaults = 0;
    std::string lastFaultJob;
    Time avoidUntil {};
    Duration avoidance {};

private:
    ServerInfo info_;
    const PoolOptions &options_;
    std::map<std::string, Run> runs_;
    Demand used_ {0, 0, 0};
    std::optional<uint64_t> incarnation_;
    uint32_t incarnationCount_ = 0;
    bool isListRequired_ = false;
    Time listRequiredAt_ {};
    Time incarnationKnownAt_ {}; // time of the first list of the incarnation
    Time aliveAt_ {};            // latest time at which the incarnation was certainly alive
    ServerClock clockMs_;
    Time clockReadAt_ {};
    // Returns the highest number up to which all ends may be acknowledged.
    uint64_t ackedThrough() const
    {
        return heldEnds_.empty() ? seenThrough_ : *heldEnds_.begin() - 1;
    }
    Time latestLeaseEnd(Time now, Duration lease) const;
    Duration leaseWithin(Time now, Time limit) const;
    int64_t leaseUntilMs(Time now, Duration lease) const;

    // Latest possible end of the lease as extended by start orders or before the incarnation was
    // known, by polls including the pending one, and by polls without the pending one.
    Time startLeaseEnd_ {};
    Time pollLeaseEnd_ {};
    Time committedPollLeaseEnd_ {};
    // Times at which the latest order that extends the lease was sent, and the latest such order
    // without an answer. Orders may be executed until maxOrderDelay later, by an incarnation on
    // whose clock their lease has another end.
    Time leaseSentAt_ {};
    Time unansweredLeaseSentAt_ {};
    // Latest end of a lease that a late order of before the incarnation may have extended.
    Time lateLeaseEnd_ {};
    uint64_t seenThrough_ = 0;
    uint64_t acknowledged_ = 0;
    uint64_t pollAck_ = 0;
    // Numbers of the ends that must not be acknowledged yet.
    std::set<uint64_t> heldEnds_;
    // Numbers in heldEnds_ that are held until the lease has lapsed with nothing running.
    std::set<uint64_t> supersededEnds_;
    // Time at which the lease has lapsed, so that superseded ends are released; zero if there are
    // none or while something runs on the server.
    Time lapseAt_ {};

    struct CancelledStart
    {
        uint32_t run = 0;
        Time until {}; // time after which the start can no longer be executed
    };
    // Starts that were not answered and then stopped, by the text form of the task name.
    std::map<std::string, CancelledStart> cancelledStarts_;
    void pruneCancelledStarts(Time now);
};

} // namespace lovage::pool
