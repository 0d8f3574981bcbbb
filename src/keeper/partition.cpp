#include "partition.h"

#include <algorithm>

namespace lovage {

using keeper::StoredJob;

namespace {

// Delay before a failed call to the journal is retried.
constexpr Duration callRetryDelay = std::chrono::milliseconds(100);
// Interval at which jobs and records are checked for expiry.
constexpr Duration expiryInterval = std::chrono::seconds(1);
// Ended jobs remain known for longer by this time, since the end may be dated by the clock of an
// earlier keeper that is behind the clock of this one.
constexpr Duration clockAllowance = std::chrono::seconds(5);
// Limits of one append. Further records follow in the next one.
constexpr size_t maxAppendRecords = 500;
constexpr size_t maxAppendBytes = 256U << 10;
// Number of records of rewritten states in one append, so that others have room beside them. The
// state of a wide job may have more.
constexpr size_t snapshotAppendRecords = maxAppendRecords / 2;
// Trimming fewer records than this is not worth a call.
constexpr uint64_t minTrimRecords = 200;

const std::string &jobOf(const JournalRecord &record)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&record))
        return accepted->job.id;
    if (const auto *ended = std::get_if<TaskEnded>(&record))
        return ended->task.job;
    if (const auto *restarted = std::get_if<TasksRestarted>(&record))
        return restarted->job;
    return std::get<JobCancelled>(record).job;
}

} // namespace

void JobKeeper::Partition::onOpened(const Result<uint64_t> &end, Time now)
{
    isCallPending_ = false;
    if (end.has_value()) {
        readEndOffset_ = end.value();
        stage_ = Stage::Reading;
        return;
    }
    if (end.error().code == ErrorCode::Fenced)
        stage_ = Stage::Lost;
    nextCallAt_ = now + callRetryDelay;
}

void JobKeeper::Partition::onRead(const Result<JournalPage> &page, Duration takeoverDelay, Time now)
{
    isCallPending_ = false;
    if (!page.has_value()) {
        nextCallAt_ = now + callRetryDelay;
        return;
    }
    uint64_t offset = page.value().firstOffset;
    for (const std::string &bytes : page.value().records) {
        const auto record = decodeRecord(bytes);
        if (record.has_value())
            apply(record.value(), offset);
        ++offset;
    }
    nextReadOffset_ = offset;
    endOffset_ = offset;
    if (nextReadOffset_ >= readEndOffset_)
        beginServing(takeoverDelay, now);
}

void JobKeeper::Partition::beginServing(Duration takeoverDelay, Time now)
{
    stage_ = Stage::Serving;
    earliestStart_ = jobs_.empty() ? now : now + takeoverDelay;
    for (auto &[id, job] : jobs_) {
        updateIndexes(id, now);
        if (!job.isClosed())
            scheduleWakeup(earliestStart_, id);
    }
}

void JobKeeper::Partition::write(JournalRecord record, std::optional<Reply> reply)
{
    PendingRecord pending {std::move(record), std::move(reply)};
    if (const auto *accepted = std::get_if<JobAccepted>(&pending.record)) {
        pendingJobs_.insert(accepted->job.id);
        pending.charge = std::make_unique<keeper::MemoryCharge>(heldBytes_);
        pending.charge->add(keeper::bytesOfNewJob(accepted->job));
    } else if (std::holds_alternative<JobCancelled>(pending.record)) {
        pendingCancels_.insert(jobOf(pending.record));
    }
    unsentRecords_.push_back(std::move(pending));
}

