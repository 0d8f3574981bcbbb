// Stored jobs: kept in a journal of the platform's store, so that they outlive any VM. Each
// partition of the journal has one keeper at a time, which decides what its jobs run next and has
// pools run it. No I/O.
#pragma once

#include "lovage/job.h"
#include "lovage/pool.h"
#include "lovage/routing.h"

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace lovage {

namespace keeper {
class StoredJob;
} // namespace keeper

// What is written to the journal. A job's state is the fold of its records; a record that is read
// twice changes nothing.
struct JobAccepted
{
    int64_t timestampMs = 0; // Unix time
    uint64_t epoch = 0;      // of the keeper
    JobSpec job;
    QueueParameters terms;

    auto operator<=>(const JobAccepted &) const = default;
};
struct TaskEnded
{
    int64_t timestampMs = 0;
    TaskName task;
    uint32_t run = 0;
    RunEnd end = RunEnd::Stopped;
    std::string checkpoint {}; // to go on from; of Stopped and the like

    auto operator<=>(const TaskEnded &) const = default;
};
struct JobCancelled
{
    int64_t timestampMs = 0;
    std::string job;

    auto operator<=>(const JobCancelled &) const = default;
};
using JournalRecord = std::variant<JobAccepted, TaskEnded, JobCancelled>;

std::string encodeRecord(const JournalRecord &record);
Result<JournalRecord> decodeRecord(std::string_view bytes);

// Calls to the journal; each is answered by one event.
struct OpenPartition
{
    uint32_t partition = 0;
    uint64_t epoch = 0; // writers with a lower one are refused from now on
};
struct ReadPartition
{
    uint32_t partition = 0;
    uint64_t epoch = 0;      // of the hold that reads; returned with the answer
    uint64_t fromOffset = 0; // offset
};
struct AppendRecords
{
    uint32_t partition = 0;
    uint64_t epoch = 0;
    uint64_t sequence = 0; // counts the appends of an epoch; a repeated one is not appended twice
    std::vector<std::string> records;
};
// Not answered.
struct TrimPartition
{
    uint32_t partition = 0;
    uint64_t beforeOffset = 0; // offset
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
    uint64_t firstOffset = 0; // offset of the first record here
    uint64_t endOffset = 0;   // offset after the last record of the partition
    std::vector<std::string> records;
};

struct KeeperOptions
{
    uint32_t partitions = 24;
    // A job that has ended is known for so long.
    Duration jobRetention = std::chrono::seconds(120);
    // The journal drops records that are older.
    Duration journalHistory = std::chrono::seconds(300);
    // Pools stop what an earlier keeper had started within this time; nothing is started before.
    Duration takeoverDelay = std::chrono::milliseconds(1500);
    // What a VM was running when it was lost has ended after this time, and the next holder of its
    // servers has reported the ends.
    Duration lostRunTimeout = std::chrono::milliseconds(2000);
};

// Keeps the jobs of the partitions that this VM holds. Single-threaded.
//
// Callers pass a tick at least every 50 ms, read the clock right before each event, and carry out
// the actions in order.
class JobKeeper
{
public:
    JobKeeper(KeeperOptions options, VmTable &vms);
    ~JobKeeper();
    JobKeeper(JobKeeper &&) = delete;
    JobKeeper &operator=(JobKeeper &&) = delete;

    // The partitions that the store has given to this VM, with the generation of the group.
    void setPartitions(const std::vector<uint32_t> &partitions, uint64_t generation, Time now);
    // Until then no other VM is given a partition of this one. Nothing is started afterwards.
    void setLease(Time until) { leaseUntil_ = until; }
    // The lease has ended and another keeper may have begun: what was started is stopped.
    void onLeaseLost(Time now);

    // The load of the pool on this VM.
    void setOwnLoad(std::vector<ServiceLoad> loads) { ownLoads_ = std::move(loads); }

    void onRequest(KeeperRequest request, Time now);
    void onOpened(uint32_t partition, uint64_t epoch, const Result<uint64_t> &end, Time now);
    void onRead(uint32_t partition, uint64_t epoch, const Result<JournalPage> &page, Time now);
    void onAppended(uint32_t partition, uint64_t epoch, const Result<uint64_t> &offset, Time now);
    // From the pool of a VM.
    void onOutcome(const std::string &vm, const TaskOutcome &outcome, Time now);
    void onBatchUnsent(const std::string &vm, const TaskBatch &batch, Time now);
    void onVmLost(const std::string &vm, Time now);
    void tick(Time now);

    std::vector<KeeperAction> takeActions(Time now);
    std::vector<RouterNote> takeNotes() { return std::exchange(notes_, {}); }

    std::vector<PartitionClaim> claims() const;
    // Jobs none of whose tasks has been started, by partition and queue.
    std::vector<QueueBacklog> backlog() const;
    bool hasOpenJobs() const;
    bool isIdle() const { return partitions_.empty(); }

private:
    class Partition;

    Partition *partitionOf(std::string_view job);
    void answer(const CallerRef &caller, KeeperAnswer::Kind kind, JobState state = {});
    void note(std::string event, const std::string &job, std::string details);

    void handle(StoreJob request, Time now);
    void handle(const QueryJob &request, Time now);
    void handle(const CancelJob &request, Time now);
    bool isAuthoritative(const Partition &partition, Time now) const;
    // Time until a new job of the service gets room; zero if there is room now.
    Duration expectedWait(const JobSpec &job, const std::string &service, Time now);

    // The pools with servers of each service, looked up once for one pass.
    using PoolsByService = std::map<std::string, std::vector<PoolView>>;

    void placeWaitingJobs(Time now);
    // Returns whether every task of the job that is ready was handed to a pool.
    bool placeJob(Partition &partition, const std::string &id, PoolsByService &pools, Time now);
    bool placeStep(Partition &partition, keeper::StoredJob &job, uint32_t occurrence, uint32_t step,
                   std::vector<PoolView> &pools, Time now);
    void sendBatch(Partition &partition, keeper::StoredJob &job, const TaskName &first,
                   const std::vector<uint32_t> &indexes, const std::string &vm, Time now);
    uint64_t nextEpoch(uint32_t partition, uint64_t generation);
    void stopClosedJobs(Partition &partition, Time now);

    // A query about a job whose last tasks run.
    struct DeferredQuery
    {
        QueryJob query;
        Time deadline;
    };
    void answerDeferredQueries(Time now);
    // A batch that was sent. Its message may be lost on a connection that goes silent, so it is
    // sent again as long as nothing is heard of its tasks; the pool knows those that it has.
    struct SentBatch
    {
        std::string vm;
        TaskBatch batch;
        Duration resendInterval;
    };
    void resendBatches(Time now);

    KeeperOptions options_;
    VmTable &vms_;
    Time leaseUntil_ {};
    std::vector<ServiceLoad> ownLoads_;
    std::vector<DeferredQuery> deferredQueries_;
    std::multimap<Time, SentBatch> sentBatches_; // by the time of the next repetition
    bool isPlacementDue_ = false;
    std::map<uint32_t, uint64_t> lastEpochs_; // by partition
    std::map<uint32_t, std::unique_ptr<Partition>> partitions_;
    std::vector<KeeperAction> actions_;
    std::vector<RouterNote> notes_;
};

} // namespace lovage
