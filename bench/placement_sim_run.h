// The events of the simulation declared in placement_sim.h.
#pragma once

#include "placement_sim.h"

#include <fmt/format.h>

namespace lovage::bench {

inline Simulation::Simulation(const Scenario &scenario, Policy policy, Workload workload)
    : scenario_(scenario), servers_(std::move(workload.servers)), jobs_(std::move(workload.jobs))
{
    std::vector<BackendInfo> all;
    for (size_t i = 0; i < servers_.size(); ++i) {
        BackendInfo info;
        info.name = fmt::format("executor-{}", i);
        info.slots = slotsPerServer;
        all.push_back(info);
    }
    PlacementOptions options;
    options.policy = policy;
    options.localQueue = scenario.localQueue;
    for (uint32_t i = 0; i < scenario.instances; ++i) {
        Instance instance;
        instance.placement = std::make_unique<Placement>(options, scenario.seed + i);
        std::set<std::string> share;
        for (size_t server = 0; server < servers_.size(); ++server) {
            if (servers_[server].instance == i)
                share.insert(all[server].name);
        }
        instance.placement->setBackends(all, share, at(0));
        instances_.push_back(std::move(instance));
    }
}

inline void Simulation::schedule(double time, Kind kind, uint32_t index, uint32_t part)
{
    events_.push({time, nextOrder_++, kind, index, part});
}

inline Outcome Simulation::run()
{
    for (uint32_t i = 0; i < jobs_.size(); ++i)
        schedule(jobs_[i].arrival, Kind::Arrival, i);
    unfinished_ = jobs_.size();
    schedule(0, Kind::Tick, 0);
    schedule(0, Kind::Capacity, 0);
    while (unfinished_ > 0 && now_ < scenario_.seconds * 10) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        handle(event);
    }
    collect();
    return outcome_;
}

inline void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case Kind::Arrival:
        return arrive(event.index);
    case Kind::StartArrives:
        return startArrives(event.index);
    case Kind::TaskEnds:
        return taskEnds(event.index, event.part);
    case Kind::Reply:
        return reply(event.index);
    case Kind::LendArrives:
        return lendArrives(event.index);
    case Kind::LendReturns:
        return lendReturns(event.index);
    case Kind::Capacity:
        advertise();
        return schedule(now_ + 0.5, Kind::Capacity, 0);
    case Kind::Tick:
        for (uint32_t i = 0; i < instances_.size(); ++i)
            drain(i);
        return schedule(now_ + 0.02, Kind::Tick, 0);
    }
}

inline void Simulation::arrive(uint32_t index)
{
    const Job &job = jobs_[index];
    Instance &instance = instances_[job.instance];
    for (uint32_t i = 0; i < job.durations.size(); ++i) {
        QueuedTask task;
        task.submission = index + 1;
        task.index = i;
        task.need.workClass = workClasses[job.workClass].name;
        task.need.owner = "owner-a";
        task.need.declaredRunTime = Duration(int64_t(job.declared * 1e6));
        // A common slack keeps the arrival order inside the owner.
        task.need.deadline = at(job.arrival + 1000);
        task.need.wasteWeight = scenario_.wasteWeight;
        if (!instance.queue.push(task.need.owner, task, at(now_)))
            throw std::runtime_error("the queue refused a task");
    }
    drain(job.instance);
}

inline void Simulation::drain(uint32_t index)
{
    Instance &instance = instances_[index];
    const Time now = at(now_);
    std::map<std::pair<uint64_t, uint32_t>, std::vector<TaskRef>> starts;
    std::map<std::pair<uint64_t, uint32_t>, std::vector<TaskRef>> lends;
    instance.queue.clearHolds();
    while (std::optional<QueuedTask> task = instance.queue.pop(now)) {
        TaskRequirements &need = task->need;
        need.waiting = static_cast<uint32_t>(instance.queue.size() + 1);
        need.jobWaiting = static_cast<uint32_t>(instance.queue.queuedOf(task->submission) + 1);
        const size_t jobSize = jobs_[task->submission - 1].durations.size();
        need.lastOfJob = jobSize > 1 && need.jobWaiting <= std::max<size_t>(1, jobSize / 20);
        const auto lentBy = instance.lentBy.find({task->submission, task->index});
        const bool isLent = lentBy != instance.lentBy.end();
        const Choice choice = instance.placement->choose(need, now);
        if (const auto *backend = std::get_if<ToBackend>(&choice)) {
            instance.placement->reserve(backend->backend, need, now);
            starts[{task->submission, backend->backend}].push_back(
                    {*task, isLent ? lentBy->second : UINT32_MAX});
            if (isLent)
                instance.lentBy.erase(lentBy);
        } else if (const auto *peer = std::get_if<ToPeer>(&choice); peer != nullptr && !isLent) {
            instance.placement->lend(peer->vm, need, now);
            const auto to = static_cast<uint32_t>(std::stoul(peer->vm));
            lends[{task->submission, to}].push_back({*task});
        } else {
            const std::string workClass = need.workClass;
            instance.queue.requeue(std::move(*task));
            instance.queue.holdClass(workClass);
        }
    }
    for (const auto &[key, tasks] : starts) {
        const size_t limit = instance.placement->batchLimit(tasks.front().task.need);
        std::vector<TaskRef> part;
        for (const TaskRef &task : tasks) {
            part.push_back(task);
            if (part.size() == limit)
                sendBatch(index, key.second, std::exchange(part, {}));
        }
        if (!part.empty())
            sendBatch(index, key.second, std::move(part));
    }
    for (auto &[key, tasks] : lends)
        sendLend(index, key.second, std::move(tasks));
}

