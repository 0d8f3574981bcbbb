#include "packing.h"

#include <algorithm>
#include <cmath>

namespace lovage::pool {

namespace {

// Number of arrivals after which the usable shares are calculated again. The calculation takes
// some 10 us.
constexpr size_t arrivalsPerCalculation = 16;
// Number of waiting tasks that are tried for a gap, on average. With one, a gap stays empty if the
// next task does not fit; the queue of a busy service usually has a choice.
constexpr double triedTasks = 2;
// Gaps of more than this many of the largest recent tasks are not calculated: the unused rest is a
// small share of them, which does not depend on their size.
constexpr uint32_t largestGap = 8;

} // namespace

void TaskSizes::record(uint32_t milliCores, uint32_t tasks)
{
    const Sample sample {milliCores, tasks};
    if (samples_.size() < maxSamples)
        samples_.push_back(sample);
    else
        samples_[next_++ % maxSamples] = sample;
    if (++sinceCalculated_ >= arrivalsPerCalculation || samples_.size() < arrivalsPerCalculation)
        calculate();
}

// Fills a gap step by step with tasks of random recent sizes that fit into what is left.
void TaskSizes::calculate()
{
    sinceCalculated_ = 0;
    uint32_t largest = 1;
    double tasks = 0;
    for (const Sample &sample : samples_) {
        largest = std::max(largest, sample.milliCores);
        tasks += sample.tasks;
    }
    // A whole part of the largest size, so that gaps that just fit equal tasks are exact.
    stepMilliCores_ = double(largest) * largestGap / steps;
    for (size_t step = 0; step <= steps; ++step) {
        const double gap = double(step) * stepMilliCores_;
        double fitting = 0;
        double used = 0;
        for (const Sample &sample : samples_) {
            if (sample.milliCores > gap)
                continue;
            fitting += sample.tasks;
            used += sample.tasks * (sample.milliCores + usable_[stepOf(gap - sample.milliCores)]);
        }
        const double isFilled = 1 - std::pow(1 - fitting / tasks, triedTasks);
        usable_[step] = fitting > 0 ? isFilled * used / fitting : 0;
    }
}

size_t TaskSizes::stepOf(double milliCores) const
{
    constexpr double rounding = 1e-6;
    return static_cast<size_t>(milliCores / stepMilliCores_ + rounding);
}

uint32_t TaskSizes::usable(uint32_t freeMilliCores) const
{
    if (stepMilliCores_ == 0)
        return freeMilliCores;
    const size_t step = stepOf(freeMilliCores);
    if (step < steps)
        return static_cast<uint32_t>(std::lround(usable_[step]));
    const double share = usable_[steps] / (double(steps) * stepMilliCores_);
    return static_cast<uint32_t>(std::lround(share * freeMilliCores));
}

} // namespace lovage::pool
