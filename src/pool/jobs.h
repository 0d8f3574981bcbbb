// Jobs of a pool and the order in which they get room.
#pragma once

#include "lovage/pool.h"

#include "leased_server.h"
#include "run_time_model.h"

#include <set>

namespace lovage::pool {

enum class TaskState { Blocked, Queued, Active, Done };

struct Task
{
    uint32_t step = 0;
    uint32_t index = 0;
    TaskState state = TaskState::Blocked;
    uint32_t lastRun = 0;         // number of the latest run; 0: never ordered
    uint32_t failures = 0;        // runs that ended in failure
    std::string avoidedServer {}; // server of the latest run that failed
    Duration longestStall {};     // longest time a run of it stood still before it was stopped
    Duration projectedRunTime {}; // run time on an ordinary server by the progress of a run; zero:
                                  // none yet
};

struct Job
{
    JobNumber number = 0;
    JobOffer offer;
    Time submittedAt {};
    Time arrivedAt {};
    Time objectiveAt {};
    Time deadlineAt {};
    std::vector<Duration> predicted {}; // run time of a task by step, on an ordinary server
    Duration criticalPathTime {};       // predicted time of the longest chain
    std::vector<Task> tasks {};
    std::vector<uint32_t> firstTask {};  // by step
    std::vector<uint32_t> unfinished {}; // tasks by step
    size_t queued = 0;
    size_t active = 0;
    size_t remaining = 0;
    bool hadToWait = false;  // there was no room for all of its tasks at once
    bool hasStarted = false; // some task was ordered to start
    uint32_t moves = 0;      // runs that were stopped to be started again elsewhere
    Time lastFirstStart {};  // latest time at which a task was ordered for the first time
    Duration longestRun {};  // of the runs that succeeded, as an ordinary server would take

    const Step &stepOf(const Task &task) const { return offer.job.steps[task.step]; }
    Duration predictedFor(const Task &task) const
    {
        return task.projectedRunTime > Duration::zero() ? task.projectedRunTime
                                                        : predicted[task.step];
    }
    Duration objective() const { return objectiveAt - submittedAt; }
    TaskName nameOf(size_t task) const
    {
        return {offer.job.id, 0, tasks[task].step, tasks[task].index};
    }
};

Job makeJob(JobNumber number, JobOffer offer, const RunTimeModel &model, Time now);
// Queues the tasks of every step whose earlier steps are complete. Returns their number.
size_t releaseSteps(Job &job);
// Longest prediction among the tasks that wait.
Duration longestQueuedRunTime(const Job &job);
double queuedCoreSeconds(const Job &job);

// Which waiting job gets room first. Jobs that have begun come first, since what they hold is
// wasted until they complete; then by the latest time at which they can start and still meet their
// objective; jobs that will miss it come last.
struct QueueKey
{
    enum class Band : uint8_t { Started, OnTime, Late };

    Band band = Band::OnTime;
    Time latestStart {};
    JobNumber job = 0;

    auto operator<=>(const QueueKey &) const = default;
};

// slowness: run time over prediction on the fastest server of the service.
QueueKey queueKey(const Job &job, double slowness, Time now);

} // namespace lovage::pool
