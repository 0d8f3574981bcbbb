// Implementation of World: fake backend servers, and faults of servers and VMs.
#pragma once

#include "dispatch_world.h"

namespace lovage::test {

inline std::vector<TaskReply> World::startTasks(size_t index, const SendStarts &message,
                                                const std::string &holder)
{
    FakeServer &server = servers[index];
    server.leases[holder] = std::max(server.leases[holder], now + message.lease);
    std::vector<TaskReply> results;
    for (const TaskStart &task : message.tasks) {
        const std::string id = toString(task.id);
        const bool isExpired = now > message.expiry && !server.acceptsExpired;
        const bool isForOtherInstance =
                message.instance != 0 && message.instance != server.instance;
        const bool isFull = server.running >= server.info.slots;
        if (server.runs.contains(id)) {
            results.push_back({task.id, TaskStatus::Duplicate});
        } else if (isExpired || isForOtherInstance || isFull || server.tombstones.contains(id)) {
            server.tombstones.insert(id);
            results.push_back({task.id, TaskStatus::Refused});
            if (server.startsAfterRefusal)
                beginRun(index, task.id, *task.input, holder);
        } else {
            beginRun(index, task.id, *task.input, holder);
            results.push_back({task.id, TaskStatus::Accepted});
        }
    }
    return results;
}

inline void World::beginRun(size_t index, const TaskId &id, const std::string &input,
                            const std::string &holder)
{
    FakeServer &server = servers[index];
    const std::string text = toString(id);
    server.runs[text] = {starts.size(), outputOf(input) + std::string(server.outputPadding, '.'),
                         RunEnd::Running, holder};
    starts.push_back({id, server.info.name, now});
    ++server.running;
    const RunEnd end =
            random.unit() < server.failureProbability ? RunEnd::Failed : RunEnd::Succeeded;
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
    std::erase_if(server.pendingReplies, [](const auto &wait) { return wait.second(); });
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
        servers[index].pendingReplies[++nextPendingReply] = sendIfEnded;
}

inline TaskReply World::finalReply(size_t index, const TaskId &id)
{
    const FakeServer::Run &run = servers[index].runs.at(toString(id));
    TaskReply reply {id};
    reply.runTime = servers[index].runTime;
    if (run.end == RunEnd::Running)
        reply.status = TaskStatus::Running;
    else if (run.end == RunEnd::Stopped)
        reply.status = TaskStatus::Stopped;
    else if (run.end == RunEnd::Failed)
        reply.status = TaskStatus::Failed;
    else
        reply.status =
                servers[index].sendsMalformedResults ? TaskStatus::Malformed : TaskStatus::Done;
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

// Sends a worker's result to its holder. Workers keep a result and retry until the holder has
// received it.
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
    if (!sendMessage(MessageKind::Result, server.info.name, vms[vm].name, arrive))
        after(100ms, [=, this] { pushResult(index, id, holder, until); });
}

inline void World::crashServer(size_t index)
{
    FakeServer &server = servers[index];
    server.isUp = false;
    for (const auto &[id, run] : server.runs) {
        if (run.end != RunEnd::Running)
            continue;
        starts[run.record].end = RunEnd::Crashed;
        starts[run.record].endedAt = now;
    }
    server.runs.clear();
    server.tombstones.clear();
    server.pendingReplies.clear();
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

} // namespace lovage::test
