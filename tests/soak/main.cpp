// Fault soak: runs the real daemons as separate processes, injects faults from outside by signals
// and loopback proxies, and checks the promises from what callers and backend servers see.
//
//   lovage_soak --daemon build/lovaged-platform --seed 1 --seconds 20 --folder /tmp/soak
//
// Exit codes: 0 every promise was kept, 1 some was broken, 2 the soak itself failed.
#include "ledger.h"
#include "proxy.h"
#include "servers.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <future>
#include <spawn.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

ABSL_FLAG(std::string, daemon, "build/lovaged-platform", "program to run");
ABSL_FLAG(uint64_t, seed, 1, "seed of the faults and of the callers");
ABSL_FLAG(uint32_t, seconds, 20, "time with faults");
ABSL_FLAG(uint32_t, vms, 4, "entry VMs");
ABSL_FLAG(uint32_t, servers, 8, "backend servers");
ABSL_FLAG(uint32_t, callers, 8, "callers at a time");
ABSL_FLAG(std::string, folder, "/tmp/lovage-soak", "logs of the daemons go there");

namespace lovage::soak {

namespace {

using std::chrono::milliseconds;

constexpr uint16_t httpPort = 41080;
constexpr uint16_t readinessPort = 41081;
constexpr uint16_t peerPort = 41082;
constexpr Duration requestDeadline = milliseconds(3000);
// Time in which everything that was accepted must end once all faults are over.
constexpr Duration recoveryTime = std::chrono::seconds(30);

void sleepFor(Duration time)
{
    std::this_thread::sleep_for(time);
}

// One daemon as a process of its own; only ever signalled by its own id.
class Daemon
{
public:
    Daemon(std::string name, std::string address, std::string zone, uint16_t storePort,
           const std::vector<std::string> &seeds)
        : name_(std::move(name)), address_(std::move(address))
    {
        const std::string folder = absl::GetFlag(FLAGS_folder);
        settings_ = folder + "/" + name_ + ".json";
        std::string list;
        for (const std::string &seed : seeds)
            list += fmt::format(R"({}{{"address":"{}:1"}})", list.empty() ? "" : ",", seed);
        std::ofstream(settings_) << fmt::format(
                R"({{"name":"{}","dataCentre":"{}","http":"{}:{}","readiness":"{}:{}",)"
                R"("peer":"{}:{}","store":"127.0.0.1:{}","seeds":[{}],"stopLimitS":4}})",
                name_, zone, address_, httpPort, address_, readinessPort, address_, peerPort,
                storePort, list);
    }
    ~Daemon()
    {
        signal(SIGCONT);
        kill();
    }
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    const std::string &address() const { return address_; }

