// The state of another VM as this VM sees it.
#pragma once

#include "lovage/membership.h"

#include <deque>
#include <optional>

namespace lovage {

// Times of silence after which a VM is suspect and dead, and how flapping is damped.
struct LivenessRules
{
    Duration suspectAfter;
    Duration deadAfter;
    Duration flapWindow;
    Duration flapDelayMin;
    Duration flapDelayMax;
};

struct Peer
{
    Member member;
    bool isLocal = false;
    bool isSeed = false;
    bool isLeavingAnnounced = false;
    bool isListedLeaving = false;
    bool isLostReported = false;   // whether the loss of the current incarnation was reported
    bool isReportedUsable = false; // whether it was last reported as usable for lending
    Time lastDirectMessage {};     // last message from the VM itself
    uint64_t vmListVersion = 0;
    Time vmListSentAt {};
    std::deque<Time> deaths;         // within the flap window
    std::optional<Time> dampedUntil; // not Alive before this time, because the VM flaps

    bool isHeard() const { return member.incarnation != 0; }
    bool isLeaving() const { return isLeavingAnnounced || isListedLeaving; }
    // Whether the VM owns a share of the backend servers. A suspect VM keeps its share until it is
    // dead.
    bool ownsShare() const;
    // Whether the VM may be used for lending, as the relay, or as the successor for a ledger.
    bool isReachable() const { return member.state == MemberState::Alive && member.hearsThisVm; }

    // Resets the state for a higher incarnation. Returns whether this replaced a known incarnation
    // whose loss was not reported yet.
    bool replaceIncarnation(uint64_t incarnation, const LivenessRules &rules, Time now);
    // Recomputes the state. Returns whether the current incarnation has just been lost.
    bool updateState(const LivenessRules &rules, Time now);
    // Records that a message showed the VM to be alive.
    void markHeard(const LivenessRules &rules, Time now);

private:
    void recordDeath(const LivenessRules &rules, Time now);
    void dampIfFlapping(const LivenessRules &rules, Time now);
};

} // namespace lovage
