#include "lovage/admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <deque>
#include <unordered_map>

namespace lovage {

namespace {

// Bounds of the quantum: the number of starts an owner gets per round, which is its weight relative
// to the mean weight. The minimum limits the rounds until an owner with a small weight is served.
// The maximum limits the starts of one owner before the next one is served.
constexpr double minQuantum = 1.0 / 8;
constexpr double maxQuantum = 64;
// The start rate is measured over windows of at least this length in which the queue is never
// empty.
constexpr Duration rateWindow = std::chrono::milliseconds(500);
// A measured start rate is used for this time.
constexpr Duration rateLifetime = std::chrono::seconds(10);
// Factor on the waits expected by the measured start rate, because the rate varies. Without this
// margin, half of the work that is admitted at the limit is late.
constexpr double waitMargin = 1.1;
// Cancelled tasks are purged when they outnumber the queued ones of an owner by this many.
constexpr size_t purgeSlack = 64;

// Entry of the heap of a class queue. The task itself is in the slab.
struct HeapEntry
{
    Time deadline {};
    uint64_t order = 0;
    uint32_t slot = 0;
};

bool isLater(const HeapEntry &left, const HeapEntry &right)
{
    return std::pair(left.deadline, left.order) > std::pair(right.deadline, right.order);
}

// Tasks of one owner and class, as a heap with the earliest deadline first.
struct ClassQueue
{
    uint32_t workClass = 0;
    std::vector<HeapEntry> heap;
};

struct OwnerQueue
{
    std::string name;
    double weight = 1;
    double quantum = 1;
    size_t limit = 0; // maximum number of queued tasks of the owner; 0 is unlimited
    std::vector<ClassQueue> classQueues;
    size_t live = 0;   // number of queued tasks that are not cancelled
    size_t stored = 0; // number of tasks in the heaps, including cancelled ones not yet dropped
    double deficit = 0;
    bool isInRing = false;
    bool hasQuantum = false; // whether the owner has received its quantum in this round
    bool isHeld = false;
};

struct Submission
{
    uint32_t owner = 0;
    BackendKind kind = BackendKind::Executor;
    size_t queued = 0; // number of its tasks in the slab, also if the submission is cancelled
    bool isCancelled = false;
};

} // namespace

class FairQueue::State
{
public:
    explicit State(FairQueueOptions givenOptions) : options(givenOptions) { }

    uint32_t ownerIndex(const std::string &name);
    const OwnerQueue *findOwner(const std::string &name) const;
    void updateQuantums();
    void insert(uint32_t owner, QueuedTask task);
    std::optional<QueuedTask> popFrom(OwnerQueue &owner);
    std::optional<QueuedTask> pop(Time now);
    size_t cancel(uint64_t submission);
    void purgeCancelled(OwnerQueue &owner);
    void recordStart(Time now);
    double rate(Time now) const;
    Duration expectedWait(const OwnerQueue *owner, size_t tasks, Time now) const;

    FairQueueOptions options;
    std::vector<OwnerQueue> owners;
    std::unordered_map<std::string, uint32_t> ownerIndexes;
    std::unordered_map<std::string, uint32_t> classIndexes;
    std::vector<bool> heldClasses;
    std::unordered_map<uint64_t, Submission> submissions;
    size_t live = 0;
    std::array<size_t, 2> liveByKind {};
    uint64_t nextOrder = 1;
    double estimatedRate = 0;

private:
    uint32_t classIndex(const std::string &name);
    ClassQueue *nextClassQueue(OwnerQueue &owner);
    void dropCancelled(OwnerQueue &owner, ClassQueue &classQueue);
    QueuedTask popTop(OwnerQueue &owner, ClassQueue &classQueue);
    void releaseSlot(uint32_t slot);
    void addToRing(uint32_t owner, bool inFront);
    void removeFrontFromRing();

    std::vector<QueuedTask> slab_;
    std::vector<uint32_t> freeSlots_;
    // Indexes of the owners with stored tasks. The owner at the front is served next.
    std::deque<uint32_t> ring_;
    double ringQuantum_ = 0; // sum of the quantums of the owners in the ring
    double meanWeight_ = 1;

