// Exchanges with backend servers: starts, results, inquiries, stops and leases.
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
    BackendLink(IoThreads &threads, Shared &shared);

    // The span is finished by the reply.
    void start(const BackendInfo &info, SendStarts starts, std::optional<Span> span, Time now);
    void inquire(const BackendInfo &info, const SendInquiry &inquiry);
    void stop(const BackendInfo &info, const SendStop &stop);

    // Events for the Dispatcher that follow from an answer of a worker.
    std::vector<Event> handle(WorkerResults results, Time now);
    void handle(const LeaseAnswer &answer);
    // Notes which tasks have ended. Called for every event on its way to the Dispatcher.
    void observe(const Event &event);
    // Polls, renews leases and reports lapsed ones. Called at least every 100 ms.
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
        Time activeUntil {}; // tasks that were not reported by then are given up
    };

    HttpClient &clientOf(uint32_t backend) { return *clients_[backend % clients_.size()]; }
    void ask(const BackendInfo &info, uint32_t backend, uint64_t exchange,
             const std::vector<TaskId> &ids, const char *target);
    void poll(uint32_t backend, WorkerSession &session);
    void renew(uint32_t backend, WorkerSession &session, Time now);

    IoThreads &threads_;
    Shared &shared_;
    std::vector<std::unique_ptr<HttpClient>> clients_; // one for each I/O thread
    std::map<uint32_t, WorkerSession> workers_;
};

} // namespace lovage::daemon
