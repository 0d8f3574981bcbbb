// Tests that runs end in time before the caller of a broken request can repeat it at another pool.
#define BOOST_TEST_MODULE pool_lease
#include "pool_world.h"

using namespace lovage;
using namespace lovage::test;
using std::chrono::seconds;

namespace {

// Shortest time after which a caller repeats a request whose connection has broken.
constexpr Duration resubmitDelay = milliseconds(1300);

struct OneServer : PoolWorld
{
    OneServer()
    {
        addServer("a", 64000);
        runTimeOf = [](const std::string &) { return Duration(seconds(4)); };
        begin();
    }

    bool isRunning(const std::string &task) const { return servers.at("a").running.contains(task); }

    // Returns a job of another VM whose lease ends after the given time.
    JobOffer makeLeasedOffer(const std::string &id, Duration lease) const
    {
        JobOffer offer = makeOffer(id, 1, 14000, seconds(4), seconds(6));
        offer.lease = JobLease {1, now + lease};
        return offer;
    }

    // Advances the server while the process of the pool does not run.
    void pauseFor(Duration time)
    {
        for (const Time end = now + time; now < end; now += milliseconds(1))
            servers.at("a").advance(now);
    }
};

} // namespace

// Guards against polls that keep extending the lease of a run which could not be stopped: the
// caller's repeated request would start the task a second time in another pool.
BOOST_FIXTURE_TEST_CASE(run_whose_stop_is_lost_ends_before_the_request_is_repeated, OneServer)
{
    isStopLost = [](const std::string &task) { return task.starts_with("job1"); };
    const JobOffer offered = makeOffer("job1", 1, 14000, seconds(4));
    offer(offered);
    runFor(milliseconds(50));
    BOOST_TEST(isRunning("job1.0.0.0"));
    pool.withdraw(offered.ticket, now);
    runFor(resubmitDelay);
    BOOST_TEST(!isRunning("job1.0.0.0"));
}

// Guards against the same for a run that an earlier holder of the server started.
BOOST_AUTO_TEST_CASE(run_of_an_earlier_holder_is_not_extended)
{
    PoolWorld world;
    world.addServer("a", 64000);
    world.isStopLost = [](const std::string &task) { return task.starts_with("old"); };
    auto &server = world.servers.at("a");
    server.token = 4;
    server.leaseUntil = world.now + seconds(1);
    server.running["old.0.0.0"] = {"old.0.0.0",       1,    world.now, world.now + seconds(9),
                                   RunEnd::Succeeded, 20000};
    world.registerServers();
    world.grantAll(5);
    world.runFor(resubmitDelay);
    BOOST_TEST(world.runningCount() == 0U);
}

// Guards against a pool that outlives the VM with the caller's connection, or that never receives
// its withdrawal.
BOOST_FIXTURE_TEST_CASE(job_is_stopped_when_its_lease_is_not_renewed, OneServer)
{
    const ResubmissionLimits limits;
    offer(makeLeasedOffer("job1", limits.jobLease()));
    runFor(limits.jobLease() - milliseconds(50));
    BOOST_TEST(isRunning("job1.0.0.0"));
    runFor(milliseconds(50) + ResubmissionLimits {}.stopAllowance());
    BOOST_TEST(!isRunning("job1.0.0.0"));
    BOOST_TEST((resultOf("job1") == JobResult::Abandoned));
    BOOST_TEST(pool.counters().leasesExpired == 1U);
}

// Guards against stopping jobs whose callers are still connected.
BOOST_FIXTURE_TEST_CASE(renewed_lease_keeps_the_job_running, OneServer)
{
    const JobOffer offered = makeLeasedOffer("job1", seconds(1));
    offer(offered);
    for (int i = 0; i < 30; ++i) {
        runFor(milliseconds(100));
        pool.renewLeases(offered.ticket.vm, offered.ticket.incarnation,
                         {{1, now + seconds(1)}, {offered.ticket.number}});
    }
    BOOST_TEST(isRunning("job1.0.0.0"));
}

// Guards against an offer that was delayed on its way and is started after its caller has repeated
// it.
BOOST_FIXTURE_TEST_CASE(offer_that_arrives_after_its_lease_is_refused, OneServer)
{
    offer(makeLeasedOffer("job1", Duration::zero()));
    runFor(milliseconds(100));
    BOOST_TEST((resultOf("job1") == JobResult::Refused));
    BOOST_TEST(starts == 0U);
}