inline void Simulation::countMessage(const std::vector<TaskRef> &tasks, bool wasted)
{
    ++outcome_.messages;
    outcome_.wasted += wasted;
    if (jobs_[tasks.front().task.submission - 1].durations.size() >= 100)
        ++outcome_.jobMessages;
}

inline void Simulation::sendBatch(uint32_t instance, uint32_t server, std::vector<TaskRef> tasks)
{
    Batch batch;
    batch.server = server;
    batch.ran.resize(tasks.size());
    batch.ends.resize(tasks.size(), AttemptOutcome::Succeeded);
    batch.tasks = std::move(tasks);
    batches_.push_back(std::move(batch));
    schedule(now_ + oneWay, Kind::StartArrives, static_cast<uint32_t>(batches_.size() - 1));
}

inline void Simulation::startArrives(uint32_t index)
{
    Batch &batch = batches_[index];
    Server &server = servers_[batch.server];
    for (uint32_t i = 0; i < batch.tasks.size(); ++i) {
        if (server.fails && now_ >= faultStart) {
            batch.ends[i] = AttemptOutcome::Failed;
            const Placement &placement = *instances_[server.instance].placement;
            server.failures += !placement.health(batch.server).ejected;
        } else if (server.running < slotsPerServer) {
            ++batch.running;
            startTask(index, i);
        } else if (server.queued.size() < scenario_.localQueue) {
            ++batch.running;
            server.queued.emplace_back(index, i);
        } else {
            batch.ends[i] = AttemptOutcome::Refused;
        }
    }
    if (batch.running == 0)
        schedule(now_ + 0.001, Kind::Reply, index);
}

inline void Simulation::startTask(uint32_t index, uint32_t position)
{
    Batch &batch = batches_[index];
    Server &server = servers_[batch.server];
    const QueuedTask &task = batch.tasks[position].task;
    const double duration = jobs_[task.submission - 1].durations[task.index];
    ++server.running;
    batch.ran[position] = duration / speedAt(server, now_);
    schedule(now_ + batch.ran[position], Kind::TaskEnds, index, position);
}

inline void Simulation::taskEnds(uint32_t index, uint32_t task)
{
    Batch &batch = batches_[index];
    Server &server = servers_[batch.server];
    --server.running;
    if (!server.queued.empty()) {
        const auto [queuedBatch, position] = server.queued.front();
        server.queued.pop_front();
        startTask(queuedBatch, position);
    }
    if (--batch.running == 0)
        schedule(now_ + oneWay, Kind::Reply, index);
}

