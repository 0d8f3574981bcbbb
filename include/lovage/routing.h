// How jobs find a pool and pools find a holder: reports between VMs, the router of incoming jobs,
// and membership in the group that holds the shards of a data centre. No I/O.
#pragma once

#include "lovage/pool.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

// A VM as it introduces itself.
struct VmInfo
{
    std::string name;
    std::string dataCentre;
    std::string address; // of its peer port, "ip:port"
    uint64_t incarnation = 0;
    uint32_t cpuMilliCores = 0; // what the VM may use

    auto operator<=>(const VmInfo &) const = default;
};

// Order in which the VMs of a data centre become holders: the largest first, then by name.
struct HolderRank
{
    uint32_t cpuMilliCores = 0;
    std::string name;

    bool operator==(const HolderRank &) const = default;
    std::strong_ordering operator<=>(const HolderRank &other) const
    {
        if (cpuMilliCores != other.cpuMilliCores)
            return other.cpuMilliCores <=> cpuMilliCores;
        return name <=> other.name;
    }
};

inline HolderRank rankOf(const VmInfo &vm)
{
    return {vm.cpuMilliCores, vm.name};
}

// How the queue of a stored job runs it; taken over when the job is accepted.
struct QueueParameters
{
    std::string queue;
    std::string service;
    uint32_t priority = 0;
    uint32_t attempts = 1;
    double stretchFactor = 1; // latency objective: this times the longest chain, plus
    Duration objectiveSlack {};

    auto operator<=>(const QueueParameters &) const = default;
};

// A caller's request about a stored job, for the keeper of its partition. Requests are repeated
// until they are answered; each has the same effect however often it arrives.
struct CallerRef
{
    std::string vm; // with the connection
    uint64_t incarnation = 0;
    uint64_t number = 0;

    auto operator<=>(const CallerRef &) const = default;
};
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
        Stored,      // the job is in the journal
        State,       // see state
        Cancelled,   // no task of it will start any more
        Unknown,     // no such job
        Refused,     // nothing was stored; there is no room for the job in time
        Unavailable, // nothing was stored; not the keeper, or the store is out of reach
    };

    CallerRef caller;
    Kind kind = Kind::Unavailable;
    JobState state = JobState::Queued;
    Duration retryAfter {}; // of Refused

    auto operator<=>(const KeeperAnswer &) const = default;
};

std::string_view toString(KeeperAnswer::Kind kind);
// "store", "query" or "cancel".
std::string_view nameOf(const KeeperRequest &request);

// A partition of the journal that a VM holds, and since when.
struct PartitionClaim
{
    uint32_t partition = 0;
    uint64_t epoch = 0;
    bool isServing = false; // it has read the partition

    auto operator<=>(const PartitionClaim &) const = default;
};

// Stored jobs of a queue in one partition that wait for their first task to start.
struct QueueBacklog
{
    uint32_t partition = 0;
    std::string queue;
    uint32_t jobs = 0;

    auto operator<=>(const QueueBacklog &) const = default;
};

// Sent to the VMs that follow the sender and to those that it follows. Carries liveness and the
// load of the pool.
struct VmReport
{
    VmInfo vm;
    bool isFollowing = false;        // the sender asks the receiver for its reports
    bool isReceiverFollower = false; // the sender takes the receiver to follow it
    Duration nextReportWithin {};    // the receiver gets the next report within this time
    bool isHolder = false;           // holds shards or has asked for them
    bool isDraining = false;
    uint64_t configurationVersion = 0;
    uint32_t knownServers = 0; // of its data centre; 0 if it does not follow them
    std::vector<ServiceLoad> loads;
    std::vector<std::string> holders {}; // of the sender's data centre, as far as it hears them
    // VMs that were lost lately. One that hears this although it is alive gives up the sender's
    // work: the link between them is cut in one direction, and the sender has given it up too.
    std::vector<std::string> lostVms {};
    std::vector<PartitionClaim> claims {};
    std::vector<QueueBacklog> backlog {}; // of the partitions it keeps

