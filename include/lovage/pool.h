// Places jobs on the backend servers that one VM holds: admission, queueing, choice of a server,
// orders and their outcomes. The pool does no I/O: callers pass in events with the current time and
// carry out the actions that it returns.
#pragma once

#include "lovage/core.h"
#include "lovage/job.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

// Self-description of a backend server that runs tasks under a lease.
struct ServerInfo
{
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string address; // "ip:port"
    std::vector<std::string> labels;
    Demand capacity;
    // Incarnation of the server process as its entry names it; 0 if it names none. The entry may be
    // outdated or of another writer, so only a list of runs shows which process is alive.
    uint64_t incarnation = 0;
    bool isLeaving = false; // whether the server accepts no new work

    auto operator<=>(const ServerInfo &) const = default;
};

// Identifies the caller's request behind a job: the VM that holds the caller's connection and the
// number of the request on that VM. A wide job may be split into parts that different pools run.
struct JobTicket
{
    std::string vm;
    uint64_t incarnation = 0; // incarnation of the VM
    uint64_t number = 0;
    uint32_t part = 0;
    // Number of the offer within the request. A part may be offered to the same pool twice, and an
    // answer to the first offer must not count for the second one.
    uint32_t offer = 0;

    auto operator<=>(const JobTicket &) const = default;
};

// The right of a pool to run a job. The VM with the caller's connection renews the lease while the
// caller is connected. The lease ends by the clock of the pool's VM, so it also ends if no message
// gets through, or if one arrives late.
struct JobLease
{
    uint64_t poolIncarnation = 0; // incarnation of the pool's VM, to whose clock `until` refers
    Time until {};

    auto operator<=>(const JobLease &) const = default;
};

// Extends the leases of jobs. Sent by the VM that has the connections of their callers.
struct LeaseRenewal
{
    JobLease lease;
    std::vector<uint64_t> requests {}; // numbers of the sender's requests

    auto operator<=>(const LeaseRenewal &) const = default;
};

// When an offer was made and must be answered, on the clock of the pool's VM. As with the lease,
// the time is a lower bound, so an offer counts as older than it is rather than as younger.
struct OfferTiming
{
    Time offeredAt {};
    // The pool refuses the offer if it reads it later than this after `offeredAt`.
    Duration answerWithin {};

    auto operator<=>(const OfferTiming &) const = default;
};

// Identifies the process to which an offer was made, and when. With it, a pool that does not know
// the offer can tell whether it has ever accepted it.
struct OfferOrigin
{
    uint64_t poolIncarnation = 0; // incarnation of the pool's VM, to whose clock `offeredAt` refers
    Time offeredAt {};            // OfferTiming::offeredAt

    auto operator<=>(const OfferOrigin &) const = default;
};

// A job offered to a pool. All times but the lease and the timing are relative, because the clocks
// of VMs differ.
struct JobOffer
{
    JobTicket ticket;
    JobSpec job;
    uint32_t firstIndex = 0; // index within the step of the first task of this part
    std::string queue;
    std::string service;
    uint32_t priority = 0;
    uint32_t attempts = 1;
    // The latency objective is stretchFactor times the run time of the critical path, plus
    // objectiveSlack.
    double stretchFactor = 1;
    Duration objectiveSlack {};
    // Whether no other pool will be asked. If not, a pool that would meet the objective without a
    // margin refuses, since another pool may have faster servers free.
    bool isLastOffer = true;
    Duration elapsed {};                  // time since the caller submitted the job
    Duration deadline {};                 // time left until the caller stops waiting
    std::optional<OfferTiming> timing {}; // absent for an offer to the pool on the same VM
    std::optional<JobLease> lease {};     // without a lease, the job ends together with the pool

    auto operator<=>(const JobOffer &) const = default;
};

enum class JobResult {
    Completed, // every task succeeded
    Failed,    // a task failed as often as its queue allows
    Refused,   // no task was ever ordered to start
    Abandoned, // some tasks may have run, but the job will not complete
};

std::string_view toString(JobResult result);

