// The catalogue of entries: its values and their JSON forms, the fold over the log stream
// `catalogue`, and the state machines that follow the log and publish changes. No sockets, threads
// or clock: callers feed events with a time and carry out the returned actions.
#pragma once

#include "lovage/core.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lovage {

// Limits of the work that one entry admits. All but `deadline` apply to the whole deployment.
struct Limits
{
    uint32_t startsPerSecond = 100;
    uint32_t concurrent = 100;
    uint32_t queued = 1000;
    Duration deadline = std::chrono::seconds(10); // longest deadline a caller may ask for
    uint32_t maxTasks = 1000;                     // tasks of one submission
    uint32_t retryPercent = 10;                   // retries allowed per 100 starts

    auto operator<=>(const Limits &) const = default;
};

// An entry of the catalogue. Operators publish it and submissions refer to it by name. Work that
// has started finishes under the version of the entry that it was started with.
struct Entry
{
    std::string name;
    std::string owner;
    std::string workClass;
    BackendKind backendKind = BackendKind::Executor;
    Demand demand;
    Duration declaredRunTime = std::chrono::milliseconds(100);
    Limits limits;
    double wasteWeight = 0.5; // 0 favours response time, 1 favours few messages
    bool retired = false;
    uint64_t version = 0; // log offset of the last accepted change; 0 before the first

    bool operator==(const Entry &) const = default;
};

enum class ChangeOperation { Publish, Change, Retire };

std::string_view toString(ChangeOperation operation);
std::optional<ChangeOperation> parseChangeOperation(std::string_view text);

// A proposed change. It takes effect only if the entry still has the version `replaces` when the
// record is folded; otherwise it is a conflict. Of a Retire only the entry name is used.
struct ChangeRecord
{
    std::string requestId; // chosen by the operator; repeating it changes nothing
    ChangeOperation operation = ChangeOperation::Publish;
    uint64_t replaces = 0; // 0 for a new entry
    Entry entry;           // its version is ignored

    bool operator==(const ChangeRecord &) const = default;
};

// Result of a change record after its offset in the log is known.
struct ChangeOutcome
{
    std::string requestId;
    uint64_t offset = 0; // of the first record with this request id
    bool accepted = false;
    uint64_t changeDigest = 0; // distinguishes a repeated request from another change with its id

    bool operator==(const ChangeOutcome &) const = default;
};

// State of the fold at offset `at`, written so that retention may drop the records up to `at`.
struct SnapshotRecord
{
    uint64_t at = 0;
    int64_t takenAtMs = 0; // wall clock of the writer, used only to decide when the next one is due
    std::vector<Entry> entries;          // sorted by name
    std::vector<ChangeOutcome> outcomes; // oldest first

    bool operator==(const SnapshotRecord &) const = default;
};

using LogContent = std::variant<ChangeRecord, SnapshotRecord>;

// One record as the log service returns it.
struct LogRecord
{
    uint64_t offset = 0;
    std::string data;

    bool operator==(const LogRecord &) const = default;
};

// Returns one message for each rule that the entry violates, in the form
// "key.path: expected ...". Empty for a valid entry.
std::vector<std::string> validateEntry(const Entry &entry);

// JSON of an entry. The parse functions report every problem at once in `reason`, separated by
// "; ", each with its key path and what was expected. Codes: MalformedBody for text that is not
// JSON, InvalidEntry otherwise; the verdict is always NotRun.
Result<Entry> parseEntry(std::string_view json);
std::string serializeEntry(const Entry &entry);

// Body of POST /v1/catalogue/changes: {"operation","entry","replaces","requestId"}.
Result<ChangeRecord> parseChange(std::string_view json);
std::string serializeChange(const ChangeRecord &change);

// Records of the log stream: a change or snapshot with the key "kind".
Result<LogContent> parseLogRecord(std::string_view json);
std::string serializeLogRecord(const LogContent &content);

// Digest of the content of a change, independent of its JSON layout.
uint64_t changeDigest(const ChangeRecord &change);
// Digest of a raw log record; equal on every VM for equal bytes.
uint64_t recordDigest(std::string_view data);

// Immutable state of the fold. Copies share their content, so a copy is cheap and may be read by
// any thread. find() is one hash of the name and one comparison in the common case.
class Catalogue
{
public:
    Catalogue();

    // The entry in force, also if it is retired; nullptr for an unknown name. Valid while this
    // catalogue or a copy of it lives.
    const Entry *find(std::string_view name) const;
    // Sorted by name.
    std::span<const std::shared_ptr<const Entry>> entries() const;
    // Offset of the last folded record; 0 for the empty catalogue.
    uint64_t offset() const;
    // Digest of the record at offset(); 0 for the empty catalogue.
    uint64_t lastRecordDigest() const;
    // Outcome of a recent request; nullptr if unknown or too old.
    const ChangeOutcome *findOutcome(std::string_view requestId) const;
    // Recent outcomes, oldest first; at most maxOutcomes.
    std::span<const ChangeOutcome> outcomes() const;

