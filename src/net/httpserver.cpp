#include "iothreads.h"

#include "lovage/telemetry.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <sys/socket.h>

#include <cerrno>
#include <map>
#include <mutex>

namespace lovage {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

class HttpServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(IoThreads &threads, asio::ip::tcp::acceptor acceptor, HttpLimits limits,
                   Handler handler, ErrorBody errorBody)
        : threads_(threads), acceptor_(std::move(acceptor)),
          port_(acceptor_.local_endpoint().port()), limits_(limits), handler_(std::move(handler)),
          errorBody_(std::move(errorBody))
    { }

    void accept();
    void acceptPending();
    void openConnection(asio::ip::tcp::socket socket, const EventLoopLag &lag);
    void closeAfterAnswers() { isClosing_ = true; }
    void closeIdle();
    // `close` may be called from any thread while the connection is idle.
    void registerIdle(const void *connection, std::function<void()> close)
    {
        const std::lock_guard lock(idleMutex_);
        idle_[connection] = std::move(close);
    }
    void unregisterIdle(const void *connection)
    {
        const std::lock_guard lock(idleMutex_);
        idle_.erase(connection);
    }
    void stopAccepting();

    uint16_t port() const { return port_; }
    HttpServerStats &stats() { return stats_; }
    const HttpLimits &limits() const { return limits_; }
    bool isStopping() const { return isStopping_.load(std::memory_order_relaxed); }
    bool isClosing() const { return isClosing_.load(std::memory_order_relaxed) || isStopping(); }
    void handle(HttpRequest request, Reply reply)
    {
        handler_(std::move(request), std::move(reply));
    }
    std::string errorBody(const Error &error) const;

private:
    IoThreads &threads_;
    asio::ip::tcp::acceptor acceptor_;
    uint16_t port_;
    HttpLimits limits_;
    Handler handler_;
    ErrorBody errorBody_;
    HttpServerStats stats_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<bool> isClosing_ = false;
    std::mutex idleMutex_;
    std::map<const void *, std::function<void()>> idle_;
    size_t nextThread_ = 0;
};

namespace {

// Thread that accepts connections. They are shared between all threads.
constexpr size_t acceptThread = 0;

// Response status, code and reason for a request that could not be read.
struct ParseFailure
{
    http::status status;
    ErrorCode code;
    std::string reason;
};

ParseFailure describe(const error_code &error)
{
    if (error == http::error::body_limit)
        return {http::status::payload_too_large, ErrorCode::BodyTooLarge,
                "request body is larger than the limit"};
    if (error == http::error::header_limit)
        return {http::status::request_header_fields_too_large, ErrorCode::MalformedBody,
                "request header is larger than the limit"};
    if (error == beast::error::timeout)
        return {http::status::request_timeout, ErrorCode::Timeout,
                "request was not received in time"};
    return {http::status::bad_request, ErrorCode::MalformedBody,
            fmt::format("malformed HTTP request: {}", error.message())};
}

} // namespace

// One accepted connection. Its pending operations own it.
template<class Server>
class HttpConnection : public std::enable_shared_from_this<HttpConnection<Server>>
{
public:
    // The connection may have waited in the accept queue since `pendingSince`, with a request.
    HttpConnection(asio::ip::tcp::socket socket, std::shared_ptr<Server> server,
                   const EventLoopLag &lag, Time pendingSince)
        : stream_(std::move(socket)), server_(std::move(server)), lag_(lag),
          readTimer_(stream_.get_executor()), unreadSince_(pendingSince)
    {
        server_->stats().connections.fetch_add(1, std::memory_order_relaxed);
    }
    ~HttpConnection()
    {
        server_->unregisterIdle(this);
        server_->stats().connections.fetch_sub(1, std::memory_order_relaxed);
    }

    // Waits for the first byte of a request under the idle timeout, then for the rest under the
    // read timeout, so that a slow sender cannot hold the connection open for long.
    void readRequest()
    {
        parser_.emplace();
        parser_->body_limit(server_->limits().maxBodyBytes);
        parser_->header_limit(static_cast<uint32_t>(server_->limits().maxHeaderBytes));
        isReading_ = true;
        if (buffer_.size() > 0) {
            readWholeRequest();
            return;
        }
        if (unreadSince_ && peek() == PeekResult::Empty)
            unreadSince_.reset();
        server_->registerIdle(this, [weak = this->weak_from_this()] {
            if (const auto self = weak.lock())
                asio::post(self->stream_.get_executor(), [self] { self->closeIfIdle(); });
        });
        isIdle_ = true;
        stream_.expires_after(server_->limits().idleTimeout);
        stream_.async_read_some(buffer_.prepare(readChunkBytes),
                                [self = this->shared_from_this()](error_code error, size_t count) {
                                    self->isIdle_ = false;
                                    self->server_->unregisterIdle(self.get());
                                    if (error)
                                        return;
                                    self->buffer_.commit(count);
                                    self->readWholeRequest();
                                });
    }

private:
    static constexpr size_t readChunkBytes = 4096;

