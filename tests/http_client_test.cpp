// Tests of the HTTP client against servers that send single bytes, close connections and answer
// late.
#define BOOST_TEST_MODULE http_client
#include "lovage/net.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <sys/socket.h>

#include <atomic>
#include <future>

using namespace lovage;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Duration testTimeout = 10s;

std::string response(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and runs a script on each, in a thread of its own.
class ScriptedServer
{
public:
    // Receives the connection and its number, counted from 0. The connection closes on return.
    using Script = std::function<void(tcp::socket &, int)>;

    explicit ScriptedServer(Script script) : script_(std::move(script))
    {
        acceptor_.open(tcp::v4());
        acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
        acceptor_.listen();
        acceptThread_ = std::thread([this] { acceptAll(); });
    }
    ~ScriptedServer()
    {
        isStopping_ = true;
        tcp::socket last(context_);
        boost::system::error_code error;
        last.connect(acceptor_.local_endpoint(), error);
        acceptThread_.join();
        for (const auto &socket : sockets_)
            socket->shutdown(tcp::socket::shutdown_both, error);
        for (std::thread &thread : threads_)
            thread.join();
    }

    Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    void acceptAll()
    {
        for (int number = 0;; ++number) {
            auto socket = std::make_shared<tcp::socket>(acceptor_.accept());
            if (isStopping_)
                return;
            sockets_.push_back(socket);
            threads_.emplace_back([this, number, socket] { run(*socket, number); });
        }
    }
    void run(tcp::socket &socket, int number)
    {
        boost::system::error_code error;
        try {
            script_(socket, number);
        } catch (const boost::system::system_error &) {
            // The client has closed the connection.
        }
        socket.shutdown(tcp::socket::shutdown_both, error);
    }

    Script script_;
    asio::io_context context_;
    tcp::acceptor acceptor_ {context_};
    std::atomic<bool> isStopping_ = false;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptThread_;
};

// Reads the head of the next request and returns its target. Throws if the client closes.
std::string readTarget(tcp::socket &socket)
{
    std::string head;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n");
    const size_t start = head.find(' ') + 1;
    return head.substr(start, head.find(' ', start) - start);
}

void send(tcp::socket &socket, const std::string &bytes)
{
    asio::write(socket, asio::buffer(bytes));
}

void reset(tcp::socket &socket)
{
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
}

struct Client
{
    explicit Client(HttpClientOptions options = {}) : client(threads, 0, std::move(options)) { }
    ~Client() { threads.stop(); }

    std::future<Result<HttpResponse>> begin(const Endpoint &endpoint, const std::string &target,
                                            Duration timeout = testTimeout, std::string body = {})
    {
        auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
        client.send(
                endpoint, {"POST", target, {}, std::move(body)}, timeout,
                [promise](Result<HttpResponse> result) { promise->set_value(std::move(result)); });
        return promise->get_future();
    }
    Result<HttpResponse> get(const Endpoint &endpoint, const std::string &target,
                             Duration timeout = testTimeout, std::string body = {})
    {
        return begin(endpoint, target, timeout, std::move(body)).get();
    }

    IoThreads threads {1};
    HttpClient client;
};

bool hasVerdict(const Result<HttpResponse> &result, Verdict verdict)
{
    return !result.has_value() && result.error().verdict == verdict;
}

} // namespace

// Guards against an interim response that counts as the answer. The final one would be read as the
// answer to the next request on the connection.
BOOST_FIXTURE_TEST_CASE(interim_response_is_not_the_answer, Client)
{
    ScriptedServer server([](tcp::socket &socket, int) {
        for (;;) {
            const std::string target = readTarget(socket);
            send(socket,
                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + response(target));
        }
    });
    for (const char *target : {"/1", "/2"}) {
        const auto result = get(server.endpoint(), target);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result.value().status == 200);
        BOOST_TEST(result.value().body == target);
    }
}

