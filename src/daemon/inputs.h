// Input types of the decision thread and the queue that delivers them.
#pragma once

#include "lovage/catalogue.h"
#include "lovage/dispatch.h"
#include "lovage/membership.h"
#include "lovage/net.h"
#include "lovage/protocol.h"
#include "lovage/telemetry.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace lovage::daemon {

// A caller's pending HTTP request.
struct WaitingCaller
{
    HttpServer::Reply reply;
    std::string id;           // as sent by the caller; repeated in failure bodies
    std::optional<Span> span; // of the caller's request
    Time received {};
    bool wantsSpareIds = false;
    std::string spareIds; // header value of the answer
    bool isOpen = false;  // POST /v1/submissions
};

// A caller's request for the Dispatcher. The decision thread sets the origin of the event.
struct CallerInput
{
    Event event;
    WaitingCaller caller;
};

struct PublishInput
{
    ChangeRecord change;
    HttpServer::Reply reply;
};

struct StatusInput
{
    HttpServer::Reply reply;
};

// A verified message of another VM. `from` is set only for datagrams.
struct PeerInput
{
    Endpoint from;
    Envelope envelope;
};

// Reply to a poll of the VM list. If the poll failed, `vms` is nullopt and `reason` is set.
struct VmListInput
{
    std::optional<std::vector<VmListEntry>> vms;
    std::string reason;
    Time asOf {}; // when the poll was sent
};

// Reply of a worker to a long poll for results.
struct WorkerResults
{
    uint32_t backend = 0;
    bool isFailed = false;
    uint64_t instance = 0;
    uint64_t next = 0;
    std::optional<uint32_t> freeSlots;
    bool leaving = false;
    std::vector<TaskReply> results;
};

// Result of a request to a worker to renew this VM's leases.
struct LeaseAnswer
{
    uint32_t backend = 0;
    bool isRenewed = false;
    Time sentAt {};
};

struct StopInput
{ };

using Input = std::variant<Event, CallerInput, PublishInput, StatusInput, PeerInput, VmListInput,
                           WorkerResults, LeaseAnswer, LogPage, LogError, AppendReplied,
                           AppendFailed, StopInput>;

// Multi-producer queue of the decision thread. Producers hold the mutex only to move one input in;
// the consumer takes all queued inputs at once.
class InputQueue
{
public:
    // Thread safe.
    void push(Input input);
    // Waits for input, at most for the given duration, and replaces the content of the batch.
    void take(std::vector<Input> &batch, Duration wait);

private:
    std::mutex mutex_;
    std::condition_variable ready_;
    std::vector<Input> inputs_;
    bool isWaiting_ = false;
};

} // namespace lovage::daemon
