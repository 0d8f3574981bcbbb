// The network between the VMs of a soak: addresses, and which paths are cut.
#pragma once

#include "proxy.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <string>
#include <vector>

namespace lovage::soak {

constexpr uint16_t httpPort = 41080;
constexpr uint16_t readinessPort = 41081;
constexpr uint16_t peerPort = 41082;

// Each VM has a loopback address of its own, and a second one at which proxies stand in front of
// its ports. The subnet depends on the seed, so soaks with different seeds can run at the same
// time.
class Addresses
{
public:
    static constexpr size_t maxVms = 120;

    explicit Addresses(uint64_t seed) : prefix_(fmt::format("127.0.{}.", 1 + seed % 250)) { }

    std::string vm(size_t index) const { return prefix_ + std::to_string(index + 1); }
    std::string proxy(size_t index) const { return vm(index + maxVms); }
    // Returns the index of the VM with this address.
    std::optional<size_t> vmAt(const boost::asio::ip::address &address) const
    {
        const std::string text = address.to_string();
        if (!text.starts_with(prefix_))
            return std::nullopt;
        size_t host = 0;
        std::from_chars(text.data() + prefix_.size(), text.data() + text.size(), host);
        if (host == 0 || host > maxVms)
            return std::nullopt;
        return host - 1;
    }

private:
    std::string prefix_;
};

enum class PathFault {
    Cut,           // nothing passes
    HeldFrames,    // bytes of TCP connections are held back; datagrams pass
    LostDatagrams, // datagrams are lost; TCP connections work
};

// Thread safe. Faults of the same path add up: it works again when all of them have been removed.
class Network
{
public:
    explicit Network(size_t vmCount) : vmCount_(vmCount), paths_(vmCount * vmCount) { }

    size_t vmCount() const { return vmCount_; }
    void addFault(size_t from, size_t to, PathFault fault) { ++count(from, to, fault); }
    void removeFault(size_t from, size_t to, PathFault fault) { --count(from, to, fault); }

    // Mode of a connection on which `from` sends frames to `to`.
    LinkMode frameMode(size_t from, size_t to) const
    {
        if (has(from, to, PathFault::Cut))
            return LinkMode::Cut;
        if (has(to, from, PathFault::Cut))
            return LinkMode::CutAcks;
        return has(from, to, PathFault::HeldFrames) ? LinkMode::StallBoth : LinkMode::Open;
    }
    bool passesDatagrams(size_t from, size_t to) const
    {
        return !has(from, to, PathFault::Cut) && !has(from, to, PathFault::LostDatagrams);
    }

private:
    using Path = std::array<std::atomic<uint32_t>, 3>; // count of each fault

    std::atomic<uint32_t> &count(size_t from, size_t to, PathFault fault)
    {
        return paths_[from * vmCount_ + to][static_cast<size_t>(fault)];
    }
    bool has(size_t from, size_t to, PathFault fault) const
    {
        return paths_[from * vmCount_ + to][static_cast<size_t>(fault)] > 0;
    }

    size_t vmCount_;
    std::vector<Path> paths_;
};

} // namespace lovage::soak
