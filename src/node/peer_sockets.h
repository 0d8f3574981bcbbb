// The sockets on which a node exchanges messages with its peers.
#pragma once

#include "lovage/node.h"

#include <functional>
#include <memory>

namespace lovage::node {

// All callbacks run on thread 0 of the I/O threads.
class PeerSockets : public PeerPort
{
public:
    using BytesHandler = std::function<void(std::string_view bytes)>;

    // Listens for datagrams and frames on the endpoint. Must be called before the first message is
    // sent.
    Result<void> open(IoThreads &threads, const Endpoint &endpoint, const NodeLimits &limits,
                      const BytesHandler &onBytes, FrameClient::LostHandler onLost);

    void sendDatagram(const Endpoint &to, const std::string &bytes) override;
    void sendFrame(const Endpoint &to, std::string frame) override;

private:
    std::unique_ptr<UdpSocket> datagrams_;
    std::unique_ptr<FrameClient> frameClient_;
    std::unique_ptr<FrameServer> frameServer_;
};

} // namespace lovage::node
