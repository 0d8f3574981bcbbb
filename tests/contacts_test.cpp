// Simulates the exchange of reports in fleets of up to 400 VMs in virtual time.
#define BOOST_TEST_MODULE contacts
#include "lovage/contacts.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <deque>
#include <memory>

using namespace lovage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration tickInterval = milliseconds(10);
constexpr Duration linkDelay = milliseconds(1);
constexpr uint32_t largeMilliCores = 250; // can hold 32 servers
constexpr uint32_t smallMilliCores = 90;  // can hold 11 servers

struct Vm
{
    VmInfo info;
    std::unique_ptr<VmTable> table;
    std::unique_ptr<ContactPlan> plan;
    ContactState state;
    bool isUp = true;
    size_t sent = 0;
    size_t received = 0;
    size_t bytesSent = 0;
    std::vector<std::string> lost;
};

// Traffic per VM and second. Messages are counted when sent and when received.
struct Traffic
{
    double meanMessages = 0;
    double maxMessages = 0; // of the busiest VM
    double meanBytesSent = 0;
};

std::string toString(const Traffic &traffic)
{
    return fmt::format("{:.0f} messages/s and {:.0f} bytes/s sent on average, {:.0f} messages/s at "
                       "the busiest VM",
                       traffic.meanMessages, traffic.meanBytesSent, traffic.maxMessages);
}

// Simulated VMs in data centres of equal size, in which every third VM is large.
class Fleet
{
public:
    Fleet(size_t dataCentres, size_t vmsEach, uint32_t serversEach, bool isDirectoryKnown = true)
        : servers_(serversEach)
    {
        for (size_t i = 0; i < dataCentres * vmsEach; ++i)
            add(fmt::format("dc{}", i % dataCentres), i);
        std::vector<VmInfo> all;
        for (const auto &[address, vm] : vms)
            all.push_back(vm.info);
        for (auto &[address, vm] : vms) {
            if (isDirectoryKnown)
                vm.plan->addVms(all);
            for (size_t seed = 0; seed < std::min<size_t>(3, dataCentres); ++seed)
                vm.plan->addSeed(addressOf(seed));
        }
    }

    static std::string addressOf(size_t index) { return fmt::format("10.0.0.1:{}", 1000 + index); }

    Vm &at(size_t index) { return vms.at(addressOf(index)); }

    void run(Duration duration)
    {
        for (const Time end = now + duration; now < end; now += tickInterval) {
            deliver();
            for (auto &[address, vm] : vms) {
                if (vm.isUp)
                    tick(vm);
            }
        }
    }

    std::vector<Vm *> holdersOf(const std::string &dataCentre)
    {
        std::vector<Vm *> holders;
        for (auto &[address, vm] : vms) {
            if (vm.isUp && vm.state.isHolder && vm.info.dataCentre == dataCentre)
                holders.push_back(&vm);
        }
        return holders;
    }

    Traffic traffic(Duration duration)
    {
        for (auto &[address, vm] : vms)
            vm.sent = vm.received = vm.bytesSent = 0;
        run(duration);
        const double elapsed = std::chrono::duration<double>(duration).count();
        Traffic traffic;
        for (const auto &[address, vm] : vms) {
            const double messages = static_cast<double>(vm.sent + vm.received) / elapsed;
            const double share = 1.0 / static_cast<double>(vms.size());
            traffic.meanMessages += messages * share;
            traffic.meanBytesSent += static_cast<double>(vm.bytesSent) / elapsed * share;
            traffic.maxMessages = std::max(traffic.maxMessages, messages);
        }
        return traffic;
    }

    Time now = fromUnixMillis(1'700'000'000'000);
    std::map<std::string, Vm> vms; // by address
    std::function<bool(const VmInfo &from, const VmInfo &to)> isLinkDown;
    bool isConfirmedByStore = true;

private:
    struct Message
    {
        Time at;
        std::string to;
        VmMessage message;
    };

    void add(const std::string &dataCentre, size_t index)
    {
        // In a fleet of five data centres, index / 5 is the index of the VM within its data centre.
        const uint32_t milliCores = (index / 5) % 3 == 0 ? largeMilliCores : smallMilliCores;
        Vm vm;
        vm.info = {fmt::format("vm{}", index), dataCentre, addressOf(index),
                   static_cast<uint64_t>(now.time_since_epoch().count()), milliCores};
        vm.table = std::make_unique<VmTable>(VmTableOptions {}, vm.info);
        vm.plan = std::make_unique<ContactPlan>(ContactOptions {}, HolderOptions {}, *vm.table);
        vms.emplace(vm.info.address, std::move(vm));
    }