    // Measurement of the start rate while the queue is not empty.
    Time windowStart_ {};
    uint64_t windowStarts_ = 0;
    bool isWindowOpen_ = false;
    double measuredRate_ = 0;
    Time measuredAt_ {};

    friend class FairQueue;
};

uint32_t FairQueue::State::classIndex(const std::string &name)
{
    const auto [found, added] = classIndexes.try_emplace(name, classIndexes.size());
    if (added)
        heldClasses.push_back(false);
    return found->second;
}

uint32_t FairQueue::State::ownerIndex(const std::string &name)
{
    const auto [found, added] = ownerIndexes.try_emplace(name, owners.size());
    if (added) {
        owners.push_back({});
        owners.back().name = name;
        updateQuantums();
    }
    return found->second;
}

const OwnerQueue *FairQueue::State::findOwner(const std::string &name) const
{
    const auto found = ownerIndexes.find(name);
    return found == ownerIndexes.end() ? nullptr : &owners[found->second];
}

void FairQueue::State::updateQuantums()
{
    double sum = 0;
    for (const OwnerQueue &owner : owners)
        sum += owner.weight;
    meanWeight_ = sum / static_cast<double>(owners.size());
    ringQuantum_ = 0;
    for (OwnerQueue &owner : owners) {
        owner.quantum = std::clamp(owner.weight / meanWeight_, minQuantum, maxQuantum);
        ringQuantum_ += owner.isInRing ? owner.quantum : 0;
    }
}

void FairQueue::State::addToRing(uint32_t index, bool inFront)
{
    OwnerQueue &owner = owners[index];
    if (owner.isInRing)
        return;
    owner.isInRing = true;
    ringQuantum_ += owner.quantum;
    if (inFront)
        ring_.push_front(index);
    else
        ring_.push_back(index);
}

void FairQueue::State::removeFrontFromRing()
{
    OwnerQueue &owner = owners[ring_.front()];
    ring_.pop_front();
    owner.isInRing = false;
    owner.hasQuantum = false;
    owner.deficit = 0;
    ringQuantum_ -= owner.quantum;
}

void FairQueue::State::insert(uint32_t index, QueuedTask task)
{
    OwnerQueue &owner = owners[index];
    const uint32_t workClass = classIndex(task.need.workClass);
    auto classQueue = std::find_if(
            owner.classQueues.begin(), owner.classQueues.end(),
            [&](const ClassQueue &existing) { return existing.workClass == workClass; });
    if (classQueue == owner.classQueues.end())
        classQueue = owner.classQueues.insert(classQueue, ClassQueue {workClass, {}});
    uint32_t slot = static_cast<uint32_t>(slab_.size());
    if (freeSlots_.empty()) {
        slab_.emplace_back();
    } else {
        slot = freeSlots_.back();
        freeSlots_.pop_back();
    }
    Submission &submission = submissions[task.submission];
    submission.owner = index;
    submission.kind = task.need.kind;
    ++submission.queued;
    ++liveByKind[static_cast<size_t>(task.need.kind)];
    classQueue->heap.push_back({task.need.deadline, task.order, slot});
    std::push_heap(classQueue->heap.begin(), classQueue->heap.end(), isLater);
    slab_[slot] = std::move(task);
    ++owner.live;
    ++owner.stored;
    ++live;
}

void FairQueue::State::releaseSlot(uint32_t slot)
{
    const auto submission = submissions.find(slab_[slot].submission);
    if (--submission->second.queued == 0)
        submissions.erase(submission);
    freeSlots_.push_back(slot);
}

QueuedTask FairQueue::State::popTop(OwnerQueue &owner, ClassQueue &classQueue)
{
    std::pop_heap(classQueue.heap.begin(), classQueue.heap.end(), isLater);
    const uint32_t slot = classQueue.heap.back().slot;
    classQueue.heap.pop_back();
    --owner.stored;
    QueuedTask task = std::move(slab_[slot]);
    slab_[slot].submission = task.submission;
    releaseSlot(slot);
    return task;
}

void FairQueue::State::dropCancelled(OwnerQueue &owner, ClassQueue &classQueue)
{
    while (!classQueue.heap.empty()
           && submissions.at(slab_[classQueue.heap.front().slot].submission).isCancelled)
        popTop(owner, classQueue);
}

ClassQueue *FairQueue::State::nextClassQueue(OwnerQueue &owner)
{
    ClassQueue *next = nullptr;
    for (ClassQueue &classQueue : owner.classQueues) {
        dropCancelled(owner, classQueue);
        if (classQueue.heap.empty() || owner.isHeld || heldClasses[classQueue.workClass])
            continue;
        if (next == nullptr || isLater(next->heap.front(), classQueue.heap.front()))
            next = &classQueue;
    }
    return next;
}

std::optional<QueuedTask> FairQueue::State::pop(Time now)
{
    size_t blockedOwners = 0;
    while (!ring_.empty() && blockedOwners < ring_.size()) {
        OwnerQueue &owner = owners[ring_.front()];
        ClassQueue *classQueue = nextClassQueue(owner);
        if (owner.stored == 0) {
            removeFrontFromRing();
            continue;
        }
        if (classQueue != nullptr && !owner.hasQuantum) {
            owner.deficit += owner.quantum;
            owner.hasQuantum = true;
        }
        if (classQueue != nullptr && owner.deficit >= 1) {
            owner.deficit -= 1;
            --owner.live;
            --live;
            recordStart(now);
            QueuedTask task = popTop(owner, *classQueue);
            --liveByKind[static_cast<size_t>(task.need.kind)];
            return task;
        }
        blockedOwners = classQueue == nullptr ? blockedOwners + 1 : 0;
        owner.hasQuantum = false;
        ring_.push_back(ring_.front());
        ring_.pop_front();
    }
    return std::nullopt;
}

size_t FairQueue::State::cancel(uint64_t number)
{
    const auto found = submissions.find(number);
    if (found == submissions.end() || found->second.isCancelled)
        return 0;
    found->second.isCancelled = true;
    const size_t dropped = found->second.queued;
    owners[found->second.owner].live -= dropped;
    live -= dropped;
    liveByKind[static_cast<size_t>(found->second.kind)] -= dropped;
    return dropped;
}

// Removes the cancelled tasks if there are many, which bounds their memory. The cost is amortized
// over the pushes since the last removal.
void FairQueue::State::purgeCancelled(OwnerQueue &owner)
{
    if (owner.stored <= 2 * owner.live + purgeSlack)
        return;
    for (ClassQueue &classQueue : owner.classQueues) {
        std::erase_if(classQueue.heap, [&](const HeapEntry &entry) {
            if (!submissions.at(slab_[entry.slot].submission).isCancelled)
                return false;
            releaseSlot(entry.slot);
            return true;
        });
        std::make_heap(classQueue.heap.begin(), classQueue.heap.end(), isLater);
    }
    owner.stored = owner.live;
}

void FairQueue::State::recordStart(Time now)
{
    if (!isWindowOpen_) {
        isWindowOpen_ = true;
        windowStart_ = now;
        windowStarts_ = 0;
    } else {
        ++windowStarts_;
    }
    const Duration passed = now - windowStart_;
    if (passed >= rateWindow) {
        const double sample =
                1e6 * static_cast<double>(windowStarts_) / static_cast<double>(passed.count());
        const bool isMeasured = measuredRate_ > 0 && now - measuredAt_ < rateLifetime;
        measuredRate_ = isMeasured ? (measuredRate_ + sample) / 2 : sample;
        measuredAt_ = now;
        windowStart_ = now;
        windowStarts_ = 0;
    }
    if (live == 0)
        isWindowOpen_ = false;
}

double FairQueue::State::rate(Time now) const
{
    return measuredRate_ > 0 && now - measuredAt_ < rateLifetime ? measuredRate_ : estimatedRate;
}

Duration FairQueue::State::expectedWait(const OwnerQueue *owner, size_t tasks, Time now) const
{
    const double starts = rate(now);
    if (starts <= 0)
        return Duration::zero();
    const double quantum =
            owner != nullptr ? owner->quantum : std::clamp(1 / meanWeight_, minQuantum, maxQuantum);
    const bool isCounted = owner != nullptr && owner->isInRing;
    const double share = quantum / (ringQuantum_ + (isCounted ? 0 : quantum));
    const size_t ownTasks = (owner != nullptr ? owner->live : 0) + tasks;
    const double waitAtFairShare = static_cast<double>(ownTasks) / (starts * share);
    const double waitBehindAllTasks = static_cast<double>(live + tasks) / starts;
    return Duration(
            static_cast<int64_t>(1e6 * waitMargin * std::min(waitAtFairShare, waitBehindAllTasks)));
}

FairQueue::FairQueue(FairQueueOptions options) : state_(std::make_unique<State>(options)) { }
FairQueue::~FairQueue() = default;
FairQueue::FairQueue(FairQueue &&) noexcept = default;
FairQueue &FairQueue::operator=(FairQueue &&) noexcept = default;

void FairQueue::setOwner(const std::string &name, double weight, size_t limit)
{
    OwnerQueue &owner = state_->owners[state_->ownerIndex(name)];
    owner.weight = weight > 0 ? weight : 1;
    owner.limit = limit;
    state_->updateQuantums();
}

void FairQueue::setServiceRate(double startsPerSecond)
{
    state_->estimatedRate = startsPerSecond;
}

Result<void> FairQueue::push(const std::string &name, QueuedTask task, Time now)
{
    if (task.need.deadline <= now)
        return notRun(ErrorCode::PastDeadline, "the deadline has passed");
    if (state_->live >= state_->options.capacity)
        return notRun(ErrorCode::QueueFull, fmt::format("{} tasks are queued", state_->live));
    const uint32_t index = state_->ownerIndex(name);
    OwnerQueue &owner = state_->owners[index];
    if (owner.limit > 0 && owner.live >= owner.limit)
        return notRun(ErrorCode::QueueFull,
                      fmt::format("owner {} has {} tasks queued", name, owner.live));
    const auto submission = state_->submissions.find(task.submission);
    if (submission != state_->submissions.end() && submission->second.isCancelled)
        return notRun(ErrorCode::Cancelled, "the submission was cancelled");
    const Duration wait = state_->expectedWait(&owner, 1, now);
    if (now + wait > task.need.deadline)
        return notRun(ErrorCode::DeadlineUnreachable,
                      fmt::format("expected wait {} ms exceeds the deadline", wait.count() / 1000));
    state_->purgeCancelled(owner);
    task.order = state_->nextOrder++;
    state_->insert(index, std::move(task));
    state_->addToRing(index, false);
    return boost::outcome_v2::success();
}

std::optional<QueuedTask> FairQueue::pop(Time now)
{
    return state_->pop(now);
}

void FairQueue::requeue(QueuedTask task)
{
    const auto submission = state_->submissions.find(task.submission);
    if (submission != state_->submissions.end() && submission->second.isCancelled)
        return;
    const uint32_t index = state_->ownerIndex(task.need.owner);
    state_->insert(index, std::move(task));
    state_->addToRing(index, true);
    state_->owners[index].deficit += 1;
    state_->owners[index].hasQuantum = true;
    if (state_->windowStarts_ > 0)
        --state_->windowStarts_;
}

void FairQueue::holdClass(const std::string &workClass)
{
    state_->heldClasses[state_->classIndex(workClass)] = true;
}

void FairQueue::holdOwner(const std::string &owner)
{
    state_->owners[state_->ownerIndex(owner)].isHeld = true;
}

void FairQueue::clearHolds()
{
    state_->heldClasses.assign(state_->heldClasses.size(), false);
    for (OwnerQueue &owner : state_->owners)
        owner.isHeld = false;
}

size_t FairQueue::cancel(uint64_t submission)
{
    return state_->cancel(submission);
}

size_t FairQueue::size() const
{
    return state_->live;
}

size_t FairQueue::size(BackendKind kind) const
{
    return state_->liveByKind[static_cast<size_t>(kind)];
}

size_t FairQueue::size(const std::string &name) const
{
    const OwnerQueue *owner = state_->findOwner(name);
    return owner == nullptr ? 0 : owner->live;
}

size_t FairQueue::queuedOf(uint64_t submission) const
{
    const auto found = state_->submissions.find(submission);
    const bool live = found != state_->submissions.end() && !found->second.isCancelled;
    return live ? found->second.queued : 0;
}

Duration FairQueue::expectedWait(const std::string &owner, size_t tasks, Time now) const
{
    return state_->expectedWait(state_->findOwner(owner), tasks, now);
}

} // namespace lovage
