#pragma once

#include "estimates.h"
#include "health.h"
#include "interner.h"
#include "lovage/placement.h"
#include "peers.h"

#include <limits>

namespace lovage {

namespace placement {

// What this VM has started on one backend server. Counts are exact for its own starts.
struct Account
{
    BackendInfo info;
    bool known = true;        // still listed
    bool own = false;         // in the share of this VM
    bool saidLeaving = false; // told by the server itself; the list lags behind
    uint32_t outstanding = 0;
    Demand used {0, 0, 0};
    uint32_t finished = 0; // of the outstanding ones, known to have ended without a result yet
    uint32_t foreign = 0;  // slots that the server reports as used by others
    Time foreignUntil {};
    Time pausedUntil {};
    Time lastStart {};
    double releaseRate = 0; // expected releases per microsecond

    bool isUsable() const { return known && own && !saidLeaving && !info.leaving; }
};

// Result of a policy. finish is the expected time until the task ends, in microseconds; infinite
// if no server of the share can ever run it.
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
    void release(uint32_t backend, const TaskRequirements &need, AttemptOutcome end, Duration ran,
                 Time now);
    void reportFree(uint32_t backend, uint32_t freeSlots, Time now);
    PeerCapacity ownCapacity(const QueueLengths &waiting, Time now) const;
    double startsPerSecond() const;

    PlacementOptions options;
    std::vector<placement::Account> accounts;
    std::map<std::string, uint32_t, std::less<>> indexes;
    placement::Interner classes;
    placement::Estimates estimates;
    placement::Health health;
    placement::Peers peers;
    Random random;

private:
    // Servers of the share, fastest first for one class.
    struct ClassOrder
    {
        std::vector<uint32_t> servers;
        uint64_t observations = 0;
        uint64_t version = 0;
    };
    // Tasks chosen at one instant go to a server in one message.
    struct Batch
    {
        std::optional<uint32_t> backend;
        uint32_t workClass = 0;
        Time at {};
    };

    uint32_t classOf(const TaskRequirements &need);
    uint32_t workOf(const TaskRequirements &need);
    const std::vector<uint32_t> &orderFor(uint32_t workClass);
    std::optional<std::string> whyImpossible(const TaskRequirements &need) const;

    // Tasks of this need that the server takes now.
    uint32_t freeFor(uint32_t backend, const TaskRequirements &need, Time now) const;
    uint32_t freeUnits(const placement::Account &account, const TaskRequirements &need,
                       Time now) const;
    bool canQueue(uint32_t backend, const TaskRequirements &need, Time now) const;
    static uint64_t unitsOfTask(const TaskRequirements &need);
    uint32_t fewestFreeFor(const TaskRequirements &need) const;
    bool isLong(uint32_t workClass) const;
    bool isRoomKept(uint32_t workClass, const TaskRequirements &need) const;

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
    uint32_t surestFor(uint32_t workClass, uint32_t best, const TaskRequirements &need, Time now);

    std::map<std::pair<uint32_t, uint32_t>, uint32_t> works_;
    placement::Interner owners_;
    std::vector<ClassOrder> orders_;
    uint64_t version_ = 1;                          // of the set of usable servers
    std::array<std::vector<Demand>, 2> capacities_; // distinct ones, by kind
    std::array<bool, 2> kindKnown_ {};
    std::array<uint64_t, 2> totalUnits_ {};           // slots or milliCores of the share, by kind
    std::vector<std::array<uint64_t, 2>> classUnits_; // used ones, by class and kind
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
