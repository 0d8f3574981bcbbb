// A small deployment: the entry VMs as separate processes, started with the command of the deploy
// file and settings rendered from its template, and stand-ins of the store and of the executors.
#pragma once

#include "../../tests/soak/peer_proxy.h"
#include "../../tests/support/store_standin.h"
#include "client.h"
#include "executor.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <sstream>
#include <thread>

namespace lovage::review {

struct Layout
{
    size_t zones = 1;
    size_t vmsPerZone = 2;
    size_t executorsPerZone = 8;
    Executor::Info executor {}; // id, zone and kind are set for each one
    int64_t keepS = 300;
};

class Deployment
{
public:
    Deployment(Record &record, const Layout &layout)
        : record_(record), layout_(layout), registry_(record), addresses_(freeSubnet()),
          network_(vmCount()), store_(threads_), proxyWork_(proxies_.get_executor())
    {
        folder_ = std::filesystem::temp_directory_path()
                / fmt::format("lovage-review-{}", static_cast<int>(getpid()));
        std::filesystem::create_directories(folder_);
        for (size_t i = 0; i < layout.zones * layout.executorsPerZone; ++i) {
            Executor::Info info = layout.executor;
            info.id = fmt::format("e{:02}", i);
            info.zone = zoneName(i % layout.zones);
            info.kind = "a";
            executors_.push_back(std::make_unique<Executor>(threads_, registry_, info));
        }
        for (size_t vm = 0; vm < vmCount(); ++vm)
            peerProxies_.push_back(
                    std::make_unique<soak::PeerProxy>(proxies_, addresses_, network_, vm));
        pids_.resize(vmCount());
        proxyThread_ = std::thread([this] { proxies_.run(); });
    }
    ~Deployment()
    {
        isStopping_ = true;
        if (heartbeatThread_.joinable())
            heartbeatThread_.join();
        for (const pid_t pid : pids_) {
            if (pid > 0) {
                ::kill(pid, SIGKILL);
                waitpid(pid, nullptr, 0);
            }
        }
        proxyWork_.reset();
        proxies_.stop();
        proxyThread_.join();
        threads_.stop();
        if (!std::getenv("REVIEW_KEEP"))
            std::filesystem::remove_all(folder_);
    }
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    size_t vmCount() const { return layout_.zones * layout_.vmsPerZone; }
    static std::string zoneName(size_t zone) { return "z" + std::to_string(zone + 1); }
    size_t zoneOf(size_t vm) const { return vm % layout_.zones; }
    static std::string nameOf(size_t vm) { return "edge-" + std::to_string(vm + 1); }
    Endpoint httpOf(size_t vm) const { return {addresses_.vm(vm), soak::httpPort}; }
    std::vector<std::unique_ptr<Executor>> &executors() { return executors_; }
    Registry &registry() { return registry_; }
    test::FakeStore &store() { return store_; }

    // Writes the configuration and the executors' entries, and starts the VMs.
    void start(const std::string &routes)
    {
        store_.put("keyed.op", "config",
                   fmt::format(R"({{"version":1,"routes":[{}],"services":)"
                               R"([{{"name":"s","enforces_capacity":true}}]}})",
                               routes));
        beat();
        heartbeatThread_ = std::thread([this] {
            for (int tick = 1; !isStopping_; ++tick) {
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                if (tick % 15 == 0)
                    beat();
            }
        });
        for (size_t vm = 0; vm < vmCount(); ++vm)
            startVm(vm);
    }
    void startVm(size_t vm)
    {
        const std::string settings = folder_ / (nameOf(vm) + ".json");
        std::ofstream(settings) << render(vm);
        const std::string log = folder_ / (nameOf(vm) + ".log");
        const pid_t pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            setenv("LOVAGEDEAL_BOOT", settings.c_str(), 1);
            const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(file, STDOUT_FILENO);
            dup2(file, STDERR_FILENO);
            close_range(STDERR_FILENO + 1, ~0U, 0);
            execl("target/lovaged-platform", "target/lovaged-platform", nullptr);
            _exit(127);
        }
        pids_[vm] = pid;
        record_.add(fmt::format("VM {} starts, zone {}", nameOf(vm), zoneName(zoneOf(vm))));
    }
    void signalVm(size_t vm, int number)
    {
        record_.add(fmt::format("VM {} gets signal {}", nameOf(vm), number));
        if (pids_[vm] > 0)
            ::kill(pids_[vm], number);
        if (number == SIGKILL && pids_[vm] > 0) {
            waitpid(pids_[vm], nullptr, 0);
            pids_[vm] = 0;
        }
    }
    // Returns a VM that keeps partitions of the journal, by what the VMs have logged.
    std::optional<size_t> keeper() const
    {
        for (size_t vm = 0; vm < vmCount(); ++vm) {
            std::ostringstream log;
            log << std::ifstream(folder_ / (nameOf(vm) + ".log")).rdbuf();
            if (log.str().find("partition-served") != std::string::npos)
                return vm;
        }
        return std::nullopt;
    }

