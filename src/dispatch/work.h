// State that the dispatcher keeps about running submissions, servers and borrowed tasks.
#pragma once

#include "attempt.h"
#include "lovage/dispatch.h"

#include <boost/container_hash/hash.hpp>

#include <limits>
#include <queue>

namespace lovage::dispatch {

constexpr uint32_t noServer = std::numeric_limits<uint32_t>::max();
constexpr Time never = Time::max();

// Reference to one attempt at a task. It is stale once the task has a newer attempt.
struct TaskRef
{
    uint64_t submission = 0;
    uint32_t index = 0;
    uint32_t attempt = 0;
};

struct Task
{
    Time sentAt;
    uint64_t instance = 0; // of the server as known when the start was sent; 0 if unknown
    uint32_t attempt = 0;
    uint32_t server = noServer; // index of the server in Engine::servers_ while outstanding
    AttemptState state = AttemptState::Queued;
    bool attemptStarted = false; // a server reported that the current attempt started
    bool started = false;        // a server reported that some attempt started
    bool succeeded = false;
    bool retried = false;
    bool stopRequested = false;
};

// Additional state of a task that another VM has lent to this one.
struct Loan
{
    std::string lender;
    TaskId id;
    SharedInput input;
    Time expiry; // of the lend message
};

// A submission of this VM, or a single borrowed task.
struct Submission
{
    uint64_t number = 0; // sequence number of the id, or for a borrowed task one with borrowedBit
    SubmissionId id;
    TaskRequirements need;
    bool repeatable = false;
    bool isAnswered = false;
    bool awaitsStops = false; // the answer waits for all stops, at most for cancelTimeout
    bool anyStarted = false;
    bool anyUnknown = false;         // whether it is unknown if some attempt has run
    uint32_t remaining = 0;          // tasks that have not succeeded yet
    uint32_t outstanding = 0;        // attempts in state Sent, Running or Inquiring
    Time timerAt = never;            // the deadline or the end of cancelTimeout or stopRetryPeriod
    std::optional<Error> abortError; // set once the submission is aborted
    std::shared_ptr<const std::vector<TaskInput>> inputs;
    std::vector<Task> tasks;
    std::vector<std::string> outputs;
    std::vector<Origin> waiters;
    std::unique_ptr<Loan> loan; // borrowed tasks only

    bool isBorrowed() const { return loan != nullptr; }
};

struct Server
{
    std::string name; // of the backend server or peer VM
    bool isPeer = false;
    uint32_t backend = noServer;
    BackendKind kind = BackendKind::Executor;
    uint64_t instance = 0;   // latest instance that was reported
    bool hasReplied = false; // whether any reply of the server has arrived
    ServerFaults faults;

    std::vector<TaskRef> inquiringTasks; // may hold stale references
    std::vector<TaskRef> lent;           // for a peer: tasks to check for lost results
    uint64_t inquiry = 0;                // exchange of the open inquiry; 0 if none
    uint64_t stop = 0;                   // exchange of the open stop; 0 if none
    Time inquirySentAt;
    Time stopSentAt;
    Time nextInquiry = never;
    Time nextStop = never;
    Time nextLendCheck = never;
    Duration inquiryDelay {};
    uint32_t openBatch = noServer; // index into the batches that are not flushed yet
};

// A start or lend message that awaits its reply.
struct Exchange
{
    uint32_t server = noServer;
    std::vector<TaskRef> refs;
};

// A start or lend message that is being filled.
struct Batch
{
    uint32_t server = noServer;
    uint64_t exchange = 0;
    uint64_t submission = 0; // for an executor: the submission of all its tasks
    Time expiry;
    TaskRequirements need;
    std::vector<TaskRef> refs;
};

enum class BorrowedState : uint8_t { Active, Tombstone, Finished };

// State of the id of a borrowed task, from which this VM answers the lender.
struct BorrowedRecord
{
    BorrowedState state = BorrowedState::Tombstone;
    uint64_t submission = 0; // valid in state Active
    TaskReply reply;         // valid in state Finished
};

struct TaskIdHash
{
    size_t operator()(const TaskId &id) const
    {
        size_t seed = std::hash<std::string> {}(id.submission.vm);
        boost::hash_combine(seed, id.submission.incarnation);
        boost::hash_combine(seed, id.submission.sequence);
        boost::hash_combine(seed, id.index);
        boost::hash_combine(seed, id.attempt);
        return seed;
    }
};

// A request that was forwarded to another VM.
struct Forward
{
    Origin origin;
    SubmissionId id;
};

template<class Value>
struct Timed
{
    Time at;
    Value value;

    bool operator>(const Timed &other) const { return at > other.at; }
};
template<class Value>
using TimedQueue =
        std::priority_queue<Timed<Value>, std::vector<Timed<Value>>, std::greater<Timed<Value>>>;

} // namespace lovage::dispatch
