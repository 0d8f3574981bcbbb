// Routing of jobs to pools and assignment of shards to VMs: status reports between VMs, the router
// of incoming jobs, and membership in the group of VMs that hold the shards of a data centre. This
// library performs no I/O.
#pragma once

#include "lovage/evacuations.h"
#include "lovage/pool.h"
#include "lovage/routing/holders.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

// Identity, location and size of a VM, as the VM itself announces them.
struct VmInfo
{
    std::string name;
    std::string dataCentre;
    std::string address;        // address of the VM's peer port, "ip:port"
    uint64_t incarnation = 0;   // start time of the process
    uint32_t cpuMilliCores = 0; // CPU limit of the VM

    auto operator<=>(const VmInfo &) const = default;
};

// Parameters of a queue that apply to a stored job. They are copied when the job is accepted, so
// later configuration changes do not affect it.
struct QueueParameters
{
    std::string queue;
    std::string service;
    uint32_t priority = 0;
    uint32_t attempts = 1;
    // The latency objective of a job is stretchFactor * criticalPath(job) + objectiveSlack.
    double stretchFactor = 1;
    Duration objectiveSlack {};

    auto operator<=>(const QueueParameters &) const = default;
};

// Identifies a caller's request about a stored job.
struct CallerRef
{
    std::string vm;           // name of the VM that has the caller's connection
    uint64_t incarnation = 0; // incarnation of that VM
    uint64_t number = 0;      // number of the request, unique within the incarnation

    auto operator<=>(const CallerRef &) const = default;
};

// Requests about a stored job are sent to the keeper of the job's partition. They are idempotent
// and are resent until they are answered.
struct StoreJob
{
    CallerRef caller;
    JobSpec job;
    QueueParameters queueParameters;

    auto operator<=>(const StoreJob &) const = default;
};
struct QueryJob
{
    CallerRef caller;
    std::string job;

    auto operator<=>(const QueryJob &) const = default;
};
struct CancelJob
{
    CallerRef caller;
    std::string job;

    auto operator<=>(const CancelJob &) const = default;
};
using KeeperRequest = std::variant<StoreJob, QueryJob, CancelJob>;

const CallerRef &callerOf(const KeeperRequest &request);
const std::string &jobIdOf(const KeeperRequest &request);

enum class JobState { Queued, Running, Completed, Failed, Cancelled };

std::string_view toString(JobState state);

struct KeeperAnswer
{
    enum class Kind {
        Stored,      // the job has been written to the journal
        State,       // the answer carries the state of the job
        Cancelled,   // no further task of the job will start
        Unknown,     // the job does not exist
        Refused,     // nothing was stored, because the job cannot meet its objective
        Unavailable, // nothing was stored: not the keeper, or the store is unreachable
    };

    CallerRef caller;
    Kind kind = Kind::Unavailable;
    JobState state = JobState::Queued; // state of the job; set if the kind is State
    // Time after which the caller may submit the job again; set if the kind is Refused.
    Duration retryAfter {};

    auto operator<=>(const KeeperAnswer &) const = default;
};

std::string_view toString(KeeperAnswer::Kind kind);
// Returns "store", "query" or "cancel".
std::string_view nameOf(const KeeperRequest &request);

// A journal partition that a VM owns as its keeper.
struct PartitionClaim
{
    uint32_t partition = 0;
    uint64_t epoch = 0;     // epoch of the ownership; increases with each change of owner
    bool isServing = false; // the VM has read the partition and accepts requests for it

    auto operator<=>(const PartitionClaim &) const = default;
};

// Number of stored jobs of a queue in one partition that wait for their first task to start.
struct QueueBacklog
{
    uint32_t partition = 0;
    std::string queue;
    uint32_t jobs = 0;

    auto operator<=>(const QueueBacklog &) const = default;
};

