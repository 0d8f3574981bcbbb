// A TCP proxy on loopback that delays, silences or resets the connections through it.
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
    Slow,       // bytes take 200 ms longer
    MuteToward, // bytes to the target are held back, without a reset
    MuteBack,   // bytes from the target are held back
    Mute,       // both
};

// All proxies of a soak share one thread.
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
            for (auto &weak : links_) {
                if (const auto link = weak.lock())
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
              server(owner.context_), pauses {boost::asio::steady_timer(owner.context_),
                                              boost::asio::steady_timer(owner.context_)}
        { }

        void open()
        {
            server.async_connect(proxy.target_, [self = shared_from_this()](auto error) {
                if (error) {
                    self->close();
                    return;
                }
                self->pump(0, self->caller, self->server);
                self->pump(1, self->server, self->caller);
            });
        }
        void close()
        {
            boost::system::error_code ignored;
            // A pending linger time of zero makes the close a reset.
            caller.set_option(boost::asio::socket_base::linger(true, 0), ignored);
            caller.close(ignored);
            server.close(ignored);
        }
        bool isMuted(size_t direction) const
        {
            const LinkMode mode = proxy.mode_;
            return mode == LinkMode::Mute
                    || mode == (direction == 0 ? LinkMode::MuteToward : LinkMode::MuteBack);
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
            if (isSlow || isMuted(direction)) {
                pauses[direction].expires_after(std::chrono::milliseconds(isSlow ? 200 : 20));
                pauses[direction].async_wait(
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
        tcp::socket server;
        std::array<boost::asio::steady_timer, 2> pauses;
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
