#include "lovage/core.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdlib>
#include <ctime>

namespace lovage {

namespace {

constexpr std::array<std::string_view, static_cast<size_t>(ErrorCode::Count_)> errorCodeNames = {
        "internal",
        "malformed-body",
        "body-too-large",
        "not-found",
        "method-not-allowed",
        "unauthorized",
        "wrong-owner",
        "unknown-entry",
        "entry-retired",
        "invalid-entry",
        "duplicate-task-id",
        "too-many-tasks",
        "past-deadline",
        "unknown-submission",
        "id-reused",
        "past-horizon",
        "lapsed",
        "issuer-unreachable",
        "home-unreachable",
        "key-too-old",
        "key-in-future",
        "draining",
        "fenced",
        "no-catalogue",
        "queue-full",
        "quota-exceeded",
        "deadline-unreachable",
        "overloaded",
        "impossible",
        "cancelled",
        "task-failed",
        "backend-lost",
        "backend-refused",
        "deadline-exceeded",
        "answer-too-large",
        "malformed-answer",
        "publish-unknown",
        "publish-conflict",
        "log-unavailable",
        "log-behind",
        "peer-unreachable",
        "timeout",
        "invalid-settings",
        "decode-failed",
};

constexpr std::array<std::string_view, static_cast<size_t>(Promise::Count_)> promiseNames = {
        "start-once",          "whole-answer",       "own-answer",           "true-not-run",
        "non-repeatable-once", "no-work-on-leaving", "nothing-cut-on-drain", "catalogue-forward",
};

constexpr std::array<std::string_view, 3> verdictNames = {"not-run", "may-have-run", "ran"};

std::array<std::atomic<uint64_t>, static_cast<size_t>(Promise::Count_)> violationCounts {};

Duration readClock(clockid_t clock)
{
    timespec value {};
    clock_gettime(clock, &value);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(value.tv_sec)
                                                + std::chrono::nanoseconds(value.tv_nsec));
}

template<class Names>
std::optional<size_t> indexOf(const Names &names, std::string_view text)
{
    for (size_t i = 0; i < names.size(); ++i) {
        if (names[i] == text)
            return i;
    }
    return std::nullopt;
}

template<class Number>
std::optional<Number> parseNumber(std::string_view text, int base)
{
    Number value {};
    const char *end = text.data() + text.size();
    const auto [stop, status] = std::from_chars(text.data(), end, value, base);
    if (status != std::errc() || stop != end || text.empty())
        return std::nullopt;
    return value;
}

// Removes the last dot and the text after it, and returns that text; nullopt without a dot.
std::optional<std::string_view> removeLastComponent(std::string_view &text)
{
    const size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const std::string_view part = text.substr(dot + 1);
    text = text.substr(0, dot);
    return part;
}

} // namespace

Time currentTime()
{
    static const Duration offset = readClock(CLOCK_REALTIME) - readClock(CLOCK_BOOTTIME);
    return Time(offset + readClock(CLOCK_BOOTTIME));
}

int64_t toUnixMillis(Time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

Time fromUnixMillis(int64_t millis)
{
    return Time(std::chrono::milliseconds(millis));
}

std::string_view toString(Verdict verdict)
{
    return verdictNames.at(static_cast<size_t>(verdict));
}

std::optional<Verdict> parseVerdict(std::string_view text)
{
    const auto index = indexOf(verdictNames, text);
    return index ? std::optional(static_cast<Verdict>(*index)) : std::nullopt;
}

Verdict worstOf(Verdict left, Verdict right)
{
    return std::max(left, right);
}

std::string_view toString(ErrorCode code)
{
    return errorCodeNames.at(static_cast<size_t>(code));
}

std::optional<ErrorCode> parseErrorCode(std::string_view text)
{
    const auto index = indexOf(errorCodeNames, text);
    return index ? std::optional(static_cast<ErrorCode>(*index)) : std::nullopt;
}

std::string toString(const SubmissionId &id)
{
    return fmt::format("{}.{}.{:x}.{}", id.dataCentre, id.vm, id.incarnation, id.sequence);
}

std::optional<SubmissionId> parseSubmissionId(std::string_view text)
{
    const auto sequence = removeLastComponent(text);
    const auto incarnation = removeLastComponent(text);
    const auto vm = removeLastComponent(text);
    if (!sequence || !incarnation || !vm || !isValidName(*vm) || !isValidName(text))
        return std::nullopt;
    const auto sequenceNumber = parseNumber<uint64_t>(*sequence, 10);
    const auto incarnationNumber = parseNumber<uint64_t>(*incarnation, 16);
    if (!sequenceNumber || !incarnationNumber)
        return std::nullopt;
    return SubmissionId {std::string(text), std::string(*vm), *incarnationNumber, *sequenceNumber};
}

std::string toString(const TaskId &id)
{
    return fmt::format("{}.{}.{}", toString(id.submission), id.index, id.attempt);
}

std::optional<TaskId> parseTaskId(std::string_view text)
{
    const auto attempt = removeLastComponent(text);
    const auto index = removeLastComponent(text);
    if (!attempt || !index)
        return std::nullopt;
    const auto attemptNumber = parseNumber<uint32_t>(*attempt, 10);
    const auto indexNumber = parseNumber<uint32_t>(*index, 10);
    auto submission = parseSubmissionId(text);
    if (!attemptNumber || !indexNumber || !submission)
        return std::nullopt;
    return TaskId {std::move(*submission), *indexNumber, *attemptNumber};
}

std::string_view toString(BackendKind kind)
{
    return kind == BackendKind::Executor ? "executor" : "worker";
}

std::optional<BackendKind> parseBackendKind(std::string_view text)
{
    if (text == "executor")
        return BackendKind::Executor;
    if (text == "worker")
        return BackendKind::Worker;
    return std::nullopt;
}

bool isValidName(std::string_view name)
{
    constexpr size_t maxNameLength = 63;
    if (name.empty() || name.size() > maxNameLength)
        return false;
    for (const char c : name) {
        const bool isAllowed = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
        if (!isAllowed)
            return false;
    }
    return true;
}

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    // FNV-1a followed by the splitmix64 finalizer, which distributes short, similar names evenly.
    uint64_t hash = 14695981039346656037ULL ^ seed;
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 1099511628211ULL;
    }
    hash ^= hash >> 30;
    hash *= 0xbf58476d1ce4e5b9ULL;
    hash ^= hash >> 27;
    hash *= 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

uint64_t Random::below(uint64_t bound)
{
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
}

double Random::unit()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
}

double Random::exponential(double mean)
{
    return std::exponential_distribution<double>(1.0 / mean)(engine_);
}

std::string_view toString(Promise promise)
{
    return promiseNames.at(static_cast<size_t>(promise));
}

void reportInvariantViolation(Promise promise, std::string_view what, const char *file, int line)
{
    violationCounts.at(static_cast<size_t>(promise)).fetch_add(1, std::memory_order_relaxed);
    fmt::print(stderr, "level=error event=invariant_violated promise={} what=\"{}\" at={}:{}\n",
               toString(promise), what, file, line);
    if (std::getenv("LOVAGE_FATAL_INVARIANTS") != nullptr) // NOLINT(concurrency-mt-unsafe)
        std::abort();
}

uint64_t invariantViolations(Promise promise)
{
    return violationCounts.at(static_cast<size_t>(promise)).load(std::memory_order_relaxed);
}

} // namespace lovage
