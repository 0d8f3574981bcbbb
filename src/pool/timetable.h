// When each server has room for a task, in one pass over the waiting jobs.
#pragma once

#include "leased_server.h"

#include <vector>

namespace lovage::pool {

// When a run is expected to end; never before now.
Time expectedEnd(const Run &run, Time now);

// One server with its free room and the times at which its runs are expected to end.
class ServerTimetable
{
public:
    ServerTimetable(LeasedServer &server, double slowness, Time now);

    LeasedServer &server() const { return *server_; }
    double slowness() const { return slowness_; }
    // Earliest time at which a task with this demand can start there.
    Time earliestStart(const Demand &demand) const;
    // Keeps the room from `start` for a task that ends at `end`.
    void reserve(const Demand &demand, Time start, Time end);

private:
    struct Release
    {
        Time at;
        uint32_t milliCores = 0;

        auto operator<=>(const Release &) const = default;
    };

    LeasedServer *server_;
    double slowness_;
    Time freeFrom_; // the free room below is there from then on
    uint32_t freeMilliCores_;
    std::vector<Release> releases_; // sorted
};

using Timetable = std::vector<ServerTimetable>;

} // namespace lovage::pool
