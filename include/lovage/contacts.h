// Selection of the VMs that exchange status reports. Each VM follows a bounded number of others, so
// that its traffic does not grow with the size of the fleet. This library performs no I/O.
#pragma once

#include "lovage/routing.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovage {

// Order in which the VMs of a data centre become shard holders: by descending CPU limit, then by
// name.
struct HolderRank
{
    uint32_t cpuMilliCores = 0;
    std::string name;

    bool operator==(const HolderRank &) const = default;
    std::strong_ordering operator<=>(const HolderRank &other) const
    {
        if (cpuMilliCores != other.cpuMilliCores)
            return other.cpuMilliCores <=> cpuMilliCores;
        return name <=> other.name;
    }
};

inline HolderRank rankOf(const VmInfo &vm)
{
    return {vm.cpuMilliCores, vm.name};
}

struct ContactOptions
{
    // In a fleet with up to this many other VMs, every VM follows all others.
    size_t fullMeshLimit = 12;
    // Maximum number of followed shard holders in the data centre of this VM.
    size_t localPools = 6;
    // Number of VMs of this VM's data centre that are followed in addition to its holders, as
    // replacements if a holder fails.
    size_t standbys = 2;
    // Number of followed pools in all other data centres together, but at least one in each.
    size_t remotePools = 8;
    // Interval of the reports to VMs that run jobs for this VM or for which this VM runs jobs, of
    // the reports from a holder to VMs of its data centre, and of all reports in a fleet within
    // fullMeshLimit.
    Duration activeInterval = std::chrono::milliseconds(100);
    // Interval of all other reports to reachable VMs.
    Duration idleInterval = std::chrono::milliseconds(350);
    // Interval of the reports to a followed VM that is not reachable. It may no longer have this
    // address.
    Duration probeInterval = std::chrono::milliseconds(500);
    // A VM that has not reported within this time after this VM has started to follow it is
    // unresponsive, and another VM is followed as well.
    Duration answerTimeout = std::chrono::milliseconds(400);
    // Maximum number of unresponsive VMs of one data centre that are still followed.
    size_t maxProbed = 8;
    // Interval at which the followed VMs are selected again.
    Duration planInterval = std::chrono::milliseconds(100);
    // Interval at which reports list the holders of the data centre, which rarely change.
    Duration holdersInterval = std::chrono::seconds(2);
};

// State of this VM that determines which VMs it follows and how often it reports.
struct ContactState
{
    bool isHolder = false;
    bool isDraining = false;
    uint32_t knownServers = 0; // number of backend servers that this VM knows in its data centre
    std::set<std::string> offeredVms; // VMs that run jobs for this VM
    std::set<std::string> servedVms;  // VMs that this VM runs jobs for
    // Set while stored jobs exist. Their keepers need the reports of every VM that could become a
    // keeper.
    bool needsAllVms = false;
};

// The receiver of a report that is due. The fields other than name and address go into the report.
struct ReportTarget
{
    std::string vm; // empty if the VM is known by its address only
    std::string address;
    bool isFollowing = false; // whether this VM follows the receiver
    bool isFollower = false;  // whether the receiver follows this VM
    Duration nextReportWithin {};

    auto operator<=>(const ReportTarget &) const = default;
};

// Decides which VMs this VM follows and when it sends reports to which VMs. In its own data centre
// a VM follows the shard holders and the VMs that would replace them. In each other data centre it
// follows some of the holders, selected by a hash so that followers spread evenly over them. A VM
// reports to the VMs that it follows and to those that follow it. Not thread-safe.
//
// Callers add every VM that they learn of, add each report to the VmTable before they request the
// reports that are due, and send these.
class ContactPlan
{
public:
    ContactPlan(ContactOptions options, HolderOptions holders, VmTable &vms)
        : options_(options), holderOptions_(holders), vms_(vms)
    { }

    void addVms(const std::vector<VmInfo> &vms);
    // Adds the address of a VM whose name is not known yet.
    void addSeed(const std::string &address);
    // Schedules an immediate report to a VM that has restarted or has started to follow this VM.
    void scheduleReport(const std::string &vm);

