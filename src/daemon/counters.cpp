#include "counters.h"

#include <fmt/format.h>

#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace lovage::daemon {

namespace {

// Estimated size of the start line and of the header fields that every message has.
constexpr size_t httpOverheadBytes = 100;

size_t headerBytes(const std::vector<HttpHeader> &headers)
{
    size_t bytes = 0;
    for (const HttpHeader &header : headers)
        bytes += header.name.size() + header.value.size() + 4;
    return bytes;
}

Counter &directed(Metrics &metrics, const std::string &name, const std::string &help,
                  const std::string &kind, const std::string &direction)
{
    return metrics.counter(name, help, {{"kind", kind}, {"direction", direction}});
}

double seconds(const timeval &time)
{
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

uint64_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

size_t wireBytes(const HttpRequest &request)
{
    return httpOverheadBytes + request.target.size() + headerBytes(request.headers)
            + request.body.size();
}

size_t wireBytes(const HttpResponse &response)
{
    return httpOverheadBytes + headerBytes(response.headers) + response.body.size();
}

TrafficCounters::TrafficCounters(Metrics &metrics, const std::string &traffic,
                                 const std::string &kind)
    : sentBytes(directed(metrics, "lovage_" + traffic + "_bytes_total",
                         "Traffic of this kind in bytes", kind, "sent")),
      receivedBytes(directed(metrics, "lovage_" + traffic + "_bytes_total",
                             "Traffic of this kind in bytes", kind, "received")),
      sentMessages(directed(metrics, "lovage_" + traffic + "_messages_total",
                            "Messages of this kind", kind, "sent")),
      receivedMessages(directed(metrics, "lovage_" + traffic + "_messages_total",
                                "Messages of this kind", kind, "received"))
{ }

void TrafficCounters::sent(size_t bytes)
{
    sentBytes.add(bytes);
    sentMessages.add();
}

void TrafficCounters::received(size_t bytes)
{
    receivedBytes.add(bytes);
    receivedMessages.add();
}

DaemonCounters::DaemonCounters(Metrics &metrics)
    : peerTraffic(metrics, "control", "peer"), workTraffic(metrics, "work", "peer"),
      logTraffic(metrics, "control", "log"), vmListTraffic(metrics, "control", "vm-list"),
      leaseTraffic(metrics, "control", "lease"),
      callerRequests(metrics.counter("lovage_caller_requests_total", "Requests of callers")),
      callerFailures(metrics.counter("lovage_caller_failures_total",
                                     "Requests answered with a 4xx or 5xx status")),
      callerLatency(
              metrics.histogram("lovage_caller_seconds", "Time from a submission to its answer")),
      malformedPeerMessages(metrics.counter("lovage_peer_malformed_total",
                                            "Peer messages that could not be decoded")),
      unauthorizedPeerMessages(
              metrics.counter("lovage_peer_unauthorized_total",
                              "Peer messages without a valid signature for this VM")),
      replayedPeerMessages(metrics.counter("lovage_peer_replayed_total", "Repeated peer messages")),
      stalePeerMessages(metrics.counter("lovage_peer_stale_total",
                                        "Peer messages of an earlier incarnation")),
      oversizePeerMessages(
              metrics.counter("lovage_peer_oversize_total", "Peer messages too large to be sent")),
      unroutablePeerMessages(metrics.counter("lovage_peer_unknown_total",
                                             "Messages to a VM without a known address")),
      malformedServerAnswers(metrics.counter("lovage_server_malformed_answers_total",
                                             "Answers of backend servers not understood")),
      failedServerExchanges(metrics.counter("lovage_server_failed_exchanges_total",
                                            "Exchanges with backend servers without an answer")),
      leaseLapses(metrics.counter("lovage_lease_lapses_total", "Leases not renewed in time")),
      logErrors(metrics.counter("lovage_log_errors_total", "Failed calls of the log service")),
      vmListErrors(metrics.counter("lovage_vm_list_errors_total", "Failed polls of the VM list")),
      publishes(metrics.counter("lovage_publishes_total", "Accepted catalogue changes")),
      publishFailures(metrics.counter("lovage_publish_failures_total",
                                      "Refused, conflicting or unknown catalogue changes")),
      catalogueOffset(metrics.gauge("lovage_catalogue_offset", "Log offset in force")),
      inFlight(metrics.gauge("lovage_in_flight", "Unanswered submissions")),
      queuedTasks(metrics.gauge("lovage_queued_tasks", "Tasks that wait for a start")),
      ejectedServers(metrics.gauge("lovage_ejected_servers", "Ejected backend servers")),
      aliveMembers(metrics.gauge("lovage_alive_members", "Other entry VMs that are alive")),
      ledgerBytes(metrics.gauge("lovage_ledger_bytes", "Bytes of the ledger")),
      ledgerRecords(metrics.gauge("lovage_ledger_records", "Submissions in the ledger")),
      state(metrics.gauge("lovage_state", "0 starting, 1 serving, 2 draining, 3 stopped")),
      followerState(metrics.gauge("lovage_follower_state",
                                  "0 empty, 1 following the log, 2 following peers, 3 log behind"))
{
    const auto mirror = [&](const char *name, const char *help, uint64_t DispatchCounters::*field) {
        mirrors_.push_back({&metrics.counter(name, help), field});
    };
    using C = DispatchCounters;
    mirror("lovage_starts_total", "Tasks sent to backend servers", &C::starts);
    mirror("lovage_start_messages_total", "Start messages", &C::startMessages);
    mirror("lovage_lends_total", "Tasks lent to peers", &C::lends);
    mirror("lovage_borrowed_total", "Tasks borrowed from peers", &C::borrowed);
    mirror("lovage_refused_starts_total", "Starts that servers refused", &C::refusedStarts);
    mirror("lovage_lost_starts_total", "Tasks whose start reply was lost", &C::lostStarts);
    mirror("lovage_inquiries_total", "Inquiry messages", &C::inquiries);
    mirror("lovage_stops_total", "Stop messages", &C::stops);
    mirror("lovage_retries_total", "Retried tasks", &C::retries);
    mirror("lovage_cancelled_tasks_total", "Tasks never sent", &C::cancelledTasks);
    mirror("lovage_late_replies_total", "Replies about ended attempts", &C::lateReplies);
    mirror("lovage_pauses_total", "Pauses of this process", &C::pauses);
    mirror("lovage_completed_total", "Submissions answered completely", &C::completed);
    mirror("lovage_failed_not_run_total", "Submissions failed as not run", &C::failedNotRun);
    mirror("lovage_failed_may_have_run_total", "Submissions that may have run",
           &C::failedMayHaveRun);
    mirror("lovage_failed_ran_total", "Submissions failed after they ran", &C::failedRan);
}

void DaemonCounters::sync(const DispatchCounters &counters)
{
    for (Mirror &mirror : mirrors_) {
        const uint64_t value = counters.*mirror.field;
        mirror.counter->add(value - mirror.last);
        mirror.last = value;
    }
}

std::string processMetricsText(const Tracer &tracer)
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    std::string text;
    fmt::format_to(std::back_inserter(text),
                   "# HELP process_cpu_seconds_total Processor time of this process\n"
                   "# TYPE process_cpu_seconds_total counter\n"
                   "process_cpu_seconds_total {:.6f}\n"
                   "# HELP process_resident_memory_bytes Resident memory of this process\n"
                   "# TYPE process_resident_memory_bytes gauge\n"
                   "process_resident_memory_bytes {}\n"
                   "# HELP lovage_dropped_spans_total Trace spans dropped by the full buffer\n"
                   "# TYPE lovage_dropped_spans_total counter\n"
                   "lovage_dropped_spans_total {}\n"
                   "# HELP lovage_invariant_violations_total Violated invariants by promise\n"
                   "# TYPE lovage_invariant_violations_total counter\n",
                   seconds(usage.ru_utime) + seconds(usage.ru_stime), residentBytes(),
                   tracer.droppedSpans());
    for (int i = 0; i < static_cast<int>(Promise::Count_); ++i) {
        const auto promise = static_cast<Promise>(i);
        fmt::format_to(std::back_inserter(text),
                       "lovage_invariant_violations_total{{promise=\"{}\"}} {}\n",
                       toString(promise), invariantViolations(promise));
    }
    return text;
}

} // namespace lovage::daemon
