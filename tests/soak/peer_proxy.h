// Proxy in front of the peer port of one VM, for frames over TCP and for datagrams. The VMs send
// from their own addresses, so the proxy knows the sender and applies the faults of its path.
#pragma once

#include "network.h"

namespace lovage::soak {

using boost::asio::ip::udp;

class PeerProxy
{
public:
    PeerProxy(boost::asio::io_context &context, const Addresses &addresses, const Network &network,
              size_t vm)
        : addresses_(addresses), network_(network), vm_(vm),
          frames_(context, toEndpoint<tcp>(addresses.proxy(vm)), toEndpoint<tcp>(addresses.vm(vm)),
                  [this](const auto &sender) { return frameMode(sender); }),
          datagrams_(context, toEndpoint<udp>(addresses.proxy(vm))),
          target_(toEndpoint<udp>(addresses.vm(vm)))
    {
        receive();
    }

    void reset() { frames_.reset(); }
    // Resets the connections of this sender.
    void resetFrom(size_t sender)
    {
        frames_.resetFrom(boost::asio::ip::make_address(addresses_.vm(sender)));
    }
    // Number of connections and datagrams from an address that belongs to no VM.
    uint64_t unknownSenders() const { return unknownSenders_; }

private:
    static constexpr size_t maxDatagramBytes = 65536;

    template<typename Protocol>
    static typename Protocol::endpoint toEndpoint(const std::string &address)
    {
        return {boost::asio::ip::make_address(address), peerPort};
    }

    std::optional<size_t> vmAt(const boost::asio::ip::address &address)
    {
        const auto sender = addresses_.vmAt(address);
        if (sender && *sender < network_.vmCount())
            return sender;
        ++unknownSenders_;
        return std::nullopt;
    }
    LinkMode frameMode(const boost::asio::ip::address &address)
    {
        const auto sender = vmAt(address);
        return sender ? network_.frameMode(*sender, vm_) : LinkMode::Open;
    }

    void receive()
    {
        datagrams_.async_receive_from(boost::asio::buffer(buffer_), from_,
                                      [this](auto error, size_t size) {
                                          if (error == boost::asio::error::operation_aborted)
                                              return;
                                          if (!error)
                                              forward(size);
                                          receive();
                                      });
    }
    void forward(size_t size)
    {
        const auto sender = vmAt(from_.address());
        if (!sender || !network_.passesDatagrams(*sender, vm_))
            return;
        boost::system::error_code ignored; // as a lost datagram
        datagrams_.send_to(boost::asio::buffer(buffer_.data(), size), target_, 0, ignored);
    }

    const Addresses &addresses_;
    const Network &network_;
    size_t vm_;
    std::atomic<uint64_t> unknownSenders_ = 0;
    Proxy frames_;
    udp::socket datagrams_;
    udp::endpoint target_;
    udp::endpoint from_;
    std::array<char, maxDatagramBytes> buffer_ {};
};

} // namespace lovage::soak
