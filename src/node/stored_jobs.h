// The part of a node that handles stored jobs: requests of callers, the keeper, and the messages
// between keepers and pools.
#pragma once

#include "lovage/keeper.h"
#include "lovage/node.h"

#include <functional>
#include <map>

namespace lovage::node {

// Single-threaded, like the node. Callers must call flush() after each event and tick.
class StoredJobs
{
public:
    using Send = std::function<void(const std::string &vm, VmMessage message)>;

    StoredJobs(const NodeSettings &settings, const Clock &clock, VmTable &vms, Pool &pool,
               GroupPort &group, JournalPort &journal, Send send);

    // Sets whether any VM has received a request about a stored job. Until then, tick() and flush()
    // do nothing, so that a node without stored jobs has no costs.
    void setJobsExist(bool exist);
    bool jobsExist() const { return jobsExist_; }
    void request(KeeperRequest request, Duration deadline, Node::StoredJobCallback respond);
    // Sets whether this VM may be a keeper.
    void setEligible(bool isEligible) { isEligible_ = isEligible; }

    // Handles messages and events of peers.
    void onPeerMessage(KeeperRequestMessage message);
    void onPeerMessage(const KeeperAnswer &answer);
    void onPeerMessage(BatchMessage message);
    void onPeerMessage(const StopJobMessage &message);
    void onPeerMessage(const OutcomeMessage &message);
    void onPeerMessage(const ConfirmOutcome &message);
    void onReport(const VmReport &report);
    void onVmLost(const std::string &vm);
    void onBatchUnsent(const std::string &vm, const TaskBatch &batch);
    // Handles an outcome reported by the pool of this VM.
    void onOutcome(const TaskOutcome &outcome);

    void tick(Time now);
    void flush();
    // Adds the partitions and the backlog of this VM's keeper to a report.
    void addToReport(VmReport &report) const;
    uint32_t pendingJobs(const std::string &queue);
    bool isBusy() const { return !requests_.empty() || keeper_.hasOpenJobs(); }
    bool isMember() const { return membership_.isMember(); }

private:
    struct Request
    {
        KeeperRequest request;
        Node::StoredJobCallback respond;
        Time arrivedAt {};
        Time deadline {};
        Time nextSendAt {};
        // Number of sends of the request that no keeper has answered yet. An accepted send ends the
        // request; an answer that a keeper cannot serve it only reduces the number. Above 0, a
        // keeper may have accepted the request without this VM knowing it.
        uint32_t unansweredSends = 0;
    };

    // The backlog of a partition as reported by its latest keeper. Kept until the next keeper has
    // read the partition.
    struct PartitionBacklog
    {
        uint64_t epoch = 0; // epoch of the keeper
        // Number of stored jobs that wait for their first task to start, by name of the queue.
        std::map<std::string, uint32_t> jobs {};
    };

    void updateBacklog(const std::vector<PartitionClaim> &claims,
                       const std::vector<QueueBacklog> &backlog);
    std::optional<std::string> keeperOf(const std::string &job) const;
    void sendDueRequests(Time now);
    void finishRequest(uint64_t number, Result<KeeperAnswer> result);
    void checkLease(Time now);
    bool areAllVmsReachable(Time now) const;
    void updateMembership(Time now);
    void onJoined(const Result<GroupMembership> &reply, Time sentAt);
    void writeLogEntries();

    void execute(const OpenPartition &call);
    void execute(const ReadPartition &call);
    void execute(const AppendRecords &call);
    void execute(const TrimPartition &call);
    void execute(SendBatch send);
    void execute(SendStopJob send);
    void execute(const SendConfirm &send);
    void execute(const KeeperAnswer &answer);

    const Clock &clock_;
    VmTable &vms_;
    Pool &pool_;
    GroupPort &group_;
    JournalPort &journal_;
    Send send_;
    uint32_t partitionCount_;
    Duration groupLease_;
    ShardMembership membership_;
    JobKeeper keeper_;
    Time leaseUntil_ {};
    // Names of the VMs that this VM knew when it last renewed the lease.
    std::vector<std::string> vmsAtRenewal_;
    bool jobsExist_ = false;
    bool isAnnounced_ = false;
    bool isEligible_ = false;
    Time nextAnnounceAt_ {};
    uint64_t nextNumber_ = 1;
    std::map<uint64_t, Request> requests_;         // requests that are not answered yet, by number
    std::map<uint32_t, PartitionBacklog> backlog_; // backlog of each partition, by its number
};

} // namespace lovage::node