struct JobAnswer
{
    JobTicket ticket;
    JobResult result = JobResult::Refused;
    std::string reason;
    // The remaining fields are set for Refused only.
    Duration retryAfter {};          // time until capacity is expected
    uint32_t couldRun = 0;           // number of tasks of the first step that could end in time
    uint32_t couldRunWithMargin = 0; // part of couldRun that ends in time with some margin
    bool wouldAccept = false;        // whether the same offer would be accepted with isLastOffer
    bool isEvacuated = false;        // whether the pool's data centre is evacuated

    auto operator<=>(const JobAnswer &) const = default;
};

// Tells the VM with the caller's connection that a pool has accepted the job. The answer follows
// when the job has ended.
struct OfferAccepted
{
    JobTicket ticket;

    auto operator<=>(const OfferAccepted &) const = default;
};

// A run of a task of a stored job that is to be started.
struct TaskStart
{
    uint32_t index = 0; // index of the task within its step
    uint32_t run = 0;
    std::string checkpoint {}; // checkpoint to resume from; empty for none

    auto operator<=>(const TaskStart &) const = default;
};

// The VM that keeps a stored job. Only the VM that holds the job's partition of the journal may
// start tasks of the job; the epoch increases whenever the partition changes hands.
struct KeeperRef
{
    std::string vm;
    uint64_t incarnation = 0;
    uint32_t partition = 0;
    uint64_t epoch = 0;

    auto operator<=>(const KeeperRef &) const = default;
};

// Tasks of one step of a stored job. Tasks that cannot start immediately are reported as not
// started instead of being queued.
struct TaskBatch
{
    KeeperRef keeper;
    // Incarnation of the VM with the pool. A process that started later ignores the batch: it
    // cannot know whether the tasks still run.
    uint64_t poolIncarnation = 0;
    // Time on the clock of the pool's VM after which the pool does not start the tasks. The keeper
    // may have given them to another pool by then.
    Time startBy = Time::max();
    std::string job;
    std::string payload;
    std::string queue;
    std::string service;
    Step step;
    uint32_t stepNumber = 0;
    uint32_t occurrence = 0;
    std::vector<TaskStart> tasks;

    auto operator<=>(const TaskBatch &) const = default;
};

// Stops all runs of a stored job.
struct StopJob
{
    KeeperRef keeper;
    std::string job;

    auto operator<=>(const StopJob &) const = default;
};

// Identifies one run of a task on a server.
struct RunRef
{
    std::string server;
    std::string task; // text form of TaskName
    uint32_t run = 0;

    auto operator<=>(const RunRef &) const = default;
};

// Orders to a server. Each order is answered by exactly one event with the same reference.
struct OrderStart
{
    RunRef ref;
    std::string address;
    std::string payload;
    std::string checkpoint {}; // checkpoint to resume from; empty for none
    int64_t leaseUntilMs = 0;  // end of the lease on the server's clock
    uint64_t token = 0;
};
struct OrderStop
{
    RunRef ref;
    std::string address;
    uint64_t token = 0;
};
// Requests the lists of running and ended runs of a server. It may extend the lease and acknowledge
// ended runs.
struct OrderPoll
{
    std::string server;
    std::string address;
    uint64_t token = 0;
    uint64_t ackedThrough = 0;
    int64_t leaseUntilMs = 0; // end of the lease on the server's clock; 0: lease unchanged
    Duration wait {};    // longest time for which the server delays its answer until a run ends
    Duration timeout {}; // time after which the answer counts as lost
};

// Result of an order to a server.
enum class OrderResult {
    Done,
    Fenced,     // another VM has used a higher fencing token
    Superseded, // this run or a later one of the task has already ended on the server
    Late,       // the lease had expired on the server's clock
    NoRoom,
    Unhealthy,   // the server did not execute the order
    OtherServer, // another server answers at the address and did not execute the order
    Invalid,     // the server does not accept the order at all
    NotSent,     // no byte reached the server
    Unknown,     // no answer; the order may have been executed or may be executed later
};

std::string_view toString(OrderResult result);

