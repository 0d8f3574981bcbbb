// Cost of the control libraries: fold, lookup and snapshot size of the catalogue, processor time,
// bytes and state of membership, each as points with a fitted line. Bytes of messages are sums of
// field sizes plus an assumed envelope.
#include "lovage/catalogue.h"
#include "lovage/membership.h"

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

// Authenticated envelope, and UDP and IP headers.
constexpr size_t envelopeBytes = 65 + 28;
constexpr size_t lengthBytes = 8; // of a string or vector in the cereal portable format

size_t bytesOf(const Heartbeat &heartbeat)
{
    constexpr size_t numbers = 4 * sizeof(uint64_t) + sizeof(uint16_t) + 2;
    return numbers + 4 * lengthBytes + heartbeat.vm.size() + heartbeat.dataCentre.size()
            + sizeof(uint32_t) * (heartbeat.hears.size() + heartbeat.capacity.size());
}

size_t bytesOf(const MembershipMessage &message)
{
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        return envelopeBytes + bytesOf(*heartbeat);
    const auto *summary = std::get_if<Summary>(&message);
    if (summary == nullptr)
        return 0;
    size_t bytes = envelopeBytes + lengthBytes + bytesOf(summary->sender);
    for (const SummaryMember &member : summary->members)
        bytes += lengthBytes + member.vm.size() + sizeof(uint64_t) + 1 + sizeof(uint32_t);
    return bytes;
}

struct Traffic
{
    double bytesPerSecond = 0; // of one VM, sent and received
    double microseconds = 0;   // processor time per message sent and received
    double stateBytes = 0;
};

// All VMs run in one process; messages arrive in the step after they were sent.
Traffic measureMembership(size_t dataCentres, size_t vmsEach)
{
    constexpr int seconds = 20;
    constexpr int warmUp = 5;
    constexpr size_t capacityNumbers = 15;
    Time now {std::chrono::seconds(1'800'000'000)};
    std::vector<std::unique_ptr<Membership>> vms;
    std::vector<Member> seeds;
    for (size_t i = 0; i < dataCentres * vmsEach; ++i) {
        Member &member = seeds.emplace_back();
        member.dataCentre = fmt::format("dc{}", i / vmsEach);
        member.name = fmt::format("{}-entry-{}", member.dataCentre, i % vmsEach);
        member.address = {"127.0.0.1", static_cast<uint16_t>(i)};
    }
    for (size_t i = 0; i < seeds.size(); ++i) {
        MembershipOptions options;
        options.vm = seeds[i].name;
        options.dataCentre = seeds[i].dataCentre;
        options.address = seeds[i].address;
        options.incarnation = i + 1;
        options.seeds = seeds;
        vms.push_back(std::make_unique<Membership>(options, i, now));
        vms.back()->handle(OwnStatus {7, true, std::vector<uint32_t>(capacityNumbers, 3)}, now);
    }
    std::vector<std::pair<size_t, MessageReceived>> inFlight;
    size_t bytes = 0;
    size_t messages = 0;
    double busy = 0;
    const Time begin = now + std::chrono::seconds(warmUp);
    const Time end = begin + std::chrono::seconds(seconds);
    for (; now < end; now += std::chrono::milliseconds(100)) {
        std::vector<std::pair<size_t, MessageReceived>> sent;
        const auto collect = [&](size_t from, const std::vector<MembershipAction> &actions) {
            for (const MembershipAction &action : actions) {
                if (const auto *send = std::get_if<SendMembership>(&action))
                    sent.emplace_back(send->address.port,
                                      MessageReceived {seeds[from].address, send->message});
            }
        };
        const double taken = secondsOf([&] {
            for (const auto &[to, message] : inFlight)
                collect(to, vms[to]->handle(message, now));
            for (size_t i = 0; i < vms.size(); ++i)
                collect(i, vms[i]->handle(MembershipTick {}, now));
        });
        inFlight = std::move(sent);
        if (now < begin)
            continue;
        busy += taken;
        messages += inFlight.size();
        for (const auto &[to, message] : inFlight)
            bytes += bytesOf(message.message);
    }
    const auto count = static_cast<double>(vms.size());
    return {2 * static_cast<double>(bytes) / seconds / count,
            1e6 * busy / static_cast<double>(messages),
            static_cast<double>(vms.front()->stateBytes())};
}

void measureMembers()
{
    std::vector<Point> times;
    std::vector<Point> bytes;
    std::vector<Point> state;
    for (const size_t size : {2, 5, 10, 20, 50, 100}) {
        const Traffic traffic = measureMembership(1, size);
        const auto members = static_cast<double>(size);
        times.push_back({members, traffic.microseconds});
        bytes.push_back({members, traffic.bytesPerSecond});
        state.push_back({members, traffic.stateBytes});
    }
    printFit("processor time per heartbeat", "us", times);
    printFit("heartbeats of one data centre", "bytes/s per VM", bytes);
    printFit("state", "bytes", state);
    const Traffic largest = measureMembership(9, 8);
    fmt::print("9 data centres of 8 VMs: {:.0f} bytes/s per VM, {:.2f} us per message\n",
               largest.bytesPerSecond, largest.microseconds);
}

} // namespace

int main()
{
    measureCatalogue();
    measureMembers();
    return 0;
}
