// Tests of keepers that replace each other while ends of runs are not reported: an end counts only
// if no keeper has started a later run of its task.
#define BOOST_TEST_MODULE keeper_takeover
#include "keeper_random_jobs.h"

using namespace lovage;
using namespace lovage::test;

namespace {

constexpr Duration takeoverTime = milliseconds(1600); // KeeperOptions::takeoverDelay and some ticks
constexpr Duration lostRunTime = milliseconds(2100); // KeeperOptions::lostRunTimeout and some ticks

struct TakeoverFixture : KeeperSimulation
{
    TakeoverFixture()
    {
        takeOver();
        run(milliseconds(20));
    }

    // A job of one task per occurrence, the first of which is due now.
    JobSpec makeRepeatedJob(const std::string &id, uint32_t repeatCount) const
    {
        JobSpec job = makeJob(id, {1});
        job.repeatCount = repeatCount;
        job.firstDueMs = toUnixMillis(now);
        job.repeatInterval = milliseconds(400);
        return job;
    }

    size_t recordCount() const
    {
        size_t count = 0;
        for (const auto &[number, partition] : journal.partitions)
            count += partition.records.size();
        return count;
    }
};

} // namespace

// Guards against a VM that takes over more jobs than it has memory for. The rest is served when
// jobs have ended.
BOOST_FIXTURE_TEST_CASE(partitions_beyond_the_memory_are_read_later, TakeoverFixture)
{
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(std::chrono::seconds(20)), RunEnd::Succeeded};
    };
    JobSpec job = makeJob("", {1});
    job.payload = std::string(4000, 'p');
    for (int i = 0; i < 40; ++i) {
        job.id = "job" + std::to_string(i);
        store(job);
        run(milliseconds(20));
    }
    BOOST_REQUIRE(count(KeeperAnswer::Kind::Stored) == 40U);
    options.maxBytes = options.maxPartitionBytes = 60'000;
    takeOver();
    run(takeoverTime);
    const auto servedPartitions = [&] {
        const auto claims = keeper->claims();
        return std::count_if(claims.begin(), claims.end(),
                             [](const PartitionClaim &claim) { return claim.isServing; });
    };
    BOOST_TEST(servedPartitions() == 1);
    run(std::chrono::seconds(200));
    BOOST_TEST(servedPartitions() == 2);
    for (int i = 0; i < 40; ++i) {
        const auto runs = starts.find("job" + std::to_string(i) + ".0.0.0");
        BOOST_TEST((runs != starts.end() && !running.contains(runs->first)));
    }
}