// Guards against a second response on a connection that is read as the answer to the next request.
BOOST_FIXTURE_TEST_CASE(surplus_response_answers_no_later_request, Client)
{
    ScriptedServer server([](tcp::socket &socket, int) {
        for (;;) {
            const std::string target = readTarget(socket);
            send(socket, response(target) + response("surplus"));
        }
    });
    for (const char *target : {"/1", "/2", "/3"}) {
        const auto result = get(server.endpoint(), target);
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result.value().body == target);
    }
}

// Guards against a response that comes after the timeout and is read as the answer to another
// request.
BOOST_FIXTURE_TEST_CASE(late_response_answers_no_later_request, Client)
{
    std::promise<void> hasTimedOut;
    const auto timedOut = hasTimedOut.get_future().share();
    ScriptedServer server([timedOut](tcp::socket &socket, int number) {
        const std::string target = readTarget(socket);
        if (number == 0)
            timedOut.wait();
        send(socket, response(target));
        readTarget(socket);
    });
    const auto late = get(server.endpoint(), "/late", 500ms);
    hasTimedOut.set_value();
    BOOST_TEST(hasVerdict(late, Verdict::MayHaveRun));
    std::this_thread::sleep_for(50ms);
    const auto result = get(server.endpoint(), "/next");
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result.value().body == "/next");
}

// Guards against the verdict NotRun, and against a second transmission, of a request that the
// server read before it closed a connection in use.
BOOST_FIXTURE_TEST_CASE(request_on_a_connection_that_closes_is_sent_once, Client)
{
    for (const bool isReset : {false, true}) {
        std::atomic<int> received = 0;
        ScriptedServer server([&](tcp::socket &socket, int) {
            send(socket, response(readTarget(socket)));
            readTarget(socket);
            ++received;
            if (isReset)
                reset(socket);
        });
        BOOST_TEST(get(server.endpoint(), "/1").has_value());
        BOOST_TEST(hasVerdict(get(server.endpoint(), "/2"), Verdict::MayHaveRun));
        std::this_thread::sleep_for(50ms);
        BOOST_TEST(received == 1);
    }
}

// Guards against the verdict NotRun for a request of which the server has read a part.
BOOST_FIXTURE_TEST_CASE(request_that_is_written_in_part_may_have_run, Client)
{
    const std::string body(64U << 20, 'x');
    ScriptedServer resetting([](tcp::socket &socket, int) {
        readTarget(socket);
        reset(socket);
    });
    BOOST_TEST(hasVerdict(get(resetting.endpoint(), "/", testTimeout, body), Verdict::MayHaveRun));
    std::promise<void> isDone;
    const auto done = isDone.get_future().share();
    ScriptedServer stalled([done](tcp::socket &socket, int) {
        readTarget(socket);
        done.wait();
    });
    BOOST_TEST(hasVerdict(get(stalled.endpoint(), "/", 500ms, body), Verdict::MayHaveRun));
    isDone.set_value();
}

// Guards against a response that comes before the request is written whole and is credited to the
// next request.
BOOST_FIXTURE_TEST_CASE(early_response_answers_no_later_request, Client)
{
    ScriptedServer server([](tcp::socket &socket, int number) {
        const std::string target = readTarget(socket);
        send(socket, response(target));
        if (number == 0)
            std::this_thread::sleep_for(100ms); // leaves the body of the first request unread
        else
            readTarget(socket);
    });
    const auto early = get(server.endpoint(), "/early", testTimeout, std::string(64U << 20, 'x'));
    BOOST_TEST((early.has_value() || hasVerdict(early, Verdict::MayHaveRun)));
    const auto result = get(server.endpoint(), "/next");
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result.value().body == "/next");
}

// Guards against a response that is cut, or is none, and counts as an answer.
BOOST_FIXTURE_TEST_CASE(response_that_is_cut_may_have_run, Client)
{
    for (const std::string bytes :
         {"HTTP/1.1 409 Conflict\r\nContent-Length: 40\r\n\r\n{\"reason\":\"old\"}",
          "HTTP/1.1 409 Conflict\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{\"r", "HTTP/1.1 409",
          "nonsense\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n", ""}) {
        ScriptedServer server([&](tcp::socket &socket, int) {
            readTarget(socket);
            send(socket, bytes);
        });
        BOOST_TEST(hasVerdict(get(server.endpoint(), "/"), Verdict::MayHaveRun), bytes);
    }
}

