// Network I/O: event loop threads, an HTTP server and client, UDP sockets, and framed TCP messages.
#pragma once

#include "lovage/core.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovage {

// An IP address with a port. Host names are not resolved, because VMs address each other by IP
// address.
struct Endpoint
{
    std::string address;
    uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

std::string toString(const Endpoint &endpoint);
// Parses "address:port"; IPv6 addresses are in brackets.
std::optional<Endpoint> parseEndpoint(std::string_view text);
bool isLoopback(const Endpoint &endpoint);

// Tells how far an event loop is behind its input. Without I/O and not thread safe: the loop
// reports its progress, from its own thread.
//
// At each tick the loop begins a round of turns. In one turn it runs the handlers that are queued
// and then asks the kernel once for ready descriptors, without waiting. A turn in which no handler
// ran shows that everything that had arrived before the turn has been handled. The kernel reports
// at most 128 descriptors at a time, so a loop that wakes up with many of them needs several turns.
class EventLoopLag
{
public:
    // Interval of the ticks. The lag of a loop that is never late is at most this long.
    static constexpr Duration tickInterval = std::chrono::milliseconds(50);

    explicit EventLoopLag(Time start) : handledThrough_(start) { }

    // Begins a round of turns at a tick.
    void onTick(Time now);
    // Reports the end of a turn and the number of handlers that ran in it. Returns whether the
    // round needs another turn.
    bool onTurn(size_t handlers, Time now);

    // Input that arrived before this time has been handled.
    Time handledThrough() const { return handledThrough_; }

private:
    Time handledThrough_;
    Time roundStart_ {};
    // Beginning of the last turn and of the turn before it.
    Time lastTurn_ {};
    Time secondLastTurn_ {};
    size_t turns_ = 0;
};

// Owns the threads that run socket handlers. Each thread has its own event loop, so all handlers
// of one connection run on one thread. Servers and clients must be destroyed after stop().
class IoThreads
{
public:
    explicit IoThreads(size_t threadCount);
    ~IoThreads();
    IoThreads(const IoThreads &) = delete;
    IoThreads &operator=(const IoThreads &) = delete;

    size_t count() const;
    // Runs a function on one of the threads. Thread safe.
    void post(size_t thread, std::function<void()> function);
    // Runs a function on one of the threads after a delay. Thread safe.
    void postAfter(size_t thread, Duration delay, std::function<void()> function);
    // Lag of a thread's event loop. Must be used on that thread.
    const EventLoopLag &lag(size_t thread) const;
    // Stops the event loops and joins the threads. Handlers that have not run are dropped.
    void stop();

    struct Implementation;
    Implementation &implementation() { return *implementation_; }

private:
    std::unique_ptr<Implementation> implementation_;
};

struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

// Notifies the handler of a request that the client closed the connection before the response.
// onClosed is set and called on the I/O thread of the connection, and is not called once the
// response is being written.
struct DisconnectSignal
{
    std::function<void()> onClosed;
};

struct HttpRequest
{
    std::string method;
    std::string target; // path with query
    std::vector<HttpHeader> headers;
    std::string body;
    std::shared_ptr<DisconnectSignal> disconnect {}; // set by HttpServer only
    // Time for which the last byte of the request may have waited unread on this VM, as an upper
    // bound. Exceeds the true time by EventLoopLag::tickInterval or more. Set by HttpServer only.
    Duration waited {};

    // Value of the first header with this name, ignoring case; empty if absent.
    std::string_view header(std::string_view name) const;
    // Target without the query.
    std::string_view path() const;
    // Value of a query parameter, not percent-decoded; nullopt if absent.
    std::optional<std::string_view> query(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
};

struct HttpLimits
{
    size_t maxBodyBytes = 8U << 20;
    size_t maxHeaderBytes = 16U << 10;
    size_t maxConnections = 4096;
    Duration idleTimeout = std::chrono::seconds(60); // between two requests of one connection
    Duration readTimeout = std::chrono::seconds(10); // from the first byte of a request to its last
    Duration writeTimeout = std::chrono::seconds(10);
};

// Counters of one server, for metrics. Read with relaxed ordering.
struct HttpServerStats
{
    std::atomic<uint64_t> connections = 0; // open now
    std::atomic<uint64_t> accepted = 0;
    std::atomic<uint64_t> rejectedConnections = 0; // above maxConnections
    std::atomic<uint64_t> requests = 0;
    std::atomic<uint64_t> badRequests = 0;       // malformed, too large or not received in time
    std::atomic<uint64_t> abandonedRequests = 0; // the client had closed the connection already
};

// HTTP/1.1 server. The server itself answers malformed, oversized and slow requests with 4xx; they
// never reach the handler.
class HttpServer
{
public:
    // Sends the response. May be called from any thread, once.
    using Reply = std::function<void(HttpResponse)>;
    // Runs on an I/O thread and must not block.
    using Handler = std::function<void(HttpRequest, Reply)>;
    // Builds the response body for an error that the server itself reports.
    using ErrorBody = std::function<std::string(const Error &)>;

