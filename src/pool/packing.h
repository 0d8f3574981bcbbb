// Calculates how much of the cores of a server tasks of the usual sizes can use.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lovage::pool {

// The sizes of the tasks of a service that arrived recently, and the cores that they can use of a
// gap: two tasks of 32 cores rarely fit on 64 cores if their sizes vary.
class TaskSizes
{
public:
    // Records tasks of the same size, which is not 0, that arrived.
    void record(uint32_t milliCores, uint32_t tasks);
    // Returns the expected cores that tasks use of the given free cores when no further task fits.
    // Until sizes are known, all cores count as usable.
    uint32_t usable(uint32_t freeMilliCores) const;

private:
    struct Sample
    {
        uint32_t milliCores = 0;
        uint32_t tasks = 0;
    };

    void calculate();
    // Returns the index in usable_ of a gap; the gap is rounded down.
    size_t stepOf(double milliCores) const;

    static constexpr size_t maxSamples = 64;
    static constexpr size_t steps = 128;

    std::vector<Sample> samples_; // the latest ones; a ring when full
    size_t next_ = 0;
    size_t sinceCalculated_ = 0;
    double stepMilliCores_ = 0;               // 0 until usable_ is calculated
    std::array<double, steps + 1> usable_ {}; // by multiples of stepMilliCores_
};

} // namespace lovage::pool
