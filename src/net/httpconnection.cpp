#include "httpconnection.h"

#include "lovage/telemetry.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/write.hpp>

#include <fmt/format.h>

#include <sys/socket.h>

#include <cerrno>

namespace lovage {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr int statusTimeout = 408;
constexpr int statusUnavailable = 503;
// Answers up to this size are not charged to the budget: their number is limited by that of the
// connections.
constexpr size_t unchargedAnswerBytes = 4096;

} // namespace

HttpConnection::HttpConnection(asio::ip::tcp::socket socket,
                               std::shared_ptr<HttpServerState> server, const EventLoopLag &lag,
                               Time pendingSince)
    : stream_(std::move(socket)), server_(std::move(server)), lag_(lag),
      timer_(stream_.get_executor()), reader_(server_->limits()), unreadSince_(pendingSince)
{
    error_code ignored;
    stream_.socket().non_blocking(true, ignored);
    server_->stats().connections.fetch_add(1, std::memory_order_relaxed);
}

HttpConnection::~HttpConnection()
{
    releaseHeld();
    server_->unregisterIdle(this);
    server_->stats().connections.fetch_sub(1, std::memory_order_relaxed);
}

void HttpConnection::readRequest()
{
    ++exchange_;
    if (reader_.hasInput()) {
        phase_ = Phase::Reading;
        reader_.startRequest();
        startTimer(server_->limits().readTimeout, &HttpConnection::onReadTimeout);
        parseInput();
        return;
    }
    phase_ = Phase::Idle;
    if (unreadSince_ && peek() == PeekResult::Empty)
        unreadSince_.reset();
    server_->registerIdle(this,
                          {currentTime(), exchange_ > 1, [weak = weak_from_this()](bool makesRoom) {
                               if (const auto self = weak.lock())
                                   asio::post(self->stream_.get_executor(),
                                              [self, makesRoom] { self->closeIfIdle(makesRoom); });
                           }});
    startTimer(server_->limits().idleTimeout, &HttpConnection::close);
    waitForInput();
}

void HttpConnection::waitForInput()
{
    if (isWaiting_)
        return;
    isWaiting_ = true;
    stream_.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                [self = shared_from_this()](error_code error) {
                                    self->isWaiting_ = false;
                                    if (!error)
                                        self->onInput();
                                });
}

void HttpConnection::onInput()
{
    switch (phase_) {
    case Phase::Idle:
    case Phase::Reading:
        readInput();
        return;
    case Phase::Handling:
    case Phase::Writing:
        handleReadable();
        return;
    case Phase::Lingering:
        dropInput();
        return;
    case Phase::Closed:
        return;
    }
}

void HttpConnection::readInput()
{
    if (phase_ == Phase::Idle && peek() == PeekResult::Empty) {
        waitForInput();
        return;
    }
    if (phase_ == Phase::Idle) {
        server_->unregisterIdle(this);
        phase_ = Phase::Reading;
        reader_.startRequest();
        startTimer(server_->limits().readTimeout, &HttpConnection::onReadTimeout);
    }
    error_code error;
    const size_t count = stream_.socket().read_some(reader_.prepare(), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
        waitForInput();
        return;
    }
    if (error) {
        onEndOfInput();
        return;
    }
    reader_.commit(count);
    parseInput();
}

void HttpConnection::parseInput()
{
    switch (reader_.parse()) {
    case HttpRequestReader::State::Incomplete:
        hold(reader_.heldBytes());
        waitForInput();
        return;
    case HttpRequestReader::State::Refused:
        server_->stats().badRequests.fetch_add(1, std::memory_order_relaxed);
        refuse(reader_.refusal());
        return;
    case HttpRequestReader::State::Complete:
        finishRead();
        return;
    }
}

// A connection that ends between two requests is no bad request.
void HttpConnection::onEndOfInput()
{
    if (reader_.hasBegun())
        server_->stats().badRequests.fetch_add(1, std::memory_order_relaxed);
    close();
}

// The socket stays open, so that the client receives a 408.
void HttpConnection::onReadTimeout()
{
    server_->stats().badRequests.fetch_add(1, std::memory_order_relaxed);
    refuse({HttpRefusal::Cause::Timeout, statusTimeout, ErrorCode::Timeout,
            "request was not received in time"});
}

void HttpConnection::finishRead()
{
    timer_.cancel();
    const Time arrivedAfter = unreadSince_.value_or(lag_.handledThrough());
    unreadSince_.reset();
    if (reader_.hasInput())
        unreadSince_ = arrivedAfter; // the next request has arrived together with this one
    server_->stats().requests.fetch_add(1, std::memory_order_relaxed);
    keepAlive_ = reader_.keepsAlive();
    HttpRequest request = reader_.takeRequest();
    if (!reader_.hasInput())
        reader_.release();
    releaseHeld();
    request.waited = currentTime() - arrivedAfter;
    if (peek() == PeekResult::Closed) {
        dropRequest(request);
        return;
    }
    phase_ = Phase::Handling;
    disconnect_ = std::make_shared<DisconnectSignal>();
    request.disconnect = disconnect_;
    waitForInput();
    server_->handle(std::move(request), [self = shared_from_this()](HttpResponse response) {
        asio::post(self->stream_.get_executor(), [self, response = std::move(response)]() mutable {
            self->writeResponse(std::move(response));
        });
    });
}

