// Finds the log lines of the daemons and backend servers that name a job.
#pragma once

#include "fleet.h"
#include "server_log.h"

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

namespace lovage::soak {

inline std::vector<std::string> linesOfJob(const std::string &path, const std::string &job)
{
    std::vector<std::string> lines;
    std::ifstream log(path);
    for (std::string line; std::getline(log, line);) {
        if (line.find("job=" + job) != std::string::npos)
            lines.push_back(line);
    }
    return lines;
}

// Returns the lines in the order of their times, each followed by the name of the VM or server that
// wrote it.
inline std::vector<std::string> traceJob(Fleet &fleet, const ServerLog &servers,
                                         const std::string &job)
{
    std::vector<std::string> lines = linesOfJob(servers.path(), job);
    for (size_t vm = 0; vm < fleet.size(); ++vm) {
        for (const std::string &line : linesOfJob(fleet.daemon(vm).log(), job))
            lines.push_back(fmt::format("{} by={}", line, Fleet::nameOf(vm)));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const auto &left, const auto &right) {
        return left.substr(0, left.find(' ')) < right.substr(0, right.find(' '));
    });
    return lines;
}

} // namespace lovage::soak
