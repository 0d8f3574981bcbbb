#include "lovage/telemetry.h"

#include <fmt/chrono.h>

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
    const int64_t millis = toUnixMillis(currentTime());
    std::string line = fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                                   fmt::gmtime(static_cast<time_t>(millis / 1000)), millis % 1000,
                                   toString(level), event);
    for (const LogField &field : fields)
        line += fmt::format(" {}={}", field.name,
                            needsQuotes(field.value) ? quote(field.value) : field.value);
    line += '\n';
    // One write per line keeps lines of several threads apart.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

} // namespace lovage
