// References to the metrics of the daemon, so that updates need no lookup by name.
#pragma once

#include "lovage/dispatch.h"
#include "lovage/net.h"
#include "lovage/telemetry.h"

#include <string>

namespace lovage::daemon {

// Byte and message counters of one kind of traffic, by direction.
struct TrafficCounters
{
    TrafficCounters(Metrics &metrics, const std::string &traffic, const std::string &kind);

    void sent(size_t bytes);
    void received(size_t bytes);

    Counter &sentBytes;
    Counter &receivedBytes;
    Counter &sentMessages;
    Counter &receivedMessages;
};

// Size of an HTTP message on the wire, without the header fields that the client adds.
size_t wireBytes(const HttpRequest &request);
size_t wireBytes(const HttpResponse &response);

struct DaemonCounters
{
    explicit DaemonCounters(Metrics &metrics);

    // Adds the increase of the Dispatcher's counters since the last call to the metrics. Called by
    // the decision thread.
    void sync(const DispatchCounters &counters);

    TrafficCounters peerTraffic; // control messages only
    TrafficCounters workTraffic; // submissions and tasks between VMs
    TrafficCounters logTraffic;
    TrafficCounters vmListTraffic;
    TrafficCounters leaseTraffic;

    Counter &callerRequests;
    Counter &callerFailures; // answered with 4xx or 5xx
    LatencyHistogram &callerLatency;
    Counter &malformedPeerMessages;
    Counter &unauthorizedPeerMessages;
    Counter &replayedPeerMessages;
    Counter &stalePeerMessages;
    Counter &oversizePeerMessages;
    Counter &unroutablePeerMessages; // VM is dead or has no known address
    Counter &malformedServerAnswers;
    Counter &failedServerExchanges;
    Counter &leaseLapses;
    Counter &logErrors;
    Counter &vmListErrors;
    Counter &publishes;
    Counter &publishFailures;
    Gauge &catalogueOffset;
    Gauge &inFlight;
    Gauge &queuedTasks;
    Gauge &ejectedServers;
    Gauge &aliveMembers;
    Gauge &ledgerBytes;
    Gauge &ledgerRecords;
    Gauge &state; // DaemonState as a number
    Gauge &followerState;

private:
    struct Mirror
    {
        Counter *counter;
        uint64_t DispatchCounters::*field;
        uint64_t last = 0;
    };
    std::vector<Mirror> mirrors_;
};

// Returns processor time, resident memory, invariant violations and dropped trace spans of this
// process in the Prometheus text format.
std::string processMetricsText(const Tracer &tracer);

} // namespace lovage::daemon
