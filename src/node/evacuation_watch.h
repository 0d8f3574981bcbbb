// Log events and metrics of the evacuations that a node knows of.
#pragma once

#include "lovage/evacuations.h"
#include "lovage/telemetry.h"

#include <map>
#include <string>

namespace lovage::node {

// Single-threaded, like the node.
class EvacuationWatch
{
public:
    EvacuationWatch(Metrics &metrics, std::string dataCentre)
        : metrics_(metrics), dataCentre_(std::move(dataCentre))
    { }

    void recordChange(const EvacuationState::Change &change, uint64_t version, Time now);
    // Records the number of runs that this VM's pool has while its own data centre is evacuated.
    // Called for as long as the pool has servers or the last recorded number is not zero.
    void recordRuns(size_t runs, Time begun, Time now);
    bool hasRuns() const { return runs_ && runs_->value() > 0; }

private:
    Gauge &sinceOf(const std::string &dataCentre);

    Metrics &metrics_;
    std::string dataCentre_; // of this VM
    Gauge *runs_ = nullptr;  // created when it is needed first
    bool isEmpty_ = false;   // whether the end of the last run has been logged
};

} // namespace lovage::node
