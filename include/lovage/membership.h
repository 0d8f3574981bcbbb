// Membership of entry VMs: heartbeats, incarnations, the VM list, summaries between data centres,
// relay selection and shares of backend servers. No sockets, threads or clock: callers feed events
// with a time and carry out the returned actions.
#pragma once

#include "lovage/core.h"

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovage {

enum class MemberState : uint8_t { Alive, Suspect, Leaving, Dead };

std::string_view toString(MemberState state);

// IP address in text form and port.
struct PeerAddress
{
    std::string host;
    uint16_t port = 0;

    auto operator<=>(const PeerAddress &) const = default;
};

// What this VM knows about another VM.
struct Member
{
    std::string name;
    std::string dataCentre;
    PeerAddress address;
    uint64_t incarnation = 0; // 0 until the VM was heard of
    MemberState state = MemberState::Suspect;
    uint64_t catalogueOffset = 0;   // last known
    std::vector<uint32_t> capacity; // last advertised; opaque here
    bool hearsThisVm = false;       // false: not used for lending or as relay
    bool followsLog = false;
    bool inVmList = false;
    Time lastHeard {}; // direct message or, for other data centres, a summary that lists it alive

    bool operator==(const Member &) const = default;
};

// Messages between VMs. Aggregates of simple fields, encoded by the protocol library.

// Sent every 500 ms to each VM of the own data centre.
struct Heartbeat
{
    std::string vm;
    std::string dataCentre;
    uint64_t incarnation = 0;
    uint64_t receiverIncarnation = 0; // highest known incarnation of the receiver's name
    uint64_t catalogueOffset = 0;
    uint64_t vmListVersion = 0;
    uint16_t port = 0; // UDP port of the sender
    bool leaving = false;
    bool followsLog = false;
    std::vector<uint32_t> hears;    // vmNameHash() of the VMs that the sender hears
    std::vector<uint32_t> capacity; // free capacity, opaque here

    bool operator==(const Heartbeat &) const = default;
};

// 32-bit tag of a VM name, used to keep heartbeats small.
uint32_t vmNameHash(std::string_view vm);

// A VM as listed in a summary.
struct SummaryMember
{
    std::string vm;
    uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    uint32_t offsetLag = 0; // catalogue offset of the sender less that of this VM, at least 0

    bool operator==(const SummaryMember &) const = default;
};

// Sent once per second to one VM of each other data centre, in rotation. Only every third summary
// lists the members of the sender's data centre, which keeps the traffic within its budget.
struct Summary
{
    Heartbeat sender; // `hears` holds the tags of VMs of the receiver's data centre
    std::vector<SummaryMember> members;

    bool operator==(const Summary &) const = default;
};

// Sent three times by a VM that leaves.
struct Leaving
{
    std::string vm;
    std::string dataCentre;
    uint64_t incarnation = 0;
    std::string successor; // VM that takes over the ledger; empty if none

    bool operator==(const Leaving &) const = default;
};

enum class VmRole : uint8_t { Entry, Executor, Worker };

std::string_view toString(VmRole role);
std::optional<VmRole> parseVmRole(std::string_view text);

// One line of the platform's VM list.
struct VmListEntry
{
    std::string name;
    VmRole role = VmRole::Entry;
    std::string dataCentre;
    std::string rack;
    PeerAddress address;
    bool leaving = false;
    uint32_t slots = 0;
    Demand capacity;

    bool operator==(const VmListEntry &) const = default;
};

// The VM list passed on by the relay: the change from version `base` to `version`, or the whole
// list if `base` is 0.
struct VmListUpdate
{
    uint64_t version = 0;
    uint64_t base = 0;
    std::vector<VmListEntry> changed; // added or changed
    std::vector<std::string> removed;

    bool operator==(const VmListUpdate &) const = default;
};

using MembershipMessage = std::variant<Heartbeat, Summary, Leaving, VmListUpdate>;

// Events.

// A message from a peer. `from` is its source address; the reply to an outdated incarnation of a
// VM goes there.
struct MessageReceived
{
    PeerAddress from;
    MembershipMessage message;
};

// Reply to PollVmList.
struct VmListRead
{
    std::vector<VmListEntry> vms;
};

struct VmListFailed
{
    std::string reason;
};

// Contents of the heartbeats from now on.
struct OwnStatus
{
    uint64_t catalogueOffset = 0;
    bool followsLog = false;
    std::vector<uint32_t> capacity;
};

// This VM begins its graceful shutdown.
struct LeaveStarted
{ };

struct MembershipTick
{ };

using MembershipEvent = std::variant<MessageReceived, VmListRead, VmListFailed, OwnStatus,
                                     LeaveStarted, MembershipTick>;

// Actions.

// Heartbeat, Summary and Leaving go over UDP, VmListUpdate over TCP.
struct SendMembership
{
    std::string vm;
    PeerAddress address;
    MembershipMessage message;
};

// Fetch the platform's VM list; answer with VmListRead or VmListFailed.
struct PollVmList
{ };

// The catalogue offset of a peer became known or changed.
struct MemberOffsetReported
{
    std::string vm;
    uint64_t offset = 0;
};

// Free capacity of a peer that may be used for lending. Empty if it must not be used any more.
struct MemberCapacityReported
{
    std::string vm;
    uint64_t incarnation = 0;
    std::vector<uint32_t> capacity;
};

// The relay or the live VMs of the data centre changed.
struct RelayChanged
{
    std::string relay; // empty if there is none
    bool isSelf = false;
    std::vector<std::string> localPeers;
};

// Backend servers of all data centres, and the share of this VM among those of its own.
struct BackendShares
{
    std::vector<VmListEntry> backends;
    std::set<std::string> ownShare;
};

// An incarnation of a VM died or was replaced.
struct MemberLost
{
    std::string vm;
    uint64_t incarnation = 0;
};

// A VM announced its departure and its successor.
struct MemberLeaving
{
    std::string vm;
    uint64_t incarnation = 0;
    std::string successor;
};

// A higher incarnation of the own name exists: start no work any more, for good.
struct FenceSelf
{
    uint64_t higherIncarnation = 0;
};

// The VM list marks this VM as leaving: begin the graceful shutdown.
struct BeginDrain
{ };

using MembershipAction =
        std::variant<SendMembership, PollVmList, MemberOffsetReported, MemberCapacityReported,
                     RelayChanged, BackendShares, MemberLost, MemberLeaving, FenceSelf, BeginDrain>;

// A VM whose catalogue is older than that of another VM.
struct LaggingVm
{
    std::string vm;
    std::string dataCentre;
    MemberState state = MemberState::Alive;
    uint64_t catalogueOffset = 0;

    bool operator==(const LaggingVm &) const = default;
};

struct MembershipOptions
{
    std::string vm;
    std::string dataCentre;
    PeerAddress address;
    uint64_t incarnation = 0;
    std::vector<Member> seeds; // configured VMs; only name, dataCentre and address are used

    Duration heartbeatInterval = std::chrono::milliseconds(500);
    Duration summaryInterval = std::chrono::seconds(1);
    Duration suspectAfter = std::chrono::milliseconds(1500);
    Duration deadAfter = std::chrono::seconds(3);
    // VMs of other data centres are heard of about once in three seconds.
    Duration remoteSuspectAfter = std::chrono::seconds(10);
    Duration remoteDeadAfter = std::chrono::seconds(15);
    Duration vmListInterval = std::chrono::milliseconds(500);
    // A dead VM that the VM list does not name is forgotten after this time.
    Duration forgetAfter = std::chrono::seconds(60);
    // A backend server absent from the VM list is kept for this time, because the list may be
    // wrong.
    Duration backendForgetAfter = std::chrono::seconds(30);
    // The VM list must mark this VM as leaving for this time before it drains.
    Duration leavingConfirmTime = std::chrono::seconds(1);
    // Repeated deaths within flapWindow delay the return to Alive: flapDelayMin, doubled each time.
    Duration flapWindow = std::chrono::seconds(60);
    Duration flapDelayMin = std::chrono::seconds(2);
    Duration flapDelayMax = std::chrono::seconds(30);
};

// View of this VM on all others. Feed a MembershipTick at least every 100 ms. Single-threaded.
class Membership
{
public:
    Membership(MembershipOptions options, uint64_t seed, Time now);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    std::vector<MembershipAction> handle(const MembershipEvent &event, Time now);

    // All other known VMs, sorted by name.
    std::vector<Member> members() const;
    // Every VM, this one included, whose last known catalogue offset is below `offset`; also VMs of
    // other data centres and dead VMs that the VM list names.
    std::vector<LaggingVm> laggingBehind(uint64_t offset) const;
    std::string relay() const;
    bool isFenced() const;
    bool isLeaving() const;
    // VM that takes over the ledger on a graceful shutdown: the alive peer with the lowest name in
    // the data centre, or else in another one; empty if there is none.
    std::string successor() const;
    // Bytes of the state, without allocator overhead.
    size_t stateBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovage
