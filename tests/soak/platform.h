// What the platform provides in a soak: the store, and backend servers behind proxies.
#pragma once

#include "options.h"
#include "proxy.h"
#include "servers.h"

#include <memory>
#include <vector>

namespace lovage::soak {

class Platform
{
public:
    Platform(const Options &options, boost::asio::io_context &proxies, Ledger &ledger)
        : store_(threads_)
    {
        for (uint32_t i = 0; i < options.servers; ++i) {
            const std::string dataCentre = dataCentreName(i % dataCentreCount(options));
            servers_.push_back(std::make_unique<Server>(threads_, ledger, "e" + std::to_string(i),
                                                        dataCentre));
            serverProxies_.push_back(std::make_unique<Proxy>(proxies, loopback(0),
                                                             loopback(servers_.back()->port())));
            registerServer(i);
        }
        publishConfig();
    }
    ~Platform() { threads_.stop(); }
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;

    uint16_t storePort() const { return store_.endpoint().port; }
    test::FakeStore &store() { return store_; }
    size_t serverCount() const { return servers_.size(); }
    Proxy &serverProxy(size_t server) { return *serverProxies_[server]; }

    void restartServer(size_t server)
    {
        servers_[server]->restart();
        registerServer(server);
    }
    void publishConfig()
    {
        store_.put("keyed.op", "config",
                   fmt::format(R"({{"version":{},"routes":[{{"name":"r","host":"work.example",)"
                               R"("path_prefix":"/a/","timeout_ms":3000,"slo_ms":500,)"
                               R"("service":"s","attempts":3,"stretch_factor":3}}]}})",
                               ++configVersion_));
    }

private:
    void registerServer(size_t server)
    {
        store_.put("keyed.servers", servers_[server]->id(),
                   servers_[server]->storeRecord(serverProxies_[server]->port()));
    }

    IoThreads threads_ {1};
    test::FakeStore store_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Proxy>> serverProxies_;
    uint64_t configVersion_ = 0;
};

} // namespace lovage::soak