// Guards against the verdict NotRun for a queued request that is sent nevertheless.
BOOST_AUTO_TEST_CASE(request_that_expires_in_the_queue_is_not_sent)
{
    HttpClientOptions options;
    options.maxConnectionsPerEndpoint = 1;
    Client client(options);
    std::atomic<int> received = 0;
    std::promise<void> hasExpired;
    const auto expired = hasExpired.get_future().share();
    ScriptedServer server([&received, expired](tcp::socket &socket, int) {
        for (;;) {
            const std::string target = readTarget(socket);
            ++received;
            expired.wait();
            send(socket, response(target));
        }
    });
    auto first = client.begin(server.endpoint(), "/1");
    auto second = client.begin(server.endpoint(), "/2", 50ms);
    const auto result = second.get();
    hasExpired.set_value();
    BOOST_TEST(hasVerdict(result, Verdict::NotRun));
    BOOST_TEST(first.get().has_value());
    BOOST_TEST(client.get(server.endpoint(), "/3").value().body == "/3");
    BOOST_TEST(received == 2);
}

// Guards against an answer long after the timeout while the server accepts no connection.
BOOST_AUTO_TEST_CASE(connecting_takes_no_longer_than_the_timeout)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::v4());
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen(0);
    // Fills the backlog, so that the kernel drops further attempts to connect.
    std::vector<tcp::socket> waiting;
    for (int i = 0; i < 3; ++i) {
        waiting.emplace_back(context);
        waiting.back().async_connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
    }
    context.poll();
    HttpClientOptions options;
    options.connectTimeout = testTimeout;
    Client client(options);
    const auto start = std::chrono::steady_clock::now();
    const auto result = client.get({"127.0.0.1", acceptor.local_endpoint().port()}, "/", 100ms);
    BOOST_TEST(hasVerdict(result, Verdict::NotRun));
    BOOST_TEST((std::chrono::steady_clock::now() - start < testTimeout / 2));
}

// Guards against requests that are never answered after the callback of another one has thrown.
BOOST_AUTO_TEST_CASE(exception_in_a_callback_leaves_other_requests_alone)
{
    HttpClientOptions options;
    options.maxConnectionsPerEndpoint = 1;
    Client client(options);
    std::promise<void> haveExpired;
    const auto allExpired = haveExpired.get_future().share();
    ScriptedServer server([allExpired](tcp::socket &socket, int) {
        for (;;) {
            const std::string target = readTarget(socket);
            if (target == "/slow")
                allExpired.wait();
            send(socket, response(target));
        }
    });
    const auto sendAndThrow = [&](const std::string &target, Duration timeout) {
        client.client.send(
                server.endpoint(), {"GET", target, {}, {}}, timeout,
                [](const Result<HttpResponse> &) { throw std::runtime_error("unexpected"); });
    };
    sendAndThrow("/1", testTimeout);
    auto queued = client.begin(server.endpoint(), "/2");
    BOOST_REQUIRE((queued.wait_for(testTimeout / 2) == std::future_status::ready));
    BOOST_TEST(queued.get().value().body == "/2");

    auto slow = client.begin(server.endpoint(), "/slow");
    sendAndThrow("/3", 30ms);
    auto expired = client.begin(server.endpoint(), "/4", 30ms);
    auto expiredLater = client.begin(server.endpoint(), "/5", 120ms);
    const bool isAnswered = expired.wait_for(testTimeout / 2) == std::future_status::ready;
    const bool isLaterAnswered =
            expiredLater.wait_for(testTimeout / 2) == std::future_status::ready;
    haveExpired.set_value();
    BOOST_REQUIRE((isAnswered && isLaterAnswered));
    BOOST_TEST(hasVerdict(expired.get(), Verdict::NotRun));
    BOOST_TEST(hasVerdict(expiredLater.get(), Verdict::NotRun));
    BOOST_TEST(slow.get().has_value());
}

