#include "stored_job.h"

#include <algorithm>
#include <set>

namespace lovage::keeper {

namespace {

// Binary logarithm of the run numbers per epoch. The epoch rises by 256 with each generation of the
// group, so the run numbers of the next keeper start some thousands higher.
constexpr uint32_t runsPerEpochLog2 = 4;
// Time for which a pool that had no capacity for a task of a job is not asked again for that job.
constexpr Duration refusalBackoff = std::chrono::milliseconds(100);
// Time after which occurrences are opened that have found no memory.
constexpr Duration occurrenceRetryDelay = std::chrono::milliseconds(100);

// Unlike clear(), frees the memory too.
template<class Container>
void freeMemory(Container &container)
{
    Container().swap(container);
}

int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

Duration objectiveOf(const JobSpec &job, const QueueParameters &queueParameters)
{
    const double chain = static_cast<double>(criticalPath(job).count());
    return queueParameters.objectiveSlack
            + Duration(static_cast<int64_t>(queueParameters.stretchFactor * chain));
}

StoredJob::StoredJob(JobAccepted record, uint64_t offset, size_t &heldBytes)
    : snapshotAtMs(record.timestampMs), charge_(heldBytes), accepted_(std::move(record)),
      firstOffset_(offset),
      latestStartMs_(accepted_.timestampMs
                     + toMillis(objectiveOf(accepted_.job, accepted_.queueParameters)
                                - criticalPath(accepted_.job)))
{
    charge_.add(bytesOf(spec()));
    if (spec().repeatCount == 0)
        addOccurrence(0);
}

void StoredJob::addOccurrence(uint32_t number)
{
    if (occurrences_.try_emplace(number, makeOccurrence()).second)
        charge_.add(bytesOfOpenOccurrence(spec()));
}

Occurrence StoredJob::makeOccurrence() const
{
    Occurrence occurrence;
    for (const Step &step : spec().steps) {
        occurrence.steps.push_back({std::vector<StoredTask>(step.count), step.count});
        ++occurrence.unfinishedSteps;
    }
    return occurrence;
}

JobState StoredJob::state() const
{
    if (isClosed())
        return finalState_;
    return hasStarted ? JobState::Running : JobState::Queued;
}

void StoredJob::close(JobState state, int64_t timestampMs)
{
    finalState_ = state;
    closedAtMs_ = std::max<int64_t>(timestampMs, 1);
    // No task starts any more, so only the numbers of its runs are needed.
    charge_.subtract(2 * accepted_.job.payload.size());
    freeMemory(accepted_.job.payload);
}

StoredTask *StoredJob::find(const TaskName &name)
{
    const auto occurrence = occurrences_.find(name.occurrence);
    if (occurrence == occurrences_.end() || name.step >= occurrence->second.steps.size()
        || name.index >= occurrence->second.steps[name.step].tasks.size())
        return nullptr;
    return &occurrence->second.steps[name.step].tasks[name.index];
}

void StoredJob::apply(const TaskEnded &record)
{
    hasStarted = true;
    const TaskName &name = record.task;
    openOccurrence(name.occurrence);
    StoredTask *task = find(name);
    if (!task || isClosed())
        return;
    task->lastRun = std::max(task->lastRun, record.run);
    if (!record.checkpoint.empty())
        task->checkpoint = record.checkpoint;
    Occurrence &occurrence = occurrences_.at(name.occurrence);
    if (record.end == RunEnd::Succeeded) {
        if (spec().steps[name.step].isGang) {
            for (StoredTask &member : occurrence.steps[name.step].tasks)
                completeTask(occurrence, name.step, member, record.run);
        } else {
            completeTask(occurrence, name.step, *task, record.run);
        }
        if (occurrence.unfinishedSteps == 0 && !occurrence.steps.empty()) {
            completeOccurrence(occurrence);
            ++completeOccurrences_;
        }
        if (completeOccurrences_ == std::max<uint32_t>(1, spec().repeatCount))
            close(JobState::Completed, record.timestampMs);
        return;
    }
    if (record.end != RunEnd::Failed || record.run <= task->lastFailedRun)
        return;
    task->lastFailedRun = record.run;
    ++task->failures;
    // The members of a gang share their runs, and a failure of one member counts for all.
    uint32_t failures = task->failures;
    if (spec().steps[name.step].isGang) {
        failures = 0;
        for (const StoredTask &member : occurrence.steps[name.step].tasks)
            failures += member.failures;
    }
    if (failures >= queueParameters().attempts)
        close(JobState::Failed, record.timestampMs);
}

void StoredJob::apply(const TasksRestarted &record)
{
    hasStarted = true;
    openOccurrence(record.occurrence);
    for (const uint32_t index : record.indexes) {
        StoredTask *task = find({record.job, record.occurrence, record.step, index});
        if (task)
            task->lastRun = std::max(task->lastRun, record.run);
    }
}

void StoredJob::openOccurrence(uint32_t number)
{
    if (number < spec().repeatCount)
        addOccurrence(number);
}

// Reduces a completed occurrence to its run numbers to save memory, since a closed job remains
// known for minutes.
void StoredJob::completeOccurrence(Occurrence &occurrence)
{
    for (const StepState &step : occurrence.steps) {
        std::vector<uint32_t> runs;
        for (const StoredTask &task : step.tasks)
            runs.push_back(task.succeededRun);
        occurrence.succeededRuns.push_back(std::move(runs));
    }
    freeMemory(occurrence.steps);
    charge_.subtract(bytesOfOpenOccurrence(spec()));
    charge_.add(bytesOfCompleteOccurrence(spec()));
}

uint32_t StoredJob::succeededRun(const TaskName &name) const
{
    const auto found = occurrences_.find(name.occurrence);
    if (found == occurrences_.end())
        return 0;
    const Occurrence &occurrence = found->second;
    if (name.step < occurrence.succeededRuns.size()
        && name.index < occurrence.succeededRuns[name.step].size())
        return occurrence.succeededRuns[name.step][name.index];
    if (name.step < occurrence.steps.size()
        && name.index < occurrence.steps[name.step].tasks.size())
        return occurrence.steps[name.step].tasks[name.index].succeededRun;
    return 0;
}

void StoredJob::completeTask(Occurrence &occurrence, uint32_t step, StoredTask &task, uint32_t run)
{
    if (task.isDone)
        return;
    task.isDone = true;
    task.succeededRun = run;
    if (--occurrence.steps[step].unfinished == 0)
        --occurrence.unfinishedSteps;
}

void StoredJob::apply(const JobCancelled &record)
{
    if (!isClosed())
        close(JobState::Cancelled, record.timestampMs);
}

Time StoredJob::dueAt(uint32_t occurrence) const
{
    return fromUnixMillis(spec().firstDueMs) + occurrence * spec().repeatInterval;
}

bool StoredJob::isDue(uint32_t occurrence, Time now) const
{
    return spec().repeatCount == 0 || dueAt(occurrence) <= now;
}

std::optional<Time> StoredJob::openDueOccurrences(size_t freeBytes, Time now)
{
    const size_t bytes = bytesOfOpenOccurrence(spec());
    for (; nextOccurrence_ < spec().repeatCount; ++nextOccurrence_) {
        if (!isDue(nextOccurrence_, now))
            return dueAt(nextOccurrence_);
        if (occurrences_.contains(nextOccurrence_))
            continue;
        if (bytes > freeBytes && hasOpenOccurrence())
            return now + occurrenceRetryDelay;
        addOccurrence(nextOccurrence_);
        freeBytes -= std::min(bytes, freeBytes);
    }
    return std::nullopt;
}

bool StoredJob::hasOpenOccurrence() const
{
    return std::any_of(occurrences_.begin(), occurrences_.end(),
                       [](const auto &entry) { return entry.second.unfinishedSteps > 0; });
}

bool StoredJob::isStepReady(const Occurrence &occurrence, uint32_t step) const
{
    const auto &after = spec().steps[step].after;
    return std::all_of(after.begin(), after.end(),
                       [&](uint32_t earlier) { return occurrence.steps[earlier].unfinished == 0; });
}

bool StoredJob::hasReadyTask(Time now) const
{
    if (isClosed())
        return false;
    for (const auto &[number, occurrence] : occurrences_) {
        if (!isDue(number, now))
            continue;
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].unfinished == 0 || !isStepReady(occurrence, step))
                continue;
            const auto &tasks = occurrence.steps[step].tasks;
            if (std::any_of(tasks.begin(), tasks.end(), [&](const StoredTask &task) {
                    return !task.isDone && !task.isPlaced() && !task.isEndPending
                            && task.notBefore <= now;
                }))
                return true;
        }
    }
    return false;
}