// Guards against a lease of the server that is extended shortly before the pool's process is
// paused: the pool cannot stop the run, so the run has to end by itself.
BOOST_FIXTURE_TEST_CASE(run_ends_in_time_while_the_pool_is_paused, OneServer)
{
    const ResubmissionLimits limits;
    offer(makeLeasedOffer("job1", limits.jobLease()));
    runFor(limits.jobLease() - milliseconds(50));
    BOOST_TEST(isRunning("job1.0.0.0"));
    pauseFor(milliseconds(50) + ResubmissionLimits {}.stopAllowance());
    BOOST_TEST(!isRunning("job1.0.0.0"));
}

// Guards against a job that waits in the queue and is started after its lease has ended.
BOOST_FIXTURE_TEST_CASE(queued_job_is_not_started_after_its_lease, OneServer)
{
    offer(makeOffer("job1", 4, 16000, milliseconds(300), seconds(6)));
    JobOffer waiting = makeLeasedOffer("job2", milliseconds(200));
    waiting.stretchFactor = 9;
    offer(waiting);
    runTimeOf = [](const std::string &) { return Duration(milliseconds(300)); };
    runFor(seconds(5));
    BOOST_TEST((resultOf("job2") == JobResult::Refused));
    BOOST_TEST(!startedJobs.contains("job2"));
}

// Guards against a run that is started late in the lease of its job on a server whose own lease was
// extended for other runs: a server never shortens its lease.
BOOST_FIXTURE_TEST_CASE(late_job_does_not_inherit_the_longer_lease_of_a_server, OneServer)
{
    offer(makeOffer("job1", 1, 14000, seconds(4), seconds(6)));
    runFor(milliseconds(300)); // a poll has extended the lease of the server
    offer(makeLeasedOffer("job2", milliseconds(150)));
    runFor(milliseconds(5));
    pauseFor(milliseconds(150) + ResubmissionLimits {}.stopAllowance());
    BOOST_TEST(!isRunning("job2.0.0.0"));
}

// Guards against forecasts for offers that waited too long to be started in time, whose cost puts
// an overloaded VM further behind, and against jobs that end after their callers' deadline because
// the time on the way is not counted.
BOOST_FIXTURE_TEST_CASE(offer_that_waited_too_long_is_refused_without_a_forecast, OneServer)
{
    const auto offerAfter = [&](const std::string &id, Duration waited, Duration deadline) {
        JobOffer late = makeOffer(id, 1, 14000, milliseconds(400), deadline);
        late.timing = OfferTiming {now - waited, milliseconds(250)};
        offer(late);
        runFor(milliseconds(10));
        return pool.counters().offersLate;
    };
    BOOST_TEST(offerAfter("late", milliseconds(250), seconds(2)) == 1U);
    BOOST_TEST((resultOf("late") == JobResult::Refused));
    BOOST_TEST(offerAfter("hopeless", milliseconds(200), milliseconds(350)) == 2U);
    BOOST_TEST((resultOf("hopeless") == JobResult::Refused));
    BOOST_TEST(starts == 0U);
    BOOST_TEST(offerAfter("in-time", milliseconds(100), seconds(2)) == 2U);
    BOOST_TEST(starts == 1U);
    runFor(milliseconds(1900)); // the run of four seconds is given up at the caller's deadline
    BOOST_TEST((resultOf("in-time") == JobResult::Abandoned));
}

// Guards against "not run" for an offer that is accepted after its withdrawal, and against no
// answer or a wrong one if the answer to an accepted offer is lost.
BOOST_FIXTURE_TEST_CASE(withdrawal_of_an_unanswered_offer_is_answered_truly, OneServer)
{
    const auto makeTimedOffer = [&](const std::string &id) {
        JobOffer offered = makeOffer(id, 1, 14000, milliseconds(400));
        offered.timing = OfferTiming {now, milliseconds(250)};
        return offered;
    };
    const auto withdraw = [&](const JobOffer &offered) {
        const size_t known = answers.size();
        pool.withdrawUnanswered(offered.ticket, offered.timing->offeredAt, now);
        runFor(milliseconds(10));
        return answers.size() > known ? std::optional(answers.back().second.result) : std::nullopt;
    };
    // The withdrawal overtakes the offer.
    const JobOffer overtaken = makeTimedOffer("overtaken");
    BOOST_TEST((withdraw(overtaken) == JobResult::Refused));
    offer(overtaken);
    runFor(milliseconds(10));
    BOOST_TEST(starts == 0U);
    // The acceptance is lost.
    const JobOffer started = makeTimedOffer("started");
    offer(started);
    runFor(milliseconds(10));
    BOOST_TEST((withdraw(started) == JobResult::Abandoned));
    BOOST_TEST((withdraw(started) == JobResult::Abandoned));
    // The offer is too old to know whether it was accepted.
    runFor(seconds(6));
    BOOST_TEST((withdraw(started) == std::nullopt));
}