// Reading of a server's steady clock in milliseconds, which begins anew with each incarnation;
// nullopt if an answer carries none. The answers to starts and stops tell nothing else of the
// server, so they do not show which incarnation has executed the order.
using ServerClock = std::optional<int64_t>;

enum class RunEnd { Succeeded, Failed, Stopped, Lapsed, Broken };

std::string_view toString(RunEnd end);

// Outcome of a run of a stored job. It is reported repeatedly until the keeper confirms it; only
// then is the ended run acknowledged to the server, which then deletes it.
struct TaskOutcome
{
    enum class Kind {
        NotStarted, // the run was not started and never will be
        Lost,       // the run is over, but the server did not list how it ended
        Ended,
    };

    std::string task; // text form of TaskName
    uint32_t run = 0;
    Kind kind = Kind::NotStarted;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint {};

    auto operator<=>(const TaskOutcome &) const = default;
};

std::string_view toString(TaskOutcome::Kind kind);

using PoolAction =
        std::variant<OrderStart, OrderStop, OrderPoll, JobAnswer, OfferAccepted, TaskOutcome>;

struct RunningRow
{
    std::string task;
    uint32_t run = 0;
    uint32_t percent = 0; // share of its work that is done
    std::string checkpoint {};

    auto operator<=>(const RunningRow &) const = default;
};
struct EndedRow
{
    uint64_t number = 0; // sequence number of the ended run within the server's incarnation
    std::string task;
    uint32_t run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint {};

    auto operator<=>(const EndedRow &) const = default;
};
struct PollReply
{
    std::string server;
    OrderResult result = OrderResult::Unknown;
    ServerClock clock {};
    std::optional<uint64_t> incarnation {}; // incarnation whose runs are listed
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
    // Whether `ended` has every end that is not acknowledged. Servers list a limited number at a
    // time, so a run that is in neither list may have ended all the same.
    bool areEndsComplete = true;
};

// Right to place jobs on the servers of a shard. Servers are divided into shards by their id, and
// each shard is granted to one VM at a time.
struct ShardGrant
{
    uint64_t token = 0;       // fencing token; increases with each change of holder
    bool isReleasing = false; // whether to release the shard as soon as nothing runs on it

    auto operator<=>(const ShardGrant &) const = default;
};
using ShardGrants = std::map<uint32_t, ShardGrant>;

uint32_t shardOf(std::string_view serverId, uint32_t shardCount);

// Free capacity and backlog of one service in a pool, as published to other VMs.
struct ServiceLoad
{
    std::string service;
    uint32_t servers = 0; // number of servers that accept work
    // Sum over the servers of the part of the free cores that tasks of the recent sizes can use.
    uint64_t freeMilliCores = 0;
    double queuedWork = 0; // core-seconds of work that is not started yet
    double rate = 0;       // core-seconds of work per second at full load
    // Time for which input of the pool's VM waits until it is handled; zero if the VM is in time.
    Duration inputLag {};

    auto operator<=>(const ServiceLoad &) const = default;
};

// Time limits that keep the runs of a job apart from those of its repetition. A caller that has
// lost its connection sends the job again, possibly to a VM that offers it to another pool. The
// first pool must have ended its runs by then, because the two pools do not know of each other's
// jobs.
struct ResubmissionLimits
{
    // Shortest time after which a caller sends a job again, counted from the loss of its connection
    // or from the answer that the job may have run.
    Duration resubmitDelay = std::chrono::milliseconds(1300);
    // Maximum time that a server takes to stop a task.
    Duration stopTime = std::chrono::milliseconds(50);

    // Time by which every run of the job has ended, counted as above.
    constexpr Duration runLimit() const { return resubmitDelay - messageAllowance; }
    // Duration of the lease of a job, counted from the latest time at which the VM with the
    // caller's connection knew it to be open.
    constexpr Duration jobLease() const { return runLimit() - stopAllowance(); }
    // Maximum time from the end of a job's lease until its runs have ended.
    constexpr Duration stopAllowance() const { return reactionAllowance + stopTime; }

