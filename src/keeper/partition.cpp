#include "partition.h"

#include <algorithm>

namespace lovage {

using keeper::StoredJob;

namespace {

constexpr Duration callRetry = std::chrono::milliseconds(100);
constexpr Duration expiryInterval = std::chrono::seconds(1);
// Bounds of one append; the rest follows in the next.
constexpr size_t maxAppendRecords = 500;
constexpr size_t maxAppendBytes = 1U << 20;
// Records before the first that is needed; fewer are not worth a call.
constexpr uint64_t leastTrim = 200;

const std::string &jobOf(const JournalRecord &record)
{
    if (const auto *accepted = std::get_if<JobAccepted>(&record))
        return accepted->job.id;
    if (const auto *ended = std::get_if<TaskEnded>(&record))
        return ended->task.job;
    return std::get<JobCancelled>(record).job;
}

} // namespace

void JobKeeper::Partition::onOpened(const Result<uint64_t> &end, Time now)
{
    isCalling_ = false;
    if (end.has_value()) {
        readEnd_ = end.value();
        stage_ = Stage::Reading;
        return;
    }
    if (end.error().code == ErrorCode::Fenced)
        stage_ = Stage::Lost;
    nextCallAt_ = now + callRetry;
}

void JobKeeper::Partition::onRead(const Result<JournalPage> &page, Duration takeoverDelay, Time now)
{
    isCalling_ = false;
    if (!page.has_value()) {
        nextCallAt_ = now + callRetry;
        return;
    }
    uint64_t offset = page.value().firstOffset;
    for (const std::string &bytes : page.value().records) {
        const auto record = decodeRecord(bytes);
        if (record.has_value())
            apply(record.value(), offset);
        ++offset;
    }
    readNext_ = offset;
    end_ = offset;
    if (readNext_ >= readEnd_)
        beginServing(takeoverDelay, now);
}

void JobKeeper::Partition::beginServing(Duration takeoverDelay, Time now)
{
    stage_ = Stage::Serving;
    startsFrom_ = jobs_.empty() ? now : now + takeoverDelay;
    for (auto &[id, job] : jobs_) {
        refresh(id, now);
        if (!job.isClosed())
            wakeAt(startsFrom_, id);
    }
}

void JobKeeper::Partition::write(JournalRecord record, std::optional<Reply> reply)
{
    if (std::holds_alternative<JobAccepted>(record))
        pendingJobs_.insert(jobOf(record));
    queue_.push_back({std::move(record), std::move(reply)});
}

std::optional<KeeperAction> JobKeeper::Partition::nextCall(Time now)
{
    if (isCalling_ || now < nextCallAt_)
        return std::nullopt;
    if (stage_ == Stage::Opening) {
        isCalling_ = true;
        return OpenPartition {number_, epoch_};
    }
    if (stage_ == Stage::Reading) {
        isCalling_ = true;
        return ReadPartition {number_, epoch_, readNext_};
    }
    if (stage_ != Stage::Serving)
        return std::nullopt;
    if (inFlight_.empty()) {
        if (queue_.empty())
            return nextTrim();
        ++sequence_;
        const size_t count = std::min(queue_.size(), maxAppendRecords);
        inFlight_.assign(std::make_move_iterator(queue_.begin()),
                         std::make_move_iterator(queue_.begin() + static_cast<long>(count)));
        queue_.erase(queue_.begin(), queue_.begin() + static_cast<long>(count));
    }
    AppendRecords append {number_, epoch_, sequence_, {}};
    size_t bytes = 0;
    for (size_t i = 0; i < inFlight_.size(); ++i) {
        append.records.push_back(encodeRecord(inFlight_[i].record));
        bytes += append.records.back().size();
        if (bytes > maxAppendBytes && i + 1 < inFlight_.size()) {
            queue_.insert(queue_.begin(),
                          std::make_move_iterator(inFlight_.begin() + static_cast<long>(i) + 1),
                          std::make_move_iterator(inFlight_.end()));
            inFlight_.resize(i + 1);
        }
    }
    isCalling_ = true;
    return append;
}

std::optional<KeeperAction> JobKeeper::Partition::nextTrim()
{
    if (trimTo_ < trimmedTo_ + leastTrim)
        return std::nullopt;
    trimmedTo_ = trimTo_;
    return TrimPartition {number_, trimTo_};
}

// A failed append is sent again with its number, so that it takes effect once.
void JobKeeper::Partition::onAppended(const Result<uint64_t> &offset, Time now)
{
    isCalling_ = false;
    isStalled_ = !offset.has_value();
    if (!offset.has_value()) {
        if (offset.error().code == ErrorCode::Fenced)
            stage_ = Stage::Lost;
        nextCallAt_ = now + callRetry;
        return;
    }
    uint64_t next = offset.value();
    for (Pending &pending : std::exchange(inFlight_, {})) {
        const std::string id = jobOf(pending.record);
        const bool isAcceptance = std::holds_alternative<JobAccepted>(pending.record);
        if (isAcceptance) {
            pendingJobs_.erase(id);
            if (StoredJob *job = find(id))
                job->noteRewritten(next);
        }
        apply(pending.record, next++);
        if (pending.reply)
            replies_.push_back(std::move(*pending.reply));
        refresh(id, now);
        const StoredJob *job = find(id);
        if (isAcceptance && job && job->spec().repeatCount > 0)
            wakeAt(now, id);
    }
    end_ = next;
}

void JobKeeper::Partition::apply(const JournalRecord &record, uint64_t offset)
{
    std::visit([&](const auto &alternative) { applyTo(alternative, offset); }, record);
}

void JobKeeper::Partition::applyTo(const JobAccepted &record, uint64_t offset)
{
    const auto [entry, isNew] = jobs_.try_emplace(record.job.id, record, offset);
    if (!isNew)
        entry->second.noteRewritten(offset);
}

void JobKeeper::Partition::applyTo(const TaskEnded &record, uint64_t)
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

void JobKeeper::Partition::applyTo(const JobCancelled &record, uint64_t)
{
    if (StoredJob *job = find(record.job))
        job->apply(record);
}

StoredJob *JobKeeper::Partition::find(const std::string &job)
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

void JobKeeper::Partition::refresh(const std::string &id, Time now)
{
    const StoredJob *job = find(id);
    if (!job)
        return;
    if (job->isClosed()) {
        open_.erase(id);
        if (!job->pools().empty())
            stopping_.insert(id);
    } else {
        open_.insert(id);
    }
    if (job->state() == JobState::Queued && job->spec().repeatCount == 0)
        unbegun_.insert(id);
    else
        unbegun_.erase(id);
    const Turn turn {job->terms().priority, job->latestStartMs(), id};
    if (job->hasReadyTask(now))
        waiting_.insert(turn);
    else
        waiting_.erase(turn);
}

void JobKeeper::Partition::tick(const KeeperOptions &options, Time now)
{
    if (!isServing())
        return;
    wake(now);
    if (now >= nextExpiry_) {
        nextExpiry_ = now + expiryInterval;
        expire(options, now);
    }
}

void JobKeeper::Partition::wake(Time now)
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
                    if (!task.isPlaced() || task.presumedEnded > now)
                        continue;
                    task.pool.clear();
                    task.presumedEnded = Time::max();
                }
            }
        }
        if (const auto next = job->openDue(now))
            wakeAt(*next, id);
        refresh(id, now);
    }
}

void JobKeeper::Partition::expire(const KeeperOptions &options, Time now)
{
    const int64_t keepFrom = toUnixMillis(now - options.jobRetention);
    const int64_t rewriteBefore = toUnixMillis(now - options.journalHistory / 2);
    std::erase_if(jobs_, [&](const auto &entry) {
        const StoredJob &job = entry.second;
        return job.isClosed() && job.closedAtMs() < keepFrom && job.pools().empty();
    });
    trimTo_ = end_;
    for (auto &[id, job] : jobs_) {
        trimTo_ = std::min(trimTo_, job.firstOffset());
        if (job.writtenAtMs >= rewriteBefore || !queue_.empty())
            continue;
        job.writtenAtMs = toUnixMillis(now);
        for (JournalRecord &record : job.rewritten())
            queue_.push_back({std::move(record), std::nullopt});
    }
}

} // namespace lovage
