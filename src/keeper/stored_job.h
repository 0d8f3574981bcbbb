// State of one stored job: what its journal records say, and what runs now.
#pragma once

#include "lovage/keeper.h"

#include <map>
#include <vector>

namespace lovage::keeper {

struct StoredTask
{
    // From the journal.
    bool isDone = false;
    uint32_t doneRun = 0; // that has ended in success
    uint32_t failures = 0;
    uint32_t lastFailedRun = 0;
    uint32_t lastRun = 0;
    std::string checkpoint {};

    // Known to the present keeper only.
    std::string pool {};              // VM that was asked to start it; empty: it does not run
    Time presumedEnded = Time::max(); // its VM was lost
    Time notBefore {};
    bool isEndPending = false; // its end is being written
    uint32_t pendingRun = 0;   // whose end that is

    bool isPlaced() const { return !pool.empty(); }
};

struct StepState
{
    std::vector<StoredTask> tasks;
    uint32_t unfinished = 0;
};

// The steps of a job once; a job that repeats has several.
struct Occurrence
{
    std::vector<StepState> steps; // empty when all are complete
    size_t unfinishedSteps = 0;
    std::vector<std::vector<uint32_t>> doneRuns {}; // by step and index, when all are complete
};

// Longest time from the acceptance of a job to its end that serves its caller in full.
Duration objectiveOf(const JobSpec &job, const QueueParameters &terms);

class StoredJob
{
public:
    StoredJob(JobAccepted record, uint64_t offset);

    const JobSpec &spec() const { return accepted_.job; }
    const QueueParameters &terms() const { return accepted_.terms; }
    const JobAccepted &accepted() const { return accepted_; }
    JobState state() const;
    bool isClosed() const { return closedAtMs_ != 0; }
    int64_t closedAtMs() const { return closedAtMs_; }
    uint64_t firstOffset() const { return firstOffset_; }

    // Effects of records.
    void apply(const TaskEnded &record);
    void apply(const JobCancelled &record);

    // Adds the repetitions that are due. Returns when the next one is.
    std::optional<Time> openDue(Time now);
    std::map<uint32_t, Occurrence> &occurrences() { return occurrences_; }
    const std::map<uint32_t, Occurrence> &occurrences() const { return occurrences_; }
    StoredTask *find(const TaskName &name);
    bool isGang(const TaskName &name) const
    {
        return name.step < spec().steps.size() && spec().steps[name.step].isGang;
    }
    // The run of the task that has ended in success; 0: none.
    uint32_t doneRun(const TaskName &name) const;
    bool isStepReady(const Occurrence &occurrence, uint32_t step) const;
    bool hasReadyTask(Time now) const;
    // Unix time; what takes longer than declared still starts in this order.
    int64_t latestStartMs() const { return latestStartMs_; }
    // Declared work of the tasks that are not started.
    double waitingCoreSeconds() const;
    // Whether every task that is left has been started and ends by itself.
    bool mayEndSoon() const;
    // VMs that were asked to start a task that has not ended.
    std::vector<std::string> pools() const;
    // The number of the next run of a task; it rises from one keeper to the next, also over runs
    // that are not in the journal.
    uint32_t nextRun(const StoredTask &task, uint64_t epoch) const;
    // Records that give the present state without any earlier one.
    std::vector<JournalRecord> rewritten() const;
    void noteRewritten(uint64_t offset) { firstOffset_ = offset; }

    // A pool that had no room for a task of the job is not asked again at once.
    void noteRefusal(const std::string &vm, Time now);
    bool isRefusedBy(const std::string &vm, Time now) const;

    bool isBegun = false;
    Time stopRepeatAt {};
    int64_t writtenAtMs = 0; // of the first record that gives the state

private:
    static void completeTask(Occurrence &occurrence, uint32_t step, StoredTask &task, uint32_t run);
    static void completeOccurrence(Occurrence &occurrence);
    void close(JobState state, int64_t timestampMs);
    Occurrence makeOccurrence() const;

    JobAccepted accepted_;
    uint64_t firstOffset_;
    int64_t latestStartMs_;
    JobState closedAs_ = JobState::Completed;
    int64_t closedAtMs_ = 0;
    uint32_t completeOccurrences_ = 0;
    std::map<uint32_t, Occurrence> occurrences_;
    std::map<std::string, Time> refusedUntil_; // by VM
};

} // namespace lovage::keeper
