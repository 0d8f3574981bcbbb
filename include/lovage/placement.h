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
    uint32_t slots = 0; // executors: tasks that run at the same time
    Demand capacity;    // workers: resources for all tasks together
    bool leaving = false;

    auto operator<=>(const BackendInfo &) const = default;
};

// What placement needs to know about one task.
struct TaskRequirements
{
    std::string workClass;
    std::string owner;
    BackendKind kind = BackendKind::Executor;
    Demand demand;
    Duration declaredRunTime {}; // prior for a class without measurements; may be far off
    Time deadline {};
    bool lastOfJob = false;  // among the last unstarted tasks of its job
    double wasteWeight = 0;  // 0 favours response time, 1 favours fewer messages
    uint32_t waiting = 1;    // startable tasks in the queue of this VM, this one included
    uint32_t jobWaiting = 1; // of these, tasks of the same job and class, this one included

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
// No start now. Ask again after the next release, report or change of capacity.
struct Wait
{ };
// The task fits no known backend server. Refuse it NotRun with code Impossible.
struct Impossible
{
    std::string reason;
};
using Choice = std::variant<ToBackend, ToPeer, Wait, Impossible>;

enum class AttemptOutcome { Succeeded, Failed, Refused, Lost };

// Free capacity that a VM advertises. The speed bands are half octaves of the time a server takes
// relative to the average server of that VM.
struct PeerCapacity
{
    static constexpr size_t bands = 6;
    // Upper bound of the relative run time of each band.
    static constexpr std::array<double, bands> bandLimits = {0.5, 0.71, 1.0, 1.41, 2.0, 1e9};

    std::string vm;
    std::array<std::array<uint32_t, bands>, 2> freeSlots {}; // by kind, then band
    Demand maxFreeOnWorker {0, 0, 0}; // largest free amount of each resource on one worker
    // Learned run time on the average server of that VM over the declared one. The ratio of two
    // VMs tells how their average servers compare; 0 while nothing is learned.
    double runTimeScale = 0;

    auto operator<=>(const PeerCapacity &) const = default;
};

// Policies. All of them respect accounts, health and leaving servers.
struct RandomPolicy
{ };
struct RoundRobinPolicy
{ };
// Fewest outstanding tasks, as known at the last report. Outstanding counts are refreshed when they
// are older than reportInterval, so that several VMs that share servers can be modelled.
struct LeastOutstandingPolicy
{
    Duration reportInterval = std::chrono::milliseconds(100);
};
// Earliest expected finish by learned speed, late binding while a faster server is soon free.
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
    // Tasks an executor may hold above its slots. 0 where servers refuse what they cannot run.
    uint32_t localQueue = 0;
    // Share of the slots that long classes leave to short ones.
    double shortTaskReserve = 0.05;
    // A class is long when its learned duration on an average server exceeds this.
    Duration longTaskThreshold = std::chrono::seconds(1);
    // Tasks per start message at waste weight 1 (executors) and at any weight (workers, which
    // report each result on its own).
    uint32_t maxExecutorBatch = 8;
    uint32_t maxWorkerBatch = 64;
    uint32_t failuresToEject = 5;
    double maxEjectedShare = 1.0 / 3;
    Duration initialProbeDelay = std::chrono::seconds(1);
    Duration maxProbeDelay = std::chrono::seconds(60);
    // Advertised capacity of a peer is ignored when it is older than this.
    Duration peerCapacityLifetime = std::chrono::seconds(2);
    // Expected extra time of a task that is lent to a peer.
    Duration lendOverhead = std::chrono::milliseconds(3);
    // A server that refused a start is skipped for this time or until it reports free slots.
    Duration refusalPause = std::chrono::milliseconds(50);
};

// Queued tasks of this VM by kind of backend server.
using QueueLengths = std::array<uint32_t, 2>;

struct BackendHealth
{
    bool ejected = false;
    bool leaving = false;
    uint32_t outstanding = 0;
    uint32_t consecutiveFailures = 0;
    double relativeRunTime = 1; // learned; 1 is the average server, larger is slower
    bool inOwnShare = false;
};

// Slot accounts, learned speeds, health and choice of a server.
//
// Obligations of the caller: reserve() after each ToBackend and lend() after each ToPeer, before
// the next choose(); exactly one release() or lendEnded() for each of them; after the releases of
// one reply, reportFree() with the free slots it carried. Times never decrease.
class Placement
{
public:
    Placement(PlacementOptions options, uint64_t seed);
    ~Placement();
    Placement(Placement &&) noexcept;
    Placement &operator=(Placement &&) noexcept;

    // Replaces the known backend servers of all data centres. Only those named in ownShare are
    // used. Accounts and learned speeds of servers that stay known are kept.
    void setBackends(std::vector<BackendInfo> all, const std::set<std::string> &ownShare, Time now);
    void setLeaving(uint32_t backend);

    // Replaces what is known about one peer (heartbeat or lend reply).
    void setPeerCapacity(const PeerCapacity &capacity, Time now);
    // Forgets a peer that is dead, leaving or does not hear this VM.
    void removePeer(const std::string &vm);

    Choice choose(const TaskRequirements &need, Time now);

    void reserve(uint32_t backend, const TaskRequirements &need, Time now);
    // ran is the run time measured by the server; 0 if unknown.
    void release(uint32_t backend, const TaskRequirements &need, AttemptOutcome end, Duration ran,
                 Time now);
    void reportFree(uint32_t backend, uint32_t freeSlots, Time now);

    void lend(const std::string &vm, const TaskRequirements &need, Time now);
    void lendEnded(const std::string &vm, const TaskRequirements &need, AttemptOutcome end,
                   Time now);

    // Capacity to advertise: free slots without those that the waiting tasks of the own queue need.
    PeerCapacity ownCapacity(const QueueLengths &waiting, Time now) const;

    // Largest number of tasks to put into one start message. An executor answers a message when its
    // last task has ended, so a large batch saves messages and holds slots longer.
    uint32_t batchLimit(const TaskRequirements &need) const;

    // Expected run time on an average server of the own share.
    Duration expectedRunTime(const TaskRequirements &need) const;
    // Task starts per second that the own share sustains with the mix of recent tasks. 0 before the
    // first measurement.
    double startsPerSecond() const;

    // Indexes are stable for the life of the object.
    const BackendInfo &info(uint32_t backend) const;
    std::optional<uint32_t> indexOf(const std::string &name) const;
    BackendHealth health(uint32_t backend) const;
    // Number of servers ever known; indexes are below it.
    uint32_t serverCount() const;
    size_t ejectedCount() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace lovage
