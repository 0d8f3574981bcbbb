#include "peer.h"

#include <algorithm>

namespace lovage {

namespace {

// One death is an ordinary failure or replacement; the second within the window is flapping.
constexpr size_t toleratedDeaths = 1;

} // namespace

bool Peer::ownsShare() const
{
    const bool isUp = member.state == MemberState::Alive || member.state == MemberState::Suspect;
    return isLocal && isHeard() && isUp && !dampedUntil;
}

void Peer::recordDeath(const LivenessRules &rules, Time now)
{
    while (!deaths.empty() && now - deaths.front() > rules.flapWindow)
        deaths.pop_front();
    deaths.push_back(now);
}

// Delays the return of a flapping VM to Alive, so that shares and the relay do not move each time
// it returns.
void Peer::dampIfFlapping(const LivenessRules &rules, Time now)
{
    while (!deaths.empty() && now - deaths.front() > rules.flapWindow)
        deaths.pop_front();
    if (deaths.size() <= toleratedDeaths)
        return;
    constexpr size_t maxDoublings = 16;
    const size_t doublings = std::min(deaths.size() - toleratedDeaths - 1, maxDoublings);
    dampedUntil = now + std::min(rules.flapDelayMax, rules.flapDelayMin * (1 << doublings));
}

bool Peer::replaceIncarnation(uint64_t incarnation, const LivenessRules &rules, Time now)
{
    const bool isReplacement = member.incarnation != 0;
    if (isReplacement) {
        recordDeath(rules, now);
        dampIfFlapping(rules, now);
    }
    const bool isLost = isReplacement && !isLostReported;
    member.incarnation = incarnation;
    member.catalogueOffset = 0;
    member.capacity.clear();
    member.hearsThisVm = false;
    member.followsLog = false;
    isLeavingAnnounced = false;
    isLostReported = false;
    vmListVersion = 0;
    return isLost;
}

void Peer::markHeard(const LivenessRules &rules, Time now)
{
    if (member.state == MemberState::Dead && isHeard()) {
        isLostReported = false;
        dampIfFlapping(rules, now);
    }
    member.lastHeard = std::max(member.lastHeard, now);
}

bool Peer::updateState(const LivenessRules &rules, Time now)
{
    const Duration silence = now - member.lastHeard;
    if (dampedUntil && now >= *dampedUntil)
        dampedUntil.reset();
    const bool wasDead = member.state == MemberState::Dead;
    if (silence >= rules.deadAfter)
        member.state = MemberState::Dead;
    else if (isLeaving())
        member.state = MemberState::Leaving;
    else if (silence >= rules.suspectAfter || dampedUntil || !isHeard())
        member.state = MemberState::Suspect;
    else
        member.state = MemberState::Alive;
    if (member.state != MemberState::Dead || wasDead || !isHeard())
        return false;
    recordDeath(rules, now);
    dampedUntil.reset();
    member.hearsThisVm = false;
    const bool isNew = !isLostReported;
    isLostReported = true;
    return isNew;
}

} // namespace lovage
