#include "iothreads.h"
#include "messagereader.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <deque>
#include <future>
#include <map>

namespace lovage {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

// Status of a response after which the connection no longer carries HTTP.
constexpr unsigned switchingProtocols = 101;
// Limit of the unparsed input of one connection: the header of a response, a chunk line with its
// extensions, or the trailers, which are parsed as a whole.
constexpr size_t maxUnparsedBytes = 64U << 10;
constexpr size_t maxHeaderBytes = 8U << 10;
// Bytes of all unfinished responses of one client. The largest one fails if they are exceeded.
// The reserve is for answers of servers beside large reads of the store.
constexpr ByteBudget::Limits responseBytes {32U << 20, 8U << 20, 64U << 10};

// One request from send() to its callback.
struct Exchange
{
    HttpRequest request;
    HttpClient::Callback callback;
    SteadyClock::time_point deadline;
};

http::request<http::string_body> toMessage(const Endpoint &endpoint, HttpRequest request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(http::field::host, toString(endpoint));
    message.keep_alive(true);
    for (const HttpHeader &header : request.headers)
        message.set(header.name, header.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

// Returns whether another response to the same request follows.
bool isInterim(unsigned status)
{
    return status >= 100 && status < 200 && status != switchingProtocols;
}

HttpResponse takeResponse(HttpMessageReader<false> &reader)
{
    HttpResponse response;
    response.headers = reader.takeHeaders();
    response.contentType = std::string(response.header("Content-Type"));
    auto message = reader.take();
    response.status = static_cast<int>(message.result_int());
    response.body = std::move(message.body());
    return response;
}

} // namespace

// The connections to one endpoint and the queue of requests that wait for a free connection.
class EndpointPool : public std::enable_shared_from_this<EndpointPool>
{
public:
    EndpointPool(asio::io_context &context, Endpoint endpoint, HttpClientOptions options,
                 std::shared_ptr<ConnectionBudget> budget)
        : context_(context), endpoint_(std::move(endpoint)), options_(std::move(options)),
          budget_(std::move(budget))
    { }

    void add(Exchange exchange);
    void expire();
    // Closes the idle connections. Called after a timeout too, because a network fault can make all
    // connections to an endpoint unresponsive without resetting them.
    void closeIdle();

private:
    struct Connection
    {
        explicit Connection(asio::io_context &context) : stream(context) { }

        beast::tcp_stream stream;
        HttpMessageReader<false> reader;
        http::request<http::string_body> message;
        std::optional<Exchange> exchange;
        SteadyClock::time_point idleSince;
        std::optional<uint64_t> heldAs {}; // in the budget
        uint64_t exchanges = 0;            // number of exchanges that have ended
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    static bool isReusable(const Connection &connection);
    void startQueued();
    ConnectionPtr acquireIdle();
    void connect(const ConnectionPtr &connection);
    void write(const ConnectionPtr &connection);
    void read(const ConnectionPtr &connection);
    void readSome(const ConnectionPtr &connection);
    void onRead(const ConnectionPtr &connection, error_code error, size_t count);
    void onParsed(const ConnectionPtr &connection);
    void failRead(const ConnectionPtr &connection, const error_code &error);
    void hold(const ConnectionPtr &connection);
    void release(Connection &connection, bool isKept);
    void finish(const ConnectionPtr &connection, Result<HttpResponse> result, bool reuse);
    Error queueTimeout() const;
    void failExpired();

    asio::io_context &context_;
    Endpoint endpoint_;
    HttpClientOptions options_;
    std::shared_ptr<ConnectionBudget> budget_;
    std::deque<Exchange> queue_;
    std::vector<ConnectionPtr> idle_;
    size_t connectionCount_ = 0;
};

void EndpointPool::add(Exchange exchange)
{
    if (queue_.size() >= options_.maxQueuedPerEndpoint) {
        exchange.callback(
                notRun(ErrorCode::Overloaded,
                       fmt::format("too many requests wait for {}", toString(endpoint_))));
        return;
    }
    queue_.push_back(std::move(exchange));
    startQueued();
}

void EndpointPool::startQueued()
{
    while (!queue_.empty()) {
        ConnectionPtr connection = acquireIdle();
        const bool isConnected = connection != nullptr;
        if (!isConnected) {
            if (connectionCount_ >= options_.maxConnectionsPerEndpoint)
                return;
            connection = std::make_shared<Connection>(context_);
            ++connectionCount_;
        }
        connection->exchange = std::move(queue_.front());
        queue_.pop_front();
        if (isConnected)
            write(connection);
        else
            connect(connection);
    }
}

// Returns an idle connection, or null. Connections that the server has closed are discarded:
// a failed request on one of them would have to be reported as MayHaveRun.
EndpointPool::ConnectionPtr EndpointPool::acquireIdle()
{
    while (!idle_.empty()) {
        ConnectionPtr connection = std::move(idle_.back());
        idle_.pop_back();
        char byte = 0;
        const auto count = recv(connection->stream.socket().native_handle(), &byte, 1,
                                MSG_PEEK | MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return connection;
        connection->stream.close();
        --connectionCount_;
    }
    return nullptr;
}

void EndpointPool::connect(const ConnectionPtr &connection)
{
    const auto to = toTcpEndpoint(endpoint_);
    if (!to) {
        finish(connection, to.error(), false);
        return;
    }
    auto &socket = connection->stream.socket();
    if (const error_code error = openOutgoing(socket, to.value(), options_.localAddress)) {
        finish(connection,
               notRun(ErrorCode::PeerUnreachable,
                      fmt::format("cannot open a socket: {}", error.message())),
               false);
        return;
    }
    connection->stream.expires_at(
            std::min(SteadyClock::now() + options_.connectTimeout, connection->exchange->deadline));
    connection->stream.async_connect(
            to.value(), [self = shared_from_this(), connection](error_code error) {
                if (error) {
                    self->finish(connection,
                                 notRun(ErrorCode::PeerUnreachable,
                                        fmt::format("cannot connect to {}: {}",
                                                    toString(self->endpoint_), error.message())),
                                 false);
                    return;
                }
                self->write(connection);
            });
}

void EndpointPool::write(const ConnectionPtr &connection)
{
    if (connection->exchange->deadline <= SteadyClock::now()) {
        finish(connection, queueTimeout(), true);
        return;
    }
    connection->message = toMessage(endpoint_, std::move(connection->exchange->request));
    connection->stream.expires_at(connection->exchange->deadline);
    http::async_write(connection->stream, connection->message,
                      [self = shared_from_this(), connection](error_code error, size_t) {
                          if (error) {
                              self->finish(connection,
                                           mayHaveRun(ErrorCode::PeerUnreachable,
                                                      fmt::format("cannot write to {}: {}",
                                                                  toString(self->endpoint_),
                                                                  error.message())),
                                           false);
                              return;
                          }
                          self->read(connection);
                      });
}

void EndpointPool::read(const ConnectionPtr &connection)
{
    connection->reader.start(options_.maxResponseBytes, maxHeaderBytes);
    readSome(connection);
}

void EndpointPool::readSome(const ConnectionPtr &connection)
{
    connection->stream.async_read_some(
            connection->reader.prepare(),
            [self = shared_from_this(), connection](error_code error, size_t count) {
                // The budget may have ended the exchange.
                if (connection->exchange)
                    self->onRead(connection, error, count);
            });
}

void EndpointPool::onRead(const ConnectionPtr &connection, error_code error, size_t count)
{
    auto &reader = connection->reader;
    if (!error) {
        reader.commit(count);
        error = reader.parse();
    } else if (error == asio::error::eof && reader.consumedBytes() > 0) {
        error = reader.finish();
    }
    if (!error && reader.inputBytes() > maxUnparsedBytes)
        error = http::error::buffer_overflow;
    if (error)
        failRead(connection, error);
    else
        onParsed(connection);
}

void EndpointPool::onParsed(const ConnectionPtr &connection)
{
    auto &reader = connection->reader;
    while (reader.isDone() && isInterim(reader.message().result_int())) {
        reader.start(options_.maxResponseBytes, maxHeaderBytes);
        if (const error_code error = reader.parse()) {
            failRead(connection, error);
            return;
        }
    }
    if (reader.isDone()) {
        const bool reuse = isReusable(*connection);
        finish(connection, takeResponse(reader), reuse);
        return;
    }
    hold(connection);
    readSome(connection);
}

void EndpointPool::failRead(const ConnectionPtr &connection, const error_code &error)
{
    ErrorCode code = ErrorCode::PeerUnreachable;
    if (error == beast::error::timeout) {
        code = ErrorCode::Timeout;
        closeIdle();
    } else if (error == http::error::body_limit || error == http::error::buffer_overflow) {
        code = ErrorCode::AnswerTooLarge;
    }
    finish(connection,
           mayHaveRun(code,
                      fmt::format("no response from {}: {}", toString(endpoint_), error.message())),
           false);
}

void EndpointPool::hold(const ConnectionPtr &connection)
{
    if (!connection->heldAs) {
        const auto fail = [weak = weak_from_this(), weakConnection = std::weak_ptr(connection),
                           number = connection->exchanges] {
            const auto self = weak.lock();
            const auto held = weakConnection.lock();
            if (self && held && held->exchange && held->exchanges == number)
                self->finish(held,
                             mayHaveRun(ErrorCode::AnswerTooLarge,
                                        fmt::format("too many bytes of responses; the one from {} "
                                                    "is the largest",
                                                    toString(self->endpoint_))),
                             false);
        };
        // A handler of its own, because the callback of the exchange may throw.
        connection->heldAs =
                budget_->open([context = &context_, fail] { asio::post(*context, fail); });
    }
    budget_->hold(*connection->heldAs, connection->reader.heldBytes());
}

// Ends the accounting of a response. Its memory is freed with the connection, or here if the
// connection is kept: a read that is pending on a closed connection still uses it.
void EndpointPool::release(Connection &connection, bool isKept)
{
    if (connection.heldAs)
        budget_->close(*connection.heldAs);
    connection.heldAs.reset();
    if (!isKept)
        return;
    connection.reader.release();
}

// Returns whether the next request may use the connection of a response that was read. Bytes behind
// the response belong to no request and would be read as the answer to the next one.
bool EndpointPool::isReusable(const Connection &connection)
{
    return connection.reader.keepsAlive() && !connection.reader.hasInput()
            && connection.reader.message().result_int() != switchingProtocols;
}

void EndpointPool::finish(const ConnectionPtr &connection, Result<HttpResponse> result, bool reuse)
{
    Exchange exchange = std::move(*connection->exchange);
    connection->exchange.reset();
    ++connection->exchanges;
    release(*connection, reuse);
    if (reuse) {
        connection->stream.expires_never();
        connection->idleSince = SteadyClock::now();
        idle_.push_back(connection);
    } else {
        connection->stream.close();
        --connectionCount_;
    }
    // The next request is started from the event loop, because the callback may throw.
    if (!queue_.empty())
        asio::post(context_, [self = shared_from_this()] { self->startQueued(); });
    exchange.callback(std::move(result));
}

Error EndpointPool::queueTimeout() const
{
    return notRun(ErrorCode::Timeout,
                  fmt::format("no free connection to {} in time", toString(endpoint_)));
}

void EndpointPool::failExpired()
{
    const auto now = SteadyClock::now();
    std::deque<Exchange> remaining;
    std::vector<Exchange> expired;
    for (Exchange &exchange : queue_) {
        if (exchange.deadline <= now)
            expired.push_back(std::move(exchange));
        else
            remaining.push_back(std::move(exchange));
    }
    queue_ = std::move(remaining);
    // Each callback is a handler of its own, because it may throw.
    for (Exchange &exchange : expired)
        asio::post(context_, [callback = std::move(exchange.callback), error = queueTimeout()] {
            callback(error);
        });
}

// Fails queued requests past their deadline and closes connections past the idle timeout.
void EndpointPool::expire()
{
    failExpired();
    const auto oldest = SteadyClock::now() - options_.idleTimeout;
    std::erase_if(idle_, [&](const ConnectionPtr &connection) {
        if (connection->idleSince >= oldest)
            return false;
        connection->stream.close();
        --connectionCount_;
        return true;
    });
}

void EndpointPool::closeIdle()
{
    for (const ConnectionPtr &connection : idle_)
        connection->stream.close();
    connectionCount_ -= idle_.size();
    idle_.clear();
}

class HttpClient::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::io_context &context, HttpClientOptions options)
        : context_(context), options_(std::move(options)), expiryTimer_(context),
          budget_(options_.budget ? options_.budget
                                  : std::make_shared<ConnectionBudget>(responseBytes))
    { }

    void send(const Endpoint &endpoint, Exchange exchange)
    {
        asio::post(context_,
                   [self = shared_from_this(), endpoint, exchange = std::move(exchange)]() mutable {
                       auto &pool = self->pools_[endpoint];
                       if (!pool)
                           pool = std::make_shared<EndpointPool>(self->context_, endpoint,
                                                                 self->options_, self->budget_);
                       pool->add(std::move(exchange));
                   });
    }

    void scheduleExpiry()
    {
        expiryTimer_.expires_after(expiryInterval);
        expiryTimer_.async_wait([weak = weak_from_this()](error_code error) {
            const auto self = weak.lock();
            if (error || !self)
                return;
            for (const auto &[endpoint, pool] : self->pools_)
                pool->expire();
            self->scheduleExpiry();
        });
    }

    void close()
    {
        asio::post(context_, [self = shared_from_this()] {
            self->expiryTimer_.cancel();
            for (const auto &[endpoint, pool] : self->pools_)
                pool->closeIdle();
        });
    }

private:
    // Upper bound on the delay between the deadline of a queued request and its failure report.
    static constexpr Duration expiryInterval = std::chrono::milliseconds(20);

    asio::io_context &context_;
    HttpClientOptions options_;
    asio::steady_timer expiryTimer_;
    std::shared_ptr<ConnectionBudget> budget_;
    std::map<Endpoint, std::shared_ptr<EndpointPool>> pools_;
};

HttpClient::HttpClient(IoThreads &threads, size_t thread, HttpClientOptions options)
    : implementation_(
            std::make_shared<Implementation>(contextOf(threads, thread), std::move(options)))
{
    implementation_->scheduleExpiry();
}

HttpClient::~HttpClient()
{
    implementation_->close();
}

void HttpClient::send(const Endpoint &endpoint, HttpRequest request, Duration timeout,
                      Callback callback)
{
    implementation_->send(
            endpoint,
            Exchange {std::move(request), std::move(callback), SteadyClock::now() + timeout});
}

Result<HttpResponse> sendHttp(const Endpoint &endpoint, HttpRequest request, Duration timeout)
{
    IoThreads threads(1);
    HttpClient client(threads, 0, {});
    std::promise<Result<HttpResponse>> promise;
    auto future = promise.get_future();
    client.send(endpoint, std::move(request), timeout,
                [&promise](Result<HttpResponse> result) { promise.set_value(std::move(result)); });
    Result<HttpResponse> result = future.get();
    threads.stop();
    return result;
}

} // namespace lovage
