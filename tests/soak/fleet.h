// The VMs of a soak: one daemon each, with proxies in front of its ports and of the store.
#pragma once

#include "daemon.h"
#include "options.h"
#include "peer_proxy.h"

#include "lovage/net.h"

#include <filesystem>
#include <memory>
#include <vector>

namespace lovage::soak {

class Fleet
{
public:
    Fleet(const Options &options, boost::asio::io_context &proxies, uint16_t storePort)
        : options_(options), addresses_(options.seed), network_(options.vms)
    {
        std::filesystem::create_directories(options.folder);
        for (size_t vm = 0; vm < options.vms; ++vm) {
            requireFreeAddress(vm);
            storeProxies_.push_back(
                    std::make_unique<Proxy>(proxies, loopback(0), loopback(storePort)));
            callerProxies_.push_back(std::make_unique<Proxy>(
                    proxies, httpEndpoint(addresses_.proxy(vm)), httpEndpoint(addresses_.vm(vm))));
            peerProxies_.push_back(std::make_unique<PeerProxy>(proxies, addresses_, network_, vm));
            daemons_.push_back(std::make_unique<Daemon>(filesOf(vm), settingsOf(vm)));
        }
    }

    size_t size() const { return daemons_.size(); }
    Network &network() { return network_; }
    Daemon &daemon(size_t vm) { return *daemons_[vm]; }
    Proxy &storeProxy(size_t vm) { return *storeProxies_[vm]; }
    Proxy &callerProxy(size_t vm) { return *callerProxies_[vm]; }
    // The address at which callers reach the VM.
    Endpoint callerEndpoint(size_t vm) const { return {addresses_.proxy(vm), httpPort}; }
    // The address of the VM itself, without a proxy.
    std::string addressOf(size_t vm) const { return addresses_.vm(vm); }
    static std::string nameOf(size_t vm) { return "vm" + std::to_string(vm + 1); }
    size_t dataCentreOf(size_t vm) const { return vm % dataCentreCount(options_); }

    void startAll()
    {
        for (auto &daemon : daemons_)
            daemon->start();
    }
    // Resets the VM's connections with peers, callers and the store. Its connections with backend
    // servers stay open, because the source address does not tell which VM opened them.
    void resetConnections(size_t vm)
    {
        peerProxies_[vm]->reset();
        for (auto &proxy : peerProxies_)
            proxy->resetFrom(vm);
        callerProxies_[vm]->reset();
        storeProxies_[vm]->reset();
    }
    // Number of connections and datagrams between VMs whose sender is unknown. Faults do not apply
    // to them.
    uint64_t unknownSenders() const
    {
        uint64_t count = 0;
        for (const auto &proxy : peerProxies_)
            count += proxy->unknownSenders();
        return count;
    }

private:
    // Throws if a daemon listens there already, for example one of another soak with the same
    // subnet. The proxies would pass the jobs of one soak to the daemons of the other.
    void requireFreeAddress(size_t vm) const
    {
        boost::asio::io_context context;
        const tcp::acceptor probe(context, httpEndpoint(addresses_.vm(vm)));
    }
    static tcp::endpoint httpEndpoint(const std::string &address)
    {
        return {boost::asio::ip::make_address(address), httpPort};
    }
    DaemonFiles filesOf(size_t vm) const
    {
        const std::string path = options_.folder + "/" + nameOf(vm);
        return {options_.daemon, path + ".json", path + ".log"};
    }
    std::string settingsOf(size_t vm) const
    {
        const std::string address = addresses_.vm(vm);
        std::string seeds;
        for (size_t seed = 0; seed < options_.vms; ++seed)
            seeds += fmt::format(R"({}{{"address":"{}:1"}})", seed > 0 ? "," : "",
                                 addresses_.proxy(seed));
        const char *limit = options_.hasEvacuations ? R"(,"evacuationLimitMs":5000)" : "";
        return fmt::format(R"({{"name":"{}","dataCentre":"{}","http":"{}:{}","readiness":"{}:{}",)"
                           R"("peer":"{}:{}","peerAdvertised":"{}:{}","store":"127.0.0.1:{}",)"
                           R"("seeds":[{}],"stopLimitS":4{}}})",
                           nameOf(vm), dataCentreName(dataCentreOf(vm)), address, httpPort, address,
                           readinessPort, address, peerPort, addresses_.proxy(vm), peerPort,
                           storeProxies_[vm]->port(), seeds, limit);
    }

    const Options &options_;
    Addresses addresses_;
    Network network_;
    std::vector<std::unique_ptr<Proxy>> storeProxies_;
    std::vector<std::unique_ptr<Proxy>> callerProxies_;
    std::vector<std::unique_ptr<PeerProxy>> peerProxies_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

} // namespace lovage::soak
