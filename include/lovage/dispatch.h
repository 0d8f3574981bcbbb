// Engine that starts the tasks of accepted submissions and decides the verdict of each. Events and
// a time go in, actions come out; no sockets, threads or clock.
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

// A caller that waits for a reply. The request number is chosen by the daemon that holds the
// connection and is unique among its open requests.
struct LocalCaller
{
    uint64_t request = 0;

    bool operator==(const LocalCaller &) const = default;
};
// A caller at another VM that forwarded the request (ForwardSubmit, ForwardCancel, ForwardQuery).
struct RemoteCaller
{
    std::string vm;
    uint64_t request = 0;

    bool operator==(const RemoteCaller &) const = default;
};
using Origin = std::variant<LocalCaller, RemoteCaller>;

enum class TaskStatus {
    Accepted,  // started, or for a peer: will be started
    Refused,   // not started and never will be
    Done,      // ended with an output
    Failed,    // started and ended in failure
    Duplicate, // the server already knew the id
    Unknown,   // never seen; the server now refuses it (tombstone)
    Running,
    Stopped,   // started and stopped by request or lapsed lease
    Lost,      // peers only: the peer cannot tell whether the task ran
    Malformed, // the daemon could not decode the answer of the server
};

// What a backend server or peer says about one task.
struct TaskReply
{
    TaskId id;
    TaskStatus status = TaskStatus::Accepted;
    bool hasOutput = true; // false: Done without the output, as in inquiries to backend servers
    std::string output {};
    std::string reason {};
    Duration runTime {};
};

// The input of one task with the caller's name for it (empty for a single request).
struct TaskInput
{
    std::string name;
    std::string input;
};

// Input shared with the submission, so that a start and its retry never copy it.
using SharedInput = std::shared_ptr<const std::string>;

struct TaskStart
{
    TaskId id;
    SharedInput input;
};

// A task lent by another VM. Only the lender decides about retries and verdicts.
struct LentTask
{
    TaskId id;
    TaskRequirements need; // need.deadline is the deadline of the submission
    SharedInput input;
};

// Events. A backend server is named by its index in Placement.
//
// `instance` tells the processes of one backend server apart and grows with each restart (for
// example its start time; for a peer its incarnation). 0 means that it was not reported. A server
// that lost its memory answers "unknown" for tasks that it ran, so "unknown" proves NotRun only if
// the instance is reported and the same as before the start was sent; otherwise the verdict is
// MayHaveRun.

struct OpenRequested
{
    Origin origin;
    uint32_t count = 1; // ids to issue: the id and the spare ids
};

// A submission from a caller or forwarded by another VM. The daemon may refuse a body before this
// event only for reasons that lie in the body itself, so that a resubmission is refused as well.
struct SubmitRequested
{
    Origin origin;
    SubmissionId id;   // unused with a key
    std::string key;   // keyed one-shot submission; this VM is the home of the key
    std::string owner; // authenticated
    std::string entry;
    uint64_t bodyDigest = 0; // of entry, deadline, repeatable and tasks; not 0
    Time deadline;           // absolute
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

// Reply to ForwardSubmission, ForwardCancel or ForwardQuery. Exactly one of the two events follows
// each forward action; repeated ones are ignored.
struct ForwardReplied
{
    uint64_t forward = 0;
    OutcomePtr outcome;     // null for a query of a submission without an outcome
    bool isRunning = false; // of a query
};
struct ForwardLost
{
    uint64_t forward = 0;
};

// Reply of a backend server to SendStarts. With `wait` each result is final.
struct StartReplied
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    uint64_t instance = 0;
    std::vector<TaskReply> results;
    std::optional<uint32_t> freeSlots;
    bool leaving = false;
};
// No reply to SendStarts. Exactly one of StartReplied and StartLost is expected per exchange.
struct StartLost
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    bool wasSent = true; // false only if no byte of the request can have reached the server
};
// A result fetched from a worker. May be repeated.
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
// The lease of this VM at a worker was not renewed in time.
struct LeaseLapsed
{
    uint32_t backend = 0;
};

// As lender: reply to SendLend, result of a lent task, reply to SendLendInquiry or SendLendStop.
// The incarnation is that of the sender.
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

// As borrower: messages of a lender.
struct LendReceived
{
    std::string vm;
    uint64_t exchange = 0;
    uint64_t expectedIncarnation = 0; // of this VM as known to the lender; 0 if unknown
    Time expiry;                      // the tasks must not be started later
    std::vector<LentTask> tasks;
};
struct LendInquiryReceived
{
    std::string vm;
    uint64_t exchange = 0;
    std::vector<TaskId> ids;
    bool stop = false; // LendStop
};

