#include "iothreads.h"

#include "lovage/rcu.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <fmt/format.h>

#include <sys/resource.h>

namespace lovage {

namespace asio = boost::asio;

std::string toString(const Endpoint &endpoint)
{
    const bool isV6 = endpoint.address.find(':') != std::string::npos;
    return isV6 ? fmt::format("[{}]:{}", endpoint.address, endpoint.port)
                : fmt::format("{}:{}", endpoint.address, endpoint.port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    boost::system::error_code error;
    asio::ip::make_address(std::string(address), error);
    unsigned port = 0;
    for (const char c : text.substr(colon + 1)) {
        if (c < '0' || c > '9' || port > 65535)
            return std::nullopt;
        port = port * 10 + static_cast<unsigned>(c - '0');
    }
    if (error || port > 65535 || colon + 1 == text.size())
        return std::nullopt;
    return Endpoint {std::string(address), static_cast<uint16_t>(port)};
}

bool isLoopback(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    return !error && address.is_loopback();
}

size_t descriptorLimit()
{
    rlimit limit {};
    const bool isKnown = getrlimit(RLIMIT_NOFILE, &limit) == 0;
    constexpr size_t usualLimit = 1024;
    return isKnown && limit.rlim_cur != RLIM_INFINITY ? limit.rlim_cur : usualLimit;
}

Result<asio::ip::tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return notRun(ErrorCode::InvalidSettings,
                      fmt::format("'{}' is not an IP address", endpoint.address));
    return asio::ip::tcp::endpoint(address, endpoint.port);
}

Result<asio::ip::tcp::acceptor> openAcceptor(asio::io_context &context, const Endpoint &endpoint)
{
    const auto local = toTcpEndpoint(endpoint);
    if (!local)
        return local.error();
    asio::ip::tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(local.value().protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(local.value(), error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return notRun(ErrorCode::InvalidSettings,
                      fmt::format("cannot listen on {}: {}", toString(endpoint), error.message()));
    return acceptor;
}

bool isShortage(const boost::system::error_code &error)
{
    return error == boost::system::errc::too_many_files_open
            || error == boost::system::errc::too_many_files_open_in_system
            || error == boost::system::errc::no_buffer_space
            || error == boost::system::errc::not_enough_memory;
}

boost::system::error_code openOutgoing(asio::ip::tcp::socket &socket,
                                       const asio::ip::tcp::endpoint &to,
                                       const std::string &localAddress)
{
    boost::system::error_code error;
    socket.open(to.protocol(), error);
    if (!error)
        socket.set_option(asio::ip::tcp::no_delay(true), error);
    if (!error && !localAddress.empty()) {
        const auto local = asio::ip::make_address(localAddress, error);
        if (!error)
            socket.bind(asio::ip::tcp::endpoint(local, 0), error);
    }
    return error;
}

EventLoop::EventLoop() : io_context(1), lag_(currentTime()), tickTimer_(*this)
{
    scheduleTick();
}

// An exception that escapes from a handler affects only the event being handled. The loop
// continues, because the other connections and timers of the process are independent of that event.
void EventLoop::runHandlers()
{
    for (;;) {
        try {
            while (run_one() > 0)
                ++handlersRun_;
            return;
        } catch (const std::exception &exception) {
            ++handlersRun_;
            fmt::print(stderr, "level=error event=handler_failed what=\"{}\"\n", exception.what());
        }
    }
}

void EventLoop::scheduleTick()
{
    tickTimer_.expires_after(EventLoopLag::tickInterval);
    tickTimer_.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        lag_.onTick(currentTime());
        scheduleTurn();
    });
}

// Queues the end of the turn behind the next query of the kernel, which does not wait because the
// queue is not empty.
void EventLoop::scheduleTurn()
{
    // The running handler is counted when it returns.
    handlersRunBeforeTurn_ = handlersRun_ + 1;
    asio::post(*this, [this] {
        if (lag_.onTurn(handlersRun_ - handlersRunBeforeTurn_, currentTime()))
            scheduleTurn();
        else
            scheduleTick();
    });
}

IoThreads::IoThreads(size_t threadCount) : implementation_(std::make_unique<Implementation>())
{
    auto &contexts = implementation_->contexts;
    implementation_->threads.reserve(threadCount);
    for (size_t i = 0; i < threadCount; ++i) {
        contexts.push_back(std::make_unique<EventLoop>());
        implementation_->guards.push_back(asio::make_work_guard(*contexts.back()));
        implementation_->threads.emplace_back([context = contexts.back().get()] {
            const RcuThread reader;
            context->runHandlers();
        });
    }
}

IoThreads::~IoThreads()
{
    stop();
    for (auto &context : implementation_->contexts)
        context->dropHandlers();
}

size_t IoThreads::count() const
{
    return implementation_->contexts.size();
}

void IoThreads::post(size_t thread, std::function<void()> function)
{
    asio::post(contextOf(*this, thread), std::move(function));
}

void IoThreads::postAfter(size_t thread, Duration delay, std::function<void()> function)
{
    auto &context = contextOf(*this, thread);
    asio::post(context, [&context, delay, function = std::move(function)]() mutable {
        auto timer = std::make_shared<asio::steady_timer>(context, delay);
        timer->async_wait([timer, function = std::move(function)](boost::system::error_code error) {
            if (!error)
                function();
        });
    });
}

const EventLoopLag &IoThreads::lag(size_t thread) const
{
    return contextOf(*implementation_, thread).lag();
}

void IoThreads::stop()
{
    for (auto &guard : implementation_->guards)
        guard.reset();
    for (auto &context : implementation_->contexts)
        context->stop();
    for (auto &thread : implementation_->threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace lovage
