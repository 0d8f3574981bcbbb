// A node runs jobs for callers on one VM. It connects the router, the pool and the group membership
// with the peers, and with backend servers and the store through ports that an adapter implements.
//
// NodeLogic makes the decisions of a node without I/O. Node runs it on sockets and I/O threads.
#pragma once

#include "lovage/contacts.h"
#include "lovage/keeper.h"
#include "lovage/net.h"
#include "lovage/routing.h"
#include "lovage/settings.h"
#include "lovage/telemetry.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace lovage {

namespace node {
class EvacuationWatch;
class HeldShards;
class JobMetrics;
class Peers;
class StoredJobs;
struct PeerHandlers;
} // namespace node

// Limits on what clients and other VMs may make a VM hold. The defaults fit the smallest VM, of
// 120 MB. The widest job that the product accepts has 1,900 tasks in 64 steps and a spec of
// 4,000 bytes, which is below 100 KB as JSON.
struct NodeLimits
{
    size_t memoryMb = 120; // memory of the VM
    size_t maxBodyBytes = 256U << 10;
    size_t maxHeaderBytes = 16U << 10; // also of each chunk line and of the trailers
    size_t maxRequestBytes = 1U << 20; // all parts of a request
    // Bytes of unfinished requests and answers on all connections; the same again for frames of
    // other VMs. 0 for an eighth of the memory.
    size_t maxHeldBytes = 0;
    // Memory for the stored jobs that this VM accepts; as much again is used for those that it
    // takes over. 0 for a tenth of the memory.
    size_t maxStoredJobBytes = 0;
    size_t maxConnections = 1024;
    size_t maxFrameBytes = 4U << 20;
    Duration idleTimeout = std::chrono::seconds(60);
    Duration readTimeout = std::chrono::seconds(10);
    Duration writeTimeout = std::chrono::seconds(10);

    // Frames that wait to be sent to other VMs.
    size_t queuedFrameBytes() const { return heldBytes() / 2; }
    // Unfinished responses of backend servers and of the store.
    size_t responseBytes() const { return heldBytes(); }
    // Values of the servers' topic in the store, and of each other topic.
    size_t serverValueBytes() const { return heldBytes() / 4; }
    size_t topicValueBytes() const { return heldBytes() / 8; }
    // Jobs of one partition, which must fit into the memory of every VM that may take it over.
    constexpr size_t partitionBytes() const { return storedJobBytes() / 2; }
    constexpr size_t storedJobBytes() const
    {
        return maxStoredJobBytes > 0 ? maxStoredJobBytes : (memoryMb << 20) / 10;
    }
    size_t heldBytes() const { return maxHeldBytes > 0 ? maxHeldBytes : (memoryMb << 20) / 8; }

    auto operator<=>(const NodeLimits &) const = default;
};

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
    // A caller that got no answer submits its job again after this time at the earliest, through
    // any VM.
    Duration resubmitDelay = std::chrono::milliseconds(1300);
    // Shortest lease of a member of a group in the store.
    Duration groupLease = std::chrono::milliseconds(1000);
    // Time after SIGTERM at which the process is killed.
    Duration stopLimit = std::chrono::seconds(6);
    // Stored jobs remain known for this time after they have ended.
    Duration jobRetention = std::chrono::seconds(120);
    // The store drops journal records that are older than this.
    Duration journalHistory = std::chrono::seconds(300);
    // Time after the store has acknowledged the request to evacuate a data centre from which no VM
    // in touch with the platform starts a task there. If it is set, nothing is started before it is
    // known which data centres are evacuated.
    std::optional<Duration> evacuationLimit;
    LogLevel logLevel = LogLevel::Info;
    NodeLimits limits;

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
    using OrderCallback = std::function<void(OrderResult, ServerClock)>;
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

// The source of the current time.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual Time now() const = 0;
};

// Sends messages to peers. Neither function calls back into the node before it returns.
class PeerPort
{
public:
    virtual ~PeerPort() = default;
    // Sends a datagram, which may be lost, duplicated or reordered.
    virtual void sendDatagram(const Endpoint &to, const std::string &bytes) = 0;
    // Sends a frame with the guarantees of FrameClient.
    virtual void sendFrame(const Endpoint &to, std::string frame) = 0;
};

// Interfaces that an adapter implements. They must outlive the node.
struct NodePorts
{
    ServerPort &servers;
    GroupPort &holders; // group whose members share the backend servers of this data centre
    GroupPort &keepers; // group whose members share the partitions of the journal
    JournalPort &journal;
};

struct RequestTiming
{
    Duration deadline {}; // time for which the caller waits, counted from its request
    Duration waited {};   // HttpRequest::waited
};

using JobCallback = std::function<void(const JobAnswer &)>;
// An error tells whether the job may have been stored or cancelled nevertheless.
using StoredJobCallback = std::function<void(const Result<KeeperAnswer> &)>;

// The decisions of a node. Performs no I/O: time, messages and events of peers pass through the
// given interfaces, which must outlive the object. Single-threaded. Functions that Node has as well
// are described there.
class NodeLogic
{
public:
    NodeLogic(NodeSettings settings, const NodePorts &ports, PeerPort &peers, const Clock &clock,
              Metrics &metrics);
    ~NodeLogic();
    NodeLogic(const NodeLogic &) = delete;
    NodeLogic &operator=(const NodeLogic &) = delete;

    void start();
    // Performs the periodic work. Callers call it first after start(), then repeatedly, each time
    // after tickInterval().
    void tick();
    Duration tickInterval() const;
    // Sets the time up to which the event loop has handled its input (EventLoopLag). Callers set it
    // before each tick and each message of a peer.
    void setInputHandledThrough(Time time);

