#pragma once

#include "estimates.h"
#include "health.h"
#include "interner.h"
#include "lovage/placement.h"
#include "peers.h"

#include <limits>

namespace lovage {

namespace placement {

// Slots, resources and tasks of one backend server, as this VM knows them. The counts of tasks that
// this VM has started are exact.
struct BackendState
{
    BackendInfo info;
    bool known = true;       // whether the current list of backend servers has the server
    bool inOwnShare = false; // whether the server is in the share of this VM
    // Whether the server itself has announced that it is leaving, which the list of servers may not
    // say yet.
    bool announcedLeaving = false;
    uint32_t outstanding = 0; // number of tasks started by this VM and not yet released
    Demand used {0, 0, 0};    // resources that the outstanding tasks of a worker use
    uint32_t finished = 0; // number of outstanding tasks that have ended, but without a result yet
    uint32_t usedByOthers = 0; // number of slots reported as in use by tasks of other VMs
    Time usedByOthersUntil {}; // time at which usedByOthers expires
    Time pausedUntil {};
    Time lastStart {};
    double releaseRate = 0; // expected number of releases of this VM's tasks per microsecond

    bool isUsable() const { return known && inOwnShare && !announcedLeaving && !info.leaving; }
};

// Result of a policy. finish is the expected time until the task ends, in microseconds, or infinity
// if no server of the share is expected to run the task.
struct LocalChoice
{
    std::optional<uint32_t> backend;
    double finish = std::numeric_limits<double>::infinity();
};

} // namespace placement

class Placement::State
{
public:
    State(PlacementOptions options, uint64_t seed);

    void setBackends(std::vector<BackendInfo> all, const std::set<std::string> &ownShare, Time now);
    void setLeaving(uint32_t backend);
    Choice choose(const TaskRequirements &need, Time now);
    void reserve(uint32_t backend, const TaskRequirements &need, Time now);
    void release(uint32_t backend, const TaskRequirements &need, AttemptOutcome outcome,
                 Duration runTime, Time now);
    void reportFree(uint32_t backend, uint32_t freeSlots, Time now);
    PeerCapacity ownCapacity(const QueueLengths &waiting, Time now) const;
    double startsPerSecond() const;

    PlacementOptions options;
    std::vector<placement::BackendState> backends;
    std::map<std::string, uint32_t, std::less<>> indexes;
    placement::Interner classes;
    placement::Estimates estimates;
    placement::Health health;
    placement::Peers peers;
    Random random;

private:
    // Usable servers, ordered by the expected run time of one class, fastest first.
    struct ClassOrder
    {
        std::vector<uint32_t> servers;
        uint64_t observations = 0;
        uint64_t version = 0;
    };
    // Start message that is being filled: tasks of a class chosen for one server at the same time
    // go into one message.
    struct Batch
    {
        std::optional<uint32_t> backend;
        uint32_t workClass = 0;
        Time at {};
    };

    uint32_t classOf(const TaskRequirements &need);
    uint32_t workloadOf(const TaskRequirements &need);
    const std::vector<uint32_t> &orderFor(uint32_t workClass);
    std::optional<std::string> impossibleReason(const TaskRequirements &need) const;

    // Number of tasks with these requirements that may be started on the server now.
    uint32_t freeFor(uint32_t backend, const TaskRequirements &need, Time now) const;
    uint32_t freeUnits(const placement::BackendState &server, const TaskRequirements &need,
                       Time now) const;
    bool canQueue(uint32_t backend, const TaskRequirements &need, Time now) const;
    static uint64_t unitsOfTask(const TaskRequirements &need);
    uint32_t minFreeSlotsFor(const TaskRequirements &need) const;
    bool isLong(uint32_t workClass) const;
    bool fitsLongTaskLimit(uint32_t workClass, const TaskRequirements &need) const;

    placement::LocalChoice pick(RandomPolicy &policy, uint32_t workClass,
                                const TaskRequirements &need, Time now);
    placement::LocalChoice pick(RoundRobinPolicy &policy, uint32_t workClass,
                                const TaskRequirements &need, Time now);
    placement::LocalChoice pick(LeastOutstandingPolicy &policy, uint32_t workClass,
                                const TaskRequirements &need, Time now);
    placement::LocalChoice pick(EarliestFinishPolicy &policy, uint32_t workClass,
                                const TaskRequirements &need, Time now);
    placement::LocalChoice firstFreeFrom(size_t start, uint32_t workClass,
                                         const TaskRequirements &need, Time now);
    std::optional<uint32_t> continueBatch(uint32_t workClass, const TaskRequirements &need,
                                          double best, Time now) const;
    std::optional<uint32_t> explore(uint32_t workClass, const TaskRequirements &need, Time now);
    uint32_t mostPredictableFor(uint32_t workClass, uint32_t best, const TaskRequirements &need,
                                Time now);

    // Number of each workload, by the numbers of its class and its owner.
    std::map<std::pair<uint32_t, uint32_t>, uint32_t> workloads_;
    placement::Interner owners_;
    std::vector<ClassOrder> orders_;
    uint64_t version_ = 1; // increases with each change of the set of usable servers
    // Distinct capacities of the known servers, by kind of server.
    std::array<std::vector<Demand>, 2> capacities_;
    // Whether any server is known, by kind of server.
    std::array<bool, 2> kindKnown_ {};
    // Total slots (executors) or milliCores (workers) of the usable servers, by kind of server.
    std::array<uint64_t, 2> totalUnits_ {};
    // Slots or milliCores in use by tasks of this VM, by number of the class and kind of server.
    std::vector<std::array<uint64_t, 2>> classUnits_;
    Batch batch_;
    size_t cursor_ = 0;
    std::vector<uint32_t> reportedOutstanding_;
    Time reportedAt_ {};
    Time nextExploration_ {};
    double meanMilliCores_ = 1000;
    std::array<uint64_t, 2> releases_ {};

    void refreshTotals();
};

} // namespace lovage
