// A node runs jobs for callers on one VM. It connects the router, the pool and the group membership
// with the peers, and with backend servers and the store through ports that an adapter implements.
#pragma once

#include "lovage/keeper.h"
#include "lovage/net.h"
#include "lovage/routing.h"
#include "lovage/settings.h"
#include "lovage/telemetry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

struct NodeSettings
{
    std::string name;
    std::string dataCentre;
    Endpoint http;      // address at which callers submit jobs
    Endpoint readiness; // address of the readiness check for the load balancer
    Endpoint metrics;   // address at which metrics are served; with port 0 they are not served
    Endpoint peer;      // address for messages from peers, TCP and UDP
    // Address at which peers reach this VM, if address translation makes it differ from `peer`.
    std::optional<Endpoint> peerAdvertised;
    Endpoint store;
    std::vector<Endpoint> seeds; // addresses of the initial peers; may be out of date
    uint32_t cpuMilliCores = 1000;
    // Number of shards of backend servers in a data centre, and of partitions of the journal.
    uint32_t shardCount = 24;
    // Longest lease that backend servers grant.
    Duration lease = std::chrono::milliseconds(1000);
    // Maximum time that a backend server takes to stop a task.
    Duration stopTime = std::chrono::milliseconds(50);
    // Shortest lease of a member of a group in the store.
    Duration groupLease = std::chrono::milliseconds(1000);
    // Time after SIGTERM at which the process is killed.
    Duration stopLimit = std::chrono::seconds(6);
    // Stored jobs remain known for this time after they have ended.
    Duration jobRetention = std::chrono::seconds(120);
    // The store drops journal records that are older than this.
    Duration journalHistory = std::chrono::seconds(300);
    LogLevel logLevel = LogLevel::Info;

    auto operator<=>(const NodeSettings &) const = default;
};

using NodeSettingsResult = boost::outcome_v2::unchecked<NodeSettings, SettingsErrors>;

// Parses JSON with comments. Unknown and repeated keys are errors; all are reported.
NodeSettingsResult parseNodeSettings(std::string_view text);

// Sends orders to backend servers. Each call invokes its callback exactly once, on the node's
// thread.
class ServerPort
{
public:
    using OrderCallback = std::function<void(OrderResult, ServerReading)>;
    using PollCallback = std::function<void(PollReply)>;

    virtual ~ServerPort() = default;
    virtual void start(const OrderStart &order, OrderCallback done) = 0;
    virtual void stop(const OrderStop &order, OrderCallback done) = 0;
    virtual void poll(const OrderPoll &order, PollCallback done) = 0;
};

// A group in the store whose members share numbered partitions.
class GroupPort
{
public:
    virtual ~GroupPort() = default;
    virtual void join(const JoinGroup &request,
                      std::function<void(Result<GroupMembership>)> done) = 0;
    virtual void leave(std::function<void(Result<void>)> done) = 0;
};

// The journal of stored jobs. Each call except trim() and announce() invokes its callback exactly
// once, on the node's thread. Error Fenced means that the epoch is not the latest of the partition.
class JournalPort
{
public:
    virtual ~JournalPort() = default;
    // Passes the offset after the last record of the partition to the callback.
    virtual void open(uint32_t partition, uint64_t epoch,
                      std::function<void(Result<uint64_t>)> done) = 0;
    virtual void read(uint32_t partition, uint64_t from,
                      std::function<void(Result<JournalPage>)> done) = 0;
    // Passes the offset of the first appended record to the callback.
    virtual void append(const AppendRecords &records,
                        std::function<void(Result<uint64_t>)> done) = 0;
    virtual void trim(uint32_t partition, uint64_t before) = 0;
    // Announces to every VM that stored jobs exist; the VMs call Node::setStoredJobsExist().
    virtual void announce() = 0;
};

// Interfaces that an adapter implements. They must outlive the node.
struct NodePorts
{
    ServerPort &servers;
    GroupPort &holders; // group whose members share the backend servers of this data centre
    GroupPort &keepers; // group whose members share the partitions of the journal
    JournalPort &journal;
};

// Single-threaded: all calls and callbacks take place on thread 0 of the I/O threads.
class Node
{
public:
    using JobCallback = std::function<void(const JobAnswer &)>;
    // An error tells whether the job may have been stored or cancelled nevertheless.
    using StoredJobCallback = std::function<void(const Result<KeeperAnswer> &)>;

    static Result<std::unique_ptr<Node>> open(NodeSettings settings, IoThreads &threads,
                                              const NodePorts &ports, Metrics &metrics);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Starts to report to peers and to join the group.
    void start();

    // Ignores a version that is not newer than the one in force.
    void setConfiguration(Configuration configuration);
    void setServers(const std::vector<ServerInfo> &servers);
    void setPeers(const std::vector<VmInfo> &peers);

    // Runs a job for a caller that waits for the answer. Returns the number of the request.
    uint64_t submit(JobSpec job, const Queue &queue, Duration deadline, JobCallback respond);
    // Withdraws a request whose caller has closed its connection.
    void withdraw(uint64_t number);

    // Requests about stored jobs. Each is answered exactly once, within the deadline.
    void storeJob(JobSpec job, const Queue &queue, Duration deadline, StoredJobCallback respond);
    void queryJob(const std::string &job, Duration deadline, StoredJobCallback respond);
    void cancelJob(const std::string &job, Duration deadline, StoredJobCallback respond);
    // Number of stored jobs of the queue none of whose tasks has been started. The figure may be
    // some tenths of a second old.
    uint32_t pendingJobs(const std::string &queue) const;
    // Sets whether stored jobs exist according to the store. Unknown until the first call.
    void setStoredJobsExist(bool exist);

    // Whether this VM needs the list of the data centre's servers, because it holds shards or is
    // about to.
    bool needsServerList() const;
    bool isReady() const;
    const Configuration *configuration() const;
    const VmInfo &self() const;

    // Stops taking part in placement. Requests that still arrive are forwarded to other VMs.
    void drain();
    // Whether the node is draining, no request is open and nothing is held any more.
    bool isDrained() const;

private:
    class Implementation;
    explicit Node(std::unique_ptr<Implementation> implementation);
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lovage
