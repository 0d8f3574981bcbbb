// Clients that keep to no limit, beside the callers of the soak.
#pragma once

#include "../support/uncontrolled_clients.h"
#include "fleet.h"
#include "ledger.h"
#include "schedule.h"

#include <fmt/format.h>

#include <atomic>
#include <map>
#include <thread>

namespace lovage::soak {

// Sends random streams to random VMs from a thread of its own, and checks the memory of the VMs.
class UncontrolledClients
{
public:
    UncontrolledClients(const Options &options, Fleet &fleet, Ledger &ledger)
        : fleet_(fleet), ledger_(ledger), random_(options.seed ^ 0x756e63)
    { }
    ~UncontrolledClients() { stop(); }
    UncontrolledClients(const UncontrolledClients &) = delete;
    UncontrolledClients &operator=(const UncontrolledClients &) = delete;

    void start()
    {
        thread_ = std::thread([this] { run(); });
    }
    void stop()
    {
        isStopped_ = true;
        if (thread_.joinable())
            thread_.join();
    }
    // Largest memory of any VM so far.
    size_t largestKb() const { return largestKb_; }
    size_t clientCount() const { return clientCount_; }

private:
    // Half of the smallest VM, which has 120 MB.
    static constexpr size_t maxPeakKb = 60'000;
    static constexpr size_t maxClients = 60;
    static constexpr size_t bytesEach = 2'000'000;

    struct Kind
    {
        uint16_t port = httpPort;
        test::Stream stream;
    };

    static std::vector<Kind> kinds()
    {
        using test::manyOf;
        const std::string head = "POST /a/00000000000000ff HTTP/1.1\r\nHost: work.example\r\n";
        const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        const std::string chunk = "1000\r\n" + std::string(0x1000, 'x') + "\r\n";
        const std::string get = "GET /metrics HTTP/1.1\r\nHost: work.example\r\n\r\n";
        const std::string frame("\x01\xf0\0\0", 4);
        const std::string json = R"({"spec":"p","steps":[0)";
        const std::string large = head + "Content-Length: 200000\r\n\r\n" + json;
        const test::Stream unread {"", manyOf(get), bytesEach, {}, 1U << 16, false};
        return {{httpPort, {chunked + "1\r\nx\r\n0\r\n", manyOf("a: b\r\n"), bytesEach}},
                {httpPort, {chunked, manyOf(chunk), bytesEach}},
                {readinessPort, {chunked, manyOf(chunk), bytesEach}},
                {httpPort, {head + "Content-Length: 8000000\r\n\r\n", manyOf("x"), bytesEach}},
                {httpPort, {head, manyOf("a: b\r\n"), bytesEach}},
                {httpPort, {large, manyOf(",0"), bytesEach}},
                {httpPort, unread},
                {readinessPort, unread},
                {readinessPort, {"", manyOf(get), bytesEach}},
                {peerPort, {frame, manyOf("x"), bytesEach}},
                {peerPort, {"", "", 0}},
                {httpPort, {"", "", 0}},
                {httpPort, {head, "x", bytesEach, {}, 1}}};
    }

    void run()
    {
        const std::vector<Kind> kinds = UncontrolledClients::kinds();
        std::vector<std::unique_ptr<test::Client>> clients;
        Time nextCheck = currentTime();
        while (!isStopped_) {
            if (clients.size() == maxClients)
                clients.erase(clients.begin());
            const Kind &kind = kinds[random_.below(kinds.size())];
            const size_t vm = random_.below(fleet_.size());
            clients.push_back(std::make_unique<test::Client>(
                    Endpoint {fleet_.addressOf(vm), kind.port}, kind.stream));
            ++clientCount_;
            for (int i = 0; i < 10; ++i) {
                for (const auto &client : clients)
                    client->advance();
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
            if (currentTime() < nextCheck)
                continue;
            nextCheck = currentTime() + std::chrono::milliseconds(500);
            checkMemory();
        }
    }

    // Adds a violation for the first time that a process exceeds the bound.
    void checkMemory()
    {
        for (size_t vm = 0; vm < fleet_.size(); ++vm) {
            const pid_t process = fleet_.daemon(vm).pid();
            const size_t kilobytes = process > 0 ? test::memoryOf(process, "VmHWM") : 0;
            largestKb_ = std::max<size_t>(largestKb_, kilobytes);
            if (kilobytes > maxPeakKb && reported_.insert(process).second)
                ledger_.addViolation(
                        "",
                        fmt::format("{} has used {} kB of memory", Fleet::nameOf(vm), kilobytes));
        }
    }

    Fleet &fleet_;
    Ledger &ledger_;
    Random random_;
    std::set<pid_t> reported_;
    std::atomic<size_t> largestKb_ = 0;
    std::atomic<size_t> clientCount_ = 0;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

} // namespace lovage::soak
