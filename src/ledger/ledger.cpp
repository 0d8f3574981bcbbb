#include "lovage/ledger.h"

#include <cassert>
#include <charconv>

namespace lovage {

namespace {

// Resolution of the recorded issue times. An opened id may live longer than openLifetime by this.
constexpr Duration issueTimeResolution = std::chrono::seconds(1);

// Memory used by a keyed submission in addition to its record and the two copies of its key.
constexpr size_t keyRecordBytes = 160;

std::string keyWithOwner(const std::string &owner, const std::string &key)
{
    return owner + '\n' + key;
}

Error wrongOwner()
{
    return notRun(ErrorCode::WrongOwner, "the id belongs to another owner");
}

Error pastHorizon()
{
    return mayHaveRun(ErrorCode::PastHorizon, "the record of this id is no longer kept");
}

// Returns true if a body with this digest matches the recorded one. The recorded digest is 0 if the
// id was cancelled before anything was submitted under it.
bool matches(uint64_t recorded, uint64_t digest)
{
    return recorded == 0 || recorded == digest;
}

} // namespace

OutcomePtr makeOutcome(Answer answer)
{
    return std::make_shared<const Outcome>(std::move(answer));
}

OutcomePtr makeOutcome(Error error)
{
    return std::make_shared<const Outcome>(std::move(error));
}

const Error *errorOf(const Outcome &outcome)
{
    return std::get_if<Error>(&outcome);
}

Issuer issuerOf(const SubmissionId &id)
{
    return {id.dataCentre, id.vm, id.incarnation};
}

std::optional<Time> keyTime(std::string_view key)
{
    // Above this limit the conversion to microseconds would overflow.
    constexpr int64_t latestMillis = int64_t(1) << 50;
    int64_t millis = 0;
    const char *end = key.data() + key.size();
    const auto [stop, status] = std::from_chars(key.data(), end, millis);
    const bool hasText = stop != end && *stop == '-' && stop + 1 != end;
    if (status != std::errc() || !hasText || millis < 0 || millis > latestMillis)
        return std::nullopt;
    return fromUnixMillis(millis);
}

std::string keyHome(std::string_view key, const std::vector<std::string> &entryVms)
{
    const auto index = rendezvousIndex(key, entryVms);
    return index ? entryVms[*index] : std::string();
}

Ledger::Ledger(LedgerOptions options, Time start)
    : options_(std::move(options)), start_(start), keyHorizon_(Time::min())
{
    assert(options_.openLifetime < options_.retention);
}

SubmissionId Ledger::idOf(uint64_t sequence) const
{
    return {options_.self.dataCentre, options_.self.vm, options_.self.incarnation, sequence};
}

uint64_t Ledger::issue(Time now)
{
    ++lastIssued_;
    if (issueTimes_.empty() || now - issueTimes_.back().at >= issueTimeResolution)
        issueTimes_.push_back({now, lastIssued_});
    return lastIssued_;
}

Result<SubmissionId> Ledger::open(Time now)
{
    if (sealed_)
        return notRun(ErrorCode::Draining, "this VM is leaving");
    return idOf(issue(now));
}

uint32_t Ledger::ownerIndex(const std::string &owner)
{
    const auto [found, isNew] = ownerIndexes_.emplace(owner, uint32_t(owners_.size()));
    if (isNew)
        owners_.push_back(owner);
    return found->second;
}

bool Ledger::isOwnedBy(const RecordStore::Record &record, const std::string &owner) const
{
    return owners_[record.owner] == owner;
}

std::optional<Error> Ledger::checkOpen(uint64_t sequence, Time now) const
{
    if (sequence == 0 || sequence > lastIssued_)
        return notRun(ErrorCode::UnknownSubmission, "the id was never issued");
    if (sequence < own_.horizon())
        return pastHorizon();
    auto issued = std::upper_bound(issueTimes_.begin(), issueTimes_.end(), sequence,
                                   [](uint64_t s, const IssueTime &i) { return s < i.sequence; });
    if (issued == issueTimes_.begin())
        return notRun(ErrorCode::Lapsed, "the id was opened too long ago");
    --issued;
    if (now - issued->at > options_.openLifetime + issueTimeResolution)
        return notRun(ErrorCode::Lapsed, "the id was opened too long ago");
    return std::nullopt;
}

SubmitDecision Ledger::decideRecorded(const SubmissionId &id, const RecordStore::Record &record,
                                      const std::string &owner, uint64_t bodyDigest) const
{
    if (!isOwnedBy(record, owner))
        return Refuse {wrongOwner()};
    if (!matches(record.digest, bodyDigest))
        return Refuse {notRun(ErrorCode::IdReused, "the id was submitted with another body")};
    if (!record.outcome)
        return AlreadyRunning {id};
    return Finished {id, record.outcome};
}

SubmitDecision Ledger::submit(const SubmissionId &id, const std::string &owner, uint64_t bodyDigest,
                              Time now)
{
    const Issuer issuer = issuerOf(id);
    if (issuer != options_.self) {
        const auto imported = imported_.find(issuer);
        if (imported != imported_.end()) {
            if (const auto *record = imported->second.store.find(id.sequence))
                return decideRecorded(id, *record, owner, bodyDigest);
        }
        const LookupDecision found = findForeign(id, owner);
        if (const auto *refuse = std::get_if<Refuse>(&found))
            return *refuse;
        return std::get<ForwardTo>(found);
    }
    if (const auto *record = own_.find(id.sequence))
        return decideRecorded(id, *record, owner, bodyDigest);
    if (const auto error = checkOpen(id.sequence, now))
        return Refuse {*error};
    if (sealed_)
        return Refuse {notRun(ErrorCode::Draining, "this VM is leaving")};
    own_.addRunning(id.sequence, bodyDigest, ownerIndex(owner));
    return Start {id};
}

std::optional<Error> Ledger::checkKeyTime(Time keyTime, Time now) const
{
    if (keyTime > now + options_.skewMargin)
        return notRun(ErrorCode::KeyInFuture, "the time of the key is in the future");
    // An earlier incarnation of this VM may have accepted a submission with such a key.
    if (keyTime < start_ + options_.skewMargin)
        return mayHaveRun(ErrorCode::KeyTooOld, "the key is older than this process");
    if (keyTime < now - options_.retention || keyTime <= keyHorizon_)
        return mayHaveRun(ErrorCode::KeyTooOld, "the record of the key may be gone");
    return std::nullopt;
}

SubmitDecision Ledger::submitKeyed(const std::string &key, const std::string &owner,
                                   uint64_t bodyDigest, Time now)
{
    const auto time = keyTime(key);
    if (!time)
        return Refuse {notRun(ErrorCode::MalformedBody, "a key is <unix ms>-<text>")};
    const std::string full = keyWithOwner(owner, key);
    const auto known = keys_.find(full);
    if (known != keys_.end()) {
        const uint64_t sequence = known->second.sequence;
        return decideRecorded(idOf(sequence), *own_.find(sequence), owner, bodyDigest);
    }
    if (const auto error = checkKeyTime(*time, now))
        return Refuse {*error};
    if (sealed_)
        return Refuse {notRun(ErrorCode::Draining, "this VM is leaving")};
    const uint64_t sequence = issue(now);
    own_.addRunning(sequence, bodyDigest, ownerIndex(owner));
    keys_.emplace(full, KeyRecord {sequence, *time});
    keyOfSequence_.emplace(sequence, full);
    keyBytes_ += keyRecordBytes + 2 * full.size();
    return Start {idOf(sequence)};
}

void Ledger::finish(const SubmissionId &id, OutcomePtr outcome, Time now)
{
    assert(issuerOf(id) == options_.self);
    own_.finish(id.sequence, std::move(outcome), now);
    enforceSize();
}

CancelDecision Ledger::cancel(const SubmissionId &id, const std::string &owner, Time now)
{
    LookupDecision found = find(id, owner, now);
    if (const auto *running = std::get_if<AlreadyRunning>(&found))
        return *running;
    if (auto *finished = std::get_if<Finished>(&found))
        return std::move(*finished);
    if (auto *refuse = std::get_if<Refuse>(&found))
        return std::move(*refuse);
    if (auto *forward = std::get_if<ForwardTo>(&found))
        return std::move(*forward);
    // The cancellation is recorded so that a delayed submission under this id does not start.
    OutcomePtr outcome = makeOutcome(notRun(ErrorCode::Cancelled, "cancelled before submission"));
    own_.addFinished(id.sequence, {0, outcome, ownerIndex(owner), 0}, now);
    enforceSize();
    return Finished {id, std::move(outcome)};
}

LookupDecision Ledger::find(const SubmissionId &id, const std::string &owner, Time now) const
{
    if (issuerOf(id) != options_.self)
        return findForeign(id, owner);
    if (const auto *record = own_.find(id.sequence)) {
        if (!isOwnedBy(*record, owner))
            return Refuse {wrongOwner()};
        if (!record->outcome)
            return AlreadyRunning {id};
        return Finished {id, record->outcome};
    }
    if (const auto error = checkOpen(id.sequence, now))
        return Refuse {*error};
    return Opened {};
}

LookupDecision Ledger::findForeign(const SubmissionId &id, const std::string &owner) const
{
    const Issuer issuer = issuerOf(id);
    const auto imported = imported_.find(issuer);
    if (imported != imported_.end())
        return findImported(imported->second, id, owner);
    const auto successor = successors_.find(issuer);
    const bool hasSuccessor = successor != successors_.end() && !successor->second.vm.empty();
    if (hasSuccessor && successor->second.vm != options_.self.vm)
        return ForwardTo {successor->second.vm};
    // An id issued by another incarnation of this VM can no longer be started: only its issuer may
    // do so, and that process has ended.
    const bool isOwnName = id.vm == options_.self.vm && id.dataCentre == options_.self.dataCentre;
    if (isOwnName || successor != successors_.end())
        return Refuse {mayHaveRun(ErrorCode::IssuerUnreachable,
                                  "the VM incarnation that issued the id has ended")};
    return ForwardTo {id.vm};
}

LookupDecision Ledger::findImported(const Imported &ledger, const SubmissionId &id,
                                    const std::string &owner) const
{
    if (const auto *record = ledger.store.find(id.sequence)) {
        if (!isOwnedBy(*record, owner))
            return Refuse {wrongOwner()};
        return Finished {id, record->outcome};
    }
    if (!ledger.isComplete())
        return Refuse {mayHaveRun(ErrorCode::IssuerUnreachable, "the handover is incomplete")};
    if (id.sequence == 0 || id.sequence > ledger.lastIssued)
        return Refuse {notRun(ErrorCode::UnknownSubmission, "the id was never issued")};
    if (id.sequence < ledger.store.horizon())
        return Refuse {pastHorizon()};
    return Refuse {notRun(ErrorCode::Lapsed, "nothing was submitted before the issuer left")};
}

void Ledger::dropOldest(RecordStore &store)
{
    const uint64_t sequence = store.dropOldest();
    if (&store != &own_)
        return;
    const auto key = keyOfSequence_.find(sequence);
    if (key == keyOfSequence_.end())
        return;
    const auto record = keys_.find(key->second);
    keyHorizon_ = std::max(keyHorizon_, record->second.keyTime);
    keyBytes_ -= keyRecordBytes + 2 * key->second.size();
    keys_.erase(record);
    keyOfSequence_.erase(key);
}

size_t Ledger::bytes() const
{
    size_t sum = own_.bytes() + keyBytes_;
    for (const auto &[issuer, ledger] : imported_)
        sum += ledger.store.bytes();
    return sum;
}

void Ledger::enforceSize()
{
    while (bytes() > options_.ledgerBytes) {
        RecordStore *oldest = own_.oldest() ? &own_ : nullptr;
        for (auto &[issuer, ledger] : imported_) {
            const auto time = ledger.store.oldest();
            if (time && (!oldest || *time < *oldest->oldest()))
                oldest = &ledger.store;
        }
        if (!oldest)
            return;
        dropOldest(*oldest);
    }
}

void Ledger::expire(Time now)
{
    const auto isOld = [&](const RecordStore &store) {
        return store.oldest() && now - *store.oldest() > options_.retention;
    };
    while (isOld(own_))
        dropOldest(own_);
    const Duration idLifetime = options_.openLifetime + issueTimeResolution;
    while (issueTimes_.size() > 1 && now - issueTimes_[1].at > idLifetime)
        issueTimes_.pop_front();
    // After this time every id of a sealed incarnation is below the horizon or has expired.
    const Duration sealedLifetime = options_.retention + options_.openLifetime;
    for (auto it = imported_.begin(); it != imported_.end();) {
        while (isOld(it->second.store))
            dropOldest(it->second.store);
        const bool isDone = now - it->second.importedAt > sealedLifetime;
        it = isDone ? imported_.erase(it) : std::next(it);
    }
    std::erase_if(successors_, [&](const auto &successor) {
        return now - successor.second.recordedAt > sealedLifetime;
    });
}

} // namespace lovage