    auto operator<=>(const VmReport &) const = default;
};

// Messages between VMs. Reports are datagrams, the others are frames of a connection.
struct OfferMessage
{
    JobOffer offer;

    auto operator<=>(const OfferMessage &) const = default;
};
struct AnswerMessage
{
    std::string vm; // that answers
    JobAnswer answer;
    std::vector<ServiceLoad> loads; // of its pool now

    auto operator<=>(const AnswerMessage &) const = default;
};
struct WithdrawMessage
{
    JobTicket ticket;

    auto operator<=>(const WithdrawMessage &) const = default;
};
// VMs that the sender knows; answers the first report of a VM that follows it.
struct IntroductionMessage
{
    std::vector<VmInfo> vms;

    auto operator<=>(const IntroductionMessage &) const = default;
};
// Asks for the configuration of a VM that reports a newer one, in case the store is out of reach.
struct ConfigurationRequest
{
    std::string vm; // that asks

    auto operator<=>(const ConfigurationRequest &) const = default;
};
struct ConfigurationMessage
{
    Configuration configuration;

    auto operator<=>(const ConfigurationMessage &) const = default;
};
// Between VMs with callers, keepers of stored jobs, and pools.
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
    std::string vm; // of the pool
    TaskOutcome outcome;

    auto operator<=>(const OutcomeMessage &) const = default;
};
struct ConfirmOutcome
{
    std::string task;
    uint32_t run = 0;
    // Another run of the task has been started since, so this end must never count: it may be
    // acknowledged only after the server's lease has lapsed.
    bool isSuperseded = false;

    auto operator<=>(const ConfirmOutcome &) const = default;
};
using VmMessage =
        std::variant<VmReport, OfferMessage, AnswerMessage, WithdrawMessage, IntroductionMessage,
                     ConfigurationRequest, ConfigurationMessage, KeeperRequestMessage, KeeperAnswer,
                     BatchMessage, StopJobMessage, OutcomeMessage, ConfirmOutcome>;

std::string encodeMessage(const VmMessage &message);
// Error DecodeFailed for anything that is not exactly one message.
Result<VmMessage> decodeMessage(std::string_view bytes);

struct VmTableOptions
{
    // A VM that is silent for longer gets no new jobs. One that reports rarely is given time for
    // two reports and this slack.
    Duration unreachableAfter = std::chrono::milliseconds(350);
    Duration reportSlack = std::chrono::milliseconds(150);
    // A VM that is silent for longer is lost: what it was doing is given up.
    Duration lostAfter = std::chrono::milliseconds(1200);
};

// The latest report of each VM.
class VmTable
{
public:
    struct Row
    {
        VmReport report;
        Time lastReportAt;
        Time avoidUntil {};      // could not be connected to
        bool isFollowed = false; // this VM has asked for its reports
        Time followedAt {};      // its silence counts from then on
    };

    VmTable(VmTableOptions options, VmInfo self) : options_(options), self_(std::move(self)) { }

    enum class ReportResult { Known, New, Restarted, Stale };
    ReportResult addReport(VmReport report, Time now);
    // Fresher than the last report.
    void updateLoads(const std::string &vm, std::vector<ServiceLoad> loads);
    void markUnreachable(const std::string &vm, Time now);
    // Removes VMs that are silent, and returns the names of those that are lost. One that neither
    // follows this VM nor is followed by it owes no report, so its silence means nothing.
    std::vector<std::string> removeLost(Time now);
    void remove(const std::string &vm, Time now);
    void setFollowed(const std::string &vm, bool isFollowed, Time now);
    // VMs that were lost lately and have not been heard since.
    std::vector<std::string> recentlyLost(Time now) const;