    // Binds and listens; port 0 lets the kernel pick one.
    static Result<std::unique_ptr<HttpServer>> listen(IoThreads &threads, const Endpoint &endpoint,
                                                      HttpLimits limits, Handler handler,
                                                      ErrorBody errorBody = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    uint16_t port() const;
    const HttpServerStats &stats() const;
    // From now on, closes each connection after its response. New connections are still accepted.
    void closeAfterAnswers();
    // Closes the connections on which no request is in progress.
    void closeIdle();
    // Stops accepting. Requests in progress are still answered; idle connections are closed.
    void stopAccepting();

private:
    class Implementation;
    explicit HttpServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> implementation_;
};

struct HttpClientOptions
{
    size_t maxConnectionsPerEndpoint = 16;
    size_t maxQueuedPerEndpoint = 10000;
    size_t maxResponseBytes = 16U << 20;
    Duration connectTimeout = std::chrono::milliseconds(500);
    // Shorter than the idle timeout of servers, so that a request is rarely sent on a connection
    // that the server is closing.
    Duration idleTimeout = std::chrono::seconds(20);
    std::string localAddress; // outgoing connections are bound to it; empty for any
};

// HTTP/1.1 client with persistent connections per endpoint. All work runs on one I/O thread.
// Errors carry a verdict: NotRun if no byte of the request was handed to the kernel, MayHaveRun
// otherwise.
class HttpClient
{
public:
    using Callback = std::function<void(Result<HttpResponse>)>;

    HttpClient(IoThreads &threads, size_t thread, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Thread safe. The callback runs on the I/O thread, once, at the latest after the timeout
    // (counted from this call, queueing included).
    void send(const Endpoint &endpoint, HttpRequest request, Duration timeout, Callback callback);

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

// Sends one request and waits for the response. For tools and tests.
Result<HttpResponse> sendHttp(const Endpoint &endpoint, HttpRequest request, Duration timeout);

// UDP socket. Datagrams may be lost, duplicated and reordered.
class UdpSocket
{
public:
    // Runs on the I/O thread.
    using Handler = std::function<void(const Endpoint &from, std::string_view bytes)>;

    static Result<std::unique_ptr<UdpSocket>> open(IoThreads &threads, size_t thread,
                                                   const Endpoint &local, Handler handler);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    uint16_t port() const;
    void send(const Endpoint &to, std::string bytes); // thread safe

private:
    class Implementation;
    explicit UdpSocket(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> implementation_;
};

struct FrameOptions
{
    size_t maxFrameBytes = 32U << 20;
    size_t maxQueuedBytes = 64U << 20; // per endpoint; further frames are dropped and counted
    Duration connectTimeout = std::chrono::milliseconds(500);
    // Time without an acknowledgement after which the kernel aborts a connection; 0 for the
    // default of the kernel.
    Duration ackTimeout {};
    std::string localAddress;
};

// Sends length-prefixed frames over one persistent TCP connection per endpoint. Delivery is not
// guaranteed: frames are lost when a connection breaks, and senders rely on replies and timeouts.
class FrameClient
{
public:
    // Reports that the connection to an endpoint ended. None of the `unsent` frames reached the
    // peer. If `wasConnected`, it is unknown whether the peer received the frames sent before.
    struct Lost
    {
        Endpoint to;
        std::vector<std::string> unsent;
        bool wasConnected = false;
        size_t interrupted = 0; // number of frames whose sending was in progress; they are dropped
    };
    using LostHandler = std::function<void(Lost)>; // runs on the I/O thread

    FrameClient(IoThreads &threads, size_t thread, FrameOptions options, LostHandler onLost = {});
    ~FrameClient();
    FrameClient(const FrameClient &) = delete;
    FrameClient &operator=(const FrameClient &) = delete;

    void send(const Endpoint &to, std::string frame); // thread safe
    uint64_t droppedFrames() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

// Receives the frames sent by FrameClient.
class FrameServer
{
public:
    using Handler = std::function<void(std::string frame)>; // runs on an I/O thread

    static Result<std::unique_ptr<FrameServer>> listen(IoThreads &threads, const Endpoint &endpoint,
                                                       FrameOptions options, Handler handler);
    ~FrameServer();
    FrameServer(const FrameServer &) = delete;
    FrameServer &operator=(const FrameServer &) = delete;

    uint16_t port() const;

private:
    class Implementation;
    explicit FrameServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lovage
