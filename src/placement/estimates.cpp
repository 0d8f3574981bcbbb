#include "estimates.h"

#include <algorithm>
#include <cmath>

namespace lovage::placement {

namespace {

// Run times inside a class vary by about half of their mean. Windows of 100 samples give a relative
// run time with an error of about 5%; the short window notices a change after 8 tasks.
constexpr double classDecay = 1 - 1.0 / 256;
constexpr double serverDecay = 1 - 1.0 / 100;
constexpr double fastDecay = 1 - 1.0 / 8;
constexpr double pairDecay = 1 - 1.0 / 64;
// Weight, in samples, of the average server in the estimate of a server. It falls from the first to
// the last value with the samples of the server: run times inside a class vary by about their mean,
// and with a weight of 3 from the start, eight samples marked fast servers as three times too slow.
// Such servers stay idle and give no samples that correct this.
constexpr double firstServerPrior = 20;
constexpr double lastServerPrior = 3;
// Bounds the advantage of a server without samples.
constexpr double largestOptimism = 0.5;
// Weight, in samples, of the server in the estimate of a pair of server and class.
constexpr double pairPrior = 30;
// The long window starts again from the short one when both differ by more than this factor, more
// than three standard deviations of the short one.
constexpr double changeFactor = 1.7;
// Weight of the short window in the new start, in samples.
constexpr double restartWeight = 4;
constexpr double fewestForChange = 5;
// A sample counts at most this many times its expectation, so that one stuck task does not mark a
// server as slow.
constexpr double largestSample = 8;
// Class durations settle before server speeds are learned from them. Of tasks that start together
// the short ones end first, so the first results of a class are too small.
constexpr double settledClass = 30;
constexpr uint64_t normaliseEvery = 64;

} // namespace

double Estimates::Class::mean() const
{
    const double trust = 1 / (1 + samples.weight);
    return std::max(1.0, (declared * trust + samples.sum) / (trust + samples.weight));
}

void Estimates::resize(size_t backends)
{
    servers_.resize(backends);
    for (Class &known : classes_)
        known.byServer.resize(backends);
}

void Estimates::ensureClass(uint32_t workClass, Duration declared)
{
    if (workClass < classes_.size())
        return;
    classes_.resize(workClass + 1);
    Class &added = classes_.back();
    added.published = static_cast<double>(std::max<int64_t>(1, declared.count()));
    added.declared = static_cast<double>(std::max<int64_t>(1, declared.count()));
    added.byServer.resize(servers_.size());
}

double Estimates::relative(uint32_t backend, uint32_t workClass) const
{
    const Window &pair = classes_[workClass].byServer[backend];
    const double server = servers_[backend].relative;
    return (pair.sum + pairPrior * server) / (pair.weight + pairPrior);
}

// Geometric mean over the settled classes of learned to published run time.
double Estimates::runTimeScale() const
{
    double logSum = 0;
    size_t count = 0;
    for (const Class &known : classes_) {
        if (known.samples.weight < settledClass)
            continue;
        logSum += std::log(known.mean() / known.published);
        ++count;
    }
    return count == 0 ? 0 : std::exp(logSum / static_cast<double>(count));
}

void Estimates::updateServer(Server &server, double sample)
{
    server.slow.add(sample, serverDecay);
    server.fast.add(sample, fastDecay);
    if (server.fast.weight >= fewestForChange) {
        const double recent = server.fast.sum / server.fast.weight;
        const double known = server.slow.sum / server.slow.weight;
        if (recent > known * changeFactor || known > recent * changeFactor)
            server.slow = {recent * restartWeight, restartWeight};
    }
    ++server.samples;
    server.relative = relativeOf(server);
}

double Estimates::optimism(uint32_t backend) const
{
    const double error = 1 / std::sqrt(1 + static_cast<double>(servers_[backend].samples));
    return 1 - std::min(largestOptimism, error);
}

double Estimates::relativeOf(const Server &server)
{
    const double prior =
            std::max(lastServerPrior, firstServerPrior - static_cast<double>(server.samples));
    return (server.slow.sum + prior) / (server.slow.weight + prior);
}

void Estimates::observe(uint32_t backend, uint32_t workClass, Duration ran, Time now)
{
    Server &server = servers_[backend];
    Class &known = classes_[workClass];
    const double mean = known.mean();
    const double relativeNow = relative(backend, workClass);
    const double time = static_cast<double>(std::max<int64_t>(1, ran.count()));
    server.lastObserved = now;
    const bool settled = known.samples.weight >= settledClass;
    const double sample =
            settled ? std::min(time / mean, largestSample * relativeNow) : relativeNow;
    if (settled) {
        server.variability += (std::abs(sample / relativeNow - 1) - server.variability) / 64;
        updateServer(server, sample);
        known.byServer[backend].add(sample, pairDecay);
    }
    known.samples.add(settled ? sample * mean / relativeNow : time / relativeNow, classDecay);
    recentMean_ = recentMean_ == 0 ? mean : recentMean_ + (mean - recentMean_) / 256;
    if (++observations_ % normaliseEvery == 0)
        normalise();
}

// Only products of class duration and relative run time are observable. The geometric mean of the
// relative run times is kept at 1, so that unknown servers and peers compare with known ones.
void Estimates::normalise()
{
    double logSum = 0;
    double weight = 0;
    for (const Server &server : servers_) {
        const double trust = std::min(1.0, server.slow.weight / 20);
        logSum += trust * std::log(server.relative);
        weight += trust;
    }
    if (weight < 1)
        return;
    const double factor = std::exp(logSum / weight);
    for (Server &server : servers_) {
        server.slow.sum /= factor;
        server.fast.sum /= factor;
        server.relative = relativeOf(server);
    }
    for (Class &known : classes_) {
        known.declared *= factor;
        known.samples.sum *= factor;
        for (Window &pair : known.byServer)
            pair.sum /= factor;
    }
}

} // namespace lovage::placement
