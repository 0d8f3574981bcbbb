// A group of the store whose members share numbered shards. A member that does not renew its lease
// leaves the group.
#pragma once

#include "lovage/routing.h"

#include <map>
#include <string>
#include <vector>

namespace lovage::test {

// The operators' requests to evacuate data centres, as the store has them.
struct FleetOperators
{
    Evacuations evacuations {1, {}};
    std::map<std::string, Time> requestedAt; // by data centre

    void evacuate(const std::string &dataCentre, Time now)
    {
        ++evacuations.version;
        if (evacuations.dataCentres.insert(dataCentre).second)
            requestedAt[dataCentre] = now;
    }
    void withdraw(const std::string &dataCentre)
    {
        ++evacuations.version;
        evacuations.dataCentres.erase(dataCentre);
        requestedAt.erase(dataCentre);
    }
};

class FleetGroup
{
public:
    explicit FleetGroup(uint32_t shardCount) : targets_(shardCount), owners_(shardCount) { }

    GroupMembership join(const std::string &name, const JoinGroup &request, Time now)
    {
        const size_t expired = std::erase_if(
                members_, [&](const auto &entry) { return entry.second.leaseUntil <= now; });
        const auto [member, isNew] = members_.try_emplace(name);
        member->second.leaseUntil = now + request.lease;
        member->second.acknowledged = request.generation;
        if (isNew || expired > 0)
            reassign();
        moveReleased();
        GroupMembership membership {generation_, {}};
        for (uint32_t shard = 0; shard < targets_.size(); ++shard) {
            if (targets_[shard] == name && owners_[shard] == name)
                membership.shards.push_back(shard);
        }
        return membership;
    }
    void leave(const std::string &name)
    {
        if (members_.erase(name) > 0)
            reassign();
        moveReleased();
    }
    std::vector<std::string> members() const
    {
        std::vector<std::string> names;
        for (const auto &[name, member] : members_)
            names.push_back(name);
        return names;
    }

private:
    struct Member
    {
        Time leaseUntil {};
        uint64_t acknowledged = 0; // latest generation that the member has carried out
    };

    void reassign()
    {
        ++generation_;
        const std::vector<std::string> names = members();
        for (size_t shard = 0; shard < targets_.size(); ++shard)
            targets_[shard] = names.empty() ? std::string() : names[shard % names.size()];
    }
    // Moves each shard to its new member once the previous one has released it or has left.
    void moveReleased()
    {
        for (size_t shard = 0; shard < targets_.size(); ++shard) {
            const auto owner = members_.find(owners_[shard]);
            if (owner == members_.end() || owner->second.acknowledged >= generation_)
                owners_[shard] = targets_[shard];
        }
    }

    std::map<std::string, Member> members_;
    uint64_t generation_ = 0;
    std::vector<std::string> targets_; // member to which each shard is assigned
    std::vector<std::string> owners_;  // member that may hold each shard
};

} // namespace lovage::test
