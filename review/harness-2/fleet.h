// The processes of the system: one of the deploy file's program on each loopback address.
#pragma once

#include "store.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <spawn.h>
#include <sys/wait.h>

namespace review {

struct FleetOptions
{
    std::string root;   // repository, in which the program is started
    std::string folder; // for settings and logs
    std::vector<std::string> zones;
    uint16_t storePort = 0;
    int64_t keepS = 300;
};

// One process of the program. Signals go only to the id of this process.
class Process
{
public:
    Process(std::string root, const std::string &folder, const std::string &name)
        : root_(std::move(root)), settings_(folder + "/" + name + ".json"),
          log_(folder + "/" + name + ".log"), pidFile_(folder + "/pids")
    { }
    ~Process() { kill(); }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void start()
    {
        if (pid_ > 0)
            return;
        std::string boot = "LOVAGEDEAL_BOOT=" + settings_;
        const char *path = std::getenv("PATH");
        std::string pathEntry = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
        std::string program = "target/lovaged-platform";
        char *arguments[] = {program.data(), nullptr};
        char *environment[] = {boot.data(), pathEntry.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addchdir_np(&actions, root_.c_str());
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        if (posix_spawn(&pid_, (root_ + "/" + program).c_str(), &actions, nullptr, arguments,
                        environment)
            != 0)
            throw std::runtime_error("cannot start target/lovaged-platform");
        std::ofstream(pidFile_, std::ios::app) << pid_ << '\n';
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
        signal(SIGCONT);
        signal(SIGKILL);
        if (pid_ > 0)
            ::waitpid(pid_, nullptr, 0);
        pid_ = 0;
    }
    bool isRunning()
    {
        reap();
        return pid_ > 0;
    }

private:
    void reap()
    {
        if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_)
            pid_ = 0;
    }

    std::string root_;
    std::string settings_;
    std::string log_;
    std::string pidFile_; // ids of the processes, for the script
    pid_t pid_ = 0;
};

class Fleet
{
public:
    static constexpr uint16_t httpPort = 8161;
    static constexpr uint16_t readinessPort = 8167;
    static constexpr uint16_t peerPort = 7720;

    explicit Fleet(FleetOptions options) : options_(std::move(options))
    {
        chooseSubnet();
        for (size_t vm = 0; vm < options_.zones.size(); ++vm)
            add(vm, options_.zones[vm]);
    }

    size_t size() const { return processes_.size(); }
    Process &process(size_t vm) { return *processes_[vm]; }
    std::string address(size_t vm) const { return subnet_ + std::to_string(vm + 1); }
    static std::string nameOf(size_t vm) { return "edge-" + std::to_string(vm + 1); }
    void startAll()
    {
        for (auto &process : processes_)
            process->start();
    }
    // Adds a VM that is not started yet.
    size_t addVm(const std::string &zone)
    {
        const size_t vm = processes_.size();
        options_.zones.push_back(zone);
        add(vm, zone);
        return vm;
    }
    void killAll()
    {
        for (auto &process : processes_)
            process->kill();
    }
    bool isReady(size_t vm) const
    {
        const auto response = callHttp(address(vm), readinessPort, {"GET", "/-/readyz"}, 500);
        return response && response->status == 200;
    }

private:
    // Finds loopback addresses on which nothing listens.
    void chooseSubnet()
    {
        for (int attempt = 0; attempt < 100; ++attempt) {
            const int pid = static_cast<int>(::getpid()) + attempt * 7919;
            subnet_ = "127." + std::to_string(10 + pid % 200) + "."
                    + std::to_string(pid / 200 % 250) + ".";
            bool isFree = true;
            for (size_t vm = 0; vm < options_.zones.size() + 2; ++vm) {
                for (const uint16_t port : {httpPort, readinessPort, peerPort})
                    isFree &= isUnused(address(vm), port);
            }
            if (isFree)
                return;
        }
        throw std::runtime_error("no free loopback addresses");
    }
    static bool isUnused(const std::string &host, uint16_t port)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(host, port);
        const bool isFree =
                ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        ::close(socket);
        return isFree;
    }
    // Renders what deploy/settings.json.template renders.
    void add(size_t vm, const std::string &zone)
    {
        json::array seeds;
        for (size_t seed = 0; seed < std::min<size_t>(3, options_.zones.size()); ++seed)
            seeds.push_back(json::object {{"address", address(seed) + ":8166"}});
        const json::object settings {
                {"name", nameOf(vm)},
                {"dataCentre", zone},
                {"http", address(vm) + ":" + std::to_string(httpPort)},
                {"readiness", address(vm) + ":" + std::to_string(readinessPort)},
                {"peer", address(vm) + ":" + std::to_string(peerPort)},
                {"store", "127.0.0.1:" + std::to_string(options_.storePort)},
                {"seeds", seeds},
                {"cpuShare", 0.25},
                {"cores", 1},
                {"shardCount", 24},
                {"leaseMs", 1000},
                {"stopTimeMs", 50},
                {"resubmitDelayMs", 1300},
                {"groupLeaseMs", 1000},
                {"jobRetentionS", 120},
                {"journalHistoryS", options_.keepS},
                {"stopLimitS", 6}};
        std::ofstream(options_.folder + "/" + nameOf(vm) + ".json") << json::serialize(settings);
        processes_.push_back(std::make_unique<Process>(options_.root, options_.folder, nameOf(vm)));
    }

    FleetOptions options_;
    std::string subnet_;
    std::vector<std::unique_ptr<Process>> processes_;
};

// Ends all processes of a fleet at the end of a case.
class FleetGuard
{
public:
    explicit FleetGuard(Fleet &fleet) : fleet_(fleet) { }
    ~FleetGuard() { fleet_.killAll(); }
    FleetGuard(const FleetGuard &) = delete;
    FleetGuard &operator=(const FleetGuard &) = delete;

private:
    Fleet &fleet_;
};

} // namespace review
