#define BOOST_TEST_MODULE catalogue_follower
#include "catalogue_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

uint64_t appendChange(World &world, const std::string &id)
{
    return world.log.append(serializeLogRecord(sampleChange("entry-" + id, "request-" + id)));
}

void appendChanges(World &world, const std::string &prefix, size_t count)
{
    for (size_t i = 0; i < count; ++i)
        appendChange(world, prefix + std::to_string(i));
}

void startWithChanges(World &world, size_t count)
{
    appendChanges(world, "first-", count);
    world.startAll();
    BOOST_REQUIRE(world.runUntil(seconds(2), [&] { return world.allInForce(count); }));
}

bool isEvery(const World &world, FollowerState state)
{
    return std::ranges::all_of(world.vms,
                               [&](const FakeVm &vm) { return vm.follower->state() == state; });
}

} // namespace

// Guards against changes that reach only the relay, or all VMs only after a poll interval.
BOOST_AUTO_TEST_CASE(relayForwardsAChangeAtOnce)
{
    World world(1, 3, 3);
    startWithChanges(world, 5);
    const uint64_t offset = appendChange(world, "new");
    const auto taken = world.runUntil(seconds(5), [&] { return world.allInForce(offset); });
    BOOST_REQUIRE(taken);
    // Less than the heartbeat interval, by which peers would notice without the relay.
    BOOST_TEST(taken->count() < Duration(milliseconds(200)).count());
}

// Guards against a deployment that cannot begin with an empty log.
BOOST_AUTO_TEST_CASE(emptyLogIsACompleteCatalogue)
{
    World world(2, 2, 2);
    startWithChanges(world, 0);
    const uint64_t offset = appendChange(world, "new");
    BOOST_TEST(world.runUntil(seconds(3), [&] { return world.allInForce(offset); }).has_value());
}

// Guards against a log outage of minutes that reverts the catalogue, blocks a VM that starts while
// a peer is up, or delays changes after the log is back.
BOOST_AUTO_TEST_CASE(logAbsentForMinutes)
{
    World world(3, 2, 3);
    startWithChanges(world, 40);
    world.log.isUp = false;
    world.run(seconds(200));
    BOOST_TEST(isEvery(world, FollowerState::FollowingPeers));
    world.start(4);
    BOOST_REQUIRE(world.runUntil(seconds(2), [&] { return world.allInForce(40); }));
    world.log.isUp = true;
    const uint64_t offset = appendChange(world, "new");
    BOOST_TEST(world.runUntil(seconds(5), [&] { return world.allInForce(offset); }).has_value());
    world.run(seconds(6));
    BOOST_TEST(isEvery(world, FollowerState::FollowingLog));
}

// Guards against a log that is slow, but answers, being taken for a log that is behind.
BOOST_AUTO_TEST_CASE(slowLogRaisesNoAlarm)
{
    World world(4, 1, 3);
    startWithChanges(world, 10);
    world.log.delay = milliseconds(1500);
    for (int i = 0; i < 20; ++i) {
        appendChange(world, "slow-" + std::to_string(i));
        world.run(seconds(5));
        BOOST_TEST(world.allInForce(world.log.next() - 1));
    }
    for (const FakeVm &vm : world.vms)
        BOOST_TEST(!vm.wasBehind);
}

// Guards against a start with neither log nor peers that pretends to have a catalogue, and against
// one that does not recover when the log is back.
BOOST_AUTO_TEST_CASE(startWithLogDownAndNoPeers)
{
    World world(5, 1, 2);
    appendChanges(world, "first-", 3);
    world.log.isUp = false;
    world.startAll();
    world.run(seconds(30));
    BOOST_TEST(isEvery(world, FollowerState::Empty));
    BOOST_TEST(!world.vms[0].inForce.has_value());
    world.log.isUp = true;
    BOOST_TEST(world.runUntil(seconds(4), [&] { return world.allInForce(3); }).has_value());
}

