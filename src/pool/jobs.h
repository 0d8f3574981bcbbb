// Jobs of a pool and their order in the queue.
#pragma once

#include "lovage/pool.h"

#include "leased_server.h"
#include "run_time_model.h"

#include <optional>
#include <set>

namespace lovage::pool {

enum class TaskState { Blocked, Queued, Active, Done };

// Run of a task for which there is a projection or that has ended.
struct TaskRun
{
    std::string server {};
    double logRatio = 0; // logarithm of the ratio of its time to the prediction
    double error = 0;    // standard deviation of logRatio
    double learned = 0;  // change of the server's logSlowness because of it
};

struct Task
{
    uint32_t step = 0;
    uint32_t index = 0;
    TaskState state = TaskState::Blocked;
    uint32_t lastRun = 0;         // number of the latest run; 0: no run was ordered yet
    uint32_t failures = 0;        // number of runs that failed
    std::string avoidedServer {}; // id of the server on which a run last failed or was too slow
    Duration longestStall {}; // longest time for which a run made no progress before it was stopped
    Duration projectedRunTime {}; // run time on an ordinary server, projected from the progress
                                  // of a run; zero if there is no projection
    std::optional<TaskRun> latestRun {}; // nullopt before there is a projection
    std::optional<TaskRun> movedRun {};  // the run that was moved because it was slow
};

struct Job
{
    JobNumber number = 0;
    JobOffer offer;
    Time submittedAt {};
    Time arrivedAt {};
    Time objectiveAt {};
    Time deadlineAt {};
    // End of the job's lease; the maximum for a job without one.
    Time leaseUntil = Time::max();
    // Predicted run time of one task of each step on an ordinary server, by index of the step.
    std::vector<Duration> predicted {};
    Duration criticalPathTime {}; // predicted run time of the critical path
    std::vector<Task> tasks {};
    std::vector<uint32_t> firstTask {};  // index in `tasks` of the first task of each step
    std::vector<uint32_t> unfinished {}; // number of unfinished tasks of each step
    size_t queued = 0;
    size_t active = 0;
    size_t remaining = 0;
    bool hadToWait = false;  // whether some of its first tasks could not start on arrival
    bool hasStarted = false; // whether a task was ordered to start
    uint32_t moves = 0;      // number of runs that were stopped to be started on another server
    Time lastFirstStart {};  // time of the latest first start of a task
    Duration longestRun {};  // longest successful run, scaled to an ordinary server

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
// Queues the tasks of every step whose prerequisite steps are complete. Returns the number of tasks
// that were queued.
size_t releaseSteps(Job &job);
// Returns the longest predicted run time of the queued tasks.
Duration longestQueuedRunTime(const Job &job);
// Returns the predicted work of all tasks that have not been started.
double queuedCoreSeconds(const Job &job);

// Sort key of the waiting jobs. Jobs that have started come first, since the work done for them is
// wasted unless they complete. Other jobs follow in the order of the latest time at which they can
// start and still meet their objective, and jobs that will miss it come last.
struct QueueKey
{
    enum class Band : uint8_t { Started, OnTime, Late };

    Band band = Band::OnTime;
    Time latestStart {};
    JobNumber job = 0;

    auto operator<=>(const QueueKey &) const = default;
};

// `slowness` is the ratio of run time to prediction on the fastest server of the service.
QueueKey queueKey(const Job &job, double slowness, Time now);

} // namespace lovage::pool