    VmReport reportOf(const Vm &vm)
    {
        VmReport report;
        report.vm = vm.info;
        report.isHolder = vm.state.isHolder;
        report.isHolderConfirmed = vm.state.isHolder && isConfirmedByStore;
        report.isDraining = vm.state.isDraining;
        report.knownServers = vm.state.knownServers;
        report.holders = vm.plan->holdersToReport(now);
        return report;
    }

    void send(const VmInfo &from, const std::string &to, VmMessage message)
    {
        const auto receiver = vms.find(to);
        if (receiver == vms.end() || (isLinkDown && isLinkDown(from, receiver->second.info)))
            return;
        inFlight_.push_back({now + linkDelay, to, std::move(message)});
    }

    void deliver()
    {
        for (; !inFlight_.empty() && inFlight_.front().at <= now; inFlight_.pop_front()) {
            Vm &vm = vms.at(inFlight_.front().to);
            if (!vm.isUp)
                continue;
            ++vm.received;
            if (const auto *report = std::get_if<VmReport>(&inFlight_.front().message))
                onReport(vm, *report);
            else
                vm.plan->addVms(std::get<IntroductionMessage>(inFlight_.front().message).vms);
        }
    }

    void onReport(Vm &vm, const VmReport &report)
    {
        const VmTable::Row *known = vm.table->find(report.vm.name);
        const bool isNewFollower = report.isFollowing && !(known && known->report.isFollowing);
        if (vm.table->addReport(report, now) == VmTable::ReportResult::New)
            vm.plan->addVms({report.vm});
        if (!isNewFollower)
            return;
        vm.plan->scheduleReport(report.vm.name);
        send(vm.info, report.vm.address, IntroductionMessage {vm.plan->introductionFor(report.vm)});
    }

    void tick(Vm &vm)
    {
        for (const std::string &name : vm.table->removeSilent(now).lost)
            vm.lost.push_back(name);
        if (now > started_ + HolderOptions {}.settleTime
            && vm.plan->shouldHoldShards(vm.state, now)) {
            vm.state.isHolder = true;
            vm.state.knownServers = servers_;
        }
        const auto targets = vm.plan->dueReports([&] { return vm.state; }, now);
        if (targets.empty())
            return;
        VmReport report = reportOf(vm);
        for (const ReportTarget &target : targets) {
            report.isFollowing = target.isFollowing;
            report.isReceiverFollower = target.isFollower;
            report.nextReportWithin = target.nextReportWithin;
            ++vm.sent;
            vm.bytesSent += encodeMessage(report).size();
            send(vm.info, target.address, report);
        }
    }

    uint32_t servers_;
    Time started_ = now;
    std::deque<Message> inFlight_;
};

constexpr uint32_t serversEach = 108; // needs four large holders, or ten small ones

bool isReachableFrom(const Vm &vm, const std::string &name, Time now)
{
    const VmTable::Row *row = vm.table->find(name);
    return row && vm.table->isReachable(*row, now);
}

} // namespace

// Guards against control traffic per VM that grows with the fleet or exceeds the budget of a VM.
BOOST_AUTO_TEST_CASE(traffic_of_a_vm_does_not_grow_with_the_fleet)
{
    constexpr double bytesPerSecond = 15'000;
    Fleet fleet200(5, 40, 2 * serversEach);
    fleet200.run(seconds(4));
    const Traffic traffic200 = fleet200.traffic(seconds(2));
    Fleet fleet400(5, 80, 4 * serversEach);
    fleet400.run(seconds(4));
    const Traffic traffic400 = fleet400.traffic(seconds(2));
    BOOST_TEST_MESSAGE(
            fmt::format("200 VMs: {}; 400 VMs: {}", toString(traffic200), toString(traffic400)));
    BOOST_TEST(traffic200.meanBytesSent < bytesPerSecond);
    BOOST_TEST(traffic400.meanBytesSent < bytesPerSecond);
    BOOST_TEST(traffic400.maxMessages < 1.2 * traffic200.maxMessages);
}

// Guards against too many holders, which would divide the capacity into small pools, and
// against small VMs that hold shards while larger ones are available.
BOOST_AUTO_TEST_CASE(the_largest_vms_hold_shards)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    for (const char *dataCentre : {"dc0", "dc1", "dc2", "dc3", "dc4"}) {
        const auto holders = fleet.holdersOf(dataCentre);
        BOOST_TEST(holders.size() == 4U);
        for (const Vm *holder : holders)
            BOOST_TEST(holder->info.cpuMilliCores == largeMilliCores);
    }
}

