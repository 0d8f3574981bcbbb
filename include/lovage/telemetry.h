// Counters, gauges, histograms, structured log lines and trace spans.
#pragma once

#include "lovage/core.h"

#include <fmt/format.h>

#include <functional>
#include <initializer_list>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace lovage {

// A monotonically increasing count. Thread safe.
class Counter
{
public:
    void add(uint64_t count = 1) { value_.fetch_add(count, std::memory_order_relaxed); }
    uint64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> value_ = 0;
};

// A value that rises and falls. Thread safe.
class Gauge
{
public:
    void set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
    void add(int64_t count) { value_.fetch_add(count, std::memory_order_relaxed); }
    int64_t value() const { return value_.load(std::memory_order_relaxed); }

private:
    std::atomic<int64_t> value_ = 0;
};

// Distribution of durations from 1 us to 100 s on a logarithmic axis. Thread safe.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(const LatencyHistogram &) = delete;
    LatencyHistogram &operator=(const LatencyHistogram &) = delete;

    void record(Duration duration);
    uint64_t count() const;
    // Upper bound of the bin that contains the quantile (0 to 1); zero without samples.
    Duration quantile(double fraction) const;

private:
    friend class Metrics;
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

struct Label
{
    std::string name;
    std::string value;

    auto operator<=>(const Label &) const = default;
};

// Named metrics of one process. Returned references stay valid for the life of the object, so
// callers look them up once and keep them. Thread safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    Counter &counter(const std::string &name, const std::string &help,
                     std::vector<Label> labels = {});
    Gauge &gauge(const std::string &name, const std::string &help, std::vector<Label> labels = {});
    // Exposed in seconds.
    LatencyHistogram &histogram(const std::string &name, const std::string &help,
                                std::vector<Label> labels = {});

    // Prometheus text format, version 0.0.4.
    std::string prometheusText() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation_;
};

enum class LogLevel { Debug, Info, Warning, Error };

std::string_view toString(LogLevel level);
std::optional<LogLevel> parseLogLevel(std::string_view text);

// Lines below this level are not printed. Thread safe.
void setLogLevel(LogLevel level);

struct LogField
{
    template<class Value>
    LogField(std::string_view fieldName, const Value &fieldValue)
        : name(fieldName), value(fmt::format("{}", fieldValue))
    { }

    std::string_view name;
    std::string value;
};

// Prints one line "time=... level=... event=... name=value ..." to standard output. Values with
// spaces or quotes are quoted. Thread safe.
//
// Never blocks: a line is dropped if the pipe is full. The number of lines per second is limited
// for each event. A line "log-suppressed" gives the count of dropped lines and of lines above the
// limit.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});
// Prints the same line with fields that are already formatted as "name=value ...".
void logEvent(LogLevel level, std::string_view event, std::string_view fields);

// Trace context of a W3C traceparent header, version 00.
struct TraceContext
{
    std::string traceId; // 32 hex digits
    std::string spanId;  // 16 hex digits
    bool isSampled = false;

    auto operator<=>(const TraceContext &) const = default;
};

std::string toTraceparent(const TraceContext &context);
std::optional<TraceContext> parseTraceparent(std::string_view text);

// One timed operation of a trace.
struct Span
{
    std::string name;
    TraceContext context;
    std::string parentSpanId; // empty for a root span
    Time start;
    Time end;
    std::vector<Label> attributes;
};

// Collects finished spans in a bounded buffer; spans beyond it are dropped and counted. Thread
// safe.
class Tracer
{
public:
    // sampleRate: fraction of the traces started here that are sampled, 0 to 1.
    Tracer(std::string serviceName, double sampleRate, size_t maxSpans, uint64_t seed);

    // Starts a span, as a child of the parent if there is one. The parent's sampling decision is
    // kept.
    Span start(std::string name, const std::optional<TraceContext> &parent, Time now);
    // Keeps the span if its trace is sampled.
    void finish(Span span, Time now);
    // Removes the collected spans and returns them as an OTLP JSON request; empty without spans.
    std::string takeOtlpJson();
    uint64_t droppedSpans() const { return dropped_.load(std::memory_order_relaxed); }

private:
    std::string randomHex(size_t words);

    std::string serviceName_;
    double sampleRate_;
    size_t maxSpans_;
    std::mutex mutex_;
    Random random_;
    std::vector<Span> spans_;
    std::atomic<uint64_t> dropped_ = 0;
};

} // namespace lovage
