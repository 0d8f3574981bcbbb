// The simulated platform: a log service and a VM list that lags behind.
#pragma once

#include "lovagefake/ledger.h"

#include "lovage/backend.h"
#include "lovage/net.h"

#include <deque>
#include <functional>
#include <set>

namespace lovage::fake {

struct PlatformConfig
{
    Duration logRetention = std::chrono::hours(1);
    uint32_t maxAppendsPerSecond = 400;
    Duration appendDelay = std::chrono::milliseconds(5);
    Duration vmListLag = std::chrono::seconds(1);
};

// Each data centre has a listener of its own, which identifies the data centre of a request, so
// that one data centre can be cut off. Thread safe. Must be destroyed after IoThreads::stop().
class Platform
{
public:
    // Returns the VM list as a data centre sees it, without lag.
    using VmListSource = std::function<std::vector<backend::VmInfo>(const std::string &dataCentre)>;

    Platform(IoThreads &threads, Ledger &ledger, PlatformConfig config, VmListSource source,
             uint64_t seed);

    void handle(const std::string &dataCentre, const HttpRequest &request,
                const HttpServer::Reply &reply);
    // Faults of the target "log": outage (503), silent (no answer), slowMs, loseReply (share of
    // appends whose reply is dropped), drop (removes this many last records of each stream). Faults
    // of "vms": outage, lagMs, wrong (the first VM is missing and a VM that does not exist is
    // listed last). Returns false for an unknown fault.
    bool setFault(const std::string &target, const std::string &name, double value);
    void setCut(const std::string &dataCentre, bool isCut);

private:
    struct Stream
    {
        uint64_t first = 1;
        std::deque<std::pair<Time, std::string>> records;
        std::vector<std::function<void()>> waitingReads;
        uint64_t next() const { return first + records.size(); }
    };
    struct Snapshot
    {
        Time at;
        std::vector<backend::VmInfo> vms;
    };

    void append(const std::string &stream, std::string data, const HttpServer::Reply &reply);
    void read(const std::string &stream, uint64_t from, uint64_t max, Duration wait,
              const HttpServer::Reply &reply);
    void replyVmList(const std::string &dataCentre, const HttpServer::Reply &reply);
    void expire(Stream &stream, Time now);
    bool admitAppend(Time now);
    double fault(const std::string &name) const;

    IoThreads &threads_;
    Ledger &ledger_;
    PlatformConfig config_;
    VmListSource vmListSource_;
    std::recursive_mutex mutex_;
    std::map<std::string, double> faults_; // "target.name"
    std::set<std::string> cutDataCentres_;
    std::map<std::string, Stream> streams_;
    std::map<std::string, std::deque<Snapshot>> vmListSnapshots_; // by data centre
    std::vector<HttpServer::Reply> unansweredReplies_;
    std::deque<Time> recentAppends_; // times of the appends within the last second
    Random random_;
};

} // namespace lovage::fake
