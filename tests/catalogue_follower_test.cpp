#define BOOST_TEST_MODULE catalogue_follower
#include "catalogue_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

uint64_t appendChange(CatalogueSimulation &simulation, const std::string &id)
{
    return simulation.log.append(serializeLogRecord(sampleChange("entry-" + id, "request-" + id)));
}

void appendChanges(CatalogueSimulation &simulation, const std::string &prefix, size_t count)
{
    for (size_t i = 0; i < count; ++i)
        appendChange(simulation, prefix + std::to_string(i));
}

void startWithChanges(CatalogueSimulation &simulation, size_t count)
{
    appendChanges(simulation, "first-", count);
    simulation.startAll();
    BOOST_REQUIRE(simulation.runUntil(seconds(2), [&] { return simulation.allInForce(count); }));
}

bool allFollowersIn(const CatalogueSimulation &simulation, FollowerState state)
{
    return std::ranges::all_of(simulation.vms,
                               [&](const FakeVm &vm) { return vm.follower->state() == state; });
}

} // namespace

// Guards against changes that reach only the relay, or that reach the other VMs only after a poll
// interval.
BOOST_AUTO_TEST_CASE(relayForwardsAChangeAtOnce)
{
    CatalogueSimulation simulation(1, 3, 3);
    startWithChanges(simulation, 5);
    const uint64_t offset = appendChange(simulation, "new");
    const auto taken =
            simulation.runUntil(seconds(5), [&] { return simulation.allInForce(offset); });
    BOOST_REQUIRE(taken);
    // This is less than the heartbeat interval, after which peers would learn of the change if the
    // relay did not forward it.
    BOOST_TEST(taken->count() < Duration(milliseconds(200)).count());
}

// Guards against a new deployment that cannot start because its log is empty.
BOOST_AUTO_TEST_CASE(emptyLogIsACompleteCatalogue)
{
    CatalogueSimulation simulation(2, 2, 2);
    startWithChanges(simulation, 0);
    const uint64_t offset = appendChange(simulation, "new");
    BOOST_TEST(simulation.runUntil(seconds(3), [&] { return simulation.allInForce(offset); })
                       .has_value());
}

// Guards against a log outage of minutes that reverts the catalogue, keeps a VM from starting
// although a peer is up, or delays changes after the log is back.
BOOST_AUTO_TEST_CASE(logOutageOfMinutes)
{
    CatalogueSimulation simulation(3, 2, 3);
    startWithChanges(simulation, 40);
    simulation.log.isUp = false;
    simulation.run(seconds(200));
    BOOST_TEST(allFollowersIn(simulation, FollowerState::FollowingPeers));
    simulation.start(4);
    BOOST_REQUIRE(simulation.runUntil(seconds(2), [&] { return simulation.allInForce(40); }));
    simulation.log.isUp = true;
    const uint64_t offset = appendChange(simulation, "new");
    BOOST_TEST(simulation.runUntil(seconds(5), [&] { return simulation.allInForce(offset); })
                       .has_value());
    simulation.run(seconds(6));
    BOOST_TEST(allFollowersIn(simulation, FollowerState::FollowingLog));
}

// Guards against a LogBehind alarm for a log that answers slowly but lost nothing.
BOOST_AUTO_TEST_CASE(slowLogRaisesNoAlarm)
{
    CatalogueSimulation simulation(4, 1, 3);
    startWithChanges(simulation, 10);
    simulation.log.delay = milliseconds(1500);
    for (int i = 0; i < 20; ++i) {
        appendChange(simulation, "slow-" + std::to_string(i));
        simulation.run(seconds(5));
        BOOST_TEST(simulation.allInForce(simulation.log.next() - 1));
    }
    for (const FakeVm &vm : simulation.vms)
        BOOST_TEST(!vm.wasLogBehind);
}

// Guards against a VM that starts with neither log nor peers and publishes an empty catalogue, or
// that does not recover when the log is back.
BOOST_AUTO_TEST_CASE(startWithLogDownAndNoPeers)
{
    CatalogueSimulation simulation(5, 1, 2);
    appendChanges(simulation, "first-", 3);
    simulation.log.isUp = false;
    simulation.startAll();
    simulation.run(seconds(30));
    BOOST_TEST(allFollowersIn(simulation, FollowerState::Empty));
    BOOST_TEST(!simulation.vms[0].inForce.has_value());
    simulation.log.isUp = true;
    BOOST_TEST(
            simulation.runUntil(seconds(4), [&] { return simulation.allInForce(3); }).has_value());
}

