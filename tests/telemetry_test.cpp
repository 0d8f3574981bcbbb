#define BOOST_TEST_MODULE telemetry
#include "lovage/telemetry.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <thread>

using namespace lovage;
using namespace std::chrono_literals;

// Guards against lost increments when several threads update a metric concurrently.
BOOST_AUTO_TEST_CASE(metricsCountFromSeveralThreads)
{
    Metrics metrics;
    Counter &counter = metrics.counter("requests_total", "Requests.", {{"kind", "a"}});
    LatencyHistogram &histogram = metrics.histogram("latency_seconds", "Latency.");
    constexpr int perThread = 10000;
    const auto work = [&] {
        for (int i = 0; i < perThread; ++i) {
            counter.add();
            histogram.record(1ms);
        }
    };
    std::thread first(work);
    std::thread second(work);
    first.join();
    second.join();
    BOOST_TEST(&metrics.counter("requests_total", "Requests.", {{"kind", "a"}}) == &counter);
    const std::string text = metrics.prometheusText();
    BOOST_TEST(text.find("requests_total{kind=\"a\"} 20000\n") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_count 20000\n") != std::string::npos);
    BOOST_TEST(text.find("latency_seconds_sum 20.000000\n") != std::string::npos);
}

// Guards against quantiles that are wrong by more than the width of a bin.
BOOST_AUTO_TEST_CASE(quantilesAreWithinOneBin)
{
    LatencyHistogram histogram;
    for (int i = 1; i <= 1000; ++i)
        histogram.record(Duration(i * 100));
    const double median = static_cast<double>(histogram.quantile(0.5).count());
    BOOST_TEST(median >= 50000.0);
    BOOST_TEST(median <= 50000.0 * 1.13);
    BOOST_TEST(LatencyHistogram().quantile(0.99).count() == 0);
}

// Guards against a malformed traceparent header that is accepted and breaks the trace.
BOOST_AUTO_TEST_CASE(traceparentIsParsedStrictly)
{
    const std::string text = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto context = parseTraceparent(text);
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(toTraceparent(*context) == text);
    for (const char *bad : {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
                            "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                            "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                            "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"})
        BOOST_TEST(!parseTraceparent(bad).has_value(), bad);
}

// Guards against spans that lose their parent and against an unbounded buffer.
BOOST_AUTO_TEST_CASE(spansKeepTheirTraceAndAreBounded)
{
    Tracer tracer("vm-1", 1.0, 2, 7);
    const Span root = tracer.start("submit", std::nullopt, Time(1s));
    const Span child = tracer.start("start", root.context, Time(1s));
    BOOST_TEST(child.context.traceId == root.context.traceId);
    BOOST_TEST(child.parentSpanId == root.context.spanId);
    for (int i = 0; i < 3; ++i)
        tracer.finish(child, Time(2s));
    BOOST_TEST(tracer.droppedSpans() == 1);
    const auto parsed = boost::json::parse(tracer.takeOtlpJson());
    const auto &span = parsed.at("resourceSpans").at(0).at("scopeSpans").at(0).at("spans").at(0);
    BOOST_TEST(span.at("parentSpanId").as_string() == root.context.spanId);
    BOOST_TEST(span.at("endTimeUnixNano").as_string() == "2000000000");
    BOOST_TEST(tracer.takeOtlpJson().empty());
    Tracer unsampled("vm-1", 0.0, 2, 7);
    unsampled.finish(unsampled.start("submit", std::nullopt, Time(1s)), Time(2s));
    BOOST_TEST(unsampled.takeOtlpJson().empty());
}
