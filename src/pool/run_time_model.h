// Predicts the run time of tasks from their declared run time and the earlier tasks of their queue.
#pragma once

#include "lovage/core.h"

#include "slow_run.h"

#include <map>
#include <string>

namespace lovage::pool {

// Declared run times are far off, and the tasks of a queue resemble each other, so the best
// estimate lies between the declared time and the usual run time of the queue. For each queue the
// model fits the logarithm of the run time, on a server of ordinary speed, as a linear function of
// the logarithm of the declared time. A sample counts in proportion to the probability that it
// belongs to an ordinary job; the share of the long jobs is learned as well.
class RunTimeModel
{
public:
    // Returns the predicted run time of an ordinary job on a server of ordinary speed.
    Duration predict(const std::string &queue, Duration declared) const;
    // Returns the standard deviation of the logarithm of the ratio of run time to prediction,
    // without the long jobs.
    double deviation(const std::string &queue) const;
    RunTimeSpread spread(const std::string &queue) const;
    // Adds a sample. `logRatio` is the logarithm of the ratio of the server's run times to those of
    // an ordinary server. The samples of the `tasks` tasks of a job are one sample of the share of
    // long jobs.
    void observe(const std::string &queue, Duration declared, Duration ran, double logRatio,
                 uint32_t tasks = 1);

private:
    struct Fit
    {
        double weight = 0;
        double meanX = 0; // mean logarithm of the declared time in microseconds
        double meanY = 0; // mean logarithm of the run time in microseconds
        double sumXX;
        double sumXY;
        double variance; // variance of the residuals
        double longShare;
        double longLogRatio;   // mean logarithm of the ratio of a long job's time to its prediction
        double longWeight = 0; // number of long jobs from which longLogRatio was learned
    };

    static Fit priorFit();
    static double slope(const Fit &fit);
    static double predictLog(const Fit &fit, double declaredLog);
    // Returns the probability that a sample with this residual belongs to a long job.
    static double longProbability(const Fit &fit, double residual);
    static void learnLongShare(Fit &fit, double residual, double probability, uint32_t tasks);

    std::map<std::string, Fit> fits_;
};

} // namespace lovage::pool
