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
    uint64_t incarnation = 0; // 0 until a message from or about the VM was received
    MemberState state = MemberState::Suspect;
    uint64_t catalogueOffset = 0;   // last known
    std::vector<uint32_t> capacity; // last advertised free capacity, not interpreted here
    // Whether the VM receives the messages of this VM. If not, it is not used for lending or as
    // relay.
    bool hearsThisVm = false;
    bool followsLog = false;
    bool inVmList = false;
    // Time of the last direct message or, for VMs of other data centres, of the last summary that
    // lists the VM as alive or leaving.
    Time lastHeard {};

    bool operator==(const Member &) const = default;
};

// Messages between VMs. Aggregates of simple fields, encoded by the protocol library.

// Sent every 500 ms to each other VM of the sender's data centre.
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
    std::vector<uint32_t> hears;    // vmNameHash() of the VMs whose messages the sender receives
    std::vector<uint32_t> capacity; // free capacity, not interpreted here

    bool operator==(const Heartbeat &) const = default;
};

// 32-bit hash of a VM name. Heartbeats refer to VMs by this hash to stay small.
uint32_t vmNameHash(std::string_view vm);

// A VM as listed in a summary.
struct SummaryMember
{
    std::string vm;
    uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    uint32_t offsetLag = 0; // catalogue offset of the sender minus that of this VM, at least 0

    bool operator==(const SummaryMember &) const = default;
};

// Sent once per second to one VM of each other data centre, in rotation. Only every third summary
// lists the members of the sender's data centre, which keeps the traffic within its budget.
struct Summary
{
    Heartbeat sender; // `hears` holds the hashes of VMs of the receiver's data centre
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

// One VM of the platform's VM list.
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

// State of this VM that its heartbeats and summaries advertise from now on.
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

// A heartbeat or summary reported that a peer has a higher catalogue offset than this VM.
struct MemberOffsetReported
{
    std::string vm;
    uint64_t offset = 0;
};

// Free capacity that a peer advertised for lending. Empty once the peer must no longer be used.
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

// A process with a higher incarnation of this VM's name exists. This process must never start work
// again.
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
    // Messages from or about VMs of other data centres arrive only about every 3 s.
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
    // Repeated deaths within flapWindow delay the return to Alive by flapDelayMin, which doubles
    // with each further death up to flapDelayMax.
    Duration flapWindow = std::chrono::seconds(60);
    Duration flapDelayMin = std::chrono::seconds(2);
    Duration flapDelayMax = std::chrono::seconds(30);
};

// The states of all other VMs as this VM sees them. Feed a MembershipTick at least every 100 ms.
// Single-threaded.
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
