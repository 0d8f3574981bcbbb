// Estimates the speed of a server and detects faulty servers from the runs that were placed on
// them.
#pragma once

#include "jobs.h"
#include "leased_server.h"

namespace lovage::pool {

// Returns the slowness of a server: the ratio of its run times to those on an ordinary server.
// `meanLogSlowness` is the mean logarithm of that ratio over the servers of the service; it stands
// in for the server's own ratio until there are enough samples.
double slownessOf(const LeasedServer &server, double meanLogSlowness);
Duration expectedRunTime(const LeasedServer &server, Duration predicted, double meanLogSlowness);

// Records that a run succeeded after `ran`; `predicted` is its run time on an ordinary server.
void recordSuccess(LeasedServer &server, Duration predicted, Duration ran);
// Records that a run, which has not ended yet, is projected to take `total`, much longer than
// expected.
void recordSlowRun(LeasedServer &server, Duration predicted, Duration total);
// Records a fault: an order that the server did not execute or a run that failed there. After
// several consecutive faults of different jobs the server is avoided for a while; faults of one job
// alone may be caused by the job itself. Returns whether the server is avoided from now on.
bool recordFault(LeasedServer &server, const std::string &job, const PoolOptions &options,
                 Time now);
// Places no new work on the server for a while, for twice as long as the last time.
void avoid(LeasedServer &server, const PoolOptions &options, Time now);
// Takes back one fault of the server, because the task that failed there also failed on another
// server.
void retractFault(LeasedServer &server);

} // namespace lovage::pool