// A request whose client has closed the connection is not handled: nobody waits for the
// response, and the client may have sent the request to another server meanwhile.
void HttpConnection::dropRequest(const HttpRequest &request)
{
    server_->stats().abandonedRequests.fetch_add(1, std::memory_order_relaxed);
    logEvent(LogLevel::Info, "request-abandoned",
             {{"method", request.method},
              {"target", request.target},
              {"waited_us", request.waited.count()}});
    close();
}

// Handles input that arrived while no request is read: the next request, or the end of the
// connection.
void HttpConnection::handleReadable()
{
    const PeekResult result = peek();
    if (result == PeekResult::Empty) {
        waitForInput();
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

HttpConnection::PeekResult HttpConnection::peek()
{
    char byte = 0;
    const auto count = recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return PeekResult::Data;
    const bool isEmpty = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return isEmpty ? PeekResult::Empty : PeekResult::Closed;
}

// Answers a request that is not read to its end, and frees what was read of it.
void HttpConnection::refuse(const HttpRefusal &refusal)
{
    timer_.cancel();
    server_->reportRefusal(refusal, clientAddress());
    HttpResponse response;
    response.status = refusal.status;
    response.body = server_->errorBody(notRun(refusal.code, refusal.reason));
    if (refusal.status == statusUnavailable)
        response.headers.push_back({"Retry-After", "1"});
    keepAlive_ = false;
    reader_.release();
    releaseHeld();
    writeResponse(std::move(response));
}

// The request has been refused by the budget, and the budget no longer counts its bytes.
void HttpConnection::onBudgetExceeded(uint64_t holding)
{
    if (holding != holdings_ || !heldAs_)
        return;
    if (phase_ == Phase::Reading) {
        refuse({HttpRefusal::Cause::Budget, statusUnavailable, ErrorCode::Overloaded,
                "too many bytes of unfinished requests"});
    } else if (phase_ == Phase::Writing) {
        server_->reportRefusal({HttpRefusal::Cause::Answer, 0, ErrorCode::Overloaded, ""},
                               clientAddress());
        close();
    }
}

void HttpConnection::writeResponse(HttpResponse response)
{
    if (phase_ == Phase::Closed)
        return;
    phase_ = Phase::Writing;
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
    if (response_.body().size() > unchargedAnswerBytes)
        hold(response_.body().capacity());
    stream_.expires_after(server_->limits().writeTimeout);
    http::async_write(stream_, response_, [self = shared_from_this()](error_code error, size_t) {
        self->onWritten(error);
    });
}

void HttpConnection::onWritten(const error_code &error)
{
    if (phase_ != Phase::Writing)
        return;
    releaseHeld();
    response_ = {};
    if (error == beast::error::timeout)
        server_->reportRefusal({HttpRefusal::Cause::Answer, 0, ErrorCode::Timeout, ""},
                               clientAddress());
    if (error)
        close();
    else if (keepAlive_)
        readRequest();
    else
        linger();
}

// Closing a socket with unread input resets the connection, and the client may lose an answer that
// it has not read yet. The input is dropped up to a limit for a short time instead.
void HttpConnection::linger()
{
    phase_ = Phase::Lingering;
    reader_.release();
    stream_.expires_never();
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    startTimer(server_->limits().lingerTimeout, &HttpConnection::close);
    waitForInput();
}

void HttpConnection::dropInput()
{
    std::array<char, 16384> ignored {};
    error_code error;
    const size_t count = stream_.socket().read_some(asio::buffer(ignored), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    droppedBytes_ += count;
    if (droppedBytes_ < server_->limits().maxLingerBytes)
        waitForInput();
}

void HttpConnection::closeIfIdle(bool makesRoom)
{
    if (phase_ != Phase::Idle || peek() == PeekResult::Data)
        return;
    if (makesRoom)
        server_->reportRefusal({HttpRefusal::Cause::Connection, 0, ErrorCode::Overloaded, ""},
                               clientAddress());
    close();
}

void HttpConnection::close()
{
    phase_ = Phase::Closed;
    timer_.cancel();
    server_->unregisterIdle(this);
    releaseHeld();
    reader_.release();
    stream_.close();
}

void HttpConnection::hold(size_t bytes)
{
    if (!heldAs_) {
        ++holdings_;
        heldAs_ = server_->budget().open([weak = weak_from_this(), holding = holdings_] {
            if (const auto self = weak.lock())
                asio::post(self->stream_.get_executor(),
                           [self, holding] { self->onBudgetExceeded(holding); });
        });
    }
    server_->budget().hold(*heldAs_, bytes);
}

void HttpConnection::releaseHeld()
{
    if (heldAs_)
        server_->budget().close(*heldAs_);
    heldAs_.reset();
}

void HttpConnection::startTimer(Duration duration, void (HttpConnection::*onExpiry)())
{
    timer_.expires_after(duration);
    timer_.async_wait([self = shared_from_this(), onExpiry, exchange = exchange_,
                       phase = phase_](error_code error) {
        // An expiry may be queued already when the timer is cancelled.
        if (!error && exchange == self->exchange_ && phase == self->phase_)
            (self.get()->*onExpiry)();
    });
}

std::string HttpConnection::clientAddress()
{
    error_code error;
    const auto client = stream_.socket().remote_endpoint(error);
    return error ? "unknown" : client.address().to_string();
}

} // namespace lovage
