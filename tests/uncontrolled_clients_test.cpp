// A small crowd of clients that keep to no limit, against the daemon as a process of its own. The
// checks do not depend on the speed of the machine: the process lives, its memory and descriptors
// stay under fixed bounds, and it answers an ordinary request afterwards.
#define BOOST_TEST_MODULE uncontrolled_clients
#include "support/platform_daemon.h"
#include "support/uncontrolled_clients.h"

#include "lovage/node.h"

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

static_assert(bytesEach == streamBytes);

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

    size_t kilobytes(const std::string &field) const { return memoryOf(daemon->pid(), field); }
    size_t descriptors() const { return descriptorsOf(daemon->pid()); }

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
        advanceAll(clients, stream.bytesPerWrite == 1);
        BOOST_REQUIRE(!daemon->hasEnded());
        BOOST_TEST(kilobytes("VmHWM") <= maxPeakKb);
        BOOST_TEST(descriptors() <= maxDescriptors);
        clients.clear();
        checkAfterwards();
    }
    // The same with a stream of its own for each client.
    template<class MakeStream>
    void checkAgainstEach(MakeStream makeStream, size_t count = crowdSize)
    {
        std::vector<Stream> streams;
        for (size_t i = 0; i < count; ++i)
            streams.push_back(makeStream(i));
        std::vector<std::unique_ptr<Client>> clients;
        clients.reserve(count);
        for (const Stream &stream : streams)
            clients.push_back(std::make_unique<Client>(httpPort, stream));
        advanceAll(clients, false);
        BOOST_REQUIRE(!daemon->hasEnded());
        BOOST_TEST(kilobytes("VmHWM") <= maxPeakKb);
        BOOST_TEST(descriptors() <= maxDescriptors);
        clients.clear();
        checkAfterwards();
    }
    // The same with servers that answer each poll with a stream.
    void checkAgainstServers(const Stream &answer, size_t count = crowdSize)
    {
        std::vector<std::unique_ptr<StreamingServer>> servers;
        for (size_t i = 0; i < count; ++i) {
            servers.push_back(std::make_unique<StreamingServer>(answer));
            store.put("keyed.servers", fmt::format("x{}", i),
                      fmt::format(R"({{"service":"s","address":"127.0.0.1:{}","zone":"z",)"
                                  R"("state":"ready","capacity":{{"cpu":32000,"mem_mb":1000,)"
                                  R"("gpu":0}},"labels":[],"born":1}})",
                                  servers.back()->port()));
        }
        const Time end = currentTime() + 5s;
        while (currentTime() < end && kilobytes("VmHWM") <= maxPeakKb)
            std::this_thread::sleep_for(20ms);
        BOOST_REQUIRE(!daemon->hasEnded());
        BOOST_TEST(kilobytes("VmHWM") <= maxPeakKb);
        BOOST_TEST(descriptors() <= maxDescriptors);
        for (size_t i = 0; i < count; ++i)
            store.put("keyed.servers", fmt::format("x{}", i), "");
        servers.clear();
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

// A POST of a job, for clients that send many of them on a connection.
std::string jobRequest(const std::string &id, const std::string &body)
{
    return "POST /a/" + id + " HTTP/1.1\r\nHost: work.example\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Requests of one client, each made from an id that no other request has.
template<class MakeRequest>
Stream requestsOf(size_t client, size_t count, MakeRequest makeRequest)
{
    std::string requests;
    for (size_t i = 0; i < count; ++i)
        requests += makeRequest(fmt::format("{:08x}{:08x}", client + 1, i));
    const size_t size = requests.size();
    return {std::move(requests), "", size};
}

// Number of requests of a size that make up the bytes of a client.
size_t requestsPerClient(size_t bytesOfRequest)
{
    return bytesEach / bytesOfRequest;
}

constexpr size_t largestSpec = 4000;
constexpr size_t widestJob = 1900;

std::string oneTaskJob(size_t specBytes, int milliCores)
{
    return fmt::format(R"({{"spec":"{}","steps":[{{"count":1,"cpu":{},"mem_mb":0,)"
                       R"("estimate_ms":60}}]}})",
                       std::string(specBytes, 'p'), milliCores);
}

std::string repeatedJob(size_t tasks, size_t repeatCount, int64_t startAtMs, int64_t intervalMs)
{
    return fmt::format(R"({{"spec":"p","repeat_count":{},"start_at_ms":{},"interval_ms":{},)"
                       R"("steps":[{{"count":{},"cpu":10000,"estimate_ms":60}}]}})",
                       repeatCount, startAtMs, intervalMs, tasks);
}

// A body of objects that is a little smaller than a limit.
std::string nestedBody(size_t limit)
{
    const std::string_view unit = R"(,{"a":0})";
    std::string body = R"({"spec":"p","steps":[{"a":0})";
    while (body.size() + 2 * unit.size() < limit)
        body += unit;
    return body + "]}";
}

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

// Stored jobs of the largest size, each of them valid. They run at once.
BOOST_FIXTURE_TEST_CASE(large_stored_jobs_that_end_soon, Process)
{
    const std::string job = oneTaskJob(largestSpec, 1);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    checkAgainstEach([&](size_t client) {
        return requestsOf(client, requestsPerClient(job.size()), request);
    });
}

// Jobs of which only a few can run at a time.
BOOST_FIXTURE_TEST_CASE(large_stored_jobs_that_wait, Process)
{
    const std::string job = oneTaskJob(largestSpec, 10'000);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    checkAgainstEach([&](size_t client) {
        return requestsOf(client, requestsPerClient(job.size()), request);
    });
}

// Jobs that run at once, so that their keeper holds many that have ended.
BOOST_FIXTURE_TEST_CASE(small_stored_jobs_that_end_soon, Process)
{
    const std::string job = oneTaskJob(10, 1);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    checkAgainstEach([&](size_t client) {
        return requestsOf(client, requestsPerClient(job.size()), request);
    });
}

BOOST_FIXTURE_TEST_CASE(stored_jobs_that_are_cancelled_at_once, Process)
{
    const std::string job = fmt::format(
            R"({{"spec":"p","steps":[{{"count":{},"cpu":10000,"estimate_ms":60}}]}})", widestJob);
    const auto requests = [&](const std::string &id) {
        return jobRequest(id, job) + "DELETE /a/" + id + " HTTP/1.1\r\nHost: work.example\r\n\r\n";
    };
    checkAgainstEach([&](size_t client) { return requestsOf(client, 1000, requests); });
}

// The largest number of tasks that may be due at one time, in a body of some hundred bytes.
BOOST_FIXTURE_TEST_CASE(repeated_jobs_that_are_due_at_once, Process)
{
    const std::string job = repeatedJob(widestJob, 52, 0, 0);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    checkAgainstEach([&](size_t client) { return requestsOf(client, 10, request); });
}

// One request, and more tasks with each millisecond that passes.
BOOST_FIXTURE_TEST_CASE(repeated_job_that_is_due_each_millisecond, Process)
{
    const int64_t soonMs = toUnixMillis(currentTime()) + 200;
    const std::string job = repeatedJob(widestJob, 1'000'000, soonMs, 1);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    const Stream stream = requestsOf(0, 1, request);
    Client client(httpPort, stream);
    const Time end = currentTime() + 5s;
    while (currentTime() < end && !daemon->hasEnded() && kilobytes("VmHWM") <= maxPeakKb) {
        client.advance();
        std::this_thread::sleep_for(2ms);
    }
    BOOST_REQUIRE(!daemon->hasEnded());
    BOOST_TEST(kilobytes("VmHWM") <= maxPeakKb);
    checkAfterwards();
}

// Each connection may have one job in work, with as many tasks as a job may have.
BOOST_FIXTURE_TEST_CASE(widest_jobs_on_all_connections, Process)
{
    const std::string job = fmt::format(R"({{"spec":"{}","best_effort":true,"steps":[{{"count":{},)"
                                        R"("cpu":1,"mem_mb":0,"estimate_ms":60}}]}})",
                                        std::string(largestSpec, 'p'), widestJob);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    checkAgainstEach([&](size_t client) { return requestsOf(client, 50, request); }, 100);
}

// Bodies of values that take much more memory than their text: as large as any VM has accepted by
// default, and just below the present default.
BOOST_FIXTURE_TEST_CASE(complete_bodies_of_the_largest_size, Process)
{
    const std::string job = nestedBody(1U << 20);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    checkAgainstEach([&](size_t client) { return requestsOf(client, 5, request); });
}

BOOST_FIXTURE_TEST_CASE(complete_bodies_below_the_limit, Process)
{
    const std::string job = nestedBody(NodeLimits {}.maxBodyBytes);
    const auto request = [&](const std::string &id) { return jobRequest(id, job); };
    checkAgainstEach([&](size_t client) { return requestsOf(client, 20, request); });
}

// A header field behind the body must not change what the header says.
BOOST_FIXTURE_TEST_CASE(fields_of_trailers_start_nothing, Process)
{
    const std::string id = nextId();
    const std::string job = R"({"spec":"p","best_effort":true,"steps":[{"count":1,"cpu":10000,)"
                            R"("mem_mb":1,"estimate_ms":60}]})";
    const std::string request =
            fmt::format("POST /a/{} HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTrailer: Host\r\n\r\n"
                        "{:x}\r\n{}\r\n0\r\nHost: work.example\r\n\r\n",
                        id, job.size(), job);
    checkAgainstEach([&](size_t) { return Stream {request, "", request.size()}; }, 1);
    BOOST_TEST(startsOf(id) == 0U);
}

const std::string chunkedAnswer =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

BOOST_FIXTURE_TEST_CASE(answers_of_servers_that_do_not_end, Process)
{
    checkAgainstServers(
            {chunkedAnswer, manyOf("1000\r\n" + std::string(0x1000, ' ') + "\r\n"), 100'000'000});
}

BOOST_FIXTURE_TEST_CASE(answers_of_servers_with_endless_trailers, Process)
{
    checkAgainstServers({chunkedAnswer + "1\r\nx\r\n0\r\n", manyOf("a: b\r\n"), 100'000'000});
}

// Parsing a JSON document takes many times its size.
BOOST_FIXTURE_TEST_CASE(large_complete_answers_of_servers, Process)
{
    const std::string start = R"({"clock_ms":1,"running":[0)";
    constexpr size_t repeats = 1'500'000;
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(start.size() + 2 * repeats + 2) + "\r\n\r\n";
    checkAgainstServers(
            {head + start, manyOf(",0"), head.size() + start.size() + 2 * repeats, "]}"}, 2);
}

BOOST_FIXTURE_TEST_CASE(answers_of_servers_byte_by_byte, Process)
{
    checkAgainstServers({chunkedAnswer, "1\r\n \r\n", bytesEach, {}, 1});
}

// Entries that no server writes, under ever new keys.
BOOST_FIXTURE_TEST_CASE(large_records_of_other_writers, Process)
{
    constexpr size_t recordBytes = 200'000;
    constexpr size_t records = 400;
    const std::string value(recordBytes, 'x');
    for (size_t i = 0; i < records; ++i)
        store.put("keyed.servers", fmt::format("odd-{}", i), value);
    startDaemon();
    const Time end = currentTime() + 5s;
    while (currentTime() < end && kilobytes("VmHWM") <= maxPeakKb)
        std::this_thread::sleep_for(20ms);
    BOOST_REQUIRE(!daemon->hasEnded());
    BOOST_TEST(kilobytes("VmHWM") <= maxPeakKb);
    for (size_t i = 0; i < records; ++i)
        store.put("keyed.servers", fmt::format("odd-{}", i), "");
    checkAfterwards();
}
