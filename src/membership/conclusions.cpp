// Timers of Membership, handling of the VM list, and the relay and the shares, which are derived
// from the states of the peers.
#include "membership_impl.h"

#include <algorithm>

namespace lovage {

namespace {

constexpr Duration pollTimeout = std::chrono::seconds(2);
// A starting VM waits for heartbeats for one heartbeat interval plus this time before it acts as
// the relay or takes a share of the backend servers.
constexpr Duration startupMargin = std::chrono::milliseconds(100);

Duration randomBelow(Random &random, Duration bound)
{
    return Duration(static_cast<int64_t>(random.below(static_cast<uint64_t>(bound.count()) + 1)));
}

} // namespace

Membership::Impl::Impl(MembershipOptions membershipOptions, uint64_t seed, Time now)
    : options(std::move(membershipOptions)), localRules {options.suspectAfter, options.deadAfter,
                                                         options.flapWindow, options.flapDelayMin,
                                                         options.flapDelayMax},
      remoteRules {options.remoteSuspectAfter, options.remoteDeadAfter, options.flapWindow,
                   options.flapDelayMin, options.flapDelayMax},
      random(seed), startedAt(now), vmList(options.backendForgetAfter), nextHeartbeat(now),
      nextSummary(now + randomBelow(random, options.heartbeatInterval)),
      nextPoll(now + randomBelow(random, options.vmListInterval / 2))
{
    for (const Member &seedMember : options.seeds) {
        if (seedMember.name == options.vm)
            continue;
        Peer &peer = peerFor(seedMember.name, seedMember.dataCentre, now);
        peer.member.address = seedMember.address;
        peer.isSeed = true;
    }
}

Peer &Membership::Impl::peerFor(const std::string &vm, const std::string &dataCentre, Time now)
{
    const auto [place, isNew] = peers.try_emplace(vm);
    Peer &peer = place->second;
    if (isNew) {
        peer.member.name = vm;
        peer.member.dataCentre = dataCentre;
        peer.member.lastHeard = now;
        peer.isLocal = dataCentre == options.dataCentre;
    }
    return peer;
}

const LivenessRules &Membership::Impl::rulesFor(const Peer &peer) const
{
    return peer.isLocal ? localRules : remoteRules;
}

bool Membership::Impl::isStartupOver(Time now) const
{
    return now - startedAt >= options.heartbeatInterval + startupMargin;
}

void Membership::Impl::on(const OwnStatus &status, Time)
{
    own = status;
}

void Membership::Impl::on(const MembershipTick &, Time now)
{
    if (now >= nextHeartbeat) {
        sendHeartbeats();
        // Heartbeats that were missed while the process was paused are not sent afterwards.
        nextHeartbeat = std::max(nextHeartbeat + options.heartbeatInterval, now);
    }
    if (now >= nextSummary) {
        sendSummaries();
        nextSummary = std::max(nextSummary + options.summaryInterval, now);
    }
    if (leavingMessagesLeft > 0)
        sendLeaving();
    pollVmList(now);
    drainIfConfirmed(now);
    if (vmList.forgetAbsent(now))
        areSharesOutdated = true;
}

// VM list.

void Membership::Impl::pollVmList(Time now)
{
    if (pollSentAt && now - *pollSentAt >= pollTimeout)
        pollSentAt.reset();
    // Without a list a VM may know no peers, so it does not wait for a relay to send one.
    const bool mayPoll = isSelfRelay() || vmList.version() == 0;
    if (!mayPoll || pollSentAt || now < nextPoll)
        return;
    pollSentAt = now;
    nextPoll = now + options.vmListInterval;
    actions.push_back(PollVmList {});
}

void Membership::Impl::on(const VmListFailed &, Time)
{
    pollSentAt.reset();
}

void Membership::Impl::on(const VmListRead &read, Time now)
{
    pollSentAt.reset();
    // The version is higher than every version seen. Otherwise the other VMs would ignore the lists
    // of a relay whose clock is behind that of its predecessor.
    const auto clock = static_cast<uint64_t>(now.time_since_epoch().count());
    const uint64_t version = std::max(clock, std::max(highestListVersion, vmList.version()) + 1);
    const auto change = vmList.replace(read.vms, version, now);
    if (!change)
        return;
    highestListVersion = version;
    mergeVmList(now);
    if (!isSelfRelay())
        return;
    for (auto &[vm, peer] : peers) {
        if (!peer.isLocal || peer.member.state == MemberState::Dead || !peer.isHeard())
            continue;
        const bool knowsBase = change->base != 0 && peer.vmListVersion == change->base;
        sendVmList(peer, knowsBase ? *change : vmList.fullUpdate(), now);
    }
}

void Membership::Impl::mergeVmList(Time now)
{
    areSharesOutdated = true;
    for (auto &[vm, peer] : peers) {
        // A VM that the list lacks is not removed here, because its heartbeats may still arrive.
        const VmListEntry *entry = vmList.find(vm);
        peer.member.inVmList = entry != nullptr && entry->role == VmRole::Entry;
        peer.isListedLeaving = peer.member.inVmList && entry->leaving;
    }
    for (const auto &[vm, entry] : vmList.vms()) {
        if (entry.role != VmRole::Entry || vm == options.vm)
            continue;
        Peer &peer = peerFor(vm, entry.dataCentre, now);
        peer.member.inVmList = true;
        peer.isListedLeaving = entry.leaving;
        // The list may lag, so the source address of recent messages takes precedence over it.
        const bool isSilent = now - peer.lastDirectMessage >= rulesFor(peer).deadAfter;
        if (isSilent && !entry.address.host.empty())
            peer.member.address = entry.address;
    }
    const VmListEntry *self = vmList.find(options.vm);
    const bool isListed = self != nullptr && self->role == VmRole::Entry && self->leaving;
    if (!isListed)
        listedLeavingSince.reset();
    else if (!listedLeavingSince)
        listedLeavingSince = now;
}

void Membership::Impl::drainIfConfirmed(Time now)
{
    const bool isConfirmed =
            listedLeavingSince && now - *listedLeavingSince >= options.leavingConfirmTime;
    if (!isConfirmed || isDrainBegun || isLeaving)
        return;
    isDrainBegun = true;
    actions.push_back(BeginDrain {});
}

// Derived state.

void Membership::Impl::updateDerivedState(Time now)
{
    updatePeers(now);
    forgetPeers(now);
    if (!isStartupOver(now))
        return;
    chooseRelay();
    assignShares();
}

void Membership::Impl::updatePeers(Time now)
{
    for (auto &[vm, peer] : peers) {
        if (peer.updateState(rulesFor(peer), now))
            actions.push_back(MemberLost {vm, peer.member.incarnation});
        if (peer.isReportedUsable && !peer.isReachable())
            reportCapacity(peer);
    }
}

void Membership::Impl::reportCapacity(Peer &peer)
{
    const bool isUsable = peer.isReachable();
    if (!isUsable && !peer.isReportedUsable)
        return;
    peer.isReportedUsable = isUsable;
    actions.push_back(
            MemberCapacityReported {peer.member.name, peer.member.incarnation,
                                    isUsable ? peer.member.capacity : std::vector<uint32_t> {}});
}

void Membership::Impl::forgetPeers(Time now)
{
    std::erase_if(peers, [&](const auto &item) {
        const Member &member = item.second.member;
        const bool isGone = member.state == MemberState::Dead && !member.inVmList;
        return isGone && !item.second.isSeed && now - member.lastHeard >= options.forgetAfter;
    });
}

void Membership::Impl::chooseRelay()
{
    RelayChanged next;
    bool followsLog = false;
    // A VM that cannot read the log is relay only if no other VM of the data centre can.
    const auto consider = [&](const std::string &vm, bool candidateFollowsLog) {
        const bool isBetter = next.relay.empty() || (candidateFollowsLog && !followsLog)
                || (candidateFollowsLog == followsLog && vm < next.relay);
        if (!isBetter)
            return;
        next.relay = vm;
        followsLog = candidateFollowsLog;
    };
    for (const auto &[vm, peer] : peers) {
        if (!peer.isLocal)
            continue;
        if (peer.isReachable())
            consider(vm, peer.member.followsLog);
        const bool isDead = peer.member.state == MemberState::Dead;
        if (peer.isHeard() && !isDead)
            next.localPeers.push_back(vm);
    }
    if (isActive())
        consider(options.vm, own.followsLog);
    next.isSelf = next.relay == options.vm;
    const bool isSame =
            isRelayKnown && next.relay == relay.relay && next.localPeers == relay.localPeers;
    if (isSame)
        return;
    isRelayKnown = true;
    relay = next;
    actions.push_back(std::move(next));
}

namespace {

// Rendezvous hashing with bounded loads: no VM gets more servers of a role than the rounded-up
// average. Without the bound one VM of a pair had 22 of 34 servers and the other 12, and the
// smaller share was overloaded at 70% of the total load.
std::set<std::string> shareOf(const std::string &vm, const std::vector<std::string> &names,
                              std::vector<const VmListEntry *> servers)
{
    std::sort(servers.begin(), servers.end(), [](const auto *left, const auto *right) {
        return std::pair(stableHash(left->name), std::string_view(left->name))
                < std::pair(stableHash(right->name), std::string_view(right->name));
    });
    std::map<VmRole, size_t> total;
    for (const VmListEntry *server : servers)
        ++total[server->role];
    std::map<VmRole, std::map<std::string, size_t>> counts;
    std::set<std::string> share;
    for (const VmListEntry *server : servers) {
        const size_t limit = (total[server->role] + names.size() - 1) / names.size();
        auto &count = counts[server->role];
        std::vector<std::string> candidates;
        for (const std::string &name : names) {
            if (count[name] < limit)
                candidates.push_back(name);
        }
        const std::string &owner = candidates[*rendezvousIndex(server->name, candidates)];
        ++count[owner];
        if (owner == vm)
            share.insert(server->name);
    }
    return share;
}

} // namespace

void Membership::Impl::assignShares()
{
    std::set<std::string> owners;
    for (const auto &[vm, peer] : peers) {
        if (peer.ownsShare())
            owners.insert(vm);
    }
    // The last VM of a data centre keeps the servers while it drains.
    if (isActive() || owners.empty())
        owners.insert(options.vm);
    if (!areSharesOutdated && owners == shareOwners)
        return;
    areSharesOutdated = false;
    shareOwners = owners;
    const std::vector<std::string> names(owners.begin(), owners.end());
    BackendShares next;
    next.backends = vmList.backends();
    std::vector<const VmListEntry *> local;
    for (const VmListEntry &backend : next.backends) {
        if (backend.dataCentre == options.dataCentre)
            local.push_back(&backend);
    }
    next.ownShare = shareOf(options.vm, names, std::move(local));
    if (next.backends == shares.backends && next.ownShare == shares.ownShare)
        return;
    shares = next;
    actions.push_back(std::move(next));
}

} // namespace lovage