// Guards against a log that lost records: applying its shorter history would revert changes.
BOOST_AUTO_TEST_CASE(logBackShorterRevertsNothing)
{
    World world(6, 1, 3);
    startWithChanges(world, 20);
    world.log.records.resize(12);
    world.run(seconds(13));
    BOOST_TEST(isEvery(world, FollowerState::LogBehind));
    for (const FakeVm &vm : world.vms)
        BOOST_TEST(vm.inForce->offset() == 20U);
}

// Guards against a log that was replaced, without any failed request, by one that is longer: its
// records must not be applied on top of the old history.
BOOST_AUTO_TEST_CASE(logBackWithDifferentContentIsNotApplied)
{
    World world(7, 1, 3);
    startWithChanges(world, 20);
    const std::vector<LogRecord> old = world.log.records;
    for (size_t i = 0; i < 20; ++i)
        world.log.records[i].data =
                serializeLogRecord(sampleChange("other-" + std::to_string(i), std::to_string(i)));
    world.log.records.push_back({21, serializeLogRecord(sampleChange("other", "other"))});
    world.run(seconds(15));
    BOOST_TEST(isEvery(world, FollowerState::LogBehind));
    for (const FakeVm &vm : world.vms)
        BOOST_TEST((*vm.inForce == world.truthAt(20)));
    // The alarm ends when the records are back.
    world.log.records = old;
    const uint64_t offset = appendChange(world, "new");
    BOOST_TEST(world.runUntil(seconds(5), [&] { return world.allInForce(offset); }).has_value());
    BOOST_TEST(isEvery(world, FollowerState::FollowingLog));
}

// Guards against a deployment that loses its catalogue because its VMs restart one by one while the
// log is empty.
BOOST_AUTO_TEST_CASE(restartsOverAWipedLogKeepTheCatalogue)
{
    World world(8, 1, 3);
    startWithChanges(world, 20);
    world.log.records.clear();
    for (size_t i = 0; i < world.vms.size(); ++i) {
        world.stop(i);
        world.run(seconds(1));
        world.start(i);
        world.run(seconds(5));
    }
    for (const FakeVm &vm : world.vms)
        BOOST_TEST((*vm.inForce == world.truthAt(20)));
}

// Guards against snapshots that are too rare for retention, written by every relay at once, or not
// sufficient to start from.
BOOST_AUTO_TEST_CASE(retentionDropsOldRecords)
{
    FollowerOptions options;
    options.logRetention = std::chrono::minutes(10);
    World world(9, 3, 2, options);
    startWithChanges(world, 30);
    std::map<uint64_t, Time> appendedAt;
    uint64_t snapshots = 0;
    for (int second = 0; second < 3600; ++second) {
        if (second % 60 == 0)
            appendChange(world, std::to_string(second));
        world.run(seconds(1));
        for (const LogRecord &record : world.log.records) {
            if (appendedAt.emplace(record.offset, world.now).second)
                snapshots += record.data.find("\"kind\":\"snapshot\"") != std::string::npos;
        }
        while (world.now - appendedAt.at(world.log.first) > options.logRetention)
            world.log.dropBefore(world.log.first + 1);
    }
    BOOST_TEST(snapshots >= 11U);
    BOOST_TEST(snapshots <= 20U);
    BOOST_TEST(world.log.first > 30U);
    const uint64_t end = world.log.next() - 1;
    for (size_t i = 0; i < world.vms.size(); ++i)
        world.stop(i);
    world.run(seconds(4));
    world.startAll();
    BOOST_TEST(world.runUntil(seconds(2), [&] { return world.allInForce(end); }).has_value());
}

// Guards against a VM that was cut off while retention dropped the records it missed.
BOOST_AUTO_TEST_CASE(cutOffBeyondRetentionCatchesUpBySnapshot)
{
    FollowerOptions options;
    options.historyRecords = 10;
    World world(10, 2, 2, options);
    startWithChanges(world, 5);
    world.isCut[0][1] = world.isCut[1][0] = true;
    world.vms[2].reachesLog = world.vms[3].reachesLog = false;
    appendChanges(world, "missed-", 50);
    const Catalogue state = world.truthAt(55);
    world.log.append(serializeLogRecord(snapshotOf(state, world.now)));
    world.log.dropBefore(56);
    world.run(seconds(30));
    BOOST_TEST(world.vms[2].inForce->offset() < 56U);
    world.vms[2].reachesLog = world.vms[3].reachesLog = true;
    BOOST_TEST(world.runUntil(seconds(5), [&] { return world.allInForce(56); }).has_value());
    BOOST_TEST(!world.vms[2].wasBehind);
}