    // Maximum time for which the answer to a caller, or the loss of its connection, and an order to
    // a server are delayed.
    static constexpr Duration messageAllowance = std::chrono::milliseconds(50);
    // Maximum time from the end of a job's lease until its runs are told to stop: a tick of the
    // pool, and the order to the server.
    static constexpr Duration reactionAllowance = std::chrono::milliseconds(200);
    // A shorter lease does not outlast the loss of two reports.
    static constexpr Duration minJobLease = std::chrono::milliseconds(500);

    auto operator<=>(const ResubmissionLimits &) const = default;
};

struct PoolOptions
{
    ResubmissionLimits resubmission;
    uint32_t shardCount = 24;
    // Duration of the requested leases.
    Duration lease = std::chrono::milliseconds(1000);
    // Longest lease that servers grant. A request for a longer one is cut to it, for example if the
    // requested end refers to the clock of an incarnation that has ended.
    Duration maxLease = std::chrono::milliseconds(1000);
    // Maximum relative drift of a server's steady clock.
    double clockError = 0.02;
    // Maximum time that a server takes to stop a task.
    Duration stopTime = std::chrono::milliseconds(50);
    // Longest wait of one poll. Together with answerTimeout it takes about a third of the lease,
    // which leaves time for two more polls when an answer is lost.
    Duration pollWait = std::chrono::milliseconds(250);
    // Time after which an answer counts as lost, not counting the wait that the poll asked for.
    Duration answerTimeout = std::chrono::milliseconds(100);
    // Delay of the acknowledgement of ended runs on an idle server. It avoids an extra poll when
    // another start follows immediately.
    Duration idleAckDelay = std::chrono::milliseconds(40);
    // A job that has not started is dropped when it cannot end within its objective times this
    // factor, because it is then no longer worth its capacity.
    double lateLimitFactor = 3;
    // Other VMs treat a VM as lost when they have not heard from it for this time.
    Duration peerTimeout = std::chrono::milliseconds(1000);
    // Shortest and longest time for which a suspect server gets no work. The time doubles each
    // time the server is avoided again before a run there has succeeded.
    Duration minAvoidance = std::chrono::milliseconds(1000);
    Duration maxAvoidance = std::chrono::seconds(16);
    // Whether nothing is started before the first call of setEvacuated().
    bool needsEvacuationState = false;
    // Time from the begin of an evacuation in which jobs that have started may start their
    // remaining tasks.
    Duration evacuationGrace = std::chrono::milliseconds(1000);
};

struct PoolCounters
{
    uint64_t offered = 0;
    uint64_t refused = 0;
    uint64_t completed = 0;
    uint64_t failed = 0;
    uint64_t abandoned = 0;
    uint64_t offersLate = 0;    // offers refused because they were read too late
    uint64_t leasesExpired = 0; // jobs whose lease was not renewed in time
    uint64_t starts = 0;
    uint64_t startsRejected = 0;
    uint64_t startsUnanswered = 0;
    uint64_t stops = 0;
    uint64_t polls = 0;
    uint64_t pollsUnanswered = 0;
    uint64_t serversLost = 0;      // servers whose shard another VM took over or whose grant ended
    uint64_t runsLost = 0;         // runs whose lease lapsed or that the server no longer lists
    uint64_t runsMovedSlow = 0;    // runs stopped and started elsewhere because they were slow
    uint64_t runsMovedHanging = 0; // the same for runs without progress
    uint64_t runsKeptSlow = 0;     // runs that are too slow and stay on their servers
    uint64_t jobsGivenUpSlow = 0;  // jobs given up because a run cannot end in time on any server
    uint64_t outcomes = 0; // reports of outcomes of runs of stored jobs, including repeated ones
};

// A decision of the pool, with its inputs, for the log.
struct PoolLogEntry
{
    std::string event;
    std::string job;     // id of the job; empty if no job is involved
    std::string details; // "name=value" pairs
};

// Places jobs on the servers of the granted shards. Not thread-safe.
//
// Callers call tick() at least every 20 ms, read the clock right before each event, carry out the
// actions in order and report the answer to every order by exactly one event.
class Pool
{
public:
    explicit Pool(PoolOptions options);
    ~Pool();
    Pool(Pool &&) noexcept;
    Pool &operator=(Pool &&) noexcept;