// Every known backend server; ownShare names those this VM may use. asOf is the time at which the
// list was read, not the time at which the event is handled.
struct BackendsChanged
{
    std::vector<BackendInfo> backends;
    std::set<std::string> ownShare;
    Time asOf;
};
// The view of the backend servers was read again and is the same.
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
// The peer is dead, left, or does not hear this VM.
struct PeerLost
{
    std::string vm;
};
// A VM left in an orderly way; the successor answers for its ids.
struct IssuerSealed
{
    Issuer issuer;
    std::string successor; // empty: none, its ids may have run
};
// As successor: a part of a handed-over ledger.
struct HandoverReceived
{
    std::string vm;
    LedgerPart part;
};
// As leaving VM: the successor has this part.
struct HandoverAcknowledged
{
    uint32_t part = 0;
    Issuer issuer;
};
// Stop signal. The second one ends the drain at once with true verdicts.
struct DrainRequested
{
    std::string successor; // empty: nobody to hand over to
    std::string redirect;  // address of a peer for refused callers
};
// A newer incarnation of this VM name exists.
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
// The reply to a submission, cancellation or forwarded submission.
struct CompleteSubmission
{
    Origin origin;
    SubmissionId id;
    OutcomePtr outcome;
    std::string redirect; // with code Draining: address of a peer
};
// The reply to a query that is not finished; finished ones get CompleteSubmission.
struct ReplyState
{
    Origin origin;
    SubmissionId id;
    bool isRunning = false; // false: opened, nothing submitted
};
struct ForwardSubmission
{
    uint64_t forward = 0;
    std::string vm;
    SubmitRequested request; // origin is replaced by the receiver
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
// One start message. All tasks share the need; its deadline is not below expiry.
struct SendStarts
{
    uint32_t backend = 0;
    uint64_t exchange = 0;
    uint64_t instance = 0; // a server that reports another instance must refuse; 0: any
    Time expiry;           // the server refuses a start after it
    Duration lease {};     // workers only
    bool wait = false;     // executors: the reply comes when all tasks have ended
    TaskRequirements need;
    std::vector<TaskStart> tasks;
};
// Without ids the reply only tells the instance of the server.
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
    bool stop = false; // LendStop
};
// As borrower.
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
// Repeated until acknowledged. The first one also means: tell all VMs about the successor.
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
// The process may exit. Every caller has its reply among the actions up to this one; requests that
// wait in the event queue of the daemon are still to be passed, and are refused.
struct DrainFinished
{
    bool wasOrderly = true; // false: ended by the deadline or the second signal
};

using Action =
        std::variant<ReplyOpened, CompleteSubmission, ReplyState, ForwardSubmission, ForwardCancel,
                     ForwardQuery, SendStarts, SendInquiry, SendStop, SendLend, SendLendInquiry,
                     SendLendReply, SendLendResult, SendLendInquiryReply, HandOverLedger,
                     AcknowledgeHandover, DrainFinished>;

struct DispatcherOptions
{
    Issuer self;
    // A server refuses a start after this time, so a delayed start message cannot outlive the 2 s
    // that a leaving server may still receive work.
    Duration startExpiry = std::chrono::seconds(1);
    Duration lease = std::chrono::seconds(5);
    // Servers keep results and tombstones for 60 s; an older "unknown" proves nothing.
    Duration serverRetention = std::chrono::seconds(50);
    // A borrower keeps results and tombstones for this time.
    Duration borrowedRetention = std::chrono::seconds(60);
    Duration initialInquiryDelay = std::chrono::milliseconds(20);
    Duration maxInquiryDelay = std::chrono::seconds(1);
    // No reply to an inquiry or stop within this time counts as lost.
    Duration inquiryTimeout = std::chrono::seconds(1);
    // A lent task without a result is inquired about at this interval.
    Duration lentTaskCheckInterval = std::chrono::seconds(1);
    // A cancellation is confirmed with MayHaveRun when a server has not answered by then. Above
    // startExpiry, so that nothing starts after the confirmation.
    Duration cancelTimeout = std::chrono::seconds(2);
    // A server is asked to stop tasks of an answered submission for this time after its deadline.
    Duration stopRetryPeriod = std::chrono::seconds(5);
    Duration forwardTimeout = std::chrono::seconds(2); // beyond the deadline of the submission
    // A gap between two events above this means that the process was paused. Ticks must come more
    // often.
    Duration pauseThreshold = std::chrono::seconds(1);
    // After a pause nothing starts until the view of the servers was read again, or for this time
    // if it cannot be read.
    Duration startHoldAfterPause = std::chrono::seconds(1);
    Duration drainDeadline = std::chrono::seconds(30);
    Duration handoverRetryInterval = std::chrono::milliseconds(500);
    Duration handoverTimeout = std::chrono::seconds(5);
    size_t maxAnswerBytes = size_t(4) << 20; // of one task
    size_t maxBatchTasks = 256;              // tasks in one start message
};

struct ServerFaults
{
    uint64_t unknownAnswers = 0; // for tasks that were never given to it
    uint64_t oversizeAnswers = 0;
    uint64_t malformedAnswers = 0;
    uint64_t startsAfterRefusal = 0;
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
    uint64_t inquiries = 0;  // messages
    uint64_t stops = 0;      // messages
    uint64_t retries = 0;
    uint64_t cancelledTasks = 0; // never sent because the submission was cancelled or failed
    uint64_t lateReplies = 0;    // about attempts that had ended
    uint64_t pauses = 0;
    uint64_t completed = 0;
    uint64_t failedNotRun = 0;
    uint64_t failedMayHaveRun = 0;
    uint64_t failedRan = 0;
    uint64_t borrowed = 0;
};

enum class DispatcherState { Serving, Draining, HandingOver, Finished };

// Ties Ledger, Admission and Placement together. Single-threaded.
//
// Obligations of the caller: read the clock right before each handle(); pass a Tick at least every
// 250 ms and at nextWake(); call takeActions() after handling all events that are ready, so that
// starts are batched; carry out the actions in order; keep tasks of each server answer under the
// limits of DispatcherOptions.
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
    // Unanswered submissions.
    size_t inFlight() const;
    const DispatchCounters &counters() const;
    // By name of a backend server or peer; zeros for an unknown one.
    ServerFaults faultsOf(const std::string &server) const;
    const Ledger &ledger() const;
    Placement &placement();
    const Placement &placement() const;
    Admission &admission();
    // Capacity to advertise to peers; nothing while draining, fenced or holding after a pause.
    PeerCapacity advertisedCapacity(Time now) const;

private:
    class Engine;
    std::unique_ptr<Engine> engine_;
};

} // namespace lovage
