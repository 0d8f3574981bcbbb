#include "pool_impl.h"

#include <algorithm>

namespace lovage {

std::string_view toString(JobResult result)
{
    constexpr std::array<std::string_view, 4> names = {"completed", "failed", "refused",
                                                       "abandoned"};
    return names.at(static_cast<size_t>(result));
}

std::string_view toString(OrderResult result)
{
    constexpr std::array<std::string_view, 10> names = {
            "done",      "fenced",       "superseded", "late",     "no-room",
            "unhealthy", "other-server", "invalid",    "not-sent", "unknown"};
    return names.at(static_cast<size_t>(result));
}

uint32_t shardOf(std::string_view serverId, uint32_t shardCount)
{
    return static_cast<uint32_t>(stableHash(serverId) % shardCount);
}

Pool::Pool(PoolOptions options) : implementation_(std::make_unique<Implementation>(options)) { }
Pool::~Pool() = default;
Pool::Pool(Pool &&) noexcept = default;
Pool &Pool::operator=(Pool &&) noexcept = default;

void Pool::setServers(const std::vector<ServerInfo> &servers, Time now)
{
    implementation_->setServers(servers, now);
}

void Pool::setGrants(const ShardGrants &grants, Time now)
{
    implementation_->setGrants(grants, now);
}

void Pool::setInputLag(Duration lag)
{
    implementation_->inputLag_ = lag;
}

void Pool::drain()
{
    implementation_->isDraining_ = true;
}

void Pool::setEvacuated(bool isEvacuated, Time now)
{
    implementation_->setEvacuated(isEvacuated, now);
}

void Pool::setClosed(bool isClosed)
{
    implementation_->isClosed_ = isClosed;
}

void Pool::offer(JobOffer offer, Time now)
{
    implementation_->offer(std::move(offer), now);
}

void Pool::withdraw(const JobTicket &ticket, Time now)
{
    implementation_->withdraw(ticket, now);
}

void Pool::withdrawUnanswered(const JobTicket &ticket, Time offeredAt, Time now)
{
    implementation_->withdrawUnanswered(ticket, offeredAt, now);
}

void Pool::withdrawAll(const std::string &vm, uint64_t exceptIncarnation, Time now)
{
    implementation_->withdrawAll(vm, exceptIncarnation, now);
}

void Pool::renewLeases(const std::string &vm, uint64_t incarnation, const LeaseRenewal &renewal)
{
    implementation_->renewLeases(vm, incarnation, renewal);
}

void Pool::onPaused(Duration pause, const std::string &self, Time now)
{
    implementation_->onPaused(pause, self, now);
}

void Pool::onStartAnswered(const RunRef &ref, OrderResult result, ServerClock clock, Time now)
{
    implementation_->onStartAnswered(ref, result, clock, now);
}

void Pool::onStopAnswered(const RunRef &ref, OrderResult result, ServerClock clock, Time now)
{
    implementation_->onStopAnswered(ref, result, clock, now);
}

void Pool::onPollAnswered(const PollReply &reply, Time now)
{
    implementation_->onPollAnswered(reply, now);
}

std::string_view toString(RunEnd end)
{
    constexpr std::array<std::string_view, 5> names = {"succeeded", "failed", "stopped", "lapsed",
                                                       "broken"};
    return names.at(static_cast<size_t>(end));
}

std::string_view toString(TaskOutcome::Kind kind)
{
    constexpr std::array<std::string_view, 3> names = {"not-started", "lost", "ended"};
    return names.at(static_cast<size_t>(kind));
}

void Pool::expectStoredJobs(bool exist)
{
    implementation_->expectStoredJobs(exist);
}

void Pool::startBatch(TaskBatch batch, Time now)
{
    implementation_->startBatch(std::move(batch), now);
}

void Pool::stopJob(const StopJob &stop, Time now)
{
    implementation_->stopJob(stop, now);
}

void Pool::updateKeeperEpoch(uint32_t partition, uint64_t epoch, Time now)
{
    implementation_->updateKeeperEpoch(partition, epoch, now);
}

void Pool::confirmOutcome(const std::string &task, uint32_t run, bool isSuperseded, Time now)
{
    implementation_->confirmOutcome(task, run, isSuperseded, now);
}

void Pool::tick(Time now)
{
    implementation_->dropOverdueJobs(now);
    implementation_->pruneConfirmedRuns(now);
    implementation_->isReviewDue_ = true;
    implementation_->pruneSettledOffers(now);
    implementation_->isPlacementDue_ = true;
}

std::vector<PoolAction> Pool::takeActions(Time now)
{
    implementation_->dropExpiredLeases(now);
    implementation_->abandonEvacuatedJobs(now);
    if (implementation_->isPlacementDue_ && now >= implementation_->startsHeldUntil_
        && implementation_->mayContinueJobs(now))
        implementation_->placeQueued(now);
    implementation_->reportDueOutcomes(now);
    implementation_->retryStopsAndDropLapsedRuns(now);
    implementation_->finishLeaseLapses(now);
    implementation_->sendDuePolls(now);
    return std::exchange(implementation_->actions_, {});
}

std::vector<PoolLogEntry> Pool::takeLogEntries()
{
    return std::exchange(implementation_->logEntries_, {});
}

bool Pool::isReleaseReady() const
{
    const auto &servers = implementation_->servers_;
    return std::none_of(servers.begin(), servers.end(), [](const auto &entry) {
        return entry.second.isReleasing && !entry.second.runs().empty();
    });
}

bool Pool::isIdle() const
{
    const auto &servers = implementation_->servers_;
    return implementation_->jobs_.empty()
            && std::none_of(servers.begin(), servers.end(), [](const auto &entry) {
                   return entry.second.ownership != pool::Ownership::None
                           && !entry.second.runs().empty();
               });
}

std::set<std::string> Pool::servedVms() const
{
    std::set<std::string> vms;
    for (const auto &[ticket, number] : implementation_->jobsByTicket_)
        vms.insert(ticket.vm);
    for (const auto &[id, server] : implementation_->servers_) {
        for (const auto &[task, run] : server.runs()) {
            if (run.stored)
                vms.insert(run.stored->keeper.vm);
        }
    }
    return vms;
}

size_t Pool::serverCount() const
{
    const auto &servers = implementation_->servers_;
    return static_cast<size_t>(std::count_if(servers.begin(), servers.end(), [](const auto &entry) {
        return entry.second.ownership == pool::Ownership::Held;
    }));
}

size_t Pool::runCount() const
{
    size_t count = 0;
    for (const auto &[id, server] : implementation_->servers_)
        count += server.ownership == pool::Ownership::None ? 0 : server.runs().size();
    return count;
}

size_t Pool::knownServerCount() const
{
    const auto &servers = implementation_->servers_;
    return static_cast<size_t>(std::count_if(servers.begin(), servers.end(), [](const auto &entry) {
        return entry.second.isRegistered;
    }));
}

std::vector<ServiceLoad> Pool::load(Time now) const
{
    return implementation_->load(now);
}

const PoolCounters &Pool::counters() const
{
    return implementation_->counters_;
}

} // namespace lovage
