// The part of a node that concerns stored jobs: callers' requests, the keeper, and the way between
// keepers and pools.
#pragma once

#include "lovage/keeper.h"
#include "lovage/node.h"

#include <functional>
#include <map>

namespace lovage::node {

// Single-threaded, like the node. Callers call flush() after each event and tick.
class StoredJobs
{
public:
    using Send = std::function<void(const std::string &vm, VmMessage message)>;

    StoredJobs(const NodeSettings &settings, VmTable &vms, Pool &pool, GroupPort &group,
               JournalPort &journal, Send send);

    // Whether some VM has seen a request about a stored job. Before that nothing here costs
    // anything.
    void setExist(bool exist);
    bool exist() const { return isUsed_; }
    void request(KeeperRequest request, Duration deadline, Node::StoredJobCallback respond);
    // Whether this VM may be a keeper.
    void setEligible(bool isEligible) { isEligible_ = isEligible; }

    // From peers.
    void onPeer(KeeperRequestMessage message);
    void onPeer(const KeeperAnswer &answer);
    void onPeer(BatchMessage message);
    void onPeer(const StopJobMessage &message);
    void onPeer(const OutcomeMessage &message);
    void onPeer(const ConfirmOutcome &message);
    void onReport(const VmReport &report);
    void onVmLost(const std::string &vm);
    void onBatchUnsent(const std::string &vm, const TaskBatch &batch);
    // From the pool of this VM.
    void onOutcome(const TaskOutcome &outcome);

    void tick(Time now);
    void flush();
    // Adds what peers need to know.
    void describe(VmReport &report) const;
    uint32_t pendingJobs(const std::string &queue);
    bool isBusy() const { return !requests_.empty() || keeper_.hasOpenJobs(); }
    bool isMember() const { return membership_.isMember(); }

private:
    struct Request
    {
        KeeperRequest request;
        Node::StoredJobCallback respond;
        Time arrived {};
        Time deadline {};
        Time nextSendAt {};
        uint32_t unanswered = 0; // sends that the keeper has not denied
    };

    // The backlog of one partition as its latest keeper has reported it. Kept until the next one
    // has read the partition.
    struct PartitionBacklog
    {
        uint64_t epoch = 0;
        std::map<std::string, uint32_t> jobs {}; // by queue
    };

    void noteBacklog(const std::vector<PartitionClaim> &claims,
                     const std::vector<QueueBacklog> &backlog);
    std::optional<std::string> keeperOf(const std::string &job) const;
    void sendDue(Time now);
    void finish(uint64_t number, Result<KeeperAnswer> result);
    void checkLease(Time now);
    bool isEveryVmHeard(Time now) const;
    void join(Time now);
    void onJoined(const Result<GroupMembership> &reply, Time sentAt);
    void printNotes();

    void carryOut(const OpenPartition &call);
    void carryOut(const ReadPartition &call);
    void carryOut(const AppendRecords &call);
    void carryOut(const TrimPartition &call);
    void carryOut(SendBatch send);
    void carryOut(SendStopJob send);
    void carryOut(const SendConfirm &send);
    void carryOut(const KeeperAnswer &answer);

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
    std::vector<std::string> vmsAtLease_;
    bool isUsed_ = false;
    bool isAnnounced_ = false;
    bool isEligible_ = false;
    Time nextAnnounceAt_ {};
    uint64_t nextNumber_ = 1;
    std::map<uint64_t, Request> requests_;
    std::map<uint32_t, PartitionBacklog> backlog_; // by partition
};

} // namespace lovage::node
