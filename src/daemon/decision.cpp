#include "decision.h"

#include <fstream>

namespace lovage::daemon {

namespace {

constexpr Duration housekeepingInterval = std::chrono::milliseconds(50);
constexpr Duration loanInterval = std::chrono::milliseconds(250);
constexpr Duration traceInterval = std::chrono::seconds(1);
constexpr Duration forwardResend = std::chrono::milliseconds(500);
constexpr Duration publishDeadline = std::chrono::seconds(5);
// A starting VM waits this long for the VM list and then serves without it, so that it can answer
// queries and resubmissions during a platform outage.
constexpr Duration vmListStartupTimeout = std::chrono::seconds(1);
constexpr Duration traceRequestTimeout = std::chrono::seconds(2);
constexpr Duration traceLifetime = std::chrono::minutes(1);

Issuer selfOf(const SharedState &shared)
{
    return {shared.settings.dataCentre, shared.settings.name, shared.incarnation};
}

LedgerOptions ledgerOptions(const SharedState &shared)
{
    LedgerOptions options;
    options.self = selfOf(shared);
    options.retention = shared.settings.ledger.retention;
    options.openLifetime = shared.settings.ledger.openLifetime;
    options.skewMargin = shared.settings.ledger.skewMargin;
    options.ledgerBytes = shared.settings.ledger.maxBytes;
    return options;
}

Policy policyOf(const std::string &name)
{
    if (name == "random")
        return RandomPolicy {};
    if (name == "round-robin")
        return RoundRobinPolicy {};
    if (name == "least-outstanding")
        return LeastOutstandingPolicy {};
    return EarliestFinishPolicy {};
}

PlacementOptions placementOptions(const SharedState &shared)
{
    PlacementOptions options;
    options.policy = policyOf(shared.settings.backend.policy);
    return options;
}

AdmissionOptions admissionOptions(const SharedState &shared)
{
    AdmissionOptions options;
    options.queue.capacity = shared.settings.limits.maxQueuedTasks;
    options.quota.vm = shared.settings.name;
    options.quota.incarnation = shared.incarnation;
    options.quota.skewMargin = shared.settings.ledger.skewMargin;
    for (const MemberSettings &member : shared.settings.members)
        options.quota.configuredVms.push_back(member.name);
    if (options.quota.configuredVms.empty())
        options.quota.configuredVms.push_back(shared.settings.name);
    return options;
}

DispatcherOptions dispatcherOptions(const SharedState &shared)
{
    DispatcherOptions options;
    options.self = selfOf(shared);
    options.lease = shared.settings.backend.lease;
    options.drainDeadline = shared.settings.drainDeadline;
    options.maxAnswerBytes =
            std::min(options.maxAnswerBytes, shared.settings.limits.maxAnswerBytes);
    return options;
}

MembershipOptions membershipOptions(const SharedState &shared, uint16_t peerPort)
{
    MembershipOptions options;
    options.vm = shared.settings.name;
    options.dataCentre = shared.settings.dataCentre;
    options.address = {shared.settings.peer.address, peerPort};
    options.incarnation = shared.incarnation;
    for (const MemberSettings &member : shared.settings.members) {
        if (member.name == shared.settings.name)
            continue;
        Member seed;
        seed.name = member.name;
        seed.dataCentre = member.dataCentre;
        seed.address = {member.peer.address, member.peer.port};
        options.seeds.push_back(std::move(seed));
    }
    return options;
}

FollowerOptions followerOptions(const SharedState &shared)
{
    FollowerOptions options;
    options.logRetention = shared.settings.platform.logRetention;
    options.readTimeout = shared.settings.platform.requestTimeout + housekeepingInterval;
    return options;
}

} // namespace

DecisionLoop::DecisionLoop(SharedState &shared, IoThreads &threads, PeerLink &peers,
                           PlatformLink &platform, BackendLink &backends, uint64_t seed, Time now)
    : shared_(shared), threads_(threads), peerLink_(peers), platform_(platform),
      backends_(backends),
      dispatcher_(dispatcherOptions(shared), Ledger(ledgerOptions(shared), now),
                  Placement(placementOptions(shared), seed),
                  Admission(admissionOptions(shared), now), now),
      membership_(membershipOptions(shared, peers.port()), seed + 1, now),
      follower_(followerOptions(shared), seed + 2, now), publisher_(PublisherOptions {}),
      lifeCycle_(*this), numberBase_(stableHash(shared.holder)), started_(now)
{
    if (shared.settings.trace.endpoint.port != 0)
        traceClient_ = std::make_unique<HttpClient>(threads, 0, HttpClientOptions {});
    refreshPeers();
}

DecisionLoop::~DecisionLoop() = default;

void DecisionLoop::run(std::vector<Input> &batch)
{
    for (Input &input : batch)
        std::visit([this](auto &typed) { on(typed); }, input);
    const Time now = currentTime();
    if (now >= nextHousekeeping_) {
        nextHousekeeping_ = now + housekeepingInterval;
        tick(now);
    }
    if (now >= nextDispatcherTick_)
        dispatcher_.handle(Tick {}, now);
    performActions();
    nextDispatcherTick_ = dispatcher_.nextWake(currentTime());
    if (isDrainFinished_ && !hasFinished_ && publishes_.empty() && !hasKeyedForwards())
        lifeCycle_.drainFinished(wasOrderly_);
}

Duration DecisionLoop::nextWait()
{
    const Time due = std::min(nextHousekeeping_, nextDispatcherTick_);
    return std::max(due - currentTime(), Duration::zero());
}

void DecisionLoop::dispatch(Event event)
{
    dispatcher_.handle(std::move(event), currentTime());
}

void DecisionLoop::on(Event &event)
{
    backends_.observe(event);
    dispatch(std::move(event));
}

void DecisionLoop::on(CallerInput &input)
{
    if (forwardKeyed(input))
        return;
    const uint64_t request = ++lastRequest_;
    const LocalCaller origin {request};
    WaitingCaller &caller = callers_[request];
    caller = std::move(input.caller);
    std::visit(
            [&origin](auto &typed) {
                if constexpr (requires { typed.origin; })
                    typed.origin = origin;
            },
            input.event);
    if (caller.wantsSpareIds && shared_.settings.ledger.spareIds > 0)
        dispatch(OpenRequested {origin, shared_.settings.ledger.spareIds});
    const auto *submit = std::get_if<SubmitRequested>(&input.event);
    if (caller.span && submit && submit->key.empty())
        traces_[submit->id] = {caller.span->context, caller.received, false,
                               submit->deadline + traceLifetime};
    dispatch(std::move(input.event));
}

void DecisionLoop::on(PublishInput &input)
{
    const uint64_t token = ++lastRequest_;
    publishes_[token] = std::move(input.reply);
    if (isDrainFinished_) {
        perform(PublishFinished {token, 0, notRun(ErrorCode::Draining, "this VM is leaving")});
        return;
    }
    feed(PublisherEvent(
            PublishRequested {token, std::move(input.change), currentTime() + publishDeadline}));
}

void DecisionLoop::on(StatusInput &input)
{
    HttpResponse response;
    response.body = statusText();
    input.reply(std::move(response));
}

void DecisionLoop::on(VmListInput &input)
{
    listAsOf_ = input.asOf;
    hasSharesChanged_ = false;
    const bool isRead = input.vms.has_value();
    if (isRead)
        feed(MembershipEvent(VmListRead {std::move(*input.vms)}));
    else
        feed(MembershipEvent(VmListFailed {std::move(input.reason)}));
    if (isRead && !hasSharesChanged_)
        dispatch(BackendsUnchanged {input.asOf});
    listAsOf_ = {};
}

void DecisionLoop::on(WorkerResults &input)
{
    if (input.leaving)
        dispatcher_.placement().setLeaving(input.backend);
    for (Event &event : backends_.handle(std::move(input), currentTime()))
        dispatch(std::move(event));
}

void DecisionLoop::on(LeaseAnswer &input)
{
    backends_.handle(input);
}

void DecisionLoop::on(LogPage &input)
{
    feed(FollowerEvent(std::move(input)));
}

void DecisionLoop::on(LogError &input)
{
    feed(FollowerEvent(std::move(input)));
}

void DecisionLoop::on(AppendReplied &input)
{
    feed(PublisherEvent(input));
}

void DecisionLoop::on(AppendFailed &input)
{
    feed(PublisherEvent(std::move(input)));
}

void DecisionLoop::on(StopInput &)
{
    lifeCycle_.stopRequested();
}

void DecisionLoop::tick(Time now)
{
    feed(MembershipEvent(MembershipTick {}));
    feed(FollowerEvent(FollowerTick {}));
    feed(PublisherEvent(PublisherTick {}));
    for (Event &event : backends_.tick(now))
        dispatch(std::move(event));
    refreshPeers();
    sendOwnStatus(now);
    std::vector<uint64_t> overdue;
    for (auto &[number, forwarded] : forwards_) {
        if (now > forwarded.until) {
            overdue.push_back(number);
        } else if (now >= forwarded.nextSend) {
            forwarded.nextSend = now + forwardResend;
            sendTo(forwarded.vm, forwarded.message);
        }
    }
    for (const uint64_t number : overdue)
        failForward(number);
    std::vector<Event> lost;
    for (auto it = lends_.begin(); it != lends_.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        lost.emplace_back(LendLost {it->second.vm, it->first - numberBase_, true});
        it = lends_.erase(it);
    }
    for (Event &event : lost)
        dispatch(std::move(event));
    if (now >= nextLoanRequests_) {
        nextLoanRequests_ = now + loanInterval;
        sendLoanRequests(now);
        updateMetrics(now);
    }
    if (now >= nextTraceFlush_) {
        nextTraceFlush_ = now + traceInterval;
        flushTraces();
        std::erase_if(traces_, [now](const auto &item) { return item.second.until < now; });
    }
    checkReady(now);
}

void DecisionLoop::checkReady(Time now)
{
    if (lifeCycle_.state() != DaemonState::Starting || follower_.state() == FollowerState::Empty)
        return;
    if (hasBackends_ || now - started_ >= vmListStartupTimeout)
        lifeCycle_.ready();
}

void DecisionLoop::updateMetrics(Time now)
{
    DaemonCounters &counters = shared_.counters;
    counters.sync(dispatcher_.counters());
    counters.inFlight.set(static_cast<int64_t>(dispatcher_.inFlight()));
    counters.queuedTasks.set(static_cast<int64_t>(dispatcher_.admission().queue().size()));
    counters.ejectedServers.set(static_cast<int64_t>(dispatcher_.placement().ejectedCount()));
    counters.ledgerBytes.set(static_cast<int64_t>(dispatcher_.ledger().bytes()));
    counters.ledgerRecords.set(static_cast<int64_t>(dispatcher_.ledger().records()));
    counters.followerState.set(static_cast<int64_t>(follower_.state()));
    int64_t alive = 0;
    for (const auto &[name, peer] : peers_)
        alive += peer.member.state == MemberState::Alive ? 1 : 0;
    counters.aliveMembers.set(alive);
}

void DecisionLoop::flushTraces()
{
    std::string spans = shared_.tracer.takeOtlpJson();
    if (spans.empty())
        return;
    const TraceSettings &trace = shared_.settings.trace;
    if (!trace.file.empty()) {
        // Written on an I/O thread, because a slow disk would block the decision thread.
        threads_.post(0, [file = trace.file, spans] {
            std::ofstream(file, std::ios::app) << spans << '\n';
        });
    }
    if (!traceClient_)
        return;
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/traces";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(spans);
    traceClient_->send(trace.endpoint, std::move(request), traceRequestTimeout,
                       [](const Result<HttpResponse> &) {});
}

void DecisionLoop::enterServing()
{
    shared_.setState(DaemonState::Serving);
    logEvent(LogLevel::Info, "serving",
             {{"offset", follower_.catalogue().offset()},
              {"follower", toString(follower_.state())},
              {"start_ms", (currentTime() - started_) / std::chrono::milliseconds(1)}});
}

void DecisionLoop::enterDraining()
{
    shared_.setState(DaemonState::Draining);
    const std::string successor = membership_.successor();
    const std::string redirect = redirectAddress();
    logEvent(LogLevel::Info, "draining",
             {{"in_flight", dispatcher_.inFlight()}, {"successor", successor}});
    shared_.redirect.publish(std::make_unique<const std::string>(redirect));
    feed(MembershipEvent(LeaveStarted {}));
    dispatch(DrainRequested {successor, redirect});
}

void DecisionLoop::endDrainNow()
{
    logEvent(LogLevel::Warning, "drain_cut_short", {{"in_flight", dispatcher_.inFlight()}});
    dispatch(DrainRequested {});
}

void DecisionLoop::enterStopped(bool wasOrderly)
{
    hasFinished_ = true;
    flushTraces();
    updateMetrics(currentTime());
    logEvent(LogLevel::Info, "drained", {{"orderly", wasOrderly}});
}

} // namespace lovage::daemon