    // Outcomes kept for repeated request ids. Covers about five hours at 2,500 changes a day.
    static constexpr size_t maxOutcomes = 512;

    bool operator==(const Catalogue &other) const;

private:
    friend class CatalogueFold;
    struct State;
    std::shared_ptr<const State> state_;
};

// Mutable builder that folds records in offset order and builds immutable catalogues.
class CatalogueFold
{
public:
    CatalogueFold() = default;
    explicit CatalogueFold(const Catalogue &start);
    // State of a snapshot; the digest is that of the record at snapshot.at, 0 if unknown.
    CatalogueFold(const SnapshotRecord &snapshot, uint64_t digest);

    // Folds the record at offset() + 1; any other offset violates the contract. A record that does
    // not parse or is no change only advances the offset. Returns the outcome of a change.
    std::optional<ChangeOutcome> apply(const LogRecord &record);
    uint64_t offset() const { return offset_; }
    Catalogue build() const;

private:
    ChangeOutcome applyChange(const ChangeRecord &change);
    void recordOutcome(ChangeOutcome outcome);

    std::vector<std::shared_ptr<const Entry>> entries_;
    std::vector<ChangeOutcome> outcomes_;
    uint64_t offset_ = 0;
    uint64_t digest_ = 0;
};

// Folds a contiguous run of records onto a catalogue.
Catalogue fold(const Catalogue &start, std::span<const LogRecord> records);
// The snapshot record of a catalogue.
SnapshotRecord snapshotOf(const Catalogue &catalogue, Time now);

// Messages between VMs. Aggregates of simple fields, encoded by the protocol library.

// Asks for the records after an offset. The digest is that of the sender's record at `after`.
struct CatalogueRequest
{
    uint64_t after = 0;
    uint64_t afterDigest = 0;
};

// Consecutive records, the first at `after` + 1.
struct CatalogueRecords
{
    uint64_t after = 0;
    uint64_t afterDigest = 0; // of the record at `after` in the sender's history
    std::vector<LogRecord> records;
};

// Whole state, sent when the requested records are no longer kept.
struct CatalogueSnapshot
{
    uint64_t digest = 0; // of the record at snapshot.at
    // takenAtMs is the time of the newest snapshot that the sender saw in the log, 0 if none.
    SnapshotRecord snapshot;
};

using CatalogueMessage = std::variant<CatalogueRequest, CatalogueRecords, CatalogueSnapshot>;

// CatalogueFollower.

enum class FollowerState { Empty, FollowingLog, FollowingPeers, LogBehind };

std::string_view toString(FollowerState state);

// Events.

// Reply to ReadLog. `first` is the lowest offset that the log keeps, `next` follows the last
// record of the log or of the page.
struct LogPage
{
    uint64_t token = 0; // of the ReadLog action
    uint64_t first = 1;
    uint64_t next = 1;
    std::vector<LogRecord> records;
};

// The read failed or timed out.
struct LogError
{
    uint64_t token = 0;
    std::string reason;
};

// A catalogue message from a peer.
struct PeerMessage
{
    std::string vm;
    CatalogueMessage message;
};

// A heartbeat or summary reported the catalogue offset of a peer.
struct PeerOffset
{
    std::string vm;
    uint64_t offset = 0;
};

// The relay or the live VMs of the data centre changed.
struct RelayUpdate
{
    bool isRelay = false;
    std::vector<std::string> localPeers; // other live VMs of the data centre
};

// The log is known to contain a record at this offset, for example after an append. With offset 0
// the log is read soon in any case.
struct LogExtended
{
    uint64_t offset = 0;
};

struct FollowerTick
{ };

using FollowerEvent = std::variant<LogPage, LogError, PeerMessage, PeerOffset, RelayUpdate,
                                   LogExtended, FollowerTick>;

// Actions.

// Read the log from an offset; wait up to `wait` for a record if there is none. Answer with LogPage
// or LogError carrying the token.
struct ReadLog
{
    uint64_t token = 0;
    uint64_t from = 1;
    uint32_t max = 0;
    Duration wait {0};
};

struct SendCatalogueMessage
{
    std::string vm;
    CatalogueMessage message;
};

// Make the catalogue the one in force. The offset is higher than that of any earlier one, but for
// the first, which may be 0.
struct PublishCatalogue
{
    Catalogue catalogue;
};

// Append a snapshot record. A failure or lost reply needs no handling, because a snapshot that does
// not appear in the log is written again.
struct AppendSnapshot
{
    std::string data;
};

// The state changed. LogBehind must raise an alarm.
struct FollowerStateChanged
{
    FollowerState state = FollowerState::Empty;
    std::string reason;
};

// A peer holds another record at an applied offset, which must raise an alarm. The records in its
// message are not applied, and no records are requested from it.
struct PeerDiverged
{
    std::string vm;
    uint64_t offset = 0;
};

