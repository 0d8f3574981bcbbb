// Dispatcher: starts the tasks of accepted submissions on backend servers and peers and decides the
// outcome of each submission. It is a deterministic state machine: it takes events with the current
// time and returns actions, and uses no sockets, threads or clock of its own.
#pragma once

#include "lovage/admission.h"
#include "lovage/catalogue.h"
#include "lovage/core.h"
#include "lovage/ledger.h"
#include "lovage/placement.h"

#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

// A caller connected to this VM. The request number is chosen by the daemon that holds the
// connection and is unique among its open requests.
struct LocalCaller
{
    uint64_t request = 0;

    bool operator==(const LocalCaller &) const = default;
};
// A caller connected to another VM, which forwarded the request with ForwardSubmit, ForwardCancel
// or ForwardQuery.
struct RemoteCaller
{
    std::string vm;
    uint64_t request = 0;

    bool operator==(const RemoteCaller &) const = default;
};
using Origin = std::variant<LocalCaller, RemoteCaller>;

enum class TaskStatus {
    Accepted,  // by a server: started; by a peer: will be started
    Refused,   // not started, and a later start with the same id is refused as well
    Done,      // succeeded with an output
    Failed,    // started and failed
    Duplicate, // the server already has a task with this id
    Unknown,   // the server has no such task and now refuses the id (tombstone)
    Running,
    Stopped,   // started, then stopped on request or because the lease expired
    Lost,      // from peers only: the peer cannot tell whether the task ran
    Malformed, // the daemon could not decode the answer of the server
};

// Status of one task as reported by a backend server or peer.
struct TaskReply
{
    TaskId id;
    TaskStatus status = TaskStatus::Accepted;
    bool hasOutput = true; // false if Done is reported without the output, as in inquiry replies
    std::string output {};
    std::string reason {};
    Duration runTime {};
};

// The input of one task and the task id chosen by the caller, which is empty for a single request.
struct TaskInput
{
    std::string name;
    std::string input;
};

// Input of a task, shared with its submission so that starts and retries do not copy it.
using SharedInput = std::shared_ptr<const std::string>;

struct TaskStart
{
    TaskId id;
    SharedInput input;
};

// A task that a VM, the lender, asks a peer, the borrower, to run. Only the lender decides about
// retries and verdicts.
struct LentTask
{
    TaskId id;
    TaskRequirements need; // need.deadline is the deadline of the submission
    SharedInput input;
};

// Events. `backend` is the index of a backend server in Placement.
//
// `instance` identifies one process of a backend server and grows with each restart; it may be the
// start time of the process, and for a peer it is the incarnation. 0 means that it was not
// reported. A restarted server replies "unknown" about tasks that its predecessor ran. Therefore
// "unknown" proves NotRun only if the instance is reported and is the one known when the start was
// sent; otherwise the verdict is MayHaveRun.

struct OpenRequested
{
    Origin origin;
    uint32_t count = 1; // number of ids to issue, including spare ids
};

// A submission from a caller, or one forwarded by another VM. The daemon may refuse a body before
// this event only because of the body itself, so that a resubmission is refused as well.
struct SubmitRequested
{
    Origin origin;
    SubmissionId id;   // unused with a key
    std::string key;   // set for a keyed one-shot submission; this VM is the home of the key
    std::string owner; // authenticated owner
    std::string entry;
    uint64_t bodyDigest = 0; // digest of entry, deadline, repeatable and tasks; never 0
    Time deadline;           // absolute time
    bool repeatable = false;
    std::vector<TaskInput> tasks;
};

struct CancelRequested
{
    Origin origin;
    SubmissionId id;
    std::string owner;
};
struct QueryRequested
{
    Origin origin;
    SubmissionId id;
    std::string owner;
};

// Reply to ForwardSubmission, ForwardCancel or ForwardQuery. Each of these actions is followed by
// exactly one ForwardReplied or ForwardLost; repeated events are ignored.
struct ForwardReplied
{
    uint64_t forward = 0;
    OutcomePtr outcome;     // null if the request was a query and there is no outcome yet
    bool isRunning = false; // for a query: whether the submission is running
};
struct ForwardLost
{
    uint64_t forward = 0;
};

