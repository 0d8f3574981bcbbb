// Implementation of Membership.
#pragma once

#include "peer.h"
#include "vm_list.h"

#include <map>

namespace lovage {

struct Membership::Impl
{
    Impl(MembershipOptions membershipOptions, uint64_t seed, Time now);

    // Events.
    void on(const MessageReceived &received, Time now);
    void on(const VmListRead &read, Time now);
    void on(const VmListFailed &failed, Time now);
    void on(const OwnStatus &status, Time now);
    void on(const LeaveStarted &leave, Time now);
    void on(const MembershipTick &tick, Time now);

    // Messages.
    void receive(const PeerAddress &from, const Heartbeat &heartbeat, Time now);
    void receive(const PeerAddress &from, const Summary &summary, Time now);
    void receive(const PeerAddress &from, const Leaving &leaving, Time now);
    void receive(const PeerAddress &from, const VmListUpdate &update, Time now);
    // Returns the sender, or nullptr if the message is outdated, was sent under this VM's name or
    // fences this VM.
    Peer *applyHeartbeat(const PeerAddress &from, const Heartbeat &heartbeat, Time now);
    void applyListedMember(const Summary &summary, const SummaryMember &listed, Time now);
    void fence(uint64_t higherIncarnation);

    // Sending.
    Heartbeat heartbeatTo(const std::string &vm, uint64_t receiverIncarnation) const;
    void sendHeartbeats();
    void sendSummaries();
    void sendSummary(const std::vector<Peer *> &targets);
    std::vector<SummaryMember> localMembers() const;
    void sendLeaving();
    std::string successor() const;
    void sendVmList(Peer &peer, const VmListUpdate &update, Time now);

    // VM list.
    void pollVmList(Time now);
    void mergeVmList(Time now);
    void drainIfConfirmed(Time now);

    // State derived from the peers and the VM list, updated after every event.
    void updateDerivedState(Time now);
    void updatePeers(Time now);
    void reportCapacity(Peer &peer);
    void forgetPeers(Time now);
    void chooseRelay();
    void assignShares();

    Peer &peerFor(const std::string &vm, const std::string &dataCentre, Time now);
    const LivenessRules &rulesFor(const Peer &peer) const;
    bool isStartupOver(Time now) const;
    bool isActive() const { return !isLeaving && !isFenced; }
    bool isSelfRelay() const { return relay.isSelf; }
    size_t ownRank() const;

    MembershipOptions options;
    LivenessRules localRules;
    LivenessRules remoteRules;
    Random random;
    Time startedAt;
    std::map<std::string, Peer> peers;
    VmListState vmList;
    OwnStatus own;
    std::vector<MembershipAction> actions;

    bool isFenced = false;
    bool isLeaving = false;
    bool isDrainBegun = false;
    std::optional<Time> listedLeavingSince;
    std::string announcedSuccessor;
    uint32_t leavingMessagesLeft = 0; // Leaving messages still to be sent

    Time nextHeartbeat;
    Time nextSummary;
    Time nextPoll;
    std::optional<Time> pollSentAt;
    uint64_t highestListVersion = 0; // highest VM list version read or reported by a peer
    uint64_t summaryCount = 0;

    RelayChanged relay;
    bool isRelayKnown = false;
    std::set<std::string> shareOwners;
    bool areSharesOutdated = true;
    BackendShares shares;
};

} // namespace lovage
