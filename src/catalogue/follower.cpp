#include "follower_impl.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

namespace {

// Keeps a log that ignores the requested wait from being read in a busy loop.
constexpr Duration minReadPause = std::chrono::milliseconds(100);
// A starting VM reads the log, too, after this many peers did not answer.
constexpr uint32_t maxFailedPeerRequests = 2;
// A snapshot that does not appear in the log within this time is written again.
constexpr Duration snapshotRetry = std::chrono::seconds(30);

bool mayBeSnapshot(const LogRecord &record)
{
    return record.data.find("\"snapshot\"") != std::string::npos;
}

std::optional<SnapshotRecord> parseSnapshot(const LogRecord &record)
{
    if (!mayBeSnapshot(record))
        return std::nullopt;
    Result<LogContent> content = parseLogRecord(record.data);
    if (!content.has_value())
        return std::nullopt;
    auto *snapshot = std::get_if<SnapshotRecord>(&content.value());
    if (snapshot == nullptr || snapshot->at >= record.offset)
        return std::nullopt;
    return std::move(*snapshot);
}

} // namespace

CatalogueFollower::Impl::Impl(FollowerOptions followerOptions, uint64_t seed, Time now)
    : options(followerOptions), random(seed), history(options.historyRecords, options.historyBytes),
      nextReadAt(now + options.startFallback + randomUpTo(options.startFallback / 4))
{ }

Duration CatalogueFollower::Impl::randomUpTo(Duration bound)
{
    return Duration(static_cast<int64_t>(random.below(static_cast<uint64_t>(bound.count()) + 1)));
}

void CatalogueFollower::Impl::signal(FollowerSignal signal, const std::string &reason)
{
    if (machine.process(signal))
        actions.push_back(FollowerStateChanged {machine.state(), reason});
}

// Reading the log.

void CatalogueFollower::Impl::startRead(Time now)
{
    OutstandingRead read;
    read.token = ++lastToken;
    read.issuedAt = now;
    read.hadState = hasState();
    read.applied = applied();
    read.digest = catalogue.lastRecordDigest();
    const bool mayWait = isRelay && machine.state() == FollowerState::FollowingLog
            && now - verifiedAt < options.verifyInterval;
    if (scanFrom) {
        read.from = *scanFrom;
    } else if (mayWait) {
        read.from = applied() + 1;
        read.wait = options.longPoll;
    } else {
        // The read includes the record at the applied offset, to verify that the log still holds
        // it.
        read.from = std::max<uint64_t>(applied(), 1);
        read.isVerifying = true;
    }
    actions.push_back(ReadLog {read.token, read.from, options.pageRecords, read.wait});
    outstanding = read;
    readAgain = false;
}

void CatalogueFollower::Impl::readFailed(const std::string &reason, Time now)
{
    outstanding.reset();
    constexpr uint32_t maxDoublings = 10;
    const Duration backoff = std::min<Duration>(
            options.retryMax, options.retryMin * (1U << std::min(failures, maxDoublings)));
    ++failures;
    nextReadAt = now + backoff * 3 / 4 + randomUpTo(backoff / 2);
    if (hasState())
        stopScan();
    signal(FollowerSignal::LogFails, reason);
}

void CatalogueFollower::Impl::stopScan()
{
    scanFrom.reset();
    scannedRecords.clear();
}

// Describes how the log differs from what was applied before the read; empty if it does not differ.
std::string CatalogueFollower::Impl::findDifference(const OutstandingRead &read,
                                                    const LogPage &page) const
{
    if (!read.hadState || read.applied == 0)
        return {};
    if (page.next <= read.applied)
        return fmt::format("the log ends at offset {}, before the applied offset {}", page.next - 1,
                           read.applied);
    if (!read.isVerifying || page.first > read.applied)
        return {};
    const auto record = std::ranges::find(page.records, read.applied, &LogRecord::offset);
    if (record == page.records.end())
        return fmt::format("the log has no record at the applied offset {}", read.applied);
    if (recordDigest(record->data) != read.digest)
        return fmt::format("the log has another record at the applied offset {}", read.applied);
    // Records that peers sent after the read was issued are compared with the log, too.
    for (const LogRecord &other : page.records) {
        const auto own = history.digestAt(other.offset);
        if (other.offset > read.applied && own && *own != recordDigest(other.data))
            return fmt::format("the log has another record at offset {}", other.offset);
    }
    return {};
}

