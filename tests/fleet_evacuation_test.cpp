// Evacuates data centres of fleets of entry VMs in virtual time.
#define BOOST_TEST_MODULE fleet_evacuation
#include "fleet_scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::test;

namespace {

// Time after which a VM that the state reaches in any way starts nothing in the data centre: a
// second until it asks its peers, a report interval, and the grace of started jobs.
constexpr Duration reactionTime = milliseconds(2600);

struct EvacuationFixture
{
    FleetWorld world {FleetOptions {2, 3, 4, 4000, 1, seconds(5)}};
    size_t holder = world.holderOf(0);
    size_t nextJob = 0;

    // Runs the fleet under load of jobs that each VM gets in turn.
    void runUnderLoad(Duration time)
    {
        for (Duration passed {}; passed < time; passed += milliseconds(20)) {
            FleetJob job = makeJob(fmt::format("load{}", nextJob), milliseconds(150), seconds(2));
            job.vms = {nextJob++ % world.vmCount()};
            world.callers.submit(job);
            world.time.runFor(milliseconds(20));
        }
    }
    void evacuate() { world.operators.evacuate("dc0", world.time.now()); }
    size_t startsDuring(Duration time)
    {
        const size_t before = world.startsInEvacuated;
        runUnderLoad(time);
        return world.startsInEvacuated - before;
    }
    // Checks that all jobs end, and that the other data centre serves nearly all of them.
    void checkOutcome(double minCompleted)
    {
        world.time.runFor(seconds(12));
        checkRules(world);
        BOOST_TEST(world.callers.endedCount() == world.callers.jobCount());
        BOOST_TEST(double(world.callers.completedCount())
                   >= minCompleted * double(world.callers.jobCount()));
    }
    void cutAllFromStore(bool isCut)
    {
        for (size_t vm = 0; vm < world.vmCount(); ++vm)
            world.vm(vm).setStoreCut(isCut);
    }
};

} // namespace

// Guards against starts in an evacuated data centre and against jobs that are refused although the
// other data centre has capacity.
BOOST_FIXTURE_TEST_CASE(jobs_are_served_elsewhere, EvacuationFixture)
{
    runUnderLoad(seconds(1));
    evacuate();
    runUnderLoad(reactionTime);
    BOOST_TEST(startsDuring(seconds(6)) == 0U);
    checkOutcome(0.99);
}

// Guards against a holder that is disconnected from the store and does not learn of the request.
BOOST_FIXTURE_TEST_CASE(holder_without_the_store_learns_from_its_peers, EvacuationFixture)
{
    world.vm(holder).setStoreCut(true);
    runUnderLoad(seconds(1));
    evacuate();
    runUnderLoad(reactionTime);
    BOOST_TEST(startsDuring(seconds(4)) == 0U);
    checkOutcome(0.99);
}

// Guards against VMs that stop serving because they cannot learn of a request at all.
BOOST_FIXTURE_TEST_CASE(fleet_without_the_store_goes_on, EvacuationFixture)
{
    runUnderLoad(seconds(1));
    cutAllFromStore(true);
    evacuate();
    runUnderLoad(reactionTime);
    BOOST_TEST(startsDuring(seconds(2)) > 0U);
    cutAllFromStore(false);
    runUnderLoad(reactionTime);
    BOOST_TEST(startsDuring(seconds(2)) == 0U);
    checkOutcome(0.99);
}

// Guards against a VM that has restarted and starts tasks before it knows of the evacuation. The
// store does not answer it, so it learns of the evacuation from its peers.
BOOST_FIXTURE_TEST_CASE(restarted_holder_starts_nothing, EvacuationFixture)
{
    evacuate();
    runUnderLoad(reactionTime);
    world.vm(holder).setStoreCut(true);
    world.kill(holder);
    world.time.runFor(milliseconds(200));
    world.restart(holder);
    BOOST_TEST(startsDuring(seconds(4)) == 0U);
    checkOutcome(0.95);
}

// Guards against an evacuation that ends when the store fails.
BOOST_FIXTURE_TEST_CASE(state_outlasts_an_outage_of_the_store, EvacuationFixture)
{
    evacuate();
    runUnderLoad(reactionTime);
    world.isStoreDown = true;
    BOOST_TEST(startsDuring(seconds(5)) == 0U);
    world.isStoreDown = false;
    BOOST_TEST(startsDuring(seconds(2)) == 0U);
    checkOutcome(0.99);
}

// Guards against a new holder that does not know of the evacuation.
BOOST_FIXTURE_TEST_CASE(next_holder_starts_nothing, EvacuationFixture)
{
    evacuate();
    runUnderLoad(reactionTime);
    world.kill(holder, true);
    BOOST_TEST(startsDuring(seconds(5)) == 0U);
    BOOST_TEST(world.holderOf(0) != holder);
    checkOutcome(0.95);
}

// Guards against an older state that is obeyed after a partition in which the request was withdrawn
// and repeated, or withdrawn once more.
BOOST_FIXTURE_TEST_CASE(latest_state_wins_after_a_partition, EvacuationFixture)
{
    for (const bool isRepeated : {true, false}) {
        evacuate();
        runUnderLoad(reactionTime);
        for (size_t vm = 0; vm < world.vmCount(); ++vm) {
            const bool isInside = world.vm(vm).dataCentre() == "dc0";
            world.vm(vm).setStoreCut(isInside);
            for (size_t other = 0; isInside && other < world.vmCount(); ++other) {
                if (world.vm(other).dataCentre() != "dc0")
                    world.cutBothWays(vm, other, {}, seconds(4));
            }
        }
        for (int i = 0; i < 2; ++i) {
            world.operators.withdraw("dc0");
            runUnderLoad(milliseconds(500));
            evacuate();
            runUnderLoad(milliseconds(500));
        }
        if (!isRepeated)
            world.operators.withdraw("dc0");
        runUnderLoad(seconds(3));
        // The partition has healed, but the VMs inside still have no store.
        runUnderLoad(reactionTime);
        if (isRepeated) {
            BOOST_TEST(startsDuring(seconds(2)) == 0U);
        } else {
            size_t startsInside = 0;
            world.callers.submit(makeJob("inside", milliseconds(300), seconds(2), {holder}));
            world.time.runFor(milliseconds(100));
            startsInside += world.servers.vmRunning("inside") == world.vm(holder).name() ? 1 : 0;
            BOOST_TEST(startsInside == 1U);
        }
        cutAllFromStore(false);
        runUnderLoad(seconds(1));
    }
    // The VMs inside refuse what they get during the cut.
    checkOutcome(0.75);
}

// Evacuations and all faults together.
BOOST_AUTO_TEST_CASE(random_evacuations_in_a_fleet)
{
    FleetOptions options {3, 3};
    options.evacuationLimit = seconds(5);
    runRandomFaults(options, {seconds(25), milliseconds(600), milliseconds(40)});
}