// Reply of a backend server to SendStarts. If the request had `wait` set, each result is final.
struct StartReplied
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    uint64_t instance = 0;
    std::vector<TaskReply> results;
    std::optional<uint32_t> freeSlots;
    bool leaving = false;
};
// SendStarts got no reply. Exactly one of StartReplied and StartLost is expected per exchange.
struct StartLost
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    bool wasSent = true; // false only if no byte of the request can have reached the server
};
// A result fetched from a worker. The same result may be delivered several times.
struct TaskFinished
{
    uint32_t backend = 0;
    uint64_t instance = 0;
    TaskReply reply;
    std::optional<uint32_t> freeSlots;
};
// Reply of a backend server to SendInquiry or SendStop.
struct InquiryReplied
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    uint64_t instance = 0;
    std::vector<TaskReply> results;
};
struct InquiryLost
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
};
// This VM failed to renew its lease at a worker in time.
struct LeaseLapsed
{
    uint32_t backend = 0;
};

// The following five events concern tasks that this VM has lent to a peer: the reply to SendLend or
// its loss, the result of a lent task, and the reply to SendLendInquiry or its loss. The
// incarnation is that of the peer.
struct LendReplied
{
    std::string vm;
    uint64_t incarnation = 0;
    uint64_t exchange = 0;
    std::vector<TaskReply> results; // Accepted or Refused
};
struct LendLost
{
    std::string vm;
    uint64_t exchange = 0;
    bool wasSent = true;
};
struct LendFinished
{
    std::string vm;
    uint64_t incarnation = 0;
    std::vector<TaskReply> results;
};
struct LendInquiryReplied
{
    std::string vm;
    uint64_t incarnation = 0;
    uint64_t exchange = 0;
    std::vector<TaskReply> results;
};
struct LendInquiryLost
{
    std::string vm;
    uint64_t exchange = 0;
};

// A request of a lender to run its tasks on this VM.
struct LendReceived
{
    std::string vm;
    uint64_t exchange = 0;
    uint64_t expectedIncarnation = 0; // of this VM, as known to the lender; 0 if unknown
    Time expiry;                      // latest time at which the tasks may be started
    std::vector<LentTask> tasks;
};
// A request of a lender for the status of its tasks, or to stop them.
struct LendInquiryReceived
{
    std::string vm;
    uint64_t exchange = 0;
    std::vector<TaskId> ids;
    bool stop = false; // true for a LendStop message
};

// The list of all known backend servers was read. ownShare has the names of the servers that this
// VM may use. asOf is the time at which the list was read, not the time at which the event is
// handled.
struct BackendsChanged
{
    std::vector<BackendInfo> backends;
    std::set<std::string> ownShare;
    Time asOf;
};
// The list of the backend servers was read again and has not changed.
struct BackendsUnchanged
{
    Time asOf;
};
struct PeerCapacityChanged
{
    PeerCapacity capacity;
};
struct CatalogueChanged
{
    Catalogue catalogue;
};
// The peer is dead, has left or does not receive the messages of this VM.
struct PeerLost
{
    std::string vm;
};
// A VM has left after draining. The successor now answers requests about the ids that it issued.
struct IssuerSealed
{
    Issuer issuer;
    std::string successor; // empty without a successor; the ids are then answered MayHaveRun
};
// This VM is the successor of a leaving VM and received a part of its ledger.
struct HandoverReceived
{
    std::string vm;
    LedgerPart part;
};
// This VM is leaving and its successor acknowledged a part of the ledger.
struct HandoverAcknowledged
{
    uint32_t part = 0;
    Issuer issuer;
};
// The process received a stop signal. A second signal ends the drain at once: every open request is
// answered with the verdict that is known by then.
struct DrainRequested
{
    std::string successor; // VM that takes over the ledger; empty if there is none
    std::string redirect;  // address of a peer that is sent to refused callers
};
// A newer incarnation of this VM exists, so this process must not start tasks any more.
struct FenceRequested
{ };
struct Tick
{ };

using Event =
        std::variant<OpenRequested, SubmitRequested, CancelRequested, QueryRequested,
                     ForwardReplied, ForwardLost, StartReplied, StartLost, TaskFinished,
                     InquiryReplied, InquiryLost, LeaseLapsed, LendReplied, LendLost, LendFinished,
                     LendInquiryReplied, LendInquiryLost, LendReceived, LendInquiryReceived,
                     BackendsChanged, BackendsUnchanged, PeerCapacityChanged, CatalogueChanged,
                     PeerLost, IssuerSealed, HandoverReceived, HandoverAcknowledged, DrainRequested,
                     FenceRequested, Tick>;

