// Clients that keep to no limit, against lovaged as a process of its own. As with the daemon of the
// users' platform, no check depends on the speed of the machine.
#define BOOST_TEST_MODULE uncontrolled_lovaged
#include "lovagefake/fake.h"
#include "soak/daemon.h"
#include "support/uncontrolled_clients.h"

#include "lovage/net.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

using namespace lovage;
using namespace lovage::test;
using namespace std::chrono_literals;

namespace {

// The smallest VM has 120 MB. Half of it is for jobs, the ledger and the code.
constexpr size_t maxPeakKb = 60'000;
// Once the clients have left, two thirds of the VM are free again.
constexpr size_t maxKbAfterwards = 40'000;
constexpr size_t crowdSize = 24;

fake::FakeConfig fakeConfig()
{
    fake::FakeConfig config;
    config.platform.vmListLag = {};
    config.listeners.push_back({"dc1", {"127.0.0.1", 0}});
    return config;
}

// Returns two free ports. The sockets stay open until both are known, so that the ports differ.
std::array<uint16_t, 2> freePorts()
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    const tcp::acceptor first(context, any);
    const tcp::acceptor second(context, any);
    return {first.local_endpoint().port(), second.local_endpoint().port()};
}

// One VM of lovaged with its platform.
struct Process
{
    Process()
    {
        BOOST_REQUIRE(platform.listen().has_value());
        const auto ports = boost::json::parse(platform.portsJson());
        platformPort = ports.at("platforms").at("dc1").to_number<uint16_t>();
        constexpr int attempts = 5;
        for (int i = 0; i < attempts && !isServedInTheEnd(); ++i)
            start();
        BOOST_REQUIRE(isServedInTheEnd());
    }

    void start()
    {
        daemon.reset();
        const auto [http, peer] = freePorts();
        httpPort = http;
        peerPort = peer;
        const std::string folder =
                std::filesystem::path(LOVAGED_PROGRAM).parent_path() / "daemon_files";
        std::filesystem::create_directories(folder);
        const std::string path = folder + "/lovaged-" + std::to_string(peer);
        const std::string settings = fmt::format(
                R"({{"name":"vm","dataCentre":"dc1","http":"127.0.0.1:{0}","peer":"127.0.0.1:{1}",)"
                R"("members":[{{"name":"vm","dataCentre":"dc1","peer":"127.0.0.1:{1}"}}],)"
                R"("owners":[{{"name":"team","token":"owner-token-1"}}],)"
                R"("operators":[{{"name":"ops","token":"operator-token-3"}}],)"
                R"("limits":{{"memoryMb":120}},)"
                R"("platform":{{"logService":"127.0.0.1:{2}","vmList":"127.0.0.1:{2}"}}}})",
                http, peer, platformPort);
        daemon = std::make_unique<soak::Daemon>(
                soak::DaemonFiles {LOVAGED_PROGRAM, path + ".json", path + ".log"}, settings);
        daemon->start();
    }

    // Whether a submission can be opened. How soon is not checked.
    bool isServedInTheEnd()
    {
        const Time end = currentTime() + 20s;
        while (daemon && !daemon->hasEnded() && currentTime() < end) {
            const auto response = sendHttp(
                    {"127.0.0.1", httpPort},
                    {"POST", "/v1/submissions", {{"Authorization", "Bearer owner-token-1"}}, {}},
                    3000ms);
            if (response.has_value() && response.value().status / 100 == 2)
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }

    void checkAgainst(const Stream &stream) { checkAgainst(stream, httpPort); }
    void checkAgainst(const Stream &stream, uint16_t port)
    {
        std::vector<std::unique_ptr<Client>> clients;
        clients.reserve(crowdSize);
        for (size_t i = 0; i < crowdSize; ++i)
            clients.push_back(std::make_unique<Client>(port, stream));
        advanceAll(clients, false);
        BOOST_REQUIRE(!daemon->hasEnded());
        BOOST_TEST(memoryOf(daemon->pid(), "VmHWM") <= maxPeakKb);
        clients.clear();
        BOOST_TEST(isServedInTheEnd());
        const Time latest = currentTime() + 5s;
        while (memoryOf(daemon->pid(), "VmRSS") > maxKbAfterwards && currentTime() < latest)
            std::this_thread::sleep_for(20ms);
        BOOST_TEST_MESSAGE("VmHWM " << memoryOf(daemon->pid(), "VmHWM") << " kB, VmRSS "
                                    << memoryOf(daemon->pid(), "VmRSS") << " kB");
        BOOST_TEST(memoryOf(daemon->pid(), "VmRSS") <= maxKbAfterwards);
        BOOST_TEST(!daemon->hasEnded());
    }

    fake::Fake platform {fakeConfig()};
    uint16_t platformPort = 0;
    uint16_t httpPort = 0;
    uint16_t peerPort = 0;
    std::unique_ptr<soak::Daemon> daemon;
};

const std::string requestHead =
        "POST /v1/submissions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer owner-token-1\r\n";
const std::string chunkedHead = requestHead + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Each test guards against a process that ends or exceeds the memory of its VM because of the named
// kind of client.

BOOST_FIXTURE_TEST_CASE(chunked_bodies_that_do_not_end, Process)
{
    checkAgainst({chunkedHead, manyOf("1000\r\n" + std::string(0x1000, 'x') + "\r\n")});
}

BOOST_FIXTURE_TEST_CASE(announced_bodies_that_do_not_end, Process)
{
    checkAgainst({requestHead + "Content-Length: 7000000\r\n\r\n", manyOf("x")});
}

// Parsing a JSON document takes many times its size.
BOOST_FIXTURE_TEST_CASE(large_complete_bodies, Process)
{
    const std::string start = R"({"a":[0)";
    const std::string head = "PUT /v1/submissions/0000000000000000 HTTP/1.1\r\nHost: a\r\n"
                             "Authorization: Bearer owner-token-1\r\nContent-Length: "
            + std::to_string(start.size() + streamBytes + 2) + "\r\n\r\n";
    checkAgainst({head + start, manyOf(",0"), head.size() + start.size() + streamBytes, "]}"});
}

BOOST_FIXTURE_TEST_CASE(endless_trailers, Process)
{
    checkAgainst({chunkedHead + "1\r\nx\r\n0\r\n", manyOf("a: b\r\n")});
}

BOOST_FIXTURE_TEST_CASE(bytes_that_are_no_request, Process)
{
    checkAgainst({std::string("\x01\xf0\0\0", 4), manyOf("x")});
}

BOOST_FIXTURE_TEST_CASE(frames_that_do_not_end, Process)
{
    checkAgainst({std::string("\x01\xf0\0\0", 4), manyOf("x")}, peerPort);
}

BOOST_FIXTURE_TEST_CASE(clients_that_never_read_their_answers, Process)
{
    checkAgainst({"",
                  manyOf("GET /v1/metrics HTTP/1.1\r\nHost: a\r\n\r\n"),
                  streamBytes,
                  {},
                  1U << 16,
                  false});
}

// Each submission that is opened has a record in the ledger.
BOOST_FIXTURE_TEST_CASE(submissions_that_are_only_opened, Process)
{
    checkAgainst({"", manyOf(requestHead + "Content-Length: 0\r\n\r\n")});
}
