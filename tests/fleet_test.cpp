// Runs whole fleets of entry VMs in virtual time and disturbs them.
#define BOOST_TEST_MODULE fleet
#include "fleet_scenarios.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a fleet that is disturbed by the emulator itself.
BOOST_AUTO_TEST_CASE(calm_fleet_completes_every_job)
{
    FleetWorld world;
    for (size_t i = 0; i < 40; ++i) {
        world.callers.submit(makeJob(fmt::format("job{}", i), milliseconds(100), seconds(2)));
        world.time.runFor(milliseconds(50));
    }
    world.time.runFor(seconds(5));
    checkRules(world);
    BOOST_TEST(world.callers.completedCount() == 40U);
}

// (a) The withdrawal is written to a connection that is gone already.
BOOST_AUTO_TEST_CASE(reset_of_all_connections_loses_the_withdrawal)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.resetConnections(job.entry, Duration::zero());
    });
}

// (a) As above, but the VM notices the resets of its callers some time after those of its peers.
BOOST_AUTO_TEST_CASE(reset_of_all_connections_is_noticed_late)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.resetConnections(job.entry, milliseconds(100));
    });
}

// (b) The pool must notice the loss of the entry VM and stop the run before the caller repeats it.
BOOST_AUTO_TEST_CASE(entry_vm_loses_power_after_the_offer)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) { world.kill(job.entry, true); });
}

// (b) As above, in a fleet in which every VM follows every other.
BOOST_AUTO_TEST_CASE(entry_vm_of_small_fleet_loses_power_after_the_offer)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) { world.kill(job.entry, true); },
                 FleetOptions {2, 2});
}

// (b) A process that ends without a loss of power resets its connections.
BOOST_AUTO_TEST_CASE(entry_vm_is_killed_after_the_offer)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) { world.kill(job.entry); });
}

// (b) As above, but the process starts again at once under the same name.
BOOST_AUTO_TEST_CASE(entry_vm_restarts_after_the_offer)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.kill(job.entry);
        world.time.runFor(milliseconds(300));
        world.restart(job.entry);
    });
}

// (b) A pool that does not expect reports from the entry VM forgets it without withdrawing its job.
BOOST_AUTO_TEST_CASE(entry_vm_that_follows_nobody_loses_power_after_the_offer)
{
    for (const Duration age : offerAges()) {
        BOOST_TEST_CONTEXT("age of the offer " << age.count() << " us")
        {
            FleetWorld world(twoDataCentres);
            const size_t pool = world.holderOf(0);
            const size_t entry = vmNotFollowedBy(world, pool);
            world.network.datagramFilter = withoutFollowing(world, entry, pool);
            world.callers.submit(
                    makeJob("job", seconds(2), seconds(4), {entry, world.otherVmOf(1)}));
            world.time.runFor(age);
            world.kill(entry, true);
            runUntilEnded(world);
            checkRules(world);
        }
    }
}

// (c) A VM that wakes up offers a job whose caller has left, and then notices that it has left.
BOOST_AUTO_TEST_CASE(paused_vm_reads_request_before_the_close)
{
    pauseWithUnreadRequest(Duration::zero());
}

// (c) As above, but the VM notices the close a while after it has woken up.
BOOST_AUTO_TEST_CASE(paused_vm_reads_request_and_notices_the_close_late)
{
    pauseWithUnreadRequest(milliseconds(200));
}

// (c) As above, but the VM never notices the close.
BOOST_AUTO_TEST_CASE(paused_vm_reads_request_and_never_notices_the_close)
{
    pauseWithUnreadRequest(std::nullopt);
}

// (d) The withdrawal is held up until the connection is aborted, while reports arrive.
BOOST_AUTO_TEST_CASE(frames_are_cut_and_the_caller_leaves)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutBothWays(job.entry, job.pool, framesOnly, seconds(4));
        world.callers.breakConnectionsOf("job", Duration::zero());
    });
}

// (d) As above, with a cut in the direction of the withdrawal only.
BOOST_AUTO_TEST_CASE(frames_to_the_pool_are_cut_and_the_caller_leaves)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutOneWay(job.entry, job.pool, framesOnly, seconds(4));
        world.callers.breakConnectionsOf("job", Duration::zero());
    });
}

// (d) As above, with a cut in the direction of the answers only. The withdrawal arrives.
BOOST_AUTO_TEST_CASE(frames_from_the_pool_are_cut_and_the_caller_leaves)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutOneWay(job.pool, job.entry, framesOnly, seconds(4));
        world.callers.breakConnectionsOf("job", Duration::zero());
    });
}

// (d) Both VMs take each other for lost, and the caller is told that the job may have run.
BOOST_AUTO_TEST_CASE(reports_are_cut)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutBothWays(job.entry, job.pool, datagramsOnly, seconds(4));
    });
}

