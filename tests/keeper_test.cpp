// Stored jobs: accepted when they are in the journal, run once, and known after any keeper is gone.
#define BOOST_TEST_MODULE keeper
#include "keeper_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

constexpr Duration takeoverTime = milliseconds(1600); // KeeperOptions::takeoverDelay and some ticks

struct World : KeeperWorld
{
    World()
    {
        takeOver();
        run(milliseconds(20));
    }
};

} // namespace

// Guards against an acceptance that a crash can undo.
BOOST_FIXTURE_TEST_CASE(job_is_accepted_when_it_is_in_the_journal, World)
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

// Guards against callers that wait for a store that is known to be away.
BOOST_FIXTURE_TEST_CASE(job_is_denied_while_appends_fail, World)
{
    journal.isDown = true;
    store(makeJob("job1", {1}));
    const uint32_t partition = shardOf("job1", KeeperWorld::partitionCount);
    std::string other = "job2";
    while (shardOf(other, KeeperWorld::partitionCount) != partition)
        other += "x";
    store(makeJob(other, {1}));
    BOOST_TEST(count(KeeperAnswer::Kind::Unavailable) == 1U);
    journal.isDown = false;
    run(milliseconds(300));
    store(makeJob(other, {1}));
    run(milliseconds(300));
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) == 2U);
}

// Guards against a second job for an id that comes again, also while the first is being written.
BOOST_FIXTURE_TEST_CASE(same_id_is_one_job, World)
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
    BOOST_TEST((stateOf("job1") == JobState::Completed));
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) == 2U);
}

// Guards the order of steps.
BOOST_FIXTURE_TEST_CASE(step_starts_after_all_tasks_of_earlier_ones, World)
{
    store(makeJob("job1", {3, 2}));
    run(milliseconds(60));
    BOOST_TEST(starts.size() == 3U);
    BOOST_TEST((stateOf("job1") == JobState::Running));
    run(milliseconds(400));
    BOOST_TEST(starts.size() == 5U);
    BOOST_TEST((stateOf("job1") == JobState::Completed));
}

// Guards against a caller that asks right at the end, is told "running", and learns of the end only
// when it asks again.
BOOST_FIXTURE_TEST_CASE(query_at_the_end_waits_for_the_end, World)
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

// Guards against an end that the server may forget although nobody has stored it.
BOOST_FIXTURE_TEST_CASE(end_is_confirmed_when_it_is_in_the_journal, World)
{
    store(makeJob("job1", {1, 1}));
    run(milliseconds(30));
    journal.isDown = true;
    run(milliseconds(300));
    BOOST_TEST(doneTasks.empty());
    BOOST_TEST(starts.size() == 1U);
    journal.isDown = false;
    run(milliseconds(300));
    BOOST_TEST(doneTasks.size() == 2U);
}

// Guards against tasks that run twice, or runs with a used number, after the keeper was lost.
BOOST_FIXTURE_TEST_CASE(next_keeper_goes_on_where_the_last_one_ended, World)
{
    workOf = [](const std::string &task) {
        const bool isShort = task.ends_with(".0");
        return SimulatedTask {0, Time(milliseconds(isShort ? 50 : 100'000)), RunEnd::Succeeded};
    };
    store(makeJob("job1", {2}));
    run(milliseconds(200));
    const uint32_t firstRun = running.at("job1.0.0.1").run;
    takeOver();
    run(milliseconds(500));
    BOOST_TEST(running.empty()); // the earlier keeper's runs may still be ending
    run(takeoverTime);
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    BOOST_TEST(starts.at("job1.0.0.1") == 2U);
    BOOST_TEST(running.at("job1.0.0.1").run > firstRun);
    BOOST_TEST((stateOf("job1") == JobState::Running));
}

// Guards against work that is done anew although it was saved.
BOOST_FIXTURE_TEST_CASE(stopped_task_goes_on_from_its_checkpoint, World)
{
    workOf = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(100'000)), RunEnd::Succeeded, "half"};
    };
    store(makeJob("job1", {1}));
    run(milliseconds(100));
    takeOver();
    run(takeoverTime);
    BOOST_REQUIRE(batches.size() == 2U);
    BOOST_TEST(batches.back().tasks.front().checkpoint == "half");
}

// Guards the number of attempts, across keepers.
BOOST_FIXTURE_TEST_CASE(job_fails_when_a_task_has_used_its_attempts, World)
{
    workOf = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(20)), RunEnd::Failed};
    };
    store(makeJob("job1", {1}), 3);
    run(milliseconds(40));
    const auto stopped = static_cast<uint32_t>(running.size()); // not a failure
    takeOver();
    run(takeoverTime + milliseconds(500));
    BOOST_TEST(starts.at("job1.0.0.0") == 3U + stopped);
    BOOST_TEST((stateOf("job1") == JobState::Failed));
}

