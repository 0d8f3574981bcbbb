// What the holder learns about a server from the runs it gave it: speed, and signs of a fault.
#pragma once

#include "jobs.h"
#include "leased_server.h"

namespace lovage::pool {

// Run time over that on an ordinary server. `common` is the mean logarithm of that ratio over the
// servers of the service, used for a server that is not known yet.
double slownessOf(const LeasedServer &server, double meanLogSlowness);
Duration expectedRunTime(const LeasedServer &server, Duration predicted, double meanLogSlowness);

// A run for which `predicted` was expected on an ordinary server has succeeded after `ran`.
void recordSuccess(LeasedServer &server, Duration predicted, Duration ran);
// A run is projected to take `total`, much longer than expected.
void recordSlowRun(LeasedServer &server, Duration predicted, Duration total);
// A run of the job has failed, stood still or vanished. Several in a row, of different jobs, close
// the server for a while: one job alone may be at fault itself. Returns whether it was closed now.
bool recordFault(LeasedServer &server, const std::string &job, const PoolOptions &options,
                 Time now);
// Closes the server for a while, twice as long as the last time.
void avoid(LeasedServer &server, const PoolOptions &options, Time now);
// The task that failed there failed elsewhere as well, so the server is not to blame.
void retractFault(LeasedServer &server);

} // namespace lovage::pool
