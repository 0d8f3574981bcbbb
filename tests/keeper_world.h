// A keeper with a simulated journal and one simulated pool. The journal keeps the rules of a real
// one: epochs, numbered appends that take effect once, answers that get lost.
#pragma once

#include "lovage/keeper.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace lovage::test {

using std::chrono::milliseconds;

class SimulatedJournal
{
public:
    struct Partition
    {
        uint64_t epoch = 0;
        uint64_t sequence = 0;
        uint64_t lastOffset = 0;
        uint64_t first = 0;
        std::vector<std::string> records;
    };

    std::map<uint32_t, Partition> partitions;
    bool isDown = false;

    Result<uint64_t> open(const OpenPartition &call)
    {
        Partition &partition = partitions[call.partition];
        if (isDown)
            return mayHaveRun(ErrorCode::Timeout, "down");
        if (call.epoch < partition.epoch)
            return notRun(ErrorCode::Fenced, "fenced");
        if (call.epoch > partition.epoch)
            partition.sequence = 0;
        partition.epoch = call.epoch;
        return partition.records.size();
    }
    Result<JournalPage> read(const ReadPartition &call)
    {
        constexpr size_t pageRecords = 3;
        Partition &partition = partitions[call.partition];
        if (isDown)
            return mayHaveRun(ErrorCode::Timeout, "down");
        JournalPage page {std::max(call.fromOffset, partition.first), partition.records.size(), {}};
        for (size_t i = page.firstOffset; i < partition.records.size(); ++i) {
            page.records.push_back(partition.records[i]);
            if (page.records.size() == pageRecords)
                break;
        }
        return page;
    }
    Result<uint64_t> append(const AppendRecords &call)
    {
        Partition &partition = partitions[call.partition];
        if (isDown)
            return mayHaveRun(ErrorCode::Timeout, "down");
        if (call.epoch < partition.epoch)
            return notRun(ErrorCode::Fenced, "fenced");
        if (call.sequence == partition.sequence)
            return partition.lastOffset;
        BOOST_REQUIRE(call.sequence == partition.sequence + 1);
        partition.sequence = call.sequence;
        partition.lastOffset = partition.records.size();
        for (const std::string &record : call.records)
            partition.records.push_back(record);
        return partition.lastOffset;
    }
};

struct SimulatedTask
{
    uint32_t run = 0;
    Time ends;
    RunEnd end = RunEnd::Succeeded;
    std::string checkpoint {};
};

class KeeperWorld
{
public:
    static constexpr uint32_t partitionCount = 2;

    Time now = fromUnixMillis(1'700'000'000'000);
    SimulatedJournal journal;
    VmTable vms {{}, {"vm1", "dc1", "10.0.0.1:1", 1}};
    std::unique_ptr<JobKeeper> keeper;
    std::vector<KeeperAnswer> answers;
    std::map<std::string, CallerRef> callers; // by job
    uint64_t generation = 0;
    uint64_t freeMilliCores = 100'000;
    // Whether the answer of a call to the journal gets back.
    std::function<bool()> isAnswered = [] { return true; };
    std::function<SimulatedTask(const std::string &task)> workOf = [](const std::string &) {
        return SimulatedTask {0, Time(milliseconds(100)), RunEnd::Succeeded};
    };

    std::map<std::string, SimulatedTask> running;
    std::vector<TaskOutcome> unconfirmed; // reported every 10 ms
    std::set<std::string> doneTasks;      // whose end was confirmed
    std::map<std::string, uint32_t> starts;
    std::map<std::string, uint32_t> lastRun;
    std::vector<TaskBatch> batches;
    bool losesBatches = false;    // on their way to the pool
    bool keepsOutcomes = false;   // the pool is out of reach
    uint64_t startsAfterDone = 0; // of a task whose end was acknowledged then or later
    uint64_t superseded = 0;      // ends that must not be acknowledged in the life of a lease
    uint64_t overlappingRuns = 0;

    // A VM becomes the keeper of all partitions. The pool hears of it and stops earlier runs.
    void takeOver()
    {
        keeper = std::make_unique<JobKeeper>(KeeperOptions {partitionCount}, vms);
        ++generation;
        std::vector<uint32_t> all;
        for (uint32_t partition = 0; partition < partitionCount; ++partition)
            all.push_back(partition);
        keeper->setLease(Time::max());
        keeper->setPartitions(all, generation, now);
        for (const auto &[task, run] : running)
            unconfirmed.push_back(
                    {task, run.run, TaskOutcome::Kind::Ended, RunEnd::Stopped, run.checkpoint});
        running.clear();
    }

    static JobSpec makeJob(const std::string &id, std::vector<uint32_t> counts)
    {
        JobSpec job;
        job.id = id;
        job.isStored = true;
        for (uint32_t i = 0; i < counts.size(); ++i) {
            Step step;
            step.count = counts[i];
            step.demand = {1000, 0, 0};
            step.estimate = milliseconds(100);
            if (i > 0)
                step.after = {i - 1};
            job.steps.push_back(step);
        }
        return job;
    }