// Guards against tasks that go on, or start, after a cancellation was acknowledged.
BOOST_FIXTURE_TEST_CASE(cancelled_job_stops, World)
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
    BOOST_TEST((stateOf("job1") == JobState::Cancelled));
    cancel("none");
    BOOST_TEST(count(KeeperAnswer::Kind::Unknown) == 1U);
}

// Guards against a keeper that acts after its partitions may be somebody else's.
BOOST_FIXTURE_TEST_CASE(nothing_starts_without_a_lease, World)
{
    store(makeJob("job1", {1, 1}));
    run(milliseconds(50));
    keeper->setLease(now);
    run(milliseconds(300));
    BOOST_TEST(starts.size() == 1U);
    store(makeJob("job2", {1}));
    BOOST_TEST(count(KeeperAnswer::Kind::Unavailable) == 1U);
}

// Guards against an earlier keeper that confirms the end of a task it knows nothing of, so that the
// present one starts the task again.
BOOST_FIXTURE_TEST_CASE(no_outcome_is_confirmed_without_a_lease, World)
{
    unconfirmed.push_back({"job9.0.0.0", 1, TaskOutcome::Kind::Ended, RunEnd::Succeeded});
    keeper->setLease(now);
    run(milliseconds(100));
    BOOST_TEST(unconfirmed.size() == 1U);
    keeper->setLease(Time::max());
    run(milliseconds(100));
    BOOST_TEST(unconfirmed.empty());
}

// Guards against two keepers: the journal refuses the earlier one, which then starts nothing more.
BOOST_FIXTURE_TEST_CASE(fenced_keeper_lets_go, World)
{
    store(makeJob("job1", {1, 1}));
    for (auto &[number, partition] : journal.partitions)
        partition.epoch = UINT64_MAX;
    run(milliseconds(500));
    BOOST_TEST(starts.size() <= 1U);
    BOOST_TEST(keeper->claims().size() < KeeperWorld::partitionCount);
}

// Guards against appends that the journal takes for repetitions of those of an earlier hold.
BOOST_FIXTURE_TEST_CASE(partition_taken_again_gets_a_new_epoch, World)
{
    const auto before = keeper->claims();
    keeper->onLeaseLost(now);
    keeper->setPartitions({0, 1}, generation, now);
    BOOST_REQUIRE(keeper->claims().size() == before.size());
    for (size_t i = 0; i < before.size(); ++i)
        BOOST_TEST(keeper->claims()[i].epoch > before[i].epoch);
}

// Guards against tasks of a lost VM that start elsewhere while they may still run there.
BOOST_FIXTURE_TEST_CASE(task_of_a_lost_vm_waits_until_it_has_ended, World)
{
    workOf = [](const std::string &) {
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

// Guards against an end that is acknowledged although the task was started again: the pool that saw
// it was cut off from the present keeper meanwhile.
BOOST_FIXTURE_TEST_CASE(end_that_comes_too_late_is_superseded, World)
{
    store(makeJob("job1", {1}));
    keepsOutcomes = true;
    run(milliseconds(200));
    takeOver();
    run(takeoverTime + milliseconds(200));
    BOOST_TEST(starts.at("job1.0.0.0") == 2U);
    keepsOutcomes = false;
    run(milliseconds(200));
    BOOST_TEST(unconfirmed.empty());
    BOOST_TEST(superseded == 1U);
    BOOST_TEST(startsAfterDone == 0U);
    BOOST_TEST((stateOf("job1") == JobState::Completed));
}

// Guards against a task that waits forever because its batch was lost on a silent connection.
BOOST_FIXTURE_TEST_CASE(lost_batch_is_sent_again, World)
{
    losesBatches = true;
    store(makeJob("job1", {2}));
    run(milliseconds(100));
    BOOST_TEST(starts.empty());
    losesBatches = false;
    run(milliseconds(1200));
    // A process of the pool's VM that has started since must not answer for the last one.
    BOOST_TEST(batches.front().poolIncarnation == 1U);
    BOOST_TEST(starts.size() == 2U);
    BOOST_TEST((stateOf("job1") == JobState::Completed));
}

// Guards against work without an end that is not started again, and keeps its job open.
BOOST_FIXTURE_TEST_CASE(endless_task_is_started_again, World)
{
    JobSpec job = makeJob("job1", {1});
    job.steps.front().isEndless = true;
    store(job, 1);
    run(std::chrono::seconds(1));
    BOOST_TEST(starts.at("job1.0.0.0") >= 4U);
    BOOST_TEST((stateOf("job1") == JobState::Running));
}

// Guards gangs: whole or not at all, with one run number, and one end for all.
BOOST_FIXTURE_TEST_CASE(gang_starts_together_and_ends_together, World)
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
    workOf = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(10)), RunEnd::Succeeded};
    };
    // One member's end is enough.
    running.erase("job1.0.0.1");
    lastRun["job1.0.1.0"] = 0;
    run(milliseconds(500));
    BOOST_TEST((stateOf("job1") == JobState::Completed));
}

