#include "lovage/catalogue.h"

#include <algorithm>
#include <bit>

namespace lovage {

namespace {

constexpr uint32_t emptySlot = 0xffffffffU;

using EntryPointer = std::shared_ptr<const Entry>;

auto lowerBoundIn(const std::vector<EntryPointer> &entries, std::string_view name)
{
    return std::lower_bound(entries.begin(), entries.end(), name,
                            [](const EntryPointer &entry, std::string_view wanted) {
                                return entry->name < wanted;
                            });
}

} // namespace

// Entries sorted by name, and an open addressing table of their indexes. The table is at most half
// full.
struct Catalogue::State
{
    std::vector<EntryPointer> entries;
    std::vector<ChangeOutcome> outcomes;
    std::vector<uint32_t> slots;
    uint64_t offset = 0;
    uint64_t digest = 0;

    void buildIndex()
    {
        slots.assign(std::bit_ceil(entries.size() * 2 + 1), emptySlot);
        const size_t mask = slots.size() - 1;
        for (size_t i = 0; i < entries.size(); ++i) {
            size_t slot = stableHash(entries[i]->name) & mask;
            while (slots[slot] != emptySlot)
                slot = (slot + 1) & mask;
            slots[slot] = static_cast<uint32_t>(i);
        }
    }
};

Catalogue::Catalogue()
{
    auto state = std::make_shared<State>();
    state->buildIndex();
    state_ = std::move(state);
}

const Entry *Catalogue::find(std::string_view name) const
{
    const size_t mask = state_->slots.size() - 1;
    size_t slot = stableHash(name) & mask;
    while (state_->slots[slot] != emptySlot) {
        const Entry *entry = state_->entries[state_->slots[slot]].get();
        if (entry->name == name)
            return entry;
        slot = (slot + 1) & mask;
    }
    return nullptr;
}

std::span<const EntryPointer> Catalogue::entries() const
{
    return state_->entries;
}

uint64_t Catalogue::offset() const
{
    return state_->offset;
}

uint64_t Catalogue::lastRecordDigest() const
{
    return state_->digest;
}

const ChangeOutcome *Catalogue::findOutcome(std::string_view requestId) const
{
    for (const ChangeOutcome &outcome : state_->outcomes) {
        if (outcome.requestId == requestId)
            return &outcome;
    }
    return nullptr;
}

std::span<const ChangeOutcome> Catalogue::outcomes() const
{
    return state_->outcomes;
}

bool Catalogue::operator==(const Catalogue &other) const
{
    if (state_ == other.state_)
        return true;
    const auto isSameEntry = [](const EntryPointer &left, const EntryPointer &right) {
        return *left == *right;
    };
    return state_->offset == other.state_->offset && state_->digest == other.state_->digest
            && state_->outcomes == other.state_->outcomes
            && std::ranges::equal(state_->entries, other.state_->entries, isSameEntry);
}

CatalogueFold::CatalogueFold(const Catalogue &start)
    : entries_(start.state_->entries), outcomes_(start.state_->outcomes),
      offset_(start.state_->offset), digest_(start.state_->digest)
{ }

CatalogueFold::CatalogueFold(const SnapshotRecord &snapshot, uint64_t digest)
    : outcomes_(snapshot.outcomes), offset_(snapshot.at), digest_(digest)
{
    entries_.reserve(snapshot.entries.size());
    for (const Entry &entry : snapshot.entries)
        entries_.push_back(std::make_shared<const Entry>(entry));
}

std::optional<ChangeOutcome> CatalogueFold::apply(const LogRecord &record)
{
    LOVAGE_ASSERT_INVARIANT(Promise::CatalogueForward, record.offset == offset_ + 1,
                            "records are folded in the order of their offsets");
    offset_ = record.offset;
    digest_ = recordDigest(record.data);
    const Result<LogContent> content = parseLogRecord(record.data);
    if (!content.has_value())
        return std::nullopt;
    const auto *change = std::get_if<ChangeRecord>(&content.value());
    if (change == nullptr)
        return std::nullopt;
    return applyChange(*change);
}

ChangeOutcome CatalogueFold::applyChange(const ChangeRecord &change)
{
    const auto known = std::ranges::find(outcomes_, change.requestId, &ChangeOutcome::requestId);
    if (known != outcomes_.end())
        return *known;
    ChangeOutcome outcome {change.requestId, offset_, false, changeDigest(change)};
    const auto place = lowerBoundIn(entries_, change.entry.name);
    const bool exists = place != entries_.end() && (*place)->name == change.entry.name;
    const uint64_t version = exists ? (*place)->version : 0;
    // A retirement of an entry that does not exist is a conflict, because there is nothing to
    // retire.
    outcome.accepted =
            version == change.replaces && (exists || change.operation == ChangeOperation::Publish);
    if (outcome.accepted) {
        auto entry = std::make_shared<Entry>(
                change.operation == ChangeOperation::Retire ? **place : change.entry);
        entry->retired = change.operation == ChangeOperation::Retire;
        entry->version = offset_;
        const auto index = static_cast<size_t>(place - entries_.begin());
        if (exists)
            entries_[index] = std::move(entry);
        else
            entries_.insert(place, std::move(entry));
    }
    recordOutcome(outcome);
    return outcome;
}

void CatalogueFold::recordOutcome(ChangeOutcome outcome)
{
    if (outcomes_.size() == Catalogue::maxOutcomes)
        outcomes_.erase(outcomes_.begin());
    outcomes_.push_back(std::move(outcome));
}

Catalogue CatalogueFold::build() const
{
    auto state = std::make_shared<Catalogue::State>();
    state->entries = entries_;
    state->outcomes = outcomes_;
    state->offset = offset_;
    state->digest = digest_;
    state->buildIndex();
    Catalogue catalogue;
    catalogue.state_ = std::move(state);
    return catalogue;
}

Catalogue fold(const Catalogue &start, std::span<const LogRecord> records)
{
    CatalogueFold builder(start);
    for (const LogRecord &record : records)
        builder.apply(record);
    return builder.build();
}

SnapshotRecord snapshotOf(const Catalogue &catalogue, Time now)
{
    SnapshotRecord snapshot;
    snapshot.at = catalogue.offset();
    snapshot.takenAtMs = toUnixMillis(now);
    for (const EntryPointer &entry : catalogue.entries())
        snapshot.entries.push_back(*entry);
    snapshot.outcomes.assign(catalogue.outcomes().begin(), catalogue.outcomes().end());
    return snapshot;
}

uint64_t recordDigest(std::string_view data)
{
    return stableHash(data);
}

std::string_view toString(ChangeOperation operation)
{
    switch (operation) {
    case ChangeOperation::Publish:
        return "publish";
    case ChangeOperation::Change:
        return "change";
    case ChangeOperation::Retire:
        break;
    }
    return "retire";
}

std::optional<ChangeOperation> parseChangeOperation(std::string_view text)
{
    for (const auto operation :
         {ChangeOperation::Publish, ChangeOperation::Change, ChangeOperation::Retire}) {
        if (toString(operation) == text)
            return operation;
    }
    return std::nullopt;
}

std::string_view toString(FollowerState state)
{
    switch (state) {
    case FollowerState::Empty:
        return "empty";
    case FollowerState::FollowingLog:
        return "following-log";
    case FollowerState::FollowingPeers:
        return "following-peers";
    case FollowerState::LogBehind:
        break;
    }
    return "log-behind";
}

} // namespace lovage
