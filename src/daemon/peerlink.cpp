#include "peerlink.h"

namespace lovage::daemon {

namespace {

// The kernel picks a free TCP port, which may be in use for UDP; this limits the attempts to find a
// port that is free for both.
constexpr int maxPortAttempts = 50;

// Size of the length field of a frame, which the traffic counters include.
constexpr size_t frameHeaderBytes = 4;

std::vector<PeerKey> keysOf(const Settings &settings)
{
    std::vector<PeerKey> keys;
    for (const PeerKeySettings &key : settings.peerKeys)
        keys.push_back({key.id, key.secret});
    return keys;
}

FrameOptions frameOptions(const Settings &settings)
{
    FrameOptions options;
    options.localAddress = settings.localAddress;
    options.maxQueuedBytes = settings.limits.heldBytes();
    options.maxTotalQueuedBytes = settings.limits.heldBytes();
    options.budget = makeBudget(settings.limits.heldBytes(), ordinaryFrameBytes);
    return options;
}

} // namespace

PeerLink::PeerLink(IoThreads &threads, SharedState &shared, std::shared_ptr<FaultInjector> faults)
    : threads_(threads), shared_(shared), faults_(std::move(faults)),
      codec_(shared.settings.name, shared.incarnation, keysOf(shared.settings)),
      frameClient_(threads, 0, frameOptions(shared.settings))
{ }

Result<std::unique_ptr<PeerLink>> PeerLink::open(IoThreads &threads, SharedState &shared,
                                                 std::shared_ptr<FaultInjector> faults)
{
    std::unique_ptr<PeerLink> link(new PeerLink(threads, shared, std::move(faults)));
    const Endpoint configured = shared.settings.peer;
    const int attempts = configured.port == 0 ? maxPortAttempts : 1;
    Error error;
    for (int i = 0; i < attempts; ++i) {
        auto server = FrameServer::listen(
                threads, configured, frameOptions(shared.settings),
                [raw = link.get()](std::string frame) { raw->receive({}, frame); });
        if (!server.has_value())
            return server.error();
        const Endpoint bound {configured.address, server.value()->port()};
        auto socket =
                UdpSocket::open(threads, 0, bound,
                                [raw = link.get()](const Endpoint &from, std::string_view bytes) {
                                    raw->receive(from, bytes);
                                });
        if (socket.has_value()) {
            link->frameServer_ = std::move(server.value());
            link->socket_ = std::move(socket.value());
            return link;
        }
        error = socket.error();
    }
    return error;
}

void PeerLink::send(const std::string &vm, const PeerAddress &address, const WireMessage &message)
{
    Result<std::string> bytes = codec_.encode(vm, message);
    if (!bytes.has_value()) {
        shared_.counters.oversizePeerMessages.add();
        return;
    }
    const Endpoint to {address.host, address.port};
    const bool asDatagram = isDatagram(message);
    trafficOf(message).sent(bytes.value().size() + (asDatagram ? 0 : frameHeaderBytes));
    if (!faults_) {
        deliver(to, asDatagram, std::move(bytes.value()));
        return;
    }
    for (const Duration delay : faults_->nextDeliveries()) {
        if (delay == Duration::zero()) {
            deliver(to, asDatagram, bytes.value());
            continue;
        }
        threads_.postAfter(0, delay, [this, to, asDatagram, copy = bytes.value()] {
            deliver(to, asDatagram, copy);
        });
    }
}

TrafficCounters &PeerLink::trafficOf(const WireMessage &message)
{
    DaemonCounters &counters = shared_.counters;
    return carriesWork(message) ? counters.workTraffic : counters.peerTraffic;
}

void PeerLink::deliver(const Endpoint &to, bool asDatagram, std::string bytes)
{
    if (asDatagram)
        socket_->send(to, std::move(bytes));
    else
        frameClient_.send(to, std::move(bytes));
}

void PeerLink::receive(const Endpoint &from, std::string_view bytes)
{
    const size_t received = bytes.size() + (from.port == 0 ? frameHeaderBytes : 0);
    Result<Envelope> envelope = codec_.decode(bytes);
    if (!envelope.has_value()) {
        shared_.counters.peerTraffic.received(received);
        const bool isUnauthorized = envelope.error().code == ErrorCode::Unauthorized;
        (isUnauthorized ? shared_.counters.unauthorizedPeerMessages
                        : shared_.counters.malformedPeerMessages)
                .add();
        return;
    }
    trafficOf(envelope.value().message).received(received);
    switch (replayGuard_.check(envelope.value())) {
    case ReplayCheck::Fresh:
        shared_.queue.push(PeerInput {from, std::move(envelope.value())});
        break;
    case ReplayCheck::Replayed:
        shared_.counters.replayedPeerMessages.add();
        break;
    case ReplayCheck::StaleIncarnation:
        shared_.counters.stalePeerMessages.add();
        break;
    }
}

} // namespace lovage::daemon