// Guards the times of repetitions.
BOOST_FIXTURE_TEST_CASE(repetitions_start_when_they_are_due, World)
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
    BOOST_TEST((stateOf("job1") == JobState::Running));
    takeOver();
    run(std::chrono::seconds(3));
    BOOST_TEST(starts.size() == 3U);
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    BOOST_TEST((stateOf("job1") == JobState::Completed));
}

// Guards against jobs that outlast the records which give their state, and against a journal that
// only grows.
BOOST_FIXTURE_TEST_CASE(state_outlives_old_records, World)
{
    workOf = [](const std::string &task) {
        const bool isShort = task.ends_with(".0");
        return SimulatedTask {0, Time(milliseconds(isShort ? 50 : 10'000'000)), RunEnd::Succeeded};
    };
    store(makeJob("job1", {2}));
    run(std::chrono::seconds(200));
    for (auto &[number, partition] : journal.partitions) {
        // The store drops what is older than its history.
        const size_t old = std::min<size_t>(2, partition.records.size());
        partition.first = partition.records.size() > 2 ? old : 0;
    }
    takeOver();
    run(takeoverTime);
    BOOST_TEST((stateOf("job1") == JobState::Running));
    BOOST_TEST(starts.at("job1.0.0.0") == 1U);
    BOOST_TEST(starts.at("job1.0.0.1") == 2U);
}

// Keepers that are lost at any moment, answers of the journal that get lost, and a pool that is out
// of reach for a while. Guards against tasks that are done twice or run twice at a time, and
// against jobs that are lost.
BOOST_AUTO_TEST_CASE(random_failures_lose_and_repeat_nothing)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            World world;
            Random random(seed);
            world.isAnswered = [&] { return random.unit() > 0.2; };
            world.workOf = [&](const std::string &) {
                return SimulatedTask {0,
                                      Time(milliseconds(20 + static_cast<int>(random.below(300)))),
                                      random.unit() < 0.1 ? RunEnd::Failed : RunEnd::Succeeded};
            };
            for (int round = 0; round < 40; ++round) {
                const std::string id = "job" + std::to_string(round);
                world.store(KeeperWorld::makeJob(id,
                                                 {1 + static_cast<uint32_t>(random.below(4)),
                                                  1 + static_cast<uint32_t>(random.below(3))}),
                            100);
                world.run(milliseconds(static_cast<int>(random.below(400)) + 10));
                world.keepsOutcomes = random.unit() < 0.2;
                if (random.unit() < 0.15)
                    world.takeOver();
            }
            world.keepsOutcomes = false;
            world.isAnswered = [] { return true; };
            world.run(std::chrono::seconds(20));
            size_t stored = 0;
            for (const auto &[id, caller] : world.callers) {
                if (!world.isStored(id))
                    continue;
                ++stored;
                BOOST_TEST((world.stateOf(id) == JobState::Completed), id);
            }
            BOOST_TEST(stored > 10U);
            BOOST_TEST(world.startsAfterDone == 0U);
            BOOST_TEST(world.overlappingRuns == 0U);
            BOOST_TEST(world.unconfirmed.empty());
        }
    }
}

// Guards against jobs that are accepted although there is no room for them in time: what is beyond
// the room is refused at once, and the backlog stays short.
BOOST_FIXTURE_TEST_CASE(backlog_beyond_the_objective_is_refused, World)
{
    workOf = [](const std::string &) {
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
    // 100 core-seconds a second; a job has 10 of them, and its objective is 0.8 s.
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) >= 6U);
    BOOST_TEST(count(KeeperAnswer::Kind::Stored) <= 9U);
    BOOST_TEST(count(KeeperAnswer::Kind::Refused) + count(KeeperAnswer::Kind::Stored) == 100U);
    BOOST_TEST((answers.back().retryAfter >= std::chrono::seconds(1)));
}

// Guards the order in which jobs get room: by priority, then by what can still be in time.
BOOST_FIXTURE_TEST_CASE(urgent_jobs_get_room_first, World)
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

// Guards the journal against records that cannot be read.
BOOST_AUTO_TEST_CASE(records_round_trip)
{
    JobSpec job = KeeperWorld::makeJob("job1", {2, 1});
    job.repeatCount = 3;
    for (const JournalRecord &record : std::vector<JournalRecord> {
                 JobAccepted {5, 7, job, {"queue", "work", 2, 3, 1.6, milliseconds(60)}},
                 TaskEnded {6, {"job1", 1, 0, 1}, 4, RunEnd::Stopped, "half"},
                 JobCancelled {7, "job1"}}) {
        const std::string bytes = encodeRecord(record);
        const auto decoded = decodeRecord(bytes);
        BOOST_REQUIRE(decoded.has_value());
        BOOST_TEST((decoded.value() == record));
        BOOST_TEST(!decodeRecord(bytes.substr(0, bytes.size() - 1)).has_value());
        BOOST_TEST(!decodeRecord(bytes + "x").has_value());
    }
    BOOST_TEST(!decodeRecord("").has_value());
}
