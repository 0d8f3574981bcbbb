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
constexpr double largestLogSlowness = 3;
// Faults in a row, of different jobs, that close a server.
constexpr uint32_t faultsToAvoid = 2;
// Run times below it are dominated by the time that orders take.
constexpr Duration shortestSample = std::chrono::milliseconds(5);

// A run time that differs by more than this is a change of the server, not of the prediction.
constexpr double largeDeviation = 0.9;
constexpr double changeRate = 0.4;

void learn(LeasedServer &server, Duration predicted, Duration ran)
{
    if (predicted < shortestSample || ran < shortestSample)
        return;
    const double ratio =
            std::log(static_cast<double>(ran.count()) / static_cast<double>(predicted.count()));
    ++server.samples;
    const double deviation = ratio - server.logSlowness;
    const double rate = std::abs(deviation) > largeDeviation ? changeRate : learningRate;
    const double weight = std::max(rate, 1.0 / server.samples);
    server.logSlowness = std::clamp(server.logSlowness + weight * deviation, -largestLogSlowness,
                                    largestLogSlowness);
}

} // namespace

double slownessOf(const LeasedServer &server, double common)
{
    const double known = std::min<double>(server.samples, 1 / learningRate) * learningRate;
    return std::exp(known * server.logSlowness + (1 - known) * common);
}

Duration expectedRunTime(const LeasedServer &server, Duration predicted, double common)
{
    return scaled(predicted, slownessOf(server, common));
}

void noteSuccess(LeasedServer &server, Duration predicted, Duration ran)
{
    server.suspicions = 0;
    server.avoidance = {};
    learn(server, predicted, ran);
}

void noteSlow(LeasedServer &server, Duration predicted, Duration total)
{
    learn(server, predicted, total);
}

bool noteFault(LeasedServer &server, const std::string &job, const PoolOptions &options, Time now)
{
    if (job != server.lastSuspectJob || server.suspicions == 0)
        ++server.suspicions;
    server.lastSuspectJob = job;
    if (server.suspicions < faultsToAvoid || now < server.avoidUntil)
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
    server.suspicions = faultsToAvoid - 1;
    server.lastSuspectJob.clear();
}

void forgiveFault(LeasedServer &server)
{
    if (server.suspicions > 0)
        --server.suspicions;
}

} // namespace lovage::pool
