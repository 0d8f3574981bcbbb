#include "lovage/ledger.h"

#include <cassert>

namespace lovage {

namespace {

// Limit for the number of sealed issuers on record. At the size that the product is designed for,
// 230 restarts fall within the lifetime of ids on an ordinary day.
constexpr size_t maxSealedIssuers = 1024;

// Splits the finished records of a store into parts of about the given size.
class PartWriter
{
public:
    PartWriter(const Issuer &issuer, const RecordStore &store, uint64_t lastIssued,
               size_t partBytes)
        : partBytes_(partBytes)
    {
        prototype_.issuer = issuer;
        prototype_.horizon = store.horizon();
        prototype_.lastIssued = lastIssued;
        parts_.push_back(prototype_);
    }

    void add(HandoverRecord record, size_t bytes)
    {
        if (bytes_ + bytes > partBytes_ && !parts_.back().records.empty()) {
            parts_.push_back(prototype_);
            bytes_ = 0;
        }
        bytes_ += bytes;
        parts_.back().records.push_back(std::move(record));
    }

    std::vector<LedgerPart> take()
    {
        for (size_t i = 0; i < parts_.size(); ++i) {
            parts_[i].part = uint32_t(i);
            parts_[i].parts = uint32_t(parts_.size());
        }
        return std::move(parts_);
    }

private:
    size_t partBytes_;
    size_t bytes_ = 0;
    LedgerPart prototype_;
    std::vector<LedgerPart> parts_;
};

} // namespace

std::vector<LedgerPart> Ledger::handover() const
{
    assert(sealed_);
    std::vector<LedgerPart> all;
    const auto append = [&](const Issuer &issuer, const RecordStore &store, uint64_t lastIssued) {
        PartWriter writer(issuer, store, lastIssued, options_.handoverPartBytes);
        constexpr size_t fixedBytes = 64;
        for (const auto &[sequence, finishedAt] : store.finishedOrder()) {
            const RecordStore::Record *record = store.find(sequence);
            writer.add(
                    {sequence, record->digest, owners_[record->owner], record->outcome, finishedAt},
                    fixedBytes + record->bytes);
        }
        for (LedgerPart &part : writer.take())
            all.push_back(std::move(part));
    };
    append(options_.self, own_, lastIssued_);
    for (const auto &[issuer, ledger] : imported_) {
        if (ledger.isComplete())
            append(issuer, ledger.store, ledger.lastIssued);
    }
    return all;
}

void Ledger::import(LedgerPart part, Time now)
{
    const bool isKnown = imported_.contains(part.issuer);
    if (part.issuer == options_.self || (!isKnown && imported_.size() >= maxSealedIssuers))
        return;
    Imported &ledger = imported_[part.issuer];
    if (ledger.received.empty()) {
        ledger.parts = part.parts;
        ledger.importedAt = now;
    }
    if (part.parts != ledger.parts || !ledger.received.insert(part.part).second)
        return;
    ledger.lastIssued = std::max(ledger.lastIssued, part.lastIssued);
    ledger.store.raiseHorizon(part.horizon);
    for (HandoverRecord &record : part.records) {
        if (!record.outcome) {
            // VMs of this release send only finished records. Raising the horizon makes the answer
            // for this id MayHaveRun.
            ledger.store.raiseHorizon(record.sequence + 1);
            continue;
        }
        ledger.store.addFinished(
                record.sequence,
                {record.digest, std::move(record.outcome), ownerIndex(record.owner), 0},
                record.finishedAt);
    }
    enforceSize();
}

void Ledger::recordSuccessor(const Issuer &issuer, const std::string &successorVm, Time now)
{
    if (successors_.size() >= maxSealedIssuers && !successors_.contains(issuer))
        return;
    successors_[issuer] = {successorVm, now};
}

} // namespace lovage