std::optional<KeeperAction> JobKeeper::Partition::nextCall(Time now)
{
    if (isCallPending_ || now < nextCallAt_)
        return std::nullopt;
    if (stage_ == Stage::Opening) {
        isCallPending_ = true;
        return OpenPartition {number_, epoch_};
    }
    if (stage_ == Stage::Reading) {
        isCallPending_ = true;
        return ReadPartition {number_, epoch_, nextReadOffset_};
    }
    if (stage_ != Stage::Serving)
        return std::nullopt;
    if (inFlight_.empty()) {
        prependSnapshots();
        if (unsentRecords_.empty())
            return nextTrim();
        ++sequence_;
        const size_t count = std::min(unsentRecords_.size(), maxAppendRecords);
        inFlight_.assign(
                std::make_move_iterator(unsentRecords_.begin()),
                std::make_move_iterator(unsentRecords_.begin() + static_cast<long>(count)));
        unsentRecords_.erase(unsentRecords_.begin(),
                             unsentRecords_.begin() + static_cast<long>(count));
    }
    AppendRecords append {number_, epoch_, sequence_, {}};
    size_t bytes = 0;
    for (size_t i = 0; i < inFlight_.size(); ++i) {
        append.records.push_back(encodeRecord(inFlight_[i].record));
        bytes += append.records.back().size();
        if (bytes > maxAppendBytes && i + 1 < inFlight_.size()) {
            unsentRecords_.insert(
                    unsentRecords_.begin(),
                    std::make_move_iterator(inFlight_.begin() + static_cast<long>(i) + 1),
                    std::make_move_iterator(inFlight_.end()));
            inFlight_.resize(i + 1);
        }
    }
    isCallPending_ = true;
    return append;
}

// Called while no append is under way: the state then has the effects of all records in the
// journal, and those that are not sent yet follow it.
void JobKeeper::Partition::prependSnapshots()
{
    if (!unsentRecords_.empty() && unsentRecords_.front().isSnapshot)
        return; // the rest of a state that needs several appends
    std::vector<PendingRecord> snapshots;
    while (!snapshotJobs_.empty() && snapshots.size() < snapshotAppendRecords) {
        const StoredJob *job = find(snapshotJobs_.back());
        snapshotJobs_.pop_back();
        if (!job)
            continue;
        for (JournalRecord &record : job->snapshotRecords())
            snapshots.push_back({std::move(record), std::nullopt, true});
    }
    unsentRecords_.insert(unsentRecords_.begin(), std::make_move_iterator(snapshots.begin()),
                          std::make_move_iterator(snapshots.end()));
}

std::optional<KeeperAction> JobKeeper::Partition::nextTrim()
{
    if (trimOffset_ < lastTrimOffset_ + minTrimRecords)
        return std::nullopt;
    lastTrimOffset_ = trimOffset_;
    return TrimPartition {number_, trimOffset_};
}

// A failed append is retried with the same sequence number, so that it takes effect only once.
void JobKeeper::Partition::onAppended(const Result<uint64_t> &offset, Time now)
{
    isCallPending_ = false;
    isStalled_ = !offset.has_value();
    if (!offset.has_value()) {
        if (offset.error().code == ErrorCode::Fenced)
            stage_ = Stage::Lost;
        nextCallAt_ = now + callRetryDelay;
        return;
    }
    uint64_t next = offset.value();
    for (PendingRecord &pending : std::exchange(inFlight_, {}))
        onRecordWritten(pending, next++, now);
    endOffset_ = next;
}

void JobKeeper::Partition::onRecordWritten(PendingRecord &pending, uint64_t offset, Time now)
{
    const std::string id = jobOf(pending.record);
    const bool isAcceptance = std::holds_alternative<JobAccepted>(pending.record);
    if (pending.isSnapshot) {
        StoredJob *job = isAcceptance ? find(id) : nullptr;
        if (job)
            job->onSnapshotWritten(offset);
        return;
    }
    if (isAcceptance)
        pendingJobs_.erase(id);
    if (std::holds_alternative<JobCancelled>(pending.record))
        pendingCancels_.erase(id);
    pending.charge.reset();
    apply(pending.record, offset);
    if (pending.reply)
        replies_.push_back(std::move(*pending.reply));
    updateIndexes(id, now);
    const StoredJob *job = find(id);
    if (isAcceptance && job && job->spec().repeatCount > 0)
        scheduleWakeup(now, id);
}

void JobKeeper::Partition::apply(const JournalRecord &record, uint64_t offset)
{
    std::visit([&](const auto &alternative) { applyRecord(alternative, offset); }, record);
}

void JobKeeper::Partition::applyRecord(const JobAccepted &record, uint64_t offset)
{
    const auto [entry, isNew] = jobs_.try_emplace(record.job.id, record, offset, heldBytes_);
    if (!isNew)
        entry->second.onSnapshotWritten(offset);
}

