// Clients that keep to no limit, and what a process holds because of them.
#pragma once

#include "lovage/core.h"
#include "lovage/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lovage::test {

// Bytes that one client sends, if its stream does not say otherwise.
constexpr size_t streamBytes = 6'000'000;

// What one client sends: the beginning, and then the repeated part until all bytes are sent.
struct Stream
{
    std::string beginning;
    std::string repeated;
    size_t totalBytes = streamBytes;
    std::string end {};
    size_t bytesPerWrite = 1U << 16;
    bool readsAnswers = true;
};

// The next bytes of a stream of which some were sent; empty at its end.
inline std::string_view bytesAt(const Stream &stream, size_t sent)
{
    const size_t total = stream.totalBytes;
    const auto limited = [&](std::string_view bytes) {
        return bytes.substr(0, stream.bytesPerWrite);
    };
    if (sent >= total)
        return limited(
                std::string_view(stream.end).substr(std::min(sent - total, stream.end.size())));
    if (sent < stream.beginning.size())
        return limited(std::string_view(stream.beginning).substr(sent));
    const size_t at = (sent - stream.beginning.size()) % stream.repeated.size();
    return limited(std::string_view(stream.repeated).substr(at, total - sent));
}

class Client
{
public:
    Client(uint16_t port, const Stream &stream) : Client({"127.0.0.1", port}, stream) { }
    // The stream must outlive the client.
    Client(const Endpoint &to, const Stream &stream)
        : stream_(stream), socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        if (socket_ < 0 || inet_pton(AF_INET, to.address.c_str(), &address.sin_addr) != 1)
            throw std::runtime_error("cannot open a socket for " + toString(to));
        // The socket does not block; a failure shows at the first write.
        static_cast<void>(
                connect(socket_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)));
    }
    ~Client() { close(socket_); }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    // Sends what the socket takes at once. Returns whether a byte was sent or received.
    bool advance()
    {
        bool hasAdvanced = stream_.readsAnswers && receive();
        if (isDone_)
            return hasAdvanced;
        const std::string_view next = bytesAt(stream_, sent_);
        if (next.empty()) {
            isDone_ = true;
            return true;
        }
        const ssize_t count =
                ::send(socket_, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        const bool isBlocked = errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS;
        if (count > 0)
            sent_ += static_cast<size_t>(count);
        else if (!isBlocked)
            isDone_ = true;
        return hasAdvanced || count > 0;
    }

private:
    bool receive()
    {
        std::array<char, 65536> ignored {};
        return recv(socket_, ignored.data(), ignored.size(), MSG_DONTWAIT) > 0;
    }

    const Stream &stream_;
    int socket_;
    size_t sent_ = 0;
    bool isDone_ = false;
};

// A repeated part that is sent in few writes.
inline std::string manyOf(const std::string &unit)
{
    std::string text;
    while (text.size() < (1U << 16))
        text += unit;
    return text;
}

// A server that answers the first bytes of each connection with a stream, on loopback.
class StreamingServer
{
public:
    explicit StreamingServer(Stream stream) : stream_(std::move(stream)) { }
    ~StreamingServer()
    {
        isStopped_ = true;
        thread_.join();
        for (const auto &connection : connections_)
            close(connection.socket);
        close(listener_);
    }
    StreamingServer(const StreamingServer &) = delete;
    StreamingServer &operator=(const StreamingServer &) = delete;

    uint16_t port() const { return port_; }

private:
    struct Connection
    {
        int socket = -1;
        bool hasRequest = false;
        size_t sent = 0;
    };

    static int listenOnLoopback(uint16_t &port)
    {
        const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        const bool isListening =
                bind(listener, reinterpret_cast<const sockaddr *>(&address), size) == 0
                && listen(listener, SOMAXCONN) == 0
                && getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        if (!isListening)
            throw std::runtime_error("cannot listen on loopback");
        port = ntohs(address.sin_port);
        return listener;
    }
    void run()
    {
        while (!isStopped_) {
            const int accepted = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (accepted >= 0)
                connections_.push_back({accepted});
            bool hasAdvanced = accepted >= 0;
            for (Connection &connection : connections_)
                hasAdvanced |= advance(connection);
            if (!hasAdvanced || stream_.bytesPerWrite == 1)
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
    }
    bool advance(Connection &connection) const
    {
        std::array<char, 65536> ignored {};
        if (recv(connection.socket, ignored.data(), ignored.size(), MSG_DONTWAIT) > 0)
            connection.hasRequest = true;
        const std::string_view next = bytesAt(stream_, connection.sent);
        if (!connection.hasRequest || next.empty())
            return false;
        const ssize_t count =
                ::send(connection.socket, next.data(), next.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        connection.sent += count > 0 ? static_cast<size_t>(count) : 0;
        return count > 0;
    }

    const Stream stream_;
    uint16_t port_ = 0;
    int listener_ = listenOnLoopback(port_);
    std::vector<Connection> connections_;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_ {[this] { run(); }};
};

// Lets clients send until nothing moves any more, or until 20 s have passed.
inline void advanceAll(const std::vector<std::unique_ptr<Client>> &clients, bool isPaced)
{
    using namespace std::chrono_literals;
    const Time latest = currentTime() + 20s;
    Time lastProgress = currentTime();
    while (currentTime() < std::min(latest, Time(lastProgress + 500ms))) {
        bool hasAdvanced = false;
        for (const auto &client : clients)
            hasAdvanced |= client->advance();
        if (hasAdvanced)
            lastProgress = currentTime();
        if (!hasAdvanced || isPaced)
            std::this_thread::sleep_for(2ms);
    }
}

// A memory field of a process in kB, such as VmHWM; 0 if the process has ended.
inline size_t memoryOf(pid_t process, const std::string &field)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":"))
            return std::stoul(line.substr(field.size() + 1));
    }
    return 0;
}

inline size_t descriptorsOf(pid_t process)
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(process) + "/fd");
    return static_cast<size_t>(std::distance(begin(files), end(files)));
}

} // namespace lovage::test
