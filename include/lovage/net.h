// Network I/O: event loop threads, an HTTP server and client, UDP sockets, and framed TCP messages.
#pragma once

#include "lovage/core.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <utility>
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
// Number of descriptors that the process may have open.
size_t descriptorLimit();

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
    // bound. Up to EventLoopLag::tickInterval on a loop that is in time. Set by HttpServer only.
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

// Decides which of many holders must give up their bytes when all together hold too many. Without
// I/O and not thread safe.
//
// A holder is an unfinished request, an answer that is being sent, or an unfinished frame. If the
// budget is exceeded, the largest holder is refused first, and the newest among equals. Large
// holders cannot use the reserve, so ordinary callers find room while large requests compete.
class ByteBudget
{
public:
    struct Limits
    {
        size_t maxBytes = 64U << 20;
        size_t reservedBytes = 16U << 20;
        size_t ordinaryBytes = 64U << 10; // a holder of more bytes is large
    };
    using Holder = uint64_t;

    explicit ByteBudget(const Limits &limits) : limits_(limits) { }

    Holder open();
    void close(Holder holder);
    // Sets the number of bytes of a holder. Returns the holders that are refused, which may include
    // this one; they are closed. Has no effect on a closed holder.
    std::vector<Holder> hold(Holder holder, size_t bytes);
    size_t heldBytes() const { return total_; }

private:
    bool isLarge(size_t bytes) const { return bytes > limits_.ordinaryBytes; }
    bool isExceeded() const;
    void subtract(size_t bytes, Holder holder);

    Limits limits_;
    Holder lastHolder_ = 0;
    std::map<Holder, size_t> held_;
    std::set<std::pair<size_t, Holder>> bySize_;
    size_t total_ = 0;
    size_t largeTotal_ = 0;
};

// A ByteBudget that the connections of several servers share. Thread safe.
class ConnectionBudget
{
public:
    explicit ConnectionBudget(const ByteBudget::Limits &limits) : budget_(limits) { }

    // `refuse` is called when the holder must free its bytes: once, on the thread of the holder
    // that exceeded the budget. It must not call this object.
    uint64_t open(std::function<void()> refuse);
    void hold(uint64_t holder, size_t bytes);
    void close(uint64_t holder);
    size_t heldBytes() const;

private:
    mutable std::mutex mutex_;
    ByteBudget budget_;
    std::map<uint64_t, std::function<void()>> refuse_;
};

// Makes a budget of which a quarter is reserved for holders of up to `ordinaryBytes`.
std::shared_ptr<ConnectionBudget> makeBudget(size_t maxBytes, size_t ordinaryBytes);

// An ordinary request is a job with a spec of 4,000 bytes in a few steps, with a buffer that has
// grown to twice its size.
constexpr size_t ordinaryRequestBytes = 64U << 10;
constexpr size_t ordinaryFrameBytes = 512U << 10;

struct HttpLimits
{
    size_t maxBodyBytes = 8U << 20;
    // Limit of the header, of each chunk line with its extensions, and of the trailers.
    size_t maxHeaderBytes = 16U << 10;
    size_t maxHeaderFields = 256; // with the trailers
    // Limit of all bytes of one request: header, chunk lines, body and trailers.
    size_t maxRequestBytes = 16U << 20;
    size_t maxConnections = 4096;
    Duration idleTimeout = std::chrono::seconds(60); // between two requests of one connection
    Duration readTimeout = std::chrono::seconds(10); // from the first byte of a request to its last
    Duration writeTimeout = std::chrono::seconds(10);
    // A connection that the server ends stays open for this time, so that the client can read the
    // last answer; of what the client sends meanwhile, this many bytes are read and dropped.
    Duration lingerTimeout = std::chrono::milliseconds(500);
    size_t maxLingerBytes = 256U << 10;
    // Bytes held by connections; shared by all servers that have the same budget. Without one, the
    // server has a budget of its own.
    std::shared_ptr<ConnectionBudget> budget {};
};

// Why the server refused a request or closed a connection, and the answer that it gave.
struct HttpRefusal
{
    enum class Cause {
        Malformed,
        Header,     // the header, a chunk line or the trailers are too large
        Body,       // the body is too large
        Request,    // all parts together are too large
        Timeout,    // the request was not received in time
        Budget,     // the connections of the process held too many bytes
        Answer,     // the answer was not read in time, or was the largest when bytes ran out
        Connection, // closed without a request, to make room for a new connection
        Count_
    };

    Cause cause = Cause::Malformed;
    int status = 0;
    ErrorCode code = ErrorCode::MalformedBody;
    std::string reason;
};

std::string_view toString(HttpRefusal::Cause cause);

// Counters of one server, for metrics. Read with relaxed ordering.
struct HttpServerStats
{
    std::atomic<uint64_t> connections = 0; // open now
    std::atomic<uint64_t> accepted = 0;
    std::atomic<uint64_t> requests = 0;
    std::atomic<uint64_t> badRequests = 0;       // malformed, too large or not received in time
    std::atomic<uint64_t> abandonedRequests = 0; // the client had closed the connection already
    // Times at which accepting stopped for a while, for want of descriptors or of connections.
    std::atomic<uint64_t> acceptPauses = 0;
    std::array<std::atomic<uint64_t>, static_cast<size_t>(HttpRefusal::Cause::Count_)> refused {};

    uint64_t refusedFor(HttpRefusal::Cause cause) const
    {
        return refused[static_cast<size_t>(cause)].load(std::memory_order_relaxed);
    }
};

// HTTP/1.1 server. The server itself answers malformed, oversized and slow requests with 4xx, and
// requests for which there is no memory with 503; they never reach the handler.
//
// While there are maxConnections, or no descriptor is free, new connections wait in the queue of
// the kernel, and the server closes idle connections to make room.
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
    // Bytes of unfinished responses; shared by all clients that have the same budget. Without one,
    // the client has a budget of its own.
    std::shared_ptr<ConnectionBudget> budget {};
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
    size_t maxQueuedBytes = 64U << 20;       // per endpoint; further frames are dropped and counted
    size_t maxTotalQueuedBytes = 256U << 20; // of all endpoints
    Duration connectTimeout = std::chrono::milliseconds(500);
    // Time without an acknowledgement after which the kernel aborts a connection; 0 for the
    // default of the kernel.
    Duration ackTimeout {};
    std::string localAddress;
    // Of a server: a connection is closed if its first frame, or the rest of a frame after its
    // length, takes longer, or if the unfinished frame is the one that the budget refuses. Without
    // a budget, the server has one of its own.
    Duration readTimeout = std::chrono::seconds(10);
    size_t maxConnections = 4096;
    std::shared_ptr<ConnectionBudget> budget {};
};

// Counters of one server, for metrics. Read with relaxed ordering.
struct FrameServerStats
{
    std::atomic<uint64_t> connections = 0; // open now
    std::atomic<uint64_t> refused = 0;     // closed by the server
    std::atomic<uint64_t> acceptPauses = 0;
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
    const FrameServerStats &stats() const;

private:
    class Implementation;
    explicit FrameServer(std::shared_ptr<Implementation> implementation);
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lovage
