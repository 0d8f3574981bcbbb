// Tests of the proxies with which the fault soak breaks the network.
#define BOOST_TEST_MODULE soak_network
#include "soak/peer_proxy.h"

#include <boost/test/unit_test.hpp>

#include <thread>
#include <unistd.h>

using namespace lovage::soak;
using std::chrono::milliseconds;

namespace {

namespace asio = boost::asio;

// Longer than any delay of a proxy that forwards at once.
constexpr milliseconds settleTime {150};

// VM 0 sends to VM 1 through the proxy in front of VM 1.
struct TwoVms
{
    TwoVms() : proxyThread([this] { context.run(); }) { }
    ~TwoVms()
    {
        context.stop();
        proxyThread.join();
    }

    template<typename Protocol>
    typename Protocol::endpoint endpoint(const std::string &address, uint16_t port) const
    {
        return {asio::ip::make_address(address), port};
    }
    // Returns the number of bytes that wait in the socket after a moment.
    template<typename Socket>
    static size_t received(Socket &socket)
    {
        std::this_thread::sleep_for(settleTime);
        return socket.available();
    }
    void sendDatagram()
    {
        sender.send_to(asio::buffer("x", 1), endpoint<udp>(addresses.proxy(1), peerPort));
    }
    // Opens the connection of VM 0 to VM 1.
    void connect()
    {
        client.open(tcp::v4());
        client.bind(endpoint<tcp>(addresses.vm(0), 0));
        client.connect(endpoint<tcp>(addresses.proxy(1), peerPort));
        listener.accept(accepted);
    }
    // Whether the connection was reset or closed by the proxy.
    static bool isClosed(tcp::socket &socket)
    {
        socket.non_blocking(true);
        char byte = 0;
        boost::system::error_code error;
        socket.read_some(asio::buffer(&byte, 1), error);
        return error && error != asio::error::would_block;
    }

    Addresses addresses {static_cast<uint64_t>(getpid())}; // other tests may run beside this one
    Network network {2};
    asio::io_context context;
    asio::io_context blocking;
    udp::socket sender {blocking, endpoint<udp>(addresses.vm(0), peerPort)};
    udp::socket receiver {blocking, endpoint<udp>(addresses.vm(1), peerPort)};
    tcp::acceptor listener {blocking, endpoint<tcp>(addresses.vm(1), peerPort)};
    tcp::socket client {blocking};
    tcp::socket accepted {blocking};
    PeerProxy proxy {context, addresses, network, 1};
    std::thread proxyThread;
};

} // namespace

// Guards against a soak that cuts nothing, or more than one direction.
BOOST_FIXTURE_TEST_CASE(datagrams_are_lost_on_cut_paths_only, TwoVms)
{
    network.addFault(1, 0, PathFault::Cut);
    sendDatagram();
    BOOST_TEST(received(receiver) == 1U);
    std::array<char, 8> buffer {};
    receiver.receive(asio::buffer(buffer));
    network.addFault(0, 1, PathFault::Cut);
    network.addFault(0, 1, PathFault::LostDatagrams);
    network.removeFault(0, 1, PathFault::Cut);
    sendDatagram();
    BOOST_TEST(received(receiver) == 0U);
    network.removeFault(0, 1, PathFault::LostDatagrams);
    sendDatagram();
    BOOST_TEST(received(receiver) == 1U);
    BOOST_TEST(proxy.unknownSenders() == 0U);
}

// Guards against frames that are lost, or a connection that breaks, where frames are only delayed.
BOOST_FIXTURE_TEST_CASE(held_frames_arrive_later, TwoVms)
{
    connect();
    network.addFault(0, 1, PathFault::HeldFrames);
    client.send(asio::buffer("frame", 5));
    BOOST_TEST(received(accepted) == 0U);
    sendDatagram();
    BOOST_TEST(received(receiver) == 1U);
    network.removeFault(0, 1, PathFault::HeldFrames);
    BOOST_TEST(received(accepted) == 5U);
    BOOST_TEST(!isClosed(client));
}

// Guards against a cut that never breaks a connection, and against one that breaks it at once.
BOOST_FIXTURE_TEST_CASE(cut_connection_fails_without_acknowledgements, TwoVms)
{
    connect();
    network.addFault(0, 1, PathFault::Cut);
    client.send(asio::buffer("frame", 5));
    BOOST_TEST(received(accepted) == 0U);
    BOOST_TEST(!isClosed(client));
    std::this_thread::sleep_for(milliseconds(1100));
    BOOST_TEST(isClosed(client));
}

// Guards against a cut of the way back that stops the frames too: they arrive, and the sender takes
// the connection for broken.
BOOST_FIXTURE_TEST_CASE(frames_pass_while_acknowledgements_are_cut, TwoVms)
{
    connect();
    network.addFault(1, 0, PathFault::Cut);
    client.send(asio::buffer("frame", 5));
    BOOST_TEST(received(accepted) == 5U);
    std::this_thread::sleep_for(milliseconds(1100));
    BOOST_TEST(isClosed(client));
}

// Guards against connections of other VMs that are reset with those of one.
BOOST_FIXTURE_TEST_CASE(connections_are_reset_by_sender, TwoVms)
{
    connect();
    proxy.resetFrom(1);
    std::this_thread::sleep_for(settleTime);
    BOOST_TEST(!isClosed(client));
    proxy.resetFrom(0);
    std::this_thread::sleep_for(settleTime);
    BOOST_TEST(isClosed(client));
}

// Guards against a lost close that the target notices after all.
BOOST_AUTO_TEST_CASE(target_does_not_notice_that_callers_are_reset)
{
    asio::io_context context;
    asio::io_context blocking;
    tcp::acceptor listener(blocking, loopback(0));
    Proxy proxy(context, loopback(0), listener.local_endpoint());
    std::thread thread([&context] { context.run(); });
    tcp::socket caller(blocking);
    caller.connect(loopback(proxy.port()));
    tcp::socket target = listener.accept();
    proxy.resetCallers();
    std::this_thread::sleep_for(settleTime);
    BOOST_TEST(TwoVms::isClosed(caller));
    BOOST_TEST(!TwoVms::isClosed(target));
    context.stop();
    thread.join();
}