using FollowerAction = std::variant<ReadLog, SendCatalogueMessage, PublishCatalogue, AppendSnapshot,
                                    FollowerStateChanged, PeerDiverged>;

struct FollowerOptions
{
    // Reads of the log. The page size limits what a starting VM requests from the log at once.
    uint32_t pageRecords = 500;
    // Wait of the relay's reads for new records.
    Duration longPoll = std::chrono::seconds(2);
    // Time between the reads of other VMs, with a random jitter of up to a quarter.
    Duration pollInterval = std::chrono::seconds(2);
    // The relay reads the record at its applied offset again after this time, to verify that the
    // log still holds it.
    Duration verifyInterval = std::chrono::seconds(10);
    // A read fails this long after its requested wait.
    Duration readTimeout = std::chrono::seconds(2);
    Duration retryMin = std::chrono::milliseconds(200);
    Duration retryMax = std::chrono::seconds(2); // limits how late the end of an outage is noticed
    // Start-up. The relay reads after a random delay up to startJitter. Other VMs leave it time to
    // read and to report its offset in a heartbeat: they read the log themselves after
    // startFallback plus up to a quarter of it, which is within the 2 s that a start may take.
    Duration startJitter = std::chrono::milliseconds(200);
    Duration startFallback = std::chrono::milliseconds(1300);
    Duration peerTimeout = std::chrono::milliseconds(700);
    // Snapshots.
    Duration logRetention = std::chrono::hours(1);
    uint64_t snapshotChanges = 1000;
    // Random delay before a snapshot, so that usually only one relay writes it.
    Duration snapshotJitter = std::chrono::seconds(10);
    // Limits of the recent records that are kept for peers that request them by offset.
    size_t historyRecords = 1024;
    size_t historyBytes = 1 << 20;
};

// Follows the catalogue stream of the log, or peers while the log is down. Feed a FollowerTick at
// least every 100 ms. Single-threaded.
class CatalogueFollower
{
public:
    CatalogueFollower(FollowerOptions options, uint64_t seed, Time now);
    ~CatalogueFollower();
    CatalogueFollower(const CatalogueFollower &) = delete;
    CatalogueFollower &operator=(const CatalogueFollower &) = delete;

    std::vector<FollowerAction> handle(const FollowerEvent &event, Time now);

    FollowerState state() const;
    // The catalogue in force. Meaningful unless state() is Empty.
    const Catalogue &catalogue() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

// CataloguePublisher.

// Events.

struct PublishRequested
{
    uint64_t token = 0; // chosen by the caller, unique among the publishes in progress
    ChangeRecord change;
    Time deadline;
};

struct AppendReplied
{
    uint64_t token = 0;
    uint64_t offset = 0;
};

// The append failed. `maybeAppended` is false only if the request certainly never left this VM.
struct AppendFailed
{
    uint64_t token = 0;
    bool maybeAppended = true;
    std::string reason;
};

// State and catalogue of the follower. Feed it after every follower event that published a
// catalogue or changed the state.
struct FollowerUpdated
{
    FollowerState state = FollowerState::Empty;
    Catalogue catalogue;
};

struct PublisherTick
{ };

using PublisherEvent =
        std::variant<PublishRequested, AppendReplied, AppendFailed, FollowerUpdated, PublisherTick>;

// Actions.

struct AppendChange
{
    uint64_t token = 0;
    std::string data;
};

// Make the follower read the log soon: pass it the offset as LogExtended.
struct ReadBack
{
    uint64_t offset = 0; // 0 if the offset of the record is unknown
};

// The publish ended. Without an error the change is accepted and in the log at `offset`. Errors:
//  - NotRun with InvalidEntry, PublishConflict, LogBehind, LogUnavailable, NoCatalogue, Overloaded
//    or Timeout: the change is not and never will be in force,
//  - MayHaveRun with PublishUnknown.
struct PublishFinished
{
    uint64_t token = 0;
    uint64_t offset = 0;
    std::optional<Error> error;
};

using PublisherAction = std::variant<AppendChange, ReadBack, PublishFinished>;

struct PublisherOptions
{
    Duration readBackInterval = std::chrono::milliseconds(300);
    size_t maxInProgress = 256; // further publishes are refused NotRun, Overloaded
};

// Publishes changes through the log. A change is appended at most once and is accepted only after
// it was read in the log. Single-threaded; feed a PublisherTick at least every 100 ms.
class CataloguePublisher
{
public:
    explicit CataloguePublisher(PublisherOptions options);
    ~CataloguePublisher();
    CataloguePublisher(const CataloguePublisher &) = delete;
    CataloguePublisher &operator=(const CataloguePublisher &) = delete;

    std::vector<PublisherAction> handle(const PublisherEvent &event, Time now);
    size_t inProgress() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace lovage