    // Sets the currently registered servers of this data centre.
    void setServers(const std::vector<ServerInfo> &servers, Time now);
    void setGrants(const ShardGrants &grants, Time now);
    // Sets the time for which input of this VM waits. It becomes part of the load.
    void setInputLag(Duration lag);
    // Refuses all further jobs.
    void drain();
    // Sets whether the data centre of the servers is evacuated. If so, the pool reports no
    // capacity, refuses new and waiting jobs and starts no tasks of stored jobs. Jobs that have
    // started may start further tasks for evacuationGrace and are abandoned if that does not
    // suffice. Runs are not stopped unless their job is abandoned.
    void setEvacuated(bool isEvacuated, Time now);
    // Refuses further jobs while set, because this VM gives up its shards.
    void setClosed(bool isClosed);

    void offer(JobOffer offer, Time now);
    // Drops a job and stops its runs, because its caller has disconnected or cancelled it. The
    // answer tells whether a task was ordered to start.
    void withdraw(const JobTicket &ticket, Time now);
    // Withdraws an offer whose sender needs an answer. An offer that this pool has not accepted is
    // answered as refused, and is refused if it arrives later. There is no answer if the offer is
    // so old that the pool may have forgotten its end.
    void withdrawUnanswered(const JobTicket &ticket, Time offeredAt, Time now);
    // Withdraws all jobs of a VM and stops the runs of stored jobs that it keeps. Unless
    // exceptIncarnation is 0, that incarnation of the VM is left out.
    void withdrawAll(const std::string &vm, uint64_t exceptIncarnation, Time now);
    // Extends the leases of jobs of the VM. Requests without a job are ignored: a job that was
    // given up is not resumed.
    void renewLeases(const std::string &vm, uint64_t incarnation, const LeaseRenewal &renewal);
    // Reports that the process was suspended for a while. Messages that arrived during the pause
    // have not been read yet, so nothing is started until there was time to process them. After a
    // pause of peerTimeout or longer, other VMs have given up their jobs here, so these are
    // withdrawn; `self` is the name of this VM.
    void onPaused(Duration pause, const std::string &self, Time now);

    // Sets whether stored jobs exist, as is assumed by default. While they may exist, ended runs
    // that this pool did not start are reported before they are acknowledged, because an earlier
    // holder may have started them for a keeper.
    void expectStoredJobs(bool exist);
    void startBatch(TaskBatch batch, Time now);
    void stopJob(const StopJob &stop, Time now);
    // Records that a VM has become the keeper of a partition, and stops the runs that earlier
    // keepers of the partition had started.
    void updateKeeperEpoch(uint32_t partition, uint64_t epoch, Time now);
    // Records that the keeper has stored the outcome. If another run has superseded this one, its
    // end is acknowledged only after the lease of its server has lapsed.
    void confirmOutcome(const std::string &task, uint32_t run, bool isSuperseded, Time now);

    void onStartAnswered(const RunRef &ref, OrderResult result, ServerClock clock, Time now);
    void onStopAnswered(const RunRef &ref, OrderResult result, ServerClock clock, Time now);
    void onPollAnswered(const PollReply &reply, Time now);
    void tick(Time now);

    // Starts queued tasks and returns the actions since the last call.
    std::vector<PoolAction> takeActions(Time now);
    std::vector<PoolLogEntry> takeLogEntries();

    // Returns whether nothing runs on the servers of shards that are being released.
    bool isReleaseReady() const;
    // Returns whether no job is open and no run is left on the servers of this pool.
    bool isIdle() const;
    // Returns the VMs whose jobs are open in this pool, and the keepers of its runs.
    std::set<std::string> servedVms() const;
    // Returns the number of servers that this pool holds and may place on.
    size_t serverCount() const;
    // Returns the number of runs on the servers of this pool.
    size_t runCount() const;
    // Returns the number of registered servers, held or not.
    size_t knownServerCount() const;
    std::vector<ServiceLoad> load(Time now) const;
    const PoolCounters &counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lovage
