#include "held_shards.h"
#include "job_metrics.h"
#include "peers.h"
#include "stored_jobs.h"

#include "lovage/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <unordered_map>

namespace lovage {

namespace {

// After a start, jobs wait for pools to become known for this time. Pools are reported once their
// holders have settled and have read the list of servers.
constexpr Duration startupPoolWait = std::chrono::milliseconds(1000);
// Retry-after time of a job that is refused while draining. Another VM can take the job
// immediately.
constexpr Duration drainingRetryAfter = std::chrono::seconds(1);
constexpr Duration busyTickInterval = std::chrono::milliseconds(10);
constexpr Duration idleTickInterval = std::chrono::milliseconds(50);
// A longer gap between two ticks means that the process was paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(500);
// Minimum interval of configuration requests to peers. A new version usually arrives from the store
// first.
constexpr Duration configurationRequestInterval = std::chrono::milliseconds(200);
// A VM that knows of no pool reports that it is ready after this time nevertheless, because callers
// get its refusals faster than they would get a timeout.
constexpr Duration readyWithoutPoolAfter = std::chrono::seconds(3);

PoolOptions poolOptions(const NodeSettings &settings)
{
    PoolOptions options;
    options.shardCount = settings.shardCount;
    options.lease = settings.lease;
    options.stopTime = settings.stopTime;
    options.pollWait = settings.lease / 4;
    return options;
}

VmInfo vmInfo(const NodeSettings &settings, Time now)
{
    return {settings.name, settings.dataCentre,
            toString(settings.peerAdvertised.value_or(settings.peer)),
            static_cast<uint64_t>(now.time_since_epoch().count()), settings.cpuMilliCores};
}

} // namespace

class Node::Implementation
{
public:
    Implementation(const NodeSettings &settings, IoThreads &threads, const NodePorts &ports,
                   Metrics &metrics)
        : started_(currentTime()), self_(vmInfo(settings, started_)), threads_(threads),
          servers_(ports.servers), settings_(settings), vms_({}, self_), router_({}, vms_),
          pool_(poolOptions(settings)), holderOptions_(node::holderOptions(settings)),
          heldShards_(holderOptions_, started_, ports.holders, pool_, [this] { flush(); }),
          storedJobs_(settings, vms_, pool_, ports.keepers, ports.journal,
                      [this](const std::string &vm, const VmMessage &message) {
                          peers_->send(vm, message);
                      }),
          metrics_(metrics)
    { }

    Result<void> open()
    {
        auto peers = node::Peers::open(settings_, holderOptions_, threads_, vms_, *this);
        if (!peers.has_value())
            return peers.error();
        peers_ = std::move(peers.value());
        return boost::outcome_v2::success();
    }

    void start()
    {
        router_.waitForPoolsUntil(started_ + startupPoolWait);
        logEvent(LogLevel::Info, "started",
                 {{"vm", self_.name},
                  {"data_centre", self_.dataCentre},
                  {"incarnation", self_.incarnation}});
        lastTick_ = currentTime();
        scheduleTick();
    }

    // Handlers of events from peers, called by Peers.
    void onMessage(VmMessage message)
    {
        detectPause(currentTime());
        std::visit([this](auto &alternative) { onPeerMessage(std::move(alternative)); }, message);
        flush();
    }
    void onOfferUnsent(const std::string &vm, const JobOffer &offer)
    {
        vms_.markUnreachable(vm, currentTime());
        router_.onOfferUnsent(vm, offer.ticket, currentTime());
        flush();
    }
    void onVmLost(const std::string &vm, std::string_view cause)
    {
        logEvent(LogLevel::Warning, "vm-lost", {{"vm", vm}, {"cause", cause}});
        vms_.remove(vm, currentTime());
        router_.onVmLost(vm, currentTime());
        pool_.withdrawAll(vm, 0, currentTime());
        storedJobs_.onVmLost(vm);
        flush();
    }
    void onBatchUnsent(const std::string &vm, const TaskBatch &batch)
    {
        vms_.markUnreachable(vm, currentTime());
        storedJobs_.onBatchUnsent(vm, batch);
        flush();
    }

