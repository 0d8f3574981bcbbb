// Log of what the backend servers of a soak execute.
#pragma once

#include "ledger.h"

#include <filesystem>
#include <fstream>

namespace lovage::soak {

// Thread safe. The lines have the form of the daemons' log lines, so that a trace can merge them.
class ServerLog
{
public:
    explicit ServerLog(const std::string &folder) : path_(folder + "/servers.log")
    {
        std::filesystem::create_directories(folder);
        file_.open(path_, std::ios::trunc);
    }

    const std::string &path() const { return path_; }
    void add(const std::string &server, std::string_view event, const std::string &details)
    {
        const std::lock_guard lock(mutex_);
        file_ << fmt::format("time={} event={} {} by={}", formatTime(currentTime()), event, details,
                             server)
              << std::endl;
    }
    // Adds a line about a run. The name of a task begins with the id of its job.
    void addRun(const std::string &server, std::string_view event, const std::string &task,
                int64_t run, const std::string &details)
    {
        add(server, event,
            fmt::format("job={} task={} run={} {}", task.substr(0, task.find('.')), task, run,
                        details));
    }

private:
    std::string path_;
    std::mutex mutex_;
    std::ofstream file_;
};

} // namespace lovage::soak