// (d) The entry VM takes the pool for lost; its reports still reach the pool.
BOOST_AUTO_TEST_CASE(reports_from_the_pool_are_cut)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutOneWay(job.pool, job.entry, datagramsOnly, seconds(4));
    });
}

// (d) The pool takes the entry VM for lost; its reports still reach the entry VM.
BOOST_AUTO_TEST_CASE(reports_to_the_pool_are_cut)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutOneWay(job.entry, job.pool, datagramsOnly, seconds(4));
    });
}

// (d) Nothing passes between the two VMs, and the caller leaves.
BOOST_AUTO_TEST_CASE(everything_is_cut_and_the_caller_leaves)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutBothWays(job.entry, job.pool, {}, seconds(4));
        world.callers.breakConnectionsOf("job", Duration::zero());
    });
}

// (e) The entry VM takes a pool for lost that is alive: its connection breaks, and no report
// arrives within the time of suspicion.
BOOST_AUTO_TEST_CASE(connection_to_the_pool_breaks)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.network.resetConnection(world.vm(job.entry).host(), world.vm(job.pool).host());
    });
}

// (e) As above, but a single report of the pool is lost.
BOOST_AUTO_TEST_CASE(connection_to_the_pool_breaks_and_reports_are_late)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutOneWay(job.pool, job.entry, datagramsOnly, milliseconds(350));
        world.network.resetConnection(world.vm(job.entry).host(), world.vm(job.pool).host());
    });
}

// (e) As above, but reports are lost in both directions, so the pool does not learn that it is
// taken for lost.
BOOST_AUTO_TEST_CASE(connection_to_the_pool_breaks_and_all_reports_are_late)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.cutBothWays(job.pool, job.entry, datagramsOnly, milliseconds(1100));
        world.network.resetConnection(world.vm(job.entry).host(), world.vm(job.pool).host());
    });
}

// (e) The connection to a pool of another data centre breaks. Such a VM reports every 350 ms, which
// is longer than the time of suspicion, unless it reports more often while it runs jobs of this VM.
BOOST_AUTO_TEST_CASE(job_survives_the_loss_of_a_connection_to_another_data_centre)
{
    for (const Duration age : offerAges()) {
        BOOST_TEST_CONTEXT("age of the offer " << age.count() << " us")
        {
            FleetWorld world(twoDataCentres);
            const size_t entry = world.otherVmOf(0);
            const size_t pool = world.holderOf(1);
            for (size_t i = 0; i < 30; ++i)
                world.callers.submit(makeJob(fmt::format("filler{}", i), seconds(3), seconds(6),
                                             {world.holderOf(0)}));
            world.time.runFor(milliseconds(400));
            world.callers.submit(makeJob("job", seconds(1), seconds(4), {entry}));
            world.time.runFor(age);
            BOOST_REQUIRE(world.servers.vmRunning("job") == world.vm(pool).name());
            world.network.resetConnection(world.vm(entry).host(), world.vm(pool).host());
            world.time.runFor(seconds(4));
            BOOST_TEST(world.callers.submissions("job") == 1U);
            checkRules(world);
        }
    }
}

// (f) A cut holds the offer up until its caller has left.
BOOST_AUTO_TEST_CASE(offer_arrives_after_its_caller_has_left)
{
    for (int64_t cut = 100; cut <= 1000; cut += 150) {
        BOOST_TEST_CONTEXT("cut of " << cut << " ms")
        {
            FleetWorld world(twoDataCentres);
            const size_t entry = world.otherVmOf(0);
            const size_t pool = world.holderOf(0);
            // Opens the connection on which the offer is held up.
            world.callers.submit(makeJob("first", milliseconds(50), seconds(1), {entry}));
            world.time.runFor(milliseconds(500));
            world.cutBothWays(entry, pool, framesOnly, milliseconds(cut));
            world.callers.submit(
                    makeJob("job", seconds(2), seconds(4), {entry, world.otherVmOf(1)}));
            world.time.runFor(milliseconds(5));
            world.callers.breakConnectionsOf("job", Duration::zero());
            runUntilEnded(world);
            checkRules(world);
        }
    }
}

// (f) The offer is late, and the entry VM dies before it can withdraw it.
BOOST_AUTO_TEST_CASE(offer_arrives_after_its_vm_has_died)
{
    for (int64_t cut = 100; cut <= 1000; cut += 150) {
        BOOST_TEST_CONTEXT("cut of " << cut << " ms")
        {
            FleetWorld world(twoDataCentres);
            const size_t entry = world.otherVmOf(0);
            const size_t pool = world.holderOf(0);
            world.callers.submit(makeJob("first", milliseconds(50), seconds(1), {entry}));
            world.time.runFor(milliseconds(500));
            world.cutBothWays(entry, pool, {}, milliseconds(cut));
            world.callers.submit(
                    makeJob("job", seconds(2), seconds(4), {entry, world.otherVmOf(1)}));
            world.time.runFor(milliseconds(5));
            world.kill(entry);
            runUntilEnded(world);
            checkRules(world);
        }
    }
}

