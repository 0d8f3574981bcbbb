#include "callerapi.h"
#include "decision.h"

namespace lovage::daemon {

namespace {

constexpr Duration traceLifetime = std::chrono::minutes(1);

// The run time scale is sent as an integer number of thousandths.
constexpr double runTimeScaleUnit = 1000;

// Encodes the capacity for heartbeats: the free slots by kind and band, the largest free amounts on
// one worker, and the run time scale. Returns an empty list if no slot is free.
std::vector<uint32_t> encodeCapacity(const PeerCapacity &capacity)
{
    std::vector<uint32_t> words;
    bool isFree = false;
    for (const auto &kind : capacity.freeSlots) {
        for (const uint32_t slots : kind) {
            words.push_back(slots);
            isFree = isFree || slots > 0;
        }
    }
    const Demand &free = capacity.maxFreeOnWorker;
    words.insert(words.end(),
                 {free.milliCores, free.memoryMb, free.accelerators,
                  static_cast<uint32_t>(capacity.runTimeScale * runTimeScaleUnit)});
    return isFree ? words : std::vector<uint32_t>();
}

PeerCapacity decodeCapacity(const std::string &vm, const std::vector<uint32_t> &words)
{
    PeerCapacity capacity;
    capacity.vm = vm;
    constexpr size_t length = 2 * PeerCapacity::bands + 4;
    if (words.size() != length)
        return capacity;
    size_t next = 0;
    for (auto &kind : capacity.freeSlots) {
        for (uint32_t &slots : kind)
            slots = words[next++];
    }
    capacity.maxFreeOnWorker = {words[next], words[next + 1], words[next + 2]};
    capacity.runTimeScale = words[next + 3] / runTimeScaleUnit;
    return capacity;
}

BackendInfo toInfo(const VmListEntry &entry)
{
    BackendInfo info;
    info.name = entry.name;
    info.dataCentre = entry.dataCentre;
    info.rack = entry.rack;
    info.address = entry.address.host;
    info.port = entry.address.port;
    info.kind = entry.role == VmRole::Worker ? BackendKind::Worker : BackendKind::Executor;
    info.slots = entry.slots;
    info.capacity = entry.capacity;
    info.leaving = entry.leaving;
    return info;
}

} // namespace

// Dispatches a verified message of another VM by its type.
struct DecisionLoop::MessageVisitor
{
    DecisionLoop &self;
    const std::string &sender;
    uint64_t incarnation;
    PeerAddress from;

    template<class Message>
    void toMembership(Message &message)
    {
        self.feed(MembershipEvent(MessageReceived {from, std::move(message)}));
    }
    template<class Message>
    void toFollower(Message &message)
    {
        self.feed(FollowerEvent(PeerMessage {sender, std::move(message)}));
    }
    uint64_t localNumber(uint64_t number) const { return number - self.numberBase_; }

