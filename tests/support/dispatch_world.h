// Simulation of several dispatchers, fake backend servers and an unreliable network in virtual
// time. Replies are checked against the starts that the fake servers record.
#pragma once

#include "lovage/dispatch.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <functional>
#include <map>
#include <queue>

namespace lovage::test {

using namespace std::chrono_literals;

inline const Time simulationStart = fromUnixMillis(1'700'000'000'000);

enum class MessageKind {
    Start,
    StartReply,
    Inquiry,
    InquiryReply,
    Stop,
    StopReply,
    Result,
    Forward,
    ForwardReply,
    Lend,
    LendReply,
    LendResult,
    LendInquiry,
    LendInquiryReply,
    Handover,
    HandoverAck,
    View
};

// How the simulated network delivers one message.
struct Delivery
{
    bool isDropped = false;
    Duration delay = 1ms;
    std::optional<Duration> copyDelay {}; // set: a second copy arrives after this time
};

enum class RunEnd { Running, Succeeded, Failed, Stopped, Crashed };

// A task start as recorded by a fake server.
struct StartRecord
{
    TaskId id;
    std::string server;
    Time at;
    RunEnd end = RunEnd::Running;
    Time endedAt = Time::max();
};

struct FakeServer
{
    BackendInfo info;
    uint64_t instance = 1;
    bool isUp = true;
    std::optional<Time> leavingSince; // as marked in the VM list; unknown to the server itself
    Duration runTime = 20ms;
    double failureProbability = 0;
    bool startsAfterRefusal = false; // fault: runs tasks that it has refused
    bool acceptsExpired = false;     // fault: ignores the expiry of starts
    size_t outputPadding = 0;        // bytes added to every output
    bool sendsMalformedResults = false;

    struct Run
    {
        size_t record = 0; // index into World::starts
        std::string output;
        RunEnd end = RunEnd::Running;
        std::string holder;
    };
    std::map<std::string, Run> runs;
    std::set<std::string> tombstones;
    std::map<std::string, Time> leases; // by holder VM
    // Pending replies of executors. Each function returns true once the reply has been sent.
    std::map<uint64_t, std::function<bool()>> pendingReplies;
    std::vector<std::function<void()>> onCrash;
    size_t running = 0;
};

struct Reply
{
    Time at;
    SubmissionId id;
    OutcomePtr outcome;
};

struct World
{
    struct Vm
    {
        std::string name;
        std::string dataCentre;
        Issuer self;
        std::unique_ptr<Dispatcher> dispatcher;
        bool isPaused = false;
        bool isFinished = false;
        std::vector<Event> inbox; // events deferred until the end of a pause
        Time wakeAt = Time::max();
        Duration pausedFor {};
        std::map<uint32_t, Time> leaseUntil; // by backend, as known to this VM
    };

    explicit World(uint64_t seed = 1) : random(seed) { }

    Time now = simulationStart;
    Random random;
    std::vector<Vm> vms;
    std::vector<FakeServer> servers;
    std::vector<StartRecord> starts;
    std::map<uint64_t, Reply> replies;          // by request number
    std::map<uint64_t, SubmissionId> openedIds; // by request number
    std::map<std::string, bool> repeatableIds;  // by id
    std::map<uint64_t, std::vector<std::string>> requestInputs;
    std::map<uint64_t, SubmissionId> requestIds; // id that each submission or cancellation named
    std::set<uint64_t> cancels;                  // requests that are cancellations
    std::vector<std::pair<MessageKind, Time>> messages; // every message that was sent
    std::function<Delivery(MessageKind, const std::string &from, const std::string &to)>
            chooseDelivery;
    std::set<std::pair<std::string, std::string>> partitionedPairs; // in both orders
    DispatcherOptions options;
    uint64_t nextRequest = 0;
    Duration replyTimeout = 300ms;
    uint64_t lastLendExchange = 0;
    size_t drainsFinished = 0;
    bool wasLastDrainOrderly = false;

    // Set-up.
    void addServer(const std::string &name, const std::string &dataCentre, BackendKind kind,
                   uint32_t slots);
    size_t addVm(const std::string &name, const std::string &dataCentre);
    void startVm(size_t vm);
    void publishView(size_t vm);

    // Virtual time.
    void at(Time time, std::function<void()> action)
    {
        queue.push({time, ++order, std::move(action)});
    }
    void after(Duration delay, std::function<void()> action) { at(now + delay, std::move(action)); }
    void run(Duration duration);

