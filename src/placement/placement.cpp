#include "state.h"

#include <algorithm>
#include <cmath>

namespace lovage {

Placement::Placement(PlacementOptions options, uint64_t seed)
    : state_(std::make_unique<State>(options, seed))
{ }

Placement::~Placement() = default;
Placement::Placement(Placement &&) noexcept = default;
Placement &Placement::operator=(Placement &&) noexcept = default;

void Placement::setBackends(std::vector<BackendInfo> all, const std::set<std::string> &ownShare,
                            Time now)
{
    state_->setBackends(std::move(all), ownShare, now);
}

void Placement::setLeaving(uint32_t backend)
{
    state_->setLeaving(backend);
}

void Placement::setPeerCapacity(const PeerCapacity &capacity, Time now)
{
    state_->peers.set(capacity, now, state_->options.lendOverhead);
}

void Placement::removePeer(const std::string &vm)
{
    state_->peers.remove(vm);
}

Choice Placement::choose(const TaskRequirements &need, Time now)
{
    return state_->choose(need, now);
}

void Placement::reserve(uint32_t backend, const TaskRequirements &need, Time now)
{
    state_->reserve(backend, need, now);
}

void Placement::release(uint32_t backend, const TaskRequirements &need, AttemptOutcome outcome,
                        Duration runTime, Time now)
{
    state_->release(backend, need, outcome, runTime, now);
}

void Placement::reportFree(uint32_t backend, uint32_t freeSlots, Time now)
{
    state_->reportFree(backend, freeSlots, now);
}

void Placement::lend(const std::string &vm, const TaskRequirements &need, Time now)
{
    state_->peers.lend(vm, need, now, state_->options.lendOverhead);
}

void Placement::lendEnded(const std::string &vm, const TaskRequirements &need,
                          AttemptOutcome outcome, Time now)
{
    state_->peers.ended(vm, need, outcome);
}

PeerCapacity Placement::ownCapacity(const QueueLengths &waiting, Time now) const
{
    return state_->ownCapacity(waiting, now);
}

uint32_t Placement::batchLimit(const TaskRequirements &need) const
{
    const PlacementOptions &options = state_->options;
    if (need.kind == BackendKind::Worker)
        return options.maxWorkerBatch;
    const double weight = std::clamp(need.wasteWeight, 0.0, 1.0);
    return 1 + static_cast<uint32_t>(std::lround(weight * (options.maxExecutorBatch - 1)));
}

Duration Placement::expectedRunTime(const TaskRequirements &need) const
{
    const uint32_t workClass = state_->classes.find(need.workClass);
    if (workClass >= state_->estimates.classCount())
        return need.declaredRunTime;
    return Duration(static_cast<int64_t>(state_->estimates.classMean(workClass)));
}

double Placement::startsPerSecond() const
{
    return state_->startsPerSecond();
}

const BackendInfo &Placement::info(uint32_t backend) const
{
    return state_->backends.at(backend).info;
}

std::optional<uint32_t> Placement::indexOf(const std::string &name) const
{
    const auto found = state_->indexes.find(name);
    return found == state_->indexes.end() ? std::nullopt : std::optional(found->second);
}

BackendHealth Placement::health(uint32_t backend) const
{
    const placement::BackendState &server = state_->backends.at(backend);
    return {state_->health.isEjected(backend),
            server.announcedLeaving || server.info.leaving,
            server.outstanding,
            state_->health.consecutiveFailures(backend),
            state_->estimates.relativeRunTime(backend),
            server.inOwnShare && server.known};
}

uint32_t Placement::serverCount() const
{
    return static_cast<uint32_t>(state_->backends.size());
}

size_t Placement::ejectedCount() const
{
    return state_->health.ejectedCount();
}

} // namespace lovage
