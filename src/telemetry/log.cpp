#include "lovage/telemetry.h"

#include <fmt/chrono.h>

#include <climits>
#include <map>
#include <poll.h>
#include <unistd.h>

namespace lovage {

namespace {

constexpr std::array<std::string_view, 4> levelNames = {"debug", "info", "warning", "error"};

std::atomic<LogLevel> minimumLevel = LogLevel::Info;

bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" \"=\n\t\\") != std::string_view::npos;
}

std::string quote(std::string_view text)
{
    std::string quoted = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\')
            quoted += '\\';
        if (c == '\n')
            quoted += "\\n";
        else
            quoted += c;
    }
    return quoted + "\"";
}

// Limit on the lines of one event per second. High enough to log every request at the normal load
// of a VM.
constexpr uint32_t maxLinesPerSecond = 300;

// Writes lines of limited length and rate to standard output and never blocks on a slow reader.
class RateLimitedLog
{
public:
    void print(LogLevel level, std::string_view event, std::string_view fields)
    {
        const std::lock_guard lock(mutex_);
        const int64_t millis = toUnixMillis(currentTime());
        startSecond(millis);
        const auto entry = printed_.try_emplace(std::string(event), 0).first;
        if (entry->second >= maxLinesPerSecond) {
            ++suppressed_[entry->first];
            return;
        }
        ++entry->second;
        write(line(millis, level, event, fields), event);
    }

private:
    static std::string line(int64_t millis, LogLevel level, std::string_view event,
                            std::string_view fields)
    {
        std::string text =
                fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}{}{}\n",
                            fmt::gmtime(static_cast<time_t>(millis / 1000)), millis % 1000,
                            toString(level), event, fields.empty() ? "" : " ", fields);
        // A longer write to a pipe may block, or be interleaved with other writes.
        if (text.size() > PIPE_BUF) {
            text.resize(PIPE_BUF - 1);
            text += '\n';
        }
        return text;
    }

    void startSecond(int64_t millis)
    {
        const int64_t second = millis / 1000;
        if (second == second_)
            return;
        second_ = second;
        printed_.clear();
        for (const auto &[event, count] : std::exchange(suppressed_, {}))
            write(line(millis, LogLevel::Warning, "log-suppressed",
                       fmt::format("suppressed={} lines={}", event, count)),
                  event);
    }

    // A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking.
    void write(const std::string &text, std::string_view event)
    {
        pollfd out {STDOUT_FILENO, POLLOUT, 0};
        const bool isWritable = poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
        if (!isWritable
            || ::write(STDOUT_FILENO, text.data(), text.size())
                    != static_cast<ssize_t>(text.size()))
            ++suppressed_[std::string(event)];
    }

    std::mutex mutex_;
    int64_t second_ = 0;
    std::map<std::string, uint32_t> printed_;
    std::map<std::string, uint64_t> suppressed_;
};

} // namespace

std::string_view toString(LogLevel level)
{
    return levelNames.at(static_cast<size_t>(level));
}

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    for (size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames.at(i) == text)
            return static_cast<LogLevel>(i);
    }
    return std::nullopt;
}

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    std::string text;
    for (const LogField &field : fields) {
        text += fmt::format("{}{}={}", text.empty() ? "" : " ", field.name,
                            needsQuotes(field.value) ? quote(field.value) : field.value);
    }
    logEvent(level, event, text);
}

void logEvent(LogLevel level, std::string_view event, std::string_view fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    static RateLimitedLog log;
    log.print(level, event, fields);
}

} // namespace lovage
