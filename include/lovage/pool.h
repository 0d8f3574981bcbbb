// Placement of jobs on the backend servers that one VM has a lease on: admission, queue, choice of
// server, orders and their outcome. Events and a time go in, actions come out; no I/O.
#pragma once

#include "lovage/core.h"
#include "lovage/job.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

// A backend server that runs tasks under a lease, as it describes itself.
struct ServerInfo
{
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string address; // "ip:port"
    std::vector<std::string> labels;
    Demand capacity;
    uint64_t incarnation = 0; // start of the process; a new one knows nothing of the last
    bool isLeaving = false;   // takes no new work

    auto operator<=>(const ServerInfo &) const = default;
};

// The caller's request that a job answers: the VM with the connection and its number there. A wide
// job may be divided into parts that different pools run.
struct JobTicket
{
    std::string vm;
    uint64_t incarnation = 0; // of the VM
    uint64_t number = 0;
    uint32_t part = 0;

    auto operator<=>(const JobTicket &) const = default;
};

// A job for a pool. Times are relative, because clocks of VMs differ.
struct JobOffer
{
    JobTicket ticket;
    JobSpec job;
    uint32_t firstIndex = 0; // of the tasks of a part within their step
    std::string queue;
    std::string service;
    uint32_t priority = 0;
    uint32_t attempts = 1;
    double stretchFactor = 1;   // the latency objective is this times the longest chain of run
    Duration objectiveSlack {}; // times, plus this
    // Whether no other pool will be asked. Until then a pool that would only just make it refuses,
    // since another one may have faster servers free.
    bool isLastOffer = true;
    Duration elapsed {};  // since the caller submitted the job
    Duration deadline {}; // left until the caller stops waiting

    auto operator<=>(const JobOffer &) const = default;
};

enum class JobResult {
    Completed, // every task has succeeded
    Failed,    // a task has failed as often as its queue allows
    Refused,   // no task was ever ordered to start
    Abandoned, // some tasks may have run; the job will not complete
};

std::string_view toString(JobResult result);

struct JobAnswer
{
    JobTicket ticket;
    JobResult result = JobResult::Refused;
    std::string reason;
    Duration retryAfter {};          // of Refused: when room is expected
    uint32_t couldRun = 0;           // of Refused: tasks of the first step that could end in time
    uint32_t couldRunWithMargin = 0; // of couldRun: those that end in time with some margin
    bool wouldAccept = false;        // of Refused: the last offer of this job would be accepted

    auto operator<=>(const JobAnswer &) const = default;
};

// One run of a task of a stored job that is to be started.
struct TaskStart
{
    uint32_t index = 0; // of the task within its step
    uint32_t run = 0;
    std::string checkpoint {}; // to go on from; empty for none

    auto operator<=>(const TaskStart &) const = default;
};

// The VM that keeps a stored job: only the holder of the job's partition of the journal may have
// its tasks started, and the epoch of that hold only rises.
struct KeeperRef
{
    std::string vm;
    uint64_t incarnation = 0;
    uint32_t partition = 0;
    uint64_t epoch = 0;

    auto operator<=>(const KeeperRef &) const = default;
};

// Tasks of one step of a stored job. What cannot start at once is given back.
struct TaskBatch
{
    KeeperRef keeper;
    // Of the VM with the pool. A process that has started since does not answer: it cannot know
    // whether the tasks still run.
    uint64_t poolIncarnation = 0;
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

// Ends the runs of a stored job.
struct StopJob
{
    KeeperRef keeper;
    std::string job;

    auto operator<=>(const StopJob &) const = default;
};

// Names one run of a task on a server.
struct RunRef
{
    std::string server;
    std::string task; // text form of TaskName
    uint32_t run = 0;

