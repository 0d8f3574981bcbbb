#include "httpconnection.h"
#include "iothreads.h"

#include "lovage/telemetry.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace lovage {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Thread that accepts connections. They are shared between all threads.
constexpr size_t acceptThread = 0;
// Delay after which accepting is tried again when there was no room.
constexpr Duration acceptPause = std::chrono::milliseconds(100);
// A connection is closed to make room only if it has been idle for longer: the request of an
// ordinary caller arrives soon after its connection.
constexpr Duration minIdleTime = std::chrono::seconds(1);
constexpr Duration refusalLogInterval = std::chrono::seconds(1);

} // namespace

std::string_view toString(HttpRefusal::Cause cause)
{
    switch (cause) {
    case HttpRefusal::Cause::Malformed:
        return "malformed";
    case HttpRefusal::Cause::Header:
        return "header";
    case HttpRefusal::Cause::Body:
        return "body";
    case HttpRefusal::Cause::Request:
        return "request";
    case HttpRefusal::Cause::Timeout:
        return "timeout";
    case HttpRefusal::Cause::Budget:
        return "budget";
    case HttpRefusal::Cause::Answer:
        return "answer";
    case HttpRefusal::Cause::Connection:
        return "connection";
    case HttpRefusal::Cause::Count_:
        break;
    }
    return "unknown";
}

HttpServerState::HttpServerState(HttpLimits limits, HttpServer::Handler handler,
                                 HttpServer::ErrorBody errorBody)
    : limits_(std::move(limits)), handler_(std::move(handler)), errorBody_(std::move(errorBody))
{
    if (!limits_.budget)
        limits_.budget = std::make_shared<ConnectionBudget>(ByteBudget::Limits {});
}

std::string HttpServerState::errorBody(const Error &error) const
{
    return errorBody_ ? errorBody_(error) : error.reason;
}

void HttpServerState::reportRefusal(const HttpRefusal &refusal, const std::string &client)
{
    const auto cause = static_cast<size_t>(refusal.cause);
    const uint64_t count = stats_.refused[cause].fetch_add(1, std::memory_order_relaxed) + 1;
    const Time now = currentTime();
    {
        const std::lock_guard lock(mutex_);
        if (now - loggedAt_[cause] < refusalLogInterval)
            return;
        loggedAt_[cause] = now;
    }
    logEvent(LogLevel::Warning, "client-refused",
             {{"cause", toString(refusal.cause)},
              {"status", refusal.status},
              {"client", client},
              {"count", count}});
}

void HttpServerState::registerIdle(const void *connection, Idle idle)
{
    const std::lock_guard lock(mutex_);
    idle_[connection] = std::move(idle);
}

void HttpServerState::unregisterIdle(const void *connection)
{
    const std::lock_guard lock(mutex_);
    idle_.erase(connection);
}

void HttpServerState::closeIdle()
{
    std::map<const void *, Idle> idle;
    {
        const std::lock_guard lock(mutex_);
        idle = idle_;
    }
    for (const auto &[connection, entry] : idle)
        entry.close(false);
}

void HttpServerState::makeRoom(Time now)
{
    std::vector<Idle> candidates;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[connection, entry] : idle_) {
            if (now - entry.since >= minIdleTime)
                candidates.push_back(entry);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Idle &a, const Idle &b) {
        return std::pair(a.hasServed, a.since) < std::pair(b.hasServed, b.since);
    });
    const size_t count = std::min(candidates.size(), limits_.maxConnections / 8 + 1);
    for (size_t i = 0; i < count; ++i)
        candidates[i].close(true);
}

class HttpServer::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(IoThreads &threads, asio::ip::tcp::acceptor acceptor, HttpLimits limits,
                   Handler handler, ErrorBody errorBody)
        : threads_(threads), acceptor_(std::move(acceptor)),
          port_(acceptor_.local_endpoint().port()), pauseTimer_(acceptor_.get_executor()),
          state_(std::make_shared<HttpServerState>(std::move(limits), std::move(handler),
                                                   std::move(errorBody)))
    { }

    void accept();
    void stopAccepting();
    uint16_t port() const { return port_; }
    HttpServerState &state() { return *state_; }

private:
    bool hasRoom() const;
    void acceptPending();
    void openConnection(asio::ip::tcp::socket socket, const EventLoopLag &lag);
    void pause();

    IoThreads &threads_;
    asio::ip::tcp::acceptor acceptor_;
    uint16_t port_;
    asio::steady_timer pauseTimer_;
    std::shared_ptr<HttpServerState> state_;
    size_t nextThread_ = 0;
};

bool HttpServer::Implementation::hasRoom() const
{
    return state_->stats().connections.load(std::memory_order_relaxed)
            < state_->limits().maxConnections;
}

void HttpServer::Implementation::accept()
{
    if (!hasRoom()) {
        pause();
        return;
    }
    EventLoop &loop = contextOf(threads_, nextThread_);
    acceptor_.async_accept(
            loop,
            [self = shared_from_this(), &loop](error_code error, asio::ip::tcp::socket socket) {
                if (self->state_->isStopping() || error == asio::error::operation_aborted)
                    return;
                if (isShortage(error)) {
                    self->pause();
                    return;
                }
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
    for (int i = 0; i < asio::socket_base::max_listen_connections && hasRoom(); ++i) {
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
    state_->stats().accepted.fetch_add(1, std::memory_order_relaxed);
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto executor = socket.get_executor();
    // The connection is counted here, before its thread runs, so that the limit holds for all
    // connections that are taken at once.
    const auto connection = std::make_shared<HttpConnection>(
            std::move(socket), state_, lag, threads_.lag(acceptThread).handledThrough());
    asio::post(executor, [connection] { connection->readRequest(); });
}

// New connections wait in the queue of the kernel meanwhile. Trying at once would keep the thread
// busy, because the queue stays readable.
void HttpServer::Implementation::pause()
{
    state_->stats().acceptPauses.fetch_add(1, std::memory_order_relaxed);
    state_->makeRoom(currentTime());
    pauseTimer_.expires_after(acceptPause);
    pauseTimer_.async_wait([self = shared_from_this()](error_code error) {
        if (!error && !self->state_->isStopping())
            self->accept();
    });
}

void HttpServer::Implementation::stopAccepting()
{
    state_->stop();
    asio::post(acceptor_.get_executor(), [self = shared_from_this()] {
        error_code ignored;
        self->acceptor_.close(ignored);
        self->pauseTimer_.cancel();
    });
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
    auto implementation = std::make_shared<Implementation>(threads, std::move(acceptor.value()),
                                                           std::move(limits), std::move(handler),
                                                           std::move(errorBody));
    implementation->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(implementation)));
}

uint16_t HttpServer::port() const
{
    return implementation_->port();
}

const HttpServerStats &HttpServer::stats() const
{
    return implementation_->state().stats();
}

void HttpServer::closeIdle()
{
    implementation_->state().closeIdle();
}

void HttpServer::closeAfterAnswers()
{
    implementation_->state().closeAfterAnswers();
}

void HttpServer::stopAccepting()
{
    implementation_->stopAccepting();
}

} // namespace lovage
