#include "lovage/telemetry.h"

#include <boost/histogram.hpp>

#include <map>
#include <sstream>

namespace lovage {

namespace {

namespace histogram = boost::histogram;

using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
using ThreadSafeCount = histogram::accumulators::count<uint64_t, true>;
using Storage = histogram::dense_storage<ThreadSafeCount>;
using DurationHistogram = histogram::histogram<std::tuple<LogAxis>, Storage>;

constexpr unsigned binCount = 160; // 20 bins per factor of ten: bounds are 12% apart
constexpr double lowestMicros = 1.0;
constexpr double highestMicros = 1e8;
// Only every tenth bin bound is exported; full resolution would be 160 lines per histogram.
constexpr int exportedBinStride = 10;
constexpr double microsPerSecond = 1e6;

std::string formatLabels(const std::vector<Label> &labels, std::string_view extra = {})
{
    std::string text;
    for (const Label &label : labels)
        text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name, label.value);
    if (!extra.empty())
        text += fmt::format("{}{}", text.empty() ? "" : ",", extra);
    return text.empty() ? text : "{" + text + "}";
}

} // namespace

struct LatencyHistogram::Implementation
{
    DurationHistogram bins = histogram::make_histogram_with(
            Storage(), LogAxis(binCount, lowestMicros, highestMicros));
    std::atomic<uint64_t> totalMicros = 0;
};

LatencyHistogram::LatencyHistogram() : implementation_(std::make_unique<Implementation>()) { }

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    const auto micros = std::max<int64_t>(duration.count(), 0);
    implementation_->bins(static_cast<double>(std::max<int64_t>(micros, 1)));
    implementation_->totalMicros.fetch_add(static_cast<uint64_t>(micros),
                                           std::memory_order_relaxed);
}

uint64_t LatencyHistogram::count() const
{
    uint64_t total = 0;
    for (auto &&bin : histogram::indexed(implementation_->bins, histogram::coverage::all))
        total += static_cast<uint64_t>(bin->value());
    return total;
}

Duration LatencyHistogram::quantile(double fraction) const
{
    const auto targetCount = fraction * static_cast<double>(count());
    const auto &axis = implementation_->bins.axis(0);
    uint64_t sum = 0;
    for (int i = 0; i <= axis.size(); ++i) {
        sum += static_cast<uint64_t>(implementation_->bins.at(i).value());
        if (sum > 0 && static_cast<double>(sum) >= targetCount)
            return Duration(static_cast<int64_t>(axis.value(std::min(i + 1, axis.size()))));
    }
    return Duration(0);
}

namespace {

enum class MetricKind { Counter, Gauge, Histogram };

template<class Metric>
struct Series
{
    std::vector<Label> labels;
    std::unique_ptr<Metric> metric;
};

template<class Metric>
struct Family
{
    std::string help;
    std::vector<Series<Metric>> series;
};

template<class Metric>
using Families = std::map<std::string, Family<Metric>>;

template<class Metric>
Metric &findOrAdd(Families<Metric> &families, const std::string &name, const std::string &help,
                  std::vector<Label> labels)
{
    Family<Metric> &family = families[name];
    family.help = help;
    for (auto &series : family.series) {
        if (series.labels == labels)
            return *series.metric;
    }
    family.series.push_back({std::move(labels), std::make_unique<Metric>()});
    return *family.series.back().metric;
}

template<class Metric>
void writeValues(std::ostringstream &out, const Families<Metric> &families, std::string_view type)
{
    for (const auto &[name, family] : families) {
        out << fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, family.help, name, type);
        for (const auto &series : family.series)
            out << fmt::format("{}{} {}\n", name, formatLabels(series.labels),
                               series.metric->value());
    }
}

} // namespace

struct Metrics::Implementation
{
    mutable std::mutex mutex;
    Families<Counter> counters;
    Families<Gauge> gauges;
    Families<LatencyHistogram> histograms;
};

Metrics::Metrics() : implementation_(std::make_unique<Implementation>()) { }

Metrics::~Metrics() = default;

Counter &Metrics::counter(const std::string &name, const std::string &help,
                          std::vector<Label> labels)
{
    const std::lock_guard lock(implementation_->mutex);
    return findOrAdd(implementation_->counters, name, help, std::move(labels));
}

Gauge &Metrics::gauge(const std::string &name, const std::string &help, std::vector<Label> labels)
{
    const std::lock_guard lock(implementation_->mutex);
    return findOrAdd(implementation_->gauges, name, help, std::move(labels));
}

LatencyHistogram &Metrics::histogram(const std::string &name, const std::string &help,
                                     std::vector<Label> labels)
{
    const std::lock_guard lock(implementation_->mutex);
    return findOrAdd(implementation_->histograms, name, help, std::move(labels));
}

std::string Metrics::prometheusText() const
{
    const std::lock_guard lock(implementation_->mutex);
    std::ostringstream out;
    writeValues(out, implementation_->counters, "counter");
    writeValues(out, implementation_->gauges, "gauge");
    for (const auto &[name, family] : implementation_->histograms) {
        out << fmt::format("# HELP {} {}\n# TYPE {} histogram\n", name, family.help, name);
        for (const auto &series : family.series) {
            const auto &bins = series.metric->implementation_->bins;
            const auto &axis = bins.axis(0);
            auto sum = static_cast<uint64_t>(bins.at(-1).value());
            for (int i = 0; i < axis.size(); ++i) {
                sum += static_cast<uint64_t>(bins.at(i).value());
                if ((i + 1) % exportedBinStride == 0)
                    out << fmt::format(
                            "{}_bucket{} {}\n", name,
                            formatLabels(series.labels,
                                         fmt::format("le=\"{:.3g}\"",
                                                     axis.value(i + 1) / microsPerSecond)),
                            sum);
            }
            sum += static_cast<uint64_t>(bins.at(axis.size()).value());
            out << fmt::format("{}_bucket{} {}\n", name, formatLabels(series.labels, "le=\"+Inf\""),
                               sum);
            const uint64_t total = series.metric->implementation_->totalMicros;
            out << fmt::format("{}_sum{} {:.6f}\n", name, formatLabels(series.labels),
                               static_cast<double>(total) / microsPerSecond);
            out << fmt::format("{}_count{} {}\n", name, formatLabels(series.labels), sum);
        }
    }
    return out.str();
}

} // namespace lovage
