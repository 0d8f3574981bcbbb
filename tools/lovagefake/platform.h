// Log service and lagging VM list of the simulated platform.
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
    Duration listLag = std::chrono::seconds(1);
};

// Answers for every data centre through one listener each, so a cut data centre is known by its
// listener. Thread safe. Destroyed after IoThreads::stop().
class Platform
{
public:
    // Returns the VM list as a data centre sees it, without lag.
    using ListSource = std::function<std::vector<backend::VmInfo>(const std::string &dataCentre)>;

    Platform(IoThreads &threads, Ledger &ledger, PlatformConfig config, ListSource source,
             uint64_t seed);

    void handle(const std::string &dataCentre, const HttpRequest &request,
                const HttpServer::Reply &reply);
    // Faults of the target "log": outage (503), silent, slowMs, loseReply (share of appends), drop
    // (removes the last records); of "vms": outage, lagMs, wrong (a ghost VM appears and the last
    // entry VM is missing). False if there is no such fault.
    bool setFault(const std::string &target, const std::string &name, double value);
    void setCut(const std::string &dataCentre, bool isCut);

private:
    struct Stream
    {
        uint64_t first = 1;
        std::deque<std::pair<Time, std::string>> records;
        std::vector<std::function<void()>> waiting;
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
    void list(const std::string &dataCentre, const HttpServer::Reply &reply);
    void expire(Stream &stream, Time now);
    bool takeAppend(Time now);
    double fault(const std::string &name) const;

    IoThreads &threads_;
    Ledger &ledger_;
    PlatformConfig config_;
    ListSource source_;
    std::recursive_mutex mutex_;
    std::map<std::string, double> faults_; // "target.name"
    std::set<std::string> cut_;
    std::map<std::string, Stream> streams_;
    std::map<std::string, std::deque<Snapshot>> lists_; // by data centre
    std::vector<HttpServer::Reply> held_;
    std::deque<Time> appends_; // within the last second
    Random random_;
};

} // namespace lovage::fake