    auto operator<=>(const RunRef &) const = default;
};

// Orders to a server. Each is answered by exactly one event with the same reference.
struct OrderStart
{
    RunRef ref;
    std::string address;
    uint64_t incarnation = 0;
    std::string payload;
    std::string checkpoint {}; // to go on from; empty for none
    int64_t leaseUntilMs = 0;  // on the server's clock
    uint64_t token = 0;
};
struct OrderStop
{
    RunRef ref;
    std::string address;
    uint64_t token = 0;
};
// Reads what runs and what has ended; may extend the lease and acknowledge ends.
struct OrderPoll
{
    std::string server;
    std::string address;
    uint64_t token = 0;
    uint64_t ackedThrough = 0;
    int64_t leaseUntilMs = 0; // on the server's clock; 0: leaves the lease alone
    Duration wait {};         // the answer waits for an end for so long
    Duration timeout {};      // no answer by then counts as lost
};

// What a server said to an order.
enum class OrderResult {
    Done,
    Fenced,     // another VM has used a higher token
    Superseded, // this run or a later one has already ended there
    Late,       // the lease had passed on the server's clock
    NoRoom,
    Unhealthy,        // the server has done nothing
    OtherIncarnation, // another incarnation answered, which has done nothing
    Invalid,          // the server does not accept the order at all
    NotSent,          // no byte reached the server
    Unknown,          // no answer; the order may be executed, also later
};

std::string_view toString(OrderResult result);

// Figures that every answer of a server carries.
struct ServerReading
{
    std::optional<int64_t> clockMs;
    std::optional<uint64_t> incarnation;
};

enum class RunEnd { Succeeded, Failed, Stopped, Lapsed, Broken };

std::string_view toString(RunEnd end);

// What became of a run of a stored job. Repeated until the keeper confirms it; the server is told
// to forget an end only then.
struct TaskOutcome
{
    enum class Kind {
        NotStarted, // and never will
        Lost,       // does not run any more; no end was listed
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

using PoolAction = std::variant<OrderStart, OrderStop, OrderPoll, JobAnswer, TaskOutcome>;

struct RunningRow
{
    std::string task;
    uint32_t run = 0;
    uint32_t percent = 0; // of its work that is done
    std::string checkpoint {};

    auto operator<=>(const RunningRow &) const = default;
};
struct EndedRow
{
    uint64_t number = 0; // counts up within an incarnation
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
    ServerReading reading;
    std::vector<RunningRow> running;
    std::vector<EndedRow> ended;
};

// Servers are divided into shards by their id; a shard is placed on by one VM at a time.
struct ShardGrant
{
    uint64_t token = 0;       // rises with each change of holder
    bool isReleasing = false; // to be given up as soon as nothing runs there

    auto operator<=>(const ShardGrant &) const = default;
};
using ShardGrants = std::map<uint32_t, ShardGrant>;

uint32_t shardOf(std::string_view serverId, uint32_t shardCount);

// Room and backlog of one service in a pool, as other VMs see it.
struct ServiceLoad
{
    std::string service;
    uint32_t servers = 0;        // in use
    uint64_t freeMilliCores = 0; // in portions that fit a typical task
    double queuedWork = 0;       // core-seconds that wait
    double rate = 0;             // core-seconds done per second when full