// Guards against VMs that cannot offer jobs to a data centre, because they do not receive the
// reports of every holder of their own data centre and of at least two in each other one.
BOOST_AUTO_TEST_CASE(every_vm_receives_reports_from_every_data_centre)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    for (const char *dataCentre : {"dc0", "dc1", "dc2", "dc3", "dc4"}) {
        const auto holders = fleet.holdersOf(dataCentre);
        for (const auto &entry : fleet.vms) {
            const Vm &vm = entry.second;
            const auto reachable =
                    std::count_if(holders.begin(), holders.end(), [&](const Vm *other) {
                        return other == &vm || isReachableFrom(vm, other->info.name, fleet.now);
                    });
            BOOST_TEST(reachable >= (vm.info.dataCentre == dataCentre ? 4 : 2));
        }
    }
}

// Guards against offers to a failed holder and against servers that remain without a holder. The
// VMs of its data centre must detect the failure within 500 ms, and another VM must become a holder
// within another 500 ms.
BOOST_AUTO_TEST_CASE(a_failed_holder_is_detected_and_replaced)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    Vm &failed = *fleet.holdersOf("dc1").front();
    failed.isUp = false;
    fleet.run(milliseconds(500));
    for (const auto &[address, vm] : fleet.vms) {
        if (vm.info.dataCentre == "dc1" && vm.isUp)
            BOOST_TEST(!isReachableFrom(vm, failed.info.name, fleet.now));
    }
    fleet.run(milliseconds(500));
    BOOST_TEST(fleet.holdersOf("dc1").size() == 4U);
}

// Guards against servers without a holder after a drain. A draining holder must not count as a
// holder although other VMs still list it, so that its successor joins immediately.
BOOST_AUTO_TEST_CASE(a_draining_holder_is_replaced_immediately)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    Vm &draining = *fleet.holdersOf("dc1").front();
    draining.state.isDraining = true;
    fleet.run(milliseconds(600));
    // The draining holder leaves only when it is idle, so it is still counted here.
    BOOST_TEST(fleet.holdersOf("dc1").size() == 5U);
}

// Guards against a data centre without holders after all of its large VMs have failed at the same
// time.
BOOST_AUTO_TEST_CASE(small_vms_hold_shards_when_the_large_ones_fail)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    for (auto &[address, vm] : fleet.vms)
        vm.isUp = vm.info.dataCentre != "dc2" || vm.info.cpuMilliCores == smallMilliCores;
    fleet.run(seconds(3));
    BOOST_TEST(fleet.holdersOf("dc2").size() >= 10U);
}

// Guards against abandoning work because a VM is no longer followed. Missing reports mean that a VM
// is lost only if it is expected to report.
BOOST_AUTO_TEST_CASE(no_vm_is_lost_in_a_fleet_without_failures)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    Vm &vm = fleet.vms.begin()->second;
    for (const auto &[address, other] : fleet.vms)
        vm.state.offeredVms.insert(other.info.name);
    fleet.run(seconds(1));
    vm.state.offeredVms.clear();
    fleet.run(seconds(4));
    for (const auto &[address, other] : fleet.vms)
        BOOST_TEST(other.lost.empty(), other.info.name + " declared a live VM lost");
}

// Guards against a data centre without a holder, and against more holders than its servers need.
BOOST_AUTO_TEST_CASE(holders_are_the_largest_vms_until_there_are_enough)
{
    Time now = fromUnixMillis(1'700'000'000'000);
    const VmInfo self {"vm2", "dc1", "10.0.0.1:7002", 1, 250};
    const auto higherRanked = [](uint32_t servers, bool isHolder, bool isDraining = false) {
        VmReport report;
        report.vm = {"vm1", "dc1", "10.0.0.1:7001", 1, 250};
        report.isHolder = isHolder;
        report.isDraining = isDraining;
        report.knownServers = servers;
        return report;
    };
    VmTable table {{}, self};
    ContactPlan plan {{}, {}, table};
    BOOST_TEST(plan.shouldHoldShards({}, now));
    plan.addVms({higherRanked(0, false).vm});
    // The other VM ranks higher and may be running, although it has not reported yet.
    BOOST_TEST(!plan.shouldHoldShards({}, now));
    table.addReport(higherRanked(0, true), now);
    BOOST_TEST(!plan.shouldHoldShards({}, now));
    table.addReport(higherRanked(100, true), now);
    BOOST_TEST(plan.shouldHoldShards({}, now));
    ContactState draining;
    draining.isDraining = true;
    BOOST_TEST(!plan.shouldHoldShards(draining, now));
    // This VM replaces a holder that drains or fails.
    table.addReport(higherRanked(10, true), now);
    BOOST_TEST(!plan.shouldHoldShards({}, now));
    table.addReport(higherRanked(10, true, true), now);
    BOOST_TEST(plan.shouldHoldShards({}, now));
    table.addReport(higherRanked(10, true), now);
    plan.dueReports([] { return ContactState {}; }, now);
    now += milliseconds(500);
    plan.dueReports([] { return ContactState {}; }, now);
    BOOST_TEST(plan.shouldHoldShards({}, now));
}

