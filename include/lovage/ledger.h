// Ledger: the record of the submissions whose ids were issued by one VM incarnation. It guarantees
// that no submission is started twice.
#pragma once

#include "lovage/core.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

namespace lovage {

// The output of one task. The name is the task id chosen by the caller and is empty for a single
// request.
struct TaskAnswer
{
    std::string name;
    std::string output;

    bool operator==(const TaskAnswer &) const = default;
};

// The complete answer to a submission, in the order of its tasks.
struct Answer
{
    std::vector<TaskAnswer> tasks;

    bool operator==(const Answer &) const = default;
};

// The final result of a submission. It is shared between the record and every waiting caller, so
// that an answer is never copied.
using Outcome = std::variant<Answer, Error>;
using OutcomePtr = std::shared_ptr<const Outcome>;

OutcomePtr makeOutcome(Answer answer);
OutcomePtr makeOutcome(Error error);
// The error of a failed outcome, or nullptr for a complete answer.
const Error *errorOf(const Outcome &outcome);

// One incarnation of an entry VM, as named in the submission ids that it issues.
struct Issuer
{
    std::string dataCentre;
    std::string vm;
    uint64_t incarnation = 0;

    bool operator==(const Issuer &) const = default;
    bool operator<(const Issuer &other) const
    {
        return std::tie(dataCentre, vm, incarnation)
                < std::tie(other.dataCentre, other.vm, other.incarnation);
    }
};

Issuer issuerOf(const SubmissionId &id);

// The submission was accepted for the first time, so its tasks may start now.
struct Start
{
    SubmissionId id;
};
struct AlreadyRunning
{
    SubmissionId id;
};
struct Finished
{
    SubmissionId id;
    OutcomePtr outcome;
};
struct Refuse
{
    Error error;
};
// Another VM has the record of this id.
struct ForwardTo
{
    std::string vm;
};
// The id was issued, but nothing has been submitted under it yet.
struct Opened
{ };

using SubmitDecision = std::variant<Start, AlreadyRunning, Finished, Refuse, ForwardTo>;
// AlreadyRunning means that the caller of cancel() must stop the tasks and call finish().
using CancelDecision = std::variant<AlreadyRunning, Finished, Refuse, ForwardTo>;
using LookupDecision = std::variant<Opened, AlreadyRunning, Finished, Refuse, ForwardTo>;

struct HandoverRecord
{
    uint64_t sequence = 0;
    uint64_t digest = 0;
    std::string owner;
    OutcomePtr outcome;
    Time finishedAt;
};

// A part of the finished submissions of a sealed ledger, sent to its successor. Until the successor
// has every part it answers MayHaveRun for ids without a record.
struct LedgerPart
{
    Issuer issuer;
    uint64_t horizon = 0;    // submissions with a lower sequence and no record may have run
    uint64_t lastIssued = 0; // highest sequence number that was issued
    uint32_t part = 0;
    uint32_t parts = 1;
    std::vector<HandoverRecord> records;
};

struct LedgerOptions
{
    Issuer self;
    Duration retention = std::chrono::minutes(15);
    Duration openLifetime = std::chrono::minutes(10); // must be below retention
    Duration skewMargin = std::chrono::seconds(2);
    size_t ledgerBytes = size_t(48) << 20;
    size_t handoverPartBytes = size_t(1) << 20;
};

// Records of the running and finished submissions of one issuer. The user of the store must limit
// its size with dropOldest().
class RecordStore
{
public:
    struct Record
    {
        uint64_t digest = 0; // 0 if cancelled before submission; matches every body
        OutcomePtr outcome;  // null while running
        uint32_t owner = 0;  // index of the owner name in the Ledger
        uint32_t bytes = 0;  // size of the outcome
    };

    Record *find(uint64_t sequence);
    const Record *find(uint64_t sequence) const;
    void addRunning(uint64_t sequence, uint64_t digest, uint32_t owner);
    void addFinished(uint64_t sequence, Record record, Time finishedAt);
    void finish(uint64_t sequence, OutcomePtr outcome, Time finishedAt);

    // Finish time of the oldest finished record, or nullopt if there is none.
    std::optional<Time> oldest() const;
    // Removes the oldest finished record, raises the horizon above it and returns its sequence.
    uint64_t dropOldest();
    void raiseHorizon(uint64_t sequence) { horizon_ = std::max(horizon_, sequence); }

