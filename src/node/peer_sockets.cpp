#include "peer_sockets.h"

#include <algorithm>

namespace lovage::node {

namespace {

// A connection fails if sent bytes are not acknowledged within this time.
constexpr Duration ackTimeout = std::chrono::milliseconds(1000);
// Connections of other VMs use at most an eighth of the descriptors.
constexpr size_t peerShare = 8;
// A quarter of the bytes held for frames is reserved for ordinary frames.

} // namespace

Result<void> PeerSockets::open(IoThreads &threads, const Endpoint &endpoint,
                               const NodeLimits &limits, const BytesHandler &onBytes,
                               FrameClient::LostHandler onLost)
{
    auto datagrams = UdpSocket::open(
            threads, 0, endpoint,
            [onBytes](const Endpoint &, std::string_view bytes) { onBytes(bytes); });
    if (!datagrams.has_value())
        return datagrams.error();
    datagrams_ = std::move(datagrams.value());
    FrameOptions options;
    options.ackTimeout = ackTimeout;
    options.maxFrameBytes = limits.maxFrameBytes;
    options.maxQueuedBytes = limits.queuedFrameBytes();
    options.maxTotalQueuedBytes = limits.queuedFrameBytes();
    options.readTimeout = limits.readTimeout;
    options.maxConnections = std::min(limits.maxConnections, descriptorLimit() / peerShare);
    options.budget = makeBudget(limits.heldBytes(), ordinaryFrameBytes);
    // Frames have the same source address as datagrams, so that a firewall needs one rule for both.
    options.localAddress = endpoint.address;
    frameClient_ = std::make_unique<FrameClient>(threads, 0, options, std::move(onLost));
    auto server = FrameServer::listen(threads, endpoint, options,
                                      [onBytes](const std::string &frame) { onBytes(frame); });
    if (!server.has_value())
        return server.error();
    frameServer_ = std::move(server.value());
    return boost::outcome_v2::success();
}

void PeerSockets::sendDatagram(const Endpoint &to, const std::string &bytes)
{
    datagrams_->send(to, bytes);
}

void PeerSockets::sendFrame(const Endpoint &to, std::string frame)
{
    frameClient_->send(to, std::move(frame));
}

} // namespace lovage::node
