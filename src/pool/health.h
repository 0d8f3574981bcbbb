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

// Records that a run has succeeded.
void recordSuccess(LeasedServer &server);
// Learns the speed of the server from a run that took `ran`, or is projected to take that long;
// `predicted` is its run time on an ordinary server. Returns the change of the learned slowness.
double recordRunTime(LeasedServer &server, Duration predicted, Duration ran);
// Takes back a change that was learned from a run that was as slow on another server.
void retractRunTime(LeasedServer &server, double change);
// Remembers the time of an ended run for the comparison with later ones.
void rememberEndedRun(LeasedServer &server, EndedRun run);
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
