// Limits of the HTTP server: what a client may make it hold, and what a refused client reads.
#define BOOST_TEST_MODULE http_limits
#include "fuzz/http_checks.h"

#include "lovage/net.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

using namespace lovage;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

using Holders = std::vector<ByteBudget::Holder>;

struct Server
{
    explicit Server(HttpLimits limits)
        : server(std::move(
                HttpServer::listen(
                        threads, {"127.0.0.1", 0}, std::move(limits),
                        [](const HttpRequest &, const HttpServer::Reply &reply) { reply({}); },
                        [](const Error &error) { return "refused: " + error.reason; })
                        .value()))
    { }
    ~Server() { threads.stop(); }

    IoThreads threads {1};
    std::unique_ptr<HttpServer> server;
};

struct Connection
{
    explicit Connection(const Server &server)
    {
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server.server->port()});
    }
    void send(const std::string &bytes)
    {
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    }
    // Everything until the server closes the connection.
    std::string receiveAll()
    {
        std::string received;
        boost::system::error_code ignored;
        boost::asio::read(socket, boost::asio::dynamic_buffer(received), ignored);
        return received;
    }

    boost::asio::io_context context;
    tcp::socket socket {context};
};

const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\n";
const std::string closing = head + "Connection: close\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against a small request that is refused for the bytes of a large one.
BOOST_AUTO_TEST_CASE(largest_holder_is_refused_first)
{
    ByteBudget budget({1000, 200, 100});
    const auto small = budget.open();
    const auto older = budget.open();
    const auto newer = budget.open();
    BOOST_TEST(budget.hold(small, 100).empty());
    BOOST_TEST(budget.hold(older, 400).empty());
    BOOST_TEST(budget.hold(newer, 400).empty());
    BOOST_TEST(budget.heldBytes() == 900U);
    const auto last = budget.open();
    BOOST_TEST((budget.hold(last, 101) == Holders {newer})); // the newest among equals
    BOOST_TEST(budget.heldBytes() == 601U);
    BOOST_TEST(budget.hold(newer, 900).empty()); // it is closed
    BOOST_TEST((budget.hold(last, 500) == Holders {last}));
    budget.close(older);
    budget.close(small);
    BOOST_TEST(budget.heldBytes() == 0U);
}

// Guards against large requests that leave no room for ordinary ones.
BOOST_AUTO_TEST_CASE(large_holders_cannot_use_the_reserve)
{
    ByteBudget budget({1000, 200, 100});
    const auto large = budget.open();
    BOOST_TEST((budget.hold(large, 801) == Holders {large}));
    const auto other = budget.open();
    BOOST_TEST(budget.hold(other, 800).empty());
    for (int i = 0; i < 2; ++i)
        BOOST_TEST(budget.hold(budget.open(), 100).empty());
    BOOST_TEST((budget.hold(budget.open(), 100) == Holders {other}));
}

// Guards against fields behind the body that change what the header says.
BOOST_AUTO_TEST_CASE(fields_of_trailers_are_dropped)
{
    const HttpLimits limits;
    const std::string input = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "2\r\nok\r\n0\r\nHost: b\r\nAuthorization: c\r\n"
                              "Connection: close\r\n\r\n";
    for (const size_t bytesPerRead : {input.size(), size_t {1}}) {
        HttpRequestReader reader(limits);
        auto state = HttpRequestReader::State::Incomplete;
        for (size_t at = 0; at < input.size(); at += bytesPerRead) {
            std::memcpy(reader.prepare().data(), input.data() + at, bytesPerRead);
            reader.commit(bytesPerRead);
            state = reader.parse();
        }
        BOOST_REQUIRE((state == HttpRequestReader::State::Complete));
        BOOST_TEST(reader.keepsAlive());
        const HttpRequest request = reader.takeRequest();
        BOOST_TEST(request.headers.size() == 2U);
        BOOST_TEST(request.header("Host") == "a");
        BOOST_TEST(request.header("Authorization") == "");
        BOOST_TEST(request.body == "ok");
    }
}