inline void Simulation::reply(uint32_t index)
{
    const Batch batch = std::move(batches_[index]);
    const Server &server = servers_[batch.server];
    const uint32_t owner = server.instance;
    Instance &instance = instances_[owner];
    const Time now = at(now_);
    bool wasted = false;
    std::map<uint32_t, std::vector<TaskRef>> returned;
    for (uint32_t i = 0; i < batch.tasks.size(); ++i) {
        const TaskRef &ref = batch.tasks[i];
        const AttemptOutcome end = batch.ends[i];
        instance.placement->release(batch.server, ref.task.need, end,
                                    Duration(int64_t(batch.ran[i] * 1e6)), now);
        wasted |= end != AttemptOutcome::Succeeded;
        if (end == AttemptOutcome::Refused) {
            if (ref.lentBy != UINT32_MAX)
                instance.lentBy[{ref.task.submission, ref.task.index}] = ref.lentBy;
            instance.queue.requeue(ref.task);
        } else if (ref.lentBy != UINT32_MAX) {
            returned[ref.lentBy].push_back(ref);
            returned[ref.lentBy].back().failed = end == AttemptOutcome::Failed;
        } else {
            finishTask(ref.task, end == AttemptOutcome::Failed, owner);
        }
    }
    const uint32_t busy = std::min(server.running, slotsPerServer);
    instance.placement->reportFree(batch.server, slotsPerServer - busy, now);
    countMessage(batch.tasks, wasted);
    outcome_.mostEjected = std::max(outcome_.mostEjected, instance.placement->ejectedCount());
    for (auto &[to, tasks] : returned) {
        countMessage(tasks, false);
        parcels_.push_back({owner, to, std::move(tasks)});
        schedule(now_ + std::chrono::duration<double>(scenario_.peerDelay).count(),
                 Kind::LendReturns, static_cast<uint32_t>(parcels_.size() - 1));
    }
    drain(owner);
}

inline void Simulation::sendLend(uint32_t from, uint32_t to, std::vector<TaskRef> tasks)
{
    countMessage(tasks, false);
    outcome_.lends += tasks.size();
    parcels_.push_back({from, to, std::move(tasks)});
    schedule(now_ + std::chrono::duration<double>(scenario_.peerDelay).count(), Kind::LendArrives,
             static_cast<uint32_t>(parcels_.size() - 1));
}

inline void Simulation::lendArrives(uint32_t index)
{
    const Parcel parcel = std::move(parcels_[index]);
    Instance &instance = instances_[parcel.to];
    for (const TaskRef &ref : parcel.tasks) {
        instance.lentBy[{ref.task.submission, ref.task.index}] = parcel.from;
        if (!instance.queue.push(ref.task.need.owner, ref.task, at(now_)))
            throw std::runtime_error("the queue refused a lent task");
    }
    drain(parcel.to);
}

inline void Simulation::lendReturns(uint32_t index)
{
    const Parcel parcel = std::move(parcels_[index]);
    for (const TaskRef &ref : parcel.tasks) {
        instances_[parcel.to].placement->lendEnded(std::to_string(parcel.from), ref.task.need,
                                                   AttemptOutcome::Succeeded, at(now_));
        finishTask(ref.task, ref.failed, parcel.to);
    }
    // A lend reply carries the free slots of the lender.
    PeerCapacity capacity = instances_[parcel.from].placement->ownCapacity(
            {static_cast<uint32_t>(instances_[parcel.from].queue.size()), 0}, at(now_));
    capacity.vm = std::to_string(parcel.from);
    instances_[parcel.to].placement->setPeerCapacity(capacity, at(now_));
    drain(parcel.to);
}

inline void Simulation::finishTask(const QueuedTask &task, bool failed, uint32_t instance)
{
    Job &job = jobs_[task.submission - 1];
    if (failed) {
        if (!instances_[instance].queue.push(task.need.owner, task, at(now_)))
            throw std::runtime_error("the queue refused a retry");
        return;
    }
    ++outcome_.tasks;
    outcome_.jobTasks += job.durations.size() >= 100;
    if (--job.unfinished > 0)
        return;
    job.end = now_;
    --unfinished_;
}

inline void Simulation::advertise()
{
    for (uint32_t from = 0; from < instances_.size(); ++from) {
        PeerCapacity capacity = instances_[from].placement->ownCapacity(
                {static_cast<uint32_t>(instances_[from].queue.size()), 0}, at(now_));
        capacity.vm = std::to_string(from);
        for (uint32_t to = 0; to < instances_.size(); ++to) {
            if (to != from)
                instances_[to].placement->setPeerCapacity(capacity, at(now_));
        }
    }
}

inline void Simulation::collect()
{
    for (const Job &job : jobs_) {
        if (job.arrival < warmUp)
            continue;
        const double end = job.unfinished > 0 ? now_ : job.end;
        const double response = end - job.arrival;
        const double ideal = job.idealEnd - job.arrival;
        outcome_.ratios.push_back(response / ideal);
        outcome_.responses.push_back(response);
        outcome_.idealResponses.push_back(ideal);
        if (job.workClass == 0 && job.durations.size() == 1)
            outcome_.shortRatios.push_back(response / ideal);
        if (job.durations.size() >= 100)
            outcome_.jobRatios.push_back(response / ideal);
    }
    for (const Server &server : servers_)
        outcome_.mostFailuresOfBlackHole =
                std::max(outcome_.mostFailuresOfBlackHole, server.failures);
}

} // namespace lovage::bench
