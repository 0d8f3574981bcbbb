#include "peer_sockets.h"

#include "lovage/node.h"

namespace lovage {

namespace {

class SystemClock : public Clock
{
public:
    Time now() const override { return currentTime(); }
};

} // namespace

class Node::Implementation
{
public:
    Implementation(const NodeSettings &settings, IoThreads &threads, const NodePorts &ports,
                   Metrics &metrics)
        : threads_(threads), logic_(settings, ports, sockets_, clock_, metrics)
    { }

    Result<void> open(const Endpoint &endpoint, const NodeLimits &limits)
    {
        return sockets_.open(
                threads_, endpoint, limits,
                [this](std::string_view bytes) {
                    logic_.setInputHandledThrough(threads_.lag(0).handledThrough());
                    logic_.onPeerBytes(bytes);
                },
                [this](const FrameClient::Lost &lost) { logic_.onFramesLost(lost); });
    }

    void start()
    {
        logic_.start();
        scheduleTick();
    }

    NodeLogic &logic() { return logic_; }

private:
    void scheduleTick()
    {
        threads_.postAfter(0, logic_.tickInterval(), [this] {
            const ScopeGuard scheduleNext([this] { scheduleTick(); });
            logic_.setInputHandledThrough(threads_.lag(0).handledThrough());
            logic_.tick();
        });
    }

    IoThreads &threads_;
    SystemClock clock_;
    node::PeerSockets sockets_;
    NodeLogic logic_;
};

Node::Node(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{ }

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::open(NodeSettings settings, IoThreads &threads,
                                         const NodePorts &ports, Metrics &metrics)
{
    auto implementation = std::make_unique<Implementation>(settings, threads, ports, metrics);
    const Result<void> opened = implementation->open(settings.peer, settings.limits);
    if (!opened.has_value())
        return opened.error();
    return std::unique_ptr<Node>(new Node(std::move(implementation)));
}

void Node::start()
{
    implementation_->start();
}

void Node::setConfiguration(Configuration configuration)
{
    implementation_->logic().setConfiguration(std::move(configuration));
}

void Node::setEvacuations(Evacuations evacuations)
{
    implementation_->logic().setEvacuations(std::move(evacuations));
}

void Node::setServers(const std::vector<ServerInfo> &servers)
{
    implementation_->logic().setServers(servers);
}

void Node::setPeers(const std::vector<VmInfo> &peers)
{
    implementation_->logic().setPeers(peers);
}

uint64_t Node::submit(JobSpec job, const Queue &queue, const RequestTiming &timing,
                      JobCallback respond)
{
    return implementation_->logic().submit(std::move(job), queue, timing, std::move(respond));
}

void Node::withdraw(uint64_t number)
{
    implementation_->logic().withdraw(number);
}

void Node::storeJob(JobSpec job, const Queue &queue, Duration deadline, StoredJobCallback respond)
{
    implementation_->logic().storeJob(std::move(job), queue, deadline, std::move(respond));
}

void Node::queryJob(const std::string &job, Duration deadline, StoredJobCallback respond)
{
    implementation_->logic().queryJob(job, deadline, std::move(respond));
}

void Node::cancelJob(const std::string &job, Duration deadline, StoredJobCallback respond)
{
    implementation_->logic().cancelJob(job, deadline, std::move(respond));
}

uint32_t Node::pendingJobs(const std::string &queue) const
{
    return implementation_->logic().pendingJobs(queue);
}

void Node::setStoredJobsExist(bool exist)
{
    implementation_->logic().setStoredJobsExist(exist);
}

bool Node::needsServerList() const
{
    return implementation_->logic().needsServerList();
}

bool Node::isReady() const
{
    return implementation_->logic().isReady();
}

const Configuration *Node::configuration() const
{
    return implementation_->logic().configuration();
}

const VmInfo &Node::self() const
{
    return implementation_->logic().self();
}

void Node::drain()
{
    implementation_->logic().drain();
}

bool Node::isDrained() const
{
    return implementation_->logic().isDrained();
}

} // namespace lovage
