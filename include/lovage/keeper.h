// Stored jobs are kept in a journal in the platform's store, so they survive the loss of any VM.
// Each partition of the journal has one keeper at a time, which schedules the tasks of its jobs and
// sends them to pools. This library does no I/O.
#pragma once

#include "lovage/job.h"
#include "lovage/pool.h"
#include "lovage/routing.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

namespace keeper {
class StoredJob;
} // namespace keeper

// Records of the journal. The state of a job results from applying its records in order. Applying a
// record again has no effect.
struct JobAccepted
{
    int64_t timestampMs = 0; // Unix time of the acceptance in milliseconds
    uint64_t epoch = 0;      // epoch of the keeper that accepted the job
    JobSpec job;
    QueueParameters queueParameters;

    auto operator<=>(const JobAccepted &) const = default;
};
struct TaskEnded
{
    int64_t timestampMs = 0;
    TaskName task;
    uint32_t run = 0;
    RunEnd end = RunEnd::Stopped;
    // Checkpoint from which the next run resumes; set for Stopped and similar ends.
    std::string checkpoint {};

    auto operator<=>(const TaskEnded &) const = default;
};
struct JobCancelled
{
    int64_t timestampMs = 0;
    std::string job;

    auto operator<=>(const JobCancelled &) const = default;
};
// Written before a keeper starts tasks of which an earlier run may have ended without a record.
// Later keepers then know that the earlier run must not count.
struct TasksRestarted
{
    std::string job;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    std::vector<uint32_t> indexes; // of the tasks in their step
    uint32_t run = 0;              // number of the new run

    auto operator<=>(const TasksRestarted &) const = default;
};
using JournalRecord = std::variant<JobAccepted, TaskEnded, JobCancelled, TasksRestarted>;

std::string encodeRecord(const JournalRecord &record);
Result<JournalRecord> decodeRecord(std::string_view bytes);

// Calls to the journal. Each except TrimPartition is answered by exactly one event.
struct OpenPartition
{
    uint32_t partition = 0;
    uint64_t epoch = 0; // epoch of the new keeper; the journal refuses writes with a lower epoch
};
struct ReadPartition
{
    uint32_t partition = 0;
    uint64_t epoch = 0; // epoch of the keeper that reads; returned with the answer
    uint64_t fromOffset = 0;
};
struct AppendRecords
{
    uint32_t partition = 0;
    uint64_t epoch = 0;
    // Number of the append within the epoch. A retry has the same number, so that the journal does
    // not append its records twice.
    uint64_t sequence = 0;
    std::vector<std::string> records;
};
// Deletes the records before an offset. The call gets no answer.
struct TrimPartition
{
    uint32_t partition = 0;
    uint64_t beforeOffset = 0;
};
struct SendBatch
{
    std::string vm;
    TaskBatch batch;
};
struct SendStopJob
{
    std::string vm;
    StopJob stop;
};
struct SendConfirm
{
    std::string vm;
    ConfirmOutcome confirm;
};
using KeeperAction = std::variant<OpenPartition, ReadPartition, AppendRecords, TrimPartition,
                                  SendBatch, SendStopJob, SendConfirm, KeeperAnswer>;

struct JournalPage
{
    uint64_t firstOffset = 0; // offset of the first record in the page
    uint64_t endOffset = 0;   // offset after the last record of the partition
    std::vector<std::string> records;
};

struct KeeperOptions
{
    uint32_t partitions = 24;
    // Minimum time for which a job remains known after it has ended.
    Duration jobRetention = std::chrono::seconds(120);
    // The journal drops records that are older than this.
    Duration journalHistory = std::chrono::seconds(300);
    // Pools stop the runs started by an earlier keeper within this time. A new keeper starts
    // nothing before it has passed.
    Duration takeoverDelay = std::chrono::milliseconds(1500);
    // Within this time after the loss of a VM, the runs that its pool had started end, and the next
    // holder of its servers reports how.
    Duration lostRunTimeout = std::chrono::milliseconds(2000);
    // Memory for the jobs of all partitions that this VM holds. A new job that does not fit is
    // refused. As much again is used for partitions that this VM takes over.
    size_t maxBytes = 12U << 20;
    // Memory for the jobs of one partition, which must fit into that of every VM.
    size_t maxPartitionBytes = 6U << 20;
};

// Schedules the stored jobs of the partitions that this VM holds. Single-threaded.
//
// Callers call tick() at least every 50 ms, read the clock immediately before each event, and
// execute the actions in order.
class JobKeeper
{
public:
    JobKeeper(KeeperOptions options, VmTable &vms);
    ~JobKeeper();
    JobKeeper(JobKeeper &&) = delete;
    JobKeeper &operator=(JobKeeper &&) = delete;

    // Sets the partitions that the store has assigned to this VM in a generation of the group.
    void setPartitions(const std::vector<uint32_t> &partitions, uint64_t generation, Time now);
    // Sets the time until which no other VM is assigned a partition of this one. The keeper starts
    // nothing after it.
    void setLease(Time until) { leaseUntil_ = until; }
    // Stops all runs and releases all partitions. Called when the lease has expired, because other
    // keepers may have taken over the partitions.
    void onLeaseLost(Time now);

