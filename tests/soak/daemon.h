// A daemon that runs in a process of its own.
#pragma once

#include "network.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

namespace lovage::soak {

// Files of a daemon.
struct DaemonFiles
{
    std::string program;
    std::string settings;
    std::string log;
};

// Signals go only to the id of this process.
class Daemon
{
public:
    Daemon(DaemonFiles files, const std::string &settings) : files_(std::move(files))
    {
        std::ofstream(files_.settings) << settings;
        std::ofstream(files_.log, std::ios::trunc); // an earlier run may have left its lines
    }
    ~Daemon()
    {
        signal(SIGCONT);
        kill();
    }
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    const std::string &log() const { return files_.log; }
    pid_t pid() const { return pid_; } // 0 if no process runs

    void start()
    {
        reap();
        if (pid_ > 0)
            return;
        std::string flag = "--settings=" + files_.settings;
        std::array<char *, 3> arguments = {files_.program.data(), flag.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, files_.log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        // A daemon with copies of the callers' sockets would keep their connections open after a
        // caller has closed them, and no VM would notice that the caller has gone.
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        if (posix_spawn(&pid_, files_.program.c_str(), &actions, nullptr, arguments.data(), environ)
            != 0)
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
    // Returns whether the daemon has no running process, for example after SIGTERM.
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

    DaemonFiles files_;
    pid_t pid_ = 0;
};

} // namespace lovage::soak
