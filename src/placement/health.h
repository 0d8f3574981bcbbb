#pragma once

#include "lovage/placement.h"

#include <vector>

namespace lovage::placement {

struct HealthOptions
{
    uint32_t failuresToEject = 5;
    double maxEjectedShare = 1.0 / 3;
    Duration initialProbeDelay = std::chrono::seconds(1);
    Duration maxProbeDelay = std::chrono::seconds(60);
};

// Tells failing servers from faulty work. Work is a pair of class and owner, numbered by the
// caller. A failure is held against a server only as far as the same work does better on others.
class Health
{
public:
    explicit Health(HealthOptions options) : options_(options) { }

    void resize(size_t backends);
    void ensureWork(uint32_t work);
    // Counted servers are those in use (own share, not leaving, still known).
    void setCounted(uint32_t backend, BackendKind kind, bool counted);
    // Reinstates servers when the share has shrunk, so that the cap on ejections holds.
    void enforceCap();

    void started(uint32_t backend);
    // begun is when the attempt began to run, or now if unknown.
    void ended(uint32_t backend, uint32_t work, AttemptOutcome end, Time begun, Time now);

    // Largest number of outstanding tasks the server may have now. Bounds the failures on a server
    // that turns out to be a black hole.
    uint32_t allowance(uint32_t backend, Time now) const;
    bool isEjected(uint32_t backend) const { return servers_[backend].ejected; }
    bool isProbeDue(uint32_t backend, Time now) const;
    uint32_t streak(uint32_t backend) const;
    size_t ejectedCount() const;

    static constexpr uint32_t unlimited = UINT32_MAX;

private:
    enum class Latest : uint8_t { Unknown, Succeeded, Failed };
    struct Failure
    {
        uint32_t work = 0;
        bool lost = false;
    };
    struct Server
    {
        BackendKind kind = BackendKind::Executor;
        bool counted = false;
        bool ejected = false;
        bool proven = false;           // has succeeded since it is known
        uint32_t probes = 0;           // outstanding tasks started while ejected
        std::vector<Failure> failures; // consecutive ones, latest last
        Time firstFailure {};
        Time ejectedAt {};
        Time nextTry {}; // ejected: next probe; suspect: end of the pause
        Duration probeDelay {};
        uint32_t limit = UINT32_MAX;
    };
    // Latest event and the latest one on a different server.
    struct Recent
    {
        uint32_t server = UINT32_MAX;
        Time at {};
        Time otherAt {};
        void note(uint32_t backend, Time time);
        Time elsewhere(uint32_t backend) const { return server == backend ? otherAt : at; }
    };
    struct Work
    {
        std::vector<Latest> latest; // by server
        uint32_t failed = 0;
        uint32_t succeeded = 0;
        Recent success; // begin of the attempts
        Recent failure;
        // Results on servers that proved healthy afterwards, decaying.
        double healthyFailures = 0;
        double healthySuccesses = 0;
    };
    struct Evidence
    {
        uint32_t counted = 0;
        bool supported = false;
        double chance = 1; // that a healthy server shows this streak
    };

    void noteResult(uint32_t backend, uint32_t work, bool succeeded, Time begun);
    void confirmHealthy(uint32_t backend);
    void forgetResults(uint32_t backend);
    bool isFaulty(const Work &work, size_t backend) const;
    static double failureShare(const Work &work);
    Evidence weigh(uint32_t backend) const;
    void judge(uint32_t backend, Time now);
    void reviewSuspects(Time now);
    void suspect(uint32_t backend, Time now, Duration pause);
    void eject(uint32_t backend, Time now);
    void reinstate(uint32_t backend);
    void reviewEjected(uint32_t work);
    size_t ejectedCount(BackendKind kind) const;
    size_t largestEjected(BackendKind kind) const;

    HealthOptions options_;
    std::vector<Server> servers_;
    std::vector<Work> works_;
    std::vector<uint32_t> suspects_;
};

} // namespace lovage::placement