    // Returns the reports that are due. Calls state() only if the plan is updated.
    template<class State>
    std::vector<ReportTarget> dueReports(State state, Time now)
    {
        if (now >= nextPlanAt_)
            updatePlan(state(), now);
        return takeDueReports(now);
    }
    // Returns a report to every contact, whether or not it is due. This announces a change
    // immediately.
    std::vector<ReportTarget> allReports(const ContactState &state, Time now);

    // Returns whether this VM should hold shards. A holder that is not draining stays one. Another
    // VM becomes a holder if it is not draining, has had time to discover the VMs of its data
    // centre, and is one of the VMs that requiredHolders() selects for the servers there. VMs are
    // selected in HolderRank order, except that of VMs with equal processor shares the current
    // holders come first. VMs that are draining or unresponsive do not count.
    bool shouldHoldShards(const ContactState &state, Time now) const;
    // Returns whether this VM holds shards although larger VMs do so as well and are sufficient,
    // with a margin. Each of the selected holders must be reachable and must have reported that the
    // store has confirmed it. Of VMs with equal processor shares, none is surplus because of the
    // others alone.
    bool isSurplusHolder(const ContactState &state, Time now) const;

    // Returns the VMs that a new follower needs to know: the VMs of its data centre, the VMs of
    // this VM's data centre, and the VMs that this VM follows.
    std::vector<VmInfo> introductionFor(const VmInfo &newFollower) const;
    // Returns the reachable holders of this VM's data centre if reports list them now, and
    // nothing otherwise.
    std::vector<std::string> holdersToReport(Time now);
    size_t followedCount() const;
    size_t knownCount() const { return byName_.size(); }

private:
    struct Contact
    {
        bool isFollowed = false;
        bool isFollower = false;
        Time followedSince {};
        Duration interval {};
        Time nextReportAt {};
    };
    using VmNames = std::set<std::string>;

    struct HolderCandidate
    {
        uint32_t cpuMilliCores = 0;
        bool isHolder = false;
        std::string_view name;
    };
    std::vector<HolderCandidate> holderCandidates(const VmNames &holders,
                                                  const ContactState &state) const;
    void keepNeeded(std::vector<HolderCandidate> &candidates, uint32_t servers) const;
    bool isSelfIn(const std::vector<HolderCandidate> &candidates) const;

    void updatePlan(const ContactState &state, Time now);
    VmNames selectFollowed(const ContactState &state, Time now) const;
    void followLocal(const ContactState &state, Time now, VmNames &followed) const;
    void followRemote(const std::string &dataCentre, size_t count, Time now,
                      VmNames &followed) const;
    std::vector<std::string> selectHolders(const VmNames &holders, size_t count) const;
    VmNames holdersOf(const std::string &dataCentre, Time now) const;
    bool isReachable(const std::string &vm, Time now) const;
    void updateUnresponsive(Time now);
    // Returns whether this VM has had time to discover the VMs of its data centre.
    bool isDiscoveryComplete(Time now) const;
    // Returns the number of backend servers in this VM's data centre, which is the largest number
    // that this VM or a reachable one knows.
    uint32_t localServers(const ContactState &state, Time now) const;
    Duration intervalFor(const std::string &vm, bool isFollowed, const ContactState &state,
                         Time now) const;
    std::vector<ReportTarget> takeDueReports(Time now);

    ContactOptions options_;
    HolderOptions holderOptions_;
    VmTable &vms_;
    std::map<std::string, VmInfo> byName_; // all known VMs except this one, by name
    std::map<std::string, std::map<HolderRank, std::string>> byDataCentre_;
    // Interval and time of the reports to each VM that gets reports, by name of the VM.
    std::map<std::string, Contact> contacts_;
    VmNames unresponsive_; // names of the followed VMs that have not reported in time
    // Time of the next report to each VM whose name is not known yet, by address of the VM.
    std::map<std::string, Time> seeds_;
    // Names, learned since the last update of the plan, of VMs that were known by address only.
    VmNames identifiedSeeds_;
    Time nextHoldersAt_ {};
    Time nextPlanAt_ {};
    Time nextDueAt_ {};
};

} // namespace lovage
