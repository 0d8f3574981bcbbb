// The record of a case: what was sent, answered and run, one line each.
#pragma once

#include "net.h"

#include <cstdarg>
#include <cstdio>
#include <mutex>

namespace review {

class Record
{
public:
    explicit Record(const std::string &file) : file_(std::fopen(file.c_str(), "w")) { }

    __attribute__((format(printf, 2, 3))) void line(const char *format, ...)
    {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        if (!file_)
            return;
        std::fprintf(file_, "%8.3f %s\n", static_cast<double>(steadyMs() - start_) / 1000, text);
        std::fflush(file_);
    }
    double seconds() const { return static_cast<double>(steadyMs() - start_) / 1000; }

private:
    std::mutex mutex_;
    std::FILE *file_;
    int64_t start_ = steadyMs();
};

} // namespace review
