// Assignment of the shards of a data centre to VMs. Part of the public header lovage/routing.h.
#pragma once

#include "lovage/pool.h"

#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace lovage {

struct HolderOptions
{
    // Number of backend servers that a VM can hold for each core of its processor share. A VM with
    // 0.25 core can hold 32.
    uint32_t serversPerCore = 128;
    // Delay after the start of the VM in which the reports of existing holders arrive.
    Duration settleTime = std::chrono::milliseconds(400);
    // Replaces settleTime if all VMs of the data centre have just started and still discover each
    // other.
    Duration coldStartSettleTime = std::chrono::milliseconds(500);
    Duration joinInterval = std::chrono::milliseconds(250);
    Duration groupLease = std::chrono::milliseconds(1000);
    // A shard that is being released is dropped after this time even if tasks still run on it.
    Duration releaseTimeout = std::chrono::seconds(3);
    // A holder gives its shards up only if the other holders could hold more servers than there
    // are, by this share. Otherwise a number of servers that varies around a limit would make it
    // join and leave repeatedly.
    double surplusMargin = 1.0 / 16;
    // Time for which larger holders must have been sufficient before a holder gives its shards up.
    // A large VM that is restarted repeatedly must not make shards change hands each time.
    Duration surplusDelay = std::chrono::seconds(5);
    // The delay is doubled, up to this value, for a VM that had to join again within this time
    // after it had given up its shards.
    Duration maxSurplusDelay = std::chrono::seconds(60);
};

// Joins the group, or renews the membership and its lease.
struct JoinGroup
{
    // Latest generation of the group whose shard assignment the member has carried out.
    uint64_t generation = 0;
    Duration lease {};
};
struct LeaveGroup
{ };
using GroupRequest = std::variant<JoinGroup, LeaveGroup>;

// The store's reply to a member that joins: the shards that are assigned to it as of this
// generation.
struct GroupMembership
{
    uint64_t generation = 0;
    std::vector<uint32_t> shards;

    auto operator<=>(const GroupMembership &) const = default;
};

// Returns how many of the VMs of a data centre hold its backend servers. `cpuMilliCores` has the
// processor shares of the VMs in the order in which they become holders, which is descending. The
// result is the smallest number for which an even share of the servers does not exceed the capacity
// of the smallest holder. If there is none, it is the number with the lowest ratio of this share to
// the capacity. It is at least 1.
uint32_t requiredHolders(uint32_t servers, std::span<const uint32_t> cpuMilliCores,
                         const HolderOptions &options);

// Membership of this VM in the group of shard holders of its data centre. The store assigns the
// shards, and the generation of the group serves as the fencing token. Grants stay valid while the
// store does not answer, since servers refuse a holder once another one has used a higher token.
class ShardMembership
{
public:
    ShardMembership(HolderOptions options, Time started) : options_(options), started_(started) { }

    // Returns the request that is due, if any. The caller reports its result by one of the
    // functions below before another request becomes due.
    std::optional<GroupRequest> nextRequest(bool wantsShards, bool isReleaseReady, Time now);
    // Returns whether the grants changed.
    bool onJoined(const GroupMembership &membership, Time now);
    void onJoinFailed(Time now);
    void onLeft(Time now);
    // Sets whether larger holders are sufficient without this one.
    void setSurplus(bool isSurplus, Time now);

    // Returns whether this VM gives its shards up because larger holders have been sufficient for
    // some time. It should take no further work then.
    bool isGivingUp(Time now) const;
    // Returns whether this VM gives its shards up and should leave the group now.
    bool isLeaveDue(bool isPoolIdle, Time now) const;
    // Returns whether the store has confirmed within the lease that this VM holds shards, and none
    // of them is given up.
    bool isConfirmed(Time now) const;
    bool isMember() const { return isMember_; }
    Duration surplusDelay() const { return surplusDelay_; }
    const ShardGrants &grants() const { return grants_; }

private:
    bool isReleasing() const;
    void updateSurplusDelay(Time now);

    HolderOptions options_;
    Time started_;
    bool isMember_ = false;
    bool isRequestPending_ = false;
    bool isLeaveSent_ = false; // whether the pending request leaves the group
    Time nextRequestAt_ {};
    uint64_t acknowledgedGeneration_ = 0;
    uint64_t latestGeneration_ = 0;
    bool isReleaseSent_ = false; // whether the pending request acknowledges the release of shards
    Time releaseStartedAt_ {};
    Time confirmedAt_ {};              // time of the store's last reply to a join
    std::optional<Time> surplusSince_; // time since which larger holders are sufficient
    Duration surplusDelay_ = options_.surplusDelay;
    std::optional<Time> gaveUpAt_; // time at which this VM has last given up its shards
    ShardGrants grants_;
};

} // namespace lovage
