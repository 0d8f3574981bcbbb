// Placement of stored jobs: assigns waiting tasks to pools.
#include "lovage/keeper.h"

#include "partition.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

using keeper::StoredJob;
using keeper::StoredTask;

namespace {

// A placement pass ends after more than this number of jobs could not be placed in full.
constexpr size_t maxUnplacedJobs = 32;
// Largest number of tasks in one batch.
constexpr size_t maxBatchTasks = 200;
// Interval at which an unanswered batch is resent. It doubles with each resend up to the maximum.
constexpr Duration initialResendInterval = std::chrono::seconds(1);
constexpr Duration maxResendInterval = std::chrono::seconds(8);
// Time after which a pool does not start the tasks of a batch. It is at most the first resend
// interval, and less than the time after which the tasks of a lost pool are started elsewhere.
constexpr Duration batchValidity = std::chrono::seconds(1);
// Batch size for tasks that occupy no cores.
constexpr size_t zeroCoreBatchSize = 20;

std::vector<uint32_t> readyTasks(const std::vector<StoredTask> &tasks, Time now)
{
    std::vector<uint32_t> ready;
    for (uint32_t index = 0; index < tasks.size(); ++index) {
        const StoredTask &task = tasks[index];
        if (!task.isDone && !task.isPlaced() && !task.isEndPending && task.notBefore <= now)
            ready.push_back(index);
    }
    return ready;
}

size_t taskCapacity(const Step &step, const ServiceLoad &load)
{
    if (step.demand.milliCores == 0 || step.usesSpareCores)
        return zeroCoreBatchSize;
    return load.freeMilliCores / step.demand.milliCores;
}

} // namespace

// Assumes that each of the other keepers has the same backlog as this one.
Duration JobKeeper::expectedWait(const JobSpec &job, const std::string &service, Time now)
{
    if (job.repeatCount > 0)
        return Duration::zero(); // repetitions start at their due times
    double rate = 0;
    double queued = 0;
    const Step &first = job.steps.front();
    for (const PoolView &pool : poolsFor(service, ownLoads_, vms_, now)) {
        if (taskCapacity(first, *pool.load) > 0)
            return Duration::zero();
        rate += pool.load->rate;
        queued += pool.load->queuedWork;
    }
    if (rate <= 0)
        return Duration::zero();
    size_t keepers = 1;
    for (const auto &[name, row] : vms_.rows())
        keepers += row.report.claims.empty() ? 0 : 1;
    double waiting = 0;
    for (auto &[number, partition] : partitions_) {
        for (const Partition::PlacementKey &key : partition->placementQueue()) {
            const StoredJob &other = partition->jobs().at(key.job);
            if (other.queueParameters().service == service)
                waiting += other.waitingCoreSeconds();
        }
    }
    queued += waiting * static_cast<double>(keepers);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(queued / rate));
}

// Places waiting tasks in the order of their jobs' keys, across all partitions.
void JobKeeper::placeWaitingJobs(Time now)
{
    isPlacementDue_ = false;
    std::vector<std::pair<Partition::PlacementKey, Partition *>> candidates;
    for (auto &[number, partition] : partitions_) {
        if (!isAuthoritative(*partition, now) || now < partition->earliestStart())
            continue;
        size_t count = 0;
        for (const Partition::PlacementKey &key : partition->placementQueue()) {
            candidates.emplace_back(key, partition.get());
            if (++count > maxUnplacedJobs)
                break;
        }
    }
    std::sort(candidates.begin(), candidates.end());
    PoolsByService pools;
    size_t unplacedJobs = 0;
    for (auto &[key, partition] : candidates) {
        unplacedJobs += placeJob(*partition, key.job, pools, now) ? 0 : 1;
        if (unplacedJobs > maxUnplacedJobs)
            return;
    }
}

