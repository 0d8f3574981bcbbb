// Bookkeeping of running submissions, servers and borrowed tasks.
#pragma once

#include "attempt.h"
#include "lovage/dispatch.h"

#include <boost/container_hash/hash.hpp>

#include <limits>
#include <queue>

namespace lovage::dispatch {

constexpr uint32_t noServer = std::numeric_limits<uint32_t>::max();
constexpr Time never = Time::max();

// Names one attempt. It is stale when the task has moved on to another attempt.
struct TaskRef
{
    uint64_t submission = 0;
    uint32_t index = 0;
    uint32_t attempt = 0;
};

struct Task
{
    Time sentAt;
    uint64_t instance = 0; // of the server when the start was sent; 0 if unknown
    uint32_t attempt = 0;
    uint32_t server = noServer; // index into the servers of the engine while outstanding
    AttemptState state = AttemptState::Queued;
    bool attemptStarted = false; // a server reported that the present attempt started
    bool started = false;        // as above, for any attempt
    bool succeeded = false;
    bool retried = false;
    bool stopWanted = false;
};

// What only borrowed tasks have.
struct Loan
{
    std::string lender;
    TaskId id;
    SharedInput input;
    Time startBy; // expiry of the lend message
};

// A submission of this VM, or one borrowed task.
struct Submission
{
    uint64_t number = 0; // sequence of the id, or a number of its own with borrowedBit
    SubmissionId id;
    TaskRequirements need;
    bool repeatable = false;
    bool isAnswered = false;
    bool isConfirmed =
            false; // the answer waits until every stop is confirmed or cancelTimeout ends
    bool anyStarted = false;
    bool anyUnknown = false;
    uint32_t remaining = 0;   // tasks that have not succeeded
    uint32_t outstanding = 0; // attempts that are Sent, Running or Asking
    Time endAt = never;       // next time limit: deadline, end of cancelTimeout or of lingering
    std::optional<Error> abort;
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
    uint64_t instance = 0;    // latest one reported
    bool isContacted = false; // the server has replied to something
    ServerFaults faults;

    std::vector<TaskRef> asking; // may hold stale references
    std::vector<TaskRef> lent;   // peers: tasks to check for lost results
    uint64_t inquiry = 0;        // exchange of the open inquiry; 0 if none
    uint64_t stop = 0;           // exchange of the open stop; 0 if none
    Time inquirySentAt;
    Time stopSentAt;
    Time nextInquiry = never;
    Time nextStop = never;
    Time nextLendCheck = never;
    Duration delay {};
    uint32_t openBatch = noServer; // index into the batches that are not flushed yet
};

// A start or lend message whose reply is open.
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
    uint64_t submission = 0; // executors: all tasks are of this one
    Time expiry;
    TaskRequirements need;
    std::vector<TaskRef> refs;
};

enum class BorrowedState : uint8_t { Active, Tombstone, Finished };

// What this VM answers a lender about a task id.
struct BorrowedRecord
{
    BorrowedState state = BorrowedState::Tombstone;
    uint64_t submission = 0; // Active
    TaskReply reply;         // Finished
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

// A request that another VM answers.
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
