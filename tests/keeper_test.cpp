// Tests that stored jobs are accepted only once they are in the journal, that their tasks succeed
// only once, and that jobs survive the loss of any keeper.
#define BOOST_TEST_MODULE keeper
#include "keeper_random_jobs.h"

using namespace lovage;
using namespace lovage::test;

namespace {

constexpr Duration takeoverTime = milliseconds(1600); // KeeperOptions::takeoverDelay and some ticks

struct KeeperFixture : KeeperSimulation
{
    KeeperFixture()
    {
        takeOver();
        run(milliseconds(20));
    }
};

} // namespace

// Guards against accepting a job before it is stored, so that a crash could lose it.
BOOST_FIXTURE_TEST_CASE(job_is_accepted_once_it_is_in_the_journal, KeeperFixture)
{
    journal.isDown = true;
    store(makeJob("job1", {2}));
    run(milliseconds(300));
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) == 0U);
    BOOST_TEST(starts.empty());
    journal.isDown = false;
    run(milliseconds(300));
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) == 1U);
    BOOST_TEST(starts.size() == 2U);
}

// Guards against callers waiting for a store that is known to be unavailable.
BOOST_FIXTURE_TEST_CASE(job_is_rejected_while_appends_fail, KeeperFixture)
{
    journal.isDown = true;
    store(makeJob("job1", {1}));
    const uint32_t partition = shardOf("job1", KeeperSimulation::partitionCount);
    std::string other = "job2";
    while (shardOf(other, KeeperSimulation::partitionCount) != partition)
        other += "x";
    store(makeJob(other, {1}));
    BOOST_TEST(count(KeeperAnswer::Kind::Unavailable) == 1U);
    journal.isDown = false;
    run(milliseconds(300));
    store(makeJob(other, {1}));
    run(milliseconds(300));
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) == 2U);
}

// Guards against creating a second job for a repeated id, including while the first is being
// written.
BOOST_FIXTURE_TEST_CASE(repeated_id_creates_one_job, KeeperFixture)
{
    journal.isDown = true;
    store(makeJob("job1", {2}));
    store(makeJob("job1", {2}));
    BOOST_TEST(answers.empty());
    journal.isDown = false;
    run(milliseconds(300));
    store(makeJob("job1", {2}));
    run(milliseconds(300));
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) == 2U);
}

// Guards against a keeper whose memory grows with the number of jobs that callers store.
BOOST_FIXTURE_TEST_CASE(job_without_room_is_refused_until_another_is_forgotten, KeeperFixture)
{
    options.maxBytes = options.maxPartitionBytes = 100'000;
    takeOver();
    run(takeoverTime);
    JobSpec job = makeJob("", {1});
    job.payload = std::string(4000, 'p');
    for (int i = 0; i < 100; ++i) {
        job.id = "job" + std::to_string(i);
        store(job);
    }
    run(milliseconds(500));
    const size_t accepted = count(KeeperAnswer::Kind::Stored);
    BOOST_TEST(accepted > 5U);
    BOOST_TEST(accepted < 25U);
    BOOST_TEST(count(KeeperAnswer::Kind::Refused) == 100 - accepted);
    BOOST_TEST((answers.back().retryAfter >= std::chrono::seconds(1)));
    run(options.jobRetention + std::chrono::seconds(10));
    job.id = "later";
    store(job);
    run(milliseconds(500));
    BOOST_TEST((queryState("later") == JobState::Completed));
}