    // On timeout the read is cancelled but the socket stays open, so that the client receives a
    // 408.
    void readWholeRequest()
    {
        stream_.expires_never();
        hasReadTimedOut_ = false;
        readTimer_.expires_after(server_->limits().readTimeout);
        readTimer_.async_wait([self = this->shared_from_this()](error_code error) {
            if (error)
                return;
            self->hasReadTimedOut_ = true;
            self->stream_.cancel();
        });
        http::async_read(stream_, buffer_, *parser_,
                         [self = this->shared_from_this()](error_code error, size_t) {
                             self->readTimer_.cancel();
                             self->finishRead(error);
                         });
    }

    void finishRead(error_code error)
    {
        isReading_ = false;
        const Time arrivedAfter = unreadSince_.value_or(lag_.handledThrough());
        unreadSince_.reset();
        if (buffer_.size() > 0)
            unreadSince_ = arrivedAfter; // the next request has arrived together with this one
        if (error) {
            rejectRequest(error);
            return;
        }
        server_->stats().requests.fetch_add(1, std::memory_order_relaxed);
        auto message = parser_->release();
        keepAlive_ = message.keep_alive();
        HttpRequest request;
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto &field : message)
            request.headers.push_back(
                    {std::string(field.name_string()), std::string(field.value())});
        request.body = std::move(message.body());
        request.waited = currentTime() - arrivedAfter;
        if (peek() == PeekResult::Closed) {
            dropRequest(request);
            return;
        }
        disconnect_ = std::make_shared<DisconnectSignal>();
        request.disconnect = disconnect_;
        watchForDisconnect();
        server_->handle(std::move(request),
                        [self = this->shared_from_this()](HttpResponse response) {
                            asio::post(self->stream_.get_executor(),
                                       [self, response = std::move(response)]() mutable {
                                           self->writeResponse(std::move(response));
                                       });
                        });
    }

    // A request whose client has closed the connection is not handled: nobody waits for the
    // response, and the client may have sent the request to another server meanwhile.
    void dropRequest(const HttpRequest &request)
    {
        server_->stats().abandonedRequests.fetch_add(1, std::memory_order_relaxed);
        logEvent(LogLevel::Info, "request-abandoned",
                 {{"method", request.method},
                  {"target", request.target},
                  {"waited_us", request.waited.count()}});
        stream_.close();
    }

    // At most one wait is pending. It also completes when the next request arrives;
    // handleReadable() peeks at the socket to distinguish that from a closed connection.
    void watchForDisconnect()
    {
        if (isWatching_)
            return;
        isWatching_ = true;
        stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                    [self = this->shared_from_this()](error_code error) {
                                        self->isWatching_ = false;
                                        if (!error && !self->isReading_)
                                            self->handleReadable();
                                    });
    }

    // Handles input that arrived while no read is pending.
    void handleReadable()
    {
        const PeekResult result = peek();
        if (result == PeekResult::Empty) {
            watchForDisconnect();
            return;
        }
        if (!unreadSince_)
            unreadSince_ = lag_.handledThrough();
        if (result == PeekResult::Data || !disconnect_)
            return;
        const auto signal = std::move(disconnect_);
        if (signal->onClosed)
            signal->onClosed();
    }

    enum class PeekResult {
        Empty,
        Data,
        Closed, // the client has closed the connection, or it is broken
    };

    PeekResult peek()
    {
        char byte = 0;
        const auto count =
                recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (count > 0)
            return PeekResult::Data;
        const bool isEmpty = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        return isEmpty ? PeekResult::Empty : PeekResult::Closed;
    }

    void rejectRequest(error_code error)
    {
        if (hasReadTimedOut_)
            error = beast::error::timeout;
        if (error == http::error::end_of_stream || error == asio::error::operation_aborted)
            return;
        server_->stats().badRequests.fetch_add(1, std::memory_order_relaxed);
        const bool isDisconnected = error == asio::error::connection_reset
                || error == http::error::partial_message || error == asio::error::eof;
        if (isDisconnected || !stream_.socket().is_open())
            return;
        const ParseFailure failure = describe(error);
        keepAlive_ = false;
        HttpResponse response;
        response.status = static_cast<int>(failure.status);
        response.body = server_->errorBody(notRun(failure.code, failure.reason));
        writeResponse(std::move(response));
    }

    void writeResponse(HttpResponse response)
    {
        disconnect_.reset();
        keepAlive_ = keepAlive_ && !server_->isClosing();
        response_ = {};
        response_.result(static_cast<unsigned>(response.status));
        response_.version(11);
        response_.set(http::field::content_type, response.contentType);
        for (const HttpHeader &header : response.headers)
            response_.set(header.name, header.value);
        response_.body() = std::move(response.body);
        response_.keep_alive(keepAlive_);
        response_.prepare_payload();
        stream_.expires_after(server_->limits().writeTimeout);
        http::async_write(stream_, response_,
                          [self = this->shared_from_this()](error_code error, size_t) {
                              if (error)
                                  return;
                              if (self->keepAlive_)
                                  self->readRequest();
                              else
                                  self->close();
                          });
    }

    void closeIfIdle()
    {
        if (isIdle_)
            stream_.close();
    }

    void close()
    {
        error_code ignored;
        stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    beast::tcp_stream stream_;
    std::shared_ptr<Server> server_;
    const EventLoopLag &lag_; // of the thread of this connection
    asio::steady_timer readTimer_;
    bool hasReadTimedOut_ = false;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    std::shared_ptr<DisconnectSignal> disconnect_;
    // Input that is not read yet arrived after this time. Unset if a read or a wait is pending
    // since the socket was empty; then the lag of the loop is the bound.
    std::optional<Time> unreadSince_;
    bool isReading_ = false;
    bool isWatching_ = false;
    bool isIdle_ = false; // between two requests
    bool keepAlive_ = true;
};

