// HTTP calls to backend servers: starts, results, inquiries, stops and leases.
#pragma once

#include "shared.h"

#include "lovage/net.h"

#include <boost/unordered/unordered_flat_set.hpp>

#include <map>

namespace lovage::daemon {

// Carries out the actions of the Dispatcher that concern backend servers. Replies go into the input
// queue. The functions are called by the decision thread; encoding and parsing run on I/O threads.
//
// A worker is polled for results and its leases are renewed only while it holds tasks of this VM,
// so that an idle VM sends nothing to workers.
class BackendLink
{
public:
    BackendLink(IoThreads &threads, SharedState &shared);

    // Sends a start call. The reply finishes the span.
    void start(const BackendInfo &info, SendStarts starts, std::optional<Span> span, Time now);
    void inquire(const BackendInfo &info, const SendInquiry &inquiry);
    void stop(const BackendInfo &info, const SendStop &stop);

    // Returns the events for the Dispatcher that follow from a worker's reply.
    std::vector<Event> handle(WorkerResults results, Time now);
    void handle(const LeaseAnswer &answer);
    // Removes ended tasks from the worker sessions. Must see every event that goes to the
    // Dispatcher.
    void observe(const Event &event);
    // Polls workers, renews leases and returns events for expired leases. Must be called at least
    // every 100 ms.
    std::vector<Event> tick(Time now);

private:
    struct WorkerSession
    {
        Endpoint endpoint;
        boost::unordered_flat_set<uint64_t> outstanding; // hashes of task ids
        uint64_t acknowledged = 0;
        bool isPolling = false;
        bool isRenewing = false;
        Time nextPoll {};
        Time nextRenewal {};
        Time renewedAt {};
        Time activeUntil {}; // tasks without a result by then are dropped
    };

    HttpClient &clientOf(uint32_t backend) { return *clients_[backend % clients_.size()]; }
    void sendTaskIds(const BackendInfo &info, uint32_t backend, uint64_t exchange,
                     const std::vector<TaskId> &ids, const char *target);
    void poll(uint32_t backend, WorkerSession &session);
    void renew(uint32_t backend, WorkerSession &session, Time now);

    IoThreads &threads_;
    SharedState &shared_;
    std::vector<std::unique_ptr<HttpClient>> clients_; // one for each I/O thread
    std::map<uint32_t, WorkerSession> workers_;
};

} // namespace lovage::daemon