// Actions.

struct ReplyOpened
{
    Origin origin;
    Result<std::vector<SubmissionId>> ids;
    std::string redirect;
};
// The reply to a local or forwarded submission or cancellation, or to a query of a finished
// submission.
struct CompleteSubmission
{
    Origin origin;
    SubmissionId id;
    OutcomePtr outcome;
    std::string redirect; // address of a peer, set only with error code Draining
};
// The reply to a query of a submission without an outcome. A query of a finished submission is
// answered by CompleteSubmission.
struct ReplyState
{
    Origin origin;
    SubmissionId id;
    bool isRunning = false; // false if the id was opened but nothing was submitted under it
};
struct ForwardSubmission
{
    uint64_t forward = 0;
    std::string vm;
    SubmitRequested request; // the receiver replaces the origin
};
struct ForwardCancel
{
    uint64_t forward = 0;
    std::string vm;
    SubmissionId id;
    std::string owner;
};
struct ForwardQuery
{
    uint64_t forward = 0;
    std::string vm;
    SubmissionId id;
    std::string owner;
};
// One start message. `need` applies to all of its tasks, and need.deadline is not before expiry.
struct SendStarts
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    uint64_t instance = 0; // expected instance, others refuse the message; 0 matches any instance
    Time expiry;           // the server refuses the message after this time
    Duration lease {};     // of this VM at a worker; not used for executors
    bool wait = false;     // true for executors, which reply when all tasks have ended
    TaskRequirements need;
    std::vector<TaskStart> tasks;
};
// Asks a server for the status of tasks. Without ids it only asks for the instance of the server.
struct SendInquiry
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    std::vector<TaskId> ids;
};
struct SendStop
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    std::vector<TaskId> ids;
};
struct SendLend
{
    std::string vm;
    uint64_t exchange = 0;
    uint64_t expectedIncarnation = 0;
    Time expiry;
    std::vector<LentTask> tasks;
};
struct SendLendInquiry
{
    std::string vm;
    uint64_t exchange = 0;
    std::vector<TaskId> ids;
    bool stop = false; // true for a LendStop message
};
// The following three actions are messages to a lender whose tasks this VM has borrowed.
struct SendLendReply
{
    std::string vm;
    uint64_t exchange = 0;
    std::vector<TaskReply> results;
};
struct SendLendResult
{
    std::string vm;
    std::vector<TaskReply> results;
};
struct SendLendInquiryReply
{
    std::string vm;
    uint64_t exchange = 0;
    std::vector<TaskReply> results;
};
// Sends a part of the ledger to the successor. It is repeated until the part is acknowledged. With
// the first one, the daemon must also announce the successor to all VMs.
struct HandOverLedger
{
    std::string successor;
    LedgerPart part;
};
struct AcknowledgeHandover
{
    std::string vm;
    Issuer issuer;
    uint32_t part = 0;
};
// The process may exit. The actions up to this one include the reply to every caller. The daemon
// must still pass the requests that wait in its event queue; they are refused.
struct DrainFinished
{
    bool wasOrderly = true; // false if ended by a time limit or a second signal
};

using Action =
        std::variant<ReplyOpened, CompleteSubmission, ReplyState, ForwardSubmission, ForwardCancel,
                     ForwardQuery, SendStarts, SendInquiry, SendStop, SendLend, SendLendInquiry,
                     SendLendReply, SendLendResult, SendLendInquiryReply, HandOverLedger,
                     AcknowledgeHandover, DrainFinished>;

