// Finds the log lines of the daemons that name a job.
#pragma once

#include "fleet.h"

#include <algorithm>
#include <fstream>
#include <string>
#include <vector>

namespace lovage::soak {

// Returns the lines in the order of their times, each followed by the name of the VM that wrote it.
inline std::vector<std::string> traceJob(Fleet &fleet, const std::string &job)
{
    std::vector<std::string> lines;
    for (size_t vm = 0; vm < fleet.size(); ++vm) {
        std::ifstream log(fleet.daemon(vm).log());
        for (std::string line; std::getline(log, line);) {
            if (line.find("job=" + job) != std::string::npos)
                lines.push_back(fmt::format("{} by={}", line, Fleet::nameOf(vm)));
        }
    }
    std::stable_sort(lines.begin(), lines.end(), [](const auto &left, const auto &right) {
        return left.substr(0, left.find(' ')) < right.substr(0, right.find(' '));
    });
    return lines;
}

} // namespace lovage::soak
