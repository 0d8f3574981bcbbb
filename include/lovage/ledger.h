// Record of the submissions that one VM incarnation issued: the base of "no task starts twice".
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

// The answer of one task. The name is the caller's task id; it is empty for a single request.
struct TaskAnswer
{
    std::string name;
    std::string output;

    bool operator==(const TaskAnswer &) const = default;
};

// The whole answer of a submission, in the order of its tasks.
struct Answer
{
    std::vector<TaskAnswer> tasks;

    bool operator==(const Answer &) const = default;
};

// The final result of a submission. Shared between the record and every waiting caller, so that an
// answer is never copied.
using Outcome = std::variant<Answer, Error>;
using OutcomePtr = std::shared_ptr<const Outcome>;

OutcomePtr makeOutcome(Answer answer);
OutcomePtr makeOutcome(Error error);
// The error of a failed outcome, or nullptr for a complete answer.
const Error *errorOf(const Outcome &outcome);

// One process of an entry VM, as named in submission ids.
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

// The caller's submission was accepted for the first time; its tasks may start now.
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
// Another VM answers for this id.
struct ForwardTo
{
    std::string vm;
};
// The id was issued and nothing was submitted under it.
struct Opened
{ };

using SubmitDecision = std::variant<Start, AlreadyRunning, Finished, Refuse, ForwardTo>;
// AlreadyRunning means that the caller of cancel() has to stop the tasks and call finish().
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

// A part of the finished submissions of a sealed ledger, for its successor. Until the successor
// has every part it treats missing ids as MayHaveRun.
struct LedgerPart
{
    Issuer issuer;
    uint64_t horizon = 0;    // ids below it that have no record may have run
    uint64_t lastIssued = 0; // highest sequence that was issued
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

// Finished and running submissions of one issuer, bounded by the owner of the store.
class RecordStore
{
public:
    struct Record
    {
        uint64_t digest = 0; // 0: cancelled before it was submitted, matches every body
        OutcomePtr outcome;  // null while running
        uint32_t owner = 0;  // index of the owner name, see Ledger
        uint32_t bytes = 0;  // of the outcome
    };

    Record *find(uint64_t sequence);
    const Record *find(uint64_t sequence) const;
    void addRunning(uint64_t sequence, uint64_t digest, uint32_t owner);
    void addFinished(uint64_t sequence, Record record, Time finishedAt);
    void finish(uint64_t sequence, OutcomePtr outcome, Time finishedAt);

    // Finish time of the oldest finished record; nullopt without one.
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

// Single-writer ledger of one VM incarnation.
//
// Obligations of the caller: start the tasks of a submission only after submit() or submitKeyed()
// returned Start; call finish() exactly once for each Start; pass times that never step back.
//
// A refusal of an id that could still be submitted successfully later must also be recorded with
// finish(): otherwise a delayed copy of the request could start after the caller saw NotRun.
class Ledger
{
public:
    Ledger(LedgerOptions options, Time start);

    // Fails with Draining after seal().
    Result<SubmissionId> open(Time now);
    SubmitDecision submit(const SubmissionId &id, const std::string &owner, uint64_t bodyDigest,
                          Time now);
    // key is "<unix ms>-<text>". Call only on the home of the key, see keyHome().
    SubmitDecision submitKeyed(const std::string &key, const std::string &owner,
                               uint64_t bodyDigest, Time now);
    void finish(const SubmissionId &id, OutcomePtr outcome, Time now);
    CancelDecision cancel(const SubmissionId &id, const std::string &owner, Time now);
    LookupDecision find(const SubmissionId &id, const std::string &owner, Time now) const;

    // No submission is accepted and no id is issued from now on. Running ones may finish.
    void seal() { sealed_ = true; }
    bool isSealed() const { return sealed_; }
    size_t running() const { return own_.running(); }
    // The own and the imported ledgers in parts. Call when sealed and nothing is running.
    std::vector<LedgerPart> handover() const;

    // Takes over the answers of a sealed ledger; repeated parts change nothing.
    void import(LedgerPart part, Time now);
    // Remembers which VM answers for the ids of a sealed ledger; empty if none does.
    void recordSuccessor(const Issuer &issuer, const std::string &successorVm, Time now);

    // Drops records beyond retention or size. Call about once per second.
    void expire(Time now);

    // Bytes counted against LedgerOptions::ledgerBytes.
    size_t bytes() const;
    size_t records() const { return own_.size(); }
    uint64_t horizon() const { return own_.horizon(); }

private:
    struct IssuedMark
    {
        Time at;
        uint64_t sequence = 0; // first sequence issued at or after this time
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
        Time notedAt;
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
    std::optional<Error> whyNotOpen(uint64_t sequence, Time now) const;
    std::optional<Error> whyKeyRefused(Time keyTime, Time now) const;
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
    std::deque<IssuedMark> issuedMarks_;
    RecordStore own_;
    std::vector<std::string> owners_;
    boost::unordered_flat_map<std::string, uint32_t> ownerIndexes_;
    boost::unordered_flat_map<std::string, KeyRecord> keys_;
    boost::unordered_flat_map<uint64_t, std::string> keyOfSequence_;
    size_t keyBytes_ = 0;
    Time keyHorizon_; // keys at or before it are too old
    std::map<Issuer, Imported> imported_;
    std::map<Issuer, Successor> successors_;
};

// Creation time in a key "<unix ms>-<text>"; nullopt when malformed.
std::optional<Time> keyTime(std::string_view key);
// Name of the VM that decides about a key, from the configured list of entry VM names.
std::string keyHome(std::string_view key, const std::vector<std::string> &entryVms);

} // namespace lovage
