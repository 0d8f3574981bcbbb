#include "iothreads.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include <fmt/format.h>

namespace lovage {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

class UdpSocket::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(udp::socket socket, Handler handler)
        : socket_(std::move(socket)), handler_(std::move(handler))
    { }

    void receive()
    {
        socket_.async_receive_from(
                asio::buffer(buffer_), from_,
                [self = shared_from_this()](error_code error, size_t count) {
                    if (error == asio::error::operation_aborted)
                        return;
                    const ScopeGuard receiveNext([&self] { self->receive(); });
                    if (!error)
                        self->handler_({self->from_.address().to_string(), self->from_.port()},
                                       {self->buffer_.data(), count});
                });
    }

    void send(const Endpoint &to, std::string bytes)
    {
        asio::post(socket_.get_executor(),
                   [self = shared_from_this(), to, bytes = std::move(bytes)] {
                       error_code error;
                       const auto address = asio::ip::make_address(to.address, error);
                       if (!error)
                           self->socket_.send_to(asio::buffer(bytes),
                                                 udp::endpoint(address, to.port), 0, error);
                   });
    }

    void close()
    {
        asio::post(socket_.get_executor(), [self = shared_from_this()] {
            error_code ignored;
            self->socket_.close(ignored);
        });
    }

    uint16_t port() const { return socket_.local_endpoint().port(); }

private:
    static constexpr size_t maxDatagramBytes = 65536;

    udp::socket socket_;
    Handler handler_;
    udp::endpoint from_;
    std::array<char, maxDatagramBytes> buffer_ {};
};

UdpSocket::UdpSocket(std::shared_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{ }

UdpSocket::~UdpSocket()
{
    implementation_->close();
}

Result<std::unique_ptr<UdpSocket>> UdpSocket::open(IoThreads &threads, size_t thread,
                                                   const Endpoint &local, Handler handler)
{
    error_code error;
    const auto address = asio::ip::make_address(local.address, error);
    udp::socket socket(contextOf(threads, thread));
    const udp::endpoint endpoint(address, local.port);
    if (!error)
        socket.open(endpoint.protocol(), error);
    if (!error)
        socket.bind(endpoint, error);
    if (!error)
        socket.non_blocking(true, error);
    if (error)
        return notRun(
                ErrorCode::InvalidSettings,
                fmt::format("cannot open UDP socket on {}: {}", toString(local), error.message()));
    auto implementation = std::make_shared<Implementation>(std::move(socket), std::move(handler));
    implementation->receive();
    return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(implementation)));
}

uint16_t UdpSocket::port() const
{
    return implementation_->port();
}

void UdpSocket::send(const Endpoint &to, std::string bytes)
{
    implementation_->send(to, std::move(bytes));
}

} // namespace lovage