void HttpServer::Implementation::accept()
{
    EventLoop &loop = contextOf(threads_, nextThread_);
    acceptor_.async_accept(
            loop,
            [self = shared_from_this(), &loop](error_code error, asio::ip::tcp::socket socket) {
                if (self->isStopping() || error == asio::error::operation_aborted)
                    return;
                if (!error) {
                    self->openConnection(std::move(socket), loop.lag());
                    self->acceptPending();
                }
                self->accept();
            });
}

// Takes all connections that wait. If each took a turn of the event loop, a VM that wakes up with
// hundreds of them would read the last one long after it has read newer requests.
void HttpServer::Implementation::acceptPending()
{
    for (int i = 0; i < asio::socket_base::max_listen_connections; ++i) {
        EventLoop &loop = contextOf(threads_, nextThread_);
        asio::ip::tcp::socket socket(loop);
        error_code error;
        acceptor_.accept(socket, error);
        if (error)
            return;
        openConnection(std::move(socket), loop.lag());
    }
}

void HttpServer::Implementation::openConnection(asio::ip::tcp::socket socket,
                                                const EventLoopLag &lag)
{
    ++nextThread_;
    stats_.accepted.fetch_add(1, std::memory_order_relaxed);
    if (stats_.connections.load(std::memory_order_relaxed) >= limits_.maxConnections) {
        stats_.rejectedConnections.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto executor = socket.get_executor();
    // The connection is counted here, before its thread runs, so that the limit holds for all
    // connections that are taken at once.
    const auto connection = std::make_shared<HttpConnection<Implementation>>(
            std::move(socket), shared_from_this(), lag,
            threads_.lag(acceptThread).handledThrough());
    asio::post(executor, [connection] { connection->readRequest(); });
}

void HttpServer::Implementation::closeIdle()
{
    std::map<const void *, std::function<void()>> idle;
    {
        const std::lock_guard lock(idleMutex_);
        idle = idle_;
    }
    for (const auto &[connection, close] : idle)
        close();
}

void HttpServer::Implementation::stopAccepting()
{
    isStopping_ = true;
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->acceptor_.close(ignored);
    });
}

std::string HttpServer::Implementation::errorBody(const Error &error) const
{
    return errorBody_ ? errorBody_(error) : error.reason;
}

HttpServer::HttpServer(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{ }

HttpServer::~HttpServer()
{
    stopAccepting();
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(IoThreads &threads, const Endpoint &endpoint,
                                                       HttpLimits limits, Handler handler,
                                                       ErrorBody errorBody)
{
    auto acceptor = openAcceptor(contextOf(threads, acceptThread), endpoint);
    if (!acceptor)
        return acceptor.error();
    acceptor.value().non_blocking(true);
    auto implementation = std::make_shared<Implementation>(
            threads, std::move(acceptor.value()), limits, std::move(handler), std::move(errorBody));
    implementation->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

uint16_t HttpServer::port() const
{
    return implementation_->port();
}

const HttpServerStats &HttpServer::stats() const
{
    return implementation_->stats();
}

void HttpServer::closeIdle()
{
    implementation_->closeIdle();
}

void HttpServer::closeAfterAnswers()
{
    implementation_->closeAfterAnswers();
}

void HttpServer::stopAccepting()
{
    implementation_->stopAccepting();
}

} // namespace lovage