double StoredJob::waitingCoreSeconds() const
{
    constexpr double milliCoreMicros = 1e9;
    double sum = 0;
    for (const auto &[number, occurrence] : occurrences_) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            const Step &spec = this->spec().steps[step];
            const auto &tasks = occurrence.steps[step].tasks;
            const auto waiting =
                    std::count_if(tasks.begin(), tasks.end(), [](const StoredTask &task) {
                        return !task.isDone && !task.isPlaced();
                    });
            sum += static_cast<double>(waiting) * spec.demand.milliCores
                    * static_cast<double>(spec.estimate.count()) / milliCoreMicros;
        }
    }
    return sum;
}

bool StoredJob::mayEndSoon() const
{
    if (isClosed() || occurrences_.size() < spec().repeatCount)
        return false;
    for (const auto &[number, occurrence] : occurrences_) {
        for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
            if (occurrence.steps[step].unfinished > 0 && spec().steps[step].isEndless)
                return false;
            for (const StoredTask &task : occurrence.steps[step].tasks) {
                if (!task.isDone && !task.isPlaced() && !task.isEndPending)
                    return false;
            }
        }
    }
    return true;
}

std::vector<std::string> StoredJob::pools() const
{
    std::set<std::string> pools;
    for (const auto &[number, occurrence] : occurrences_) {
        for (const StepState &step : occurrence.steps) {
            for (const StoredTask &task : step.tasks) {
                if (task.isPlaced())
                    pools.insert(task.pool);
            }
        }
    }
    return {pools.begin(), pools.end()};
}

