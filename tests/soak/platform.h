// What the platform provides in a soak: the store, and backend servers behind proxies.
#pragma once

#include "options.h"
#include "proxy.h"
#include "server_entries.h"

#include <memory>
#include <vector>

namespace lovage::soak {

class Platform
{
public:
    Platform(const Options &options, boost::asio::io_context &proxies, Ledger &ledger)
        : log_(options.folder), store_(threads_), entries_(threads_, store_, log_, options.seed),
          random_(options.seed),
          mayClocksStep_(options.hasServerFaults && !options.excludedFaults.contains(clockBack))
    {
        for (uint32_t i = 0; i < options.servers; ++i) {
            const std::string dataCentre = dataCentreName(i % dataCentreCount(options));
            servers_.push_back(std::make_unique<Server>(
                    threads_, ledger, log_, "e" + std::to_string(i), dataCentre, random_.next()));
            serverProxies_.push_back(std::make_unique<Proxy>(proxies, loopback(0),
                                                             loopback(servers_.back()->port())));
            entries_.add(*servers_.back(), serverProxies_.back()->port());
        }
        publishConfig();
    }
    ~Platform() { threads_.stop(); }
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    uint16_t storePort() const { return store_.endpoint().port; }
    size_t serverCount() const { return servers_.size(); }
    Server &server(size_t server) { return *servers_[server]; }
    Proxy &serverProxy(size_t server) { return *serverProxies_[server]; }
    ServerEntries &entries() { return entries_; }
    const ServerLog &serverLog() const { return log_; }

    void crashServer(size_t server)
    {
        const bool isSilent = random_.unit() < 0.5;
        servers_[server]->crash(isSilent);
        if (!isSilent)
            serverProxies_[server]->reset();
    }
    // The new incarnation writes its entry immediately or with the next heartbeat.
    void bootServer(size_t server)
    {
        servers_[server]->boot(mayClocksStep_ && random_.unit() < clockStepShare);
        if (random_.unit() < 0.5)
            entries_.refresh(server);
    }
    void restartServer(size_t server)
    {
        crashServer(server);
        bootServer(server);
    }
    // Requests the evacuation of a data centre, or withdraws the request.
    void setEvacuated(const std::string &dataCentre, bool isEvacuated)
    {
        store_.put("keyed.op", "evacuate/" + dataCentre, isEvacuated ? "{}" : "");
    }
    void compactOperatorRecords() { store_.compact("keyed.op"); }
    void publishConfig()
    {
        store_.put("keyed.op", "config",
                   fmt::format(R"({{"version":{},"routes":[{{"name":"r","host":"work.example",)"
                               R"("path_prefix":"/a/","timeout_ms":3000,"slo_ms":500,)"
                               R"("service":"s","attempts":3,"stretch_factor":3}}]}})",
                               ++configVersion_));
    }

private:
    // Name of the fault that a server restarts after its wall clock was set back.
    static constexpr const char *clockBack = "clock-back";
    static constexpr double clockStepShare = 0.1; // of the restarts

    IoThreads threads_ {1};
    ServerLog log_;
    test::FakeStore store_;
    ServerEntries entries_;
    Random random_; // used by the thread that injects the faults
    bool mayClocksStep_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Proxy>> serverProxies_;
    uint64_t configVersion_ = 0;
};

} // namespace lovage::soak