    void start()
    {
        reap();
        if (pid_ > 0)
            return;
        const std::string daemon = absl::GetFlag(FLAGS_daemon);
        const std::string log = absl::GetFlag(FLAGS_folder) + "/" + name_ + ".log";
        std::string flag = "--settings=" + settings_;
        std::array<char *, 3> arguments = {const_cast<char *>(daemon.c_str()), flag.data(),
                                           nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        if (posix_spawn(&pid_, daemon.c_str(), &actions, nullptr, arguments.data(), environ) != 0)
            pid_ = 0;
        posix_spawn_file_actions_destroy(&actions);
    }
    void signal(int number)
    {
        reap();
        if (pid_ > 0)
            ::kill(pid_, number);
    }
    void kill()
    {
        signal(SIGKILL);
        if (pid_ > 0)
            waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    // Returns whether a process that was not asked to stop has ended.
    bool hasEnded()
    {
        reap();
        return pid_ == 0;
    }

private:
    void reap()
    {
        if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = 0;
    }

    std::string name_;
    std::string address_;
    std::string settings_;
    pid_t pid_ = 0;
};

class Soak
{
public:
    Soak() : random_(absl::GetFlag(FLAGS_seed)), store_(platformThreads_)
    {
        std::filesystem::create_directories(absl::GetFlag(FLAGS_folder));
        openServers();
        openDaemons();
        proxyThread_ = std::thread([this] { proxies_.run(); });
    }
    ~Soak()
    {
        daemons_.clear();
        callerThreads_.stop();
        proxies_.stop();
        proxyThread_.join();
        platformThreads_.stop();
    }
    Soak(const Soak &) = delete;
    Soak &operator=(const Soak &) = delete;

    int run()
    {
        for (auto &daemon : daemons_)
            daemon->start();
        if (!isServed(std::chrono::seconds(20))) {
            fmt::print(stderr, "soak: no request is served at the start\n");
            return 2;
        }
        startCallers();
        injectFaults();
        heal();
        isStopping_ = true;
        for (std::thread &caller : callers_)
            caller.join();
        checkEnd();
        return report();
    }

private:
    void openServers()
    {
        for (uint32_t i = 0; i < absl::GetFlag(FLAGS_servers); ++i) {
            const std::string zone = "z" + std::to_string(i % 2 + 1);
            servers_.push_back(std::make_unique<Server>(platformThreads_, ledger_,
                                                        "e" + std::to_string(i), zone));
            serverLinks_.push_back(std::make_unique<Proxy>(proxies_, servers_.back()->port()));
            registerServer(i);
        }
        publish();
    }
    void openDaemons()
    {
        std::vector<std::string> seeds;
        const uint32_t count = absl::GetFlag(FLAGS_vms);
        // Soaks with other seeds can run at the same time.
        const uint64_t net = 1 + absl::GetFlag(FLAGS_seed) % 250;
        for (uint32_t i = 0; i < count; ++i)
            seeds.push_back(fmt::format("127.0.{}.{}", net, i + 1));
        for (uint32_t i = 0; i < count; ++i) {
            storeLinks_.push_back(std::make_unique<Proxy>(proxies_, store_.endpoint().port));
            daemons_.push_back(std::make_unique<Daemon>("vm" + std::to_string(i + 1), seeds[i],
                                                        "z" + std::to_string(i % 2 + 1),
                                                        storeLinks_.back()->port(), seeds));
        }
    }
    void registerServer(size_t i)
    {
        store_.put("keyed.servers", servers_[i]->id(), servers_[i]->entry(serverLinks_[i]->port()));
    }
    void publish()
    {
        store_.put("keyed.op", "config",
                   fmt::format(R"({{"version":{},"routes":[{{"name":"r","host":"work.example",)"
                               R"("path_prefix":"/a/","timeout_ms":3000,"slo_ms":500,)"
                               R"("service":"s","attempts":3,"stretch_factor":3}}]}})",
                               ++version_));
    }

    HttpRequest request(const std::string &method, const std::string &job, std::string body = {})
    {
        return {method,
                "/a/" + job,
                {{"Host", "work.example"},
                 {"Lovagedeal-Deadline-Ms",
                  std::to_string(
                          std::chrono::duration_cast<milliseconds>(requestDeadline).count())}},
                std::move(body)};
    }
    // Callers keep their connections open. Returns the status; 0 without an answer.
    int send(size_t vm, const HttpRequest &request, std::string *body = nullptr)
    {
        std::promise<Result<HttpResponse>> promise;
        auto future = promise.get_future();
        client_.send(
                {daemons_[vm]->address(), httpPort}, request, requestDeadline,
                [&](Result<HttpResponse> response) { promise.set_value(std::move(response)); });
        const Result<HttpResponse> response = future.get();
        if (response.has_value() && body)
            *body = response.value().body;
        return response.has_value() ? response.value().status : 0;
    }
    std::string nextJob()
    {
        return fmt::format("{:08x}{:08x}", absl::GetFlag(FLAGS_seed) & 0xffffffff, ++jobs_);
    }

    bool isServed(Duration patience)
    {
        const Time end = currentTime() + patience;
        while (currentTime() < end) {
            // A daemon may still have been draining when the faults were over.
            if (daemons_[0]->hasEnded())
                daemons_[0]->start();
            const std::string job = nextJob();
            ledger_.noteSubmitted(job, false, 1);
            const int status = send(0, request("POST", job, jobBody(false, {1}, 4000, 20)));
            ledger_.noteAnswered(job, status);
            if (status == 200)
                return true;
            sleepFor(milliseconds(200));
        }
        return false;
    }

    static std::string jobBody(bool isStored, const std::vector<uint32_t> &counts, uint32_t cpu,
                               uint64_t workMs)
    {
        std::string steps;
        for (size_t i = 0; i < counts.size(); ++i)
            steps += fmt::format(R"({}{{"count":{},"cpu":{},"mem_mb":1,"estimate_ms":{}{}}})",
                                 i > 0 ? "," : "", counts[i], cpu, workMs,
                                 i > 0 ? fmt::format(R"(,"after":[{}])", i - 1) : "");
        return fmt::format(R"({{"spec":"{{\"work_ms\":{},\"cpu\":{}}}",{}"steps":[{}]}})", workMs,
                           cpu, isStored ? "" : R"("best_effort":true,)", steps);
    }

    void startCallers()
    {
        for (uint32_t i = 0; i < absl::GetFlag(FLAGS_callers); ++i)
            callers_.emplace_back([this, i] { call(Random(absl::GetFlag(FLAGS_seed) * 100 + i)); });
    }

    void call(Random random)
    {
        while (!isStopping_) {
            const bool isStored = random.unit() < 0.5;
            std::vector<uint32_t> counts {1 + static_cast<uint32_t>(random.below(4))};
            if (isStored && random.unit() < 0.5)
                counts.push_back(1 + static_cast<uint32_t>(random.below(3)));
            const std::string body =
                    jobBody(isStored, counts, 4000 + 4000 * static_cast<uint32_t>(random.below(3)),
                            20 + random.below(300));
            submit(isStored, counts, body, random);
            sleepFor(milliseconds(static_cast<int>(random.below(150))));
        }
    }

    // Sends a job until there is an answer that says what became of it.
    void submit(bool isStored, const std::vector<uint32_t> &counts, const std::string &body,
                Random &random)
    {
        constexpr int maxSends = 4;
        constexpr Duration resendDelay = milliseconds(1300);
        const std::string job = nextJob();
        uint64_t tasks = 0;
        for (const uint32_t count : counts)
            tasks += count;
        ledger_.noteSubmitted(job, isStored, tasks);
        for (int i = 0; i < maxSends; ++i) {
            const int status = send(random.below(daemons_.size()), request("POST", job, body));
            ++answers_[status == 200 ? 0 : status == 503 ? 1 : 2];
            if (status == 200 || (status != 0 && status != 502 && status != 504 && i == 0)) {
                ledger_.noteAnswered(job, status);
                if (status == 200 && isStored && random.unit() < 0.2)
                    cancel(job, random);
                return;
            }
            sleepFor(resendDelay);
        }
    }

    void cancel(const std::string &job, Random &random)
    {
        sleepFor(milliseconds(static_cast<int>(random.below(200))));
        if (send(random.below(daemons_.size()), request("DELETE", job)) == 200)
            ledger_.noteCancelled(job);
    }

    void injectFaults()
    {
        const Time end = currentTime() + std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
        while (currentTime() < end) {
            sleepFor(milliseconds(100 + static_cast<int>(random_.below(900))));
            undoDue();
            injectOne();
            for (auto &daemon : daemons_) {
                if (daemon->hasEnded())
                    daemon->start();
            }
        }
    }

    // An effect that ends by itself after a while.
    void undoAfter(Duration time, std::function<void()> undo)
    {
        undos_.emplace(currentTime() + time, std::move(undo));
    }
    void undoDue()
    {
        while (!undos_.empty() && undos_.begin()->first <= currentTime()) {
            undos_.begin()->second();
            undos_.erase(undos_.begin());
        }
    }

    void injectOne()
    {
        const size_t vm = random_.below(daemons_.size());
        const size_t server = random_.below(servers_.size());
        const auto time = milliseconds(300 + static_cast<int>(random_.below(4000)));
        const auto mode = static_cast<LinkMode>(1 + random_.below(4));
        switch (random_.below(10)) {
        case 0:
            return note("kill", vm), daemons_[vm]->kill();
        case 1:
            return note("term", vm), daemons_[vm]->signal(SIGTERM);
        case 2:
            note("pause", vm);
            daemons_[vm]->signal(SIGSTOP);
            return undoAfter(time, [this, vm] { daemons_[vm]->signal(SIGCONT); });
        case 3:
            note("store-link", vm);
            storeLinks_[vm]->setMode(mode);
            return undoAfter(time, [this, vm] { storeLinks_[vm]->setMode(LinkMode::Open); });
        case 4:
            return note("store-reset", vm), storeLinks_[vm]->reset();
        case 5:
            note("server-link", server);
            serverLinks_[server]->setMode(mode);
            return undoAfter(time,
                             [this, server] { serverLinks_[server]->setMode(LinkMode::Open); });
        case 6:
            return note("server-reset", server), serverLinks_[server]->reset();
        case 7:
            note("store-down", 0);
            store_.setDown(true);
            return undoAfter(time, [this] { store_.setDown(false); });
        case 8:
            note("server-restart", server);
            servers_[server]->restart();
            return registerServer(server);
        default:
            return note("publish", version_), publish();
        }
    }

    void note(const char *fault, uint64_t where)
    {
        fmt::print("{} fault={} where={}\n", toUnixMillis(currentTime()), fault, where);
        std::fflush(stdout);
        ++faults_;
    }

    void heal()
    {
        for (auto &[at, undo] : undos_)
            undo();
        undos_.clear();
        for (auto &daemon : daemons_)
            daemon->start();
    }

    // Every stored job that was accepted ends, and new work is served.
    void checkEnd()
    {
        const Time end = currentTime() + recoveryTime;
        for (const auto &[job, entry] : ledger_.jobs()) {
            if (!entry.isStored || !entry.isAccepted)
                continue;
            std::string state;
            while (currentTime() < end) {
                if (daemons_[0]->hasEnded())
                    daemons_[0]->start();
                state.clear();
                const int status = send(0, request("GET", job), &state);
                if (status == 410)
                    ledger_.violated(fmt::format("stored job {} is not known", job));
                if (status == 410 || state.find("completed") != std::string::npos
                    || state.find("cancelled") != std::string::npos)
                    break;
                sleepFor(milliseconds(100));
            }
            if (state.find("running") != std::string::npos
                || state.find("queued") != std::string::npos || state.empty())
                ledger_.violated(fmt::format("stored job {} has not ended: '{}'", job, state));
            if (state.find("failed") != std::string::npos)
                ledger_.violated(fmt::format("stored job {} has failed without cause", job));
            if (state.find("cancelled") != std::string::npos && !entry.isCancelled)
                ++unconfirmedCancels_; // the cancel was sent, its answer was lost
        }
        if (!isServed(std::chrono::seconds(12)))
            ledger_.violated("no request is served after the faults");
    }

    int report()
    {
        const auto violations = ledger_.violations();
        for (const std::string &violation : violations)
            fmt::print("broken: {}\n", violation);
        fmt::print("seed={} faults={} jobs={} served={} refused={} unanswered={} starts={} "
                   "broken={}\n",
                   absl::GetFlag(FLAGS_seed), faults_, jobs_.load(), answers_[0].load(),
                   answers_[1].load(), answers_[2].load(), ledger_.starts(), violations.size());
        return violations.empty() ? 0 : 1;
    }

    Random random_;
    Ledger ledger_;
    IoThreads platformThreads_ {1};
    IoThreads callerThreads_ {1};
    HttpClient client_ {callerThreads_, 0, {}};
    test::FakeStore store_;
    boost::asio::io_context proxies_;
    std::vector<std::unique_ptr<Server>> servers_;
    std::vector<std::unique_ptr<Proxy>> serverLinks_;
    std::vector<std::unique_ptr<Proxy>> storeLinks_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::thread proxyThread_;
    std::vector<std::thread> callers_;
    std::atomic<bool> isStopping_ = false;
    std::atomic<uint64_t> jobs_ = 0;
    std::array<std::atomic<uint64_t>, 3> answers_ {};
    std::multimap<Time, std::function<void()>> undos_;
    uint64_t version_ = 0;
    uint64_t faults_ = 0;
    uint64_t unconfirmedCancels_ = 0;
};

} // namespace

} // namespace lovage::soak

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    lovage::soak::Soak soak;
    return soak.run();
}
