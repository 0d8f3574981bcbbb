// Implementation of World, which is declared in dispatch_world.h.
#pragma once

#include "dispatch_world.h"

namespace lovage::test {

inline Catalogue testCatalogue()
{
    Entry entry;
    entry.name = entry.workClass = "screen";
    entry.owner = "team";
    entry.limits = {.startsPerSecond = 1'000'000,
                    .concurrent = 100'000,
                    .queued = 100'000,
                    .deadline = 60s,
                    .maxTasks = 2000,
                    .retryPercent = 100};
    entry.declaredRunTime = 20ms;
    entry.version = 1;
    Entry heavy = entry;
    heavy.name = heavy.workClass = "vet";
    heavy.backendKind = BackendKind::Worker;
    SnapshotRecord snapshot;
    snapshot.at = 2;
    snapshot.entries = {entry, heavy};
    return CatalogueFold(snapshot, 1).build();
}

inline std::string outputOf(const std::string &input)
{
    return "out:" + input;
}

// Set-up.

inline void World::addServer(const std::string &name, const std::string &dataCentre,
                             BackendKind kind, uint32_t slots)
{
    FakeServer server;
    server.info = {.name = name,
                   .dataCentre = dataCentre,
                   .rack = "r",
                   .address = "127.0.0.1",
                   .port = 1,
                   .kind = kind,
                   .slots = slots,
                   .capacity = {slots * 1000, slots * 1000, 0},
                   .leaving = false};
    servers.push_back(std::move(server));
    const size_t index = servers.size() - 1;
    after(100ms, [this, index] { stopRunsWithoutLease(index); });
}

inline size_t World::addVm(const std::string &name, const std::string &dataCentre)
{
    vms.push_back({});
    vms.back().name = name;
    vms.back().dataCentre = dataCentre;
    return vms.size() - 1;
}

inline void World::startVm(size_t index)
{
    Vm &vm = vms[index];
    vm.self = {vm.dataCentre, vm.name, ++nextIncarnation};
    vm.isPaused = vm.isFinished = false;
    vm.inbox.clear();
    vm.leaseUntil.clear();
    vm.wakeAt = Time::max();
    DispatcherOptions ownOptions = options;
    ownOptions.self = vm.self;
    AdmissionOptions admission;
    admission.quota.vm = vm.name;
    admission.quota.incarnation = vm.self.incarnation;
    admission.quota.configuredVms = {vm.name};
    vm.dispatcher = std::make_unique<Dispatcher>(ownOptions, Ledger({.self = vm.self}, now),
                                                 Placement({}, random.next()),
                                                 Admission(admission, now), now);
    deliver(index, vm.self.incarnation, CatalogueChanged {testCatalogue()});
    runPeriodicWork(index, vm.self.incarnation);
}

inline void World::publishView(size_t index)
{
    BackendsChanged view;
    view.asOf = now;
    std::vector<size_t> liveVms;
    for (size_t i = 0; i < vms.size(); ++i) {
        if (vms[i].dataCentre == vms[index].dataCentre && vms[i].dispatcher && !vms[i].isFinished)
            liveVms.push_back(i);
    }
    for (size_t i = 0; i < servers.size(); ++i) {
        view.backends.push_back(servers[i].info);
        view.backends.back().leaving = servers[i].leavingSince.has_value();
        const bool isLocal = servers[i].info.dataCentre == vms[index].dataCentre;
        if (isLocal && liveVms[i % liveVms.size()] == index)
            view.ownShare.insert(servers[i].info.name);
    }
    const uint64_t incarnation = vms[index].self.incarnation;
    after(20ms, [this, index, incarnation, view] { deliver(index, incarnation, view); });
}

// Does the periodic work of the daemon: publishes the list of servers, renews leases and reports
// capacity to peers.
inline void World::runPeriodicWork(size_t index, uint64_t incarnation)
{
    Vm &vm = vms[index];
    if (!vm.dispatcher || vm.self.incarnation != incarnation || vm.isFinished)
        return;
    after(200ms, [this, index, incarnation] { runPeriodicWork(index, incarnation); });
    publishView(index);
    if (vm.isPaused)
        return;
    renewLeases(index);
    const PeerCapacity capacity = vm.dispatcher->advertisedCapacity(now);
    for (size_t i = 0; i < vms.size(); ++i) {
        if (i != index && vms[i].dispatcher && !isPartitioned(vm.name, vms[i].name))
            deliver(i, vms[i].self.incarnation, PeerCapacityChanged {capacity});
    }
}

inline void World::renewLeases(size_t index)
{
    Vm &vm = vms[index];
    for (FakeServer &server : servers) {
        const auto backend = vm.dispatcher->placement().indexOf(server.info.name);
        if (server.info.kind != BackendKind::Worker || !backend)
            continue;
        if (server.isUp && !isPartitioned(vm.name, server.info.name)) {
            server.leases[holderOf(index)] = now + options.lease;
            vm.leaseUntil[*backend] = now + options.lease;
        } else if (vm.leaseUntil.contains(*backend) && vm.leaseUntil[*backend] < now) {
            vm.leaseUntil.erase(*backend);
            deliver(index, vm.self.incarnation, LeaseLapsed {*backend});
        }
    }
}

inline void World::stopRunsWithoutLease(size_t index)
{
    after(100ms, [this, index] { stopRunsWithoutLease(index); });
    std::vector<std::string> withoutLease;
    for (const auto &[id, run] : servers[index].runs) {
        const bool isWorker = servers[index].info.kind == BackendKind::Worker;
        if (isWorker && run.end == RunEnd::Running && servers[index].leases[run.holder] < now)
            withoutLease.push_back(id);
    }
    for (const std::string &id : withoutLease)
        endRun(index, id, RunEnd::Stopped);
}

// Virtual time.

inline void World::run(Duration duration)
{
    const Time end = now + duration;
    while (!queue.empty() && queue.top().at <= end) {
        const Timer timer = queue.top();
        queue.pop();
        now = std::max(now, timer.at);
        timer.action();
    }
    now = end;
}

inline void World::deliver(size_t index, uint64_t incarnation, Event event)
{
    Vm &vm = vms[index];
    // A process that has finished its drain still answers the caller requests it had received.
    const auto *submission = std::get_if<SubmitRequested>(&event);
    const auto *cancellation = std::get_if<CancelRequested>(&event);
    const bool isRequest = (submission && std::holds_alternative<LocalCaller>(submission->origin))
            || (cancellation && std::holds_alternative<LocalCaller>(cancellation->origin));
    const bool isGone = vm.isFinished && !isRequest;
    if (!vm.dispatcher || isGone || vm.self.incarnation != incarnation)
        return;
    if (vm.isPaused) {
        vm.inbox.push_back(std::move(event));
        return;
    }
    vm.dispatcher->handle(std::move(event), now);
    step(index);
}

inline void World::step(size_t index)
{
    std::vector<Action> actions = vms[index].dispatcher->takeActions(now);
    for (Action &action : actions)
        perform(index, action);
    wake(index);
}

inline void World::wake(size_t index)
{
    Vm &vm = vms[index];
    const Time next = std::max(vm.dispatcher->nextWake(now), now + Duration(1));
    if (vm.isFinished || (vm.wakeAt > now && vm.wakeAt <= next))
        return;
    vm.wakeAt = next;
    at(next, [this, index, next, incarnation = vm.self.incarnation] {
        Vm &woken = vms[index];
        if (woken.wakeAt != next || woken.isPaused)
            return;
        woken.wakeAt = Time::max();
        deliver(index, incarnation, Tick {});
    });
}

inline void World::resumeVm(size_t index)
{
    Vm &vm = vms[index];
    vm.isPaused = false;
    vm.wakeAt = Time::max();
    const uint64_t incarnation = vm.self.incarnation;
    for (Event &event : std::exchange(vm.inbox, {}))
        deliver(index, incarnation, std::move(event));
    deliver(index, incarnation, Tick {});
}

// Simulated network.

inline size_t World::vmIndex(const std::string &name) const
{
    for (size_t i = 0; i < vms.size(); ++i) {
        if (vms[i].name == name)
            return i;
    }
    return vms.size();
}

inline size_t World::serverIndex(const std::string &name) const
{
    size_t index = 0;
    while (servers[index].info.name != name)
        ++index;
    return index;
}

inline std::string World::holderOf(size_t vm) const
{
    return fmt::format("{}.{}", vms[vm].name, vms[vm].self.incarnation);
}

inline bool World::isPartitioned(const std::string &left, const std::string &right) const
{
    return partitionedPairs.contains({left, right});
}

inline void World::partition(const std::string &left, const std::string &right)
{
    partitionedPairs.insert({left, right});
    partitionedPairs.insert({right, left});
}

// Returns the delay of the message, or nullopt if it is lost.
inline std::optional<Duration> World::sendMessage(MessageKind kind, const std::string &from,
                                                  const std::string &to,
                                                  const std::function<void()> &arrive)
{
    messages.emplace_back(kind, now);
    const Delivery chosen = chooseDelivery ? chooseDelivery(kind, from, to) : Delivery {};
    if (chosen.isDropped || isPartitioned(from, to))
        return std::nullopt;
    after(chosen.delay, arrive);
    if (chosen.copyDelay)
        after(*chosen.copyDelay, arrive);
    return chosen.delay;
}

inline bool World::sendToVm(MessageKind kind, size_t from, const std::string &name,
                            const std::function<Event()> &make)
{
    const size_t index = vmIndex(name);
    const bool isUp = vms[index].dispatcher && !vms[index].isFinished;
    const uint64_t incarnation = vms[index].self.incarnation;
    const auto arrive = [this, index, incarnation, make] { deliver(index, incarnation, make()); };
    return sendMessage(kind, vms[from].name, name, arrive).has_value() && isUp;
}

// Actions of a VM.

inline void World::perform(size_t vm, Action &action)
{
    std::visit([&](auto &typed) { perform(vm, typed); }, action);
}

inline void World::perform(size_t, ReplyOpened &action)
{
    if (action.ids.has_value())
        openedIds[std::get<LocalCaller>(action.origin).request] = action.ids.value().front();
}

inline void World::perform(size_t, CompleteSubmission &action)
{
    if (const auto *caller = std::get_if<LocalCaller>(&action.origin)) {
        BOOST_TEST(!replies.contains(caller->request), "second reply to one request");
        replies[caller->request] = {now, action.id, action.outcome};
        return;
    }
    const auto remote = remoteRequests.find(std::get<RemoteCaller>(action.origin).request);
    if (remote != remoteRequests.end())
        remote->second(action.outcome);
}

inline void World::forward(size_t vm, const std::string &target, uint64_t number,
                           const std::function<Event(Origin)> &make)
{
    const uint64_t incarnation = vms[vm].self.incarnation;
    const auto reportLoss = [this, vm, incarnation, number] {
        after(replyTimeout, [=, this] { deliver(vm, incarnation, ForwardLost {number}); });
    };
    const uint64_t remote = ++nextRemote;
    remoteRequests[remote] = [=, this](const OutcomePtr &outcome) {
        const auto arrive = [=, this] {
            deliver(vm, incarnation, ForwardReplied {number, outcome});
        };
        if (!sendMessage(MessageKind::ForwardReply, target, vms[vm].name, arrive))
            reportLoss();
    };
    const Origin origin = RemoteCaller {vms[vm].name, remote};
    if (!sendToVm(MessageKind::Forward, vm, target, [=] { return make(origin); }))
        reportLoss();
}

inline void World::perform(size_t vm, ForwardSubmission &action)
{
    const auto request = std::make_shared<SubmitRequested>(std::move(action.request));
    forward(vm, action.vm, action.forward, [request](const Origin &origin) {
        SubmitRequested copy = *request;
        copy.origin = origin;
        return copy;
    });
}

inline void World::perform(size_t vm, ForwardCancel &action)
{
    forward(vm, action.vm, action.forward, [id = action.id, owner = action.owner](Origin origin) {
        return CancelRequested {std::move(origin), id, owner};
    });
}

inline void World::perform(size_t vm, SendStarts &action)
{
    const uint64_t incarnation = vms[vm].self.incarnation;
    const auto message = std::make_shared<const SendStarts>(std::move(action));
    const std::string holder = holderOf(vm);
    const std::string vmName = vms[vm].name;
    const size_t server = serverIndex(vms[vm].dispatcher->placement().info(message->backend).name);
    const std::string serverName = servers[server].info.name;
    const auto isSettled = std::make_shared<bool>(false);
    const auto reportLoss = [=, this](bool wasSent) {
        if (!std::exchange(*isSettled, true))
            deliver(vm, incarnation, StartLost {message->backend, message->exchange, wasSent});
    };
    const auto reply = [=, this](const std::vector<TaskReply> &results) {
        const uint64_t instance = servers[server].instance;
        const auto arrive = [=, this] {
            *isSettled = true;
            deliver(vm, incarnation,
                    StartReplied {
                            message->backend, message->exchange, instance, results, {}, false});
        };
        const auto delay = sendMessage(MessageKind::StartReply, serverName, vmName, arrive);
        if (!delay || *delay > replyTimeout)
            after(replyTimeout, [=] { reportLoss(true); });
    };
    if (!servers[server].isUp && !isPartitioned(vmName, serverName)) {
        after(1ms, [=] { reportLoss(false); });
        return;
    }
    const auto arrive = [=, this] {
        if (!servers[server].isUp) {
            after(replyTimeout, [=] { reportLoss(true); });
            return;
        }
        std::vector<TaskReply> results = startTasks(server, *message, holder);
        servers[server].onCrash.push_back([=, this] { after(20ms, [=] { reportLoss(true); }); });
        if (message->wait)
            replyWhenEnded(server, std::move(results), reply);
        else
            reply(results);
    };
    const auto delay = sendMessage(MessageKind::Start, vmName, serverName, arrive);
    if (!delay || *delay > replyTimeout)
        after(replyTimeout, [=] { reportLoss(true); });
}

inline void World::sendInquiryOrStop(size_t vm, uint32_t backend, uint64_t exchange,
                                     std::vector<TaskId> ids, bool stop)
{
    const uint64_t incarnation = vms[vm].self.incarnation;
    const size_t server = serverIndex(vms[vm].dispatcher->placement().info(backend).name);
    const std::string vmName = vms[vm].name;
    const auto reportLoss = [=, this] {
        after(replyTimeout, [=, this] {
            deliver(vm, incarnation, InquiryLost {backend, exchange});
        });
    };
    const auto arrive = [=, this] {
        if (!servers[server].isUp) {
            reportLoss();
            return;
        }
        InquiryReplied reply {backend, exchange, servers[server].instance, {}};
        for (const TaskId &id : ids)
            reply.results.push_back(statusOf(server, id, stop));
        const MessageKind kind = stop ? MessageKind::StopReply : MessageKind::InquiryReply;
        if (!sendMessage(kind, servers[server].info.name, vmName,
                         [=, this] { deliver(vm, incarnation, reply); }))
            reportLoss();
    };
    if (!sendMessage(stop ? MessageKind::Stop : MessageKind::Inquiry, vmName,
                     servers[server].info.name, arrive))
        reportLoss();
}

inline void World::perform(size_t vm, SendInquiry &action)
{
    sendInquiryOrStop(vm, action.backend, action.exchange, action.ids, false);
}

inline void World::perform(size_t vm, SendStop &action)
{
    sendInquiryOrStop(vm, action.backend, action.exchange, action.ids, true);
}

inline void World::perform(size_t vm, SendLend &action)
{
    lastLendExchange = action.exchange;
    const LendReceived event {vms[vm].name, action.exchange, action.expectedIncarnation,
                              action.expiry, action.tasks};
    if (!sendToVm(MessageKind::Lend, vm, action.vm, [event] { return event; }))
        after(replyTimeout,
              [=, this, from = action.vm, exchange = action.exchange,
               incarnation = vms[vm].self.incarnation] {
                  deliver(vm, incarnation, LendLost {from, exchange, true});
              });
}

inline void World::perform(size_t vm, SendLendInquiry &action)
{
    const LendInquiryReceived event {vms[vm].name, action.exchange, action.ids, action.stop};
    sendToVm(MessageKind::LendInquiry, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, SendLendReply &action)
{
    const LendReplied event {vms[vm].name, vms[vm].self.incarnation, action.exchange,
                             action.results};
    if (sendToVm(MessageKind::LendReply, vm, action.vm, [event] { return event; }))
        return;
    const size_t lender = vmIndex(action.vm);
    after(replyTimeout, [=, this, incarnation = vms[lender].self.incarnation] {
        deliver(lender, incarnation, LendLost {event.vm, event.exchange, true});
    });
}

inline void World::perform(size_t vm, SendLendResult &action)
{
    const LendFinished event {vms[vm].name, vms[vm].self.incarnation, action.results};
    sendToVm(MessageKind::LendResult, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, SendLendInquiryReply &action)
{
    const LendInquiryReplied event {vms[vm].name, vms[vm].self.incarnation, action.exchange,
                                    action.results};
    sendToVm(MessageKind::LendInquiryReply, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, HandOverLedger &action)
{
    const HandoverReceived event {vms[vm].name, action.part};
    sendToVm(MessageKind::Handover, vm, action.successor, [event] { return event; });
}

inline void World::perform(size_t vm, AcknowledgeHandover &action)
{
    const HandoverAcknowledged event {action.part, action.issuer};
    sendToVm(MessageKind::HandoverAck, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, DrainFinished &action)
{
    ++drainsFinished;
    wasLastDrainOrderly = action.wasOrderly;
    vms[vm].isFinished = true;
}

// Callers.

inline SubmissionId World::open(size_t vm)
{
    const uint64_t request = ++nextRequest;
    deliver(vm, vms[vm].self.incarnation, OpenRequested {LocalCaller {request}, 1});
    return openedIds.contains(request) ? openedIds[request] : SubmissionId {};
}

inline uint64_t World::submit(size_t vm, const SubmissionId &id, std::vector<std::string> inputs,
                              bool repeatable, Duration deadline, uint64_t digest,
                              const std::string &entry, const std::string &key)
{
    const uint64_t request = ++nextRequest;
    SubmitRequested event;
    event.origin = LocalCaller {request};
    event.id = id;
    event.key = key;
    event.owner = "team";
    event.entry = entry;
    event.bodyDigest = digest;
    event.deadline = now + deadline;
    event.repeatable = repeatable;
    for (const std::string &input : inputs)
        event.tasks.push_back({"", input});
    requestIds[request] = id;
    repeatableIds.try_emplace(toString(id), repeatable);
    requestInputs[request] = std::move(inputs);
    deliver(vm, vms[vm].self.incarnation, std::move(event));
    return request;
}

inline uint64_t World::cancel(size_t vm, const SubmissionId &id)
{
    const uint64_t request = ++nextRequest;
    requestIds[request] = id;
    cancels.insert(request);
    deliver(vm, vms[vm].self.incarnation, CancelRequested {LocalCaller {request}, id, "team"});
    return request;
}

inline const Error *World::failure(uint64_t request) const
{
    const auto found = replies.find(request);
    return found == replies.end() ? nullptr : errorOf(*found->second.outcome);
}

inline const Answer *World::answer(uint64_t request) const
{
    const auto found = replies.find(request);
    return found == replies.end() ? nullptr : std::get_if<Answer>(found->second.outcome.get());
}

inline std::vector<StartRecord> World::startsOf(const SubmissionId &id) const
{
    std::vector<StartRecord> found;
    for (const StartRecord &start : starts) {
        if (start.id.submission == id)
            found.push_back(start);
    }
    return found;
}

inline size_t World::count(MessageKind kind) const
{
    return size_t(std::count_if(messages.begin(), messages.end(),
                                [&](const auto &message) { return message.first == kind; }));
}

} // namespace lovage::test

#include "dispatch_world_check.h"
#include "dispatch_world_servers.h"