// Guards against a log that comes back without its newest records: applying the shorter history
// would revert changes.
BOOST_AUTO_TEST_CASE(shortenedLogRevertsNothing)
{
    CatalogueSimulation simulation(6, 1, 3);
    startWithChanges(simulation, 20);
    simulation.log.records.resize(12);
    simulation.run(seconds(13));
    BOOST_TEST(allFollowersIn(simulation, FollowerState::LogBehind));
    for (const FakeVm &vm : simulation.vms)
        BOOST_TEST(vm.inForce->offset() == 20U);
}

// Guards against a log that is replaced by a longer one without a failed request in between: its
// records must not be applied to the old history.
BOOST_AUTO_TEST_CASE(replacedLogIsNotApplied)
{
    CatalogueSimulation simulation(7, 1, 3);
    startWithChanges(simulation, 20);
    const std::vector<LogRecord> old = simulation.log.records;
    for (size_t i = 0; i < 20; ++i)
        simulation.log.records[i].data =
                serializeLogRecord(sampleChange("other-" + std::to_string(i), std::to_string(i)));
    simulation.log.records.push_back({21, serializeLogRecord(sampleChange("other", "other"))});
    simulation.run(seconds(15));
    BOOST_TEST(allFollowersIn(simulation, FollowerState::LogBehind));
    for (const FakeVm &vm : simulation.vms)
        BOOST_TEST((*vm.inForce == simulation.expectedAt(20)));
    // The alarm ends when the records are back.
    simulation.log.records = old;
    const uint64_t offset = appendChange(simulation, "new");
    BOOST_TEST(simulation.runUntil(seconds(5), [&] { return simulation.allInForce(offset); })
                       .has_value());
    BOOST_TEST(allFollowersIn(simulation, FollowerState::FollowingLog));
}

// Guards against a deployment that loses its catalogue because its VMs restart one by one after the
// log was emptied.
BOOST_AUTO_TEST_CASE(restartsWithEmptiedLogKeepTheCatalogue)
{
    CatalogueSimulation simulation(8, 1, 3);
    startWithChanges(simulation, 20);
    simulation.log.records.clear();
    for (size_t i = 0; i < simulation.vms.size(); ++i) {
        simulation.stop(i);
        simulation.run(seconds(1));
        simulation.start(i);
        simulation.run(seconds(5));
    }
    for (const FakeVm &vm : simulation.vms)
        BOOST_TEST((*vm.inForce == simulation.expectedAt(20)));
}

// Guards against snapshots that are too rare for the retention time, that every relay writes at
// once, or from which VMs cannot start.
BOOST_AUTO_TEST_CASE(retentionDropsOldRecords)
{
    FollowerOptions options;
    options.logRetention = std::chrono::minutes(10);
    CatalogueSimulation simulation(9, 3, 2, options);
    startWithChanges(simulation, 30);
    std::map<uint64_t, Time> appendedAt;
    uint64_t snapshots = 0;
    for (int second = 0; second < 3600; ++second) {
        if (second % 60 == 0)
            appendChange(simulation, std::to_string(second));
        simulation.run(seconds(1));
        for (const LogRecord &record : simulation.log.records) {
            if (appendedAt.emplace(record.offset, simulation.now).second)
                snapshots += record.data.find("\"kind\":\"snapshot\"") != std::string::npos;
        }
        while (simulation.now - appendedAt.at(simulation.log.first) > options.logRetention)
            simulation.log.dropBefore(simulation.log.first + 1);
    }
    BOOST_TEST(snapshots >= 11U);
    BOOST_TEST(snapshots <= 20U);
    BOOST_TEST(simulation.log.first > 30U);
    const uint64_t end = simulation.log.next() - 1;
    for (size_t i = 0; i < simulation.vms.size(); ++i)
        simulation.stop(i);
    simulation.run(seconds(4));
    simulation.startAll();
    BOOST_TEST(simulation.runUntil(seconds(2), [&] { return simulation.allInForce(end); })
                       .has_value());
}

// Guards against a VM that does not catch up after a network partition in which retention dropped
// the records it missed.
BOOST_AUTO_TEST_CASE(partitionedVmCatchesUpBySnapshot)
{
    FollowerOptions options;
    options.historyRecords = 10;
    CatalogueSimulation simulation(10, 2, 2, options);
    startWithChanges(simulation, 5);
    simulation.isPartitioned[0][1] = simulation.isPartitioned[1][0] = true;
    simulation.vms[2].reachesLog = simulation.vms[3].reachesLog = false;
    appendChanges(simulation, "missed-", 50);
    const Catalogue state = simulation.expectedAt(55);
    simulation.log.append(serializeLogRecord(snapshotOf(state, simulation.now)));
    simulation.log.dropBefore(56);
    simulation.run(seconds(30));
    BOOST_TEST(simulation.vms[2].inForce->offset() < 56U);
    simulation.vms[2].reachesLog = simulation.vms[3].reachesLog = true;
    BOOST_TEST(
            simulation.runUntil(seconds(5), [&] { return simulation.allInForce(56); }).has_value());
    BOOST_TEST(!simulation.vms[2].wasLogBehind);
}