    void store(const JobSpec &job, uint32_t attempts = 3)
    {
        callers[job.id] = {"vm2", 1, 100 + callers.size()};
        keeper->onRequest(StoreJob {callers.at(job.id),
                                    job,
                                    {"queue", "work", 0, attempts, 3, milliseconds(500)}},
                          now);
        flush();
    }
    void cancel(const std::string &job)
    {
        keeper->onRequest(CancelJob {{"vm2", 1, 2}, job}, now);
        flush();
    }
    std::optional<JobState> stateOf(const std::string &job)
    {
        const size_t before = answers.size();
        keeper->onRequest(QueryJob {{"vm2", 1, 3}, job}, now);
        flush();
        // A job whose last tasks run is answered a little later.
        for (int i = 0; i < 4 && answers.size() == before; ++i)
            run(milliseconds(10));
        if (answers.empty() || answers.back().kind != KeeperAnswer::Kind::State)
            return std::nullopt;
        return answers.back().state;
    }
    bool isStored(const std::string &job) const
    {
        return std::any_of(answers.begin(), answers.end(), [&](const KeeperAnswer &answer) {
            return answer.kind == KeeperAnswer::Kind::Stored && answer.caller == callers.at(job);
        });
    }
    size_t count(KeeperAnswer::Kind kind) const
    {
        size_t count = 0;
        for (const KeeperAnswer &answer : answers)
            count += answer.kind == kind ? 1 : 0;
        return count;
    }

    void run(Duration time)
    {
        const Time end = now + time;
        while (now < end) {
            now += milliseconds(10);
            advance();
            keeper->setOwnLoad({{"work", 4, freeMilliCores, 0, 100}});
            keeper->tick(now);
            flush();
        }
    }

    void flush()
    {
        for (auto actions = keeper->takeActions(now); !actions.empty();
             actions = keeper->takeActions(now)) {
            for (KeeperAction &action : actions)
                std::visit([this](auto &call) { carryOut(call); }, action);
        }
        keeper->takeLogEntries();
    }

private:
    void advance()
    {
        for (auto task = running.begin(); task != running.end();) {
            if (task->second.ends > now) {
                ++task;
                continue;
            }
            unconfirmed.push_back({task->first, task->second.run, TaskOutcome::Kind::Ended,
                                   task->second.end, task->second.checkpoint});
            task = running.erase(task);
        }
        if (keepsOutcomes)
            return;
        for (const TaskOutcome &outcome : std::vector<TaskOutcome>(unconfirmed)) {
            keeper->onOutcome("vm1", outcome, now);
            flush();
        }
    }

    void carryOut(const OpenPartition &call)
    {
        const auto result = journal.open(call);
        keeper->onOpened(call.partition, call.epoch, answered(result), now);
    }
    void carryOut(const ReadPartition &call)
    {
        keeper->onRead(call.partition, call.epoch, journal.read(call), now);
    }
    void carryOut(const AppendRecords &call)
    {
        const auto result = journal.append(call);
        keeper->onAppended(call.partition, call.epoch, answered(result), now);
    }
    void carryOut(const TrimPartition &call)
    {
        journal.partitions[call.partition].first = call.beforeOffset;
    }
    void carryOut(const KeeperAnswer &answer) { answers.push_back(answer); }
    void carryOut(const SendBatch &send)
    {
        if (losesBatches)
            return;
        batches.push_back(send.batch);
        for (const TaskStart &start : send.batch.tasks) {
            const std::string name = toString(TaskName {send.batch.job, send.batch.occurrence,
                                                        send.batch.stepNumber, start.index});
            if (lastRun.contains(name) && lastRun[name] >= start.run)
                continue; // a repetition
            startsAfterDone += doneTasks.contains(name) ? 1 : 0;
            overlappingRuns += running.contains(name) ? 1 : 0;
            ++starts[name];
            SimulatedTask task = workOf(name);
            task.run = start.run;
            task.ends = now + task.ends.time_since_epoch();
            if (task.checkpoint.empty())
                task.checkpoint = start.checkpoint;
            running[name] = task;
            lastRun[name] = start.run;
        }
    }
    void carryOut(const SendStopJob &send)
    {
        for (auto task = running.begin(); task != running.end();) {
            if (!task->first.starts_with(send.stop.job + ".")) {
                ++task;
                continue;
            }
            unconfirmed.push_back(
                    {task->first, task->second.run, TaskOutcome::Kind::Ended, RunEnd::Stopped, {}});
            task = running.erase(task);
        }
    }
    void carryOut(const SendConfirm &send)
    {
        std::erase_if(unconfirmed, [&](const TaskOutcome &outcome) {
            const bool isConfirmed =
                    outcome.task == send.confirm.task && outcome.run == send.confirm.run;
            superseded += isConfirmed && send.confirm.isSuperseded ? 1 : 0;
            if (isConfirmed && !send.confirm.isSuperseded && outcome.end == RunEnd::Succeeded
                && outcome.kind == TaskOutcome::Kind::Ended)
                noteDone(outcome);
            return isConfirmed;
        });
    }

    // An end counts for good, also for starts that came before it was acknowledged.
    void noteDone(const TaskOutcome &outcome)
    {
        doneTasks.insert(outcome.task);
        startsAfterDone += lastRun[outcome.task] > outcome.run ? 1 : 0;
    }

    Result<uint64_t> answered(const Result<uint64_t> &result) const
    {
        if (isAnswered())
            return result;
        return mayHaveRun(ErrorCode::Timeout, "no answer");
    }
};

} // namespace lovage::test