bool JobKeeper::placeJob(Partition &partition, const std::string &id, PoolsByService &pools,
                         Time now)
{
    StoredJob *job = partition.find(id);
    if (!job)
        return true;
    const std::string &service = job->queueParameters().service;
    auto found = pools.find(service);
    if (found == pools.end())
        found = pools.emplace(service, poolsFor(service, ownLoads_, vms_, now)).first;
    bool isFullyPlaced = true;
    if (!job->isClosed()) {
        for (auto &[number, occurrence] : job->occurrences()) {
            if (!job->isDue(number, now))
                continue;
            for (uint32_t step = 0; step < occurrence.steps.size(); ++step) {
                if (occurrence.steps[step].unfinished > 0 && job->isStepReady(occurrence, step))
                    isFullyPlaced &= placeStep(partition, *job, number, step, found->second, now);
            }
        }
    }
    if (isFullyPlaced)
        partition.updateIndexes(id, now);
    return isFullyPlaced;
}

// Returns whether every ready task of the step was sent to a pool.
bool JobKeeper::placeStep(Partition &partition, StoredJob &job, uint32_t occurrence, uint32_t step,
                          std::vector<PoolView> &pools, Time now)
{
    const Step &spec = job.spec().steps[step];
    auto &tasks = job.occurrences().at(occurrence).steps[step].tasks;
    std::vector<uint32_t> ready = readyTasks(tasks, now);
    // The members of a gang start together, so all members must have ended their last run.
    if (ready.empty() || (spec.isGang && ready.size() < tasks.size()))
        return ready.empty();
    std::stable_sort(pools.begin(), pools.end(), [](const PoolView &left, const PoolView &right) {
        return left.load->freeMilliCores > right.load->freeMilliCores;
    });
    for (const PoolView &pool : pools) {
        const size_t capacity = std::min(taskCapacity(spec, *pool.load), maxBatchTasks);
        if (ready.empty())
            break;
        if (capacity == 0 || job.isRefusedBy(pool.vm, now)
            || (spec.isGang && capacity < ready.size()))
            continue;
        const size_t count = std::min(capacity, ready.size());
        const std::vector<uint32_t> chosen(ready.begin(), ready.begin() + static_cast<long>(count));
        ready.erase(ready.begin(), ready.begin() + static_cast<long>(count));
        const uint64_t used = uint64_t {spec.demand.milliCores} * count;
        pool.load->freeMilliCores -= std::min(used, pool.load->freeMilliCores);
        startTasks(partition, job, {job.spec().id, occurrence, step, 0}, chosen, pool.vm, now);
    }
    return ready.empty();
}

// Sends the tasks to the pool of a VM as one batch, if necessary once their restart is in the
// journal.
void JobKeeper::startTasks(Partition &partition, StoredJob &job, const TaskName &first,
                           const std::vector<uint32_t> &indexes, const std::string &vm, Time now)
{
    TaskBatch batch;
    batch.keeper = {vms_.self().name, vms_.self().incarnation, partition.number(),
                    partition.epoch()};
    const VmTable::Row *row = vms_.find(vm);
    batch.poolIncarnation = row ? row->report.vm.incarnation : vms_.self().incarnation;
    batch.job = job.spec().id;
    batch.payload = job.spec().payload;
    batch.queue = job.queueParameters().queue;
    batch.service = job.queueParameters().service;
    batch.step = job.spec().steps[first.step];
    batch.stepNumber = first.step;
    batch.occurrence = first.occurrence;
    auto &tasks = job.occurrences().at(first.occurrence).steps[first.step].tasks;
    // All tasks of the batch get the same run number, as the members of a gang require.
    uint32_t run = 0;
    bool isRestart = false;
    for (const uint32_t index : indexes) {
        run = std::max(run, job.nextRun(tasks[index], partition.epoch()));
        isRestart |= job.needsRestartRecord(tasks[index], partition.epoch());
    }
    std::string checkpoint;
    for (const uint32_t index : indexes) {
        StoredTask &task = tasks[index];
        if (batch.step.isGang && !checkpoint.empty())
            task.checkpoint = checkpoint;
        checkpoint = task.checkpoint;
        task.lastRun = run;
        task.ownRun = StoredTask::OwnRun::Open;
        task.sends = 0;
        task.pool = vm;
        task.poolIncarnation = batch.poolIncarnation;
        task.presumedEndAt = Time::max();
        batch.tasks.push_back({index, run, task.checkpoint});
    }
    job.hasStarted = true;
    BatchDelivery delivery {vm, std::move(batch), initialResendInterval};
    if (!isRestart) {
        sendBatch(std::move(delivery), now);
        return;
    }
    addLogEntry("restart-placed", job.spec().id,
                fmt::format("step={} occurrence={} tasks={} run={} vm={}", first.step,
                            first.occurrence, indexes.size(), run, vm));
    partition.write(TasksRestarted {job.spec().id, first.occurrence, first.step, indexes, run},
                    std::move(delivery));
}