// Periodic status report of a VM: its liveness and the load of its pool. A VM follows another one
// if it has asked for the other's reports. Reports are sent to the VMs that follow the sender and
// to those that the sender follows.
struct VmReport
{
    VmInfo vm;
    bool isFollowing = false;        // the sender follows the receiver
    bool isReceiverFollower = false; // the sender has recorded the receiver as its follower
    Duration nextReportWithin {};    // the next report to the receiver is sent within this time
    Time sentAt {};                  // on the clock of the sender
    // Renewal of the leases of the jobs that the receiver runs for the sender.
    std::optional<LeaseRenewal> renewal {};
    bool isHolder = false; // the sender holds shards or has requested them
    // The store has confirmed within the lease of the group that the sender holds shards, and the
    // sender does not give them up.
    bool isHolderConfirmed = false;
    bool isDraining = false;
    uint64_t configurationVersion = 0;
    uint64_t evacuationsVersion = 0;
    // Number of backend servers that the sender knows in its data centre; 0 if it tracks none.
    uint32_t knownServers = 0;
    std::vector<ServiceLoad> loads;
    // Shard holders of the sender's data centre that the sender receives reports from. Not every
    // report lists them.
    std::vector<std::string> holders {};
    // VMs that the sender has recently declared lost. A live VM that finds its own name here drops
    // the work of the sender: the link between them is broken in one direction, and the sender has
    // abandoned that work as well.
    std::vector<std::string> lostVms {};
    std::vector<PartitionClaim> claims {};
    std::vector<QueueBacklog> backlog {}; // backlog of the partitions that the sender keeps

    auto operator<=>(const VmReport &) const = default;
};

// Messages between VMs. Reports are sent as datagrams, all other messages as frames on a
// connection.
struct OfferMessage
{
    JobOffer offer;

    auto operator<=>(const OfferMessage &) const = default;
};
struct AnswerMessage
{
    std::string vm; // name of the sender
    JobAnswer answer;
    std::vector<ServiceLoad> loads; // current load of the sender's pool

    auto operator<=>(const AnswerMessage &) const = default;
};
struct WithdrawMessage
{
    JobTicket ticket;
    // Set if the sender needs an answer, to learn whether a task was started.
    std::optional<OfferOrigin> origin {};

    auto operator<=>(const WithdrawMessage &) const = default;
};
// The sender's pool has accepted an offer of the receiver. The fields are those of the ticket that
// the receiver needs to find the offer.
struct AcceptedMessage
{
    std::string vm;           // name of the sender
    uint64_t incarnation = 0; // incarnation of the receiver
    uint64_t number = 0;
    uint32_t part = 0;
    uint32_t offer = 0;

    auto operator<=>(const AcceptedMessage &) const = default;
};
// VMs that the sender knows. Sent in reply to the first report of a new follower.
struct IntroductionMessage
{
    std::vector<VmInfo> vms;

    auto operator<=>(const IntroductionMessage &) const = default;
};
// Requests the configuration from a VM that reports a newer version. This distributes the
// configuration while the store is unreachable.
struct ConfigurationRequest
{
    std::string vm; // name of the sender

    auto operator<=>(const ConfigurationRequest &) const = default;
};
struct ConfigurationMessage
{
    std::optional<Configuration> configuration {};
    std::optional<Evacuations> evacuations {};

    auto operator<=>(const ConfigurationMessage &) const = default;
};
// Messages about stored jobs, exchanged by the VMs that have the callers' connections, the keepers
// and the pools.
struct KeeperRequestMessage
{
    KeeperRequest request;

    auto operator<=>(const KeeperRequestMessage &) const = default;
};
struct BatchMessage
{
    TaskBatch batch;

    auto operator<=>(const BatchMessage &) const = default;
};
struct StopJobMessage
{
    StopJob stop;

    auto operator<=>(const StopJobMessage &) const = default;
};
struct OutcomeMessage
{
    std::string vm; // name of the VM whose pool ran the task
    TaskOutcome outcome;

    auto operator<=>(const OutcomeMessage &) const = default;
};
struct ConfirmOutcome
{
    std::string task;
    uint32_t run = 0;
    // A later run of the task has been started, so the end of this run must never be taken as the
    // result. The pool may acknowledge the end only after the lease of the server has lapsed.
    bool isSuperseded = false;

    auto operator<=>(const ConfirmOutcome &) const = default;
};
using VmMessage =
        std::variant<VmReport, OfferMessage, AnswerMessage, WithdrawMessage, IntroductionMessage,
                     ConfigurationRequest, ConfigurationMessage, KeeperRequestMessage, KeeperAnswer,
                     BatchMessage, StopJobMessage, OutcomeMessage, ConfirmOutcome, AcceptedMessage>;

std::string encodeMessage(const VmMessage &message);
// Fails with ErrorCode::DecodeFailed unless the bytes are exactly one message.
Result<VmMessage> decodeMessage(std::string_view bytes);

