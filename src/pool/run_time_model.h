// Predicts the run time of tasks from their declared run time and the earlier tasks of their queue.
#pragma once

#include "lovage/core.h"

#include <map>
#include <string>

namespace lovage::pool {

// Declared run times are far off, and the tasks of a queue resemble each other, so the best
// estimate lies between the declared time and the usual run time of the queue. For each queue the
// model fits the logarithm of the run time, on a server of ordinary speed, as a linear function of
// the logarithm of the declared time.
class RunTimeModel
{
public:
    // Returns the predicted run time on a server of ordinary speed.
    Duration predict(const std::string &queue, Duration declared) const;
    // Returns the standard deviation of the logarithm of the ratio of run time to prediction.
    double deviation(const std::string &queue) const;
    // Adds a sample. `logRatio` is the logarithm of the ratio of the server's run times to those of
    // an ordinary server.
    void observe(const std::string &queue, Duration declared, Duration ran, double logRatio);

private:
    struct Fit
    {
        double weight = 0;
        double meanX = 0; // mean logarithm of the declared time in microseconds
        double meanY = 0; // mean logarithm of the run time in microseconds
        double sumXX;
        double sumXY;
        double variance; // variance of the residuals
    };

    static Fit priorFit();
    static double slope(const Fit &fit);
    static double predictLog(const Fit &fit, double declaredLog);

    std::map<std::string, Fit> fits_;
};

} // namespace lovage::pool