    // Cuts the zone off from the VMs of the others, or connects it again.
    void cutZone(size_t zone, bool isCut)
    {
        record_.add(fmt::format("zone {} is {} the other zones", zoneName(zone),
                                isCut ? "cut off from" : "connected again with"));
        for (size_t from = 0; from < vmCount(); ++from) {
            for (size_t to = 0; to < vmCount(); ++to) {
                if ((zoneOf(from) == zone) == (zoneOf(to) == zone))
                    continue;
                if (isCut)
                    network_.addFault(from, to, soak::PathFault::Cut);
                else
                    network_.removeFault(from, to, soak::PathFault::Cut);
            }
        }
    }

    Response send(size_t vm, const std::string &method, const std::string &path,
                  const std::string &body = {}, int deadlineMs = 3000)
    {
        const Response response = call(httpOf(vm), method, path, body, deadlineMs);
        record_.add(fmt::format("client {} {} at {}: {} {}", method, path, nameOf(vm),
                                response.status, response.body));
        return response;
    }
    // Submits a job, again and again if it gets no answer, as the pages tell. Returns whether it
    // was accepted.
    bool submit(size_t vm, const std::string &path, const std::string &body)
    {
        for (int attempt = 0; attempt < 10; ++attempt) {
            const int status =
                    send((vm + static_cast<size_t>(attempt)) % vmCount(), "POST", path, body)
                            .status;
            if (status == 200)
                return true;
            if (status == 429 || status == 503)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(1300));
        }
        return false;
    }
    // Waits until a small stored job is served.
    bool waitUntilServed(const std::string &prefix)
    {
        const Time until = currentTime() + std::chrono::seconds(25);
        for (size_t i = 0; currentTime() < until; ++i) {
            const std::string path = prefix + fmt::format("ffff{:012x}", i);
            if (send(i % vmCount(), "POST", path, jobBody({}), 3000).status == 200) {
                for (int wait = 0; wait < 50; ++wait) {
                    if (send(i % vmCount(), "GET", path).body.find("completed")
                        != std::string::npos)
                        return true;
                    std::this_thread::sleep_for(std::chrono::milliseconds(100));
                }
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
        return false;
    }

    struct Job
    {
        int64_t count = 1;
        int64_t cpu = 1000;
        int64_t memMb = 64;
        int64_t workMs = 100;
        int64_t estimateMs = 100;
        bool isGang = false;
        bool isEndless = false;
        uint32_t repeatCount = 0;
        int64_t intervalMs = 0;
        int64_t maxPerServer = 0;
    };
    static std::string jobBody(const Job &job)
    {
        const std::string spec = json::serialize(json::object {{"cpu", job.cpu},
                                                               {"mem_mb", job.memMb},
                                                               {"work_ms", job.workMs},
                                                               {"gang", job.isGang ? job.count : 0},
                                                               {"lasts", job.isEndless}});
        json::object step {{"count", job.count},
                           {"cpu", job.cpu},
                           {"mem_mb", job.memMb},
                           {"estimate_ms", job.estimateMs}};
        if (job.isGang) {
            step["gang"] = true;
            step["checkpointing"] = true;
        }
        if (job.isEndless)
            step["long_running"] = true;
        if (job.maxPerServer > 0)
            step["max_per_server"] = job.maxPerServer;
        json::object body {{"spec", spec}, {"steps", json::array {step}}};
        if (job.repeatCount > 0) {
            body["repeat_count"] = job.repeatCount;
            body["interval_ms"] = job.intervalMs;
            body["start_at_ms"] = nowMs();
        }
        return json::serialize(body);
    }

private:
    // Returns a number whose subnet no other program uses.
    static uint64_t freeSubnet()
    {
        for (uint64_t i = 0; i < 250; ++i) {
            const uint64_t seed = static_cast<uint64_t>(getpid()) + i;
            try {
                boost::asio::io_context context;
                const soak::Addresses addresses(seed);
                for (size_t vm = 0; vm < 8; ++vm) {
                    for (const uint16_t port : {soak::httpPort, soak::peerPort}) {
                        const boost::asio::ip::tcp::acceptor probe(
                                context, {boost::asio::ip::make_address(addresses.vm(vm)), port});
                    }
                }
                return seed;
            } catch (const boost::system::system_error &) {
                continue;
            }
        }
        throw std::runtime_error("no free loopback subnet");
    }

    // An executor that has crashed sends nothing. Its entry goes after three intervals of silence.
    void beat()
    {
        for (const auto &executor : executors_) {
            if (executor->isUp()) {
                silentBeats_[executor->info().id] = 0;
                store_.put("keyed.servers", executor->info().id, executor->entry());
            } else if (++silentBeats_[executor->info().id] == 3) {
                store_.put("keyed.servers", executor->info().id, "");
            }
        }
    }

    static void replace(std::string &text, const std::string &from, const std::string &to)
    {
        for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at))
            text.replace(at, from.size(), to), at += to.size();
    }

    // Renders the template of the deploy file. The addresses of the peers are those of the proxies
    // between the VMs.
    std::string render(size_t vm) const
    {
        std::ostringstream stream;
        stream << std::ifstream("deploy/settings.json.template").rdbuf();
        std::string text = stream.str();
        const std::string ip = addresses_.vm(vm);
        std::string seeds;
        for (size_t seed = 0; seed < std::min<size_t>(3, vmCount()); ++seed)
            seeds += fmt::format(R"({}{{ "address": "{}:1" }})", seed > 0 ? "," : "",
                                 addresses_.proxy(seed));
        const size_t begin = text.find("{{#seeds}}");
        const std::string sectionEnd = "{{/seeds}}";
        const size_t end = text.find(sectionEnd);
        text.replace(begin, end + sectionEnd.size() - begin, seeds);
        const std::map<std::string, std::string> values {
                {"{{node_name|json}}", "\"" + nameOf(vm) + "\""},
                {"{{zone|json}}", "\"" + zoneName(zoneOf(vm)) + "\""},
                {"{{listen.http|json}}", fmt::format("\"{}:{}\"", ip, soak::httpPort)},
                {"{{listen.readiness|json}}", fmt::format("\"{}:{}\"", ip, soak::readinessPort)},
                {"\"{{ip}}:{{port_range.0}}\"",
                 fmt::format("\"{}:{}\", \"peerAdvertised\": \"{}:{}\"", ip, soak::peerPort,
                             addresses_.proxy(vm), soak::peerPort)},
                {"{{platform.address|json}}", "\"" + toString(store_.endpoint()) + "\""},
                {"{{limits.cpu_share|json}}", "0.25"},
                {"{{limits.cores|json}}", "1"},
                {"{{platform.parts|json}}", "24"},
                {"{{bounds.hold_max_ms|json}}", std::to_string(holdMaxMs)},
                {"{{bounds.stop_ms|json}}", std::to_string(stopMs)},
                {"{{bounds.retransmit_ms|json}}", "1300"},
                {"{{platform.ttl_min_ms|json}}", "1000"},
                {"{{bounds.status_s|json}}", "120"},
                {"{{platform.keep_s|json}}", std::to_string(layout_.keepS)},
                {"{{bounds.grace_s|json}}", "6"}};
        for (const auto &[name, value] : values)
            replace(text, name, value);
        return text;
    }

    Record &record_;
    Layout layout_;
    std::filesystem::path folder_;
    Registry registry_;
    soak::Addresses addresses_;
    soak::Network network_;
    IoThreads threads_ {1};
    test::FakeStore store_;
    boost::asio::io_context proxies_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> proxyWork_;
    std::vector<std::unique_ptr<Executor>> executors_;
    std::vector<std::unique_ptr<soak::PeerProxy>> peerProxies_;
    std::vector<pid_t> pids_;
    std::map<std::string, int> silentBeats_;
    std::atomic<bool> isStopping_ = false;
    std::thread proxyThread_;
    std::thread heartbeatThread_;
};

} // namespace lovage::review