void CatalogueFollower::Impl::on(const LogPage &received, Time now)
{
    if (!outstanding || outstanding->token != received.token)
        return;
    const OutstandingRead read = *outstanding;
    outstanding.reset();
    failures = 0;
    LogPage page = received;
    std::ranges::sort(page.records, {}, &LogRecord::offset);
    const std::string difference = findDifference(read, page);
    if (!difference.empty()) {
        stopScan();
        signal(FollowerSignal::LogDiffers, difference);
        nextReadAt = now + options.pollInterval + randomUpTo(options.pollInterval / 4);
        return;
    }
    if (read.hadState && read.isVerifying) {
        verifiedAt = now;
        signal(FollowerSignal::LogMatches, "the log holds the applied record");
    }
    // The reply to a long poll does not include the applied record, so it only shows that there are
    // new records. They are applied after a verifying read has shown that the log was not replaced.
    // A read that was issued before a start from a peer does not verify the applied record either.
    const bool isUsable = read.isVerifying || read.from > read.applied + 1;
    if (!hasState() || (machine.state() == FollowerState::FollowingLog && isUsable))
        applyPage(page, now);
    else if (!page.records.empty() && machine.state() == FollowerState::FollowingLog)
        verifiedAt = Time {};
    scheduleRead(read, page, now);
}

void CatalogueFollower::Impl::applyPage(const LogPage &page, Time now)
{
    if (!hasState() || page.first > applied() + 1) {
        scan(page, now);
        return;
    }
    stopScan();
    applyRecords(page.records, now);
}

// Buffers records until a state can be built from them.
void CatalogueFollower::Impl::scan(const LogPage &page, Time now)
{
    uint64_t expected = std::max(scanFrom.value_or(page.first), page.first);
    if (!page.records.empty())
        expected = std::max(expected, page.records.front().offset);
    // Records that retention dropped during the scan leave a gap; only what follows it is usable.
    if (!scannedRecords.empty() && scannedRecords.rbegin()->first + 1 != expected)
        scannedRecords.clear();
    for (const LogRecord &record : page.records) {
        if (record.offset == expected) {
            scannedRecords.emplace(record.offset, record);
            ++expected;
        }
    }
    scanFrom = expected;
    if (buildFromScan(now)) {
        stopScan();
    } else if (!hasState() && page.first <= 1 && page.next <= 1 && scannedRecords.empty()) {
        scanFrom.reset();
        replaceState(CatalogueFold(), FollowerSignal::StartedFromLog, now);
    }
}

// Builds a state from the newest usable snapshot, or from offset 1, and the records after it.
bool CatalogueFollower::Impl::buildFromScan(Time now)
{
    if (scannedRecords.empty())
        return false;
    const uint64_t first = scannedRecords.begin()->first;
    std::optional<CatalogueFold> state;
    for (auto it = scannedRecords.rbegin(); it != scannedRecords.rend() && !state; ++it) {
        const auto snapshot = parseSnapshot(it->second);
        const bool isUsable =
                snapshot && snapshot->at + 1 >= first && (!hasState() || snapshot->at >= applied());
        if (isUsable)
            state.emplace(*snapshot, 0);
    }
    if (!state && first == 1 && !hasState())
        state.emplace();
    if (!state)
        return false;
    const uint64_t start = state->offset();
    history.restart(0, 0);
    for (auto it = scannedRecords.upper_bound(start); it != scannedRecords.end(); ++it) {
        const LogRecord &record = it->second;
        state->apply(record);
        // A snapshot does not tell the digest of the record at its offset, so the history starts
        // with the first record after it.
        if (record.offset == start + 1 && start > 0)
            history.restart(record.offset, recordDigest(record.data));
        else
            history.append(record);
        trackSnapshot(record, now);
    }
    verifiedAt = now;
    replaceState(*state, FollowerSignal::StartedFromLog, now);
    return true;
}

void CatalogueFollower::Impl::scheduleRead(const OutstandingRead &read, const LogPage &page,
                                           Time now)
{
    const bool isFull = page.records.size() >= options.pageRecords;
    const bool isScanning = scanFrom && !page.records.empty();
    const bool isOutdated = machine.state() == FollowerState::FollowingPeers;
    // More records are known to follow, so a long poll would only return them twice.
    if (isFull)
        verifiedAt = Time {};
    if (isFull || isScanning || readAgain) {
        nextReadAt = now;
    } else if (isRelay && !scanFrom && !isOutdated) {
        const bool isEarly = page.records.empty() && now - read.issuedAt < read.wait / 2;
        nextReadAt = isEarly ? now + minReadPause : now;
    } else {
        nextReadAt = now + options.pollInterval * 3 / 4 + randomUpTo(options.pollInterval / 2);
    }
    if (nextReadAt <= now)
        startRead(now);
}

void CatalogueFollower::Impl::on(const LogError &error, Time now)
{
    if (outstanding && outstanding->token == error.token)
        readFailed(error.reason, now);
}

void CatalogueFollower::Impl::on(const LogExtended &extended, Time now)
{
    if (extended.offset != 0 && extended.offset <= applied())
        return;
    if (outstanding) {
        readAgain = outstanding->wait == Duration::zero();
        return;
    }
    nextReadAt = std::min(nextReadAt, now);
    startRead(now);
}