// Guards against a data centre that stays behind although it reaches another one that follows the
// log, and against one that does not catch up after it rejoins.
BOOST_AUTO_TEST_CASE(dataCentreCutOffThenRejoined)
{
    World world(11, 3, 2);
    startWithChanges(world, 5);
    world.vms[4].reachesLog = world.vms[5].reachesLog = false;
    const uint64_t viaPeers = appendChange(world, "via-peers");
    BOOST_TEST(world.runUntil(seconds(5), [&] { return world.allInForce(viaPeers); }).has_value());
    for (size_t other = 0; other < 2; ++other)
        world.isCut[2][other] = world.isCut[other][2] = true;
    appendChanges(world, "missed-", 30);
    world.run(seconds(60));
    BOOST_TEST(world.vms[4].inForce->offset() == viaPeers);
    for (size_t other = 0; other < 2; ++other)
        world.isCut[2][other] = world.isCut[other][2] = false;
    const uint64_t end = world.log.next() - 1;
    BOOST_TEST(world.runUntil(seconds(5), [&] { return world.allInForce(end); }).has_value());
}

// Guards against repeated and reordered records from peers that are applied twice or out of order.
BOOST_AUTO_TEST_CASE(repeatedAndReorderedPeerRecords)
{
    World world(12, 1, 1);
    startWithChanges(world, 4);
    appendChanges(world, "peer-", 6);
    CatalogueRecords message {4, recordDigest(world.log.records[3].data), {}};
    message.records = {world.log.records[4], world.log.records[6]};
    world.feed(0, FollowerEvent(PeerMessage {"peer", message}));
    BOOST_TEST(world.vms[0].inForce->offset() == 5U);
    message.records.assign(world.log.records.begin() + 4, world.log.records.end());
    std::ranges::reverse(message.records);
    message.records.push_back(message.records.front());
    for (int i = 0; i < 3; ++i)
        world.feed(0, FollowerEvent(PeerMessage {"peer", message}));
    BOOST_TEST((*world.vms[0].inForce == world.truthAt(10)));
    message.after = 8;
    message.records.resize(1);
    world.feed(0, FollowerEvent(PeerMessage {"peer", message}));
    BOOST_TEST(world.vms[0].divergences == 1U);
    BOOST_TEST(world.vms[0].inForce->offset() == 10U);
}

// Guards against a whole deployment of 72 VMs that restarts together and overloads the log.
BOOST_AUTO_TEST_CASE(restartTogetherMakesNoStampede)
{
    World world(13, 9, 8);
    constexpr uint64_t records = 1200;
    appendChanges(world, "first-", records);
    world.checksTruth = false;
    world.startAll();
    uint64_t before = 0;
    uint64_t busiest = 0;
    const auto taken = world.runUntil(seconds(2), [&] {
        if ((world.now.time_since_epoch() % milliseconds(100)).count() == 0) {
            busiest = std::max(busiest, world.log.reads - before);
            before = world.log.reads;
        }
        return world.allInForce(records);
    });
    BOOST_REQUIRE(taken);
    // One relay per data centre reads three pages; without the relay all 72 VMs would.
    BOOST_TEST(world.log.recordsRead <= 12 * records);
    BOOST_TEST(busiest <= 40U);
}

// Guards against a data centre that loses its catalogue because all its VMs are replaced in turn.
BOOST_AUTO_TEST_CASE(everyVmReplacedOneByOne)
{
    World world(14, 2, 3);
    startWithChanges(world, 10);
    world.log.isUp = false;
    for (size_t i = 0; i < 3; ++i) {
        world.stop(i);
        world.run(seconds(4));
        world.start(i);
        world.run(seconds(3));
    }
    BOOST_TEST(world.allInForce(10));
}
