// Cost of the catalogue: fold, lookup and snapshot size, each as points with a fitted line.
#include "lovage/catalogue.h"

#include <fmt/format.h>

#include <cmath>
#include <functional>

using namespace lovage;

namespace {

struct Point
{
    double size;
    double value;
};

double secondsOf(const std::function<void()> &work)
{
    const auto begin = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

// Prints the points, the least squares line, and its root mean square error relative to the mean.
void printFit(std::string_view name, std::string_view unit, const std::vector<Point> &points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    for (const Point &point : points) {
        fmt::print("{}: size {} value {:.4g} {}\n", name, point.size, point.value, unit);
        sumX += point.size;
        sumY += point.value;
        sumXx += point.size * point.size;
        sumXy += point.size * point.value;
    }
    const auto count = static_cast<double>(points.size());
    const double slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    const double start = (sumY - slope * sumX) / count;
    double squares = 0;
    for (const Point &point : points)
        squares += std::pow(point.value - start - slope * point.size, 2);
    fmt::print("{}: slope {:.4g} {} each, start {:.4g}, error {:.1f} %\n", name, slope, unit, start,
               100 * std::sqrt(squares / count) / (sumY / count));
}

void measureCatalogue()
{
    std::vector<Point> foldTimes;
    std::vector<Point> lookupTimes;
    std::vector<Point> bytes;
    for (const uint64_t size : {10, 100, 500, 1000, 2000, 5000}) {
        std::vector<LogRecord> records;
        for (uint64_t i = 1; i <= size; ++i) {
            ChangeRecord change {fmt::format("r{}", i), ChangeOperation::Publish, 0, {}};
            change.entry.name = fmt::format("entry-{}", i);
            change.entry.owner = change.entry.workClass = "team-a";
            records.push_back({i, serializeLogRecord(change)});
        }
        const auto entries = static_cast<double>(size);
        Catalogue catalogue;
        foldTimes.push_back({entries, 1e3 * secondsOf([&] { catalogue = fold({}, records); })});
        constexpr uint64_t lookups = 200'000;
        uint64_t found = 0;
        const double taken = secondsOf([&] {
            for (uint64_t i = 0; i < lookups; ++i)
                found += catalogue.find(catalogue.entries()[i % size]->name) != nullptr ? 1 : 0;
        });
        lookupTimes.push_back({entries, 1e9 * taken / static_cast<double>(found)});
        const std::string snapshot = serializeLogRecord(snapshotOf(catalogue, Time {}));
        bytes.push_back({entries, static_cast<double>(snapshot.size())});
    }
    printFit("fold of all records", "ms", foldTimes);
    printFit("lookup", "ns", lookupTimes);
    printFit("snapshot", "bytes", bytes);
}

} // namespace

int main()
{
    measureCatalogue();
    return 0;
}