// (g) A VM gets the repeated job before it notices that the first connection is closed, and offers
// the two requests to different pools.
BOOST_AUTO_TEST_CASE(vm_has_two_requests_of_one_job)
{
    FleetWorld world;
    const size_t entry = world.otherVmOf(0);
    world.callers.submit(makeJob("job", seconds(2), seconds(4), {entry, entry}));
    world.time.runFor(milliseconds(50));
    world.callers.breakConnectionsOf("job", milliseconds(1500));
    // Fills the pool that runs the job, so that the repeated job is offered to another one.
    for (size_t i = 0; i < 30; ++i)
        world.callers.submit(
                makeJob(fmt::format("filler{}", i), seconds(3), seconds(6), {world.holderOf(0)}));
    world.time.runFor(seconds(8));
    checkRules(world);
}

// (g) The repeated job reaches the pool of the first one while the server still stops its run.
BOOST_AUTO_TEST_CASE(job_is_repeated_while_its_run_is_stopping)
{
    FleetWorld world;
    const size_t entry = world.otherVmOf(0);
    world.callers.submit(makeJob("job", seconds(2), seconds(4), {entry, entry}));
    world.time.runFor(milliseconds(50));
    world.callers.breakConnectionsOf("job", milliseconds(1290));
    runUntilEnded(world);
    checkRules(world);
}

// (h) The pool cannot reach the server to stop the run of a VM that dies at the same moment.
BOOST_AUTO_TEST_CASE(server_is_cut_off_when_the_entry_vm_dies)
{
    runAtEachAge(
            [](FleetWorld &world, const OfferedJob &job) { cutServerAndKill(world, job, {}); });
}

// (h) As above, but the pool extends the lease of the server for another second.
BOOST_AUTO_TEST_CASE(server_is_cut_off_a_second_after_the_entry_vm_dies)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        cutServerAndKill(world, job, seconds(1));
    });
}

// (h) The pool is paused, for less than the time after which it withdraws jobs, at the moment at
// which the entry VM dies.
BOOST_AUTO_TEST_CASE(pool_is_paused_when_the_entry_vm_dies)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.kill(job.entry, true);
        world.pauseFor(job.pool, milliseconds(980));
    });
}

// (h) As above, but the pool is paused when it would notice the loss.
BOOST_AUTO_TEST_CASE(pool_is_paused_some_time_after_the_entry_vm_dies)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &job) {
        world.kill(job.entry, true);
        world.time.runFor(milliseconds(500));
        world.pauseFor(job.pool, milliseconds(980));
    });
}

// The caller's connection is lost, and the VM never learns of it.
BOOST_AUTO_TEST_CASE(close_of_the_caller_is_never_noticed)
{
    runAtEachAge([](FleetWorld &world, const OfferedJob &) {
        world.callers.breakConnectionsOf("job", std::nullopt);
    });
}

// A VM that gets too little processor time holds the servers of its data centre. Callers must get
// their results from elsewhere, and no "may have run" at their deadline for jobs that were not run.
BOOST_AUTO_TEST_CASE(jobs_are_served_elsewhere_while_a_holder_is_behind)
{
    FleetWorld world(twoDataCentres);
    world.vm(world.holderOf(0)).setSliceInterval(milliseconds(900));
    const size_t entry = world.otherVmOf(0);
    constexpr size_t jobs = 40;
    for (size_t i = 0; i < jobs; ++i) {
        world.callers.submit(
                makeJob(fmt::format("job{}", i), milliseconds(100), milliseconds(1500), {entry}));
        world.time.runFor(milliseconds(100));
    }
    world.time.runFor(seconds(2));
    size_t servedAtOnce = 0;
    for (size_t i = 0; i < jobs; ++i)
        servedAtOnce += world.callers.submissions(fmt::format("job{}", i)) == 1 ? 1 : 0;
    BOOST_TEST_MESSAGE(fmt::format("{} of {} jobs were answered to their first submission",
                                   servedAtOnce, jobs));
    BOOST_TEST(servedAtOnce >= jobs * 9 / 10);
    checkRules(world);
}

// All faults together.
BOOST_AUTO_TEST_CASE(random_faults_in_a_large_fleet)
{
    runRandomFaults({5, 4});
}

// All faults together, in a fleet in which every VM follows every other.
BOOST_AUTO_TEST_CASE(random_faults_in_a_small_fleet)
{
    runRandomFaults({2, 2});
}