// Guards against a job that makes its keeper hold all of its occurrences at once. The last of them
// still runs.
BOOST_FIXTURE_TEST_CASE(occurrences_wait_for_memory, KeeperFixture)
{
    options.maxBytes = options.maxPartitionBytes = 400'000;
    takeOver();
    run(takeoverTime);
    JobSpec job = makeJob("job1", {1000});
    job.repeatCount = 8;
    job.firstDueMs = toUnixMillis(now);
    freeMilliCores = 1'000'000'000;
    store(job);
    run(milliseconds(60));
    BOOST_TEST(starts.size() > 1000U);
    BOOST_TEST(starts.size() < 4000U);
    run(std::chrono::seconds(5));
    BOOST_TEST(starts.size() == 8000U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against one record for each repetition of a request to cancel a job.
BOOST_FIXTURE_TEST_CASE(repeated_cancellation_is_written_once, KeeperFixture)
{
    store(makeJob("job1", {1}));
    run(milliseconds(60));
    const auto recordCount = [&] {
        size_t records = 0;
        for (const auto &[number, partition] : journal.partitions)
            records += partition.records.size();
        return records;
    };
    const size_t before = recordCount();
    journal.isDown = true;
    for (int i = 0; i < 10; ++i) {
        keeper->onRequest(CancelJob {{"vm2", 1, 3}, "job1"}, now);
        flush();
    }
    journal.isDown = false;
    run(milliseconds(300));
    BOOST_TEST(recordCount() <= before + 2); // the cancellation, and the end of the task if written
    BOOST_TEST((queryState("job1") == JobState::Cancelled));
}

// Guards against starting a step before the step it depends on is complete.
BOOST_FIXTURE_TEST_CASE(step_starts_after_all_tasks_of_earlier_steps, KeeperFixture)
{
    store(makeJob("job1", {3, 2}));
    run(milliseconds(60));
    BOOST_TEST(starts.size() == 3U);
    BOOST_TEST((queryState("job1") == JobState::Running));
    run(milliseconds(400));
    BOOST_TEST(starts.size() == 5U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against answering "running" to a query that arrives when a job is about to end, so that
// the caller learns of the end only with its next query.
BOOST_FIXTURE_TEST_CASE(query_near_the_end_waits_for_the_end, KeeperFixture)
{
    store(makeJob("job1", {1}));
    run(milliseconds(90));
    const size_t before = answers.size();
    keeper->onRequest(QueryJob {{"vm2", 1, 3}, "job1"}, now);
    flush();
    BOOST_TEST(answers.size() == before);
    run(milliseconds(20));
    BOOST_REQUIRE(answers.size() == before + 1);
    BOOST_TEST((answers.back().state == JobState::Completed));
}

// Guards against confirming an end that is not stored yet, since the server may then forget it.
BOOST_FIXTURE_TEST_CASE(end_is_confirmed_once_it_is_in_the_journal, KeeperFixture)
{
    store(makeJob("job1", {1, 1}));
    run(milliseconds(30));
    journal.isDown = true;
    run(milliseconds(300));
    BOOST_TEST(confirmedTasks.empty());
    BOOST_TEST(starts.size() == 1U);
    journal.isDown = false;
    run(milliseconds(300));
    BOOST_TEST(confirmedTasks.size() == 2U);
}

// Guards against repeating completed tasks, and against reusing run numbers, after the loss of a
// keeper.
BOOST_FIXTURE_TEST_CASE(new_keeper_resumes_jobs_of_the_previous_one, KeeperFixture)
{
    makeTask = [](const std::string &task) {
        const bool isShort = task.ends_with(".0");
        return SimulatedTask {0, Time(milliseconds(isShort ? 50 : 100'000)), RunEnd::Succeeded};
    };
    store(makeJob("job1", {2}));
    run(milliseconds(200));
    const uint32_t firstRun = running.at("job1.0.0.1").run;
    takeOver();
    run(milliseconds(500));
    BOOST_TEST(running.empty()); // runs of the earlier keeper may still be ending
    run(takeoverTime);
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    BOOST_TEST(starts.at("job1.0.0.1") == 2U);
    BOOST_TEST(running.at("job1.0.0.1").run > firstRun);
    BOOST_TEST((queryState("job1") == JobState::Running));
}

// Guards against repeating work that is saved in a checkpoint.
BOOST_FIXTURE_TEST_CASE(stopped_task_resumes_from_its_checkpoint, KeeperFixture)
{
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(100'000)), RunEnd::Succeeded, "half"};
    };
    store(makeJob("job1", {1}));
    run(milliseconds(100));
    takeOver();
    run(takeoverTime);
    BOOST_REQUIRE(batches.size() == 2U);
    BOOST_TEST(batches.back().tasks.front().checkpoint == "half");
}

// Guards against a wrong number of attempts when the keeper changes in between.
BOOST_FIXTURE_TEST_CASE(job_fails_when_a_task_has_used_its_attempts, KeeperFixture)
{
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(20)), RunEnd::Failed};
    };
    store(makeJob("job1", {1}), 3);
    run(milliseconds(40));
    const auto stopped = static_cast<uint32_t>(running.size()); // a stopped run is not a failure
    takeOver();
    run(takeoverTime + milliseconds(500));
    BOOST_TEST(starts.at("job1.0.0.0") == 3U + stopped);
    BOOST_TEST((queryState("job1") == JobState::Failed));
}

// Guards against tasks that continue or start after a cancellation was acknowledged.
BOOST_FIXTURE_TEST_CASE(cancelled_job_stops, KeeperFixture)
{
    store(makeJob("job1", {2, 2}));
    run(milliseconds(40));
    BOOST_TEST(running.size() == 2U);
    cancel("job1");
    BOOST_TEST(count(KeeperAnswer::Kind::Cancelled) == 1U);
    run(milliseconds(500));
    BOOST_TEST(running.empty());
    BOOST_TEST(starts.size() == 2U);
    takeOver();
    run(takeoverTime);
    BOOST_TEST((queryState("job1") == JobState::Cancelled));
    cancel("none");
    BOOST_TEST(count(KeeperAnswer::Kind::Unknown) == 1U);
}

// Guards against a keeper that acts when another one may have taken over its partitions.
BOOST_FIXTURE_TEST_CASE(nothing_starts_without_a_lease, KeeperFixture)
{
    store(makeJob("job1", {1, 1}));
    run(milliseconds(50));
    keeper->setLease(now);
    run(milliseconds(300));
    BOOST_TEST(starts.size() == 1U);
    store(makeJob("job2", {1}));
    BOOST_TEST(count(KeeperAnswer::Kind::Unavailable) == 1U);
}

// Guards against a former keeper confirming the end of a task that it does not know. The current
// keeper would never learn of that end and start the task again.
BOOST_FIXTURE_TEST_CASE(no_outcome_is_confirmed_without_a_lease, KeeperFixture)
{
    unconfirmedOutcomes.push_back({"job9.0.0.0", 1, TaskOutcome::Kind::Ended, RunEnd::Succeeded});
    keeper->setLease(now);
    run(milliseconds(100));
    BOOST_TEST(unconfirmedOutcomes.size() == 1U);
    keeper->setLease(Time::max());
    run(milliseconds(100));
    BOOST_TEST(unconfirmedOutcomes.empty());
}

// Guards against two active keepers: once the journal rejects the earlier one, it must start
// nothing more.
BOOST_FIXTURE_TEST_CASE(fenced_keeper_releases_its_partition, KeeperFixture)
{
    store(makeJob("job1", {1, 1}));
    for (auto &[number, partition] : journal.partitions)
        partition.epoch = UINT64_MAX;
    run(milliseconds(500));
    BOOST_TEST(starts.size() <= 1U);
    BOOST_TEST(keeper->claims().size() < KeeperSimulation::partitionCount);
}

// Guards against reusing an epoch, with which the journal would take new appends for retries of
// earlier ones.
BOOST_FIXTURE_TEST_CASE(partition_taken_again_gets_a_new_epoch, KeeperFixture)
{
    const auto before = keeper->claims();
    keeper->onLeaseLost(now);
    keeper->setPartitions({0, 1}, generation, now);
    BOOST_REQUIRE(keeper->claims().size() == before.size());
    for (size_t i = 0; i < before.size(); ++i)
        BOOST_TEST(keeper->claims()[i].epoch > before[i].epoch);
}

// Guards against starting a task of a lost VM elsewhere while its run may not have ended.
BOOST_FIXTURE_TEST_CASE(task_of_a_lost_vm_restarts_after_its_run_has_ended, KeeperFixture)
{
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(100'000)), RunEnd::Succeeded};
    };
    store(makeJob("job1", {1}));
    run(milliseconds(50));
    running.clear();
    keeper->onVmLost("vm1", now);
    run(milliseconds(1900));
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    run(milliseconds(200));
    BOOST_TEST(starts.at("job1.0.0.0") == 2U);
}

// Guards against acknowledging an end although the task was started again. This happens when the
// pool that observed the end was disconnected from the current keeper in the meantime.
BOOST_FIXTURE_TEST_CASE(late_end_is_confirmed_as_superseded, KeeperFixture)
{
    store(makeJob("job1", {1}));
    withholdsOutcomes = true;
    run(milliseconds(200));
    takeOver();
    run(takeoverTime + milliseconds(200));
    BOOST_TEST(starts.at("job1.0.0.0") == 2U);
    withholdsOutcomes = false;
    run(milliseconds(200));
    BOOST_TEST(unconfirmedOutcomes.empty());
    BOOST_TEST(supersededEnds == 1U);
    BOOST_TEST(startsAfterConfirmation == 0U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against a task that never starts because its batch was lost on a connection that failed
// without an error.
BOOST_FIXTURE_TEST_CASE(lost_batch_is_resent, KeeperFixture)
{
    dropsBatches = true;
    store(makeJob("job1", {2}));
    run(milliseconds(100));
    BOOST_TEST(starts.empty());
    dropsBatches = false;
    run(milliseconds(1200));
    // The incarnation prevents a restarted process of the pool's VM from answering for the previous
    // one.
    BOOST_TEST(batches.front().poolIncarnation == 1U);
    BOOST_TEST(starts.size() == 2U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against an endless task that is not restarted after it has ended, and against closing its
// job.
BOOST_FIXTURE_TEST_CASE(endless_task_is_restarted, KeeperFixture)
{
    JobSpec job = makeJob("job1", {1});
    job.steps.front().isEndless = true;
    store(job, 1);
    run(std::chrono::seconds(1));
    BOOST_TEST(starts.at("job1.0.0.0") >= 4U);
    BOOST_TEST((queryState("job1") == JobState::Running));
}

// Guards against gangs that start only in part or with different run numbers, and against members
// that are started again although one has succeeded.
BOOST_FIXTURE_TEST_CASE(gang_starts_together_and_ends_together, KeeperFixture)
{
    JobSpec job = makeJob("job1", {4, 1});
    job.steps.front().isGang = true;
    freeMilliCores = 3000;
    run(milliseconds(10));
    store(job);
    run(milliseconds(200));
    BOOST_TEST(starts.empty());
    freeMilliCores = 4000;
    run(milliseconds(50));
    BOOST_REQUIRE(batches.size() == 1U);
    for (const TaskStart &start : batches.front().tasks)
        BOOST_TEST(start.run == 1U);
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(10)), RunEnd::Succeeded};
    };
    // The success of one member completes the gang.
    running.erase("job1.0.0.1");
    lastRun["job1.0.1.0"] = 0;
    run(milliseconds(500));
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against repetitions that start early, twice or not at all, including across keepers.
BOOST_FIXTURE_TEST_CASE(repetitions_start_when_they_are_due, KeeperFixture)
{
    JobSpec job = makeJob("job1", {1});
    job.repeatCount = 3;
    job.firstDueMs = toUnixMillis(now) + 500;
    job.repeatInterval = milliseconds(400);
    store(job);
    run(milliseconds(450));
    BOOST_TEST(starts.empty());
    run(milliseconds(200));
    BOOST_TEST(starts.size() == 1U);
    BOOST_TEST((queryState("job1") == JobState::Running));
    takeOver();
    run(std::chrono::seconds(3));
    BOOST_TEST(starts.size() == 3U);
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    BOOST_TEST((queryState("job1") == JobState::Completed));
}

// Guards against losing the state of jobs that run longer than the store keeps their records, and
// against a journal that grows without bound.
BOOST_FIXTURE_TEST_CASE(state_survives_the_loss_of_old_records, KeeperFixture)
{
    makeTask = [](const std::string &task) {
        const bool isShort = task.ends_with(".0");
        return SimulatedTask {0, Time(milliseconds(isShort ? 50 : 10'000'000)), RunEnd::Succeeded};
    };
    store(makeJob("job1", {2}));
    run(std::chrono::seconds(200));
    for (auto &[number, partition] : journal.partitions) {
        // The store drops the oldest records, as it does when they exceed its history.
        const size_t old = std::min<size_t>(2, partition.records.size());
        partition.first = partition.records.size() > 2 ? old : 0;
    }
    takeOver();
    run(takeoverTime);
    BOOST_TEST((queryState("job1") == JobState::Running));
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    BOOST_TEST(starts.at("job1.0.0.1") == 2U);
}

// Guards against runs that go on when their partition is assigned to another VM. Pools that do not
// hear the next keeper would never stop them, and it starts their tasks again.
BOOST_FIXTURE_TEST_CASE(runs_of_a_released_partition_are_stopped, KeeperFixture)
{
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(std::chrono::seconds(100)), RunEnd::Succeeded};
    };
    store(makeJob("job1", {2}));
    run(milliseconds(50));
    BOOST_REQUIRE(running.size() == 2U);
    keeper->setPartitions({}, generation + 1, now);
    flush();
    BOOST_TEST(running.empty());
}

// Guards against forgetting a job too early because its end was dated by a clock that is behind
// that of the present keeper: callers would be told that it never existed.
BOOST_FIXTURE_TEST_CASE(ended_job_is_known_for_the_retention_by_every_clock, KeeperFixture)
{
    takeOver(-std::chrono::seconds(2));
    run(milliseconds(20));
    store(makeJob("job1", {1}));
    run(milliseconds(300));
    const Time end = now;
    takeOver(std::chrono::seconds(2));
    run(end + KeeperOptions {}.jobRetention - now - milliseconds(100));
    BOOST_TEST((queryState("job1") == JobState::Completed));
    run(std::chrono::seconds(20));
    BOOST_TEST((queryState("job1") == std::nullopt));
}

// Replaces keepers at random times by some with other clocks, loses answers of the journal, and
// withholds outcomes of the pool for a while, with jobs of every kind. Guards against tasks that
// are repeated after a confirmed success, run twice at the same time, or start too early or after a
// cancel, and against lost jobs.
BOOST_AUTO_TEST_CASE(random_failures_neither_lose_nor_repeat_jobs)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            KeeperFixture simulation;
            Random random(seed);
            RandomJobs jobs(simulation, random);
            simulation.isAnswerDelivered = [&] { return random.unit() > 0.2; };
            for (int round = 0; round < 40; ++round) {
                jobs.store("job" + std::to_string(round));
                simulation.run(milliseconds(static_cast<int>(random.below(400)) + 10));
                simulation.withholdsOutcomes = random.unit() < 0.2;
                jobs.cancelSometimes();
                if (random.unit() < 0.15)
                    simulation.takeOver(jobs.randomClockError());
            }
            simulation.withholdsOutcomes = false;
            simulation.isAnswerDelivered = [] { return true; };
            simulation.run(std::chrono::seconds(20));
            jobs.cancelEndless();
            simulation.run(std::chrono::seconds(1));
            BOOST_TEST(jobs.check() > 10U);
        }
    }
}

// Guards against accepting jobs that cannot meet their objective. Jobs beyond the capacity must be
// refused immediately, so that the backlog stays short.
BOOST_FIXTURE_TEST_CASE(job_that_would_miss_its_objective_is_refused, KeeperFixture)
{
    makeTask = [](const std::string &) {
        return SimulatedTask {0, Time(std::chrono::seconds(100)), RunEnd::Succeeded};
    };
    freeMilliCores = 0;
    run(milliseconds(10));
    JobSpec job = makeJob("", {10});
    job.steps.front().demand.milliCores = 10'000;
    for (int i = 0; i < 100; ++i) {
        job.id = "job" + std::to_string(i);
        store(job);
    }
    // The pool does 100 core-seconds per second. A job takes 10 core-seconds, and its objective is
    // 0.8 s.
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) >= 6U);
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) <= 9U);
    BOOST_TEST(count(KeeperAnswer::Kind::Refused) + count(KeeperAnswer::Kind::Stored) == 100U);
    BOOST_TEST((answers.back().retryAfter >= std::chrono::seconds(1)));
}