    // Callers.
    SubmissionId open(size_t vm);
    uint64_t submit(size_t vm, const SubmissionId &id, std::vector<std::string> inputs,
                    bool repeatable = false, Duration deadline = 5s, uint64_t digest = 7,
                    const std::string &entry = "screen", const std::string &key = {});
    uint64_t cancel(size_t vm, const SubmissionId &id);
    const Error *failure(uint64_t request) const;
    const Answer *answer(uint64_t request) const;
    std::vector<StartRecord> startsOf(const SubmissionId &id) const;
    size_t count(MessageKind kind) const;
    size_t serverIndex(const std::string &name) const;

    // Checks every reply against the starts recorded by the fake servers. Returns one text for each
    // violated guarantee.
    std::vector<std::string> violations() const;

    // Faults.
    void crashVm(size_t vm);
    void pauseVm(size_t vm) { vms[vm].isPaused = true; }
    void resumeVm(size_t vm);
    void crashServer(size_t server);
    void restartServer(size_t server);
    void partition(const std::string &left, const std::string &right);
    void heal() { partitionedPairs.clear(); }
    void markLeaving(size_t server);
    void drain(size_t vm, const std::string &successor);

    void deliver(size_t vm, uint64_t incarnation, Event event);

private:
    struct Timer
    {
        Time at;
        uint64_t order;
        std::function<void()> action;
        bool operator<(const Timer &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };

    size_t vmIndex(const std::string &name) const;

    std::string holderOf(size_t vm) const;
    bool isPartitioned(const std::string &left, const std::string &right) const;
    std::optional<Duration> sendMessage(MessageKind kind, const std::string &from,
                                        const std::string &to, const std::function<void()> &arrive);
    void step(size_t vm);
    void wake(size_t vm);
    void runPeriodicWork(size_t vm, uint64_t incarnation);
    void renewLeases(size_t vm);
    void stopRunsWithoutLease(size_t server);
    bool sendToVm(MessageKind kind, size_t from, const std::string &vm,
                  const std::function<Event()> &make);

    void perform(size_t vm, Action &action);
    void perform(size_t vm, ReplyOpened &action);
    void perform(size_t vm, CompleteSubmission &action);
    void perform(size_t, ReplyState &) { }
    void perform(size_t vm, ForwardSubmission &action);
    void perform(size_t vm, ForwardCancel &action);
    void perform(size_t, ForwardQuery &) { }
    void perform(size_t vm, SendStarts &action);
    void perform(size_t vm, SendInquiry &action);
    void perform(size_t vm, SendStop &action);
    void perform(size_t vm, SendLend &action);
    void perform(size_t vm, SendLendInquiry &action);
    void perform(size_t vm, SendLendReply &action);
    void perform(size_t vm, SendLendResult &action);
    void perform(size_t vm, SendLendInquiryReply &action);
    void perform(size_t vm, HandOverLedger &action);
    void perform(size_t vm, AcknowledgeHandover &action);
    void perform(size_t vm, DrainFinished &action);
    void forward(size_t vm, const std::string &target, uint64_t number,
                 const std::function<Event(Origin)> &make);
    void sendInquiryOrStop(size_t vm, uint32_t backend, uint64_t exchange, std::vector<TaskId> ids,
                           bool stop);

    // Behaviour of a backend server as specified in docs/design.md, section 3.9.
    std::vector<TaskReply> startTasks(size_t server, const SendStarts &message,
                                      const std::string &holder);
    void beginRun(size_t server, const TaskId &id, const std::string &input,
                  const std::string &holder);
    void endRun(size_t server, const std::string &id, RunEnd end);
    TaskReply finalReply(size_t server, const TaskId &id);
    TaskReply statusOf(size_t server, const TaskId &id, bool stop);
    void pushResult(size_t server, const TaskId &id, const std::string &holder, Time until);
    void replyWhenEnded(size_t server, std::vector<TaskReply> results,
                        std::function<void(std::vector<TaskReply>)> reply);

    std::priority_queue<Timer> queue;
    uint64_t order = 0;
    uint64_t nextIncarnation = 100;
    uint64_t nextRemote = 0;
    uint64_t nextPendingReply = 0;
    std::map<uint64_t, std::function<void(OutcomePtr)>> remoteRequests;
};

} // namespace lovage::test

#include "dispatch_world_impl.h"
