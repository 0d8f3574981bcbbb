// Which VMs exchange reports. Each VM follows a bounded number of others, so that the traffic of a
// VM does not grow with the fleet. No I/O.
#pragma once

#include "lovage/routing.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace lovage {

struct ContactOptions
{
    // A fleet up to this size follows itself as a whole.
    size_t fullMeshLimit = 12;
    // Holders of the own data centre that are followed.
    size_t localPools = 6;
    // VMs of the data centre that are followed besides its holders, to take over from one.
    size_t standbys = 2;
    // Pools of other data centres that are followed; at least one of each.
    size_t remotePools = 8;
    // To VMs with which work is open, and from a holder to its data centre.
    Duration activeInterval = std::chrono::milliseconds(100);
    Duration idleInterval = std::chrono::milliseconds(350);
    // To a followed VM that is not heard; its address may be gone.
    Duration probeInterval = std::chrono::milliseconds(500);
    // A VM that has been asked for reports answers within this time, or another one is followed as
    // well.
    Duration answerTimeout = std::chrono::milliseconds(400);
    // Silent VMs of one data centre that are still asked.
    size_t maxProbed = 8;
    Duration planInterval = std::chrono::milliseconds(100);
    // Reports name the holders of their data centre so often; they rarely change.
    Duration holdersInterval = std::chrono::seconds(2);
};

// What the plan depends on at this VM.
struct ContactState
{
    bool isHolder = false;
    bool isDraining = false;
    uint32_t knownServers = 0;        // of its data centre
    std::set<std::string> offeredVms; // VMs that have work from here
    std::set<std::string> servedVms;  // VMs whose work is here
    // Keepers of stored jobs must hear every VM that could become one.
    bool needsAllVms = false;
};

// A report that is due.
struct ReportTarget
{
    std::string address;
    bool isFollowing = false;
    bool isFollower = false;
    Duration nextReportWithin {};

    auto operator<=>(const ReportTarget &) const = default;
};

// Followed are, in the own data centre, the holders and the VMs that would replace them; in each
// other one some of its holders, chosen by a hash so that the fleet spreads over them. A VM reports
// to those that it follows and to those that follow it. Single-threaded.
//
// Callers pass every VM that they learn of, note each report in the table before they ask what is
// due, and send what is due.
class ContactPlan
{
public:
    ContactPlan(ContactOptions options, HolderOptions holders, VmTable &vms)
        : options_(options), holderOptions_(holders), vms_(vms)
    { }

    void addVms(const std::vector<VmInfo> &vms);
    // Addresses of VMs that are not known by name yet.
    void addSeed(const std::string &address);
    // A report of a VM that has started to follow is answered at once.
    void scheduleReport(const std::string &vm);

    // The reports that are due. Takes `state()` only when the plan is made anew.
    template<class State>
    std::vector<ReportTarget> dueReports(State state, Time now)
    {
        if (now >= nextPlanAt_)
            makePlan(state(), now);
        return takeDue(now);
    }
    // Reports to everyone that would get one later, for a change that must be known at once.
    std::vector<ReportTarget> allReports(const ContactState &state, Time now);

    // Whether this VM should hold shards: it does not drain, knows the data centre, and there are
    // fewer holders and larger VMs than its servers need. A larger VM counts until it has been
    // asked for reports in vain.
    bool shouldHoldShards(const ContactState &state, Time now) const;

    // VMs that a newcomer needs to know: those of both data centres, and the followed ones.
    std::vector<VmInfo> introductionFor(const VmInfo &newcomer) const;
    // Holders of the own data centre that are heard, if reports name them now; empty otherwise.
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
    using Names = std::set<std::string>;

    void makePlan(const ContactState &state, Time now);
    Names chooseFollowed(const ContactState &state, Time now) const;
    void followOwnDataCentre(const ContactState &state, Time now, Names &followed) const;
    void followRemote(const std::string &dataCentre, size_t count, Time now, Names &followed) const;
    std::vector<std::string> chosenOf(const Names &holders, size_t count) const;
    Names holdersOf(const std::string &dataCentre, Time now) const;
    bool isReachable(const std::string &vm, Time now) const;
    void noteAbsence(Time now);
    // Whether the VMs of the data centre can be taken as known.
    bool isSettled(Time now) const;
    // Servers of the own data centre, as the best informed VM reports.
    uint32_t serversOf(const ContactState &state, Time now) const;
    Duration intervalFor(const std::string &vm, bool isFollowed, const ContactState &state,
                         Time now) const;
    std::vector<ReportTarget> takeDue(Time now);

    ContactOptions options_;
    HolderOptions holderOptions_;
    VmTable &vms_;
    std::map<std::string, VmInfo> byName_; // without this VM
    std::map<std::string, std::map<HolderRank, std::string>> byDataCentre_;
    std::map<std::string, Contact> contacts_; // by name
    Names absent_;                            // asked for reports in vain, and not heard since
    std::map<std::string, Time> seeds_;       // by address, with the time of the next report
    Names askedAsSeeds_;                      // and known by name since
    Time nextHoldersAt_ {};
    Time nextPlanAt_ {};
    Time nextDueAt_ {};
};

} // namespace lovage
