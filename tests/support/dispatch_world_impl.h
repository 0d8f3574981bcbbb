// Implementation of World, see dispatch_world.h.
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
    after(100ms, [this, index] { stopLapsed(index); });
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
    housekeep(index, vm.self.incarnation);
}

inline void World::publishView(size_t index)
{
    BackendsChanged view;
    view.asOf = now;
    std::vector<size_t> alive;
    for (size_t i = 0; i < vms.size(); ++i) {
        if (vms[i].dataCentre == vms[index].dataCentre && vms[i].dispatcher && !vms[i].isFinished)
            alive.push_back(i);
    }
    for (size_t i = 0; i < servers.size(); ++i) {
        view.backends.push_back(servers[i].info);
        view.backends.back().leaving = servers[i].leavingSince.has_value();
        const bool isNear = servers[i].info.dataCentre == vms[index].dataCentre;
        if (isNear && alive[i % alive.size()] == index)
            view.ownShare.insert(servers[i].info.name);
    }
    const uint64_t incarnation = vms[index].self.incarnation;
    after(20ms, [this, index, incarnation, view] { deliver(index, incarnation, view); });
}

// Capacity to peers, leases and the view of the servers, as the daemon does.
inline void World::housekeep(size_t index, uint64_t incarnation)
{
    Vm &vm = vms[index];
    if (!vm.dispatcher || vm.self.incarnation != incarnation || vm.isFinished)
        return;
    after(200ms, [this, index, incarnation] { housekeep(index, incarnation); });
    publishView(index);
    if (vm.isPaused)
        return;
    renewLeases(index);
    const PeerCapacity capacity = vm.dispatcher->advertisedCapacity(now);
    for (size_t i = 0; i < vms.size(); ++i) {
        if (i != index && vms[i].dispatcher && !isCut(vm.name, vms[i].name))
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
        if (server.isUp && !isCut(vm.name, server.info.name)) {
            server.leases[holderOf(index)] = now + options.lease;
            vm.leaseUntil[*backend] = now + options.lease;
        } else if (vm.leaseUntil.contains(*backend) && vm.leaseUntil[*backend] < now) {
            vm.leaseUntil.erase(*backend);
            deliver(index, vm.self.incarnation, LeaseLapsed {*backend});
        }
    }
}

inline void World::stopLapsed(size_t index)
{
    after(100ms, [this, index] { stopLapsed(index); });
    std::vector<std::string> lapsed;
    for (const auto &[id, run] : servers[index].runs) {
        const bool isWorker = servers[index].info.kind == BackendKind::Worker;
        if (isWorker && run.end == RunEnd::Running && servers[index].leases[run.holder] < now)
            lapsed.push_back(id);
    }
    for (const std::string &id : lapsed)
        endRun(index, id, RunEnd::Stopped);
}

// Time.

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
    // A process that ends its drain still answers the requests it has received.
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

// Seam.

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

inline bool World::isCut(const std::string &left, const std::string &right) const
{
    return cut.contains({left, right});
}

inline void World::partition(const std::string &left, const std::string &right)
{
    cut.insert({left, right});
    cut.insert({right, left});
}

// Returns the delay of the message, or nothing if it is lost.
inline std::optional<Duration> World::post(Kind kind, const std::string &from,
                                           const std::string &to,
                                           const std::function<void()> &arrive)
{
    messages.emplace_back(kind, now);
    const Fate chosen = fate ? fate(kind, from, to) : Fate {};
    if (chosen.isDropped || isCut(from, to))
        return std::nullopt;
    after(chosen.delay, arrive);
    if (chosen.copyDelay)
        after(*chosen.copyDelay, arrive);
    return chosen.delay;
}

inline bool World::toVm(Kind kind, size_t from, const std::string &name,
                        const std::function<Event()> &make)
{
    const size_t index = vmIndex(name);
    const bool isUp = vms[index].dispatcher && !vms[index].isFinished;
    const uint64_t incarnation = vms[index].self.incarnation;
    const auto arrive = [this, index, incarnation, make] { deliver(index, incarnation, make()); };
    return post(kind, vms[from].name, name, arrive).has_value() && isUp;
}

// Actions of a VM.

