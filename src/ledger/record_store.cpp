#include "lovage/ledger.h"

#include <cassert>
#include <limits>

namespace lovage {

namespace {

// Memory used by a finished record in addition to its outcome: the hash table slots at the mean
// load factor, the entry in finishedOrder_ and the control block of the outcome. Measured with
// bench/dispatch_bench.
constexpr size_t recordBytes = 192;

size_t bytesOf(const Outcome &outcome)
{
    const Answer *answer = std::get_if<Answer>(&outcome);
    if (!answer)
        return std::get<Error>(outcome).reason.capacity();
    size_t sum = 0;
    for (const TaskAnswer &task : answer->tasks)
        sum += sizeof(TaskAnswer) + task.name.capacity() + task.output.capacity();
    return sum;
}

uint32_t saturatedToUint32(size_t bytes)
{
    return uint32_t(std::min<size_t>(bytes, std::numeric_limits<uint32_t>::max()));
}

} // namespace

RecordStore::Record *RecordStore::find(uint64_t sequence)
{
    const auto found = records_.find(sequence);
    return found == records_.end() ? nullptr : &found->second;
}

const RecordStore::Record *RecordStore::find(uint64_t sequence) const
{
    const auto found = records_.find(sequence);
    return found == records_.end() ? nullptr : &found->second;
}

void RecordStore::addRunning(uint64_t sequence, uint64_t digest, uint32_t owner)
{
    const bool isNew = records_.emplace(sequence, Record {digest, nullptr, owner, 0}).second;
    LOVAGE_ASSERT_INVARIANT(Promise::StartOnce, isNew, "submission accepted twice");
}

void RecordStore::addFinished(uint64_t sequence, Record record, Time finishedAt)
{
    assert(record.outcome);
    record.bytes = saturatedToUint32(bytesOf(*record.outcome));
    const uint32_t bytes = record.bytes;
    if (!records_.emplace(sequence, std::move(record)).second)
        return;
    bytes_ += bytes;
    finishedOrder_.emplace_back(sequence, finishedAt);
}

void RecordStore::finish(uint64_t sequence, OutcomePtr outcome, Time finishedAt)
{
    Record *record = find(sequence);
    assert(record && !record->outcome && outcome);
    record->bytes = saturatedToUint32(bytesOf(*outcome));
    record->outcome = std::move(outcome);
    bytes_ += record->bytes;
    finishedOrder_.emplace_back(sequence, finishedAt);
}

std::optional<Time> RecordStore::oldest() const
{
    if (finishedOrder_.empty())
        return std::nullopt;
    return finishedOrder_.front().second;
}

uint64_t RecordStore::dropOldest()
{
    const uint64_t sequence = finishedOrder_.front().first;
    finishedOrder_.pop_front();
    const auto found = records_.find(sequence);
    bytes_ -= found->second.bytes;
    records_.erase(found);
    raiseHorizon(sequence + 1);
    return sequence;
}

size_t RecordStore::bytes() const
{
    return bytes_ + records_.size() * recordBytes;
}

} // namespace lovage
