#include "lovagefake/fake.h"

#include <boost/json.hpp>

#include <algorithm>

namespace lovage::fake {

namespace json = boost::json;

namespace {

Error invalidFault(const std::string &reason)
{
    return notRun(ErrorCode::MalformedBody, reason);
}

} // namespace

Fake::Fake(FakeConfig config)
    : config_(std::move(config)), threads_(config_.threads),
      platform_(
              threads_, ledger_, config_.platform,
              [this](const std::string &dataCentre) { return vmList(dataCentre); }, config_.seed),
      relay_(threads_, config_.linkDelay)
{
    size_t index = 0;
    for (const ServerConfig &server : config_.servers) {
        servers_.push_back(std::make_unique<BackendServer>(threads_, index, ledger_, server,
                                                           config_.seed + index));
        ++index;
    }
}

Fake::~Fake()
{
    threads_.stop();
}

Result<void> Fake::listen()
{
    for (const auto &server : servers_) {
        if (auto listening = server->listen(); !listening)
            return listening.error();
    }
    for (RelayConfig &relay : config_.relays) {
        const auto to =
                std::find_if(config_.entries.begin(), config_.entries.end(),
                             [&](const EntryConfig &entry) { return entry.name == relay.toVm; });
        if (to == config_.entries.end())
            return notRun(ErrorCode::InvalidSettings, "relay to unknown VM " + relay.toVm);
        const auto port =
                relay_.add(relay.fromDataCentre, to->dataCentre, relay.endpoint, to->peer);
        if (!port)
            return port.error();
        relay.endpoint.port = port.value();
    }
    for (PlatformListener &listener : config_.listeners) {
        auto server = HttpServer::listen(
                threads_, listener.endpoint, {},
                [this, name = listener.dataCentre](HttpRequest request, HttpServer::Reply reply) {
                    platform_.handle(name, request, reply);
                });
        if (!server)
            return server.error();
        listener.endpoint.port = server.value()->port();
        platformServers_.push_back(std::move(server.value()));
    }
    auto server = HttpServer::listen(threads_, config_.control, {},
                                     [this](HttpRequest request, HttpServer::Reply reply) {
                                         handleControl(request, reply);
                                     });
    if (!server)
        return server.error();
    control_ = std::move(server.value());
    return boost::outcome_v2::success();
}

std::string Fake::portsJson() const
{
    json::object platforms;
    for (const PlatformListener &listener : config_.listeners)
        platforms[listener.dataCentre] = listener.endpoint.port;
    json::object relays;
    for (const RelayConfig &relay : config_.relays)
        relays[relay.fromDataCentre + ">" + relay.toVm] = relay.endpoint.port;
    json::object servers;
    for (const auto &server : servers_)
        servers[server->config().name] = server->port();
    return json::serialize(json::object {{"control", control_->port()},
                                         {"platforms", std::move(platforms)},
                                         {"relays", std::move(relays)},
                                         {"servers", std::move(servers)}});
}

// Entry VMs of other data centres are listed with the address of the relay, if there is one.
std::vector<backend::VmInfo> Fake::vmList(const std::string &dataCentre)
{
    const std::lock_guard lock(mutex_);
    std::vector<backend::VmInfo> vms;
    for (const EntryConfig &entry : config_.entries) {
        Endpoint address = entry.peer;
        for (const RelayConfig &relay : config_.relays) {
            if (relay.fromDataCentre == dataCentre && relay.toVm == entry.name)
                address = relay.endpoint;
        }
        vms.push_back({entry.name, backend::VmRole::Entry, entry.dataCentre, "r1", address.address,
                       address.port, leaving_.contains(entry.name), 0, Demand {0}});
    }
    for (const auto &server : servers_) {
        const ServerConfig &config = server->config();
        const bool isExecutor = config.kind == BackendKind::Executor;
        vms.push_back(
                {config.name, isExecutor ? backend::VmRole::Executor : backend::VmRole::Worker,
                 config.dataCentre, config.rack, config.endpoint.address, server->port(),
                 leaving_.contains(config.name), isExecutor ? config.slots : 0, config.capacity});
    }
    return vms;
}

bool Fake::setLinkFault(const std::string &name, const std::string &fault, double value)
{
    const size_t arrow = name.find('>');
    if (arrow == std::string::npos)
        return false;
    const std::string from = name.substr(0, arrow);
    const std::string to = name.substr(arrow + 1);
    if (fault == "cut")
        relay_.setCut(from, to, value != 0);
    else if (fault == "delayMs")
        relay_.setDelay(from, to, Duration(static_cast<int64_t>(value * 1000)));
    else
        return false;
    return true;
}

Result<void> Fake::setFault(std::string_view body)
{
    json::error_code error;
    const json::value parsed = json::parse({body.data(), body.size()}, error);
    if (error || !parsed.is_object())
        return invalidFault("body is not a JSON object");
    const json::object &object = parsed.get_object();
    const auto text = [&](const char *key) {
        const json::value *found = object.if_contains(key);
        return found && found->is_string() ? std::string(found->get_string()) : std::string();
    };
    const json::value *number = object.if_contains("value");
    const double value = number && number->is_number() ? number->to_number<double>() : 0;
    const std::string target = text("target");
    const std::string name = text("name");
    const std::string fault = text("fault");
    bool isKnown = false;
    if (target == "log" || target == "vms") {
        isKnown = platform_.setFault(target, fault, value);
    } else if (target == "platform" && fault == "cut") {
        platform_.setCut(name, value != 0);
        isKnown = true;
    } else if (target == "link") {
        isKnown = setLinkFault(name, fault, value);
    } else if (target == "server") {
        for (const auto &server : servers_) {
            if (server->config().name == name)
                isKnown = server->setFault(fault, value);
        }
    } else if (target == "vm") {
        isKnown = fault == "leaving";
    }
    if (!isKnown)
        return invalidFault("no such target, name or fault");
    if (fault == "leaving") {
        const std::lock_guard lock(mutex_);
        if (value != 0)
            leaving_.insert(name);
        else
            leaving_.erase(name);
    }
    return boost::outcome_v2::success();
}

void Fake::handleControl(const HttpRequest &request, const HttpServer::Reply &reply)
{
    const std::string_view path = request.path();
    if (path == "/v1/faults" && request.method == "POST") {
        const auto done = setFault(request.body);
        reply(done ? HttpResponse {200, "application/json", {}, "{}"}
                   : HttpResponse {400,
                                   "application/json",
                                   {},
                                   backend::serializeFailure("", done.error())});
    } else if (path == "/v1/ledger") {
        reply({200, "application/json", {}, ledger_.toJson(request.query("full").has_value())});
    } else if (path == "/v1/ports") {
        reply({200, "application/json", {}, portsJson()});
    } else {
        reply({404,
               "application/json",
               {},
               backend::serializeFailure("", notRun(ErrorCode::NotFound, "no such call"))});
    }
}

} // namespace lovage::fake
