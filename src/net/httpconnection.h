// One accepted connection of an HttpServer. Private to the net library.
#pragma once

#include "httpreader.h"

#include "lovage/net.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace lovage {

// What the connections of one server share. Thread safe.
class HttpServerState
{
public:
    HttpServerState(HttpLimits limits, HttpServer::Handler handler,
                    HttpServer::ErrorBody errorBody);

    const HttpLimits &limits() const { return limits_; }
    HttpServerStats &stats() { return stats_; }
    ConnectionBudget &budget() { return *limits_.budget; }
    void handle(HttpRequest request, HttpServer::Reply reply)
    {
        handler_(std::move(request), std::move(reply));
    }
    std::string errorBody(const Error &error) const;
    // Counts a refusal, and logs at most one line a second for each cause.
    void reportRefusal(const HttpRefusal &refusal, const std::string &client);

    void closeAfterAnswers() { isClosing_ = true; }
    void stop() { isStopping_ = true; }
    bool isStopping() const { return isStopping_.load(std::memory_order_relaxed); }
    bool isClosing() const { return isClosing_.load(std::memory_order_relaxed) || isStopping(); }

    // An idle connection. `close` may be called from any thread while it is idle.
    struct Idle
    {
        Time since {};
        bool hasServed = false;
        std::function<void(bool makesRoom)> close;
    };
    void registerIdle(const void *connection, Idle idle);
    void unregisterIdle(const void *connection);
    void closeIdle();
    // Closes some idle connections: first those that have sent nothing yet, then the oldest. Skips
    // connections that became idle so recently that a request may still be unread.
    void makeRoom(Time now);

private:
    using Refusals = std::array<Time, static_cast<size_t>(HttpRefusal::Cause::Count_)>;

    HttpLimits limits_;
    HttpServer::Handler handler_;
    HttpServer::ErrorBody errorBody_;
    HttpServerStats stats_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<bool> isClosing_ = false;
    std::mutex mutex_;
    std::map<const void *, Idle> idle_;
    Refusals loggedAt_ {};
};

// Its pending operations own it. All members are used on the thread of the connection.
//
// The connection waits for input without a buffer and reads only what it can parse at once, so an
// idle connection holds no memory beside its own.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    // The connection may have waited in the accept queue since `pendingSince`, with a request.
    HttpConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> server,
                   const EventLoopLag &lag, Time pendingSince);
    ~HttpConnection();

    // Waits for the first byte of a request under the idle timeout, then for the rest under the
    // read timeout, so that a slow sender cannot hold the connection open for long.
    void readRequest();

private:
    enum class Phase {
        Idle,    // between two requests
        Reading, // a part of a request was read
        Handling,
        Writing,
        Lingering, // the last answer was written
        Closed
    };
    enum class PeekResult {
        Empty,
        Data,
        Closed, // the client has closed the connection, or it is broken
    };

    // At most one wait is pending.
    void waitForInput();
    void onInput();
    void readInput();
    void parseInput();
    void onEndOfInput();
    void onReadTimeout();
    void finishRead();
    void dropRequest(const HttpRequest &request);
    void handleReadable();
    PeekResult peek();
    void refuse(const HttpRefusal &refusal);
    void onBudgetExceeded(uint64_t holding);
    void writeResponse(HttpResponse response);
    void onWritten(const boost::system::error_code &error);
    void linger();
    void dropInput();
    void closeIfIdle(bool makesRoom);
    void close();
    // Sets the bytes that are held for the present request or answer.
    void hold(size_t bytes);
    void releaseHeld();
    void startTimer(Duration duration, void (HttpConnection::*onExpiry)());
    std::string clientAddress();

    boost::beast::tcp_stream stream_;
    std::shared_ptr<HttpServerState> server_;
    const EventLoopLag &lag_; // of the thread of this connection
    boost::asio::steady_timer timer_;
    HttpRequestReader reader_;
    boost::beast::http::response<boost::beast::http::string_body> response_;
    std::shared_ptr<DisconnectSignal> disconnect_;
    // Input that is not read yet arrived after this time. Unset if a wait is pending since the
    // socket was empty; then the lag of the loop is the bound.
    std::optional<Time> unreadSince_;
    std::optional<uint64_t> heldAs_; // in the budget
    uint64_t holdings_ = 0;          // how often heldAs_ was set
    uint64_t exchange_ = 0;          // number of the present request
    size_t droppedBytes_ = 0;
    Phase phase_ = Phase::Idle;
    bool isWaiting_ = false;
    bool keepAlive_ = true;
};

} // namespace lovage
