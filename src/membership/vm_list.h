// The VM list as last read from the platform or received from the relay, and the backend servers
// that it names.
#pragma once

#include "lovage/membership.h"

#include <map>
#include <optional>

namespace lovage {

class VmListState
{
public:
    explicit VmListState(Duration backendForgetAfter) : forgetAfter_(backendForgetAfter) { }

    // Replaces the list by one read from the platform. Returns the change as an update to the given
    // version, or nullopt if nothing changed.
    std::optional<VmListUpdate> replace(const std::vector<VmListEntry> &vms, uint64_t version,
                                        Time now);
    // Applies an update from the relay. Returns false if it is outdated or its base is not known.
    bool apply(const VmListUpdate &update, Time now);
    // The whole list as an update.
    VmListUpdate fullUpdate() const;
    // Drops backend servers that the list has lacked for backendForgetAfter, unless it lacks more
    // than half of all. Returns whether any was dropped.
    bool forgetAbsent(Time now);

    uint64_t version() const { return version_; }
    const VmListEntry *find(const std::string &name) const;
    const std::map<std::string, VmListEntry> &vms() const { return vms_; }
    // Includes servers that the list lacks, until forgetAbsent() drops them.
    std::vector<VmListEntry> backends() const;
    size_t stateBytes() const;

private:
    struct Backend
    {
        VmListEntry entry;
        std::optional<Time> absentSince;
    };

    void updateBackends(Time now);

    Duration forgetAfter_;
    uint64_t version_ = 0; // 0 before the first list
    std::map<std::string, VmListEntry> vms_;
    std::map<std::string, Backend> backends_;
};

} // namespace lovage
