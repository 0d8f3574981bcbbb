// Messages that Membership receives and sends.
#include "membership_impl.h"

#include <algorithm>

namespace lovage {

namespace {

// One of this many summaries lists the members of the sender's data centre.
constexpr size_t memberListPeriod = 3;
// One of this many summaries goes to a VM that seems dead, so that both sides notice the end of a
// partition.
constexpr uint64_t deadTargetPeriod = 4;
constexpr uint32_t leavingMessageCount = 3;
constexpr Duration vmListResendInterval = std::chrono::seconds(1);

} // namespace

// Receiving.

void Membership::Impl::on(const MessageReceived &received, Time now)
{
    std::visit([&](const auto &message) { receive(received.from, message, now); },
               received.message);
}

void Membership::Impl::fence(uint64_t higherIncarnation)
{
    isFenced = true;
    actions.clear();
    actions.push_back(FenceSelf {higherIncarnation});
}

Peer *Membership::Impl::applyHeartbeat(const PeerAddress &from, const Heartbeat &heartbeat,
                                       Time now)
{
    const PeerAddress source {from.host, heartbeat.port};
    if (heartbeat.vm == options.vm && heartbeat.incarnation <= options.incarnation) {
        // The reply tells an older process of the same name that this one exists. A message with an
        // equal incarnation was sent by this process and needs no reply.
        if (heartbeat.incarnation < options.incarnation)
            actions.push_back(SendMembership {options.vm, source,
                                              heartbeatTo(options.vm, options.incarnation)});
        return nullptr;
    }
    const uint64_t ownIncarnation =
            heartbeat.vm == options.vm ? heartbeat.incarnation : heartbeat.receiverIncarnation;
    if (ownIncarnation > options.incarnation) {
        fence(ownIncarnation);
        return nullptr;
    }
    Peer &peer = peerFor(heartbeat.vm, heartbeat.dataCentre, now);
    if (heartbeat.incarnation < peer.member.incarnation) {
        actions.push_back(SendMembership {heartbeat.vm, source,
                                          heartbeatTo(heartbeat.vm, peer.member.incarnation)});
        return nullptr;
    }
    if (heartbeat.incarnation > peer.member.incarnation) {
        const uint64_t previous = peer.member.incarnation;
        if (peer.replaceIncarnation(heartbeat.incarnation, rulesFor(peer), now))
            actions.push_back(MemberLost {heartbeat.vm, previous});
    }
    // The VM list may be wrong, so the data in the VM's own messages takes precedence over it.
    peer.member.dataCentre = heartbeat.dataCentre;
    peer.isLocal = heartbeat.dataCentre == options.dataCentre;
    peer.member.address = source;
    peer.markHeard(rulesFor(peer), now);
    peer.lastDirectMessage = now;
    peer.isLeavingAnnounced = peer.isLeavingAnnounced || heartbeat.leaving;
    peer.vmListVersion = std::max(peer.vmListVersion, heartbeat.vmListVersion);
    highestListVersion = std::max(highestListVersion, heartbeat.vmListVersion);
    Member &member = peer.member;
    // Datagrams may arrive out of order; the offset of an incarnation never decreases.
    member.catalogueOffset = std::max(member.catalogueOffset, heartbeat.catalogueOffset);
    member.followsLog = heartbeat.followsLog;
    member.capacity = heartbeat.capacity;
    member.hearsThisVm =
            std::ranges::find(heartbeat.hears, vmNameHash(options.vm)) != heartbeat.hears.end();
    if (member.catalogueOffset > own.catalogueOffset)
        actions.push_back(MemberOffsetReported {member.name, member.catalogueOffset});
    return &peer;
}

void Membership::Impl::receive(const PeerAddress &from, const Heartbeat &heartbeat, Time now)
{
    Peer *peer = applyHeartbeat(from, heartbeat, now);
    if (peer == nullptr)
        return;
    peer->updateState(rulesFor(*peer), now);
    reportCapacity(*peer);
    const bool lacksList = peer->isLocal && peer->vmListVersion < vmList.version();
    if (isSelfRelay() && lacksList && now - peer->vmListSentAt >= vmListResendInterval)
        sendVmList(*peer, vmList.fullUpdate(), now);
}

void Membership::Impl::receive(const PeerAddress &from, const Summary &summary, Time now)
{
    Peer *peer = applyHeartbeat(from, summary.sender, now);
    if (peer == nullptr)
        return;
    peer->updateState(rulesFor(*peer), now);
    reportCapacity(*peer);
    for (const SummaryMember &listed : summary.members) {
        if (!isFenced)
            applyListedMember(summary, listed, now);
    }
}

void Membership::Impl::applyListedMember(const Summary &summary, const SummaryMember &listed,
                                         Time now)
{
    if (listed.vm == options.vm) {
        if (listed.incarnation > options.incarnation)
            fence(listed.incarnation);
        return;
    }
    // The state of VMs of the own data centre is taken only from their direct messages.
    if (summary.sender.dataCentre == options.dataCentre || listed.incarnation == 0)
        return;
    Peer &peer = peerFor(listed.vm, summary.sender.dataCentre, now);
    if (peer.isLocal || listed.incarnation < peer.member.incarnation)
        return;
    if (listed.incarnation > peer.member.incarnation) {
        const uint64_t previous = peer.member.incarnation;
        if (peer.replaceIncarnation(listed.incarnation, rulesFor(peer), now))
            actions.push_back(MemberLost {listed.vm, previous});
    }
    const uint64_t senderOffset = summary.sender.catalogueOffset;
    const uint64_t offset = senderOffset - std::min<uint64_t>(senderOffset, listed.offsetLag);
    peer.member.catalogueOffset = std::max(peer.member.catalogueOffset, offset);
    if (listed.state == MemberState::Alive || listed.state == MemberState::Leaving)
        peer.markHeard(rulesFor(peer), now);
    peer.isLeavingAnnounced = peer.isLeavingAnnounced || listed.state == MemberState::Leaving;
}

void Membership::Impl::receive(const PeerAddress &, const Leaving &leaving, Time now)
{
    if (leaving.vm == options.vm) {
        if (leaving.incarnation > options.incarnation)
            fence(leaving.incarnation);
        return;
    }
    Peer &peer = peerFor(leaving.vm, leaving.dataCentre, now);
    if (leaving.incarnation < peer.member.incarnation)
        return;
    if (leaving.incarnation > peer.member.incarnation)
        peer.replaceIncarnation(leaving.incarnation, rulesFor(peer), now);
    if (!peer.isLeavingAnnounced)
        actions.push_back(MemberLeaving {leaving.vm, leaving.incarnation, leaving.successor});
    peer.isLeavingAnnounced = true;
    peer.markHeard(rulesFor(peer), now);
}

void Membership::Impl::receive(const PeerAddress &, const VmListUpdate &update, Time now)
{
    highestListVersion = std::max(highestListVersion, update.version);
    if (vmList.apply(update, now))
        mergeVmList(now);
}

// Sending.

Heartbeat Membership::Impl::heartbeatTo(const std::string &vm, uint64_t receiverIncarnation) const
{
    return {.vm = options.vm,
            .dataCentre = options.dataCentre,
            .incarnation = options.incarnation,
            .receiverIncarnation = receiverIncarnation,
            .catalogueOffset = own.catalogueOffset,
            .vmListVersion = vmList.version(),
            .port = options.address.port,
            .leaving = isLeaving,
            .followsLog = own.followsLog,
            .hears = {},
            .capacity = own.capacity};
}

void Membership::Impl::sendHeartbeats()
{
    std::vector<uint32_t> hears;
    for (const auto &[vm, peer] : peers) {
        const bool isHeardNow =
                peer.isHeard() && nextHeartbeat - peer.lastDirectMessage < options.suspectAfter;
        if (peer.isLocal && isHeardNow)
            hears.push_back(vmNameHash(vm));
    }
    for (const auto &[vm, peer] : peers) {
        if (!peer.isLocal || peer.member.address.host.empty())
            continue;
        Heartbeat heartbeat = heartbeatTo(vm, peer.member.incarnation);
        heartbeat.hears = hears;
        actions.push_back(SendMembership {vm, peer.member.address, std::move(heartbeat)});
    }
}

size_t Membership::Impl::ownRank() const
{
    return static_cast<size_t>(std::ranges::count_if(peers, [&](const auto &item) {
        return item.second.isLocal && item.first < options.vm;
    }));
}

std::vector<SummaryMember> Membership::Impl::localMembers() const
{
    std::vector<SummaryMember> result;
    for (const auto &[vm, peer] : peers) {
        const Member &member = peer.member;
        if (!peer.isLocal || !peer.isHeard())
            continue;
        const uint64_t lag =
                own.catalogueOffset - std::min(own.catalogueOffset, member.catalogueOffset);
        constexpr uint64_t maxLag = std::numeric_limits<uint32_t>::max();
        result.push_back({vm, member.incarnation, member.state,
                          static_cast<uint32_t>(std::min(lag, maxLag))});
    }
    return result;
}

void Membership::Impl::sendSummary(const std::vector<Peer *> &targets)
{
    // The rank makes the VMs of a data centre address different targets in the same second.
    const size_t turn = summaryCount + ownRank();
    const Peer &target = *targets[turn % targets.size()];
    Summary summary;
    summary.sender = heartbeatTo(target.member.name, target.member.incarnation);
    const bool isHeardNow =
            target.isHeard() && nextSummary - target.lastDirectMessage < options.remoteDeadAfter;
    if (isHeardNow)
        summary.sender.hears.push_back(vmNameHash(target.member.name));
    const size_t round = summaryCount / targets.size();
    if ((round + turn) % memberListPeriod == 0)
        summary.members = localMembers();
    actions.push_back(SendMembership {target.member.name, target.member.address, summary});
}

void Membership::Impl::sendSummaries()
{
    std::map<std::string, std::vector<Peer *>> up;
    std::map<std::string, std::vector<Peer *>> down;
    for (auto &[vm, peer] : peers) {
        if (peer.isLocal || peer.member.address.host.empty())
            continue;
        auto &group = peer.member.state == MemberState::Dead ? down : up;
        group[peer.member.dataCentre].push_back(&peer);
    }
    const bool isDeadTurn = summaryCount % deadTargetPeriod == 0;
    for (const auto &[dataCentre, targets] : up) {
        if (!isDeadTurn || !down.contains(dataCentre))
            sendSummary(targets);
    }
    for (const auto &[dataCentre, targets] : down) {
        if (isDeadTurn || !up.contains(dataCentre))
            sendSummary(targets);
    }
    ++summaryCount;
}

void Membership::Impl::on(const LeaveStarted &, Time)
{
    if (isLeaving)
        return;
    isLeaving = true;
    announcedSuccessor = successor();
    leavingMessagesLeft = leavingMessageCount;
    sendLeaving();
}

std::string Membership::Impl::successor() const
{
    const Peer *best = nullptr;
    for (const auto &[vm, peer] : peers) {
        // Peers are sorted by name, so the first of the data centre is the lowest.
        if (peer.isReachable() && (best == nullptr || (peer.isLocal && !best->isLocal)))
            best = &peer;
    }
    return best == nullptr ? std::string() : best->member.name;
}

void Membership::Impl::sendLeaving()
{
    --leavingMessagesLeft;
    const Leaving message {options.vm, options.dataCentre, options.incarnation, announcedSuccessor};
    for (const auto &[vm, peer] : peers) {
        if (peer.member.state != MemberState::Dead && !peer.member.address.host.empty())
            actions.push_back(SendMembership {vm, peer.member.address, message});
    }
}

void Membership::Impl::sendVmList(Peer &peer, const VmListUpdate &update, Time now)
{
    peer.vmListSentAt = now;
    actions.push_back(SendMembership {peer.member.name, peer.member.address, update});
}

} // namespace lovage