    void request(KeeperRequest request, Duration deadline, Node::StoredJobCallback respond)
    {
        storedJobs_.request(std::move(request), deadline, std::move(respond));
        flush();
    }
    node::StoredJobs &storedJobs() { return storedJobs_; }

    uint64_t submit(JobSpec job, const Queue &queue, Duration deadline, JobCallback respond)
    {
        metrics_.recordSubmitted();
        if (isDraining_ && currentTime() + deadline > drainingSince_ + settings_.stopLimit) {
            // The job might not be answered before this process is killed.
            logEvent(LogLevel::Info, "job-refused", {{"job", job.id}, {"cause", "draining"}});
            respond({{}, JobResult::Refused, "draining", drainingRetryAfter});
            return 0;
        }
        const uint64_t number = nextNumber_++;
        JobOffer offer;
        offer.stretchFactor = queue.stretchFactor;
        offer.objectiveSlack = queue.objectiveSlack;
        offer.deadline = deadline;
        offer.queue = queue.name;
        offer.service = queue.service;
        offer.priority = queue.priority;
        offer.attempts = queue.attempts;
        offer.job = std::move(job);
        callers_.emplace(number, Caller {std::move(respond), currentTime(), taskCount(offer.job)});
        router_.setOwnLoad(pool_.load(currentTime()));
        router_.submit(number, std::move(offer), currentTime());
        flush();
        return number;
    }

    void withdraw(uint64_t number)
    {
        callers_.erase(number);
        router_.withdraw(number, currentTime());
        flush();
    }

    VmReport report() const
    {
        VmReport report;
        report.vm = self_;
        report.isHolder = heldShards_.isMember();
        report.isDraining = isDraining_;
        report.configurationVersion = configuration_.version;
        report.knownServers = static_cast<uint32_t>(pool_.knownServerCount());
        report.loads = pool_.load(currentTime());
        report.lostVms = vms_.recentlyLost(currentTime());
        storedJobs_.addToReport(report);
        return report;
    }

    // State without the VMs that run jobs of this VM or whose jobs run here.
    ContactState localState() const
    {
        ContactState state;
        state.isHolder = heldShards_.isMember();
        state.isDraining = isDraining_;
        state.knownServers = static_cast<uint32_t>(pool_.knownServerCount());
        return state;
    }
    bool shouldHold(Time now) const
    {
        return peers_->contacts().shouldHoldShards(localState(), now);
    }

    ContactState contactState() const
    {
        ContactState state = localState();
        state.offeredVms = router_.offeredVms();
        state.servedVms = pool_.servedVms();
        state.needsAllVms = storedJobs_.jobsExist();
        return state;
    }

    void setConfiguration(Configuration configuration)
    {
        if (hasConfiguration_ && configuration.version <= configuration_.version)
            return;
        logEvent(LogLevel::Info, "configuration-in-force",
                 {{"version", configuration.version},
                  {"replaces", configuration_.version},
                  {"queues", configuration.queues.size()}});
        configuration_ = std::move(configuration);
        hasConfiguration_ = true;
    }

    void setServers(const std::vector<ServerInfo> &servers)
    {
        std::vector<ServerInfo> own;
        for (const ServerInfo &server : servers) {
            if (server.dataCentre == self_.dataCentre)
                own.push_back(server);
        }
        pool_.setServers(own, currentTime());
        flush();
    }

    bool needsServerList() const { return heldShards_.isMember() || shouldHold(currentTime()); }

    bool isReady() const
    {
        if (isDraining_ || !hasConfiguration_)
            return false;
        const bool hasPool = pool_.serverCount() > 0
                || std::any_of(vms_.rows().begin(), vms_.rows().end(), [](const auto &entry) {
                                 return !entry.second.report.loads.empty();
                             });
        return hasPool || currentTime() > started_ + readyWithoutPoolAfter;
    }