    auto operator<=>(const ServiceLoad &) const = default;
};

struct PoolOptions
{
    uint32_t shardCount = 24;
    // Longest lease that servers grant.
    Duration lease = std::chrono::milliseconds(1000);
    // Largest error of a server's steady clock, as a share.
    double clockError = 0.02;
    // A server stops a task within this time.
    Duration stopTime = std::chrono::milliseconds(50);
    // Longest wait of one look. A third of the lease leaves time for two more looks when an answer
    // is lost.
    Duration pollWait = std::chrono::milliseconds(250);
    // Beyond the wait that was asked for, no answer counts as lost.
    Duration answerTimeout = std::chrono::milliseconds(100);
    // Ends on an idle server are acknowledged after this time, so that a start that follows at
    // once carries no extra look.
    Duration idleAckDelay = std::chrono::milliseconds(40);
    // A job that cannot meet its objective by this factor is not worth its room any more.
    double lateLimitFactor = 3;
    // Other VMs take one that is silent for longer for lost.
    Duration peerTimeout = std::chrono::milliseconds(1000);
    // First time for which a suspect server gets no work; doubles with each relapse.
    Duration minAvoidance = std::chrono::milliseconds(1000);
    Duration maxAvoidance = std::chrono::seconds(16);
};

struct PoolCounters
{
    uint64_t offered = 0;
    uint64_t refused = 0;
    uint64_t completed = 0;
    uint64_t failed = 0;
    uint64_t abandoned = 0;
    uint64_t starts = 0;
    uint64_t startsRejected = 0;
    uint64_t startsUnanswered = 0;
    uint64_t stops = 0;
    uint64_t polls = 0;
    uint64_t pollsUnanswered = 0;
    uint64_t serversLost = 0; // to a higher token
    uint64_t runsLost = 0;    // lapsed or vanished
    uint64_t outcomes = 0;    // of runs of stored jobs
};

// A line for the log: a decision with the inputs that led to it.
struct PoolLogEntry
{
    std::string event;
    std::string job;     // id; empty if it concerns no job
    std::string details; // "name=value" pairs
};

// Places jobs on the servers of the granted shards. Single-threaded.
//
// Callers pass a tick at least every 20 ms, read the clock right before each event, and carry out
// the actions in order; every order is answered by one event.
class Pool
{
public:
    explicit Pool(PoolOptions options);
    ~Pool();
    Pool(Pool &&) noexcept;
    Pool &operator=(Pool &&) noexcept;

    // The servers of this data centre that are registered now.
    void setServers(const std::vector<ServerInfo> &servers, Time now);
    void setGrants(const ShardGrants &grants, Time now);
    // Refuses new jobs from now on.
    void drain();

    void offer(JobOffer offer, Time now);
    // The caller is gone or does without: its job is dropped and its runs are stopped. The answer
    // says whether a task was ordered to start.
    void withdraw(const JobTicket &ticket, Time now);
    // Same for all jobs of a VM; of all its incarnations but the given one, if that is not 0.
    void withdrawAll(const std::string &vm, uint64_t exceptIncarnation, Time now);
    // The process did not run for a while. Offers that are read now are old, so for a moment
    // nothing is started, until what arrived meanwhile has been heeded. After a long pause other
    // VMs have given up what they had here.
    void onPaused(Duration pause, const std::string &self, Time now);

    // Whether stored jobs exist. Unless it is known that there are none, ends that this pool knows
    // nothing of are reported before they are acknowledged: an earlier holder may have started them
    // for a keeper.
    void expectStoredJobs(bool exist);
    void startBatch(TaskBatch batch, Time now);
    void stopJob(const StopJob &stop, Time now);
    // A VM has become the keeper of a partition: what an earlier one had started is stopped.
    void updateKeeperEpoch(uint32_t partition, uint64_t epoch, Time now);
    // The keeper has stored what it needs of the outcome. The end of a run that another one has
    // superseded is acknowledged only after the lease of its server has lapsed.
    void confirmOutcome(const std::string &task, uint32_t run, bool isSuperseded, Time now);

    void onStartAnswered(const RunRef &ref, OrderResult result, const ServerReading &reading,
                         Time now);
    void onStopAnswered(const RunRef &ref, OrderResult result, const ServerReading &reading,
                        Time now);
    void onPollAnswered(const PollReply &reply, Time now);
    void tick(Time now);

    // Starts queued work and returns the actions since the last call.
    std::vector<PoolAction> takeActions(Time now);
    std::vector<PoolLogEntry> takeLogEntries();

    // Whether nothing runs on the servers of shards that are being released.
    bool isReleaseReady() const;
    bool isIdle() const;                     // no job is open
    std::set<std::string> servedVms() const; // VMs with an open job here
    size_t serverCount() const;              // with a valid grant
    size_t knownServerCount() const;
    std::vector<ServiceLoad> load(Time now) const;
    const PoolCounters &counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lovage
