// A small crowd of clients that keep to no limit, against the daemon as a process of its own. The
// checks do not depend on the speed of the machine: the process lives, its memory and descriptors
// stay under fixed bounds, and it answers an ordinary request afterwards.
#define BOOST_TEST_MODULE uncontrolled_clients
#include "support/platform_daemon.h"

#include <poll.h>
#include <sys/resource.h>

using namespace lovage;
using namespace lovage::test;
using namespace std::chrono_literals;

namespace {

// The smallest VM has 120 MB. Half of it is for the state of jobs and servers and for the code.
constexpr size_t maxPeakKb = 60'000;
// Once the clients have left, two thirds of the VM are free again.
constexpr size_t maxKbAfterwards = 40'000;
// Descriptors of the process, and how many of them it may use while clients hold connections open:
// the rest is for its own connections to the store, to servers and to other VMs.
constexpr rlim_t descriptorLimit = 256;
constexpr size_t maxDescriptors = 192;

constexpr size_t crowdSize = 24;
constexpr size_t bytesEach = 6'000'000;

// What one client sends: the beginning, and then the repeated part until all bytes are sent.
struct Stream
{
    std::string beginning;
    std::string repeated;
    size_t totalBytes = bytesEach;
    std::string end {};
    size_t bytesPerWrite = 1U << 16;
    bool readsAnswers = true;
};

class Client
{
public:
    Client(uint16_t port, const Stream &stream)
        : stream_(stream), socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        BOOST_REQUIRE(socket_ >= 0);
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
        const std::string_view next = nextBytes();
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
    std::string_view nextBytes() const
    {
        const size_t total = stream_.totalBytes;
        const auto limited = [&](std::string_view bytes) {
            return bytes.substr(0, stream_.bytesPerWrite);
        };
        if (sent_ >= total)
            return limited(std::string_view(stream_.end)
                                   .substr(std::min(sent_ - total, stream_.end.size())));
        if (sent_ < stream_.beginning.size())
            return limited(std::string_view(stream_.beginning).substr(sent_));
        const size_t at = (sent_ - stream_.beginning.size()) % stream_.repeated.size();
        return limited(std::string_view(stream_.repeated).substr(at, total - sent_));
    }
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
std::string manyOf(const std::string &unit)
{
    std::string text;
    while (text.size() < (1U << 16))
        text += unit;
    return text;
}

const std::string requestHead = "POST /a/00000000000000ff HTTP/1.1\r\nHost: work.example\r\n";
const std::string chunkedHead = requestHead + "Transfer-Encoding: chunked\r\n\r\n";

struct Process : OneDaemon
{
    Process()
    {
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        rlimit lowered = limit;
        lowered.rlim_cur = descriptorLimit;
        setrlimit(RLIMIT_NOFILE, &lowered);
        startDaemon();
        setrlimit(RLIMIT_NOFILE, &limit);
        BOOST_REQUIRE(isServedInTheEnd());
    }

    // How soon a request is answered on a busy machine is not checked.
    bool isServedInTheEnd()
    {
        bool isAnswered = false;
        for (int attempt = 0; attempt < 6 && !isAnswered; ++attempt)
            isAnswered = isServed(nextId());
        return isAnswered;
    }

    size_t kilobytes(const std::string &field) const
    {
        std::ifstream status("/proc/" + std::to_string(daemon->pid()) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field + ":"))
                return std::stoul(line.substr(field.size() + 1));
        }
        return 0;
    }
    size_t descriptors() const
    {
        const std::filesystem::directory_iterator files("/proc/" + std::to_string(daemon->pid())
                                                        + "/fd");
        return static_cast<size_t>(std::distance(begin(files), end(files)));
    }

    // Lets clients send until nothing moves any more. Half of them use the callers' port and half
    // the port of the readiness check.
    void checkAgainst(const Stream &stream, size_t count = crowdSize)
    {
        checkAgainst(stream, count, {httpPort, readinessPort});
    }
    void checkAgainst(const Stream &stream, size_t count, std::vector<uint16_t> ports)
    {
        std::vector<std::unique_ptr<Client>> clients;
        for (size_t i = 0; i < count; ++i)
            clients.push_back(std::make_unique<Client>(ports[i % ports.size()], stream));
        const Time latest = currentTime() + 20s;
        Time lastProgress = currentTime();
        while (currentTime() < std::min(latest, Time(lastProgress + 500ms))) {
            bool hasAdvanced = false;
            for (const auto &client : clients)
                hasAdvanced |= client->advance();
            if (hasAdvanced)
                lastProgress = currentTime();
            if (!hasAdvanced || stream.bytesPerWrite == 1)
                std::this_thread::sleep_for(2ms);
        }
        BOOST_REQUIRE(!daemon->hasEnded());
        BOOST_TEST(kilobytes("VmHWM") <= maxPeakKb);
        BOOST_TEST(descriptors() <= maxDescriptors);
        clients.clear();
        checkAfterwards();
    }
    void checkAfterwards()
    {
        BOOST_TEST(isServedInTheEnd());
        // Memory may be returned some time after the last connection has ended.
        const Time latest = currentTime() + 5s;
        while (kilobytes("VmRSS") > maxKbAfterwards && currentTime() < latest)
            std::this_thread::sleep_for(20ms);
        BOOST_TEST_MESSAGE("VmHWM " << kilobytes("VmHWM") << " kB, VmRSS " << kilobytes("VmRSS")
                                    << " kB");
        BOOST_TEST(kilobytes("VmRSS") <= maxKbAfterwards);
        BOOST_TEST(descriptors() <= maxDescriptors);
        BOOST_TEST(!daemon->hasEnded());
    }
};

} // namespace

