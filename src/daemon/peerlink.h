// Transport of messages between this VM and its peers.
#pragma once

#include "shared.h"

#include "lovage/net.h"
#include "lovage/protocol.h"

namespace lovage::daemon {

// Encodes, sends, receives and verifies peer messages. Valid messages that are not replays go into
// the input queue; all others are dropped and counted. send() is thread safe.
class PeerLink
{
public:
    static Result<std::unique_ptr<PeerLink>> open(IoThreads &threads, SharedState &shared,
                                                  std::shared_ptr<FaultInjector> faults);

    uint16_t port() const { return frameServer_->port(); }
    void send(const std::string &vm, const PeerAddress &address, const WireMessage &message);

private:
    PeerLink(IoThreads &threads, SharedState &shared, std::shared_ptr<FaultInjector> faults);
    void receive(const Endpoint &from, std::string_view bytes);
    TrafficCounters &trafficOf(const WireMessage &message);
    void deliver(const Endpoint &to, bool asDatagram, std::string bytes);

    IoThreads &threads_;
    SharedState &shared_;
    std::shared_ptr<FaultInjector> faults_;
    EnvelopeCodec codec_;
    ReplayGuard replayGuard_;
    FrameClient frameClient_;
    std::unique_ptr<FrameServer> frameServer_;
    std::unique_ptr<UdpSocket> socket_;
};

} // namespace lovage::daemon