    bool isReachable(const Row &row, Time now) const;
    const Row *find(const std::string &vm) const;
    std::map<std::string, Row> &rows() { return rows_; }
    const std::map<std::string, Row> &rows() const { return rows_; }
    const VmInfo &self() const { return self_; }

private:
    VmTableOptions options_;
    VmInfo self_;
    std::map<std::string, Row> rows_; // by name, without this VM
    std::map<std::string, Time> lostAt_;
};

// A pool with servers of a service, as this VM knows it.
struct PoolView
{
    std::string vm;
    ServiceLoad *load = nullptr;
    bool isLocal = false; // in this data centre
};

// The pools that take work for the service now, that of this VM first.
std::vector<PoolView> poolsFor(const std::string &service, std::vector<ServiceLoad> &ownLoads,
                               VmTable &vms, Time now);

struct RouterOptions
{
    size_t maxOffers = 3; // pools that are asked for one job
    // Added to the expected wait in another data centre: the way there and back.
    Duration remotePenalty = std::chrono::milliseconds(4);
    Duration retryAfter = std::chrono::seconds(1); // without a better estimate
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
};
// The answer to the caller of request `number`.
struct Respond
{
    uint64_t number = 0;
    JobAnswer answer;
};
using RouterAction = std::variant<SendOffer, SendWithdraw, Respond>;

struct RouterNote
{
    std::string event;
    std::string job;
    std::string details;
};

// Finds a pool for each job that callers bring to this VM. A job that is wider than the room of any
// pool is divided among several. Asks another pool only after a refusal; a job whose pool is lost
// is answered as abandoned, since its tasks may still run there. Single-threaded.
class Router
{
public:
    Router(RouterOptions options, VmTable &vms) : options_(options), vms_(vms) { }

    // The load of the pool on this VM, which needs no message.
    void setOwnLoad(std::vector<ServiceLoad> loads) { ownLoads_ = std::move(loads); }

    // Until then a job for which no pool is known waits: the VM has just started, and pools show
    // within that time.
    void waitForPoolsUntil(Time time) { holdUntil_ = time; }

    // `number` is unique within this incarnation of the VM.
    void submit(uint64_t number, JobOffer offer, Time now);
    void withdraw(uint64_t number, Time now);
    void onAnswer(const std::string &vm, JobAnswer answer, Time now);
    // No byte of the offer reached the VM.
    void onOfferUnsent(const std::string &vm, const JobTicket &ticket, Time now);
    // The VM died or cannot be told apart from a dead one.
    void onVmLost(const std::string &vm, Time now);
    void tick(Time now);

    std::vector<RouterAction> takeActions() { return std::exchange(actions_, {}); }
    std::vector<RouterNote> takeNotes() { return std::exchange(notes_, {}); }
    size_t openCount() const { return requests_.size(); }
    // Pools that have an offer which they have not answered.
    std::set<std::string> offeredVms() const;

private:
    // The tasks that one pool runs.
    struct Part
    {
        uint32_t firstIndex = 0;
        uint32_t count = 0; // of the first step; 0: the whole job
        std::string vm {};  // that has the offer, or will get it; empty once it has answered
        bool isOffered = false;
        std::vector<std::string> refusedBy {};
        // A pool that would only just make it; asked again when no other is surer.
        std::string fallback {};
        uint32_t fallbackSurely = 0; // tasks that it would run with some margin
        bool isLastOffer = false;
        bool isStretched = false; // with tasks for which the pool has no margin
    };
    // What a pool that refused a job could run of it in time.
    struct Capability
    {
        uint32_t tasks = 0;
        uint32_t surely = 0; // with some margin
    };
    struct Request
    {
        JobOffer offer; // with the times that were left at arrival
        Time arrived {};
        std::vector<Part> parts {};
        size_t open = 0;                               // parts that have not completed
        std::map<std::string, Capability> couldRun {}; // by VM
        Duration retryAfter {};
        // A part found no pool: the others are withdrawn, and the answer waits for theirs.
        bool isGivenUp = false;
        bool mayHaveRun = false; // some part was begun
    };
    struct Candidate
    {
        std::string vm;
        ServiceLoad *load = nullptr;
        bool isLocal = false;
        Duration wait {};
    };