// The catalogue.

void CatalogueFollower::Impl::applyRecords(std::span<const LogRecord> records, Time now)
{
    CatalogueFold state(catalogue);
    const uint64_t before = applied();
    const uint64_t digestBefore = catalogue.lastRecordDigest();
    for (const LogRecord &record : records) {
        // Repeated records and records after a gap are skipped. The next read returns the records
        // that are missing.
        if (record.offset != state.offset() + 1)
            continue;
        state.apply(record);
        history.append(record);
        trackSnapshot(record, now);
    }
    if (state.offset() == before)
        return;
    publish(state.build());
    forwardToPeers(before, digestBefore);
}

void CatalogueFollower::Impl::replaceState(const CatalogueFold &state, FollowerSignal start,
                                           Time now)
{
    const bool isFirst = !hasState();
    signal(start, isFirst ? "the catalogue is complete" : "");
    const Catalogue next = state.build();
    if (isFirst) {
        catalogue = next;
        actions.push_back(PublishCatalogue {catalogue});
    } else {
        publish(next);
    }
}

void CatalogueFollower::Impl::publish(const Catalogue &next)
{
    LOVAGE_ASSERT_INVARIANT(Promise::CatalogueForward, next.offset() > catalogue.offset(),
                            "a published catalogue has a higher offset than the one before");
    LOVAGE_ASSERT_INVARIANT(Promise::CatalogueForward, machine.state() != FollowerState::LogBehind,
                            "nothing is published while the log is behind");
    catalogue = next;
    actions.push_back(PublishCatalogue {catalogue});
}

void CatalogueFollower::Impl::trackSnapshot(const LogRecord &record, Time now)
{
    const auto snapshot = parseSnapshot(record);
    if (!snapshot)
        return;
    snapshotTakenAt = std::min(now, fromUnixMillis(snapshot->takenAtMs));
    snapshotAt = snapshot->at;
    snapshotDueAt.reset();
}

// Retention drops old records even if no snapshot covers them, so a snapshot is due after half the
// retention time. It is also due if none has been seen in the log yet, as its age is unknown then.
void CatalogueFollower::Impl::writeSnapshotIfDue(Time now)
{
    const bool isFollowing = isRelay && machine.state() == FollowerState::FollowingLog;
    if (!isFollowing || applied() == 0) {
        snapshotDueAt.reset();
        return;
    }
    const bool isOld = !snapshotTakenAt || now - *snapshotTakenAt >= options.logRetention / 2;
    const bool hasManyChanges = applied() - snapshotAt >= options.snapshotChanges;
    if (!isOld && !hasManyChanges)
        return;
    if (!snapshotDueAt)
        snapshotDueAt = now + randomUpTo(options.snapshotJitter);
    if (now < *snapshotDueAt)
        return;
    actions.push_back(AppendSnapshot {serializeLogRecord(snapshotOf(catalogue, now))});
    snapshotDueAt = now + snapshotRetry + randomUpTo(options.snapshotJitter);
}

void CatalogueFollower::Impl::on(const RelayUpdate &update, Time now)
{
    localPeers = update.localPeers;
    const bool isNewRelay = update.isRelay && !isRelay;
    isRelay = update.isRelay;
    if (isNewRelay && failures == 0)
        nextReadAt = std::min(nextReadAt, now + randomUpTo(options.startJitter));
}

void CatalogueFollower::Impl::on(const FollowerTick &, Time now)
{
    if (outstanding && now - outstanding->issuedAt > outstanding->wait + options.readTimeout)
        readFailed("the log did not answer in time", now);
    if (peerRequest && now >= peerRequest->deadline) {
        // The peer becomes a candidate again with its next heartbeat.
        peerOffsets.erase(peerRequest->vm);
        peerRequest.reset();
        ++failedPeerRequests;
        requestIfBehind(now);
    }
    const bool waitsForPeer =
            !hasState() && peerRequest && failedPeerRequests < maxFailedPeerRequests;
    if (!outstanding && !waitsForPeer && now >= nextReadAt)
        startRead(now);
    writeSnapshotIfDue(now);
}

CatalogueFollower::CatalogueFollower(FollowerOptions options, uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(options, seed, now))
{ }

CatalogueFollower::~CatalogueFollower() = default;

std::vector<FollowerAction> CatalogueFollower::handle(const FollowerEvent &event, Time now)
{
    std::visit([&](const auto &specific) { impl_->on(specific, now); }, event);
    return std::exchange(impl_->actions, {});
}

FollowerState CatalogueFollower::state() const
{
    return impl_->machine.state();
}

const Catalogue &CatalogueFollower::catalogue() const
{
    return impl_->catalogue;
}

} // namespace lovage