std::vector<StoredTask *> StoredJob::tasksPlacedAt(const std::string &vm)
{
    std::vector<StoredTask *> placed;
    for (auto &[number, occurrence] : occurrences_) {
        for (StepState &step : occurrence.steps) {
            for (StoredTask &task : step.tasks) {
                if (task.pool == vm)
                    placed.push_back(&task);
            }
        }
    }
    return placed;
}

uint32_t StoredJob::nextRun(const StoredTask &task, uint64_t epoch) const
{
    return std::max(task.lastRun, runsBefore(epoch)) + 1;
}

uint32_t StoredJob::runsBefore(uint64_t epoch) const
{
    const uint64_t epochs = epoch > accepted_.epoch ? epoch - accepted_.epoch : 0;
    return static_cast<uint32_t>(epochs << runsPerEpochLog2);
}

bool StoredJob::needsRestartRecord(const StoredTask &task, uint64_t epoch) const
{
    if (nextRun(task, epoch) > runsBefore(epoch + 1))
        return true;
    if (task.ownRun == StoredTask::OwnRun::None)
        return epoch > accepted_.epoch;
    return task.ownRun == StoredTask::OwnRun::Open;
}

void StoredJob::recordRefusal(const std::string &vm, Time now)
{
    refusedUntil_[vm] = now + refusalBackoff;
}

bool StoredJob::isRefusedBy(const std::string &vm, Time now) const
{
    const auto found = refusedUntil_.find(vm);
    return found != refusedUntil_.end() && now < found->second;
}

std::vector<JournalRecord> StoredJob::snapshotRecords() const
{
    std::vector<JournalRecord> records {accepted_};
    for (const auto &[number, occurrence] : occurrences_) {
        addRestartRecords(number, records);
        for (uint32_t step = 0; step < spec().steps.size(); ++step) {
            for (uint32_t index = 0; index < spec().steps[step].count; ++index) {
                const TaskName name {spec().id, number, step, index};
                const uint32_t done = succeededRun(name);
                const StoredTask task = occurrence.steps.empty()
                        ? StoredTask {true}
                        : occurrence.steps[step].tasks[index];
                TaskEnded ended {closedAtMs_, name, done, RunEnd::Succeeded, {}};
                if (task.isDone)
                    records.emplace_back(ended);
                ended.end = RunEnd::Failed;
                for (uint32_t failure = 1; !task.isDone && failure <= task.failures; ++failure) {
                    ended.run = task.lastFailedRun - task.failures + failure;
                    records.emplace_back(ended);
                }
                if (!task.isDone && !task.checkpoint.empty())
                    records.emplace_back(
                            TaskEnded {0, name, task.lastRun, RunEnd::Stopped, task.checkpoint});
            }
        }
    }
    if (isClosed() && finalState_ == JobState::Cancelled)
        records.emplace_back(JobCancelled {closedAtMs_, spec().id});
    return records;
}

// Adds the numbers of the latest runs of the tasks that are not done.
void StoredJob::addRestartRecords(uint32_t occurrence, std::vector<JournalRecord> &records) const
{
    const auto &steps = occurrences_.at(occurrence).steps;
    for (uint32_t step = 0; step < steps.size(); ++step) {
        std::map<uint32_t, std::vector<uint32_t>> indexesByRun;
        for (uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
            const StoredTask &task = steps[step].tasks[index];
            if (!task.isDone && task.lastRun > 0)
                indexesByRun[task.lastRun].push_back(index);
        }
        for (auto &[run, indexes] : indexesByRun)
            records.emplace_back(
                    TasksRestarted {spec().id, occurrence, step, std::move(indexes), run});
    }
}

} // namespace lovage::keeper
