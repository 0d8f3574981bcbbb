#include "lovage/admission.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <deque>
#include <unordered_map>

namespace lovage {

namespace {

// Bounds of the starts an owner gets per round, relative to the mean weight. The lower one bounds
// the rounds until an owner is served, the upper one the starts before the next owner is.
constexpr double smallestQuantum = 1.0 / 8;
constexpr double largestQuantum = 64;
// The start rate is measured over at least this time without an empty queue.
constexpr Duration rateWindow = std::chrono::milliseconds(500);
constexpr Duration rateLifetime = std::chrono::seconds(10);
// Expected waits are this much longer than the measured rate says, because the rate varies. Without
// a margin, half of the work that is admitted at the limit is late.
constexpr double waitMargin = 1.1;
// Dropped tasks are swept when they outnumber the queued ones of an owner by this many.
constexpr size_t sweepSlack = 64;

// Position in a lane. The task is in the slab.
struct Place
{
    Time deadline {};
    uint64_t order = 0;
    uint32_t slot = 0;
};

bool isLater(const Place &left, const Place &right)
{
    return std::pair(left.deadline, left.order) > std::pair(right.deadline, right.order);
}

// Tasks of one owner and class, as a heap with the earliest deadline first.
struct Lane
{
    uint32_t workClass = 0;
    std::vector<Place> heap;
};

struct OwnerQueue
{
    std::string name;
    double weight = 1;
    double quantum = 1;
    size_t limit = 0;
    std::vector<Lane> lanes;
    size_t live = 0;
    size_t stored = 0; // with cancelled tasks that are not yet dropped
    double deficit = 0;
    bool isInRing = false;
    bool isInTurn = false; // has received its quantum of this round
    bool isHeld = false;
};

struct Submission
{
    uint32_t owner = 0;
    BackendKind kind = BackendKind::Executor;
    size_t queued = 0; // tasks in the slab
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
    void sweep(OwnerQueue &owner);
    void noteStart(Time now);
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
    double hintedRate = 0;

private:
    uint32_t classIndex(const std::string &name);
    Lane *nextLane(OwnerQueue &owner);
    void dropCancelled(OwnerQueue &owner, Lane &lane);
    QueuedTask takeTop(OwnerQueue &owner, Lane &lane);
    void forget(uint32_t slot);
    void joinRing(uint32_t owner, bool inFront);
    void leaveRing();

    std::vector<QueuedTask> slab_;
    std::vector<uint32_t> freeSlots_;
    std::deque<uint32_t> ring_; // owners with stored tasks, next one first
    double ringQuantum_ = 0;
    double meanWeight_ = 1;