// Guards against inputs on which the reader holds too much, or reads other requests if the input is
// divided in another way.
BOOST_AUTO_TEST_CASE(inputs_of_the_fuzzer)
{
    const std::filesystem::path folder =
            std::filesystem::path(LOVAGE_SOURCE_DIR) / "tests/fuzz/corpus/http";
    size_t count = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream stream(file.path(), std::ios::binary);
        const std::string input((std::istreambuf_iterator<char>(stream)),
                                std::istreambuf_iterator<char>());
        BOOST_TEST(fuzz::checkHttpRequests(input), file.path().filename().string());
        ++count;
    }
    BOOST_TEST(count > 0U);
}

// Guards against a refusal that is lost because the client has sent more than the server reads.
BOOST_AUTO_TEST_CASE(refused_client_reads_its_refusal)
{
    HttpLimits limits;
    limits.maxBodyBytes = 1000;
    limits.maxHeaderBytes = 500;
    limits.maxRequestBytes = 3000;
    const Server server(limits);
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    std::string extensions = chunked;
    for (int i = 0; i < 20; ++i)
        extensions += "1;a=" + std::string(300, 'b') + "\r\nx\r\n";
    const std::vector<std::pair<std::string, std::string>> cases = {
            {head + "Content-Length: 100000\r\n\r\n" + std::string(100'000, 'x'), " 413 "},
            {chunked + "ffff\r\n" + std::string(100'000, 'x'), " 413 "},
            {chunked + "0\r\na: " + std::string(100'000, 'x'), " 431 "},
            {extensions, " 413 "},
            {"GET / HTTP/1.1\r\n" + std::string(100'000, 'x'), " 431 "},
    };
    for (const auto &[request, status] : cases) {
        Connection connection(server);
        connection.send(request);
        const std::string answer = connection.receiveAll();
        BOOST_TEST(answer.find(status) == 8U, answer);
        BOOST_TEST(answer.find("refused: ") != std::string::npos);
    }
    BOOST_TEST(server.server->stats().refusedFor(HttpRefusal::Cause::Body) == 2U);
    BOOST_TEST(server.server->stats().refusedFor(HttpRefusal::Cause::Request) == 1U);
    BOOST_TEST(server.server->stats().requests == 0U);
}

// Guards against a budget that refuses nobody, or that refuses the smaller request.
BOOST_AUTO_TEST_CASE(largest_request_is_answered_503)
{
    HttpLimits limits;
    limits.budget = std::make_shared<ConnectionBudget>(
            ByteBudget::Limits {256U << 10, 128U << 10, 64U << 10});
    const Server server(limits);
    Connection small(server);
    small.send(head + "Connection: close\r\nContent-Length: 1000\r\n\r\n" + std::string(500, 'x'));
    Connection large(server);
    large.send(head + "Content-Length: 1000000\r\n\r\n" + std::string(300'000, 'x'));
    const std::string answer = large.receiveAll();
    BOOST_TEST(answer.find(" 503 ") == 8U, answer);
    BOOST_TEST(answer.find("Retry-After") != std::string::npos);
    small.send(std::string(500, 'x'));
    BOOST_TEST(small.receiveAll().find(" 200 ") == 8U);
    BOOST_TEST(limits.budget->heldBytes() == 0U);
}

// Guards against connections without requests that keep others out, and against a loop that stays
// busy while there is no room: it tries ten times a second.
BOOST_AUTO_TEST_CASE(idle_connections_make_room_for_new_ones)
{
    HttpLimits limits;
    limits.maxConnections = 4;
    const Server server(limits);
    constexpr size_t idleCount = 8;
    std::vector<std::unique_ptr<Connection>> idle;
    idle.reserve(idleCount);
    for (size_t i = 0; i < idleCount; ++i)
        idle.push_back(std::make_unique<Connection>(server));
    const Time start = currentTime();
    Connection caller(server);
    caller.send(closing);
    BOOST_TEST(caller.receiveAll().find(" 200 ") == 8U);
    const auto tenths = static_cast<uint64_t>((currentTime() - start) / Duration(100ms));
    BOOST_TEST(server.server->stats().connections <= limits.maxConnections);
    BOOST_TEST(server.server->stats().acceptPauses >= 1U);
    BOOST_TEST(server.server->stats().acceptPauses <= tenths + 10);
    BOOST_TEST(server.server->stats().refusedFor(HttpRefusal::Cause::Connection) >= 1U);
}
