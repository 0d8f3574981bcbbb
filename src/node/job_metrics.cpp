#include "job_metrics.h"

#include <algorithm>

namespace lovage::node {

namespace {

// Largest number of tasks in each class.
constexpr std::array<size_t, 4> taskCountLimits = {2, 4, 8, SIZE_MAX};
constexpr std::array<std::string_view, 4> taskCountLabels = {"1-2", "3-4", "5-8", "9+"};

size_t taskCountClass(size_t tasks)
{
    return static_cast<size_t>(
            std::lower_bound(taskCountLimits.begin(), taskCountLimits.end(), tasks)
            - taskCountLimits.begin());
}

Counter &slowRunCounter(Metrics &metrics, const std::string &decision)
{
    return metrics.counter("lovage_slow_runs_total", "decisions about runs that are too slow",
                           {{"decision", decision}});
}

} // namespace

JobMetrics::JobMetrics(Metrics &metrics)
    : submitted_(metrics.counter("lovage_jobs_submitted_total", "jobs from callers")),
      stale_(metrics.counter("lovage_stale_requests_total",
                             "jobs refused because their requests may have waited too long")),
      lateOffers_(metrics.counter("lovage_late_offers_total",
                                  "offers that the pool refused because it read them too late")),
      unansweredOffers_(metrics.counter("lovage_unanswered_offers_total",
                                        "offers that pools did not answer in time")),
      acceptancesSent_(metrics.counter("lovage_acceptances_sent_total",
                                       "messages that tell another VM of an accepted job")),
      inputLag_(metrics.gauge("lovage_input_lag_us", "time for which input of the VM waits")),
      latency_(metrics.histogram("lovage_job_seconds", "time from a job to its answer")),
      movedSlow_(slowRunCounter(metrics, "moved")),
      movedHanging_(slowRunCounter(metrics, "moved-hanging")),
      keptSlow_(slowRunCounter(metrics, "kept")),
      givenUpSlow_(slowRunCounter(metrics, "job-given-up"))
{
    for (size_t result = 0; result < resultCount; ++result) {
        const std::string name(toString(static_cast<JobResult>(result)));
        for (size_t taskClass = 0; taskClass < taskCountClasses; ++taskClass)
            answered_.at(result).at(taskClass) = &metrics.counter(
                    "lovage_jobs_answered_total", "answers by result and number of tasks",
                    {{"result", name}, {"tasks", std::string(taskCountLabels.at(taskClass))}});
    }
}

void JobMetrics::recordAnswered(JobResult result, size_t tasks, Duration latency)
{
    answered_.at(static_cast<size_t>(result)).at(taskCountClass(tasks))->add();
    latency_.record(latency);
}

void JobMetrics::recordSlowRuns(const PoolCounters &counters)
{
    movedSlow_.add(counters.runsMovedSlow - recorded_.runsMovedSlow);
    movedHanging_.add(counters.runsMovedHanging - recorded_.runsMovedHanging);
    keptSlow_.add(counters.runsKeptSlow - recorded_.runsKeptSlow);
    givenUpSlow_.add(counters.jobsGivenUpSlow - recorded_.jobsGivenUpSlow);
    recorded_ = counters;
}

} // namespace lovage::node