// Guards against a server whose response makes the client hold more and more: the header, a chunk
// line and the trailers are parsed as a whole.
BOOST_AUTO_TEST_CASE(endless_parts_of_a_response_are_bounded)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &start :
         {chunked + "0\r\na: ", chunked + "1;a=", chunked, std::string("HTTP/1.1 200 OK\r\na: ")}) {
        std::atomic<size_t> sent = 0;
        ScriptedServer server([&](tcp::socket &socket, int) {
            readTarget(socket);
            send(socket, start);
            for (; sent < 50'000'000; sent += 65536)
                send(socket, std::string(65536, '0'));
        });
        Client client;
        const auto result = client.get(server.endpoint(), "/");
        BOOST_REQUIRE(!result.has_value());
        BOOST_TEST((result.error().verdict == Verdict::MayHaveRun));
        BOOST_TEST((result.error().code != ErrorCode::Timeout));
    }
}

// Guards against fields behind the body that change what the header says.
BOOST_AUTO_TEST_CASE(fields_of_trailers_are_dropped)
{
    ScriptedServer server([&](tcp::socket &socket, int) {
        for (;;) {
            readTarget(socket);
            send(socket,
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
                 "Retry-After: 9\r\nContent-Type: a/b\r\nConnection: close\r\n\r\n");
        }
    });
    Client client;
    for (int i = 0; i < 2; ++i) {
        const auto result = client.get(server.endpoint(), "/");
        BOOST_REQUIRE(result.has_value());
        BOOST_TEST(result.value().body == "ok");
        BOOST_TEST(result.value().contentType == "");
        BOOST_TEST(result.value().header("Retry-After") == "");
    }
}

// Guards against an end of a chunked body that arrives in pieces: the parser asserts that it gets
// the last size line and both line ends at once.
BOOST_AUTO_TEST_CASE(chunked_response_may_arrive_in_any_pieces)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string lastChunk = "0\r\n\r\n";
    for (const std::string &chunk : {std::string("2\r\nok\r\n"), std::string()}) {
        std::string whole = head;
        whole += chunk;
        whole += lastChunk;
        for (size_t cut = head.size(); cut < whole.size(); ++cut) {
            ScriptedServer server([&](tcp::socket &socket, int) {
                readTarget(socket);
                for (const std::string &part : {whole.substr(0, cut), whole.substr(cut, 1)}) {
                    send(socket, part);
                    std::this_thread::sleep_for(10ms);
                }
                send(socket, whole.substr(cut + 1));
                readTarget(socket); // waits for the end of the connection
            });
            Client client;
            const auto result = client.get(server.endpoint(), "/");
            BOOST_REQUIRE(result.has_value());
            BOOST_TEST(result.value().body == (chunk.empty() ? "" : "ok"));
        }
    }
}

// Guards against responses that are each below the limit and together exceed the memory of a VM.
BOOST_AUTO_TEST_CASE(all_unfinished_responses_are_bounded_together)
{
    constexpr int requests = 6;
    ScriptedServer server([&](tcp::socket &socket, int) {
        readTarget(socket);
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 12000000\r\n\r\n");
        const std::string half(5'000'000, 'x');
        send(socket, half);
        send(socket, half);
        readTarget(socket); // waits for the end of the connection
    });
    Client client;
    std::vector<std::future<Result<HttpResponse>>> results;
    results.reserve(requests);
    for (int i = 0; i < requests; ++i)
        results.push_back(client.begin(server.endpoint(), "/" + std::to_string(i), 5s));
    int refused = 0;
    for (auto &result : results) {
        const auto response = result.get();
        BOOST_REQUIRE(!response.has_value());
        refused += response.error().code == ErrorCode::AnswerTooLarge ? 1 : 0;
    }
    BOOST_TEST(refused >= 1);
    BOOST_TEST(refused < requests);
}
