#include "slow_run.h"

#include "durations.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>

namespace lovage::pool {

namespace {

// Below these values the progress is too small to project the total run time from it.
constexpr Duration minElapsedToProject = std::chrono::milliseconds(40);
constexpr uint32_t minPercentToProject = 2;
// Correction of a reported percentage, which servers round down to a whole number.
constexpr double halfPercent = 0.5;
// Time that a server may take before a run makes progress.
constexpr Duration startAllowance = std::chrono::milliseconds(30);
// Maximum relative error of the projected rest of a run that is caused by uneven progress.
constexpr double projectionError = 0.1;

// Standard deviation of the logarithm of the run times of the tasks of one step.
constexpr double stepDeviation = 0.25;
// Standard deviation of the logarithm of the run times of long jobs.
constexpr double longDeviation = 0.7;
// Probability that a server differs from its learned speed: while the speed is unknown, and once it
// was learned from many runs.
constexpr double unknownServerSlow = 0.1;
constexpr double knownServerSlow = 0.01;
// A server that becomes slow is slower by a factor whose logarithm lies between 0 and this value.
constexpr double maxServerLogSlowness = 2.5;
// Probability that the speed of a server changed between a run and one that began after its end,
// given that it changed at all, and the same for concurrent runs.
constexpr double changedBetween = 0.5;
constexpr double changedDuring = 0.05;
// Minimum probability of a slow server to move a run that misses its deadline where it is, and one
// that only misses its objective. The latter loses its job if the move is wrong.
constexpr double minProbabilityLate = 0.5;
constexpr double minProbabilityInTime = 0.8;
// Maximum probability of a slow server at which the run time is certainly that of the job.
constexpr double maxProbabilityLongJob = 0.1;
// Standard deviations of the run time beyond which a job counts as long.
constexpr double longJobDeviations = 2;

double normalDensity(double value, double mean, double deviation)
{
    const double scaledDistance = (value - mean) / deviation;
    return std::exp(-scaledDistance * scaledDistance / 2)
            / (deviation * std::sqrt(2 * std::numbers::pi));
}

// Returns the density of the logarithm of the run time of an arbitrary job, on a server of the
// learned speed.
double jobDensity(const RunTimeSpread &spread, double logRatio, double error)
{
    return (1 - spread.longShare) * normalDensity(logRatio, 0, std::hypot(spread.deviation, error))
            + spread.longShare
            * normalDensity(logRatio, spread.longLogRatio, std::hypot(longDeviation, error));
}

double observedLogRatio(const SlowRunEvidence &evidence)
{
    return logRatioOf(evidence.total.likely, scaled(evidence.predicted, evidence.slowness));
}

// Density of a run on a server that became slow, by a factor that is not known.
constexpr double slowDensity = 1 / maxServerLogSlowness;

} // namespace

std::optional<Projection> projectRunTime(const ListedTime &listed, uint32_t percent)
{
    if (listed.likely < minElapsedToProject || percent < minPercentToProject)
        return std::nullopt;
    Projection projection;
    // The progress counts from a late begin, and the rest may go faster.
    const Duration working = std::max(listed.minimum - startAllowance, Duration::zero());
    projection.minimum = listed.minimum
            + scaled(working,
                     (100.0 - std::min(percent + 1, 100U)) / (percent + 1) * (1 - projectionError));
    projection.likely = scaled(listed.likely, 100 / (percent + halfPercent));
    // The true percentage is evenly distributed between the reported one and the next.
    projection.error = std::log((percent + 1.0) / percent) / std::sqrt(12);
    projection.low =
            scaled(listed.minimum, 100 / (percent + halfPercent) * std::exp(-projection.error));
    return projection;
}

double slowServerProbability(const SlowRunEvidence &evidence)
{
    const double logRatio = observedLogRatio(evidence);
    if (logRatio <= 0)
        return 0;
    const double error = evidence.total.error;
    const double prior =
            std::max(knownServerSlow, unknownServerSlow / (1.0 + evidence.serverSamples));
    double logOdds = std::log(prior * slowDensity)
            - std::log((1 - prior) * jobDensity(evidence.spread, logRatio, error));
    // A sibling is as slow if the job is long, and like any other run if the server is slow. Its
    // own server may be slow as well.
    for (const ObservedRun &sibling : evidence.siblings) {
        const double deviation = std::hypot(stepDeviation, std::hypot(error, sibling.error));
        const double ifLong = normalDensity(sibling.logRatio, logRatio, deviation);
        const double ifSlow = jobDensity(evidence.spread, sibling.logRatio, sibling.error);
        logOdds += std::log((1 - unknownServerSlow) * ifSlow + unknownServerSlow * slowDensity)
                - std::log((1 - unknownServerSlow) * ifLong + unknownServerSlow * slowDensity);
    }
    // A neighbour is as slow if the server is slow, unless it ran before the server became slow.
    for (const auto &[neighbour, spread] : evidence.neighbours) {
        const double deviation = std::hypot(std::hypot(spread.deviation, neighbour.error),
                                            std::hypot(evidence.spread.deviation, error));
        const double ifLong = jobDensity(spread, neighbour.logRatio, neighbour.error);
        const double changed = neighbour.isConcurrent ? changedDuring : changedBetween;
        const double ifSlow = (1 - changed) * normalDensity(neighbour.logRatio, logRatio, deviation)
                + changed * ifLong;
        logOdds += std::log(ifSlow) - std::log(ifLong);
    }
    return 1 / (1 + std::exp(-logOdds));
}

double longJobProbability(const SlowRunEvidence &evidence)
{
    const double logRatio = observedLogRatio(evidence);
    const RunTimeSpread &spread = evidence.spread;
    const double ifAnyJob = jobDensity(spread, logRatio, evidence.total.error);
    const double ifLongJob = spread.longShare
            * normalDensity(logRatio, spread.longLogRatio,
                            std::hypot(longDeviation, evidence.total.error));
    return (1 - slowServerProbability(evidence)) * ifLongJob / ifAnyJob;
}

namespace {

// Returns the expected run time on an ordinary server if this server is slow.
Duration runTimeElsewhere(const SlowRunEvidence &evidence)
{
    if (evidence.siblings.empty())
        return evidence.predicted;
    double sum = 0;
    for (const ObservedRun &sibling : evidence.siblings)
        sum += std::clamp(sibling.logRatio, -evidence.spread.deviation,
                          2 * evidence.spread.deviation);
    return scaled(evidence.predicted,
                  std::exp(sum / static_cast<double>(evidence.siblings.size())));
}

} // namespace

SlowRunDecision decideSlowRun(const SlowRunEvidence &evidence)
{
    SlowRunDecision decision;
    const double probability = slowServerProbability(evidence);
    decision.slowServerProbability = probability;
    const Duration asJob = scaled(evidence.total.likely, 1 / evidence.slowness);
    const Duration asServer = std::min(runTimeElsewhere(evidence), asJob);
    const bool isServerLikely = probability >= minProbabilityLate;
    decision.ordinaryRunTime = isServerLikely ? asServer : asJob;
    const double longest = std::exp(longJobDeviations * evidence.spread.deviation);
    decision.isStepLong =
            probability <= maxProbabilityLongJob && asJob > scaled(evidence.predicted, longest);

    const auto endsElsewhere = [&](Duration ordinary, Duration limit) {
        return evidence.stopTime + scaled(ordinary, evidence.fastestSlowness) <= limit;
    };
    const Duration shortest = probability <= maxProbabilityLongJob
            ? scaled(evidence.total.minimum, 1 / evidence.slowness)
            : std::min(asServer, scaled(evidence.total.minimum, 1 / evidence.slowness));
    const bool isCertainlyLate = evidence.total.minimum - evidence.elapsed > evidence.untilDeadline;
    if (isCertainlyLate
        && (evidence.wasMoved || !endsElsewhere(shortest, evidence.untilDeadline))) {
        decision.action =
                GiveUpJob {isServerLikely ? SlowRunCause::SlowServer : SlowRunCause::LongJob};
        return decision;
    }
    const Duration left = evidence.total.low - evidence.elapsed;
    if (left <= std::min(evidence.untilObjective, evidence.untilDeadline)) {
        decision.action = KeepRun {SlowRunCause::InTime};
        return decision;
    }
    if (evidence.wasMoved) {
        decision.action = KeepRun {SlowRunCause::MovedBefore};
        return decision;
    }
    const bool missesDeadline = left > evidence.untilDeadline;
    if (probability >= (missesDeadline ? minProbabilityLate : minProbabilityInTime))
        decision.action = MoveRun {SlowRunCause::SlowServer};
    else if (isServerLikely)
        decision.action = KeepRun {SlowRunCause::Uncertain};
    else if (endsElsewhere(asJob, evidence.untilDeadline))
        decision.action = MoveRun {SlowRunCause::FasterServer};
    else
        decision.action = KeepRun {SlowRunCause::LongJob};
    return decision;
}

std::string_view toString(SlowRunCause cause)
{
    constexpr std::array<std::string_view, 6> names = {
            "in-time", "long-job", "slow-server", "faster-server", "uncertain", "moved-before"};
    return names.at(static_cast<size_t>(cause));
}

} // namespace lovage::pool