    void drain()
    {
        if (isDraining_)
            return;
        isDraining_ = true;
        drainingSince_ = currentTime();
        pool_.drain();
        logEvent(LogLevel::Info, "draining", {{"open_requests", router_.openCount()}});
        peers_->sendReportNow(contactState(), report(), currentTime());
    }

    bool isDrained() const
    {
        return isDraining_ && router_.openCount() == 0 && pool_.isIdle() && !heldShards_.isMember()
                && !storedJobs_.isMember();
    }

    const Configuration *configuration() const
    {
        return hasConfiguration_ ? &configuration_ : nullptr;
    }

    node::Peers &peers() { return *peers_; }
    const VmInfo &self() const { return self_; }

private:
    struct Caller
    {
        JobCallback respond;
        Time arrivedAt;
        size_t tasks = 0;
    };

    void onPeerMessage(VmReport report)
    {
        const std::string vm = report.vm.name;
        const VmInfo info = report.vm;
        const uint64_t incarnation = report.vm.incarnation;
        const VmTable::Row *known = vms_.find(vm);
        const bool isNewFollower = report.isFollowing && !(known && known->report.isFollowing);
        if (report.configurationVersion > configuration_.version)
            requestConfiguration(vm);
        if (std::find(report.lostVms.begin(), report.lostVms.end(), self_.name)
            != report.lostVms.end()) {
            // The sender does not receive this VM's reports and has given up the jobs it offered.
            pool_.withdrawAll(vm, 0, currentTime());
        }
        storedJobs_.onReport(report);
        const auto result = vms_.addReport(std::move(report), currentTime());
        if (result == VmTable::ReportResult::New || result == VmTable::ReportResult::Restarted) {
            logEvent(LogLevel::Info, "vm-heard", {{"vm", vm}, {"incarnation", incarnation}});
            peers_->addContacts({info});
        }
        if (isNewFollower || result == VmTable::ReportResult::Restarted)
            peers_->sendIntroduction(info);
        if (result != VmTable::ReportResult::Restarted)
            return;
        router_.onVmLost(vm, currentTime());
        pool_.withdrawAll(vm, incarnation, currentTime());
        storedJobs_.onVmLost(vm);
    }
    template<class Message>
    void onPeerMessage(Message message)
    {
        storedJobs_.onPeerMessage(std::move(message));
    }
    void onPeerMessage(OfferMessage message)
    {
        pool_.offer(std::move(message.offer), currentTime());
    }
    void onPeerMessage(AnswerMessage message)
    {
        vms_.updateLoads(message.vm, std::move(message.loads));
        router_.onAnswer(message.vm, std::move(message.answer), currentTime());
    }
    void onPeerMessage(const WithdrawMessage &message)
    {
        pool_.withdraw(message.ticket, currentTime());
    }
    void onPeerMessage(const IntroductionMessage &message) { peers_->addContacts(message.vms); }

    void onPeerMessage(const ConfigurationRequest &message)
    {
        if (hasConfiguration_)
            peers_->send(message.vm, ConfigurationMessage {configuration_});
    }
    void onPeerMessage(ConfigurationMessage message)
    {
        setConfiguration(std::move(message.configuration));
    }

    void requestConfiguration(const std::string &vm)
    {
        const Time now = currentTime();
        if (now < nextConfigurationRequest_ || !vms_.find(vm))
            return;
        nextConfigurationRequest_ = now + configurationRequestInterval;
        peers_->send(vm, ConfigurationRequest {self_.name});
    }

    void scheduleTick()
    {
        const bool isBusy = router_.openCount() > 0 || !pool_.isIdle() || storedJobs_.isBusy();
        threads_.postAfter(0, isBusy ? busyTickInterval : idleTickInterval, [this] { onTick(); });
    }

    void onTick()
    {
        const ScopeGuard rescheduleTick([this] { scheduleTick(); });
        const Time now = currentTime();
        detectPause(now);
        lastTick_ = now;
        removeSilentVms(now);
        peers_->tick(now);
        pool_.tick(now);
        router_.tick(now);
        heldShards_.sendDueRequest(wantsShards(now), now);
        storedJobs_.setEligible(!isDraining_ && storedJobs_.jobsExist() && heldShards_.isMember());
        storedJobs_.tick(now);
        flush();
        peers_->sendReports([this] { return contactState(); }, [this] { return report(); }, now);
    }

