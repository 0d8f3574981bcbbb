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
    // The catalogue at the time of the read. A reply is judged against these, not against records
    // that arrived from peers meanwhile.
    bool hadState = false;
    uint64_t applied = 0;
    uint64_t digest = 0;
    bool isVerifying = false;
};

struct OutstandingAsk
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
    void on(const LogExtended &grew, Time now);
    void on(const FollowerTick &tick, Time now);

    void answer(const std::string &vm, const CatalogueRequest &request);
    void take(const std::string &vm, const CatalogueRecords &message, Time now);
    void take(const std::string &vm, const CatalogueSnapshot &message, Time now);

    // Log.
    void startRead(Time now);
    void readFailed(const std::string &reason, Time now);
    std::string differenceFrom(const OutstandingRead &read, const LogPage &page) const;
    void absorb(const LogPage &page, Time now);
    void scan(const LogPage &page, Time now);
    void stopScan();
    bool tryScanned(Time now);
    void scheduleRead(const OutstandingRead &read, const LogPage &page, Time now);

    // Catalogue.
    void applyRecords(std::span<const LogRecord> records, Time now);
    void replaceState(const CatalogueFold &state, FollowerSignal start, Time now);
    void publish(const Catalogue &next);
    void noteSnapshot(const LogRecord &record, Time now);
    void forward(uint64_t after, uint64_t afterDigest);
    void considerSnapshot(Time now);

    // Peers.
    void askIfBehind(Time now);
    bool isHistoryOf(const std::string &vm, const CatalogueRecords &message);

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
    std::map<uint64_t, LogRecord> scanned;
    std::optional<uint64_t> scanFrom = 1;

    bool isRelay = false;
    std::vector<std::string> localPeers;
    std::map<std::string, uint64_t> peerOffsets;
    std::map<std::string, uint64_t> diverged; // peer, offset of the reported difference
    std::optional<OutstandingAsk> ask;
    uint32_t failedAsks = 0;

    std::optional<Time> snapshotTakenAt; // of the newest snapshot seen in the log
    uint64_t snapshotAt = 0;
    std::optional<Time> snapshotDueAt;
};

} // namespace lovage