inline void World::perform(size_t vm, Action &action)
{
    std::visit([&](auto &typed) { perform(vm, typed); }, action);
}

inline void World::perform(size_t, ReplyOpened &action)
{
    if (action.ids.has_value())
        opened[std::get<LocalCaller>(action.origin).request] = action.ids.value().front();
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
    const auto lose = [this, vm, incarnation, number] {
        after(replyTimeout, [=, this] { deliver(vm, incarnation, ForwardLost {number}); });
    };
    const uint64_t remote = ++nextRemote;
    remoteRequests[remote] = [=, this](const OutcomePtr &outcome) {
        const auto arrive = [=, this] {
            deliver(vm, incarnation, ForwardReplied {number, outcome});
        };
        if (!post(Kind::ForwardReply, target, vms[vm].name, arrive))
            lose();
    };
    const Origin origin = RemoteCaller {vms[vm].name, remote};
    if (!toVm(Kind::Forward, vm, target, [=] { return make(origin); }))
        lose();
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
    const auto lose = [=, this](bool wasSent) {
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
        const auto delay = post(Kind::StartReply, serverName, vmName, arrive);
        if (!delay || *delay > replyTimeout)
            after(replyTimeout, [=] { lose(true); });
    };
    if (!servers[server].isUp && !isCut(vmName, serverName)) {
        after(1ms, [=] { lose(false); });
        return;
    }
    const auto arrive = [=, this] {
        if (!servers[server].isUp) {
            after(replyTimeout, [=] { lose(true); });
            return;
        }
        std::vector<TaskReply> results = startAll(server, *message, holder);
        servers[server].onCrash.push_back([=, this] { after(20ms, [=] { lose(true); }); });
        if (message->wait)
            replyWhenEnded(server, std::move(results), reply);
        else
            reply(results);
    };
    const auto delay = post(Kind::Start, vmName, serverName, arrive);
    if (!delay || *delay > replyTimeout)
        after(replyTimeout, [=] { lose(true); });
}

inline void World::exchangeIds(size_t vm, uint32_t backend, uint64_t exchange,
                               std::vector<TaskId> ids, bool stop)
{
    const uint64_t incarnation = vms[vm].self.incarnation;
    const size_t server = serverIndex(vms[vm].dispatcher->placement().info(backend).name);
    const std::string vmName = vms[vm].name;
    const auto lose = [=, this] {
        after(replyTimeout, [=, this] {
            deliver(vm, incarnation, InquiryLost {backend, exchange});
        });
    };
    const auto arrive = [=, this] {
        if (!servers[server].isUp) {
            lose();
            return;
        }
        InquiryReplied reply {backend, exchange, servers[server].instance, {}};
        for (const TaskId &id : ids)
            reply.results.push_back(statusOf(server, id, stop));
        const Kind kind = stop ? Kind::StopReply : Kind::InquiryReply;
        if (!post(kind, servers[server].info.name, vmName,
                  [=, this] { deliver(vm, incarnation, reply); }))
            lose();
    };
    if (!post(stop ? Kind::Stop : Kind::Inquiry, vmName, servers[server].info.name, arrive))
        lose();
}

inline void World::perform(size_t vm, SendInquiry &action)
{
    exchangeIds(vm, action.backend, action.exchange, action.ids, false);
}

inline void World::perform(size_t vm, SendStop &action)
{
    exchangeIds(vm, action.backend, action.exchange, action.ids, true);
}

inline void World::perform(size_t vm, SendLend &action)
{
    lastLend = action.exchange;
    const LendReceived event {vms[vm].name, action.exchange, action.expectedIncarnation,
                              action.expiry, action.tasks};
    if (!toVm(Kind::Lend, vm, action.vm, [event] { return event; }))
        after(replyTimeout,
              [=, this, from = action.vm, exchange = action.exchange,
               incarnation = vms[vm].self.incarnation] {
                  deliver(vm, incarnation, LendLost {from, exchange, true});
              });
}

