// Protocol between entry VMs: message types, binary encoding, authentication, replay detection, and
// fault injection for tests.
#pragma once

#include "lovage/admission.h"
#include "lovage/catalogue.h"
#include "lovage/core.h"
#include "lovage/dispatch.h"
#include "lovage/ledger.h"
#include "lovage/membership.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovage {

// Messages that are not defined by a decision library. `request` and `exchange` are numbers chosen
// by the sender and repeated in the reply. `traceparent` is empty unless the trace is sampled.
namespace wire {

struct ForwardSubmit
{
    uint64_t request = 0;
    SubmissionId id; // unused with a key
    std::string key;
    std::string owner;
    std::string entry;
    uint64_t bodyDigest = 0;
    Time deadline {};
    bool repeatable = false;
    std::vector<TaskInput> tasks;
    std::string traceparent;
};
struct ForwardCancel
{
    uint64_t request = 0;
    SubmissionId id;
    std::string owner;
};
struct ForwardQuery
{
    uint64_t request = 0;
    SubmissionId id;
    std::string owner;
};
// The outcome is null in the reply to a query if the submission has no outcome yet.
struct ForwardReply
{
    uint64_t request = 0;
    OutcomePtr outcome;
    bool isRunning = false;
};

struct Lend
{
    uint64_t exchange = 0;
    uint64_t expectedIncarnation = 0; // of the receiver; 0 if unknown
    Time expiry {};
    std::vector<LentTask> tasks;
    std::string traceparent;
};
struct LendReply
{
    uint64_t exchange = 0;
    std::vector<TaskReply> results;
    std::vector<uint32_t> capacity {}; // of the borrower, as in heartbeats
};
struct LendResult
{
    std::vector<TaskReply> results;
    std::vector<uint32_t> capacity {};
};
struct LendInquiry
{
    uint64_t exchange = 0;
    std::vector<TaskId> ids;
};
struct LendStop
{
    uint64_t exchange = 0;
    std::vector<TaskId> ids;
};
// Reply to LendInquiry and LendStop.
struct LendInquiryReply
{
    uint64_t exchange = 0;
    std::vector<TaskReply> results;
};

struct LedgerHandover
{
    LedgerPart part;
};
struct LedgerAck
{
    Issuer issuer;
    uint32_t part = 0;
};
// Announces that the successor is now responsible for the ids of the issuer.
struct LedgerMoved
{
    Issuer issuer;
    std::string successor;
};
// Announces the address at which the sender serves callers. A draining VM puts it into its
// refusals.
struct Introduction
{
    std::string httpAddress; // "address:port"
};

} // namespace wire

using WireMessage =
        std::variant<Heartbeat, Summary, Leaving, VmListUpdate, CatalogueRequest, CatalogueRecords,
                     CatalogueSnapshot, wire::ForwardSubmit, wire::ForwardReply,
                     wire::ForwardCancel, wire::ForwardQuery, wire::Lend, wire::LendReply,
                     wire::LendResult, wire::LendInquiry, wire::LendStop, wire::LendInquiryReply,
                     LoanRequest, LoanGrant, wire::LedgerHandover, wire::LedgerAck,
                     wire::LedgerMoved, wire::Introduction>;

// Name of the message type, for metrics and logs.
std::string_view messageName(const WireMessage &message);
// True for messages that are sent as datagrams.
bool isDatagram(const WireMessage &message);
// True for messages whose number grows with the load because they concern submissions, tasks or
// ledger records. All others are control traffic.
bool carriesWork(const WireMessage &message);

// TCP and UDP have separate message numbers, because messages on one can arrive long before earlier
// messages on the other.
enum class Channel : uint8_t { Datagram, Stream };

struct Envelope
{
    std::string sender;
    std::string receiver;
    uint64_t incarnation = 0; // of the sender
    Channel channel = Channel::Datagram;
    uint64_t number = 0; // counts from 1 within the incarnation and channel
    WireMessage message;
};

struct PeerKey
{
    uint32_t id = 0;
    std::string secret;
};

struct EnvelopeLimits
{
    size_t maxBytes = 32U << 20;
    size_t maxDatagramBytes = 60U << 10; // below the limit of UDP over IPv4
};

// Signs and encodes outgoing messages, verifies and decodes incoming ones. Thread safe.
//
// The first key signs and every key is accepted, so that keys can be rotated without interruption:
// add the new key at the end on all VMs, move it to the front on all VMs, then remove the old key.
// Without any key, messages carry no signature; the settings permit that on loopback only.
class EnvelopeCodec
{
public:
    EnvelopeCodec(std::string vm, uint64_t incarnation, std::vector<PeerKey> keys,
                  EnvelopeLimits limits = {});

    // Errors (NotRun): BodyTooLarge.
    Result<std::string> encode(const std::string &receiver, const WireMessage &message);

    // Errors (NotRun): Unauthorized for a wrong or missing signature or another receiver,
    // DecodeFailed for everything else. Never throws; allocates at most a small multiple of the
    // size of the input.
    Result<Envelope> decode(std::string_view bytes) const;

private:
    const PeerKey *findKey(uint32_t id) const;

    std::string vm_;
    uint64_t incarnation_;
    std::vector<PeerKey> keys_;
    EnvelopeLimits limits_;
    std::array<std::atomic<uint64_t>, 2> lastNumber_ {};
};

enum class ReplayCheck { Fresh, Replayed, StaleIncarnation };

// Detects replayed messages and messages of earlier incarnations of a VM. Thread safe.
class ReplayGuard
{
public:
    // Size of the replay window. A number at least this far below the highest one counts as
    // replayed. UDP reorders by a few messages only.
    static constexpr uint64_t window = 256;

    ReplayCheck check(const Envelope &envelope);

private:
    struct Sender
    {
        uint64_t incarnation = 0;
        std::array<uint64_t, 2> highest {};
        std::array<std::array<uint64_t, window / 64>, 2> seen {};
    };

    std::mutex mutex_;
    std::map<std::string, Sender> senders_;
};

// Faults applied to outgoing messages in tests.
struct MessageFaults
{
    double loss = 0;      // probability
    double duplicate = 0; // probability of a second copy
    double reorder = 0;   // probability of an extra delay up to `maxDelay`
    Duration delay {};    // of every message
    Duration maxDelay = std::chrono::milliseconds(50);
};

// Selects the faults of each message with a seeded generator. Thread safe.
class FaultInjector
{
public:
    FaultInjector(MessageFaults faults, uint64_t seed);

    void setFaults(const MessageFaults &faults);
    // Returns the delay of each copy to deliver; empty if the message is to be lost.
    std::vector<Duration> nextDeliveries();

private:
    Duration nextDelay();

    std::mutex mutex_;
    MessageFaults faults_;
    Random random_;
};

} // namespace lovage