    // Sets the load of the pool on this VM.
    void setOwnLoad(std::vector<ServiceLoad> loads) { ownLoads_ = std::move(loads); }

    void onRequest(KeeperRequest request, Time now);
    void onOpened(uint32_t partition, uint64_t epoch, const Result<uint64_t> &end, Time now);
    void onRead(uint32_t partition, uint64_t epoch, const Result<JournalPage> &page, Time now);
    void onAppended(uint32_t partition, uint64_t epoch, const Result<uint64_t> &offset, Time now);
    // Handles an outcome reported by the pool of a VM.
    void onOutcome(const std::string &vm, const TaskOutcome &outcome, Time now);
    void onBatchUnsent(const std::string &vm, const TaskBatch &batch, Time now);
    void onVmLost(const std::string &vm, Time now);
    void tick(Time now);

    std::vector<KeeperAction> takeActions(Time now);
    std::vector<RouterLogEntry> takeLogEntries() { return std::exchange(logEntries_, {}); }

    std::vector<PartitionClaim> claims() const;
    // Returns the number of jobs none of whose tasks has been started, for each partition and
    // queue.
    std::vector<QueueBacklog> backlog() const;
    bool hasOpenJobs() const;
    // Returns whether this VM holds no partition.
    bool isIdle() const { return partitions_.empty(); }

private:
    class Partition;

    Partition *partitionOf(std::string_view job);
    void answer(const CallerRef &caller, KeeperAnswer::Kind kind, JobState state = {});
    void addLogEntry(std::string event, const std::string &job, std::string details);

    void handle(StoreJob request, Time now);
    void handle(const QueryJob &request, Time now);
    void handle(const CancelJob &request, Time now);
    bool isAuthoritative(const Partition &partition, Time now) const;
    size_t heldBytes() const;
    bool mayRead(const Partition &partition) const;
    bool hasRoomFor(const JobSpec &job, const Partition &partition) const;
    // Estimates the time until tasks of a new job can start; zero if a pool has free cores now.
    Duration expectedWait(const JobSpec &job, const std::string &service, Time now);

    // The pools with servers of each service, looked up once per placement pass.
    using PoolsByService = std::map<std::string, std::vector<PoolView>>;

    void placeWaitingJobs(Time now);
    // Returns whether every ready task of the job was sent to a pool.
    bool placeJob(Partition &partition, const std::string &id, PoolsByService &pools, Time now);
    bool placeStep(Partition &partition, keeper::StoredJob &job, uint32_t occurrence, uint32_t step,
                   std::vector<PoolView> &pools, Time now);
    void startTasks(Partition &partition, keeper::StoredJob &job, const TaskName &first,
                    const std::vector<uint32_t> &indexes, const std::string &vm, Time now);
    uint64_t nextEpoch(uint32_t partition, uint64_t generation);
    void applyOutcome(Partition &partition, keeper::StoredJob &job, const TaskName &name,
                      const std::string &vm, const TaskOutcome &outcome, Time now);
    void stopClosedJobs(Partition &partition, Time now);
    void stopAllRuns(Partition &partition);
    void sendStops(const Partition &partition, const std::string &job,
                   const std::vector<std::string> &vms);

    // A query about a job whose last tasks are running. The answer is delayed until the job ends,
    // but not past the deadline.
    struct DeferredQuery
    {
        QueryJob query;
        Time deadline;
    };
    void answerDeferredQueries(Time now);
    // A batch for the pool of a VM. Its message may be lost on a connection that fails without an
    // error, so it is resent until the outcomes of its tasks arrive. The pool ignores tasks that it
    // already has.
    struct BatchDelivery
    {
        std::string vm;
        TaskBatch batch;
        Duration resendInterval;
    };
    void onRestartStored(Partition &partition, BatchDelivery delivery, Time now);
    void sendBatch(BatchDelivery delivery, Time now);
    void resumeRunsOfReturnedVms(Time now);
    void resumeRuns(const std::string &vm, uint64_t incarnation, Time now);
    void resendBatches(Time now);
    Time startByFor(const std::string &vm, Time now) const;

    KeeperOptions options_;
    VmTable &vms_;
    Time leaseUntil_ {};
    std::vector<ServiceLoad> ownLoads_;
    std::vector<DeferredQuery> deferredQueries_;
    // Batches that were sent, by the time of their next resend.
    std::multimap<Time, BatchDelivery> sentBatches_;
    std::set<std::string> lostVms_; // names of the VMs that have not reported since they were lost
    bool isPlacementDue_ = false;
    // Latest epoch with which this VM has held each partition, by number of the partition.
    std::map<uint32_t, uint64_t> lastEpochs_;
    // Partitions that this VM holds, by number.
    std::map<uint32_t, std::unique_ptr<Partition>> partitions_;
    std::vector<KeeperAction> actions_;
    std::vector<RouterLogEntry> logEntries_;
};

} // namespace lovage
