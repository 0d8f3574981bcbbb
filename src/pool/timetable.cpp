#include "timetable.h"

#include <algorithm>

namespace lovage::pool {

namespace {

// Minimum remaining time of a run. An overdue run is expected to continue for as long as it has
// been overdue, so that no task waits for a run that hangs.
constexpr Duration minRemaining = std::chrono::milliseconds(10);

} // namespace

Time expectedEnd(const Run &run, Time now)
{
    const Time due = run.orderedAt + run.expected;
    return std::max(due, now + std::max(minRemaining, now - due));
}

ServerTimetable::ServerTimetable(LeasedServer &server, double slowness, Time now)
    : server_(&server), slowness_(slowness), freeFrom_(now),
      freeMilliCores_(server.freeMilliCores())
{
    for (const auto &[task, run] : server.runs())
        releases_.push_back({expectedEnd(run, now), run.demand.milliCores});
    std::sort(releases_.begin(), releases_.end());
}

Time ServerTimetable::earliestStart(const Demand &demand) const
{
    uint32_t free = freeMilliCores_;
    Time start = freeFrom_;
    for (const Release &release : releases_) {
        if (free >= demand.milliCores)
            break;
        free += release.milliCores;
        start = std::max(start, release.at);
    }
    return start;
}

void ServerTimetable::reserve(const Demand &demand, Time start, Time end)
{
    auto used = releases_.begin();
    while (used != releases_.end() && freeMilliCores_ < demand.milliCores) {
        freeMilliCores_ += used->milliCores;
        ++used;
    }
    releases_.erase(releases_.begin(), used);
    freeMilliCores_ -= std::min(freeMilliCores_, demand.milliCores);
    freeFrom_ = std::max(freeFrom_, start);
    const Release release {end, demand.milliCores};
    releases_.insert(std::upper_bound(releases_.begin(), releases_.end(), release), release);
}

} // namespace lovage::pool