// Each test guards against a process that ends, exceeds the memory of its VM, or runs out of
// descriptors because of the named kind of client.

BOOST_FIXTURE_TEST_CASE(endless_trailers, Process)
{
    checkAgainst({chunkedHead + "1\r\nx\r\n0\r\n", manyOf("a: b\r\n")});
}

BOOST_FIXTURE_TEST_CASE(one_endless_trailer, Process)
{
    checkAgainst({chunkedHead + "1\r\nx\r\n0\r\na: ", manyOf("b")});
}

BOOST_FIXTURE_TEST_CASE(endless_chunk_extension, Process)
{
    checkAgainst({chunkedHead + "1;a=", manyOf("b")});
}

BOOST_FIXTURE_TEST_CASE(chunks_with_extensions, Process)
{
    checkAgainst({chunkedHead, manyOf("1;a=" + std::string(5000, 'b') + "\r\nx\r\n")});
}

BOOST_FIXTURE_TEST_CASE(endless_chunk_size_line, Process)
{
    checkAgainst({chunkedHead, manyOf("0")});
}

BOOST_FIXTURE_TEST_CASE(announced_body_over_the_limit, Process)
{
    checkAgainst({requestHead + "Content-Length: 64000000\r\n\r\n", manyOf("x")});
}

BOOST_FIXTURE_TEST_CASE(chunked_body_over_the_limit, Process)
{
    checkAgainst({chunkedHead, manyOf("1000\r\n" + std::string(0x1000, 'x') + "\r\n"), 10'000'000});
}

BOOST_FIXTURE_TEST_CASE(announced_body_that_does_not_end, Process)
{
    checkAgainst({requestHead + "Content-Length: 8000000\r\n\r\n", manyOf("x")});
}

BOOST_FIXTURE_TEST_CASE(chunked_body_that_does_not_end, Process)
{
    checkAgainst({chunkedHead, manyOf("1000\r\n" + std::string(0x1000, 'x') + "\r\n")});
}

// Parsing a JSON document takes many times its size.
BOOST_FIXTURE_TEST_CASE(large_complete_bodies, Process)
{
    const std::string head =
            requestHead + "Content-Length: " + std::to_string(bytesEach + 2) + "\r\n\r\n";
    const std::string start = R"({"spec":"p","steps":[0)"; // of even length, like bytesEach
    checkAgainst({head + start, manyOf(",0"), head.size() + bytesEach, "]}"});
}

BOOST_FIXTURE_TEST_CASE(endless_header_lines, Process)
{
    checkAgainst({requestHead, manyOf("a: b\r\n")});
}

BOOST_FIXTURE_TEST_CASE(request_sent_byte_by_byte, Process)
{
    checkAgainst({requestHead + "Content-Length: 300\r\n\r\n", "x", 400, {}, 1});
}

BOOST_FIXTURE_TEST_CASE(clients_that_never_read_their_answers, Process)
{
    checkAgainst({"",
                  manyOf("GET /metrics HTTP/1.1\r\nHost: work.example\r\n\r\n"),
                  bytesEach,
                  {},
                  1U << 16,
                  false});
}

BOOST_FIXTURE_TEST_CASE(endless_pipelined_requests, Process)
{
    checkAgainst({"", manyOf("GET /metrics HTTP/1.1\r\nHost: work.example\r\n\r\n"), 1'000'000});
}

BOOST_FIXTURE_TEST_CASE(connections_that_are_only_opened, Process)
{
    checkAgainst({"", "", 0}, 400);
}

BOOST_FIXTURE_TEST_CASE(frames_that_do_not_end, Process)
{
    checkAgainst({std::string("\x01\xf0\0\0", 4), manyOf("x")}, crowdSize, {peerPort});
}

BOOST_FIXTURE_TEST_CASE(connections_to_the_peer_port_that_are_only_opened, Process)
{
    checkAgainst({"", "", 0}, 400, {peerPort});
}

BOOST_FIXTURE_TEST_CASE(datagrams_of_strangers, Process)
{
    boost::asio::io_context context;
    using boost::asio::ip::udp;
    udp::socket socket(context, udp::endpoint(udp::v4(), 0));
    const udp::endpoint to(boost::asio::ip::make_address("127.0.0.1"), peerPort);
    const std::string largest(65'507, 'x');
    for (int i = 0; i < 3000; ++i)
        socket.send_to(boost::asio::buffer(largest.data(), i % 2 == 0 ? largest.size() : 0), to);
    BOOST_TEST(kilobytes("VmHWM") <= maxPeakKb);
    checkAfterwards();
}