    // Start rate while the queue is not empty.
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
        owner.quantum = std::clamp(owner.weight / meanWeight_, smallestQuantum, largestQuantum);
        ringQuantum_ += owner.isInRing ? owner.quantum : 0;
    }
}

void FairQueue::State::joinRing(uint32_t index, bool inFront)
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

void FairQueue::State::leaveRing()
{
    OwnerQueue &owner = owners[ring_.front()];
    ring_.pop_front();
    owner.isInRing = false;
    owner.isInTurn = false;
    owner.deficit = 0;
    ringQuantum_ -= owner.quantum;
}

void FairQueue::State::insert(uint32_t index, QueuedTask task)
{
    OwnerQueue &owner = owners[index];
    const uint32_t workClass = classIndex(task.need.workClass);
    auto lane = std::find_if(owner.lanes.begin(), owner.lanes.end(),
                             [&](const Lane &known) { return known.workClass == workClass; });
    if (lane == owner.lanes.end())
        lane = owner.lanes.insert(lane, Lane {workClass, {}});
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
    lane->heap.push_back({task.need.deadline, task.order, slot});
    std::push_heap(lane->heap.begin(), lane->heap.end(), isLater);
    slab_[slot] = std::move(task);
    ++owner.live;
    ++owner.stored;
    ++live;
}

void FairQueue::State::forget(uint32_t slot)
{
    const auto submission = submissions.find(slab_[slot].submission);
    if (--submission->second.queued == 0)
        submissions.erase(submission);
    freeSlots_.push_back(slot);
}

QueuedTask FairQueue::State::takeTop(OwnerQueue &owner, Lane &lane)
{
    std::pop_heap(lane.heap.begin(), lane.heap.end(), isLater);
    const uint32_t slot = lane.heap.back().slot;
    lane.heap.pop_back();
    --owner.stored;
    QueuedTask task = std::move(slab_[slot]);
    slab_[slot].submission = task.submission;
    forget(slot);
    return task;
}

void FairQueue::State::dropCancelled(OwnerQueue &owner, Lane &lane)
{
    while (!lane.heap.empty()
           && submissions.at(slab_[lane.heap.front().slot].submission).isCancelled)
        takeTop(owner, lane);
}

Lane *FairQueue::State::nextLane(OwnerQueue &owner)
{
    Lane *next = nullptr;
    for (Lane &lane : owner.lanes) {
        dropCancelled(owner, lane);
        if (lane.heap.empty() || owner.isHeld || heldClasses[lane.workClass])
            continue;
        if (next == nullptr || isLater(next->heap.front(), lane.heap.front()))
            next = &lane;
    }
    return next;
}

std::optional<QueuedTask> FairQueue::State::pop(Time now)
{
    size_t blocked = 0;
    while (!ring_.empty() && blocked < ring_.size()) {
        OwnerQueue &owner = owners[ring_.front()];
        Lane *lane = nextLane(owner);
        if (owner.stored == 0) {
            leaveRing();
            continue;
        }
        if (lane != nullptr && !owner.isInTurn) {
            owner.deficit += owner.quantum;
            owner.isInTurn = true;
        }
        if (lane != nullptr && owner.deficit >= 1) {
            owner.deficit -= 1;
            --owner.live;
            --live;
            noteStart(now);
            QueuedTask task = takeTop(owner, *lane);
            --liveByKind[static_cast<size_t>(task.need.kind)];
            return task;
        }
        blocked = lane == nullptr ? blocked + 1 : 0;
        owner.isInTurn = false;
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

// Bounds the memory of cancelled tasks. The cost is spread over the pushes in between.
void FairQueue::State::sweep(OwnerQueue &owner)
{
    if (owner.stored <= 2 * owner.live + sweepSlack)
        return;
    for (Lane &lane : owner.lanes) {
        std::erase_if(lane.heap, [&](const Place &place) {
            if (!submissions.at(slab_[place.slot].submission).isCancelled)
                return false;
            forget(place.slot);
            return true;
        });
        std::make_heap(lane.heap.begin(), lane.heap.end(), isLater);
    }
    owner.stored = owner.live;
}

void FairQueue::State::noteStart(Time now)
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
        const bool known = measuredRate_ > 0 && now - measuredAt_ < rateLifetime;
        measuredRate_ = known ? (measuredRate_ + sample) / 2 : sample;
        measuredAt_ = now;
        windowStart_ = now;
        windowStarts_ = 0;
    }
    if (live == 0)
        isWindowOpen_ = false;
}

double FairQueue::State::rate(Time now) const
{
    return measuredRate_ > 0 && now - measuredAt_ < rateLifetime ? measuredRate_ : hintedRate;
}

Duration FairQueue::State::expectedWait(const OwnerQueue *owner, size_t tasks, Time now) const
{
    const double starts = rate(now);
    if (starts <= 0)
        return Duration::zero();
    const double quantum = owner != nullptr
            ? owner->quantum
            : std::clamp(1 / meanWeight_, smallestQuantum, largestQuantum);
    const bool counted = owner != nullptr && owner->isInRing;
    const double share = quantum / (ringQuantum_ + (counted ? 0 : quantum));
    const size_t ownTasks = (owner != nullptr ? owner->live : 0) + tasks;
    const double alone = static_cast<double>(ownTasks) / (starts * share);
    const double behindAll = static_cast<double>(live + tasks) / starts;
    return Duration(static_cast<int64_t>(1e6 * waitMargin * std::min(alone, behindAll)));
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
    state_->hintedRate = startsPerSecond;
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
    state_->sweep(owner);
    task.order = state_->nextOrder++;
    state_->insert(index, std::move(task));
    state_->joinRing(index, false);
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
    state_->joinRing(index, true);
    state_->owners[index].deficit += 1;
    state_->owners[index].isInTurn = true;
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
