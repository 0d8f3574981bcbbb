// One VM that runs jobs for callers: connects the router, the pool and the group membership with
// peers and with the ports to servers and the store that an adapter provides.
#pragma once

#include "lovage/keeper.h"
#include "lovage/net.h"
#include "lovage/routing.h"
#include "lovage/settings.h"
#include "lovage/telemetry.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lovage {

struct NodeSettings
{
    std::string name;
    std::string dataCentre;
    Endpoint http;      // callers
    Endpoint readiness; // load balancer
    Endpoint metrics;   // port 0: not served
    Endpoint peer;      // TCP and UDP
    Endpoint store;
    std::vector<Endpoint> seeds; // peers to begin with; may be stale
    uint32_t cpuMilliCores = 1000;
    uint32_t shardCount = 24;                              // what the store deals out in one group
    Duration lease = std::chrono::milliseconds(1000);      // longest one that servers grant
    Duration stopTime = std::chrono::milliseconds(50);     // a server stops a task within it
    Duration groupLease = std::chrono::milliseconds(1000); // shortest one of a group member
    Duration stopLimit = std::chrono::seconds(6); // the process is killed so long after SIGTERM
    Duration jobRetention = std::chrono::seconds(120);   // stored jobs are known so long after
                                                         // they have ended
    Duration journalHistory = std::chrono::seconds(300); // the store drops older records
    LogLevel logLevel = LogLevel::Info;

    auto operator<=>(const NodeSettings &) const = default;
};

using NodeSettingsResult = boost::outcome_v2::unchecked<NodeSettings, SettingsErrors>;

// Parses JSON with comments. Unknown and repeated keys are errors; all are reported.
NodeSettingsResult parseNodeSettings(std::string_view text);

// Carries orders to servers. Every call is answered by one call of its callback on the node's
// thread.
class ServerPort
{
public:
    using OrderCallback = std::function<void(OrderResult, ServerReading)>;
    using LookCallback = std::function<void(PollReply)>;

    virtual ~ServerPort() = default;
    virtual void start(const OrderStart &order, OrderCallback done) = 0;
    virtual void stop(const OrderStop &order, OrderCallback done) = 0;
    virtual void look(const OrderPoll &order, LookCallback done) = 0;
};

// A group of the store whose members share numbered partitions.
class GroupPort
{
public:
    virtual ~GroupPort() = default;
    virtual void join(const JoinGroup &request,
                      std::function<void(Result<GroupMembership>)> done) = 0;
    virtual void leave(std::function<void(Result<void>)> done) = 0;
};

// The journal of stored jobs. Every call but trim and announce is answered by one call of its
// callback on the node's thread. Error Fenced: the epoch is not the latest of the partition.
class JournalPort
{
public:
    virtual ~JournalPort() = default;
    // Returns the end of the partition.
    virtual void open(uint32_t partition, uint64_t epoch,
                      std::function<void(Result<uint64_t>)> done) = 0;
    virtual void read(uint32_t partition, uint64_t from,
                      std::function<void(Result<JournalPage>)> done) = 0;
    // Returns the offset of the first record.
    virtual void append(const AppendRecords &records,
                        std::function<void(Result<uint64_t>)> done) = 0;
    virtual void trim(uint32_t partition, uint64_t before) = 0;
    // Lets every VM know that stored jobs exist, by Node::setStoredJobsExist.
    virtual void announce() = 0;
};

// What an adapter provides. Ports must outlive the node.
struct NodePorts
{
    ServerPort &servers;
    GroupPort &holders; // of the servers of this data centre
    GroupPort &keepers; // of the journal's partitions
    JournalPort &journal;
};

// Single-threaded: everything is called, and calls back, on thread 0 of the I/O threads.
class Node
{
public:
    using JobCallback = std::function<void(const JobAnswer &)>;
    // An error says whether the job may have been stored, or cancelled.
    using StoredJobCallback = std::function<void(const Result<KeeperAnswer> &)>;

    static Result<std::unique_ptr<Node>> open(NodeSettings settings, IoThreads &threads,
                                              const NodePorts &ports, Metrics &metrics);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Begins to report to peers and to join the group.
    void start();

    // A version that is not newer than the one in force is ignored.
    void setConfiguration(Configuration configuration);
    void setServers(const std::vector<ServerInfo> &servers);
    void setPeers(const std::vector<VmInfo> &peers);

    // Runs a job for a caller that waits for the answer. Returns its number.
    uint64_t submit(JobSpec job, const Queue &queue, Duration deadline, JobCallback respond);
    // The caller has closed its connection.
    void withdraw(uint64_t number);

    // Stored jobs. Each call is answered once, at the latest after the deadline.
    void storeJob(JobSpec job, const Queue &queue, Duration deadline, StoredJobCallback respond);
    void queryJob(const std::string &job, Duration deadline, StoredJobCallback respond);
    void cancelJob(const std::string &job, Duration deadline, StoredJobCallback respond);
    // Jobs of the queue none of whose tasks has been started; some tenths of a second old.
    uint32_t pendingJobs(const std::string &queue) const;
    // What the store says of it. Not calling means that it is not known yet.
    void setStoredJobsExist(bool exist);

    // Whether the servers of the data centre must be followed, because this VM holds shards or is
    // about to.
    bool needsServerList() const;
    bool isReady() const;
    const Configuration *configuration() const;
    const VmInfo &self() const;

    // Takes no more part in placement; requests that still arrive are passed on.
    void drain();
    // No request is open and nothing is held.
    bool isDrained() const;

private:
    class Implementation;
    explicit Node(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lovage