    void removeSilentVms(Time now)
    {
        const VmTable::RemovedVms removed = vms_.removeSilent(now);
        for (const std::string &vm : removed.lost)
            onVmLost(vm, "silent");
        const std::set<std::string> served =
                removed.forgotten.empty() ? std::set<std::string> {} : pool_.servedVms();
        for (const std::string &vm : removed.forgotten) {
            if (served.contains(vm))
                logEvent(LogLevel::Warning, "vm-forgotten-with-open-jobs", {{"vm", vm}});
        }
    }

    // A draining VM leaves the group when nothing runs on its servers.
    bool wantsShards(Time now) const
    {
        return isDraining_ ? heldShards_.isMember() && !pool_.isIdle() : shouldHold(now);
    }

    // Detects that the process was paused. Called before any event is handled, because events that
    // arrived during the pause are dispatched before the next tick.
    void detectPause(Time now)
    {
        if (now <= lastTick_ + pauseThreshold)
            return;
        const Duration pause = now - lastTick_;
        logEvent(LogLevel::Warning, "paused", {{"for_us", pause.count()}});
        lastTick_ = now;
        pool_.onPaused(pause, self_.name, now);
    }

    // Executes the actions of the router and the pool until none is left.
    void flush()
    {
        if (isFlushing_)
            return;
        detectPause(currentTime());
        isFlushing_ = true;
        const ScopeGuard clearFlushing([this] { isFlushing_ = false; });
        for (bool isDone = false; !isDone;) {
            const Time now = currentTime();
            auto poolActions = pool_.takeActions(now);
            auto routerActions = router_.takeActions();
            storedJobs_.flush();
            isDone = poolActions.empty() && routerActions.empty();
            for (PoolAction &action : poolActions)
                std::visit([this](auto &order) { execute(std::move(order)); }, action);
            for (RouterAction &action : routerActions)
                std::visit([this](auto &order) { execute(std::move(order)); }, action);
        }
        writeLogEntries();
    }

    template<class Entry>
    static void writeLogEntry(const Entry &entry)
    {
        if (entry.job.empty())
            logEvent(LogLevel::Info, entry.event, entry.details);
        else
            logEvent(LogLevel::Info, entry.event,
                     entry.details.empty() ? "job=" + entry.job
                                           : fmt::format("job={} {}", entry.job, entry.details));
    }

    void writeLogEntries()
    {
        for (const RouterLogEntry &entry : router_.takeLogEntries())
            writeLogEntry(entry);
        for (const PoolLogEntry &entry : pool_.takeLogEntries())
            writeLogEntry(entry);
    }

    void execute(OrderStart order)
    {
        RunRef ref = order.ref;
        servers_.start(order, [this, ref](OrderResult result, const ServerReading &reading) {
            pool_.onStartAnswered(ref, result, reading, currentTime());
            flush();
        });
    }
    void execute(OrderStop order)
    {
        RunRef ref = order.ref;
        servers_.stop(order, [this, ref](OrderResult result, const ServerReading &reading) {
            pool_.onStopAnswered(ref, result, reading, currentTime());
            flush();
        });
    }
    void execute(const OrderPoll &order)
    {
        servers_.poll(order, [this](const PollReply &reply) {
            pool_.onPollAnswered(reply, currentTime());
            flush();
        });
    }
    // Delivers an answer of the local pool to a caller of this VM or to another VM.
    void execute(JobAnswer answer)
    {
        if (answer.ticket.vm == self_.name) {
            router_.onAnswer(self_.name, std::move(answer), currentTime());
            return;
        }
        const std::string vm = answer.ticket.vm;
        peers_->send(vm, AnswerMessage {self_.name, std::move(answer), pool_.load(currentTime())});
    }
    void execute(const TaskOutcome &outcome) { storedJobs_.onOutcome(outcome); }
    void execute(SendOffer send)
    {
        if (send.vm == self_.name)
            pool_.offer(std::move(send.offer), currentTime());
        else
            peers_->send(send.vm, OfferMessage {std::move(send.offer)});
    }
    void execute(const SendWithdraw &send)
    {
        if (send.vm == self_.name)
            pool_.withdraw(send.ticket, currentTime());
        else
            peers_->send(send.vm, WithdrawMessage {send.ticket});
    }
    void execute(const lovage::Respond &respond)
    {
        const auto found = callers_.find(respond.number);
        if (found == callers_.end())
            return;
        metrics_.recordAnswered(respond.answer.result, found->second.tasks,
                                currentTime() - found->second.arrivedAt);
        const Caller caller = std::move(found->second);
        callers_.erase(found);
        caller.respond(respond.answer);
    }

