#include "lovage/contacts.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace lovage {

void ContactPlan::addVms(const std::vector<VmInfo> &vms)
{
    for (const VmInfo &vm : vms) {
        if (vm.name == vms_.self().name)
            continue;
        const auto [entry, isNew] = byName_.try_emplace(vm.name, vm);
        VmInfo &known = entry->second;
        if (!isNew && (vm == known || vm.incarnation < known.incarnation))
            continue;
        byDataCentre_[known.dataCentre].erase(rankOf(known));
        known = vm;
        byDataCentre_[known.dataCentre].emplace(rankOf(known), known.name);
        if (seeds_.erase(known.address) > 0)
            identifiedSeeds_.insert(known.name);
        nextPlanAt_ = {};
    }
}

void ContactPlan::addSeed(const std::string &address)
{
    const bool isKnown = std::any_of(byName_.begin(), byName_.end(), [&](const auto &entry) {
        return entry.second.address == address;
    });
    if (!isKnown && address != vms_.self().address)
        seeds_.try_emplace(address);
    nextDueAt_ = {};
}

void ContactPlan::scheduleReport(const std::string &vm)
{
    unresponsive_.erase(vm);
    const auto contact = contacts_.find(vm);
    if (contact != contacts_.end())
        contact->second.nextReportAt = {};
    nextPlanAt_ = {};
    nextDueAt_ = {};
}

bool ContactPlan::isReachable(const std::string &vm, Time now) const
{
    const VmTable::Row *row = vms_.find(vm);
    return row && vms_.isReachable(*row, now);
}

void ContactPlan::updateUnresponsive(Time now)
{
    for (const auto &[name, contact] : contacts_) {
        if (isReachable(name, now))
            unresponsive_.erase(name);
        else if (contact.isFollowed && now > contact.followedSince + options_.answerTimeout)
            unresponsive_.insert(name);
    }
}

uint32_t ContactPlan::localServers(const ContactState &state, Time now) const
{
    uint32_t servers = state.knownServers;
    for (const auto &[name, row] : vms_.rows()) {
        if (row.report.vm.dataCentre == vms_.self().dataCentre && vms_.isReachable(row, now))
            servers = std::max(servers, row.report.knownServers);
    }
    return servers;
}

// The incarnation of a VM is the start time of its process. A VM of the same data centre that
// started earlier than this one by more than the settle time shows that this is not a cold start of
// the whole data centre, so no additional time is needed.
bool ContactPlan::isDiscoveryComplete(Time now) const
{
    const VmInfo &self = vms_.self();
    const auto settleTime = static_cast<uint64_t>(holderOptions_.coldStartSettleTime.count());
    if (static_cast<uint64_t>(now.time_since_epoch().count()) >= self.incarnation + settleTime)
        return true;
    return std::any_of(vms_.rows().begin(), vms_.rows().end(), [&](const auto &entry) {
        const VmInfo &other = entry.second.report.vm;
        return other.dataCentre == self.dataCentre
                && other.incarnation + settleTime < self.incarnation;
    });
}

// Returns the VMs of this VM's data centre that may hold shards, in the order in which they are
// selected. Of VMs with equal processor shares, the current holders come first, so that no shard
// changes hands between them.
std::vector<ContactPlan::HolderCandidate>
ContactPlan::holderCandidates(const VmNames &holders, const ContactState &state) const
{
    const VmInfo &self = vms_.self();
    std::vector<HolderCandidate> candidates;
    bool isSelfMissing = !state.isDraining;
    const auto addSelf = [&] {
        if (std::exchange(isSelfMissing, false))
            candidates.push_back({self.cpuMilliCores, state.isHolder, self.name});
    };
    const auto ranked = byDataCentre_.find(self.dataCentre);
    if (ranked != byDataCentre_.end()) {
        for (const auto &[rank, name] : ranked->second) {
            if (rankOf(self) < rank)
                addSelf();
            const VmTable::Row *row = vms_.find(name);
            const bool isDraining = row && row->report.isDraining;
            const bool isHolder = holders.contains(name);
            if (isHolder || (!unresponsive_.contains(name) && !isDraining))
                candidates.push_back({rank.cpuMilliCores, isHolder, name});
        }
    }
    addSelf();
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) {
        return std::pair(left.cpuMilliCores, left.isHolder)
                > std::pair(right.cpuMilliCores, right.isHolder);
    });
    return candidates;
}