struct VmTableOptions
{
    // A VM without a report for this time gets no new jobs. For VMs that report less often, the
    // limit is two report intervals plus reportSlack, if that is longer.
    Duration unreachableAfter = std::chrono::milliseconds(350);
    Duration reportSlack = std::chrono::milliseconds(150);
    // A VM without a report for this time is lost, and the work given to it is abandoned.
    Duration lostAfter = std::chrono::milliseconds(1200);
};

// Stores the latest report of each other VM and detects VMs that no longer report.
class VmTable
{
public:
    struct Row
    {
        VmReport report;
        Time lastReportAt;
        // Lower bound of the difference between the clock of the VM and that of this VM.
        Duration clockOffset {};
        Time avoidUntil {};      // end of the delay after a failed connection attempt
        bool isFollowed = false; // whether this VM follows the VM of the row
        // Time at which this VM began to follow the VM of the row. The timeout for a missing report
        // does not begin earlier.
        Time followedAt {};
    };

    VmTable(VmTableOptions options, VmInfo self) : options_(options), self_(std::move(self)) { }

    enum class ReportResult {
        Known,     // the sender was in the table
        New,       // the sender was not in the table
        Restarted, // the sender was in the table with an earlier incarnation
        Stale      // the report was ignored: its sender is an earlier incarnation or this VM itself
    };
    ReportResult addReport(VmReport report, Time now);
    // Replaces the loads of the last report by more recent ones from another message.
    void updateLoads(const std::string &vm, std::vector<ServiceLoad> loads);
    // Excludes the VM from new jobs for a short time after a failed connection attempt.
    void markUnreachable(const std::string &vm, Time now);
    struct RemovedVms
    {
        std::vector<std::string> lost;
        // VMs that neither follow this VM nor are followed by it. They are not expected to report,
        // so they are not lost.
        std::vector<std::string> forgotten;
    };
    // Removes the VMs whose reports have timed out.
    RemovedVms removeSilent(Time now);
    void remove(const std::string &vm, Time now);
    void setFollowed(const std::string &vm, bool isFollowed, Time now);
    // Returns the VMs that were lost or removed recently and have not reported since.
    std::vector<std::string> recentlyLost(Time now) const;

    // Returns a lower bound of the current time on the clock of the VM. It is behind that clock by
    // at most the delay of a recent report.
    static Time clockOf(const Row &row, Time now);

    // Returns whether the VM has reported in time and is not marked unreachable.
    bool isReachable(const Row &row, Time now) const;
    // Returns whether the next report of the VM is overdue.
    bool isReportOverdue(const Row &row, Time now) const;
    const Row *find(const std::string &vm) const;
    std::map<std::string, Row> &rows() { return rows_; }
    const std::map<std::string, Row> &rows() const { return rows_; }
    const VmInfo &self() const { return self_; }
    // Sets the data centres whose pools get no work.
    void setEvacuated(std::set<std::string> dataCentres) { evacuated_ = std::move(dataCentres); }
    const std::set<std::string> &evacuated() const { return evacuated_; }

private:
    VmTableOptions options_;
    VmInfo self_;
    std::set<std::string> evacuated_;
    std::map<std::string, Row> rows_; // row of each other VM, by name of the VM
    // Time at which each VM that has not reported since was lost or removed, by name of the VM.
    std::map<std::string, Time> lostAt_;
};

// A pool with servers of a service, and its load as known to this VM.
struct PoolView
{
    std::string vm;
    ServiceLoad *load = nullptr;
    bool isLocal = false; // whether the pool is in the data centre of this VM
};

// Returns the pools that currently accept work for the service, starting with that of this VM.
std::vector<PoolView> poolsFor(const std::string &service, std::vector<ServiceLoad> &ownLoads,
                               VmTable &vms, Time now);

struct RouterOptions
{
    ResubmissionLimits resubmission;
    // Number of pools to which a job, or a part of one, is offered in turn, not counting those of
    // evacuated data centres. If none of these takes it, the job is divided among pools, offered to
    // its fallback pool or refused.
    size_t maxOffers = 3;
    // Round-trip time that is added to the expected wait of a pool in another data centre.
    Duration remotePenalty = std::chrono::milliseconds(4);
    // A pool must answer an offer within this part of the time that is left until the caller's
    // deadline, between the two limits. A VM that is in time answers within some milliseconds. The
    // lower limit is for a VM whose processor share makes it run in slices of 100 ms; after the
    // upper one a VM that does not report counts as unreachable.
    int answersWithinDeadline = 6;
    Duration minAnswerTime = std::chrono::milliseconds(150);
    Duration maxAnswerTime = std::chrono::milliseconds(350);
    // Retry-after time of a refused job if no pool gave an estimate.
    Duration retryAfter = std::chrono::seconds(1);
};

