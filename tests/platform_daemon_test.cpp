// Test of the daemon as a process of its own, beside records of other writers in the store.
#define BOOST_TEST_MODULE platform_daemon
#include "soak/daemon.h"
#include "support/platform_standin.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <thread>

using namespace lovage;
using namespace lovage::test;
using std::chrono::milliseconds;

namespace {

// Returns free ports for callers, readiness checks and peers. The sockets stay open until all ports
// are known, so that the ports differ.
std::array<uint16_t, 3> freePorts()
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

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

// What another writer makes of the entry of a server.
std::vector<std::string> oddEntriesLike(const std::string &good)
{
    return {
            "{",
            "\xff\xfe no text",
            std::string(100'000, '['),
            replaced(good, "{\"cpu\"",
                     std::string(2000, '[') + std::string(2000, ']') + ",\"x\":{\"cpu\""),
            replaced(good, "32000", "1e400"),
            replaced(good, "32000", "99999999999999999999"),
            replaced(good, "127.0.0.1:", "127.0.0.1:9"),
            replaced(good, "127.0.0.1:", "127.0.0.1:0,"),
            replaced(good, "\"ready\"", "\"odd\""),
            replaced(good, "\"zone\":\"z\"", "\"zone\":\"other\""),
            replaced(good, "\"service\":\"s\"", "\"service\":\"other\""),
            replaced(good, "\"service\":\"s\"",
                     "\"service\":\"" + std::string(100'000, 's') + "\""),
            replaced(good, "\"born\":1", "\"born\":\"1\""),
            replaced(good, "\"born\":1", "\"born\":-1"),
            replaced(good, "\"born\":1", "\"born\":1.5"),
            replaced(good, "\"born\":1", "\"born\":9000000000000000"),
            replaced(good, "\"born\":1", "\"born\":18446744073709551615"),
    };
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
        daemon.reset();
        const auto [http, readiness, peer] = freePorts();
        httpPort = http;
        readinessPort = readiness;
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
                                           milliseconds(3000));
            if (response.has_value() && response.value().status == 200)
                return true;
            std::this_thread::sleep_for(milliseconds(50));
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
                                   milliseconds(3000));
        return page.has_value() ? page.value().body : "";
    }
    std::string nextId() { return fmt::format("{:016x}", ++lastId); }

    IoThreads platformThreads {1};
    FakeStore store {platformThreads};
    FakeExecutor executor1 {platformThreads, "e1", milliseconds(60)};
    FakeExecutor executor2 {platformThreads, "e2", milliseconds(60)};
    FakeExecutor executor3 {platformThreads, "e3", milliseconds(60)};
    std::unique_ptr<soak::Daemon> daemon;
    uint16_t httpPort = 0;
    uint16_t readinessPort = 0;
    int beat = 0;
    int lastId = 0;
};

} // namespace

// Guards against a daemon that ends, that stops following the list of servers, or that keeps a
// server out of use beyond its next heartbeat, because another writer has left an odd entry.
BOOST_FIXTURE_TEST_CASE(odd_entries_do_not_stop_the_service, OneDaemon)
{
    startDaemon();
    BOOST_REQUIRE(isServed(nextId()));
    int kind = 0;
    for (const std::string &odd : oddEntriesLike(executor1.entry("s", "z"))) {
        store.put("keyed.servers", "odd" + std::to_string(++kind), odd);
        store.put("keyed.servers", "e1", odd);
        store.put("keyed.servers", "e2", odd);
        store.put("keyed.members", "odd" + std::to_string(kind), odd);
        store.put("keyed.op", "odd" + std::to_string(kind), odd);
        std::this_thread::sleep_for(milliseconds(450)); // longer than one read of the list
        heartbeat();
        const std::string id = nextId();
        BOOST_TEST(isServed(id), "after " << odd.substr(0, 200));
        BOOST_TEST(startsOf(id) == 2U);
        BOOST_REQUIRE(!daemon->hasEnded());
    }
    BOOST_TEST(metrics().find("lovage_left_out_records_total{topic=\"keyed.servers\"} ")
               != std::string::npos);
    BOOST_TEST(metrics().find("lovage_left_out_records_total{topic=\"keyed.servers\"} 0")
               == std::string::npos);

    // The list is still followed: the only server left is a new one.
    store.put("keyed.servers", "e1", "");
    store.put("keyed.servers", "e2", "");
    store.put("keyed.servers", "e3", entryOf(executor3));
    std::this_thread::sleep_for(milliseconds(900));
    BOOST_TEST(isServed(nextId()));
    BOOST_TEST(executor3.starts().size() == 2U);
}

// Guards against a daemon that cannot start beside odd entries: it reads all of them at once.
BOOST_FIXTURE_TEST_CASE(daemon_starts_beside_odd_entries, OneDaemon)
{
    int kind = 0;
    for (const std::string &odd : oddEntriesLike(executor1.entry("s", "z"))) {
        for (const char *topic : {"keyed.servers", "keyed.members", "keyed.op"})
            store.put(topic, "odd" + std::to_string(++kind), odd);
    }
    for (const std::string &key :
         {std::string(), std::string("a b&c%zz\r\n"), std::string("\xff"), std::string(255, 'k')}) {
        for (const char *topic : {"keyed.servers", "keyed.members", "keyed.op"})
            store.put(topic, key, executor1.entry("s", "z"));
    }
    startDaemon();
    BOOST_TEST(isServed(nextId()));
    BOOST_TEST(isServed(nextId()));
    BOOST_TEST(!daemon->hasEnded());
}
