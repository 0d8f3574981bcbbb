#include "follower_impl.h"

#include <algorithm>

namespace lovage {

namespace {

// Limits of one CatalogueRecords message.
constexpr size_t maxRecordsPerMessage = 500;
constexpr size_t maxBytesPerMessage = 1 << 18;
// A relay forwards at most this many new records at once; peers request the rest by offset, so a
// relay that catches up does not send a long history to peers that already have it.
constexpr size_t maxForwardedRecords = 100;

} // namespace

void CatalogueFollower::Impl::forwardToPeers(uint64_t after, uint64_t afterDigest)
{
    if (!isRelay || applied() - after > maxForwardedRecords)
        return;
    const CatalogueRecords message {after, afterDigest,
                                    history.after(after, maxForwardedRecords, maxBytesPerMessage)};
    for (const std::string &vm : localPeers)
        actions.push_back(SendCatalogueMessage {vm, message});
}

void CatalogueFollower::Impl::requestIfBehind(Time now)
{
    if (peerRequest || machine.state() == FollowerState::LogBehind)
        return;
    std::vector<const std::string *> ahead;
    for (const auto &[vm, offset] : peerOffsets) {
        if (offset > applied() && !divergedPeers.contains(vm))
            ahead.push_back(&vm);
    }
    if (ahead.empty())
        return;
    // A random choice spreads the load when a whole data centre starts.
    const std::string &vm = *ahead[random.below(ahead.size())];
    peerRequest = PeerRequest {vm, now + options.peerTimeout};
    actions.push_back(
            SendCatalogueMessage {vm, CatalogueRequest {applied(), catalogue.lastRecordDigest()}});
}

void CatalogueFollower::Impl::on(const PeerOffset &peer, Time now)
{
    peerOffsets[peer.vm] = peer.offset;
    requestIfBehind(now);
}

void CatalogueFollower::Impl::on(const PeerMessage &message, Time now)
{
    if (const auto *request = std::get_if<CatalogueRequest>(&message.message)) {
        answer(message.vm, *request);
        return;
    }
    if (peerRequest && peerRequest->vm == message.vm)
        peerRequest.reset();
    if (machine.state() == FollowerState::LogBehind)
        return;
    if (const auto *records = std::get_if<CatalogueRecords>(&message.message))
        applyMessage(message.vm, *records, now);
    else if (const auto *snapshot = std::get_if<CatalogueSnapshot>(&message.message))
        applyMessage(message.vm, *snapshot, now);
    requestIfBehind(now);
}

void CatalogueFollower::Impl::answer(const std::string &vm, const CatalogueRequest &request)
{
    if (!hasState() || request.after > applied())
        return;
    const auto digest = history.digestAt(request.after);
    if (!digest) {
        CatalogueSnapshot state {catalogue.lastRecordDigest(), snapshotOf(catalogue, Time {})};
        state.snapshot.takenAtMs = snapshotTakenAt ? toUnixMillis(*snapshotTakenAt) : 0;
        actions.push_back(SendCatalogueMessage {vm, std::move(state)});
        return;
    }
    actions.push_back(SendCatalogueMessage {
            vm,
            CatalogueRecords {
                    request.after, *digest,
                    history.after(request.after, maxRecordsPerMessage, maxBytesPerMessage)}});
}

// Returns whether the digest of the record before the message and the records in the message match
// what was applied. Reports a peer whose records differ.
bool CatalogueFollower::Impl::matchesHistory(const std::string &vm, const CatalogueRecords &message)
{
    uint64_t different = 0;
    const auto own = history.digestAt(message.after);
    if (own && *own != message.afterDigest)
        different = message.after;
    for (const LogRecord &record : message.records) {
        const auto ownRecord = history.digestAt(record.offset);
        if (record.offset <= applied() && ownRecord && *ownRecord != recordDigest(record.data))
            different = record.offset;
    }
    if (different == 0) {
        divergedPeers.erase(vm);
        return true;
    }
    if (divergedPeers.emplace(vm, different).second)
        actions.push_back(PeerDiverged {vm, different});
    return false;
}

void CatalogueFollower::Impl::applyMessage(const std::string &vm, const CatalogueRecords &message,
                                           Time now)
{
    if (message.after > applied() || !matchesHistory(vm, message))
        return;
    std::vector<LogRecord> records = message.records;
    std::ranges::sort(records, {}, &LogRecord::offset);
    if (hasState()) {
        applyRecords(records, now);
        return;
    }
    if (records.empty())
        return;
    // Without a state, `after` is 0: the records begin with offset 1.
    stopScan();
    history.restart(0, 0);
    signal(FollowerSignal::StartedFromPeer, "the catalogue came from " + vm);
    applyRecords(records, now);
    nextReadAt = now + randomUpTo(options.pollInterval);
}

void CatalogueFollower::Impl::applyMessage(const std::string &vm, const CatalogueSnapshot &message,
                                           Time now)
{
    if (message.snapshot.at <= applied())
        return;
    stopScan();
    history.restart(message.snapshot.at, message.digest);
    replaceState(CatalogueFold(message.snapshot, message.digest), FollowerSignal::StartedFromPeer,
                 now);
    if (message.snapshot.takenAtMs != 0) {
        snapshotTakenAt = std::min(now, fromUnixMillis(message.snapshot.takenAtMs));
        snapshotAt = message.snapshot.at;
    }
    // Spreads the first reads of a data centre whose VMs started together.
    nextReadAt = now + randomUpTo(options.pollInterval);
}

} // namespace lovage
