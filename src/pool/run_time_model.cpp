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

void RunTimeModel::observe(const std::string &queue, Duration declared, Duration ran,
                           double logRatio)
{
    if (declared <= Duration::zero() || ran <= Duration::zero())
        return;
    Fit &fit = fits_.try_emplace(queue, priorFit()).first->second;
    const double x = logOf(declared);
    const double y = logOf(ran) - logRatio;
    const double residual = y - predictLog(fit, x);
    constexpr double decay = 1 - 1 / memorySamples;
    fit.variance += (residual * residual - fit.variance)
            / std::min(fit.weight + priorSamples, memorySamples);
    fit.weight = fit.weight * decay + 1;
    const double deltaX = x - fit.meanX;
    fit.meanX += deltaX / fit.weight;
    fit.meanY += (y - fit.meanY) / fit.weight;
    fit.sumXX = fit.sumXX * decay + deltaX * (x - fit.meanX);
    fit.sumXY = fit.sumXY * decay + deltaX * (y - fit.meanY);
}

} // namespace lovage::pool
