#define BOOST_TEST_MODULE net
#include "lovage/net.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

using namespace lovage;
using namespace std::chrono_literals;

namespace {

constexpr Duration testTimeout = 10s;

// A server that answers every request with its method, target and body.
struct EchoServer
{
    explicit EchoServer(HttpLimits limits = {})
    {
        auto listening = HttpServer::listen(
                threads, {"127.0.0.1", 0}, limits,
                [](HttpRequest request, HttpServer::Reply reply) {
                    reply({200, "text/plain", {}, request.method + request.target + request.body});
                },
                [](const Error &error) { return std::string(toString(error.code)); });
        server = std::move(listening.value());
    }
    ~EchoServer() { threads.stop(); }

    Endpoint endpoint() const { return {"127.0.0.1", server->port()}; }

    IoThreads threads {2};
    std::unique_ptr<HttpServer> server;
};

// Sends raw bytes and returns everything that the server sends until it closes the connection.
std::string exchangeRaw(uint16_t port, const std::string &bytes)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), port});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    std::string received;
    boost::system::error_code error;
    boost::asio::read(socket, boost::asio::dynamic_buffer(received), error);
    return received;
}

} // namespace

// Guards against an exception in one handler that ends the process or stops all later handlers.
BOOST_AUTO_TEST_CASE(exception_in_a_handler_does_not_stop_the_event_loop)
{
    IoThreads threads(1);
    threads.post(0, [] { throw std::runtime_error("unexpected"); });
    std::promise<bool> hasRun;
    threads.post(0, [&] { hasRun.set_value(true); });
    BOOST_TEST((hasRun.get_future().wait_for(testTimeout) == std::future_status::ready));
    threads.stop();
}

BOOST_AUTO_TEST_CASE(requestsReachTheHandlerWhole)
{
    const EchoServer echo;
    for (int i = 0; i < 5; ++i) {
        const std::string body(100000, 'x');
        const auto result = sendHttp(echo.endpoint(), {"PUT", "/a?b=1", {}, body}, testTimeout);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST((result.value().body == "PUT/a?b=1" + body));
    }
}

// Guards against the verdict NotRun for a request that a server may have received, and MayHaveRun
// for one that was never sent.
BOOST_AUTO_TEST_CASE(clientErrorsCarryTheRightVerdict)
{
    uint16_t closedPort = 0;
    {
        const EchoServer echo;
        closedPort = echo.server->port();
    }
    const auto refused = sendHttp({"127.0.0.1", closedPort}, {"GET", "/", {}, ""}, testTimeout);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().verdict == Verdict::NotRun));

    IoThreads threads(1);
    std::vector<HttpServer::Reply> unanswered;
    auto unresponsive = HttpServer::listen(
            threads, {"127.0.0.1", 0}, {},
            [&](HttpRequest, HttpServer::Reply reply) { unanswered.push_back(std::move(reply)); });
    const auto timedOut =
            sendHttp({"127.0.0.1", unresponsive.value()->port()}, {"GET", "/", {}, ""}, 50ms);
    BOOST_REQUIRE(!timedOut.has_value());
    BOOST_TEST((timedOut.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST((timedOut.error().code == ErrorCode::Timeout));
    threads.stop();
}

// Guards against malformed or slow input that blocks a connection, reaches the handler or gets no
// response.
BOOST_AUTO_TEST_CASE(badInputIsAnsweredByTheServer)
{
    HttpLimits limits;
    limits.maxBodyBytes = 100;
    limits.maxHeaderBytes = 500;
    limits.readTimeout = 100ms;
    const EchoServer echo(limits);
    const uint16_t port = echo.server->port();
    BOOST_TEST(exchangeRaw(port, "nonsense\r\n\r\n").find("400") != std::string::npos);
    BOOST_TEST(exchangeRaw(port, "PUT / HTTP/1.1\r\nContent-Length: 101\r\n\r\n").find("413")
               != std::string::npos);
    BOOST_TEST(exchangeRaw(port, "GET / HTTP/1.1\r\nX: " + std::string(600, 'a') + "\r\n\r\n")
                       .find("431")
               != std::string::npos);
    BOOST_TEST(exchangeRaw(port, "PUT / HTTP/1.1\r\nContent-Length: 9\r\n\r\nabc").find("408")
               != std::string::npos);
    BOOST_TEST(echo.server->stats().badRequests == 4);
    BOOST_TEST(echo.server->stats().requests == 0);
}

// Guards against a request written to a persistent connection that the server has closed.
BOOST_AUTO_TEST_CASE(clientSkipsConnectionsThatTheServerClosed)
{
    HttpLimits limits;
    limits.idleTimeout = 30ms;
    const EchoServer echo(limits);
    IoThreads threads(1);
    HttpClient client(threads, 0, {});
    for (int i = 0; i < 3; ++i) {
        std::promise<bool> isOk;
        client.send(
                echo.endpoint(), {"GET", "/", {}, ""}, testTimeout,
                [&](const Result<HttpResponse> &result) { isOk.set_value(result.has_value()); });
        BOOST_TEST(isOk.get_future().get());
        std::this_thread::sleep_for(60ms);
    }
    threads.stop();
}

BOOST_AUTO_TEST_CASE(framesAndDatagramsArriveWhole)
{
    IoThreads threads(2);
    std::promise<std::string> frame;
    auto server = FrameServer::listen(threads, {"127.0.0.1", 0}, {}, [&](std::string bytes) {
        frame.set_value(std::move(bytes));
    });
    FrameClient client(threads, 0, {});
    const std::string large(1U << 20, 'f');
    client.send({"127.0.0.1", server.value()->port()}, large);
    BOOST_TEST((frame.get_future().get() == large));

    std::promise<std::string> datagram;
    auto receiver = UdpSocket::open(threads, 1, {"127.0.0.1", 0},
                                    [&](const Endpoint &, std::string_view bytes) {
                                        datagram.set_value(std::string(bytes));
                                    });
    auto sender = UdpSocket::open(threads, 0, {"127.0.0.1", 0},
                                  [](const Endpoint &, std::string_view) {});
    sender.value()->send({"127.0.0.1", receiver.value()->port()}, "beat");
    BOOST_TEST(datagram.get_future().get() == "beat");
    threads.stop();
}

// Guards against a length field that makes the receiver allocate or read without bound.
BOOST_AUTO_TEST_CASE(overlongFrameClosesTheConnection)
{
    IoThreads threads(1);
    FrameOptions options;
    options.maxFrameBytes = 1000;
    auto server =
            FrameServer::listen(threads, {"127.0.0.1", 0}, options, [](const std::string &) {});
    BOOST_TEST(exchangeRaw(server.value()->port(), "\xff\xff\xff\xff").empty());
    threads.stop();
}

BOOST_AUTO_TEST_CASE(endpointsAreParsedStrictly)
{
    BOOST_TEST((parseEndpoint("127.0.0.1:80") == Endpoint {"127.0.0.1", 80}));
    BOOST_TEST((parseEndpoint("[::1]:80") == Endpoint {"::1", 80}));
    for (const char *text : {"", "127.0.0.1", "host:80", "127.0.0.1:", "127.0.0.1:65536", "1:2x"})
        BOOST_TEST(!parseEndpoint(text).has_value(), text);
}