// Guards against counting the success of a run although the previous keeper had started a later
// run, the end of which no keeper has stored.
BOOST_FIXTURE_TEST_CASE(success_does_not_count_after_a_start_by_the_previous_keeper,
                        TakeoverFixture)
{
    withholdsOutcomes = true;
    store(makeJob("job1", {1}));
    run(milliseconds(200));
    takeOver();
    run(takeoverTime);
    BOOST_REQUIRE(starts.at("job1.0.0.0") == 2U);
    takeOver();
    run(milliseconds(20));
    withholdsOutcomes = false;
    run(takeoverTime + milliseconds(500));
    BOOST_TEST(startsAfterConfirmation == 0U);
    BOOST_TEST(supersededEnds == 1U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against counting the success of a run that an earlier keeper took for lost and started
// again.
BOOST_FIXTURE_TEST_CASE(success_of_a_run_taken_for_lost_does_not_count_at_the_next_keeper,
                        TakeoverFixture)
{
    withholdsOutcomes = true;
    store(makeJob("job1", {1}));
    run(milliseconds(200));
    keeper->onVmLost("vm1", now);
    run(lostRunTime);
    BOOST_REQUIRE(starts.at("job1.0.0.0") == 2U);
    takeOver();
    run(milliseconds(20));
    withholdsOutcomes = false;
    run(takeoverTime + milliseconds(500));
    BOOST_TEST(startsAfterConfirmation == 0U);
    BOOST_TEST(supersededEnds == 1U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against forgetting, when the records of a job are written anew, that a task was started
// again.
BOOST_FIXTURE_TEST_CASE(restart_is_known_after_its_record_has_expired, TakeoverFixture)
{
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(std::chrono::seconds(1000)), RunEnd::Succeeded};
    };
    withholdsOutcomes = true;
    store(makeJob("job1", {1}));
    run(milliseconds(50));
    takeOver();
    run(std::chrono::seconds(200));
    BOOST_REQUIRE(starts.at("job1.0.0.0") == 2U);
    for (auto &[number, partition] : journal.partitions)
        partition.first = std::min<size_t>(2, partition.records.size());
    takeOver();
    unconfirmedOutcomes = {{"job1.0.0.0", 1, TaskOutcome::Kind::Ended, RunEnd::Succeeded}};
    withholdsOutcomes = false;
    run(milliseconds(200));
    BOOST_TEST(startsAfterConfirmation == 0U);
    BOOST_TEST(supersededEnds == 1U);
}

// Guards against starting a task again before the restart is stored: the next keeper would not know
// of the later run.
BOOST_FIXTURE_TEST_CASE(task_is_started_again_once_the_restart_is_in_the_journal, TakeoverFixture)
{
    withholdsOutcomes = true;
    store(makeJob("job1", {1}));
    run(milliseconds(200));
    takeOver();
    run(milliseconds(100));
    journal.isDown = true;
    run(takeoverTime);
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    journal.isDown = false;
    run(milliseconds(300));
    BOOST_TEST(starts.at("job1.0.0.0") == 2U);
}

// Guards against a task that is started although its job was cancelled while the restart was being
// stored, and against stops without end for the run that was never sent.
BOOST_FIXTURE_TEST_CASE(restart_of_a_cancelled_job_is_dropped, TakeoverFixture)
{
    withholdsOutcomes = true;
    store(makeJob("job1", {1}));
    run(milliseconds(200));
    takeOver();
    run(milliseconds(100));
    journal.isDown = true;
    cancel("job1");
    run(takeoverTime);
    journal.isDown = false;
    run(milliseconds(500));
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    const size_t stopsBefore = stopCount;
    run(std::chrono::seconds(2));
    BOOST_TEST(stopCount == stopsBefore);
}

// Guards against confirming the success of an occurrence without storing it: a new keeper opens the
// occurrences that are due only when the takeover delay has passed, and started the task again.
BOOST_FIXTURE_TEST_CASE(success_of_an_occurrence_that_is_not_open_yet_is_stored, TakeoverFixture)
{
    withholdsOutcomes = true;
    store(makeRepeatedJob("job1", 3));
    run(std::chrono::seconds(1));
    BOOST_REQUIRE(starts.size() == 3U);
    takeOver();
    run(milliseconds(20));
    withholdsOutcomes = false;
    run(takeoverTime + milliseconds(500));
    BOOST_TEST(startsAfterConfirmation == 0U);
    BOOST_TEST(unconfirmedOutcomes.empty());
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against the same error by a keeper whose clock is behind that of the earlier one: for it
// the occurrence is not due even after the takeover delay.
BOOST_FIXTURE_TEST_CASE(success_of_an_occurrence_that_is_not_due_by_the_clock_is_stored,
                        TakeoverFixture)
{
    withholdsOutcomes = true;
    store(makeRepeatedJob("job1", 1));
    run(milliseconds(200));
    BOOST_REQUIRE(starts.at("job1.0.0.0") == 1U);
    takeOver(-std::chrono::seconds(2));
    run(takeoverTime);
    withholdsOutcomes = false;
    run(std::chrono::seconds(3));
    BOOST_TEST(startsAfterConfirmation == 0U);
    BOOST_TEST(unconfirmedOutcomes.empty());
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against an early start of the other tasks of an occurrence, because the outcome or the
// record of one task shows that an earlier keeper with another clock had started the occurrence.
BOOST_FIXTURE_TEST_CASE(other_tasks_of_a_known_occurrence_wait_until_it_is_due, TakeoverFixture)
{
    JobSpec job = makeRepeatedJob("job1", 1);
    job.steps.front().count = 2;
    makeTask = [](const std::string &task) {
        const bool isShort = task.ends_with(".0");
        return SimulatedTask {0, Time(milliseconds(isShort ? 50 : 5000)), RunEnd::Succeeded};
    };
    store(job);
    run(milliseconds(200));
    BOOST_REQUIRE(confirmedTasks.contains("job1.0.0.0"));
    takeOver(-std::chrono::seconds(3));
    run(takeoverTime);
    BOOST_TEST(starts.at("job1.0.0.1") == 1U);
    run(std::chrono::seconds(7));
    BOOST_TEST(earlyStarts == 0U);
    BOOST_TEST(starts.at("job1.0.0.1") == 2U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against further records for each start: the journal takes several hundred appends per
// second. A job whose tasks run once needs one record for itself and one for each end.
BOOST_FIXTURE_TEST_CASE(only_restarts_need_further_records, TakeoverFixture)
{
    constexpr size_t jobs = 20;
    constexpr size_t tasks = 5;
    for (size_t i = 0; i < jobs; ++i)
        store(makeJob("job" + std::to_string(i), {3, 2}));
    run(std::chrono::seconds(1));
    BOOST_TEST(recordCount() == jobs * (1 + tasks));
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(std::chrono::seconds(5)), RunEnd::Succeeded};
    };
    store(makeJob("wide", {100}));
    run(milliseconds(100));
    const size_t before = recordCount();
    takeOver();
    run(takeoverTime);
    BOOST_TEST(starts.at("wide.0.0.99") == 2U);
    BOOST_TEST(recordCount() == before + 1);
}

// Replaces keepers by some with other clocks, loses the VM of the pool for them and withholds
// outcomes for long times, with jobs of every kind. Guards against ends that count although a later
// run was started, by whichever keeper.
BOOST_AUTO_TEST_CASE(random_takeovers_and_lost_pools_repeat_no_success)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            TakeoverFixture simulation;
            Random random(seed);
            RandomJobs jobs(simulation, random);
            simulation.isAnswerDelivered = [&] { return random.unit() > 0.2; };
            for (int round = 0; round < 30; ++round) {
                jobs.store("job" + std::to_string(round));
                simulation.run(milliseconds(static_cast<int>(random.below(2000)) + 10));
                simulation.withholdsOutcomes = random.unit() < 0.6;
                jobs.cancelSometimes();
                if (random.unit() < 0.3)
                    simulation.takeOver(jobs.randomClockError());
                if (random.unit() < 0.3)
                    simulation.loseServers();
            }
            simulation.withholdsOutcomes = false;
            simulation.isAnswerDelivered = [] { return true; };
            simulation.run(std::chrono::seconds(20));
            jobs.cancelEndless();
            simulation.run(std::chrono::seconds(1));
            jobs.check();
        }
    }
}
