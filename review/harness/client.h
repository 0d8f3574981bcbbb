// Blocking HTTP client, one connection per request.
#pragma once

#include "lovage/net.h"

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <sys/socket.h>
#include <sys/time.h>

#include <string>

namespace lovage::review {

struct Response
{
    int status = 0; // 0: no answer
    std::string body;
};

// Sends a request of a client and waits for its answer, at most for the deadline that it states.
inline Response call(const Endpoint &vm, const std::string &method, const std::string &path,
                     const std::string &body, int deadlineMs)
{
    namespace asio = boost::asio;
    try {
        asio::io_context context;
        asio::ip::tcp::socket socket(context);
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(vm.address), vm.port);
        socket.open(endpoint.protocol());
        const timeval timeout {deadlineMs / 1000, (deadlineMs % 1000) * 1000};
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
        if (::connect(socket.native_handle(), endpoint.data(),
                      static_cast<socklen_t>(endpoint.size()))
            != 0)
            return {};
        const std::string request = fmt::format(
                "{} {} HTTP/1.1\r\nHost: work.example\r\nContent-Type: application/json\r\n"
                "Lovagedeal-Deadline-Ms: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
                method, path, deadlineMs, body.size(), body);
        if (::send(socket.native_handle(), request.data(), request.size(), MSG_NOSIGNAL)
            != static_cast<ssize_t>(request.size()))
            return {};
        std::string answer;
        char buffer[4096];
        for (;;) {
            const ssize_t size = ::recv(socket.native_handle(), buffer, sizeof buffer, 0);
            if (size <= 0)
                break;
            answer.append(buffer, static_cast<size_t>(size));
        }
        const size_t headEnd = answer.find("\r\n\r\n");
        if (headEnd == std::string::npos || answer.size() < 12)
            return {};
        return {std::stoi(answer.substr(9, 3)), answer.substr(headEnd + 4)};
    } catch (const std::exception &) {
        return {};
    }
}

} // namespace lovage::review