// Reduces the candidates to those that are needed for this number of servers.
void ContactPlan::keepNeeded(std::vector<HolderCandidate> &candidates, uint32_t servers) const
{
    std::vector<uint32_t> shares;
    shares.reserve(candidates.size());
    for (const HolderCandidate &candidate : candidates)
        shares.push_back(candidate.cpuMilliCores);
    const size_t needed = requiredHolders(servers, shares, holderOptions_);
    if (needed < candidates.size())
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(needed),
                         candidates.end());
}

bool ContactPlan::isSelfIn(const std::vector<HolderCandidate> &candidates) const
{
    return std::any_of(candidates.begin(), candidates.end(),
                       [&](const auto &candidate) { return candidate.name == vms_.self().name; });
}

bool ContactPlan::shouldHoldShards(const ContactState &state, Time now) const
{
    if (state.isDraining || state.isHolder)
        return !state.isDraining;
    if (!isDiscoveryComplete(now))
        return false;
    auto needed = holderCandidates(holdersOf(vms_.self().dataCentre, now), state);
    keepNeeded(needed, localServers(state, now));
    return isSelfIn(needed);
}

bool ContactPlan::isSurplusHolder(const ContactState &state, Time now) const
{
    if (state.isDraining || !state.isHolder || !isDiscoveryComplete(now))
        return false;
    auto needed = holderCandidates(holdersOf(vms_.self().dataCentre, now), state);
    const uint32_t servers = localServers(state, now);
    auto neededWithMargin = needed;
    keepNeeded(neededWithMargin,
               static_cast<uint32_t>(std::ceil(servers * (1 + holderOptions_.surplusMargin))));
    keepNeeded(needed, servers);
    if (isSelfIn(needed) || isSelfIn(neededWithMargin)
        || needed.front().cpuMilliCores <= vms_.self().cpuMilliCores)
        return false;
    return std::all_of(needed.begin(), needed.end(), [&](const HolderCandidate &candidate) {
        const VmTable::Row *row = vms_.find(std::string(candidate.name));
        return row && vms_.isReachable(*row, now) && row->report.isHolderConfirmed
                && !row->report.isDraining;
    });
}

// Returns the holders that are reachable, and those that reachable VMs of the same data centre list
// in their reports.
ContactPlan::VmNames ContactPlan::holdersOf(const std::string &dataCentre, Time now) const
{
    VmNames holders;
    for (const auto &[name, row] : vms_.rows()) {
        if (row.report.vm.dataCentre != dataCentre || !vms_.isReachable(row, now))
            continue;
        if (row.report.isHolder && !row.report.isDraining)
            holders.insert(name);
        // For a reachable VM, its own report is more recent than what other VMs report about it.
        for (const std::string &holder : row.report.holders) {
            if (byName_.contains(holder) && !unresponsive_.contains(holder)
                && !isReachable(holder, now))
                holders.insert(holder);
        }
    }
    return holders;
}

// Reports list the holders for the duration of one idle interval, in which every contact gets a
// report.
std::vector<std::string> ContactPlan::holdersToReport(Time now)
{
    std::vector<std::string> holders;
    if (now < nextHoldersAt_)
        return holders;
    if (now >= nextHoldersAt_ + options_.idleInterval)
        nextHoldersAt_ = now + options_.holdersInterval;
    for (const auto &[name, row] : vms_.rows()) {
        if (row.report.vm.dataCentre == vms_.self().dataCentre && row.report.isHolder
            && !row.report.isDraining && vms_.isReachable(row, now))
            holders.push_back(name);
    }
    return holders;
}

// Selects holders by a hash of the names of this VM and the holder, so that the selection is stable
// and differs between VMs.
std::vector<std::string> ContactPlan::selectHolders(const VmNames &holders, size_t count) const
{
    std::vector<std::pair<uint64_t, std::string>> ordered;
    ordered.reserve(holders.size());
    for (const std::string &holder : holders)
        ordered.emplace_back(stableHash(vms_.self().name + holder), holder);
    std::sort(ordered.begin(), ordered.end());
    ordered.resize(std::min(ordered.size(), count));
    std::vector<std::string> selected;
    selected.reserve(ordered.size());
    for (auto &[hash, holder] : ordered)
        selected.push_back(std::move(holder));
    return selected;
}