// Guards against a large VM that does not take part again after its return, against small VMs that
// keep shards then or give them up before the store has confirmed the large ones, and against
// holders that change repeatedly.
BOOST_AUTO_TEST_CASE(small_holders_are_surplus_once_the_large_ones_are_confirmed)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    const auto setLarge = [&](bool isUp) {
        for (auto &[address, vm] : fleet.vms) {
            if (vm.info.dataCentre == "dc2" && vm.info.cpuMilliCores == largeMilliCores) {
                vm.isUp = isUp;
                vm.state.isHolder = false;
            }
        }
    };
    setLarge(false);
    fleet.run(seconds(3));
    const auto small = fleet.holdersOf("dc2");
    setLarge(true);
    fleet.isConfirmedByStore = false;
    fleet.run(seconds(3));
    BOOST_TEST(fleet.holdersOf("dc2").size() == small.size() + 4);
    const auto areSurplus = [&] {
        return std::count_if(small.begin(), small.end(), [&](const Vm *vm) {
            return vm->plan->isSurplusHolder(vm->state, fleet.now);
        });
    };
    BOOST_TEST(areSurplus() == 0);
    fleet.isConfirmedByStore = true;
    fleet.run(seconds(1));
    BOOST_TEST(areSurplus() == static_cast<long>(small.size()));
    for (Vm *vm : small)
        vm->state.isHolder = false;
    fleet.run(seconds(3));
    const auto holders = fleet.holdersOf("dc2");
    BOOST_TEST(holders.size() == 4U);
    for (const Vm *vm : holders) {
        BOOST_TEST(vm->info.cpuMilliCores == largeMilliCores);
        BOOST_TEST(!vm->plan->isSurplusHolder(vm->state, fleet.now));
    }
}

// Guards against holders of equal size that give up their shards in favour of each other, and
// against holders that join and leave as the number of servers varies.
BOOST_AUTO_TEST_CASE(holder_is_surplus_only_with_larger_holders_and_a_margin)
{
    const Time now = fromUnixMillis(1'700'000'000'000);
    const auto isSurplus = [&](uint32_t otherMilliCores, uint32_t servers,
                               bool isConfirmed = true) {
        VmTable table {{}, {"vm1", "dc1", "10.0.0.1:7001", 1, 300}};
        ContactPlan plan {{}, {}, table};
        VmReport report;
        report.vm = {"vm0", "dc1", "10.0.0.1:7000", 1, otherMilliCores};
        report.isHolder = true;
        report.isHolderConfirmed = isConfirmed;
        report.knownServers = servers;
        plan.addVms({report.vm});
        table.addReport(report, now);
        ContactState state;
        state.isHolder = true;
        return plan.isSurplusHolder(state, now);
    };
    BOOST_TEST(!isSurplus(300, 10));
    BOOST_TEST(isSurplus(500, 10));
    BOOST_TEST(!isSurplus(500, 10, false));
    BOOST_TEST(isSurplus(500, 60));
    BOOST_TEST(!isSurplus(500, 61)); // sufficient, but without the margin
    BOOST_TEST(!isSurplus(500, 65));
}

// Guards against VMs that start while the store is unavailable and do not find the pools. Seed
// addresses and introductions must be sufficient.
BOOST_AUTO_TEST_CASE(pools_are_discovered_through_seeds)
{
    Fleet fleet(3, 20, serversEach, false);
    fleet.run(seconds(6));
    for (const char *dataCentre : {"dc0", "dc1", "dc2"}) {
        const auto holders = fleet.holdersOf(dataCentre);
        BOOST_TEST(holders.size() >= 4U);
        for (const auto &entry : fleet.vms) {
            const Vm &vm = entry.second;
            BOOST_TEST(std::any_of(holders.begin(), holders.end(), [&](const Vm *other) {
                return other == &vm || isReachableFrom(vm, other->info.name, fleet.now);
            }));
        }
    }
}

// Guards against data centres that do not reconnect after a network partition.
BOOST_AUTO_TEST_CASE(data_centres_reconnect_after_a_network_partition)
{
    Fleet fleet(5, 20, serversEach);
    fleet.run(seconds(4));
    fleet.isLinkDown = [](const VmInfo &from, const VmInfo &to) {
        return (from.dataCentre == "dc3") != (to.dataCentre == "dc3");
    };
    fleet.run(seconds(10));
    fleet.isLinkDown = nullptr;
    fleet.run(seconds(1));
    const auto holders = fleet.holdersOf("dc3");
    for (const auto &entry : fleet.vms) {
        const Vm &vm = entry.second;
        BOOST_TEST(std::any_of(holders.begin(), holders.end(), [&](const Vm *other) {
            return other == &vm || isReachableFrom(vm, other->info.name, fleet.now);
        }));
    }
}
