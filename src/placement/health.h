#pragma once

#include "lovage/placement.h"

#include <vector>

namespace lovage::placement {

struct HealthOptions
{
    uint32_t failuresToEject = 5;
    // Maximum fraction of the servers of one kind in use that may be ejected at the same time.
    double maxEjectedShare = 1.0 / 3;
    Duration initialProbeDelay = std::chrono::seconds(1);
    Duration maxProbeDelay = std::chrono::seconds(60);
};

// Detects failing servers (outlier ejection) and distinguishes them from faulty workloads. A
// workload is a pair of class and owner, numbered by the caller. A failure counts as evidence
// against a server only as far as the same workload does better on other servers.
class Health
{
public:
    explicit Health(HealthOptions options) : options_(options) { }

    void resize(size_t backends);
    void ensureWorkload(uint32_t number);
    // Sets whether a server is in use: known, in the share of this VM and not leaving. The limit on
    // ejections is a fraction of the servers of one kind that are in use.
    void setInUse(uint32_t backend, BackendKind kind, bool inUse);
    // Reinstates servers, in the order of their ejection, until the limit on ejections holds again
    // after the share of this VM has become smaller.
    void enforceEjectionLimit();

    void started(uint32_t backend);
    // Evaluates the result of an attempt. begun is the time at which the attempt began to run, or
    // now if that is unknown.
    void ended(uint32_t backend, uint32_t workload, AttemptOutcome outcome, Time begun, Time now);

    // Largest number of outstanding tasks the server may have now. It bounds the failures on a
    // server that fails all tasks quickly (a black hole).
    uint32_t outstandingLimit(uint32_t backend, Time now) const;
    bool isEjected(uint32_t backend) const { return servers_[backend].ejected; }
    bool isProbeDue(uint32_t backend, Time now) const;
    uint32_t consecutiveFailures(uint32_t backend) const;
    size_t ejectedCount() const;

    static constexpr uint32_t unlimited = UINT32_MAX;

private:
    enum class LatestResult : uint8_t { Unknown, Succeeded, Failed };
    struct Failure
    {
        uint32_t workload = 0;
        bool lost = false;
    };
    struct Server
    {
        BackendKind kind = BackendKind::Executor;
        bool inUse = false;
        bool ejected = false;
        bool hasSucceeded = false;     // whether an attempt has succeeded since the server is known
        uint32_t probes = 0;           // number of outstanding tasks started while ejected
        std::vector<Failure> failures; // consecutive failures, latest last
        Time firstFailure {};
        Time ejectedAt {};
        // Earliest time of the next start: the next probe of an ejected server, or the end of the
        // pause of a suspect.
        Time nextStart {};
        Duration probeDelay {};
        uint32_t limit = UINT32_MAX; // maximum number of outstanding tasks on the server
    };
    // Latest successes or failures of a workload.
    struct RecentEvents
    {
        uint32_t server = UINT32_MAX; // server of the latest event
        Time latest {};               // time of the latest event on that server
        Time latestOnOther {};        // time of the latest event on any other server
        void record(uint32_t backend, Time time);
        // Returns the time of the latest event on any server except the given one.
        Time excluding(uint32_t backend) const
        {
            return server == backend ? latestOnOther : latest;
        }
    };
    struct Workload
    {
        std::vector<LatestResult> latestResults; // latest result on each server, by server index
        uint32_t failedServers = 0;    // number of servers whose latest result is a failure
        uint32_t succeededServers = 0; // number of servers whose latest result is a success
        // The time of an event is the time at which the attempt began.
        RecentEvents successes;
        RecentEvents failures;
        // Decaying counts of the results on servers that were found healthy afterwards.
        double healthyFailures = 0;
        double healthySuccesses = 0;
    };
    struct Evidence
    {
        // Number of consecutive failures of the server, except failures of faulty workloads.
        uint32_t failures = 0;
        // Whether lost attempts or the results on other servers confirm that the server is at
        // fault.
        bool isConfirmed = false;
        // Probability that a healthy server shows these consecutive failures.
        double probability = 1;
    };

    void recordResult(uint32_t backend, uint32_t number, bool succeeded, Time begun);
    void chargeFailuresToWorkloads(uint32_t backend);
    void forgetResults(uint32_t backend);
    bool isFaulty(const Workload &workload, size_t backend) const;
    static double failureRate(const Workload &workload);
    Evidence evidenceAgainst(uint32_t backend) const;
    void evaluate(uint32_t backend, Time now);
    void reevaluateSuspects(Time now);
    void markSuspect(uint32_t backend, Time now, Duration pause);
    void eject(uint32_t backend, Time now);
    void reinstate(uint32_t backend);
    void reevaluateEjected(uint32_t number);
    size_t ejectedCount(BackendKind kind) const;
    size_t maxEjected(BackendKind kind) const;

    HealthOptions options_;
    std::vector<Server> servers_;
    std::vector<Workload> workloads_;
    std::vector<uint32_t> suspects_;
};

} // namespace lovage::placement