struct DispatcherOptions
{
    Issuer self;
    // Lifetime of a start message. A server refuses an expired message, so a delayed one cannot
    // arrive after the 2 s in which a leaving server may still receive work.
    Duration startExpiry = std::chrono::seconds(1);
    Duration lease = std::chrono::seconds(5);
    // Servers keep results and tombstones for 60 s. The reply "unknown" about a task whose start
    // was sent longer ago than this does not prove that the task never ran.
    Duration serverRetention = std::chrono::seconds(50);
    // Time for which a borrower keeps results and tombstones.
    Duration borrowedRetention = std::chrono::seconds(60);
    Duration initialInquiryDelay = std::chrono::milliseconds(20);
    Duration maxInquiryDelay = std::chrono::seconds(1);
    // An inquiry or stop message without a reply within this time counts as lost.
    Duration inquiryTimeout = std::chrono::seconds(1);
    // Interval between inquiries about a lent task without a result.
    Duration lentTaskCheckInterval = std::chrono::seconds(1);
    // A cancellation is confirmed with MayHaveRun if a server has not replied within this time. It
    // must exceed startExpiry, so that nothing starts after the confirmation.
    Duration cancelTimeout = std::chrono::seconds(2);
    // Time after the deadline for which a server is still asked to stop the remaining tasks of an
    // answered submission.
    Duration stopRetryPeriod = std::chrono::seconds(5);
    // Time allowed for the reply to a forwarded request, beyond the deadline of a submission.
    Duration forwardTimeout = std::chrono::seconds(2);
    // A longer gap between two events means that the process was paused. The caller must pass ticks
    // at shorter intervals.
    Duration pauseThreshold = std::chrono::seconds(1);
    // After a pause nothing starts until the list of the servers was read again, but for no longer
    // than this time.
    Duration startHoldAfterPause = std::chrono::seconds(1);
    Duration drainDeadline = std::chrono::seconds(30);
    Duration handoverRetryInterval = std::chrono::milliseconds(500);
    Duration handoverTimeout = std::chrono::seconds(5);
    size_t maxAnswerBytes = size_t(4) << 20; // limit for the output of one task
    size_t maxBatchTasks = 256;              // limit for the tasks in one start or lend message
};

// Counts of protocol violations by one backend server or peer.
struct ServerFaults
{
    uint64_t unknownAnswers = 0;  // replies about tasks that were not sent to this server
    uint64_t oversizeAnswers = 0; // outputs above DispatcherOptions::maxAnswerBytes
    uint64_t malformedAnswers = 0;
    uint64_t startsAfterRefusal = 0;   // reports that a refused task has started
    uint64_t contradictoryAnswers = 0; // for example "refused" after "accepted"

    bool operator==(const ServerFaults &) const = default;
};

struct DispatchCounters
{
    uint64_t starts = 0; // tasks sent to backend servers
    uint64_t startMessages = 0;
    uint64_t lends = 0; // tasks lent to peers
    uint64_t refusedStarts = 0;
    uint64_t lostStarts = 0; // tasks whose start reply was lost
    uint64_t inquiries = 0;  // inquiry messages
    uint64_t stops = 0;      // stop messages
    uint64_t retries = 0;
    uint64_t cancelledTasks = 0; // never sent because the submission was cancelled or failed
    uint64_t lateReplies = 0;    // replies about attempts that had already ended
    uint64_t pauses = 0;         // detected pauses of the process
    uint64_t completed = 0;      // submissions with a complete answer
    uint64_t failedNotRun = 0;
    uint64_t failedMayHaveRun = 0;
    uint64_t failedRan = 0;
    uint64_t borrowed = 0; // tasks accepted from peers
};

enum class DispatcherState { Serving, Draining, HandingOver, Finished };

// Runs submissions with the help of Ledger, Admission and Placement. Not thread-safe.
//
// The caller must
// - read the clock right before each call of handle();
// - pass a Tick at least every 250 ms and at nextWake();
// - call takeActions() after handling all events that are ready, so that starts are batched;
// - carry out the actions in order;
// - keep the results in each server reply within the limits of DispatcherOptions.
class Dispatcher
{
public:
    Dispatcher(DispatcherOptions options, Ledger ledger, Placement placement, Admission admission,
               Time started);
    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    void handle(Event event, Time now);
    // Starts queued work and returns the actions since the last call.
    std::vector<Action> takeActions(Time now);
    // Latest time of the next Tick.
    Time nextWake(Time now) const;

    DispatcherState state() const;
    bool isFenced() const;
    // Number of submissions that are not answered yet.
    size_t inFlight() const;
    const DispatchCounters &counters() const;
    // Faults of the backend server or peer with this name. All counts are 0 for an unknown name.
    ServerFaults faultsOf(const std::string &server) const;
    const Ledger &ledger() const;
    Placement &placement();
    const Placement &placement() const;
    Admission &admission();
    // Capacity to advertise to peers. It is empty while this VM is draining, fenced or held after a
    // pause.
    PeerCapacity advertisedCapacity(Time now) const;

private:
    class Engine;
    std::unique_ptr<Engine> engine_;
};

} // namespace lovage