    std::vector<Candidate> candidates(const JobOffer &offer,
                                      const std::vector<std::string> &without, Time now);
    std::vector<Part> divide(const JobOffer &offer, Time now);
    void offerPart(uint64_t number, size_t part, Time now);
    JobOffer offerOf(const Request &request, size_t part, Time now) const;
    void onRefused(uint64_t number, size_t part, const JobAnswer &answer, Time now);
    // Divides a job that no pool would run as a whole by what they said they could run. Returns
    // whether that covers the job and is better than one pool that would only just make it.
    bool divideByOffers(uint64_t number, Time now);
    // Offers the part to the pool that would only just make it. Returns whether there is one.
    bool offerToFallback(uint64_t number, size_t part, Time now);
    void sendOffer(uint64_t number, size_t part, Candidate pool, Time now);
    void offerParts(uint64_t number, Time now);
    void releaseHeld(Time now);
    void giveUp(uint64_t number, size_t part);
    void onAnswerOfGivenUp(uint64_t number, const JobAnswer &answer);
    // Withdraws the parts that pools still have.
    void withdrawOpen(const Request &request);
    void respond(uint64_t number, JobResult result, std::string reason, Duration retryAfter);

    RouterOptions options_;
    VmTable &vms_;
    std::vector<ServiceLoad> ownLoads_;
    Time holdUntil_ {};
    std::vector<uint64_t> held_; // requests that wait for a pool
    std::map<uint64_t, Request> requests_;
    std::vector<RouterAction> actions_;
    std::vector<RouterNote> notes_;
};

struct HolderOptions
{
    // Servers that one VM places on; a data centre with more has more holders.
    uint32_t serversPerHolder = 32;
    // Time after the start in which reports of present holders arrive.
    Duration settleTime = std::chrono::milliseconds(400);
    // The same if all VMs of the data centre have just started and get to know each other.
    Duration coldStartSettleTime = std::chrono::milliseconds(500);
    Duration joinInterval = std::chrono::milliseconds(250);
    Duration groupLease = std::chrono::milliseconds(1000);
    // A shard that is to be released is given up after this time, even if something runs there.
    Duration releaseTimeout = std::chrono::seconds(3);
};

struct JoinGroup
{
    uint64_t generation = 0; // acknowledged by joining
    Duration lease {};
};
struct LeaveGroup
{ };
using GroupRequest = std::variant<JoinGroup, LeaveGroup>;

// What the store says to a member that joins: its shards, from this generation on.
struct GroupMembership
{
    uint64_t generation = 0;
    std::vector<uint32_t> shards;

    auto operator<=>(const GroupMembership &) const = default;
};

// Holders for so many servers of one data centre.
uint32_t requiredHolders(uint32_t servers, const HolderOptions &options);

// Membership of this VM in the group of its data centre. The store deals the shards out; the
// generation of the group is the fencing token. Between the answers of the store the grants stay,
// since servers refuse a holder whose token has been passed.
class ShardMembership
{
public:
    ShardMembership(HolderOptions options, Time started) : options_(options), started_(started) { }

    // The request that is due, if any; each is answered by one of the events below.
    std::optional<GroupRequest> nextRequest(bool wantsShards, bool isReleaseReady, Time now);
    // Returns whether the grants changed.
    bool onJoined(const GroupMembership &membership, Time now);
    void onJoinFailed(Time now);
    void onLeft();

    bool isMember() const { return isMember_; }
    const ShardGrants &grants() const { return grants_; }

private:
    bool isReleasing() const;

    HolderOptions options_;
    Time started_;
    bool isMember_ = false;
    bool isPending_ = false;
    Time nextAt_ {};
    uint64_t acknowledged_ = 0;
    uint64_t latest_ = 0;
    bool isReleaseSent_ = false;
    Time releaseSince_ {};
    ShardGrants grants_;
};

} // namespace lovage