    uint64_t horizon() const { return horizon_; }
    size_t size() const { return records_.size(); }
    size_t running() const { return records_.size() - finishedOrder_.size(); }
    size_t bytes() const;
    const std::deque<std::pair<uint64_t, Time>> &finishedOrder() const { return finishedOrder_; }

private:
    boost::unordered_flat_map<uint64_t, Record> records_;
    std::deque<std::pair<uint64_t, Time>> finishedOrder_; // sequence, finish time
    uint64_t horizon_ = 1;
    size_t bytes_ = 0;
};

// Ledger of one VM incarnation. Not thread-safe.
//
// The caller must
// - start the tasks of a submission only after submit() or submitKeyed() returned Start;
// - call finish() exactly once for each Start;
// - pass times that never decrease.
//
// A refusal must also be recorded with finish() if the id could still be submitted successfully
// later. Otherwise a delayed copy of the request could start after the caller received NotRun.
class Ledger
{
public:
    Ledger(LedgerOptions options, Time start);

    // Fails with Draining after seal().
    Result<SubmissionId> open(Time now);
    SubmitDecision submit(const SubmissionId &id, const std::string &owner, uint64_t bodyDigest,
                          Time now);
    // The key has the form "<unix ms>-<text>". Must be called only on the home VM of the key, see
    // keyHome().
    SubmitDecision submitKeyed(const std::string &key, const std::string &owner,
                               uint64_t bodyDigest, Time now);
    void finish(const SubmissionId &id, OutcomePtr outcome, Time now);
    CancelDecision cancel(const SubmissionId &id, const std::string &owner, Time now);
    LookupDecision find(const SubmissionId &id, const std::string &owner, Time now) const;

    // Stops issuing ids and accepting submissions. Running submissions may still finish.
    void seal() { sealed_ = true; }
    bool isSealed() const { return sealed_; }
    size_t running() const { return own_.running(); }
    // Splits this ledger and the imported ones into parts for the successor. May be called only if
    // the ledger is sealed and no submission is running.
    std::vector<LedgerPart> handover() const;

    // Adds the records of a part of a sealed ledger. A part that was imported before is ignored.
    void import(LedgerPart part, Time now);
    // Records which VM took over a sealed ledger. The name is empty if there is no successor.
    void recordSuccessor(const Issuer &issuer, const std::string &successorVm, Time now);

    // Drops records that are older than the retention time. Must be called about once per second.
    void expire(Time now);

    // Memory use that counts towards LedgerOptions::ledgerBytes.
    size_t bytes() const;
    size_t records() const { return own_.size(); }
    uint64_t horizon() const { return own_.horizon(); }

private:
    struct IssueTime
    {
        Time at;
        uint64_t sequence = 0; // first sequence number issued at or after this time
    };
    struct Imported
    {
        RecordStore store;
        uint64_t lastIssued = 0;
        uint32_t parts = 1;
        boost::unordered_flat_set<uint32_t> received;
        Time importedAt;

        bool isComplete() const { return received.size() == parts; }
    };
    struct Successor
    {
        std::string vm;
        Time recordedAt;
    };
    struct KeyRecord
    {
        uint64_t sequence = 0;
        Time keyTime;
    };

    uint32_t ownerIndex(const std::string &owner);
    bool isOwnedBy(const RecordStore::Record &record, const std::string &owner) const;
    LookupDecision findForeign(const SubmissionId &id, const std::string &owner) const;
    LookupDecision findImported(const Imported &ledger, const SubmissionId &id,
                                const std::string &owner) const;
    std::optional<Error> checkOpen(uint64_t sequence, Time now) const;
    std::optional<Error> checkKeyTime(Time keyTime, Time now) const;
    SubmitDecision decideRecorded(const SubmissionId &id, const RecordStore::Record &record,
                                  const std::string &owner, uint64_t bodyDigest) const;
    uint64_t issue(Time now);
    void dropOldest(RecordStore &store);
    void enforceSize();
    SubmissionId idOf(uint64_t sequence) const;

    LedgerOptions options_;
    Time start_;
    bool sealed_ = false;
    uint64_t lastIssued_ = 0;
    std::deque<IssueTime> issueTimes_;
    RecordStore own_;
    std::vector<std::string> owners_;
    boost::unordered_flat_map<std::string, uint32_t> ownerIndexes_;
    boost::unordered_flat_map<std::string, KeyRecord> keys_;
    boost::unordered_flat_map<uint64_t, std::string> keyOfSequence_;
    size_t keyBytes_ = 0;
    Time keyHorizon_; // keys with this creation time or an earlier one are too old
    std::map<Issuer, Imported> imported_;
    std::map<Issuer, Successor> successors_;
};

// Creation time in a key of the form "<unix ms>-<text>", or nullopt if the key is malformed.
std::optional<Time> keyTime(std::string_view key);
// Name of the home VM of a key, which alone accepts submissions with this key, chosen from the
// configured list of entry VM names. Empty if the list is empty.
std::string keyHome(std::string_view key, const std::vector<std::string> &entryVms);

} // namespace lovage
