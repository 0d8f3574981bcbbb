#include "jobs.h"

#include <algorithm>

namespace lovage::pool {

namespace {

constexpr double milliCoreMicrosPerCoreSecond = 1e9;

bool isComplete(const Job &job, const std::vector<uint32_t> &steps)
{
    return std::all_of(steps.begin(), steps.end(),
                       [&](uint32_t step) { return job.unfinished[step] == 0; });
}

} // namespace

Job makeJob(JobNumber number, JobOffer offer, const RunTimeModel &model, Time now)
{
    Job job;
    job.number = number;
    job.arrivedAt = now;
    job.submittedAt = now - offer.elapsed;
    job.deadlineAt = now + offer.deadline;
    if (offer.lease)
        job.leaseUntil = offer.lease->until;
    JobSpec expected = offer.job;
    for (Step &step : expected.steps) {
        step.estimate = model.predict(offer.queue, step.estimate);
        job.predicted.push_back(step.estimate);
    }
    job.criticalPathTime = criticalPath(expected);
    job.objectiveAt = job.submittedAt + offer.objectiveSlack
            + Duration(static_cast<int64_t>(offer.stretchFactor
                                            * static_cast<double>(job.criticalPathTime.count())));
    for (uint32_t step = 0; step < offer.job.steps.size(); ++step) {
        job.firstTask.push_back(static_cast<uint32_t>(job.tasks.size()));
        job.unfinished.push_back(offer.job.steps[step].count);
        for (uint32_t index = 0; index < offer.job.steps[step].count; ++index)
            job.tasks.push_back({step, offer.firstIndex + index});
    }
    job.remaining = job.tasks.size();
    job.offer = std::move(offer);
    releaseSteps(job);
    return job;
}

size_t releaseSteps(Job &job)
{
    size_t released = 0;
    for (uint32_t step = 0; step < job.offer.job.steps.size(); ++step) {
        const uint32_t first = job.firstTask[step];
        if (job.tasks[first].state != TaskState::Blocked
            || !isComplete(job, job.offer.job.steps[step].after))
            continue;
        for (uint32_t i = first; i < first + job.offer.job.steps[step].count; ++i)
            job.tasks[i].state = TaskState::Queued;
        released += job.offer.job.steps[step].count;
    }
    job.queued += released;
    return released;
}

Duration longestQueuedRunTime(const Job &job)
{
    Duration longest {};
    for (const Task &task : job.tasks) {
        if (task.state == TaskState::Queued)
            longest = std::max(longest, job.predictedFor(task));
    }
    return longest;
}

double queuedCoreSeconds(const Job &job)
{
    double sum = 0;
    for (const Task &task : job.tasks) {
        const Step &step = job.stepOf(task);
        if (task.state == TaskState::Queued || task.state == TaskState::Blocked)
            sum += step.demand.milliCores * static_cast<double>(job.predictedFor(task).count())
                    / milliCoreMicrosPerCoreSecond;
    }
    return sum;
}

QueueKey queueKey(const Job &job, double slowness, Time now)
{
    const double run = static_cast<double>(longestQueuedRunTime(job).count()) * slowness;
    QueueKey key {QueueKey::Band::OnTime, job.objectiveAt - Duration(static_cast<int64_t>(run)),
                  job.number};
    if (job.hasStarted)
        key.band = QueueKey::Band::Started;
    else if (key.latestStart < now)
        key.band = QueueKey::Band::Late;
    return key;
}

} // namespace lovage::pool