inline void World::perform(size_t vm, SendLendInquiry &action)
{
    const LendInquiryReceived event {vms[vm].name, action.exchange, action.ids, action.stop};
    toVm(Kind::LendInquiry, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, SendLendReply &action)
{
    const LendReplied event {vms[vm].name, vms[vm].self.incarnation, action.exchange,
                             action.results};
    if (toVm(Kind::LendReply, vm, action.vm, [event] { return event; }))
        return;
    const size_t lender = vmIndex(action.vm);
    after(replyTimeout, [=, this, incarnation = vms[lender].self.incarnation] {
        deliver(lender, incarnation, LendLost {event.vm, event.exchange, true});
    });
}

inline void World::perform(size_t vm, SendLendResult &action)
{
    const LendFinished event {vms[vm].name, vms[vm].self.incarnation, action.results};
    toVm(Kind::LendResult, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, SendLendInquiryReply &action)
{
    const LendInquiryReplied event {vms[vm].name, vms[vm].self.incarnation, action.exchange,
                                    action.results};
    toVm(Kind::LendInquiryReply, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, HandOverLedger &action)
{
    const HandoverReceived event {vms[vm].name, action.part};
    toVm(Kind::Handover, vm, action.successor, [event] { return event; });
}

inline void World::perform(size_t vm, AcknowledgeHandover &action)
{
    const HandoverAcknowledged event {action.part, action.issuer};
    toVm(Kind::HandoverAck, vm, action.vm, [event] { return event; });
}

inline void World::perform(size_t vm, DrainFinished &action)
{
    ++drainsFinished;
    wasLastDrainOrderly = action.wasOrderly;
    vms[vm].isFinished = true;
}

// Fake backend servers.

inline std::vector<TaskReply> World::startAll(size_t index, const SendStarts &message,
                                              const std::string &holder)
{
    FakeServer &server = servers[index];
    server.leases[holder] = std::max(server.leases[holder], now + message.lease);
    std::vector<TaskReply> results;
    for (const TaskStart &task : message.tasks) {
        const std::string id = toString(task.id);
        const bool isExpired = now > message.expiry && !server.acceptsExpired;
        const bool isForOther = message.instance != 0 && message.instance != server.instance;
        const bool isFull = server.running >= server.info.slots;
        if (server.runs.contains(id)) {
            results.push_back({task.id, TaskStatus::Duplicate});
        } else if (isExpired || isForOther || isFull || server.tombstones.contains(id)) {
            server.tombstones.insert(id);
            results.push_back({task.id, TaskStatus::Refused});
            if (server.startsAfterRefusal)
                begin(index, task.id, *task.input, holder);
        } else {
            begin(index, task.id, *task.input, holder);
            results.push_back({task.id, TaskStatus::Accepted});
        }
    }
    return results;
}

inline void World::begin(size_t index, const TaskId &id, const std::string &input,
                         const std::string &holder)
{
    FakeServer &server = servers[index];
    const std::string text = toString(id);
    server.runs[text] = {starts.size(), outputOf(input) + std::string(server.answerPadding, '.'),
                         RunEnd::Running, holder};
    starts.push_back({id, server.info.name, now});
    ++server.running;
    const RunEnd end = random.unit() < server.failShare ? RunEnd::Failed : RunEnd::Succeeded;
    after(server.runTime, [=, this, instance = server.instance] {
        if (servers[index].instance == instance && servers[index].isUp)
            endRun(index, text, end);
    });
}

inline void World::endRun(size_t index, const std::string &id, RunEnd end)
{
    FakeServer &server = servers[index];
    FakeServer::Run &run = server.runs.at(id);
    if (run.end != RunEnd::Running)
        return;
    run.end = end;
    starts[run.record].end = end;
    starts[run.record].endedAt = now;
    --server.running;
    if (server.info.kind == BackendKind::Worker)
        pushResult(index, starts[run.record].id, run.holder, now + 60s);
    std::erase_if(server.waits, [](const auto &wait) { return wait.second(); });
}

inline void World::replyWhenEnded(size_t index, std::vector<TaskReply> results,
                                  std::function<void(std::vector<TaskReply>)> reply)
{
    const auto sendIfEnded = [=, this] {
        std::vector<TaskReply> ended = results;
        for (TaskReply &result : ended) {
            if (result.status == TaskStatus::Accepted)
                result = finalReply(index, result.id);
            if (result.status == TaskStatus::Running)
                return false;
        }
        reply(std::move(ended));
        return true;
    };
    if (!sendIfEnded())
        servers[index].waits[++nextWait] = sendIfEnded;
}

inline TaskReply World::finalReply(size_t index, const TaskId &id)
{
    const FakeServer::Run &run = servers[index].runs.at(toString(id));
    TaskReply reply {id};
    reply.ran = servers[index].runTime;
    if (run.end == RunEnd::Running)
        reply.status = TaskStatus::Running;
    else if (run.end == RunEnd::Stopped)
        reply.status = TaskStatus::Stopped;
    else if (run.end == RunEnd::Failed)
        reply.status = TaskStatus::Failed;
    else
        reply.status = servers[index].isMalformed ? TaskStatus::Malformed : TaskStatus::Done;
    if (reply.status == TaskStatus::Done)
        reply.output = run.output;
    return reply;
}

inline TaskReply World::statusOf(size_t index, const TaskId &id, bool stop)
{
    const std::string text = toString(id);
    if (!servers[index].runs.contains(text)) {
        servers[index].tombstones.insert(text);
        return {id, TaskStatus::Unknown};
    }
    if (stop)
        endRun(index, text, RunEnd::Stopped);
    TaskReply reply = finalReply(index, id);
    reply.hasOutput = false;
    reply.output.clear();
    return reply;
}

// Workers keep a result until its holder has fetched it.
inline void World::pushResult(size_t index, const TaskId &id, const std::string &holder, Time until)
{
    FakeServer &server = servers[index];
    const size_t vm = vmIndex(holder.substr(0, holder.find('.')));
    if (now > until || !vms[vm].dispatcher || holderOf(vm) != holder
        || !server.runs.contains(toString(id)))
        return;
    const auto backend = vms[vm].dispatcher->placement().indexOf(server.info.name);
    const TaskFinished event {*backend, server.instance, finalReply(index, id), {}};
    const auto arrive = [=, this, incarnation = vms[vm].self.incarnation] {
        deliver(vm, incarnation, event);
    };
    if (!post(Kind::Result, server.info.name, vms[vm].name, arrive))
        after(100ms, [=, this] { pushResult(index, id, holder, until); });
}

inline void World::crashServer(size_t index)
{
    FakeServer &server = servers[index];
    server.isUp = false;
    for (const auto &[id, run] : server.runs) {
        if (run.end != RunEnd::Running)
            continue;
        starts[run.record].end = RunEnd::Died;
        starts[run.record].endedAt = now;
    }
    server.runs.clear();
    server.tombstones.clear();
    server.waits.clear();
    server.leases.clear();
    server.running = 0;
    for (const auto &notify : std::exchange(server.onCrash, {}))
        notify();
}

inline void World::restartServer(size_t index)
{
    servers[index].isUp = true;
    ++servers[index].instance;
}

inline void World::crashVm(size_t index)
{
    vms[index].dispatcher.reset();
    vms[index].inbox.clear();
    for (size_t i = 0; i < vms.size(); ++i) {
        if (i != index && vms[i].dispatcher)
            after(3s, [=, this, incarnation = vms[i].self.incarnation] {
                deliver(i, incarnation, PeerLost {vms[index].name});
            });
    }
}

inline void World::markLeaving(size_t server)
{
    servers[server].leavingSince = now;
}

inline void World::drain(size_t vm, const std::string &successor)
{
    const uint64_t incarnation = vms[vm].self.incarnation;
    deliver(vm, incarnation, DrainRequested {successor, "peer:1"});
    for (size_t i = 0; i < vms.size(); ++i) {
        if (i != vm && vms[i].dispatcher)
            deliver(i, vms[i].self.incarnation, IssuerSealed {vms[vm].self, successor});
    }
}

// Callers.

inline SubmissionId World::open(size_t vm)
{
    const uint64_t request = ++nextRequest;
    deliver(vm, vms[vm].self.incarnation, OpenRequested {LocalCaller {request}, 1});
    return opened.contains(request) ? opened[request] : SubmissionId {};
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

inline size_t World::count(Kind kind) const
{
    return size_t(std::count_if(messages.begin(), messages.end(),
                                [&](const auto &message) { return message.first == kind; }));
}

} // namespace lovage::test

#include "dispatch_world_check.h"
