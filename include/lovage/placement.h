// Decides which backend server or peer VM runs a task. No sockets, threads or clock: the caller
// passes events and the time.
#pragma once

#include "lovage/core.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

struct BackendInfo
{
    std::string name;
    std::string dataCentre;
    std::string rack;
    std::string address;
    uint16_t port = 0;
    BackendKind kind = BackendKind::Executor;
    uint32_t slots = 0; // number of tasks that an executor runs at the same time
    Demand capacity;    // resources that the running tasks of a worker share
    bool leaving = false;

    auto operator<=>(const BackendInfo &) const = default;
};

// Properties of one task that placement takes into account.
struct TaskRequirements
{
    std::string workClass;
    std::string owner;
    BackendKind kind = BackendKind::Executor;
    Demand demand;
    Duration declaredRunTime {}; // prior for the run time of the class; may be far off
    Time deadline {};
    bool lastOfJob = false; // whether the task is among the last tasks of its job to be started
    double wasteWeight = 0; // 0 favours response time, 1 favours fewer messages
    // Number of tasks for this kind of server that are ready to start in the queue of this VM,
    // including this task.
    uint32_t waiting = 1;
    // Number of tasks of the same job and work class that are ready to start in the queue of this
    // VM, including this task.
    uint32_t jobWaiting = 1;

    auto operator<=>(const TaskRequirements &) const = default;
};

struct ToBackend
{
    uint32_t backend = 0;
};
struct ToPeer
{
    std::string vm;
};
// The task should not be started now. The caller should call choose() again after the next release,
// report of free slots or change of capacity.
struct Wait
{ };
// The task fits no known backend server. The caller should refuse it with verdict NotRun and error
// code Impossible.
struct Impossible
{
    std::string reason;
};
using Choice = std::variant<ToBackend, ToPeer, Wait, Impossible>;

enum class AttemptOutcome { Succeeded, Failed, Refused, Lost };

// Free capacity that a VM advertises to its peers. The slots are grouped into bands by the run time
// of their server relative to the average server of that VM; neighbouring limits differ by a factor
// of the square root of 2.
struct PeerCapacity
{
    static constexpr size_t bands = 6;
    // Upper bound of the relative run time of each band.
    static constexpr std::array<double, bands> bandLimits = {0.5, 0.71, 1.0, 1.41, 2.0, 1e9};

    std::string vm;
    // Number of free slots, by kind of server and then by band.
    std::array<std::array<uint32_t, bands>, 2> freeSlots {};
    Demand maxFreeOnWorker {0, 0, 0}; // largest free amount of each resource on one worker
    // Ratio of the learned run time on the average server of that VM to the declared one, or 0
    // before anything is learned. The values of two VMs show how their average servers compare.
    double runTimeScale = 0;

    auto operator<=>(const PeerCapacity &) const = default;
};

// Placement policies. All of them respect free slots and resources, health and leaving servers.
struct RandomPolicy
{ };
struct RoundRobinPolicy
{ };
// Picks the server with the fewest outstanding tasks. The counts are refreshed only when they are
// older than reportInterval, to model several VMs that share servers and learn the counts from
// reports.
struct LeastOutstandingPolicy
{
    Duration reportInterval = std::chrono::milliseconds(100);
};
// Picks the server with the earliest expected finish by learned speeds. A task stays unassigned if
// a faster server is expected to be free soon.
struct EarliestFinishPolicy
{
    // Factor on the expected finish time of a task that waits for a faster server, before it is
    // compared with the run time on a free server. Larger values make waiting rarer.
    double waitPenalty = 1.0;
};
using Policy =
        std::variant<RandomPolicy, RoundRobinPolicy, LeastOutstandingPolicy, EarliestFinishPolicy>;

