#include "lovagefake/relay.h"

namespace lovage::fake {

namespace {

// The frames of all links are sent on one thread, which keeps their order.
constexpr size_t clientThread = 0;
constexpr int maxPortTries = 20;

} // namespace

Relay::Relay(IoThreads &threads, Duration delay)
    : threads_(threads), delay_(delay), client_(threads, clientThread, {})
{ }

std::optional<Duration> Relay::delayOf(const Link &link)
{
    const std::lock_guard lock(mutex_);
    const auto pair = std::make_pair(link.from, link.to);
    if (cuts_.contains(pair))
        return std::nullopt;
    const auto found = delays_.find(pair);
    return found == delays_.end() ? delay_ : found->second;
}

Result<uint16_t> Relay::add(const std::string &from, const std::string &to, const Endpoint &listen,
                            const Endpoint &target)
{
    auto owned = std::make_unique<Link>(Link {from, to, target, clientThread, {}, {}});
    Link *link = owned.get();
    const auto onFrame = [this, link](std::string frame) {
        const auto delay = delayOf(*link);
        if (!delay)
            return;
        threads_.postAfter(clientThread, *delay, [this, link, frame = std::move(frame)]() mutable {
            client_.send(link->target, std::move(frame));
        });
    };
    const auto onDatagram = [this, link](const Endpoint &, std::string_view bytes) {
        const auto delay = delayOf(*link);
        if (!delay)
            return;
        threads_.postAfter(clientThread, *delay, [link, bytes = std::string(bytes)]() mutable {
            link->udp->send(link->target, std::move(bytes));
        });
    };
    // A port that is free for TCP may be in use for UDP. With port 0, the next attempt gets another
    // port.
    Error last;
    for (int attempt = 0; attempt < maxPortTries; ++attempt) {
        auto frames = FrameServer::listen(threads_, listen, {}, onFrame);
        if (!frames)
            return frames.error();
        const uint16_t port = frames.value()->port();
        auto udp = UdpSocket::open(threads_, clientThread, {listen.address, port}, onDatagram);
        if (udp) {
            link->frames = std::move(frames.value());
            link->udp = std::move(udp.value());
            links_.push_back(std::move(owned));
            return port;
        }
        last = udp.error();
    }
    return last;
}

void Relay::setCut(const std::string &from, const std::string &to, bool isCut)
{
    const std::lock_guard lock(mutex_);
    if (isCut)
        cuts_.insert({from, to});
    else
        cuts_.erase({from, to});
}

void Relay::setDelay(const std::string &from, const std::string &to, Duration delay)
{
    const std::lock_guard lock(mutex_);
    delays_[{from, to}] = delay;
}

} // namespace lovage::fake