void JobKeeper::Partition::applyRecord(const TaskEnded &record, uint64_t)
{
    StoredJob *job = find(record.task.job);
    if (!job)
        return;
    job->apply(record);
    if (keeper::StoredTask *task = job->find(record.task)) {
        task->isEndPending = false;
        if (task->lastRun <= record.run)
            task->pool.clear();
    }
}

void JobKeeper::Partition::applyRecord(const JobCancelled &record, uint64_t)
{
    if (StoredJob *job = find(record.job))
        job->apply(record);
}

void JobKeeper::Partition::applyRecord(const TasksRestarted &record, uint64_t)
{
    if (StoredJob *job = find(record.job))
        job->apply(record);
}

StoredJob *JobKeeper::Partition::find(const std::string &job)
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

void JobKeeper::Partition::updateIndexes(const std::string &id, Time now)
{
    const StoredJob *job = find(id);
    if (!job)
        return;
    if (job->isClosed()) {
        openJobs_.erase(id);
        if (!job->pools().empty())
            stoppingJobs_.insert(id);
    } else {
        openJobs_.insert(id);
    }
    if (job->state() == JobState::Queued && job->spec().repeatCount == 0)
        unstartedJobs_.insert(id);
    else
        unstartedJobs_.erase(id);
    const PlacementKey key {job->queueParameters().priority, job->latestStartMs(), id};
    if (job->hasReadyTask(now))
        placementQueue_.insert(key);
    else
        placementQueue_.erase(key);
}

size_t JobKeeper::Partition::freeBytes(size_t otherBytes) const
{
    const size_t keeperBytes = heldBytes_ + otherBytes;
    return std::min(maxBytes_ - std::min(heldBytes_, maxBytes_),
                    maxKeeperBytes_ - std::min(keeperBytes, maxKeeperBytes_));
}

void JobKeeper::Partition::tick(const KeeperOptions &options, size_t otherBytes, Time now)
{
    if (!isServing())
        return;
    runWakeups(otherBytes, now);
    if (now >= nextExpiry_) {
        nextExpiry_ = now + expiryInterval;
        expire(options, now);
    }
}

void JobKeeper::Partition::runWakeups(size_t otherBytes, Time now)
{
    while (!wakeups_.empty() && wakeups_.begin()->first <= now) {
        const std::string id = wakeups_.begin()->second;
        wakeups_.erase(wakeups_.begin());
        StoredJob *job = find(id);
        if (!job || job->isClosed())
            continue;
        for (auto &[number, occurrence] : job->occurrences()) {
            for (keeper::StepState &step : occurrence.steps) {
                for (keeper::StoredTask &task : step.tasks) {
                    if (!task.isPlaced() || task.presumedEndAt > now)
                        continue;
                    task.pool.clear();
                    task.presumedEndAt = Time::max();
                }
            }
        }
        if (const auto next = job->openDueOccurrences(freeBytes(otherBytes), now))
            scheduleWakeup(*next, id);
        updateIndexes(id, now);
    }
}

void JobKeeper::Partition::expire(const KeeperOptions &options, Time now)
{
    const int64_t keepFrom = toUnixMillis(now - options.jobRetention - clockAllowance);
    const int64_t snapshotBefore = toUnixMillis(now - options.journalHistory / 2);
    std::erase_if(jobs_, [&](const auto &entry) {
        const StoredJob &job = entry.second;
        return job.isClosed() && job.closedAtMs() < keepFrom && job.pools().empty();
    });
    trimOffset_ = endOffset_;
    nextRelease_.reset();
    for (auto &[id, job] : jobs_) {
        if (job.isClosed()) {
            const Time release =
                    fromUnixMillis(job.closedAtMs()) + options.jobRetention + clockAllowance;
            nextRelease_ = std::min(nextRelease_.value_or(release), release);
        }
        trimOffset_ = std::min(trimOffset_, job.firstOffset());
        if (job.snapshotAtMs >= snapshotBefore)
            continue;
        job.snapshotAtMs = toUnixMillis(now);
        snapshotJobs_.push_back(id);
    }
}

} // namespace lovage