// Guards against a data centre without a log that gets no changes although it reaches another data
// centre that follows the log, and against one that does not catch up after a network partition.
BOOST_AUTO_TEST_CASE(dataCentreRejoinsAfterPartition)
{
    CatalogueSimulation simulation(11, 3, 2);
    startWithChanges(simulation, 5);
    simulation.vms[4].reachesLog = simulation.vms[5].reachesLog = false;
    const uint64_t viaPeers = appendChange(simulation, "via-peers");
    BOOST_TEST(simulation.runUntil(seconds(5), [&] { return simulation.allInForce(viaPeers); })
                       .has_value());
    for (size_t other = 0; other < 2; ++other)
        simulation.isPartitioned[2][other] = simulation.isPartitioned[other][2] = true;
    appendChanges(simulation, "missed-", 30);
    simulation.run(seconds(60));
    BOOST_TEST(simulation.vms[4].inForce->offset() == viaPeers);
    for (size_t other = 0; other < 2; ++other)
        simulation.isPartitioned[2][other] = simulation.isPartitioned[other][2] = false;
    const uint64_t end = simulation.log.next() - 1;
    BOOST_TEST(simulation.runUntil(seconds(5), [&] { return simulation.allInForce(end); })
                       .has_value());
}

// Guards against repeated and reordered records from peers that are applied twice or out of order.
BOOST_AUTO_TEST_CASE(repeatedAndReorderedPeerRecords)
{
    CatalogueSimulation simulation(12, 1, 1);
    startWithChanges(simulation, 4);
    appendChanges(simulation, "peer-", 6);
    CatalogueRecords message {4, recordDigest(simulation.log.records[3].data), {}};
    message.records = {simulation.log.records[4], simulation.log.records[6]};
    simulation.feed(0, FollowerEvent(PeerMessage {"peer", message}));
    BOOST_TEST(simulation.vms[0].inForce->offset() == 5U);
    message.records.assign(simulation.log.records.begin() + 4, simulation.log.records.end());
    std::ranges::reverse(message.records);
    message.records.push_back(message.records.front());
    for (int i = 0; i < 3; ++i)
        simulation.feed(0, FollowerEvent(PeerMessage {"peer", message}));
    BOOST_TEST((*simulation.vms[0].inForce == simulation.expectedAt(10)));
    message.after = 8;
    message.records.resize(1);
    simulation.feed(0, FollowerEvent(PeerMessage {"peer", message}));
    BOOST_TEST(simulation.vms[0].divergences == 1U);
    BOOST_TEST(simulation.vms[0].inForce->offset() == 10U);
}

// Guards against a log that is overloaded when all 72 VMs of a deployment restart at the same time.
BOOST_AUTO_TEST_CASE(simultaneousRestartDoesNotOverloadTheLog)
{
    CatalogueSimulation simulation(13, 9, 8);
    constexpr uint64_t records = 1200;
    appendChanges(simulation, "first-", records);
    simulation.checksCatalogues = false;
    simulation.startAll();
    uint64_t before = 0;
    uint64_t busiest = 0;
    const auto taken = simulation.runUntil(seconds(2), [&] {
        if ((simulation.now.time_since_epoch() % milliseconds(100)).count() == 0) {
            busiest = std::max(busiest, simulation.log.reads - before);
            before = simulation.log.reads;
        }
        return simulation.allInForce(records);
    });
    BOOST_REQUIRE(taken);
    // Only the relay of each of the nine data centres reads the three pages of the log. Without
    // relays all 72 VMs would read them.
    BOOST_TEST(simulation.log.recordsRead <= 12 * records);
    BOOST_TEST(busiest <= 40U);
}

// Guards against a data centre that loses its catalogue because all its VMs are replaced one after
// another while the log is down.
BOOST_AUTO_TEST_CASE(everyVmReplacedOneByOne)
{
    CatalogueSimulation simulation(14, 2, 3);
    startWithChanges(simulation, 10);
    simulation.log.isUp = false;
    for (size_t i = 0; i < 3; ++i) {
        simulation.stop(i);
        simulation.run(seconds(4));
        simulation.start(i);
        simulation.run(seconds(3));
    }
    BOOST_TEST(simulation.allInForce(10));
}
