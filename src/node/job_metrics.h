// Metrics of the jobs that callers submit to this VM.
#pragma once

#include "lovage/pool.h"
#include "lovage/telemetry.h"

#include <array>

namespace lovage::node {

// Counts jobs by result and by number of tasks, because large jobs may fail more often than small
// ones.
class JobMetrics
{
public:
    explicit JobMetrics(Metrics &metrics);

    void recordSubmitted() { submitted_.add(); }
    void recordStale() { stale_.add(); }
    void setInputLag(Duration lag) { inputLag_.set(lag.count()); }
    // Sets the number of offers that the pool of this VM has refused because it read them too late.
    void setLateOffers(uint64_t count) { lateOffers_.add(count - lateOffers_.value()); }
    // Sets the number of offers that pools have neither accepted nor refused in time.
    void setUnansweredOffers(uint64_t count)
    {
        unansweredOffers_.add(count - unansweredOffers_.value());
    }
    void recordAcceptanceSent() { acceptancesSent_.add(); }
    void recordAnswered(JobResult result, size_t tasks, Duration latency);
    // Adds what the pool of this VM has decided about slow runs since the last call.
    void recordSlowRuns(const PoolCounters &counters);

private:
    static constexpr size_t resultCount = 4;
    static constexpr size_t taskCountClasses = 4;

    Counter &submitted_;
    Counter &stale_;
    Counter &lateOffers_;
    Counter &unansweredOffers_;
    Counter &acceptancesSent_;
    Gauge &inputLag_;
    std::array<std::array<Counter *, taskCountClasses>, resultCount> answered_ {};
    LatencyHistogram &latency_;
    Counter &movedSlow_;
    Counter &movedHanging_;
    Counter &keptSlow_;
    Counter &givenUpSlow_;
    PoolCounters recorded_; // counters as of the last call of recordSlowRuns
};

} // namespace lovage::node
