// State of CatalogueFollower, shared by the sources that follow the log and talk to peers.
#pragma once

#include "lovage/catalogue.h"

#include "follower_machine.h"
#include "record_history.h"

#include <map>

namespace lovage {

struct OutstandingRead
{
    uint64_t token = 0;
    uint64_t from = 0;
    Duration wait {0};
    Time issuedAt;
    // State of the catalogue when the read was issued. The reply is compared with these values, not
    // with records that arrived from peers in the meantime.
    bool hadState = false;
    uint64_t applied = 0;
    uint64_t digest = 0;
    bool isVerifying = false;
};

struct PeerRequest
{
    std::string vm;
    Time deadline;
};

struct CatalogueFollower::Impl
{
    Impl(FollowerOptions options, uint64_t seed, Time now);

    // Events.
    void on(const LogPage &page, Time now);
    void on(const LogError &error, Time now);
    void on(const PeerMessage &message, Time now);
    void on(const PeerOffset &peer, Time now);
    void on(const RelayUpdate &update, Time now);
    void on(const LogExtended &extended, Time now);
    void on(const FollowerTick &tick, Time now);

    void answer(const std::string &vm, const CatalogueRequest &request);
    void applyMessage(const std::string &vm, const CatalogueRecords &message, Time now);
    void applyMessage(const std::string &vm, const CatalogueSnapshot &message, Time now);

    // Log.
    void startRead(Time now);
    void readFailed(const std::string &reason, Time now);
    std::string findDifference(const OutstandingRead &read, const LogPage &page) const;
    void applyPage(const LogPage &page, Time now);
    void scan(const LogPage &page, Time now);
    void stopScan();
    bool buildFromScan(Time now);
    void scheduleRead(const OutstandingRead &read, const LogPage &page, Time now);

    // Catalogue.
    void applyRecords(std::span<const LogRecord> records, Time now);
    void replaceState(const CatalogueFold &state, FollowerSignal start, Time now);
    void publish(const Catalogue &next);
    void trackSnapshot(const LogRecord &record, Time now);
    void forwardToPeers(uint64_t after, uint64_t afterDigest);
    void writeSnapshotIfDue(Time now);

    // Peers.
    void requestIfBehind(Time now);
    bool matchesHistory(const std::string &vm, const CatalogueRecords &message);

    void signal(FollowerSignal signal, const std::string &reason);
    bool hasState() const { return machine.state() != FollowerState::Empty; }
    uint64_t applied() const { return catalogue.offset(); }
    Duration randomUpTo(Duration bound);

    FollowerOptions options;
    Random random;
    FollowerMachine machine;
    Catalogue catalogue;
    RecordHistory history;
    std::vector<FollowerAction> actions;

    std::optional<OutstandingRead> outstanding;
    uint64_t lastToken = 0;
    Time nextReadAt;
    Time verifiedAt {};
    uint32_t failures = 0;
    bool readAgain = false;
    // Records read while there is no state to apply them to: at the start, or after retention
    // dropped records that this VM never read.
    std::map<uint64_t, LogRecord> scannedRecords;
    std::optional<uint64_t> scanFrom = 1;

    bool isRelay = false;
    std::vector<std::string> localPeers;
    std::map<std::string, uint64_t> peerOffsets;
    std::map<std::string, uint64_t> divergedPeers; // offset of the reported difference by peer
    std::optional<PeerRequest> peerRequest;
    uint32_t failedPeerRequests = 0;

    std::optional<Time> snapshotTakenAt; // of the newest snapshot seen in the log
    uint64_t snapshotAt = 0;
    std::optional<Time> snapshotDueAt;
};

} // namespace lovage
