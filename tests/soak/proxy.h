// A TCP proxy on loopback that delays, stalls, cuts or resets the connections through it.
#pragma once

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace lovage::soak {

using boost::asio::ip::tcp;

enum class LinkMode {
    Open,
    Slow,            // each chunk of bytes is forwarded 200 ms later
    StallToTarget,   // bytes to the target are held back; the connection stays open
    StallFromTarget, // bytes from the target are held back; the connection stays open
    StallBoth,       // bytes in both directions are held back; the connection stays open
    Cut,             // as StallBoth, until the connection fails for want of acknowledgements
    CutAcks,         // bytes pass, and the connection fails for want of acknowledgements
};

inline bool isCut(LinkMode mode)
{
    return mode == LinkMode::Cut || mode == LinkMode::CutAcks;
}

inline tcp::endpoint loopback(uint16_t port)
{
    return {boost::asio::ip::make_address("127.0.0.1"), port};
}

// The proxies of a soak share one I/O context, which runs on one thread.
class Proxy
{
public:
    // Returns the mode of the connections from an address.
    using ModeBySource = std::function<LinkMode(const boost::asio::ip::address &source)>;

    // All connections have the mode of the proxy.
    Proxy(boost::asio::io_context &context, const tcp::endpoint &local, tcp::endpoint target)
        : Proxy(context, local, std::move(target), [this](const auto &) { return mode_.load(); })
    { }
    Proxy(boost::asio::io_context &context, const tcp::endpoint &local, tcp::endpoint target,
          ModeBySource modeBySource)
        : context_(context), acceptor_(context, local), target_(std::move(target)),
          modeBySource_(std::move(modeBySource))
    {
        accept();
    }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    void setMode(LinkMode mode) { mode_ = mode; }
    // Resets all open connections.
    void reset()
    {
        forEachLink([](Link &link) { link.close(); });
    }
    void resetFrom(const boost::asio::ip::address &source)
    {
        forEachLink([source](Link &link) {
            if (link.source == source)
                link.close();
        });
    }
    // Resets the callers' side of all open connections. The target does not notice it.
    void resetCallers()
    {
        forEachLink([](Link &link) { link.resetCaller(); });
    }

private:
    // Time after which a connection fails if sent bytes are not acknowledged; the daemons set the
    // same.
    static constexpr std::chrono::milliseconds ackTimeout {1000};
    // Time for which the target's side stays open after the callers' side was reset.
    static constexpr std::chrono::milliseconds halfOpenTime {6000};
    static constexpr std::chrono::milliseconds slowDelay {200};
    static constexpr std::chrono::milliseconds stallPollInterval {20};

    struct Link : std::enable_shared_from_this<Link>
    {
        Link(Proxy &owner, tcp::socket socket, boost::asio::ip::address address)
            : proxy(owner), source(std::move(address)), caller(std::move(socket)),
              target(owner.context_), delayTimers {boost::asio::steady_timer(owner.context_),
                                                   boost::asio::steady_timer(owner.context_)},
              closeTimer(owner.context_)
        { }

        void open()
        {
            target.async_connect(proxy.target_, [self = shared_from_this()](auto error) {
                if (error) {
                    self->close();
                    return;
                }
                self->pump(0);
                self->pump(1);
            });
        }
        void close()
        {
            boost::system::error_code ignored;
            resetSocket(caller);
            target.close(ignored);
            closeTimer.cancel();
        }
        void resetCaller()
        {
            isCallerLost = true;
            resetSocket(caller);
            closeAfter(halfOpenTime, [] { return true; });
        }
        LinkMode mode() const { return proxy.modeBySource_(source); }
        bool isStalled(size_t direction) const
        {
            const LinkMode current = mode();
            return current == LinkMode::StallBoth || current == LinkMode::Cut
                    || current
                    == (direction == 0 ? LinkMode::StallToTarget : LinkMode::StallFromTarget);
        }
        tcp::socket &from(size_t direction) { return direction == 0 ? caller : target; }
        tcp::socket &to(size_t direction) { return direction == 0 ? target : caller; }

        void pump(size_t direction)
        {
            from(direction).async_read_some(
                    boost::asio::buffer(buffers[direction]),
                    [self = shared_from_this(), direction](auto error, size_t size) {
                        if (error)
                            self->forwardClose(direction);
                        else
                            self->forward(direction, size);
                    });
        }
        // The end of a connection is held back like its bytes.
        void forwardClose(size_t direction)
        {
            if (isCallerLost && direction == 0)
                return;
            if (!isStalled(direction)) {
                close();
                return;
            }
            delay(direction, stallPollInterval,
                  [direction](Link &link) { link.forwardClose(direction); });
        }
        void forward(size_t direction, size_t size)
        {
            if (isCallerLost) {
                if (direction == 1)
                    pump(1); // the bytes are lost
                return;
            }
            if (isCut(mode()))
                awaitAck();
            const bool isSlow = mode() == LinkMode::Slow && !isDelayed[direction];
            isDelayed[direction] = isSlow;
            if (isSlow || isStalled(direction)) {
                delay(direction, isSlow ? slowDelay : stallPollInterval,
                      [direction, size](Link &link) { link.forward(direction, size); });
                return;
            }
            boost::asio::async_write(to(direction),
                                     boost::asio::buffer(buffers[direction].data(), size),
                                     [self = shared_from_this(), direction](auto error, size_t) {
                                         if (error && !self->isCallerLost)
                                             self->close();
                                         else
                                             self->pump(direction);
                                     });
        }

        void awaitAck()
        {
            if (isAwaitingAck)
                return;
            isAwaitingAck = true;
            closeAfter(ackTimeout, [this] {
                isAwaitingAck = false;
                return isCut(mode());
            });
        }
        // The condition is checked when the time has passed.
        void closeAfter(std::chrono::milliseconds time, std::function<bool()> condition)
        {
            closeTimer.expires_after(time);
            closeTimer.async_wait(
                    [self = shared_from_this(), condition = std::move(condition)](auto error) {
                        if (!error && condition())
                            self->close();
                    });
        }
        template<typename Action>
        void delay(size_t direction, std::chrono::milliseconds time, Action action)
        {
            delayTimers[direction].expires_after(time);
            delayTimers[direction].async_wait(
                    [self = shared_from_this(), action](auto) { action(*self); });
        }
        static void resetSocket(tcp::socket &socket)
        {
            boost::system::error_code ignored;
            // With a linger time of zero, closing the socket sends a reset.
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            socket.close(ignored);
        }

        Proxy &proxy;
        boost::asio::ip::address source;
        tcp::socket caller;
        tcp::socket target;
        std::array<boost::asio::steady_timer, 2> delayTimers;
        boost::asio::steady_timer closeTimer;
        std::array<std::array<char, 16384>, 2> buffers {};
        std::array<bool, 2> isDelayed {};
        bool isAwaitingAck = false;
        bool isCallerLost = false;
    };

    template<typename Action>
    void forEachLink(Action action)
    {
        boost::asio::post(context_, [this, action] {
            for (auto &weakLink : links_) {
                if (const auto link = weakLink.lock())
                    action(*link);
            }
            links_.remove_if([](const auto &link) { return link.expired(); });
        });
    }

    void accept()
    {
        acceptor_.async_accept([this](auto error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted)
                return;
            if (!error)
                open(std::move(socket));
            accept();
        });
    }
    void open(tcp::socket socket)
    {
        boost::system::error_code error;
        const auto source = socket.remote_endpoint(error).address();
        if (error)
            return;
        const auto link = std::make_shared<Link>(*this, std::move(socket), source);
        links_.push_back(link);
        link->open();
    }

    boost::asio::io_context &context_;
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::atomic<LinkMode> mode_ = LinkMode::Open;
    ModeBySource modeBySource_;
    std::list<std::weak_ptr<Link>> links_;
};

} // namespace lovage::soak
