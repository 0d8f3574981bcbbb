// Access to the event loops of IoThreads, private to the net library.
#pragma once

#include "lovage/net.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <thread>
#include <vector>

namespace lovage {

// An event loop whose pending handlers can be dropped before it is destroyed. Handlers of one loop
// may own sockets of another, so all loops drop their handlers before any loop is destroyed.
class EventLoop : public boost::asio::io_context
{
public:
    EventLoop();
    // Runs handlers until the loop is stopped.
    void runHandlers();
    void dropHandlers() { shutdown(); }
    const EventLoopLag &lag() const { return lag_; }

private:
    void scheduleTick();
    void scheduleTurn();

    EventLoopLag lag_;
    boost::asio::steady_timer tickTimer_;
    size_t handlersRun_ = 0;
    size_t handlersRunBeforeTurn_ = 0;
};

struct IoThreads::Implementation
{
    using WorkGuard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<EventLoop>> contexts;
    std::vector<WorkGuard> guards;
    std::vector<std::thread> threads;
};

// The event loop of one thread.
inline EventLoop &contextOf(const IoThreads::Implementation &threads, size_t thread)
{
    return *threads.contexts[thread % threads.contexts.size()];
}
inline EventLoop &contextOf(IoThreads &threads, size_t thread)
{
    return contextOf(threads.implementation(), thread);
}

// Opens a listening TCP socket.
Result<boost::asio::ip::tcp::acceptor> openAcceptor(boost::asio::io_context &context,
                                                    const Endpoint &endpoint);

// Whether accepting failed for want of descriptors or memory, and is to be tried again later.
bool isShortage(const boost::system::error_code &error);

// Converts an endpoint; the error names the text that is not an IP address.
Result<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint);

// Opens a TCP socket for an outgoing connection, bound to localAddress unless that is empty.
boost::system::error_code openOutgoing(boost::asio::ip::tcp::socket &socket,
                                       const boost::asio::ip::tcp::endpoint &to,
                                       const std::string &localAddress);

} // namespace lovage