    // Handles a datagram or a frame of a peer.
    void onPeerBytes(std::string_view bytes);
    // Handles the loss of the connection on which frames were sent to a peer.
    void onFramesLost(const FrameClient::Lost &lost);

    void setConfiguration(Configuration configuration);
    void setEvacuations(Evacuations evacuations);
    void setServers(const std::vector<ServerInfo> &servers);
    void setPeers(const std::vector<VmInfo> &peers);
    uint64_t submit(JobSpec job, const Queue &queue, const RequestTiming &timing,
                    JobCallback respond);
    void withdraw(uint64_t number);
    void storeJob(JobSpec job, const Queue &queue, Duration deadline, StoredJobCallback respond);
    void queryJob(const std::string &job, Duration deadline, StoredJobCallback respond);
    void cancelJob(const std::string &job, Duration deadline, StoredJobCallback respond);
    uint32_t pendingJobs(const std::string &queue) const;
    void setStoredJobsExist(bool exist);
    bool needsServerList() const;
    bool isReady() const;
    const Configuration *configuration() const;
    const VmInfo &self() const { return self_; }
    void drain();
    bool isDrained() const;

private:
    struct Caller
    {
        JobCallback respond;
        Time arrivedAt;
        size_t tasks = 0;
    };

    node::PeerHandlers peerHandlers();
    void onMessage(VmMessage message);
    void onOfferUnsent(const std::string &vm, const JobOffer &offer);
    void onBatchUnsent(const std::string &vm, const TaskBatch &batch);
    void onVmLost(const std::string &vm, std::string_view cause);
    template<class Message>
    void onPeerMessage(Message message);
    void onPeerMessage(VmReport report);
    void onPeerMessage(OfferMessage message);
    void onPeerMessage(AnswerMessage message);
    void onPeerMessage(const WithdrawMessage &message);
    void onPeerMessage(const AcceptedMessage &message);
    void onPeerMessage(const IntroductionMessage &message);
    void onPeerMessage(const ConfigurationRequest &message);
    void onPeerMessage(ConfigurationMessage message);
    void requestConfiguration(const std::string &vm);
    void watchEvacuation(Time now);

    Duration staleRequestLimit() const { return settings_.resubmitDelay / 2; }
    void refuseStaleRequest(const std::string &job, const RequestTiming &timing,
                            const JobCallback &respond);
    void request(KeeperRequest request, Duration deadline, StoredJobCallback respond);
    VmReport report() const;
    // State without the VMs that run jobs of this VM or whose jobs run here.
    ContactState localState(Time now) const;
    ContactState contactState() const;
    // Returns the number of backend servers of the data centre; 0 if this VM does not track them.
    uint32_t knownServers(Time now) const;
    bool shouldHold(Time now) const;
    bool wantsShards(Time now) const;
    void removeSilentVms(Time now);
    void detectPause(Time now);
    // Returns the time for which input waits; zero if the event loop is in time.
    Duration inputLag(Time now) const;

    void flush();
    void writeLogEntries();
    void execute(OrderStart order);
    void execute(OrderStop order);
    void execute(const OrderPoll &order);
    void execute(JobAnswer answer);
    void execute(const OfferAccepted &accepted);
    void execute(const TaskOutcome &outcome);
    void execute(SendOffer send);
    void execute(const SendWithdraw &send);
    void execute(const Respond &respond);

    const Clock &clock_;
    Time started_;
    VmInfo self_;
    ServerPort &servers_;
    NodeSettings settings_;
    VmTable vms_;
    Router router_;
    Pool pool_;
    HolderOptions holderOptions_;
    std::unique_ptr<node::Peers> peers_;
    std::unique_ptr<node::HeldShards> heldShards_;
    std::unique_ptr<node::StoredJobs> storedJobs_;
    Configuration configuration_;
    bool hasConfiguration_ = false;
    std::optional<Time> inputHandledThrough_;
    Time serversReadAt_ {}; // time at which the list of servers was last set
    std::unordered_map<uint64_t, Caller> callers_;
    uint64_t nextNumber_ = 1;
    bool isDraining_ = false;
    Time drainingSince_ {};
    bool isFlushing_ = false;
    Time lastTick_ {};       // time of the last tick, or of the last event after a pause
    Time previousTickAt_ {}; // time of the last tick
    Time nextConfigurationRequest_ {};
    std::unique_ptr<node::JobMetrics> metrics_;
    EvacuationState evacuations_;
    std::unique_ptr<node::EvacuationWatch> evacuationWatch_;
};

// Single-threaded: all calls and callbacks take place on thread 0 of the I/O threads.
class Node
{
public:
    using JobCallback = lovage::JobCallback;
    using StoredJobCallback = lovage::StoredJobCallback;

    static Result<std::unique_ptr<Node>> open(NodeSettings settings, IoThreads &threads,
                                              const NodePorts &ports, Metrics &metrics);
    ~Node();
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    // Starts to report to peers and to join the group.
    void start();

    // Ignores a version that is not newer than the one in force.
    void setConfiguration(Configuration configuration);
    // Ignores a state with a lower version than the one in force.
    void setEvacuations(Evacuations evacuations);
    void setServers(const std::vector<ServerInfo> &servers);
    void setPeers(const std::vector<VmInfo> &peers);

    // Runs a job for a caller that waits for the answer. Returns the number of the request.
    //
    // A request that may have waited for half of the resubmit delay, or past its deadline, is
    // refused: its caller may have left and submitted the job through another VM. The other half is
    // for the time until a close of the connection is noticed and the job is withdrawn.
    uint64_t submit(JobSpec job, const Queue &queue, const RequestTiming &timing,
                    JobCallback respond);
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
