// Minimal HTTP/1.1 over blocking sockets for the stand-ins and clients of the cases.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

using Clock = std::chrono::steady_clock;

inline int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch())
            .count();
}
inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
}
inline void sleepMs(int64_t millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

struct Request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query {};
    std::map<std::string, std::string> headers {}; // names in lower case
    std::string body {};
};
struct Response
{
    int status = 0; // 0: close the connection without an answer
    std::string body {};
    std::string contentType = "application/json";
};

inline std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

inline std::string percentDecode(const std::string &text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

inline sockaddr_in addressOf(const std::string &host, uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    return address;
}

// Reads messages from a socket. Returns false when the connection ends or the time is over.
class Reader
{
public:
    explicit Reader(int socket) : socket_(socket) { }

    bool readLine(std::string &line, int64_t deadlineMs)
    {
        for (;;) {
            const size_t end = buffer_.find("\r\n");
            if (end != std::string::npos) {
                line = buffer_.substr(0, end);
                buffer_.erase(0, end + 2);
                return true;
            }
            if (!fill(deadlineMs))
                return false;
        }
    }
    bool readBytes(std::string &bytes, size_t count, int64_t deadlineMs)
    {
        while (buffer_.size() < count) {
            if (!fill(deadlineMs))
                return false;
        }
        bytes = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return true;
    }
    bool readHeaders(std::map<std::string, std::string> &headers, int64_t deadlineMs)
    {
        std::string line;
        while (readLine(line, deadlineMs)) {
            if (line.empty())
                return true;
            const size_t colon = line.find(':');
            if (colon == std::string::npos)
                return false;
            size_t value = colon + 1;
            while (value < line.size() && line[value] == ' ')
                ++value;
            headers[lowerCase(line.substr(0, colon))] = line.substr(value);
        }
        return false;
    }

private:
    bool fill(int64_t deadlineMs)
    {
        pollfd entry {socket_, POLLIN, 0};
        const int64_t left = deadlineMs - steadyMs();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(std::min<int64_t>(left, 60'000))) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer_.append(bytes, static_cast<size_t>(count));
        return true;
    }

    int socket_;
    std::string buffer_;
};

inline bool sendAll(int socket, const std::string &bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count =
                ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

// Serves each connection on a thread of its own. The handler may block.
class HttpServer
{
public:
    using Handler = std::function<Response(const Request &)>;

    explicit HttpServer(Handler handler) : handler_(std::move(handler))
    {
        socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = addressOf("127.0.0.1", 0);
        socklen_t length = sizeof address;
        if (::bind(socket_, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0
            || ::listen(socket_, 512) != 0)
            throw std::runtime_error("cannot listen");
        ::getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &length);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }
    uint16_t port() const { return port_; }

private:
    void accept()
    {
        for (;;) {
            const int connection = ::accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            const int on = 1;
            ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, connection] {
                serve(connection);
                ::close(connection);
            }).detach();
        }
    }
    void serve(int connection)
    {
        constexpr int64_t idleMs = 600'000;
        Reader reader(connection);
        for (;;) {
            std::string line;
            Request request;
            if (!reader.readLine(line, steadyMs() + idleMs)
                || !reader.readHeaders(request.headers, steadyMs() + idleMs))
                return;
            parseRequestLine(line, request);
            const auto length = request.headers.find("content-length");
            if (length != request.headers.end()
                && !reader.readBytes(request.body, std::stoul(length->second), steadyMs() + idleMs))
                return;
            const Response response = handler_(request);
            if (response.status == 0)
                return;
            std::string bytes = "HTTP/1.1 " + std::to_string(response.status)
                    + " X\r\nContent-Type: " + response.contentType + "\r\nContent-Length: "
                    + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
            if (!sendAll(connection, bytes))
                return;
        }
    }
    static void parseRequestLine(const std::string &line, Request &request)
    {
        const size_t first = line.find(' ');
        const size_t second = line.find(' ', first + 1);
        request.method = line.substr(0, first);
        const std::string target = line.substr(first + 1, second - first - 1);
        const size_t mark = target.find('?');
        request.path = target.substr(0, mark);
        std::string rest = mark == std::string::npos ? "" : target.substr(mark + 1);
        while (!rest.empty()) {
            const size_t end = rest.find('&');
            const std::string pair = rest.substr(0, end);
            rest = end == std::string::npos ? "" : rest.substr(end + 1);
            const size_t equals = pair.find('=');
            if (equals != std::string::npos)
                request.query[pair.substr(0, equals)] = percentDecode(pair.substr(equals + 1));
        }
    }

    Handler handler_;
    int socket_ = -1;
    uint16_t port_ = 0;
};

// Sends one request on a new connection. Returns nothing if no whole answer came in time.
inline std::optional<Response> callHttp(const std::string &host, uint16_t port,
                                        const Request &request, int64_t timeoutMs)
{
    const int64_t deadline = steadyMs() + timeoutMs;
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = addressOf(host, port);
    std::optional<Response> result;
    ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    pollfd entry {socket, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof error;
    if (::poll(&entry, 1, static_cast<int>(timeoutMs)) > 0
        && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) == 0 && error == 0) {
        std::string bytes = request.method + " " + request.path + " HTTP/1.1\r\n";
        for (const auto &[name, value] : request.headers)
            bytes += name + ": " + value + "\r\n";
        if (!request.body.empty())
            bytes += "Content-Type: application/json\r\n";
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n"
                + request.body;
        Reader reader(socket);
        std::string line;
        std::map<std::string, std::string> headers;
        Response response;
        if (sendAll(socket, bytes) && reader.readLine(line, deadline) && line.size() > 12
            && reader.readHeaders(headers, deadline)) {
            response.status = std::stoi(line.substr(9, 3));
            const auto size = headers.find("content-length");
            if (size == headers.end()
                || reader.readBytes(response.body, std::stoul(size->second), deadline))
                result = response;
        }
    }
    ::close(socket);
    return result;
}

} // namespace review