    void operator()(Heartbeat &message) { toMembership(message); }
    void operator()(Summary &message) { toMembership(message); }
    void operator()(Leaving &message) { toMembership(message); }
    void operator()(VmListUpdate &message) { toMembership(message); }
    void operator()(CatalogueRequest &message) { toFollower(message); }
    void operator()(CatalogueRecords &message) { toFollower(message); }
    void operator()(CatalogueSnapshot &message) { toFollower(message); }
    void operator()(wire::ForwardSubmit &message)
    {
        if (!message.key.empty() && self.homeOf(message.key) != self.shared_.settings.name) {
            // The sender computes another home because its list of members differs.
            self.sendTo(
                    sender,
                    wire::ForwardReply {message.request,
                                        makeOutcome(mayHaveRun(ErrorCode::HomeUnreachable,
                                                               "the VMs differ about the home")),
                                        false});
            return;
        }
        const auto parent = parseTraceparent(message.traceparent);
        if (parent && message.key.empty())
            self.traces_[message.id] = {*parent, currentTime(), false,
                                        message.deadline + traceLifetime};
        self.dispatch(SubmitRequested {RemoteCaller {sender, message.request}, message.id,
                                       message.key, message.owner, message.entry,
                                       message.bodyDigest, message.deadline, message.repeatable,
                                       std::move(message.tasks)});
    }
    void operator()(wire::ForwardReply &message)
    {
        const auto found = self.forwards_.find(localNumber(message.request));
        if (found == self.forwards_.end() || found->second.vm != sender)
            return;
        if (found->second.span)
            self.shared_.tracer.finish(std::move(*found->second.span), currentTime());
        std::optional<WaitingCaller> caller = std::move(found->second.caller);
        self.forwards_.erase(found);
        if (caller) {
            const std::string id = caller->id;
            const bool hasOutcome = message.outcome != nullptr;
            self.answer(std::move(*caller),
                        hasOutcome ? outcomeResponse(id, *message.outcome, {})
                                   : failureResponse(id,
                                                     mayHaveRun(ErrorCode::HomeUnreachable,
                                                                "no outcome of the key")));
            return;
        }
        self.dispatch(
                ForwardReplied {localNumber(message.request), message.outcome, message.isRunning});
    }
    void operator()(wire::ForwardCancel &message)
    {
        self.dispatch(CancelRequested {RemoteCaller {sender, message.request}, message.id,
                                       message.owner});
    }
    void operator()(wire::ForwardQuery &message)
    {
        self.dispatch(
                QueryRequested {RemoteCaller {sender, message.request}, message.id, message.owner});
    }
    void operator()(wire::Lend &message)
    {
        if (const auto parent = parseTraceparent(message.traceparent)) {
            for (const LentTask &task : message.tasks)
                self.traces_[task.id.submission] = {*parent, currentTime(), false,
                                                    task.need.deadline + traceLifetime};
        }
        self.dispatch(LendReceived {sender, message.exchange, message.expectedIncarnation,
                                    message.expiry, std::move(message.tasks)});
    }
    void operator()(wire::LendReply &message)
    {
        const auto found = self.lends_.find(message.exchange);
        if (found == self.lends_.end() || found->second.vm != sender)
            return;
        if (found->second.span)
            self.shared_.tracer.finish(std::move(*found->second.span), currentTime());
        self.lends_.erase(found);
        self.dispatch(LendReplied {sender, incarnation, localNumber(message.exchange),
                                   std::move(message.results)});
        self.dispatch(PeerCapacityChanged {decodeCapacity(sender, message.capacity)});
    }
    void operator()(wire::LendResult &message)
    {
        self.dispatch(LendFinished {sender, incarnation, std::move(message.results)});
        self.dispatch(PeerCapacityChanged {decodeCapacity(sender, message.capacity)});
    }
    void operator()(wire::LendInquiry &message)
    {
        self.dispatch(
                LendInquiryReceived {sender, message.exchange, std::move(message.ids), false});
    }
    void operator()(wire::LendStop &message)
    {
        self.dispatch(LendInquiryReceived {sender, message.exchange, std::move(message.ids), true});
    }
    void operator()(wire::LendInquiryReply &message)
    {
        self.dispatch(LendInquiryReplied {sender, incarnation, localNumber(message.exchange),
                                          std::move(message.results)});
    }
    void operator()(LoanRequest &message)
    {
        if (message.borrower != sender)
            return;
        if (auto grant = self.dispatcher_.admission().quotas().grant(message, currentTime()))
            self.sendTo(sender, std::move(*grant));
    }
    void operator()(LoanGrant &message)
    {
        if (message.lender == sender)
            self.dispatcher_.admission().quotas().accept(message, currentTime());
    }
    void operator()(wire::LedgerHandover &message)
    {
        self.dispatch(HandoverReceived {sender, std::move(message.part)});
    }
    void operator()(wire::LedgerAck &message)
    {
        self.dispatch(HandoverAcknowledged {message.part, message.issuer});
    }
    void operator()(wire::LedgerMoved &message)
    {
        if (message.issuer.vm == sender)
            self.dispatch(IssuerSealed {message.issuer, message.successor});
    }
    void operator()(wire::Introduction &message)
    {
        self.peers_[sender].httpAddress = std::move(message.httpAddress);
    }
};

void DecisionLoop::on(PeerInput &input)
{
    Envelope &envelope = input.envelope;
    PeerAddress from {input.from.address, input.from.port};
    const auto peer = peers_.find(envelope.sender);
    if (from.port == 0 && peer != peers_.end())
        from = peer->second.member.address;
    MessageVisitor visitor {*this, envelope.sender, envelope.incarnation, from};
    std::visit(visitor, envelope.message);
}

bool DecisionLoop::sendTo(const std::string &vm, const WireMessage &message)
{
    const auto found = peers_.find(vm);
    if (found == peers_.end() || found->second.member.address.port == 0
        || found->second.member.state == MemberState::Dead) {
        shared_.counters.unroutablePeerMessages.add();
        return false;
    }
    peerLink_.send(vm, found->second.member.address, message);
    return true;
}

void DecisionLoop::refreshPeers()
{
    std::set<std::string> known;
    for (Member &member : membership_.members()) {
        known.insert(member.name);
        PeerInfo &peer = peers_[member.name];
        peer.member = std::move(member);
        const bool isNew = peer.member.state == MemberState::Alive
                && peer.introducedIncarnation != peer.member.incarnation;
        if (isNew && !httpAddress_.empty()) {
            peer.introducedIncarnation = peer.member.incarnation;
            sendTo(peer.member.name, wire::Introduction {httpAddress_});
        }
    }
    std::erase_if(peers_, [&known](const auto &item) { return !known.contains(item.first); });
}

std::string DecisionLoop::redirectAddress() const
{
    std::string remote;
    for (const auto &[name, peer] : peers_) {
        if (peer.member.state != MemberState::Alive || peer.httpAddress.empty())
            continue;
        if (peer.member.dataCentre == shared_.settings.dataCentre)
            return peer.httpAddress;
        if (remote.empty())
            remote = peer.httpAddress;
    }
    return remote;
}

std::vector<uint32_t> DecisionLoop::ownCapacityWords() const
{
    return encodeCapacity(dispatcher_.advertisedCapacity(currentTime()));
}

void DecisionLoop::sendOwnStatus(Time now)
{
    OwnStatus status;
    status.catalogueOffset = follower_.catalogue().offset();
    status.followsLog = follower_.state() == FollowerState::FollowingLog;
    status.capacity = ownCapacityWords();
    feed(MembershipEvent(std::move(status)));
}

void DecisionLoop::sendLoanRequests(Time now)
{
    std::vector<std::string> usable;
    for (const auto &[name, peer] : peers_) {
        if (peer.member.state == MemberState::Alive && peer.member.hearsThisVm)
            usable.push_back(name);
    }
    for (LoanRequest &request : dispatcher_.admission().quotas().loanRequests(usable, now)) {
        const std::string lender = request.lender;
        sendTo(lender, std::move(request));
    }
}

void DecisionLoop::feed(const MembershipEvent &event)
{
    performAll(membership_.handle(event, currentTime()));
}

void DecisionLoop::feed(const FollowerEvent &event)
{
    performAll(follower_.handle(event, currentTime()));
}

void DecisionLoop::feed(const PublisherEvent &event)
{
    performAll(publisher_.handle(event, currentTime()));
}

void DecisionLoop::performAll(const std::vector<MembershipAction> &actions)
{
    for (const MembershipAction &action : actions)
        std::visit([this](const auto &typed) { perform(typed); }, action);
}

// Notifies the publisher once, after all actions have been carried out.
void DecisionLoop::performAll(const std::vector<FollowerAction> &actions)
{
    bool hasAdvanced = false;
    for (const FollowerAction &action : actions) {
        hasAdvanced = hasAdvanced || std::holds_alternative<PublishCatalogue>(action)
                || std::holds_alternative<FollowerStateChanged>(action);
        std::visit([this](const auto &typed) { perform(typed); }, action);
    }
    if (hasAdvanced)
        feed(PublisherEvent(FollowerUpdated {follower_.state(), follower_.catalogue()}));
}

void DecisionLoop::performAll(const std::vector<PublisherAction> &actions)
{
    for (const PublisherAction &action : actions)
        std::visit([this](const auto &typed) { perform(typed); }, action);
}

void DecisionLoop::perform(const SendMembership &action)
{
    const WireMessage message =
            std::visit([](const auto &typed) { return WireMessage(typed); }, action.message);
    peerLink_.send(action.vm, action.address, message);
}

void DecisionLoop::perform(const PollVmList &)
{
    platform_.pollVmList(currentTime());
}

void DecisionLoop::perform(const MemberOffsetReported &action)
{
    feed(FollowerEvent(PeerOffset {action.vm, action.offset}));
}

void DecisionLoop::perform(const MemberCapacityReported &action)
{
    dispatch(PeerCapacityChanged {decodeCapacity(action.vm, action.capacity)});
}

void DecisionLoop::perform(const RelayChanged &action)
{
    logEvent(LogLevel::Info, "relay", {{"vm", action.relay}, {"self", action.isSelf}});
    feed(FollowerEvent(RelayUpdate {action.isSelf, action.localPeers}));
}

void DecisionLoop::perform(const BackendShares &action)
{
    hasBackends_ = true;
    hasSharesChanged_ = true;
    BackendsChanged changed;
    for (const VmListEntry &entry : action.backends)
        changed.backends.push_back(toInfo(entry));
    changed.ownShare = action.ownShare;
    changed.asOf = listAsOf_ == Time() ? currentTime() : listAsOf_;
    logEvent(LogLevel::Info, "backend_servers",
             {{"known", changed.backends.size()}, {"own_share", changed.ownShare.size()}});
    dispatch(std::move(changed));
}

void DecisionLoop::perform(const MemberLost &action)
{
    logEvent(LogLevel::Warning, "peer_lost",
             {{"vm", action.vm}, {"incarnation", action.incarnation}});
    dispatch(PeerLost {action.vm});
    failForwards(action.vm);
    // The peer's LedgerMoved message may have been lost, so the successor it announced with its
    // departure is used.
    const auto peer = peers_.find(action.vm);
    if (peer != peers_.end() && !peer->second.successor.empty())
        dispatch(IssuerSealed {{peer->second.member.dataCentre, action.vm, action.incarnation},
                               peer->second.successor});
}

void DecisionLoop::perform(const MemberLeaving &action)
{
    logEvent(LogLevel::Info, "peer_leaving", {{"vm", action.vm}, {"successor", action.successor}});
    // The peer hands over its ledger only after its tasks have ended. Until then it remains
    // responsible for its own ids.
    peers_[action.vm].successor = action.successor;
}

void DecisionLoop::perform(const FenceSelf &action)
{
    logEvent(LogLevel::Error, "fenced", {{"higher_incarnation", action.higherIncarnation}});
    dispatch(FenceRequested {});
}

void DecisionLoop::perform(const BeginDrain &)
{
    if (lifeCycle_.state() != DaemonState::Draining)
        lifeCycle_.stopRequested();
}

void DecisionLoop::perform(const ReadLog &action)
{
    platform_.readLog(action);
}

void DecisionLoop::perform(const SendCatalogueMessage &action)
{
    const WireMessage message =
            std::visit([](const auto &typed) { return WireMessage(typed); }, action.message);
    sendTo(action.vm, message);
}

void DecisionLoop::perform(const PublishCatalogue &action)
{
    const uint64_t offset = action.catalogue.offset();
    {
        const auto current = shared_.catalogue.read();
        LOVAGE_ASSERT_INVARIANT(Promise::CatalogueForward, !current || current->offset() <= offset,
                                "offset of the published catalogue would decrease");
    }
    shared_.catalogue.publish(std::make_unique<const Catalogue>(action.catalogue));
    shared_.counters.catalogueOffset.set(static_cast<int64_t>(offset));
    logEvent(LogLevel::Info, "catalogue", {{"offset", offset}});
    dispatch(CatalogueChanged {action.catalogue});
    sendOwnStatus(currentTime());
}

void DecisionLoop::perform(const AppendSnapshot &action)
{
    platform_.appendSnapshot(action);
}

void DecisionLoop::perform(const FollowerStateChanged &action)
{
    const bool isAlarm = action.state == FollowerState::LogBehind;
    logEvent(isAlarm ? LogLevel::Error : LogLevel::Info, "follower",
             {{"state", toString(action.state)}, {"reason", action.reason}});
}

void DecisionLoop::perform(const PeerDiverged &action)
{
    if (divergedPeers_.insert(action.vm).second)
        logEvent(LogLevel::Error, "peer_diverged", {{"vm", action.vm}, {"offset", action.offset}});
}

void DecisionLoop::perform(const AppendChange &action)
{
    platform_.appendChange(action);
}

void DecisionLoop::perform(const ReadBack &action)
{
    feed(FollowerEvent(LogExtended {action.offset}));
}

void DecisionLoop::perform(const PublishFinished &action)
{
    const auto found = publishes_.find(action.token);
    if (found == publishes_.end())
        return;
    const HttpServer::Reply reply = std::move(found->second);
    publishes_.erase(found);
    if (action.error) {
        shared_.counters.publishFailures.add();
        reply(failureResponse({}, *action.error));
        return;
    }
    shared_.counters.publishes.add();
    HttpResponse response;
    response.body = fmt::format("{{\"accepted\":true,\"offset\":{}}}", action.offset);
    reply(std::move(response));
}

} // namespace lovage::daemon
