// One VM that runs jobs for callers: connects the router, the pool and the group membership with
// peers and with the ports to servers and the store that an adapter provides.
#pragma once

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
    using Answer = std::function<void(OrderResult, ServerReading)>;
    using LookAnswer = std::function<void(LookReply)>;

    virtual ~ServerPort() = default;
    virtual void start(const OrderStart &order, Answer done) = 0;
    virtual void stop(const OrderStop &order, Answer done) = 0;
    virtual void look(const OrderLook &order, LookAnswer done) = 0;
};

// The store's group of holders of this data centre.
class GroupPort
{
public:
    virtual ~GroupPort() = default;
    virtual void join(const JoinGroup &request,
                      std::function<void(Result<GroupMembership>)> done) = 0;
    virtual void leave(std::function<void(Result<void>)> done) = 0;
};

// Single-threaded: everything is called, and calls back, on thread 0 of the I/O threads. Ports must
// outlive the node.
class Node
{
public:
    using Respond = std::function<void(const JobAnswer &)>;

    static Result<std::unique_ptr<Node>> open(NodeSettings settings, IoThreads &threads,
                                              ServerPort &servers, GroupPort &group,
                                              Metrics &metrics);
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
    uint64_t submit(JobSpec job, const Queue &queue, Duration deadline, Respond respond);
    // The caller has closed its connection.
    void withdraw(uint64_t number);

    // Whether the servers of the data centre must be followed, because this VM holds shards or is
    // about to.
    bool needsServers() const;
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
