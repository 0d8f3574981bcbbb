// A relay for peer traffic between data centres that can delay or cut a direction.
#pragma once

#include "lovage/net.h"

#include <map>
#include <mutex>
#include <set>

namespace lovage::fake {

// Forwards datagrams and frames from the VMs of one data centre to one VM of another. The listener
// that a sender uses identifies its data centre. Thread safe. Must be destroyed after
// IoThreads::stop().
class Relay
{
public:
    explicit Relay(IoThreads &threads, Duration delay);

    // Listens on one port for UDP and TCP. Port 0 lets the kernel pick one.
    Result<uint16_t> add(const std::string &fromDataCentre, const std::string &toDataCentre,
                         const Endpoint &listen, const Endpoint &to);
    // Cuts one direction. Datagrams and frames that arrive during the cut are dropped.
    void setCut(const std::string &from, const std::string &to, bool isCut);
    void setDelay(const std::string &from, const std::string &to, Duration delay);

private:
    struct Link
    {
        std::string from;
        std::string to;
        Endpoint target;
        size_t thread = 0;
        std::unique_ptr<UdpSocket> udp;
        std::unique_ptr<FrameServer> frames;
    };

    // Returns the delay of the direction of a link, or nullopt if it is cut.
    std::optional<Duration> delayOf(const Link &link);

    IoThreads &threads_;
    Duration delay_;
    FrameClient client_;
    std::mutex mutex_;
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::pair<std::string, std::string>, Duration> delays_;
    std::vector<std::unique_ptr<Link>> links_;
};

} // namespace lovage::fake