// Sends a batch whose restart is in the journal, unless the job was closed in the meantime.
void JobKeeper::onRestartStored(Partition &partition, BatchDelivery delivery, Time now)
{
    StoredJob *job = partition.find(delivery.batch.job);
    if (!job)
        return;
    if (!job->isClosed()) {
        sendBatch(std::move(delivery), now);
        return;
    }
    const TaskBatch &batch = delivery.batch;
    for (const TaskStart &start : batch.tasks) {
        StoredTask *task = job->find({batch.job, batch.occurrence, batch.stepNumber, start.index});
        if (task && task->lastRun == start.run)
            task->pool.clear();
    }
    partition.updateIndexes(batch.job, now);
}

// Returns the end of the validity of a batch on the clock of the VM. A batch to a VM that is not
// known any more has no validity.
Time JobKeeper::startByFor(const std::string &vm, Time now) const
{
    if (vm == vms_.self().name)
        return now + batchValidity;
    const VmTable::Row *row = vms_.find(vm);
    return row ? VmTable::clockOf(*row, now) + batchValidity : Time {};
}

// Sends the tasks of a batch that the pool is still to start, and schedules the next resend.
void JobKeeper::sendBatch(BatchDelivery delivery, Time now)
{
    TaskBatch &batch = delivery.batch;
    Partition *partition = partitionOf(batch.job);
    StoredJob *job = partition ? partition->find(batch.job) : nullptr;
    if (!job || job->isClosed() || partition->epoch() != batch.keeper.epoch)
        return;
    std::erase_if(batch.tasks, [&](const TaskStart &start) {
        const StoredTask *task =
                job->find({batch.job, batch.occurrence, batch.stepNumber, start.index});
        return !task || task->isDone || task->pool != delivery.vm || task->lastRun != start.run
                || task->isEndPending;
    });
    if (batch.tasks.empty())
        return;
    batch.startBy = startByFor(delivery.vm, now);
    const bool isVmKnown = delivery.vm == vms_.self().name || vms_.find(delivery.vm);
    if (isVmKnown && isAuthoritative(*partition, now)) {
        addLogEntry("batch-sent", batch.job,
                    fmt::format("step={} occurrence={} tasks={} run={} vm={} partition={} epoch={}",
                                batch.stepNumber, batch.occurrence, batch.tasks.size(),
                                batch.tasks.front().run, delivery.vm, partition->number(),
                                partition->epoch()));
        for (const TaskStart &start : batch.tasks)
            ++job->find({batch.job, batch.occurrence, batch.stepNumber, start.index})->sends;
        actions_.emplace_back(SendBatch {delivery.vm, batch});
    }
    const Time next = now + delivery.resendInterval;
    delivery.resendInterval = std::min(delivery.resendInterval * 2, maxResendInterval);
    sentBatches_.emplace(next, std::move(delivery));
}

void JobKeeper::resendBatches(Time now)
{
    while (!sentBatches_.empty() && sentBatches_.begin()->first <= now) {
        BatchDelivery delivery = std::move(sentBatches_.begin()->second);
        sentBatches_.erase(sentBatches_.begin());
        sendBatch(std::move(delivery), now);
    }
}

} // namespace lovage