    Time started_;
    VmInfo self_;
    IoThreads &threads_;
    ServerPort &servers_;
    NodeSettings settings_;
    VmTable vms_;
    Router router_;
    Pool pool_;
    HolderOptions holderOptions_;
    node::HeldShards heldShards_;
    node::StoredJobs storedJobs_;
    std::unique_ptr<node::Peers> peers_;
    Configuration configuration_;
    bool hasConfiguration_ = false;
    std::unordered_map<uint64_t, Caller> callers_;
    uint64_t nextNumber_ = 1;
    bool isDraining_ = false;
    Time drainingSince_ {};
    bool isFlushing_ = false;
    Time lastTick_ {};
    Time nextConfigurationRequest_ {};
    node::JobMetrics metrics_;
};

Node::Node(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation))
{ }

Node::~Node() = default;

Result<std::unique_ptr<Node>> Node::open(NodeSettings settings, IoThreads &threads,
                                         const NodePorts &ports, Metrics &metrics)
{
    auto implementation = std::make_unique<Implementation>(settings, threads, ports, metrics);
    const Result<void> opened = implementation->open();
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
    implementation_->setConfiguration(std::move(configuration));
}

void Node::setServers(const std::vector<ServerInfo> &servers)
{
    implementation_->setServers(servers);
}

void Node::setPeers(const std::vector<VmInfo> &peers)
{
    implementation_->peers().addContacts(peers);
}

uint64_t Node::submit(JobSpec job, const Queue &queue, Duration deadline, JobCallback respond)
{
    return implementation_->submit(std::move(job), queue, deadline, std::move(respond));
}

void Node::withdraw(uint64_t number)
{
    implementation_->withdraw(number);
}

void Node::storeJob(JobSpec job, const Queue &queue, Duration deadline, StoredJobCallback respond)
{
    QueueParameters queueParameters {queue.name,     queue.service,       queue.priority,
                                     queue.attempts, queue.stretchFactor, queue.objectiveSlack};
    implementation_->request(StoreJob {{}, std::move(job), std::move(queueParameters)}, deadline,
                             std::move(respond));
}

void Node::queryJob(const std::string &job, Duration deadline, StoredJobCallback respond)
{
    implementation_->request(QueryJob {{}, job}, deadline, std::move(respond));
}

void Node::cancelJob(const std::string &job, Duration deadline, StoredJobCallback respond)
{
    implementation_->request(CancelJob {{}, job}, deadline, std::move(respond));
}

uint32_t Node::pendingJobs(const std::string &queue) const
{
    return implementation_->storedJobs().pendingJobs(queue);
}

void Node::setStoredJobsExist(bool exist)
{
    implementation_->storedJobs().setJobsExist(exist);
}

bool Node::needsServerList() const
{
    return implementation_->needsServerList();
}

bool Node::isReady() const
{
    return implementation_->isReady();
}

const Configuration *Node::configuration() const
{
    return implementation_->configuration();
}

const VmInfo &Node::self() const
{
    return implementation_->self();
}

void Node::drain()
{
    implementation_->drain();
}

bool Node::isDrained() const
{
    return implementation_->isDrained();
}

} // namespace lovage
