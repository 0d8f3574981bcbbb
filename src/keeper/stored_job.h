// State of one stored job, from its journal records and its current runs.
#pragma once

#include "memory_charge.h"

#include "lovage/keeper.h"

#include <map>
#include <vector>

namespace lovage::keeper {

struct StoredTask
{
    // State from the journal.
    bool isDone = false;
    uint32_t succeededRun = 0; // number of the run that has succeeded; 0 if none has
    uint32_t failures = 0;
    uint32_t lastFailedRun = 0;
    uint32_t lastRun = 0;
    std::string checkpoint {};

    // State known only to the current keeper.
    // The latest run of the task that this keeper has started.
    enum class OwnRun {
        None,
        Open,  // the run may still end, or has ended in a way that is not known
        Ended, // it is known how the run has ended, or that it never started
    };
    OwnRun ownRun = OwnRun::None;
    uint32_t sends = 0;  // number of times that the batch with the latest run was sent
    std::string pool {}; // name of the VM that was asked to start the task; empty: not running
    uint64_t poolIncarnation = 0; // incarnation of that VM
    // Time at which the run is taken to have ended, because the VM of its pool is lost; Time::max()
    // while that VM is not lost.
    Time presumedEndAt = Time::max();
    Time notBefore {};         // time before which the task is not started again
    bool isEndPending = false; // whether the end of a run is being written to the journal
    uint32_t pendingRun = 0;   // number of the run whose end is being written

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
    std::vector<StepState> steps; // empty when all steps are complete
    size_t unfinishedSteps = 0;
    // Number of the run of each task that has succeeded, by step and index of the task. Set when
    // all steps are complete.
    std::vector<std::vector<uint32_t>> succeededRuns {};
};

// Latency objective: longest time from the acceptance of a job to its end that fully serves its
// caller.
Duration objectiveOf(const JobSpec &job, const QueueParameters &queueParameters);

class StoredJob
{
public:
    // The memory that the job takes is added to `heldBytes`, which must outlive the job.
    StoredJob(JobAccepted record, uint64_t offset, size_t &heldBytes);

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
    void apply(const TasksRestarted &record);

    // Returns whether the tasks of an occurrence may start. An occurrence may exist before it is
    // due by the clock of this VM: an earlier keeper with another clock has started it.
    bool isDue(uint32_t occurrence, Time now) const;
    // Adds an occurrence that an earlier keeper has started, as a record or an outcome of one of
    // its runs shows. Does nothing if the job has no such occurrence.
    void openOccurrence(uint32_t number);
    // Adds the occurrences that are due, as far as there is memory for them; one may be open
    // without. Returns the time at which to call it again, if any.
    std::optional<Time> openDueOccurrences(size_t freeBytes, Time now);
    std::map<uint32_t, Occurrence> &occurrences() { return occurrences_; }
    const std::map<uint32_t, Occurrence> &occurrences() const { return occurrences_; }
    StoredTask *find(const TaskName &name);
    // Returns the run of the task that has succeeded, or 0 if none has.
    uint32_t succeededRun(const TaskName &name) const;
    bool isStepReady(const Occurrence &occurrence, uint32_t step) const;
    bool hasReadyTask(Time now) const;
    // Returns the Unix time in milliseconds at which the job has to start to meet its objective. It
    // does not change if the job takes longer than declared, so the job keeps its place in the
    // order.
    int64_t latestStartMs() const { return latestStartMs_; }
    // Returns the declared work, in core-seconds, of the tasks that are neither done nor placed.
    double waitingCoreSeconds() const;
    // Returns whether every remaining task has been started and ends on its own.
    bool mayEndSoon() const;
    // Returns the names of the VMs that were asked to start a task that has not ended.
    std::vector<std::string> pools() const;
    // Returns the tasks whose runs the pool of a VM was asked to start.
    std::vector<StoredTask *> tasksPlacedAt(const std::string &vm);
    // Returns the number of the next run of a task. It is higher than that of any run started by an
    // earlier keeper, including runs that are not in the journal.
    uint32_t nextRun(const StoredTask &task, uint64_t epoch) const;
    // Returns whether the next run of the task must be in the journal before it starts: an earlier
    // run may end without the knowledge of this keeper, or the number of the run is in the range of
    // the next epoch.
    bool needsRestartRecord(const StoredTask &task, uint64_t epoch) const;
    // Returns records from which the current state can be restored without any earlier record.
    std::vector<JournalRecord> snapshotRecords() const;
    void onSnapshotWritten(uint64_t offset) { firstOffset_ = offset; }

    // Records that a pool had no capacity for a task of the job; it is not asked again for a short
    // time.
    void recordRefusal(const std::string &vm, Time now);
    bool isRefusedBy(const std::string &vm, Time now) const;

    bool hasStarted = false;
    Time nextStopAt {};
    Duration stopInterval {}; // interval between the last stop and the next one
    // Unix time in milliseconds of the first record that is needed to restore the state.
    int64_t snapshotAtMs = 0;

private:
    static void completeTask(Occurrence &occurrence, uint32_t step, StoredTask &task, uint32_t run);
    void completeOccurrence(Occurrence &occurrence);
    void close(JobState state, int64_t timestampMs);
    void addOccurrence(uint32_t number);
    bool hasOpenOccurrence() const;
    Time dueAt(uint32_t occurrence) const;
    Occurrence makeOccurrence() const;
    // Returns the highest number of a run that keepers before the epoch start without a record.
    uint32_t runsBefore(uint64_t epoch) const;
    void addRestartRecords(uint32_t occurrence, std::vector<JournalRecord> &records) const;

    MemoryCharge charge_;
    JobAccepted accepted_;
    uint64_t firstOffset_;
    int64_t latestStartMs_;
    JobState finalState_ = JobState::Completed;
    int64_t closedAtMs_ = 0;
    uint32_t completeOccurrences_ = 0;
    std::map<uint32_t, Occurrence> occurrences_;
    uint32_t nextOccurrence_ = 0; // all before it have been opened
    // Time until which each pool that had no capacity for a task is not asked again, by name of its
    // VM.
    std::map<std::string, Time> refusedUntil_;
};

} // namespace lovage::keeper
