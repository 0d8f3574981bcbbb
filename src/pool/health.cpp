#include "health.h"

#include "durations.h"

#include <algorithm>
#include <cmath>

namespace lovage::pool {

namespace {

// Weight of the newest sample in the moving average of a server's slowness. Predictions are off by
// some 40%, so about ten runs are needed to tell the speed of the server from prediction errors.
constexpr double learningRate = 0.1;
// Limit of the absolute value of the learned slowness. A run beyond it indicates a wrong prediction
// rather than a slow or fast server.
constexpr double maxLogSlowness = 3;
// Number of consecutive faults, of different jobs, after which a server is avoided.
constexpr uint32_t faultsToAvoid = 2;
// Shorter run times are ignored, because the latency of orders dominates them.
constexpr Duration minSample = std::chrono::milliseconds(5);

// A sample that deviates by more than this from the learned slowness is taken for a change of the
// server's speed rather than a prediction error, and is learned at the faster rate.
constexpr double largeDeviation = 0.9;
constexpr double fastLearningRate = 0.4;

// Number of ended runs that are remembered for each server.
constexpr size_t maxEndedRuns = 4;

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

void recordSuccess(LeasedServer &server)
{
    server.consecutiveFaults = 0;
    server.avoidance = {};
}

double recordRunTime(LeasedServer &server, Duration predicted, Duration ran)
{
    if (predicted < minSample || ran < minSample)
        return 0;
    const double ratio =
            std::log(static_cast<double>(ran.count()) / static_cast<double>(predicted.count()));
    ++server.samples;
    const double deviation = ratio - server.logSlowness;
    const double rate = std::abs(deviation) > largeDeviation ? fastLearningRate : learningRate;
    const double weight = std::max(rate, 1.0 / server.samples);
    const double before = server.logSlowness;
    server.logSlowness = std::clamp(before + weight * deviation, -maxLogSlowness, maxLogSlowness);
    return server.logSlowness - before;
}

void retractRunTime(LeasedServer &server, double change)
{
    server.logSlowness = std::clamp(server.logSlowness - change, -maxLogSlowness, maxLogSlowness);
}

void rememberEndedRun(LeasedServer &server, EndedRun run)
{
    std::erase_if(server.endedRuns, [&](const EndedRun &other) { return other.job == run.job; });
    if (server.endedRuns.size() == maxEndedRuns)
        server.endedRuns.erase(server.endedRuns.begin());
    server.endedRuns.push_back(std::move(run));
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
    // The first run after this time is a probe: if it fails, the server is avoided again.
    server.consecutiveFaults = faultsToAvoid - 1;
    server.lastFaultJob.clear();
}

void retractFault(LeasedServer &server)
{
    if (server.consecutiveFaults > 0)
        --server.consecutiveFaults;
}

} // namespace lovage::pool
