// Evacuation of the data centre whose servers the pool holds.
#include "pool_impl.h"

#include <fmt/format.h>

namespace lovage {

void Pool::Implementation::setEvacuated(bool isEvacuated, Time now)
{
    const bool isChanged = !isEvacuationKnown_ || isEvacuated != evacuatedAt_.has_value();
    isEvacuationKnown_ = true;
    if (!isChanged)
        return;
    isPlacementDue_ = true;
    if (!isEvacuated) {
        evacuatedAt_.reset();
        return;
    }
    evacuatedAt_ = now;
    std::vector<JobNumber> waiting;
    for (const auto &[number, job] : jobs_) {
        if (!job.hasStarted)
            waiting.push_back(number);
    }
    logEvent("evacuation-applied", {},
             fmt::format("jobs={} refused={}", jobs_.size(), waiting.size()));
    for (const JobNumber number : waiting)
        answer(jobs_.at(number), JobResult::Refused, "evacuated", now);
}

bool Pool::Implementation::mayContinueJobs(Time now) const
{
    return isEvacuationKnown_ && (!evacuatedAt_ || now < *evacuatedAt_ + options_.evacuationGrace);
}

// Abandons the jobs that would still have to start a task.
void Pool::Implementation::abandonEvacuatedJobs(Time now)
{
    if (!evacuatedAt_ || mayContinueJobs(now))
        return;
    std::vector<JobNumber> unfinished;
    for (const auto &[number, job] : jobs_) {
        if (job.remaining > job.active)
            unfinished.push_back(number);
    }
    for (const JobNumber number : unfinished) {
        Job &job = jobs_.at(number);
        answer(job, job.hasStarted ? JobResult::Abandoned : JobResult::Refused, "evacuated", now);
    }
}

} // namespace lovage