void ContactPlan::followLocal(const ContactState &state, Time now, VmNames &followed) const
{
    const VmInfo &self = vms_.self();
    const VmNames holders = holdersOf(self.dataCentre, now);
    auto needed = holderCandidates(holders, state);
    keepNeeded(needed, localServers(state, now));
    size_t missing = options_.standbys;
    VmNames neededHolders;
    for (const HolderCandidate &candidate : needed) {
        if (!candidate.isHolder)
            ++missing;
        else if (candidate.name != self.name)
            neededHolders.emplace(candidate.name);
    }
    // A holder that is not needed must receive the reports of all holders that are, because it
    // keeps its shards otherwise.
    const bool isSurplus = state.isHolder && !state.isDraining && !isSelfIn(needed);
    const size_t limit = isSurplus ? neededHolders.size() : options_.localPools;
    for (const std::string &holder : selectHolders(neededHolders, limit))
        followed.insert(holder);
    VmNames otherHolders;
    std::set_difference(holders.begin(), holders.end(), neededHolders.begin(), neededHolders.end(),
                        std::inserter(otherHolders, otherHolders.end()));
    const size_t others = limit - std::min(limit, neededHolders.size());
    for (const std::string &holder : selectHolders(otherHolders, others))
        followed.insert(holder);
    size_t probed = 0;
    const auto ranked = byDataCentre_.find(self.dataCentre);
    if (ranked == byDataCentre_.end())
        return;
    bool isOwnRankPassed = state.isHolder || state.isDraining;
    for (const auto &[rank, name] : ranked->second) {
        if (!isOwnRankPassed && rankOf(self) < rank) {
            isOwnRankPassed = true;
            missing -= std::min<size_t>(1, missing);
        }
        if (missing == 0)
            break;
        if (holders.contains(name))
            continue;
        const bool isUnresponsive = unresponsive_.contains(name);
        if (!isUnresponsive || ++probed <= options_.maxProbed)
            followed.insert(name);
        if (!isUnresponsive)
            --missing;
    }
}

void ContactPlan::followRemote(const std::string &dataCentre, size_t count, Time now,
                               VmNames &followed) const
{
    const auto selected = selectHolders(holdersOf(dataCentre, now), count);
    followed.insert(selected.begin(), selected.end());
    if (!selected.empty())
        return;
    // No holder is known. The reports of the largest VMs list the holders.
    size_t probed = 0;
    for (const auto &[rank, name] : byDataCentre_.at(dataCentre)) {
        const bool isUnresponsive = unresponsive_.contains(name);
        if (!isUnresponsive || ++probed <= options_.maxProbed)
            followed.insert(name);
        if (!isUnresponsive && --count == 0)
            return;
    }
}

ContactPlan::VmNames ContactPlan::selectFollowed(const ContactState &state, Time now) const
{
    VmNames followed;
    if (state.needsAllVms || byName_.size() <= options_.fullMeshLimit) {
        for (const auto &[name, vm] : byName_)
            followed.insert(name);
        return followed;
    }
    followLocal(state, now, followed);
    const bool hasLocalVms = byDataCentre_.contains(vms_.self().dataCentre);
    const size_t remoteDataCentres = byDataCentre_.size() - (hasLocalVms ? 1 : 0);
    const size_t perDataCentre =
            std::max<size_t>(1, options_.remotePools / std::max<size_t>(1, remoteDataCentres));
    for (const auto &[dataCentre, ranked] : byDataCentre_) {
        if (dataCentre != vms_.self().dataCentre)
            followRemote(dataCentre, perDataCentre, now, followed);
    }
    for (const std::string &vm : state.offeredVms) {
        if (byName_.contains(vm))
            followed.insert(vm);
    }
    return followed;
}

Duration ContactPlan::intervalFor(const std::string &vm, bool isFollowed, const ContactState &state,
                                  Time now) const
{
    // These reports renew the leases of the jobs that the VM runs.
    if (state.offeredVms.contains(vm))
        return options_.activeInterval;
    if (isFollowed && !isReachable(vm, now))
        return options_.probeInterval;
    const bool isLocal = byName_.at(vm).dataCentre == vms_.self().dataCentre;
    const bool isActive = state.servedVms.contains(vm) || (state.isHolder && isLocal)
            || byName_.size() <= options_.fullMeshLimit;
    return isActive ? options_.activeInterval : options_.idleInterval;
}

