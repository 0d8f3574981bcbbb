#include "health.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace lovage::pool {

namespace {

// Weight of the newest run time. Predictions are off by some 40%, so about ten runs are needed for
// the speed to stand out.
constexpr double learningRate = 0.1;
// Limits of the learned ratio; a run outside of them says more about its prediction than about the
// server.
constexpr double maxLogSlowness = 3;
// Faults in a row, of different jobs, that close a server.
constexpr uint32_t faultsToAvoid = 2;
// Run times below it are dominated by the time that orders take.
constexpr Duration minSample = std::chrono::milliseconds(5);

// A run time that differs by more than this is a change of the server, not of the prediction.
constexpr double largeDeviation = 0.9;
constexpr double fastLearningRate = 0.4;

void updateSlowness(LeasedServer &server, Duration predicted, Duration ran)
{
    if (predicted < minSample || ran < minSample)
        return;
    const double ratio =
            std::log(static_cast<double>(ran.count()) / static_cast<double>(predicted.count()));
    ++server.samples;
    const double deviation = ratio - server.logSlowness;
    const double rate = std::abs(deviation) > largeDeviation ? fastLearningRate : learningRate;
    const double weight = std::max(rate, 1.0 / server.samples);
    server.logSlowness =
            std::clamp(server.logSlowness + weight * deviation, -maxLogSlowness, maxLogSlowness);
}

} // namespace

double slownessOf(const LeasedServer &server, double meanLogSlowness)
{
    const double confidence = std::min<double>(server.samples, 1 / learningRate) * learningRate;
    return std::exp(confidence * server.logSlowness + (1 - confidence) * meanLogSlowness);
}

Duration expectedRunTime(const LeasedServer &server, Duration predicted, double meanLogSlowness)
{
    return scaled(predicted, slownessOf(server, meanLogSlowness));
}

void recordSuccess(LeasedServer &server, Duration predicted, Duration ran)
{
    server.consecutiveFaults = 0;
    server.avoidance = {};
    updateSlowness(server, predicted, ran);
}

void recordSlowRun(LeasedServer &server, Duration predicted, Duration total)
{
    updateSlowness(server, predicted, total);
}

bool recordFault(LeasedServer &server, const std::string &job, const PoolOptions &options, Time now)
{
    if (job != server.lastFaultJob || server.consecutiveFaults == 0)
        ++server.consecutiveFaults;
    server.lastFaultJob = job;
    if (server.consecutiveFaults < faultsToAvoid || now < server.avoidUntil)
        return false;
    avoid(server, options, now);
    return true;
}

void avoid(LeasedServer &server, const PoolOptions &options, Time now)
{
    if (now < server.avoidUntil)
        return;
    server.avoidance = std::clamp(server.avoidance * 2, options.minAvoidance, options.maxAvoidance);
    server.avoidUntil = now + server.avoidance;
    // The first run after the pause is a probe: one more fault closes the server again.
    server.consecutiveFaults = faultsToAvoid - 1;
    server.lastFaultJob.clear();
}

void retractFault(LeasedServer &server)
{
    if (server.consecutiveFaults > 0)
        --server.consecutiveFaults;
}

} // namespace lovage::pool
