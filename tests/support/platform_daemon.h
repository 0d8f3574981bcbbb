// The daemon as a process of its own, between fakes of the users' platform.
#pragma once

#include "../soak/daemon.h"
#include "platform_standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace lovage::test {

// Returns free ports for callers, readiness checks and peers. The sockets stay open until all ports
// are known, so that the ports differ.
inline std::array<uint16_t, 3> freePorts()
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    const tcp::acceptor first(context, any);
    const tcp::acceptor second(context, any);
    const tcp::acceptor third(context, any);
    return {first.local_endpoint().port(), second.local_endpoint().port(),
            third.local_endpoint().port()};
}

inline std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

struct OneDaemon
{
    OneDaemon()
    {
        store.put("keyed.op", "config",
                  R"({"version":7,"routes":[{"name":"r","host":"work.example",)"
                  R"("path_prefix":"/a/","timeout_ms":3000,"slo_ms":60,"service":"s",)"
                  R"("attempts":3,"stretch_factor":1.6}]})");
        heartbeat();
    }
    ~OneDaemon()
    {
        daemon.reset();
        platformThreads.stop();
    }

    // Starts another process in place of the present one, if any.
    void startDaemon()
    {
        constexpr int attempts = 5;
        for (int i = 0; i < attempts; ++i) {
            startOnFreePorts();
            if (!hasLostItsPort())
                return;
        }
        BOOST_FAIL("no free ports were found");
    }

    std::string entryOf(const FakeExecutor &executor)
    {
        return replaced(executor.entry("s", "z"), "\"labels\"",
                        fmt::format("\"seq\":{},\"labels\"", ++beat));
    }
    void heartbeat()
    {
        store.put("keyed.servers", "e1", entryOf(executor1));
        store.put("keyed.servers", "e2", entryOf(executor2));
    }
    // Submits repeatedly, since a refused job has not run, until it is served or 5 s have passed.
    bool isServed(const std::string &id)
    {
        constexpr const char *job =
                R"({"spec":"p","best_effort":true,"steps":[{"count":2,"cpu":10000,"mem_mb":1,)"
                R"("estimate_ms":60}]})";
        const Time end = currentTime() + std::chrono::seconds(5);
        while (currentTime() < end) {
            const auto response = sendHttp({"127.0.0.1", httpPort},
                                           {"POST", "/a/" + id, {{"Host", "work.example"}}, job},
                                           std::chrono::milliseconds(3000));
            if (response.has_value() && response.value().status == 200)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        return false;
    }
    // Number of starts of the job with the id, on all executors.
    size_t startsOf(const std::string &id)
    {
        size_t count = 0;
        for (FakeExecutor *executor : {&executor1, &executor2, &executor3}) {
            for (const auto &[task, starts] : executor->starts())
                count += task.starts_with(id) ? static_cast<size_t>(starts) : 0;
        }
        return count;
    }
    std::string metrics() const
    {
        const auto page = sendHttp({"127.0.0.1", readinessPort}, {"GET", "/metrics", {}, {}},
                                   std::chrono::milliseconds(3000));
        return page.has_value() ? page.value().body : "";
    }
    std::string nextId() { return fmt::format("{:016x}", ++lastId); }

    IoThreads platformThreads {1};
    FakeStore store {platformThreads};
    FakeExecutor executor1 {platformThreads, "e1", std::chrono::milliseconds(60)};
    FakeExecutor executor2 {platformThreads, "e2", std::chrono::milliseconds(60)};
    FakeExecutor executor3 {platformThreads, "e3", std::chrono::milliseconds(60)};
    std::unique_ptr<soak::Daemon> daemon;
    uint16_t httpPort = 0;
    uint16_t readinessPort = 0;
    uint16_t peerPort = 0;
    int beat = 0;
    int lastId = 0;

private:
    void startOnFreePorts()
    {
        daemon.reset();
        const auto [http, readiness, peer] = freePorts();
        httpPort = http;
        readinessPort = readiness;
        peerPort = peer;
        const std::string folder =
                std::filesystem::path(LOVAGE_PLATFORM_DAEMON).parent_path() / "daemon_files";
        std::filesystem::create_directories(folder);
        const std::string path = folder + "/" + std::to_string(peer);
        daemon = std::make_unique<soak::Daemon>(
                soak::DaemonFiles {LOVAGE_PLATFORM_DAEMON, path + ".json", path + ".log"},
                fmt::format(R"({{"name":"vm1","dataCentre":"z","http":"127.0.0.1:{}",)"
                            R"("readiness":"127.0.0.1:{}","peer":"127.0.0.1:{}",)"
                            R"("store":"127.0.0.1:{}","seeds":[{{"address":"127.0.0.1:1"}}],)"
                            R"("stopLimitS":4}})",
                            httpPort, readinessPort, peer, store.endpoint().port));
        daemon->start();
    }

    // Waits until the process listens or has ended. Returns whether another program took one of
    // its ports after freePorts() had closed it.
    bool hasLostItsPort()
    {
        const Time end = currentTime() + std::chrono::seconds(5);
        while (currentTime() < end && metrics().empty()) {
            if (daemon->hasEnded()) {
                const std::ifstream stream(daemon->log());
                std::ostringstream log;
                log << stream.rdbuf();
                return log.str().find("cannot listen") != std::string::npos
                        || log.str().find("cannot open UDP socket") != std::string::npos;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return false;
    }
};

} // namespace lovage::test
