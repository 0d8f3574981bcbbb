// One partition of the journal that this VM holds: its jobs, and the records on their way.
#pragma once

#include "stored_job.h"

#include <set>
#include <unordered_map>

namespace lovage {

class JobKeeper::Partition
{
public:
    // What is to be sent when a record is stored.
    struct Confirmation
    {
        std::string vm;
        ConfirmOutcome confirm;
    };
    using Reply = std::variant<KeeperAnswer, Confirmation>;

    enum class Stage {
        Opening, // waits until the store refuses earlier keepers
        Reading, // of the records that are there
        Serving,
        Lost, // another keeper has opened it
    };

    // Order in which jobs get room: by priority, then by the latest time at which they can start
    // and still meet their objective.
    struct Turn
    {
        uint32_t priority = 0;
        int64_t latestStartMs = 0;
        std::string job;

        auto operator<=>(const Turn &) const = default;
    };

    Partition(uint32_t number, uint64_t epoch) : number_(number), epoch_(epoch) { }

    uint32_t number() const { return number_; }
    uint64_t epoch() const { return epoch_; }
    Stage stage() const { return stage_; }
    bool isServing() const { return stage_ == Stage::Serving; }
    // The last append has failed, and nothing can be stored until it is repeated.
    bool isStalled() const { return isStalled_; }

    // Journal.
    void onOpened(const Result<uint64_t> &end, Time now);
    void onRead(const Result<JournalPage> &page, Duration takeoverDelay, Time now);
    void onAppended(const Result<uint64_t> &offset, Time now);
    void write(JournalRecord record, std::optional<Reply> reply);
    // The next call to the journal that is due, if any.
    std::optional<KeeperAction> nextCall(Time now);
    // Replies that are due, because what they confirm is stored.
    std::vector<Reply> takeReplies() { return std::exchange(replies_, {}); }

    // Jobs.
    keeper::StoredJob *find(const std::string &job);
    std::unordered_map<std::string, keeper::StoredJob> &jobs() { return jobs_; }
    bool isPending(const std::string &job) const { return pendingJobs_.contains(job); }
    // Files the job under the jobs with a task to start, or takes it out.
    void refresh(const std::string &job, Time now);
    void wakeAt(Time time, const std::string &job) { wakeups_.emplace(time, job); }
    std::set<Turn> &waiting() { return waiting_; }
    size_t openCount() const { return open_.size(); }
    // Jobs without a time of their own none of whose tasks has been started.
    const std::set<std::string> &unbegun() const { return unbegun_; }
    // Closed jobs of which something may still run.
    std::set<std::string> &stopping() { return stopping_; }
    Time startsFrom() const { return startsFrom_; }

    // Drops jobs that ended long ago, writes those anew whose records will expire, and looks at
    // jobs whose time has come.
    void tick(const KeeperOptions &options, Time now);

private:
    struct Pending
    {
        JournalRecord record;
        std::optional<Reply> reply;
    };

    std::optional<KeeperAction> nextTrim();
    void apply(const JournalRecord &record, uint64_t offset);
    void applyTo(const JobAccepted &record, uint64_t offset);
    void applyTo(const TaskEnded &record, uint64_t offset);
    void applyTo(const JobCancelled &record, uint64_t offset);
    void beginServing(Duration takeoverDelay, Time now);
    void expire(const KeeperOptions &options, Time now);
    void wake(Time now);

    uint32_t number_;
    uint64_t epoch_;
    Stage stage_ = Stage::Opening;
    bool isCalling_ = false; // a call has not been answered
    bool isStalled_ = false;
    Time nextCallAt_ {};
    Time startsFrom_ = Time::max();
    uint64_t readNext_ = 0;
    uint64_t readEnd_ = 0;
    uint64_t sequence_ = 0;
    std::vector<Pending> queue_;
    std::vector<Pending> inFlight_;
    std::set<std::string> pendingJobs_; // whose acceptance is being written
    std::vector<Reply> replies_;
    uint64_t trimTo_ = 0; // records before this offset are not needed any more
    uint64_t trimmedTo_ = 0;
    uint64_t end_ = 0; // offset after the last record
    Time nextExpiry_ {};

    std::unordered_map<std::string, keeper::StoredJob> jobs_;
    std::set<Turn> waiting_;
    std::set<std::string> stopping_;
    std::set<std::string> open_;
    std::set<std::string> unbegun_;
    std::multimap<Time, std::string> wakeups_;
};

} // namespace lovage
