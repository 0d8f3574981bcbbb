#include "lovage/telemetry.h"

#include <boost/json.hpp>

namespace lovage {

namespace {

namespace json = boost::json;

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isAllZero(std::string_view text)
{
    return text.find_first_not_of('0') == std::string_view::npos;
}

json::object toAttribute(const Label &label)
{
    return {{"key", label.name}, {"value", {{"stringValue", label.value}}}};
}

std::string toNanos(Time time)
{
    return fmt::format("{}000", time.time_since_epoch().count());
}

json::object toJson(const Span &span)
{
    json::array attributes;
    for (const Label &label : span.attributes)
        attributes.push_back(toAttribute(label));
    json::object value = {{"traceId", span.context.traceId},
                          {"spanId", span.context.spanId},
                          {"name", span.name},
                          {"kind", 1},
                          {"startTimeUnixNano", toNanos(span.start)},
                          {"endTimeUnixNano", toNanos(span.end)},
                          {"attributes", std::move(attributes)}};
    if (!span.parentSpanId.empty())
        value["parentSpanId"] = span.parentSpanId;
    return value;
}

} // namespace

std::string toTraceparent(const TraceContext &context)
{
    return fmt::format("00-{}-{}-{}", context.traceId, context.spanId,
                       context.isSampled ? "01" : "00");
}

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    constexpr size_t length = 55;
    if (text.size() != length || text.substr(0, 3) != "00-" || text[35] != '-' || text[52] != '-')
        return std::nullopt;
    const std::string_view traceId = text.substr(3, 32);
    const std::string_view spanId = text.substr(36, 16);
    const std::string_view flags = text.substr(53, 2);
    if (!isHex(traceId) || !isHex(spanId) || !isHex(flags) || isAllZero(traceId)
        || isAllZero(spanId))
        return std::nullopt;
    const bool isSampled = (flags[1] - '0') % 2 != 0;
    return TraceContext {std::string(traceId), std::string(spanId), isSampled};
}

Tracer::Tracer(std::string serviceName, double sampleRate, size_t maxSpans, uint64_t seed)
    : serviceName_(std::move(serviceName)), sampleRate_(sampleRate), maxSpans_(maxSpans),
      random_(seed)
{ }

// Requires mutex_ to be held.
std::string Tracer::randomHex(size_t words)
{
    std::string text;
    for (size_t i = 0; i < words; ++i)
        text += fmt::format("{:016x}", random_.next());
    return text;
}

Span Tracer::start(std::string name, const std::optional<TraceContext> &parent, Time now)
{
    Span span;
    span.name = std::move(name);
    span.start = now;
    const std::lock_guard lock(mutex_);
    if (parent) {
        span.context = *parent;
        span.parentSpanId = parent->spanId;
    } else {
        span.context.traceId = randomHex(2);
        span.context.isSampled = random_.unit() < sampleRate_;
    }
    span.context.spanId = randomHex(1);
    return span;
}

void Tracer::finish(Span span, Time now)
{
    if (!span.context.isSampled)
        return;
    span.end = now;
    const std::lock_guard lock(mutex_);
    if (spans_.size() >= maxSpans_) {
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    spans_.push_back(std::move(span));
}

std::string Tracer::takeOtlpJson()
{
    std::vector<Span> spans;
    {
        const std::lock_guard lock(mutex_);
        spans.swap(spans_);
    }
    if (spans.empty())
        return {};
    json::array values;
    for (const Span &span : spans)
        values.push_back(toJson(span));
    const json::object scope = {{"scope", {{"name", "lovagedeal"}}}, {"spans", std::move(values)}};
    const json::object resource = {
            {"resource",
             {{"attributes", json::array {toAttribute({"service.name", serviceName_})}}}},
            {"scopeSpans", json::array {scope}}};
    return json::serialize(json::object {{"resourceSpans", json::array {resource}}});
}

} // namespace lovage
