#include "run_time_model.h"

#include <algorithm>
#include <cmath>

namespace lovage::pool {

namespace {

// The prior assumes that the run time equals the declared time. It weighs as much as this many
// samples with the variance priorSpread of the logarithm of the declared time.
constexpr double priorSamples = 15;
constexpr double priorSpread = 0.4 * 0.4;
constexpr double priorVariance = 0.4 * 0.4;
// Number of samples after which the weight of an old sample has decayed to 1/e.
constexpr double memorySamples = 400;
// Variance of the error of the first prediction of a queue: declared times are off by a factor of
// four in either direction. It shrinks with the samples.
constexpr double firstErrorVariance = 1.4 * 1.4;
// The prior assumes that one job in a hundred takes about five times as long as predicted. The
// share has the weight of this many jobs, and old jobs are forgotten after that many.
constexpr double priorLongShare = 0.01;
constexpr double priorLongLogRatio = 1.6;
constexpr double longLogRatioDeviation = 0.7;
constexpr double priorLongWeight = 5;
constexpr double longShareMemory = 100;
// From this share on, the jobs are not exceptions: the queue has changed, and the prediction
// follows them.
constexpr double maxLongShare = 0.2;
// Samples of certainly long jobs are left out of the fit.
constexpr double minSampleShare = 1e-3;

double logOf(Duration duration)
{
    return std::log(static_cast<double>(std::max<int64_t>(duration.count(), 1)));
}

} // namespace

RunTimeModel::Fit RunTimeModel::priorFit()
{
    Fit fit;
    fit.sumXX = priorSamples * priorSpread;
    fit.sumXY = priorSamples * priorSpread;
    fit.variance = priorVariance;
    fit.longShare = priorLongShare;
    fit.longLogRatio = priorLongLogRatio;
    return fit;
}

double RunTimeModel::slope(const Fit &fit)
{
    return std::clamp(fit.sumXY / fit.sumXX, 0.0, 1.0);
}

double RunTimeModel::predictLog(const Fit &fit, double declaredLog)
{
    if (fit.weight == 0)
        return declaredLog;
    // Blends the fitted line with the declared time; the weight of the line grows with the samples.
    const double sampleShare = fit.weight / (fit.weight + 1);
    return sampleShare * (fit.meanY + slope(fit) * (declaredLog - fit.meanX))
            + (1 - sampleShare) * declaredLog;
}

Duration RunTimeModel::predict(const std::string &queue, Duration declared) const
{
    const auto found = fits_.find(queue);
    if (found == fits_.end() || declared <= Duration::zero())
        return declared;
    return Duration(static_cast<int64_t>(std::exp(predictLog(found->second, logOf(declared)))));
}

double RunTimeModel::deviation(const std::string &queue) const
{
    const auto found = fits_.find(queue);
    return std::sqrt(found == fits_.end() ? priorVariance : found->second.variance);
}

RunTimeSpread RunTimeModel::spread(const std::string &queue) const
{
    const auto found = fits_.find(queue);
    if (found == fits_.end())
        return {std::sqrt(priorVariance), priorLongShare, priorLongLogRatio};
    const Fit &fit = found->second;
    return {std::sqrt(fit.variance), fit.longShare, fit.longLogRatio};
}

double RunTimeModel::longProbability(const Fit &fit, double residual)
{
    const auto density = [](double distance, double variance) {
        return std::exp(-distance * distance / (2 * variance)) / std::sqrt(variance);
    };
    const double ordinary = (1 - fit.longShare)
            * density(residual, fit.variance + firstErrorVariance / (1 + fit.weight));
    const double tail = fit.longShare
            * density(residual - fit.longLogRatio, longLogRatioDeviation * longLogRatioDeviation);
    return tail / (tail + ordinary);
}

void RunTimeModel::learnLongShare(Fit &fit, double residual, double probability, uint32_t tasks)
{
    const double part = 1.0 / std::max<uint32_t>(tasks, 1);
    fit.longShare += (probability - fit.longShare) * part / longShareMemory;
    fit.longWeight = std::min(fit.longWeight + probability * part, memorySamples);
    if (probability > 0.5)
        fit.longLogRatio += (residual - fit.longLogRatio) * probability * part
                / (fit.longWeight + priorLongWeight);
}

void RunTimeModel::observe(const std::string &queue, Duration declared, Duration ran,
                           double logRatio, uint32_t tasks)
{
    if (declared <= Duration::zero() || ran <= Duration::zero())
        return;
    Fit &fit = fits_.try_emplace(queue, priorFit()).first->second;
    const double x = logOf(declared);
    const double y = logOf(ran) - logRatio;
    const double residual = y - predictLog(fit, x);
    const double probability = longProbability(fit, residual);
    learnLongShare(fit, residual, probability, tasks);
    const double share = fit.longShare < maxLongShare ? 1 - probability : 1;
    if (share < minSampleShare)
        return;
    constexpr double decay = 1 - 1 / memorySamples;
    fit.variance += share * (residual * residual - fit.variance)
            / std::min(fit.weight + priorSamples, memorySamples);
    fit.weight = fit.weight * (1 - share * (1 - decay)) + share;
    const double deltaX = x - fit.meanX;
    fit.meanX += share * deltaX / fit.weight;
    fit.meanY += share * (y - fit.meanY) / fit.weight;
    fit.sumXX = fit.sumXX * (1 - share * (1 - decay)) + share * deltaX * (x - fit.meanX);
    fit.sumXY = fit.sumXY * (1 - share * (1 - decay)) + share * deltaX * (y - fit.meanY);
}

} // namespace lovage::pool
