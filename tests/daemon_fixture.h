// Entry VMs and a simulated platform in one process, for the tests of the daemon.
#pragma once

#include "lovagefake/fake.h"

#include "lovage/catalogue.h"
#include "lovage/daemon.h"
#include "lovage/net.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <thread>

namespace lovage::test {

inline const std::string ownerToken = "owner-token-1";
inline const std::string otherToken = "other-token-2";
inline const std::string operatorToken = "operator-token-3";
constexpr Duration longWait = std::chrono::seconds(30);

// Polls until the condition holds. Returns false on timeout, which only a failing test reaches.
inline bool eventually(const std::function<bool()> &condition, Duration timeout = longWait)
{
    const Time end = currentTime() + timeout;
    while (!condition()) {
        if (currentTime() > end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

inline uint16_t pickPort()
{
    IoThreads threads(1);
    const auto server = FrameServer::listen(threads, {"127.0.0.1", 0}, {}, [](std::string) {});
    const uint16_t port = server.value()->port();
    threads.stop();
    return port;
}

// One data centre "dc1" with the executor "e1", the worker "w1" and entry VMs "vm-0", "vm-1", ...
class Cluster
{
public:
    explicit Cluster(size_t vmCount)
    {
        setLogLevel(LogLevel::Error);
        fake::FakeConfig config;
        config.platform.vmListLag = {};
        config.listeners.push_back({"dc1", {"127.0.0.1", 0}});
        fake::ServerConfig executor;
        executor.name = "e1";
        executor.dataCentre = "dc1";
        executor.rack = "r1";
        executor.endpoint = {"127.0.0.1", 0};
        fake::ServerConfig worker = executor;
        worker.name = "w1";
        worker.kind = BackendKind::Worker;
        worker.capacity = {16000, 65536, 0};
        config.servers = {executor, worker};
        fake = std::make_unique<fake::Fake>(config);
        BOOST_REQUIRE(fake->listen().has_value());
        const auto ports = boost::json::parse(fake->portsJson());
        platformPort = static_cast<uint16_t>(ports.at("platforms").at("dc1").to_number<uint32_t>());
        for (size_t i = 0; i < vmCount; ++i) {
            peerPorts.push_back(pickPort());
            daemons.emplace_back();
        }
    }
    ~Cluster() { daemons.clear(); }

    static std::string nameOf(size_t vm) { return "vm-" + std::to_string(vm); }

    Settings settingsOf(size_t vm) const
    {
        Settings settings;
        settings.name = nameOf(vm);
        settings.dataCentre = "dc1";
        settings.http = {"127.0.0.1", 0};
        settings.peer = {"127.0.0.1", peerPorts[vm]};
        for (size_t i = 0; i < peerPorts.size(); ++i)
            settings.members.push_back({nameOf(i), "dc1", {"127.0.0.1", peerPorts[i]}});
        settings.peerKeys = {{1, "0123456789abcdef-test"}};
        settings.owners = {{"team", ownerToken}, {"other", otherToken}};
        settings.operators = {{"ops", operatorToken}};
        settings.platform.logService = {"127.0.0.1", platformPort};
        settings.platform.vmList = {"127.0.0.1", platformPort};
        settings.limits.maxBodyBytes = 64U << 10;
        return settings;
    }

    void start(size_t vm, DaemonOptions options = {})
    {
        // Another process may have taken the port since pickPort(), so a failed start is repeated
        // with a new port.
        for (int attempt = 0; attempt < 20; ++attempt) {
            auto daemon = Daemon::start(settingsOf(vm), options);
            if (daemon.has_value()) {
                daemons[vm] = std::move(daemon.value());
                return;
            }
            peerPorts[vm] = pickPort();
        }
        BOOST_FAIL("daemon did not start after 20 attempts");
    }

    void startServing(size_t vm)
    {
        start(vm);
        BOOST_REQUIRE(eventually([&] { return daemons[vm]->state() == DaemonState::Serving; }));
    }

    HttpResponse call(size_t vm, const std::string &method, const std::string &target,
                      std::string body = {}, const std::string &token = ownerToken) const
    {
        HttpRequest request {
                method, target, {{"Authorization", "Bearer " + token}}, std::move(body)};
        const auto response =
                sendHttp({"127.0.0.1", daemons[vm]->httpPort()}, std::move(request), longWait);
        if (!response.has_value())
            BOOST_FAIL(response.error().reason);
        return response.value();
    }

    // Publishes an entry through a VM and returns its offset.
    uint64_t publish(size_t vm, const std::string &name, BackendKind kind) const
    {
        ChangeRecord change;
        change.requestId = "publish-" + name;
        change.entry.name = name;
        change.entry.owner = "team";
        change.entry.workClass = name;
        change.entry.backendKind = kind;
        change.entry.declaredRunTime = std::chrono::milliseconds(5);
        change.entry.demand = {1000, 64, 0};
        change.entry.limits.startsPerSecond = 10000;
        change.entry.limits.concurrent = 1000;
        const HttpResponse response =
                call(vm, "POST", "/v1/catalogue/changes", serializeChange(change), operatorToken);
        BOOST_REQUIRE_MESSAGE(response.status == 200, response.body);
        return boost::json::parse(response.body).at("offset").to_number<uint64_t>();
    }

    bool hasEntry(size_t vm, const std::string &name) const
    {
        return call(vm, "GET", "/v1/catalogue/" + name).status == 200;
    }

    std::string open(size_t vm) const
    {
        const HttpResponse response = call(vm, "POST", "/v1/submissions");
        BOOST_REQUIRE_MESSAGE(response.status == 200, response.body);
        return std::string(boost::json::parse(response.body).at("id").as_string());
    }

    uint64_t starts() const
    {
        return boost::json::parse(fake->ledger().toJson(false)).at("starts").to_number<uint64_t>();
    }

    void checkGroundTruth() const
    {
        for (int i = 0; i < static_cast<int>(fake::Violation::Count_); ++i)
            BOOST_TEST(fake->ledger().violations(static_cast<fake::Violation>(i)) == 0U);
    }

    std::unique_ptr<fake::Fake> fake;
    uint16_t platformPort = 0;
    std::vector<uint16_t> peerPorts;
    std::vector<std::unique_ptr<Daemon>> daemons;
};

inline std::string requestBody(const std::string &entry, const std::string &input)
{
    const boost::json::object body = {{"entry", entry}, {"input", input}};
    return boost::json::serialize(body);
}

// A job whose task "t<i>" returns the output "o<i>".
inline std::string jobBody(const std::string &entry, size_t count, int64_t durationUs = 1000)
{
    boost::json::array tasks;
    for (size_t i = 0; i < count; ++i) {
        const boost::json::object input = {{"durationUs", durationUs},
                                           {"output", "o" + std::to_string(i)}};
        tasks.push_back(
                {{"id", "t" + std::to_string(i)}, {"input", boost::json::serialize(input)}});
    }
    const boost::json::object body = {{"entry", entry}, {"tasks", std::move(tasks)}};
    return boost::json::serialize(body);
}

// Checks that the answer holds each output of jobBody() under its task.
inline void checkJobAnswer(const HttpResponse &response, size_t count)
{
    BOOST_REQUIRE_MESSAGE(response.status == 200, response.body);
    const auto body = boost::json::parse(response.body);
    BOOST_TEST(body.at("state").as_string() == "complete");
    const auto &results = body.at("results").as_array();
    BOOST_REQUIRE(results.size() == count);
    for (size_t i = 0; i < count; ++i) {
        BOOST_TEST(results[i].at("id").as_string() == "t" + std::to_string(i));
        BOOST_TEST(results[i].at("output").as_string() == "o" + std::to_string(i));
    }
}

} // namespace lovage::test
