// Learned relation between the declared and the actual run time of the tasks of a queue.
#pragma once

#include "lovage/core.h"

#include <map>
#include <string>

namespace lovage::pool {

// Declared run times are far off, and a queue's tasks resemble each other: the best guess lies
// between the declared time and what the queue's tasks usually take. Fits the logarithm of the run
// time, on a server of ordinary speed, as a line over the logarithm of the declared time.
class RunTimeModel
{
public:
    // Run time on a server of ordinary speed.
    Duration predict(const std::string &queue, Duration declared) const;
    // Standard deviation of the logarithm of run time over prediction.
    double deviation(const std::string &queue) const;
    // `logRatio` is the logarithm of the server's run times over those of an ordinary one.
    void observe(const std::string &queue, Duration declared, Duration ran, double logRatio);

private:
    struct Fit
    {
        double weight = 0;
        double meanX = 0; // logarithm of the declared time in microseconds
        double meanY = 0; // logarithm of the run time
        double sumXX;
        double sumXY;
        double variance; // of the residuals
    };

    static Fit priorFit();
    static double slope(const Fit &fit);
    static double predictLog(const Fit &fit, double declaredLog);

    std::map<std::string, Fit> fits_;
};

} // namespace lovage::pool
