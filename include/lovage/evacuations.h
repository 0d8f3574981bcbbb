// Evacuation of data centres: operators request that no more work is started on the servers of a
// data centre. This library performs no I/O.
#pragma once

#include "lovage/core.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovage {

// The data centres whose evacuation is requested. The version is the offset up to which the
// operators' records were read, so of two states the one with the higher version is more recent.
struct Evacuations
{
    uint64_t version = 0;
    std::set<std::string> dataCentres;

    auto operator<=>(const Evacuations &) const = default;
};

// Merges the states that a VM reads from the store and receives from other VMs. A state in force is
// kept until a newer one arrives, also while neither the store nor a VM answers.
class EvacuationState
{
public:
    struct Change
    {
        std::set<std::string> begun; // data centres whose evacuation begins
        std::set<std::string> ended; // data centres whose evacuation is withdrawn

        bool isEmpty() const { return begun.empty() && ended.empty(); }
    };
    // Replaces the state in force unless it is newer.
    Change merge(Evacuations state, Time now);

    // Returns whether any state has been merged.
    bool isKnown() const { return isKnown_; }
    const Evacuations &current() const { return current_; }
    bool isEvacuated(const std::string &dataCentre) const;
    // Returns the time at which this VM learned of the evacuation in force.
    std::optional<Time> since(const std::string &dataCentre) const;

    // Returns whether to request the state from another VM that reports this version. A VM that
    // reads the store gets each version from there a little earlier or later than other VMs do, so
    // it requests a version only if it has been behind for some time.
    bool isRequestDue(uint64_t reportedVersion, Time now);

private:
    Evacuations current_;
    bool isKnown_ = false;
    std::map<std::string, Time> since_; // by evacuated data centre
    std::optional<Time> behindSince_;   // first report of a newer version since the latest merge
};

} // namespace lovage
