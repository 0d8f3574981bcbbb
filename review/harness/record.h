// Log of a case: what was sent, answered and run, with the time since the start of the case.
#pragma once

#include "lovage/core.h"

#include <fmt/format.h>

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace lovage::review {

// Thread safe.
class Record
{
public:
    explicit Record(const std::string &file) : out_(file, std::ios::trunc) { }

    int64_t elapsedMs() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - start_)
                .count();
    }
    void add(const std::string &line)
    {
        const std::lock_guard lock(mutex_);
        out_ << fmt::format("{:>7} ms  {}\n", elapsedMs(), line) << std::flush;
    }
    // Adds a line that tells how the rule was broken.
    void addViolation(const std::string &line)
    {
        add("BROKEN  " + line);
        const std::lock_guard lock(mutex_);
        violations_.push_back(line);
    }
    std::vector<std::string> violations()
    {
        const std::lock_guard lock(mutex_);
        return violations_;
    }

private:
    Time start_ = currentTime();
    std::mutex mutex_;
    std::ofstream out_;
    std::vector<std::string> violations_;
};

} // namespace lovage::review