struct SendOffer
{
    std::string vm;
    JobOffer offer;
};
struct SendWithdraw
{
    std::string vm;
    JobTicket ticket;
    std::optional<OfferOrigin> origin {}; // WithdrawMessage::origin
};
// Answers the caller of request `number`.
struct Respond
{
    uint64_t number = 0;
    JobAnswer answer;
};
using RouterAction = std::variant<SendOffer, SendWithdraw, Respond>;

// A log entry about a decision of the router or the keeper.
struct RouterLogEntry
{
    std::string event;
    std::string job;     // id of the job; empty if the entry concerns no job
    std::string details; // "name=value" pairs
};

// Offers each job that is submitted to this VM to a pool. A job that needs more capacity than any
// single pool has free is divided among several pools. Another pool is tried only after a refusal
// or if the offer was not sent. A job whose pool is lost is answered as abandoned, since its tasks
// may still run there. Not thread-safe.
class Router
{
public:
    Router(RouterOptions options, VmTable &vms) : options_(options), vms_(vms) { }

    // Sets the load of the pool on this VM, which sends no reports to itself.
    void setOwnLoad(std::vector<ServiceLoad> loads) { ownLoads_ = std::move(loads); }

    // Until this time, jobs for which no pool is known wait instead of being refused. A VM that has
    // just started needs this time to receive the reports of the pools.
    void waitForPoolsUntil(Time time) { poolWaitEnd_ = time; }

    // Offers the job to a pool. `number` identifies the request and must be unique within this
    // incarnation of the VM. If a request of the same job is open, the new one joins it and gets
    // the same answer: its caller has lost the connection of the open one, and a second offer could
    // run the job twice.
    // The caller is known to have been connected at `connectedAt`.
    void submit(uint64_t number, JobOffer offer, Time connectedAt, Time now);
    // Drops the request because its caller has gone. Withdraws its offers from the pools unless
    // another request has joined it.
    void withdraw(uint64_t number, Time now);
    void onAnswer(const std::string &vm, JobAnswer answer, Time now);
    // The pool of the VM has accepted an offer of this incarnation. It is not withdrawn any more
    // for want of an answer.
    void onAccepted(const AcceptedMessage &message);
    // Offers the part of the job to another pool, because no byte of the offer reached the VM.
    void onOfferUnsent(const std::string &vm, const JobTicket &ticket, Time now);
    // Answers every request of which the VM has a part as abandoned, and withdraws the other parts.
    // Called if the VM has failed or cannot be distinguished from a failed one.
    void onVmLost(const std::string &vm, Time now);
    // Every event that arrived before this time has been handled, so the callers of the requests
    // that are still open were connected then. Leases of jobs count from this time.
    void setHandledThrough(Time time) { handledThrough_ = time; }
    // Sets the time for which input of this VM waits. Answers of pools may be among it.
    void setInputLag(Duration lag) { inputLag_ = lag; }
    void tick(Time now);