void ContactPlan::updatePlan(const ContactState &state, Time now)
{
    nextPlanAt_ = now + options_.planInterval;
    nextDueAt_ = {};
    updateUnresponsive(now);
    const VmNames followed = selectFollowed(state, now);
    std::map<std::string, Contact> contacts;
    const auto contactOf = [&](const std::string &name) -> Contact & {
        const auto known = contacts_.find(name);
        return contacts.try_emplace(name, known == contacts_.end() ? Contact {} : known->second)
                .first->second;
    };
    for (const std::string &name : followed) {
        Contact &contact = contactOf(name);
        if (!contact.isFollowed)
            contact.followedSince = now;
    }
    for (const auto &[name, row] : vms_.rows()) {
        const bool isFollowed = followed.contains(name);
        if (row.report.isFollowing && byName_.contains(name))
            contactOf(name);
        // The sender still regards this VM as a follower, because the report that ended this was
        // lost.
        if (!isFollowed && row.report.isReceiverFollower
            && row.lastReportAt + options_.planInterval > now && byName_.contains(name))
            contactOf(name).nextReportAt = {};
        vms_.setFollowed(name, isFollowed, now);
    }
    // A VM that is no longer followed gets a report immediately, so that it stops reporting.
    for (const auto &[name, contact] : contacts_) {
        if (contact.isFollowed && !followed.contains(name))
            contactOf(name).nextReportAt = {};
    }
    for (const std::string &name : std::exchange(identifiedSeeds_, {})) {
        if (!followed.contains(name))
            contactOf(name).nextReportAt = {};
    }
    for (auto &[name, contact] : contacts) {
        const VmTable::Row *row = vms_.find(name);
        contact.isFollowed = followed.contains(name);
        contact.isFollower = row && row->report.isFollowing;
        contact.interval = intervalFor(name, contact.isFollowed, state, now);
        contact.nextReportAt = std::min(contact.nextReportAt, now + contact.interval);
    }
    contacts_ = std::move(contacts);
}

std::vector<ReportTarget> ContactPlan::takeDueReports(Time now)
{
    std::vector<ReportTarget> targets;
    if (now < nextDueAt_)
        return targets;
    nextDueAt_ = now + options_.probeInterval;
    for (auto &[name, contact] : contacts_) {
        if (now >= contact.nextReportAt) {
            contact.nextReportAt = now + contact.interval;
            targets.push_back({name, byName_.at(name).address, contact.isFollowed,
                               contact.isFollower, contact.interval});
        }
        nextDueAt_ = std::min(nextDueAt_, contact.nextReportAt);
    }
    for (auto &[address, nextReportAt] : seeds_) {
        if (now >= nextReportAt) {
            nextReportAt = now + options_.probeInterval;
            targets.push_back({{}, address, true, false, options_.probeInterval});
        }
        nextDueAt_ = std::min(nextDueAt_, nextReportAt);
    }
    return targets;
}

std::vector<ReportTarget> ContactPlan::allReports(const ContactState &state, Time now)
{
    updatePlan(state, now);
    for (auto &[name, contact] : contacts_)
        contact.nextReportAt = {};
    nextDueAt_ = {};
    return takeDueReports(now);
}

std::vector<VmInfo> ContactPlan::introductionFor(const VmInfo &newFollower) const
{
    std::vector<VmInfo> vms;
    for (const auto &[name, vm] : byName_) {
        const auto contact = contacts_.find(name);
        const bool isFollowed = contact != contacts_.end() && contact->second.isFollowed;
        if (isFollowed || vm.dataCentre == vms_.self().dataCentre
            || vm.dataCentre == newFollower.dataCentre)
            vms.push_back(vm);
    }
    return vms;
}

size_t ContactPlan::followedCount() const
{
    return static_cast<size_t>(
            std::count_if(contacts_.begin(), contacts_.end(),
                          [](const auto &entry) { return entry.second.isFollowed; }));
}

} // namespace lovage
