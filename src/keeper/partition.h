// A partition of the journal that this VM holds, with its jobs and the records being written.
#pragma once

#include "stored_job.h"

#include <memory>
#include <set>
#include <unordered_map>

namespace lovage {

class JobKeeper::Partition
{
public:
    // Confirms an outcome to the pool of a VM once its record is stored.
    struct Confirmation
    {
        std::string vm;
        ConfirmOutcome confirm;
    };
    using Reply = std::variant<KeeperAnswer, Confirmation, BatchDelivery>;

    enum class Stage {
        Opening, // the store may still accept writes of earlier keepers
        Reading, // this VM replays the records that are stored
        Serving, // the records are replayed and this VM accepts requests
        Lost,    // another keeper has opened the partition
    };

    // Order in which jobs are placed: by priority, then by the latest time at which they can start
    // and still meet their objective.
    struct PlacementKey
    {
        uint32_t priority = 0;
        int64_t latestStartMs = 0;
        std::string job;

        auto operator<=>(const PlacementKey &) const = default;
    };

    Partition(uint32_t number, uint64_t epoch, const KeeperOptions &options)
        : number_(number), epoch_(epoch), maxBytes_(options.maxPartitionBytes),
          maxKeeperBytes_(options.maxBytes)
    { }

    uint32_t number() const { return number_; }
    uint64_t epoch() const { return epoch_; }
    Stage stage() const { return stage_; }
    bool isServing() const { return stage_ == Stage::Serving; }
    // Whether the last append has failed. Nothing can be stored until its retry succeeds.
    bool isStalled() const { return isStalled_; }

    // Calls to the journal.
    void onOpened(const Result<uint64_t> &end, Time now);
    void onRead(const Result<JournalPage> &page, Duration takeoverDelay, Time now);
    void onAppended(const Result<uint64_t> &offset, Time now);
    void write(JournalRecord record, std::optional<Reply> reply);
    // Returns the next call to the journal that is due, if any.
    std::optional<KeeperAction> nextCall(Time now);
    // Returns the replies whose records have been stored.
    std::vector<Reply> takeReplies() { return std::exchange(replies_, {}); }

    // Jobs.
    keeper::StoredJob *find(const std::string &job);
    std::unordered_map<std::string, keeper::StoredJob> &jobs() { return jobs_; }
    bool isAcceptancePending(const std::string &job) const { return pendingJobs_.contains(job); }
    bool isCancelPending(const std::string &job) const { return pendingCancels_.contains(job); }
    // Memory of the jobs, with those whose acceptance is being written.
    size_t heldBytes() const { return heldBytes_; }
    // Memory that is left for jobs of this partition.
    size_t freeBytes(size_t otherBytes) const;
    // Time at which the memory of an ended job becomes free; nullopt if no job has ended.
    std::optional<Time> nextRelease() const { return nextRelease_; }
    // Updates the placement queue and the other sets of jobs after the state of a job has changed.
    void updateIndexes(const std::string &job, Time now);
    void scheduleWakeup(Time time, const std::string &job) { wakeups_.emplace(time, job); }
    std::set<PlacementKey> &placementQueue() { return placementQueue_; }
    size_t openJobCount() const { return openJobs_.size(); }
    // Returns the ids of the non-repeating jobs none of whose tasks has been started.
    const std::set<std::string> &unstartedJobs() const { return unstartedJobs_; }
    // Returns the ids of the closed jobs whose tasks may still be running.
    std::set<std::string> &stoppingJobs() { return stoppingJobs_; }
    Time earliestStart() const { return earliestStart_; }

    // Removes jobs that ended longer ago than the retention, selects the jobs whose records are
    // about to expire to be written anew, and runs the wakeups that are due. `otherBytes` is the
    // memory of the jobs of other partitions.
    void tick(const KeeperOptions &options, size_t otherBytes, Time now);

private:
    struct PendingRecord
    {
        JournalRecord record;
        std::optional<Reply> reply {};
        // Whether the record only repeats a part of the present state.
        bool isSnapshot = false;
        std::unique_ptr<keeper::MemoryCharge> charge {}; // of a job that is not accepted yet
    };

    std::optional<KeeperAction> nextTrim();
    void prependSnapshots();
    void onRecordWritten(PendingRecord &pending, uint64_t offset, Time now);
    void apply(const JournalRecord &record, uint64_t offset);
    void applyRecord(const JobAccepted &record, uint64_t offset);
    void applyRecord(const TaskEnded &record, uint64_t offset);
    void applyRecord(const JobCancelled &record, uint64_t offset);
    void applyRecord(const TasksRestarted &record, uint64_t offset);
    void beginServing(Duration takeoverDelay, Time now);
    void expire(const KeeperOptions &options, Time now);
    void runWakeups(size_t otherBytes, Time now);

    uint32_t number_;
    uint64_t epoch_;
    size_t maxBytes_;       // memory for the jobs of this partition
    size_t maxKeeperBytes_; // memory for the jobs of all partitions
    size_t heldBytes_ = 0;
    std::optional<Time> nextRelease_;
    Stage stage_ = Stage::Opening;
    bool isCallPending_ = false; // whether a call to the journal is awaiting its answer
    bool isStalled_ = false;
    Time nextCallAt_ {};
    Time earliestStart_ = Time::max();
    uint64_t nextReadOffset_ = 0;
    uint64_t readEndOffset_ = 0;
    uint64_t sequence_ = 0;
    std::vector<PendingRecord> unsentRecords_;
    std::vector<PendingRecord> inFlight_;
    std::set<std::string> pendingJobs_;    // ids of the jobs whose acceptance is being written
    std::set<std::string> pendingCancels_; // ids of the jobs whose cancellation is being written
    std::vector<Reply> replies_;
    std::vector<std::string> snapshotJobs_; // ids of the jobs whose state is to be written anew
    uint64_t trimOffset_ = 0;               // records before this offset are no longer needed
    uint64_t lastTrimOffset_ = 0;
    uint64_t endOffset_ = 0; // offset after the last record
    Time nextExpiry_ {};

    std::unordered_map<std::string, keeper::StoredJob> jobs_;
    std::set<PlacementKey> placementQueue_;
    std::set<std::string> stoppingJobs_;
    std::set<std::string> openJobs_;
    std::set<std::string> unstartedJobs_;
    std::multimap<Time, std::string> wakeups_;
};

} // namespace lovage