    std::vector<RouterAction> takeActions() { return std::exchange(actions_, {}); }
    std::vector<RouterLogEntry> takeLogEntries() { return std::exchange(logEntries_, {}); }
    // Returns the number of offers that pools have neither accepted nor refused in time.
    uint64_t unansweredOffers() const { return unansweredOffers_; }
    size_t openCount() const { return requests_.size(); }
    // Returns the VMs with an offer that they have not answered yet.
    std::set<std::string> offeredVms() const;
    // Returns the renewals of the leases of all jobs that are offered to pools, by name of the VM.
    std::map<std::string, LeaseRenewal> leaseRenewals() const;

private:
    // The tasks of a job that are offered to one pool together.
    struct Part
    {
        uint32_t firstIndex = 0;
        uint32_t count = 0; // number of tasks of the first step; 0 if the part is the whole job
        // Name of the VM whose pool has the offer or will get it; empty after the pool's answer.
        std::string vm {};
        bool isOffered = false;
        uint32_t offer = 0; // number of the last offer of the part
        // Where and when the last offer was made; absent if it went to the pool on this VM.
        std::optional<OfferOrigin> origin {};
        Time answerBy {};        // time by which an answer to the last offer has arrived
        bool isAccepted = false; // whether the pool has accepted the last offer
        bool isWithdrawn = false;
        std::vector<std::string> refusedBy {};
        size_t evacuated = 0; // number of pools in refusedBy whose data centre is evacuated
        // A pool that could run all tasks in time, but some only without margin. It gets the last
        // offer if no pool with more margin accepts.
        std::string fallback {};
        uint32_t fallbackTasksWithMargin = 0;
        bool isLastOffer = false;
        // Whether the part has more tasks than its pool can run in time with margin.
        bool hasTasksWithoutMargin = false;
    };
    // Number of tasks of a refused job that the pool could have finished in time.
    struct Capability
    {
        uint32_t tasks = 0;
        uint32_t tasksWithMargin = 0;
    };
    struct Request
    {
        JobOffer offer; // as submitted; its times are relative to the arrival
        Time arrived {};
        Time connectedAt {}; // latest time at which the caller was known to be connected on arrival
        // Numbers of the requests that get the answer: this one and those that have joined it.
        std::vector<uint64_t> callers {};
        std::vector<Part> parts {};
        uint32_t offers = 0; // number of offers so far
        // Number of parts that have not completed or, once isGivenUp is set, of parts that are
        // offered to a pool which has not answered yet.
        size_t openParts = 0;
        // Capability that each pool stated when it refused the job, by name of the pool's VM.
        std::map<std::string, Capability> capabilities {};
        Duration retryAfter {};
        // Set if no pool accepts some part. The other parts are withdrawn, and the caller is
        // answered when their pools have answered.
        bool isGivenUp = false;
        bool mayHaveRun = false; // whether a task of the job may have been started
    };
    struct Candidate
    {
        std::string vm;
        ServiceLoad *load = nullptr;
        bool isLocal = false;
        Duration wait {};
    };

    std::vector<Candidate> candidates(const JobOffer &offer,
                                      const std::vector<std::string> &excludedVms, Time now);
    std::vector<Part> divide(const JobOffer &offer, Time now);
    void offerPart(uint64_t number, size_t part, Time now);
    JobOffer makePartOffer(const Request &request, size_t part, Time now) const;
    void onRefused(uint64_t number, size_t part, const JobAnswer &answer, Time now);
    // Divides a job that was refused as a whole by the capabilities that the pools stated in their
    // refusals. Does nothing and returns false if these do not cover the job or if the fallback
    // pool alone is the better choice.
    bool divideByCapabilities(uint64_t number, Time now);
    // Offers the part to its fallback pool. Returns false if there is none.
    bool offerToFallback(uint64_t number, size_t part, Time now);
    void join(uint64_t number, Request &open, const JobOffer &offer);
    std::optional<OfferTiming> timingOf(const std::string &vm, Duration deadline, Time now) const;
    JobLease leaseAt(const std::string &vm, Time connectedAt) const;
    Time connectedAt(const Request &request) const;
    void sendOffer(uint64_t number, size_t part, Candidate pool, Time now);
    void offerParts(uint64_t number, Time now);
    void offerWaiting(Time now);
    // Gives up request `number`, because no pool accepts its part with index `part`. Withdraws the
    // parts that are offered to other pools. The caller is answered when these pools have answered,
    // or at once if there are none.
    void giveUp(uint64_t number, size_t part);
    // Records a pool's answer to a part of a request that was given up, and answers the caller if
    // it is the last one.
    void onAnswerOfGivenUp(uint64_t number, const JobAnswer &answer);
    // Withdraws the parts that pools have not answered.
    void withdrawOpenParts(const Request &request, bool needsAnswers = false);
    // Returns the part of an open request that was last offered under this ticket and that the VM
    // has not answered yet; a null pointer if there is none.
    Part *findOffer(const std::string &vm, const JobTicket &ticket);
    // Withdraws the offers that pools have neither accepted nor refused in time.
    void withdrawUnanswered(Time now);
    void withdrawUnanswered(const Request &request, Part &part, Time now);
    // Answers the caller of request `number` and removes the request.
    void respond(uint64_t number, JobResult result, std::string reason, Duration retryAfter);

    RouterOptions options_;
    VmTable &vms_;
    std::vector<ServiceLoad> ownLoads_;
    Time poolWaitEnd_ {};
    Time handledThrough_ {};
    Duration inputLag_ {};
    uint64_t unansweredOffers_ = 0;
    std::vector<uint64_t> waiting_;        // numbers of the requests for which no pool is known yet
    std::map<uint64_t, Request> requests_; // unanswered requests, by number
    std::vector<RouterAction> actions_;
    std::vector<RouterLogEntry> logEntries_;
};

} // namespace lovage