struct PlacementOptions
{
    Policy policy = EarliestFinishPolicy {};
    // Tasks that an executor may hold beyond its slots. Must be 0 for servers that refuse tasks
    // they cannot run at once.
    uint32_t localQueue = 0;
    // Share of the slots that is reserved for short classes.
    double shortTaskReserve = 0.05;
    // A class is long if its learned run time on an average server exceeds this.
    Duration longTaskThreshold = std::chrono::seconds(1);
    // Maximum number of tasks per start message. The limit for executors applies at waste weight 1.
    // The limit for workers, which report each result on its own, applies at any waste weight.
    uint32_t maxExecutorBatch = 8;
    uint32_t maxWorkerBatch = 64;
    // A server may be ejected after this many consecutive failures that count as evidence against
    // it.
    uint32_t failuresToEject = 5;
    // Maximum fraction of the servers of one kind that may be ejected at the same time. Only
    // servers that are in the share of this VM and not leaving count.
    double maxEjectedShare = 1.0 / 3;
    Duration initialProbeDelay = std::chrono::seconds(1);
    Duration maxProbeDelay = std::chrono::seconds(60);
    // Advertised capacity of a peer is ignored if it is older than this.
    Duration peerCapacityLifetime = std::chrono::seconds(2);
    // Expected additional time of a task that is lent to a peer.
    Duration lendOverhead = std::chrono::milliseconds(3);
    // A server that refused a start gets no task for this time or until it reports free slots.
    Duration refusalPause = std::chrono::milliseconds(50);
};

// Number of queued tasks of this VM, by kind of backend server.
using QueueLengths = std::array<uint32_t, 2>;

struct BackendHealth
{
    bool ejected = false;
    bool leaving = false;
    uint32_t outstanding = 0;
    uint32_t consecutiveFailures = 0;
    double relativeRunTime = 1; // learned relative run time; 1 is average, larger is slower
    bool inOwnShare = false;    // whether the server is in the share of this VM
};

// Tracks the free slots and resources, learned speeds and health of the backend servers, and
// chooses a server or a peer for each task.
//
// The caller must call reserve() after each ToBackend and lend() after each ToPeer, before the next
// choose(), and later exactly one release() or lendEnded() for each of them. After the releases of
// one reply it must call reportFree() with the free slots that the reply carried. The times passed
// must never decrease.
class Placement
{
public:
    Placement(PlacementOptions options, uint64_t seed);
    ~Placement();
    Placement(Placement &&) noexcept;
    Placement &operator=(Placement &&) noexcept;

    // Replaces the list of known backend servers of all data centres. Only the servers named in
    // ownShare, the share of this VM, are used. Outstanding tasks and learned speeds of servers
    // that stay in the list are kept.
    void setBackends(std::vector<BackendInfo> all, const std::set<std::string> &ownShare, Time now);
    void setLeaving(uint32_t backend);

    // Replaces the capacity advertised by one peer in a heartbeat or lend reply.
    void setPeerCapacity(const PeerCapacity &capacity, Time now);
    // Removes a peer that is dead, leaving or does not receive the heartbeats of this VM.
    void removePeer(const std::string &vm);

    Choice choose(const TaskRequirements &need, Time now);

    void reserve(uint32_t backend, const TaskRequirements &need, Time now);
    // Frees what reserve() has reserved, because the attempt has ended. runTime is the run time
    // that the server has measured; 0 if unknown.
    void release(uint32_t backend, const TaskRequirements &need, AttemptOutcome outcome,
                 Duration runTime, Time now);
    void reportFree(uint32_t backend, uint32_t freeSlots, Time now);

    void lend(const std::string &vm, const TaskRequirements &need, Time now);
    void lendEnded(const std::string &vm, const TaskRequirements &need, AttemptOutcome outcome,
                   Time now);

    // Capacity to advertise to peers: the free slots except those that the queued tasks of this VM
    // need.
    PeerCapacity ownCapacity(const QueueLengths &waiting, Time now) const;

    // Maximum number of tasks in one start message. An executor answers a message when its last
    // task has ended, so a large batch saves messages but occupies slots longer.
    uint32_t batchLimit(const TaskRequirements &need) const;

    // Expected run time on an average server of this VM's share.
    Duration expectedRunTime(const TaskRequirements &need) const;
    // Task starts per second that the servers in the share of this VM sustain with the mix of
    // recent tasks, or 0 before the first measurement.
    double startsPerSecond() const;

    // Indexes are stable for the life of the object.
    const BackendInfo &info(uint32_t backend) const;
    std::optional<uint32_t> indexOf(const std::string &name) const;
    BackendHealth health(uint32_t backend) const;
    // Number of servers that have ever been known. Their indexes are 0 to serverCount() - 1.
    uint32_t serverCount() const;
    size_t ejectedCount() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace lovage
