// State of one stored job, from its journal records and its current runs.
#pragma once

#include "lovage/keeper.h"

#include <map>
#include <vector>

namespace lovage::keeper {

struct StoredTask
{
    // State from the journal.
    bool isDone = false;
    uint32_t succeededRun = 0; // the run that has succeeded; 0: none
    uint32_t failures = 0;
    uint32_t lastFailedRun = 0;
    uint32_t lastRun = 0;
    std::string checkpoint {};

    // State known only to the current keeper.
    std::string pool {};              // VM that was asked to start it; empty: not running
    Time presumedEndAt = Time::max(); // set when its VM is lost
    Time notBefore {};
    bool isEndPending = false; // the end of a run is being written
    uint32_t pendingRun = 0;   // run whose end is being written

    bool isPlaced() const { return !pool.empty(); }
};

struct StepState
{
    std::vector<StoredTask> tasks;
    uint32_t unfinished = 0;
};

// One execution of the steps of a job. A repeating job has several.
struct Occurrence
{
    std::vector<StepState> steps; // empty when all are complete
    size_t unfinishedSteps = 0;
    std::vector<std::vector<uint32_t>> succeededRuns {}; // by step and index, when all are complete
};

// Latency objective: longest time from the acceptance of a job to its end that fully serves its
// caller.
Duration objectiveOf(const JobSpec &job, const QueueParameters &queueParameters);

class StoredJob
{
public:
    StoredJob(JobAccepted record, uint64_t offset);

    const JobSpec &spec() const { return accepted_.job; }
    const QueueParameters &queueParameters() const { return accepted_.queueParameters; }
    const JobAccepted &accepted() const { return accepted_; }
    JobState state() const;
    bool isClosed() const { return closedAtMs_ != 0; }
    int64_t closedAtMs() const { return closedAtMs_; }
    uint64_t firstOffset() const { return firstOffset_; }

    // Applies the effects of a record.
    void apply(const TaskEnded &record);
    void apply(const JobCancelled &record);

    // Adds the occurrences that are due. Returns the time at which the next one is due, if any.
    std::optional<Time> openDueOccurrences(Time now);
    std::map<uint32_t, Occurrence> &occurrences() { return occurrences_; }
    const std::map<uint32_t, Occurrence> &occurrences() const { return occurrences_; }
    StoredTask *find(const TaskName &name);
    bool isGang(const TaskName &name) const
    {
        return name.step < spec().steps.size() && spec().steps[name.step].isGang;
    }
    // Returns the run of the task that has succeeded, or 0 if none has.
    uint32_t succeededRun(const TaskName &name) const;
    bool isStepReady(const Occurrence &occurrence, uint32_t step) const;
    bool hasReadyTask(Time now) const;
    // Unix time. Jobs that take longer than declared keep this place in the order.
    int64_t latestStartMs() const { return latestStartMs_; }
    // Declared work of the tasks that are neither done nor placed.
    double waitingCoreSeconds() const;
    // Whether every remaining task has been started and ends on its own.
    bool mayEndSoon() const;
    // VMs that were asked to start a task that has not ended.
    std::vector<std::string> pools() const;
    // Number of the next run of a task. It is higher than that of any run started by an earlier
    // keeper, including runs that are not in the journal.
    uint32_t nextRun(const StoredTask &task, uint64_t epoch) const;
    // Records from which the current state can be restored without any earlier record.
    std::vector<JournalRecord> snapshotRecords() const;
    void onSnapshotWritten(uint64_t offset) { firstOffset_ = offset; }

    // Records that a pool had no capacity for a task of the job; it is not asked again for a short
    // time.
    void recordRefusal(const std::string &vm, Time now);
    bool isRefusedBy(const std::string &vm, Time now) const;

    bool hasStarted = false;
    Time nextStopAt {};
    int64_t snapshotAtMs = 0; // time of the first record needed to restore the state

private:
    static void completeTask(Occurrence &occurrence, uint32_t step, StoredTask &task, uint32_t run);
    static void completeOccurrence(Occurrence &occurrence);
    void close(JobState state, int64_t timestampMs);
    Occurrence makeOccurrence() const;

    JobAccepted accepted_;
    uint64_t firstOffset_;
    int64_t latestStartMs_;
    JobState finalState_ = JobState::Completed;
    int64_t closedAtMs_ = 0;
    uint32_t completeOccurrences_ = 0;
    std::map<uint32_t, Occurrence> occurrences_;
    std::map<std::string, Time> refusedUntil_; // by VM
};

} // namespace lovage::keeper
