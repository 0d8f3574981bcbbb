#include "lovage/evacuations.h"

namespace lovage {

namespace {

// Longer than a VM in touch with the store needs to read a record: the store delays a read by at
// most 0.5 s, and a failed one is repeated after 0.2 s.
constexpr Duration requestDelay = std::chrono::milliseconds(1000);

} // namespace

EvacuationState::Change EvacuationState::merge(Evacuations state, Time now)
{
    Change change;
    if (isKnown_ && state.version < current_.version)
        return change;
    if (!isKnown_ || state.version > current_.version)
        behindSince_.reset();
    isKnown_ = true;
    for (const std::string &dataCentre : state.dataCentres) {
        if (since_.try_emplace(dataCentre, now).second)
            change.begun.insert(dataCentre);
    }
    for (const std::string &dataCentre : current_.dataCentres) {
        if (!state.dataCentres.contains(dataCentre)) {
            since_.erase(dataCentre);
            change.ended.insert(dataCentre);
        }
    }
    current_ = std::move(state);
    return change;
}

bool EvacuationState::isEvacuated(const std::string &dataCentre) const
{
    return current_.dataCentres.contains(dataCentre);
}

std::optional<Time> EvacuationState::since(const std::string &dataCentre) const
{
    const auto found = since_.find(dataCentre);
    return found == since_.end() ? std::nullopt : std::optional(found->second);
}

bool EvacuationState::isRequestDue(uint64_t reportedVersion, Time now)
{
    if (reportedVersion <= current_.version)
        return false;
    if (!behindSince_)
        behindSince_ = now;
    return !isKnown_ || now >= *behindSince_ + requestDelay;
}

} // namespace lovage
