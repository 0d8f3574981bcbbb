// Timetable of the free capacity of servers, used for one pass over the queued jobs.
#pragma once

#include "leased_server.h"

#include <vector>

namespace lovage::pool {

// Returns the time at which a run is expected to end, which is always after now.
Time expectedEnd(const Run &run, Time now);

// Free capacity of a server, and the times at which its runs are expected to release more.
class ServerTimetable
{
public:
    ServerTimetable(LeasedServer &server, double slowness, Time now);

    LeasedServer &server() const { return *server_; }
    double slowness() const { return slowness_; }
    // Returns the earliest time at which enough cores for the demand are free.
    Time earliestStart(const Demand &demand) const;
    // Reserves capacity for a task from `start` to `end`.
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
    Time freeFrom_; // time from which freeMilliCores_ are free
    uint32_t freeMilliCores_;
    std::vector<Release> releases_; // later releases of cores, sorted by time
};

using Timetable = std::vector<ServerTimetable>;

} // namespace lovage::pool
