// The simulated platform, backend servers and relay of one process, controlled over HTTP.
#pragma once

#include "lovagefake/platform.h"
#include "lovagefake/relay.h"
#include "lovagefake/server.h"

namespace lovage::fake {

// An entry VM as the VM list shows it and the relay reaches it.
struct EntryConfig
{
    std::string name;
    std::string dataCentre;
    Endpoint peer;
};

// The address at which one data centre reaches the log service and the VM list.
struct PlatformListener
{
    std::string dataCentre;
    Endpoint endpoint;
};

// The address at which the VMs of one data centre reach an entry VM of another.
struct RelayConfig
{
    std::string fromDataCentre;
    std::string toVm;
    Endpoint endpoint;
};

struct FakeConfig
{
    uint64_t seed = 1;
    size_t threads = 4;
    Endpoint control {"127.0.0.1", 0};
    PlatformConfig platform;
    Duration linkDelay = std::chrono::milliseconds(1);
    std::vector<PlatformListener> listeners;
    std::vector<EntryConfig> entries;
    std::vector<RelayConfig> relays;
    std::vector<ServerConfig> servers;
};

// Parses JSON with comments and trailing commas. All keys are optional except the names and data
// centres of list elements.
Result<FakeConfig> parseFakeConfig(std::string_view text);

class Fake
{
public:
    explicit Fake(FakeConfig config);
    ~Fake();
    Fake(const Fake &) = delete;
    Fake &operator=(const Fake &) = delete;

    Result<void> listen();
    // {"control":port,"platforms":{dc:port},"relays":{"dc>vm":port},"servers":{name:port}}
    std::string portsJson() const;
    uint16_t controlPort() const { return control_->port(); }
    // Body of POST /v1/faults:
    // {"target":"server"|"vm"|"log"|"vms"|"platform"|"link","name","fault", "value"}; the name is a
    // server, an entry VM, a data centre or "from>to"; value 0 ends the fault.
    Result<void> setFault(std::string_view body);
    Ledger &ledger() { return ledger_; }

private:
    std::vector<backend::VmInfo> vmList(const std::string &dataCentre);
    void handleControl(const HttpRequest &request, const HttpServer::Reply &reply);
    bool setLinkFault(const std::string &name, const std::string &fault, double value);

    FakeConfig config_;
    IoThreads threads_;
    Ledger ledger_;
    Platform platform_;
    Relay relay_;
    std::vector<std::unique_ptr<BackendServer>> servers_;
    std::vector<std::unique_ptr<HttpServer>> platformServers_;
    std::unique_ptr<HttpServer> control_;
    std::mutex mutex_;
    std::set<std::string> leaving_; // servers and entry VMs
};

} // namespace lovage::fake