// Guards against a wrong order of placement. The order is by priority, then by the latest start
// with which a job meets its objective.
BOOST_FIXTURE_TEST_CASE(urgent_jobs_are_placed_first, KeeperFixture)
{
    freeMilliCores = 0;
    run(milliseconds(10));
    JobSpec slow = makeJob("slow", {1});
    slow.steps.front().estimate = std::chrono::seconds(1);
    store(slow);
    store(makeJob("quick", {1}));
    keeper->onRequest(StoreJob {{"vm2", 1, 1},
                                makeJob("first", {1}),
                                {"queue", "work", 0, 3, 30, milliseconds(500)}},
                      now);
    flush();
    freeMilliCores = 1000;
    for (int i = 0; i < 4; ++i)
        run(milliseconds(100));
    BOOST_REQUIRE(batches.size() >= 3U);
    BOOST_TEST(batches[0].job == "quick");
    BOOST_TEST(batches[1].job == "slow");
    BOOST_TEST(batches[2].job == "first");
}

// Guards against records that cannot be decoded, and against accepting damaged records.
BOOST_AUTO_TEST_CASE(records_round_trip)
{
    JobSpec job = KeeperSimulation::makeJob("job1", {2, 1});
    job.repeatCount = 3;
    for (const JournalRecord &record : std::vector<JournalRecord> {
                 JobAccepted {5, 7, job, {"queue", "work", 2, 3, 1.6, milliseconds(60)}},
                 TaskEnded {6, {"job1", 1, 0, 1}, 4, RunEnd::Stopped, "half"},
                 JobCancelled {7, "job1"}, TasksRestarted {"job1", 1, 0, {0, 2}, 4097}}) {
        const std::string bytes = encodeRecord(record);
        const auto decoded = decodeRecord(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((decoded.value() == record));
        BOOST_TEST(!decodeRecord(bytes.substr(0, bytes.size() - 1)).has_value());
        BOOST_TEST(!decodeRecord(bytes + "x").has_value());
    }
    BOOST_TEST(!decodeRecord("").has_value());
}
