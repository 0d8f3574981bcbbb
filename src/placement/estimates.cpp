#include "estimates.h"

#include <algorithm>
#include <cmath>

namespace lovage::placement {

namespace {

// Decay factors per sample. Run times inside a class vary by about half of their mean, so the
// long-term mean of 100 samples gives the relative run time of a server with an error of about 5%.
// The short-term mean detects a change after 8 tasks.
constexpr double classDecay = 1 - 1.0 / 256;
constexpr double longTermDecay = 1 - 1.0 / 100;
constexpr double shortTermDecay = 1 - 1.0 / 8;
constexpr double pairDecay = 1 - 1.0 / 64;
// Weight, in samples, of the average server as prior in the estimate of a server. It falls from the
// initial to the minimum value as the server gets samples. Run times inside a class vary by about
// their mean; with a constant weight of 3, the first eight samples made fast servers look three
// times too slow. Such servers stay idle and give no samples that correct the estimate.
constexpr double initialServerPrior = 20;
constexpr double minServerPrior = 3;
// Limits the reduction of the expected run time of a server with few samples.
constexpr double maxExplorationBonus = 0.5;
// Weight, in samples, of the server as prior in the estimate of a pair of server and class.
constexpr double pairPrior = 30;
// The long-term mean restarts from the short-term mean when the two differ by more than this
// factor, which is more than three standard deviations of the short-term mean.
constexpr double changeFactor = 1.7;
// Weight of the short-term mean in a restarted long-term mean, in samples.
constexpr double restartWeight = 4;
// Minimum weight of the short-term mean, in samples, for a restart of the long-term mean.
constexpr double minWeightForChange = 5;
// Samples are limited to this multiple of their expected value, so that one hanging task does not
// make a server look slow.
constexpr double maxSampleRatio = 8;
// Minimum total weight of the run time samples of a class, where a new sample has weight 1 and
// older samples decay. Below it, results of the class do not change the relative run times of
// servers or the run time scale. The first results of a class are too small, because of tasks that
// start together the short ones end first.
constexpr double minClassWeight = 30;
// Number of observations between two normalisations of the relative run times.
constexpr uint64_t normaliseInterval = 64;

} // namespace

double Estimates::Class::mean() const
{
    const double priorWeight = 1 / (1 + samples.weight);
    return std::max(1.0, (priorMean * priorWeight + samples.sum) / (priorWeight + samples.weight));
}

void Estimates::resize(size_t backends)
{
    servers_.resize(backends);
    for (Class &taskClass : classes_)
        taskClass.byServer.resize(backends);
}

void Estimates::ensureClass(uint32_t workClass, Duration declared)
{
    if (workClass < classes_.size())
        return;
    classes_.resize(workClass + 1);
    Class &added = classes_.back();
    added.declaredMean = static_cast<double>(std::max<int64_t>(1, declared.count()));
    added.priorMean = static_cast<double>(std::max<int64_t>(1, declared.count()));
    added.byServer.resize(servers_.size());
}

double Estimates::relativeRunTime(uint32_t backend, uint32_t workClass) const
{
    const DecayingMean &pair = classes_[workClass].byServer[backend];
    const double prior = servers_[backend].relativeRunTime;
    return (pair.sum + pairPrior * prior) / (pair.weight + pairPrior);
}

// Geometric mean of the ratio of learned to declared run time over the learned classes.
double Estimates::runTimeScale() const
{
    double logSum = 0;
    size_t count = 0;
    for (const Class &taskClass : classes_) {
        if (taskClass.samples.weight < minClassWeight)
            continue;
        logSum += std::log(taskClass.mean() / taskClass.declaredMean);
        ++count;
    }
    return count == 0 ? 0 : std::exp(logSum / static_cast<double>(count));
}

void Estimates::updateServer(Server &server, double sample)
{
    server.longTerm.add(sample, longTermDecay);
    server.shortTerm.add(sample, shortTermDecay);
    if (server.shortTerm.weight >= minWeightForChange) {
        const double shortTerm = server.shortTerm.sum / server.shortTerm.weight;
        const double longTerm = server.longTerm.sum / server.longTerm.weight;
        if (shortTerm > longTerm * changeFactor || longTerm > shortTerm * changeFactor)
            server.longTerm = {shortTerm * restartWeight, restartWeight};
    }
    ++server.samples;
    server.relativeRunTime = relativeRunTimeOf(server);
}

double Estimates::lowerBoundFactor(uint32_t backend) const
{
    const double error = 1 / std::sqrt(1 + static_cast<double>(servers_[backend].samples));
    return 1 - std::min(maxExplorationBonus, error);
}

double Estimates::relativeRunTimeOf(const Server &server)
{
    const double prior =
            std::max(minServerPrior, initialServerPrior - static_cast<double>(server.samples));
    return (server.longTerm.sum + prior) / (server.longTerm.weight + prior);
}

void Estimates::observe(uint32_t backend, uint32_t workClass, Duration runTime, Time now)
{
    Server &server = servers_[backend];
    Class &taskClass = classes_[workClass];
    const double mean = taskClass.mean();
    const double expectedRatio = relativeRunTime(backend, workClass);
    const double time = static_cast<double>(std::max<int64_t>(1, runTime.count()));
    server.lastObserved = now;
    const bool isLearned = taskClass.samples.weight >= minClassWeight;
    const double sample =
            isLearned ? std::min(time / mean, maxSampleRatio * expectedRatio) : expectedRatio;
    if (isLearned) {
        server.variability += (std::abs(sample / expectedRatio - 1) - server.variability) / 64;
        updateServer(server, sample);
        taskClass.byServer[backend].add(sample, pairDecay);
    }
    taskClass.samples.add(isLearned ? sample * mean / expectedRatio : time / expectedRatio,
                          classDecay);
    recentMean_ = recentMean_ == 0 ? mean : recentMean_ + (mean - recentMean_) / 256;
    if (++observations_ % normaliseInterval == 0)
        normalise();
}

// Keeps the geometric mean of the relative run times at 1, so that servers without samples and
// servers of peers compare with the measured ones. Results determine only the product of class mean
// and relative run time, so a common factor can move from one to the other.
void Estimates::normalise()
{
    double logSum = 0;
    double weight = 0;
    for (const Server &server : servers_) {
        const double serverWeight = std::min(1.0, server.longTerm.weight / 20);
        logSum += serverWeight * std::log(server.relativeRunTime);
        weight += serverWeight;
    }
    if (weight < 1)
        return;
    const double factor = std::exp(logSum / weight);
    for (Server &server : servers_) {
        server.longTerm.sum /= factor;
        server.shortTerm.sum /= factor;
        server.relativeRunTime = relativeRunTimeOf(server);
    }
    for (Class &taskClass : classes_) {
        taskClass.priorMean *= factor;
        taskClass.samples.sum *= factor;
        for (DecayingMean &pair : taskClass.byServer)
            pair.sum /= factor;
    }
}

} // namespace lovage::placement
