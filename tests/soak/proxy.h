// A TCP proxy on loopback that delays, stalls or resets the connections through it.
#pragma once

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <list>
#include <memory>
#include <thread>

namespace lovage::soak {

using boost::asio::ip::tcp;

enum class LinkMode {
    Open,
    Slow,            // each chunk of bytes is forwarded 200 ms later
    StallToTarget,   // bytes to the target are held back; the connection stays open
    StallFromTarget, // bytes from the target are held back; the connection stays open
    StallBoth,       // bytes in both directions are held back; the connection stays open
};

// The proxies of a soak share one I/O context, which runs on one thread.
class Proxy
{
public:
    Proxy(boost::asio::io_context &context, uint16_t target)
        : context_(context),
          acceptor_(context, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
          target_(boost::asio::ip::make_address("127.0.0.1"), target)
    {
        accept();
    }

    uint16_t port() const { return acceptor_.local_endpoint().port(); }
    void setMode(LinkMode mode) { mode_ = mode; }
    // Resets all open connections.
    void reset()
    {
        boost::asio::post(context_, [this] {
            for (auto &weakLink : links_) {
                if (const auto link = weakLink.lock())
                    link->close();
            }
            links_.clear();
        });
    }

private:
    struct Link : std::enable_shared_from_this<Link>
    {
        Link(Proxy &owner, tcp::socket socket)
            : proxy(owner), caller(std::move(socket)),
              target(owner.context_), delayTimers {boost::asio::steady_timer(owner.context_),
                                                   boost::asio::steady_timer(owner.context_)}
        { }

        void open()
        {
            target.async_connect(proxy.target_, [self = shared_from_this()](auto error) {
                if (error) {
                    self->close();
                    return;
                }
                self->pump(0, self->caller, self->target);
                self->pump(1, self->target, self->caller);
            });
        }
        void close()
        {
            boost::system::error_code ignored;
            // With a linger time of zero, closing the socket sends a reset.
            caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            caller.close(ignored);
            target.close(ignored);
        }
        bool isStalled(size_t direction) const
        {
            const LinkMode mode = proxy.mode_;
            return mode == LinkMode::StallBoth
                    || mode
                    == (direction == 0 ? LinkMode::StallToTarget : LinkMode::StallFromTarget);
        }
        void pump(size_t direction, tcp::socket &from, tcp::socket &to)
        {
            from.async_read_some(
                    boost::asio::buffer(buffers[direction]),
                    [self = shared_from_this(), direction, &from, &to](auto error, size_t size) {
                        if (error)
                            self->close();
                        else
                            self->forward(direction, from, to, size);
                    });
        }
        void forward(size_t direction, tcp::socket &from, tcp::socket &to, size_t size)
        {
            const bool isSlow = proxy.mode_ == LinkMode::Slow && !isDelayed[direction];
            isDelayed[direction] = isSlow;
            if (isSlow || isStalled(direction)) {
                delayTimers[direction].expires_after(std::chrono::milliseconds(isSlow ? 200 : 20));
                delayTimers[direction].async_wait(
                        [self = shared_from_this(), direction, &from, &to, size](auto) {
                            self->forward(direction, from, to, size);
                        });
                return;
            }
            boost::asio::async_write(
                    to, boost::asio::buffer(buffers[direction].data(), size),
                    [self = shared_from_this(), direction, &from, &to](auto error, size_t) {
                        if (error)
                            self->close();
                        else
                            self->pump(direction, from, to);
                    });
        }

        Proxy &proxy;
        tcp::socket caller;
        tcp::socket target;
        std::array<boost::asio::steady_timer, 2> delayTimers;
        std::array<std::array<char, 16384>, 2> buffers {};
        std::array<bool, 2> isDelayed {};
    };

    void accept()
    {
        acceptor_.async_accept([this](auto error, tcp::socket socket) {
            if (error)
                return;
            const auto link = std::make_shared<Link>(*this, std::move(socket));
            links_.push_back(link);
            link->open();
            accept();
        });
    }

    boost::asio::io_context &context_;
    tcp::acceptor acceptor_;
    tcp::endpoint target_;
    std::atomic<LinkMode> mode_ = LinkMode::Open;
    std::list<std::weak_ptr<Link>> links_;
};

} // namespace lovage::soak
