// State of one other VM as this VM sees it.
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
    bool saidLeaving = false;
    bool isListedLeaving = false;
    bool isLostReported = false; // for the current incarnation
    bool isUsable = false;       // last reported as usable for lending
    Time lastDirect {};          // last message from the VM itself
    uint64_t vmListVersion = 0;
    Time vmListSentAt {};
    std::deque<Time> deaths;       // within the flap window
    std::optional<Time> heldUntil; // not alive before this time, because it flaps

    bool isHeard() const { return member.incarnation != 0; }
    bool isLeaving() const { return saidLeaving || isListedLeaving; }
    // May own a share of the backend servers. Suspect VMs keep theirs until they are dead.
    bool ownsShare() const;
    // May be lent to, relay, or take over a ledger.
    bool isReachable() const { return member.state == MemberState::Alive && member.hearsThisVm; }

    // Adopts a higher incarnation. Returns whether one that was heard of before was replaced.
    bool adopt(uint64_t incarnation, const LivenessRules &rules, Time now);
    // Recomputes the state. Returns whether the current incarnation has just been lost.
    bool updateState(const LivenessRules &rules, Time now);
    // A message showed that the VM is alive.
    void markHeard(const LivenessRules &rules, Time now);

private:
    void recordDeath(const LivenessRules &rules, Time now);
    void holdIfFlapping(const LivenessRules &rules, Time now);
};

} // namespace lovage
