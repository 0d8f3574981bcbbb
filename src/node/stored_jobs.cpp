#include "stored_jobs.h"

#include "held_shards.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage::node {

namespace {

// A request that its keeper has not answered is sent again, maybe to another one.
constexpr Duration requestRepeat = std::chrono::milliseconds(300);
constexpr Duration unavailableRetry = std::chrono::milliseconds(50);
// Without a keeper that can store, a new job is refused after this time.
constexpr Duration refuseAfter = std::chrono::milliseconds(500);
// The same while no keeper is known, which is so for a moment after the first stored job.
constexpr Duration refuseWithoutKeeperAfter = std::chrono::seconds(3);
// A caller hears that a request was not answered so long before its deadline.
constexpr Duration answerMargin = std::chrono::milliseconds(100);
constexpr Duration announceInterval = std::chrono::seconds(1);

// The holders of shards have settled before stored jobs are asked for.
HolderOptions keeperGroupOptions(const NodeSettings &settings)
{
    HolderOptions options = holderOptions(settings);
    options.settleTime = Duration::zero();
    return options;
}

KeeperOptions keeperOptions(const NodeSettings &settings)
{
    KeeperOptions options;
    options.partitions = settings.shardCount;
    options.jobRetention = settings.jobRetention;
    options.journalHistory = settings.journalHistory;
    return options;
}

} // namespace

StoredJobs::StoredJobs(const NodeSettings &settings, VmTable &vms, Pool &pool, GroupPort &group,
                       JournalPort &journal, Send send)
    : vms_(vms), pool_(pool), group_(group), journal_(journal), send_(std::move(send)),
      partitionCount_(settings.shardCount), groupLease_(settings.groupLease),
      membership_(keeperGroupOptions(settings), Time {}), keeper_(keeperOptions(settings), vms)
{ }

void StoredJobs::setExist(bool exist)
{
    isAnnounced_ = exist;
    isUsed_ |= exist;
    pool_.expectStoredJobs(isUsed_);
}

void StoredJobs::request(KeeperRequest request, Duration deadline, Node::StoredJobCallback respond)
{
    const Time now = currentTime();
    isUsed_ = true;
    pool_.expectStoredJobs(true);
    const uint64_t number = nextNumber_++;
    const CallerRef caller {vms_.self().name, vms_.self().incarnation, number};
    std::visit([&](auto &alternative) { alternative.caller = caller; }, request);
    const Duration margin = std::min(deadline / 10, answerMargin);
    requests_.emplace(
            number,
            Request {std::move(request), std::move(respond), now, now + deadline - margin, now, 0});
    sendDue(now);
}

// The VM that has held the job's partition for the shortest time, since an earlier one may not
// know yet that it has lost it.
std::optional<std::string> StoredJobs::keeperOf(const std::string &job) const
{
    const uint32_t partition = shardOf(job, partitionCount_);
    std::optional<std::string> keeper;
    uint64_t epoch = 0;
    const auto consider = [&](const std::string &vm, const std::vector<PartitionClaim> &claims) {
        for (const PartitionClaim &claim : claims) {
            if (claim.partition == partition && claim.epoch >= epoch) {
                keeper = vm;
                epoch = claim.epoch;
            }
        }
    };
    consider(vms_.self().name, keeper_.claims());
    for (const auto &[name, row] : vms_.rows())
        consider(name, row.report.claims);
    return keeper;
}

void StoredJobs::sendDue(Time now)
{
    std::vector<std::pair<uint64_t, Error>> failed;
    for (auto &[number, request] : requests_) {
        const bool isStore = std::holds_alternative<StoreJob>(request.request);
        const auto keeper = keeperOf(jobIdOf(request.request));
        const Duration patience = keeper ? refuseAfter : refuseWithoutKeeperAfter;
        const bool isRefused =
                isStore && request.unanswered == 0 && now > request.arrived + patience;
        if (isRefused || now >= request.deadline) {
            failed.emplace_back(
                    number,
                    request.unanswered == 0
                            ? notRun(ErrorCode::LogUnavailable, "no keeper can store the job now")
                            : mayHaveRun(ErrorCode::Timeout, "the keeper has not answered"));
            continue;
        }
        if (!keeper || now < request.nextSendAt)
            continue;
        request.nextSendAt = now + requestRepeat;
        ++request.unanswered;
        if (*keeper == vms_.self().name)
            keeper_.onRequest(request.request, now);
        else
            send_(*keeper, KeeperRequestMessage {request.request});
    }
    for (auto &[number, error] : failed)
        finish(number, std::move(error));
}

void StoredJobs::finish(uint64_t number, Result<KeeperAnswer> result)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    const Request request = std::move(found->second);
    requests_.erase(found);
    logEvent(LogLevel::Info, "stored-job-answered",
             {{"job", jobIdOf(request.request)},
              {"request", nameOf(request.request)},
              {"result",
               result.has_value() ? toString(result.value().kind) : toString(result.error().code)},
              {"state", result.has_value() ? toString(result.value().state) : ""},
              {"after_us", (currentTime() - request.arrived).count()}});
    request.respond(result);
}

void StoredJobs::onPeer(KeeperRequestMessage message)
{
    isUsed_ = true;
    pool_.expectStoredJobs(true);
    keeper_.onRequest(std::move(message.request), currentTime());
}

void StoredJobs::onPeer(const KeeperAnswer &answer)
{
    const auto found = requests_.find(answer.caller.number);
    if (found == requests_.end() || answer.caller.incarnation != vms_.self().incarnation)
        return;
    Request &request = found->second;
    request.unanswered -= std::min<uint32_t>(1, request.unanswered);
    const bool isUnavailable = answer.kind == KeeperAnswer::Kind::Unavailable;
    // The job may be accepted by a send that is still under way.
    const bool isPremature = answer.kind == KeeperAnswer::Kind::Refused && request.unanswered > 0;
    if (!isUnavailable && !isPremature) {
        finish(answer.caller.number, answer);
        return;
    }
    request.nextSendAt = currentTime() + (isUnavailable ? unavailableRetry : requestRepeat);
}

void StoredJobs::onPeer(BatchMessage message)
{
    const TaskBatch &batch = message.batch;
    if (batch.poolIncarnation != vms_.self().incarnation) {
        logEvent(LogLevel::Info, "batch-ignored",
                 {{"job", batch.job},
                  {"keeper", batch.keeper.vm},
                  {"for_incarnation", batch.poolIncarnation}});
        return;
    }
    pool_.startBatch(std::move(message.batch), currentTime());
}

void StoredJobs::onPeer(const StopJobMessage &message)
{
    pool_.stopJob(message.stop, currentTime());
}

void StoredJobs::onPeer(const OutcomeMessage &message)
{
    keeper_.onOutcome(message.vm, message.outcome, currentTime());
}

void StoredJobs::onPeer(const ConfirmOutcome &message)
{
    pool_.confirmOutcome(message.task, message.run, message.isSuperseded, currentTime());
}

void StoredJobs::onReport(const VmReport &report)
{
    for (const PartitionClaim &claim : report.claims)
        pool_.updateKeeperEpoch(claim.partition, claim.epoch, currentTime());
    noteBacklog(report.claims, report.backlog);
}

void StoredJobs::noteBacklog(const std::vector<PartitionClaim> &claims,
                             const std::vector<QueueBacklog> &backlog)
{
    for (const PartitionClaim &claim : claims) {
        PartitionBacklog &known = backlog_[claim.partition];
        if (claim.isServing && claim.epoch >= known.epoch)
            known = {claim.epoch};
    }
    for (const QueueBacklog &entry : backlog) {
        const auto claim =
                std::find_if(claims.begin(), claims.end(), [&](const PartitionClaim &other) {
                    return other.partition == entry.partition;
                });
        PartitionBacklog &known = backlog_[entry.partition];
        if (claim != claims.end() && claim->epoch == known.epoch)
            known.jobs[entry.queue] = entry.jobs;
    }
}

void StoredJobs::onVmLost(const std::string &vm)
{
    keeper_.onVmLost(vm, currentTime());
    for (auto &[number, request] : requests_)
        request.nextSendAt = {};
}

void StoredJobs::onBatchUnsent(const std::string &vm, const TaskBatch &batch)
{
    keeper_.onBatchUnsent(vm, batch, currentTime());
}

void StoredJobs::onOutcome(const TaskOutcome &outcome)
{
    const auto name = parseTaskName(outcome.task);
    const auto keeper = name ? keeperOf(name->job) : std::nullopt;
    if (!keeper)
        return; // the pool reports it again
    if (*keeper == vms_.self().name)
        keeper_.onOutcome(vms_.self().name, outcome, currentTime());
    else
        send_(*keeper, OutcomeMessage {vms_.self().name, outcome});
}

void StoredJobs::tick(Time now)
{
    if (!isUsed_)
        return;
    if (!isAnnounced_ && now >= nextAnnounceAt_) {
        nextAnnounceAt_ = now + announceInterval;
        journal_.announce();
    }
    checkLease(now);
    join(now);
    sendDue(now);
    keeper_.tick(now);
}

// Without the store the group cannot have given the partitions to anybody as long as every VM that
// could be a keeper is heard and none claims them. Nothing new is started meanwhile, but what runs
// goes on.
void StoredJobs::checkLease(Time now)
{
    keeper_.setLease(leaseUntil_);
    if (now >= leaseUntil_ && !keeper_.isIdle() && !isEveryVmHeard(now)) {
        keeper_.onLeaseLost(now);
        membership_.onLeft();
    }
}

bool StoredJobs::isEveryVmHeard(Time now) const
{
    return std::all_of(vmsAtLease_.begin(), vmsAtLease_.end(), [&](const std::string &vm) {
        const VmTable::Row *row = vms_.find(vm);
        return row && vms_.isReachable(*row, now);
    });
}

void StoredJobs::join(Time now)
{
    const auto request = membership_.nextRequest(isEligible_, true, now);
    if (!request)
        return;
    if (const auto *joining = std::get_if<JoinGroup>(&*request)) {
        group_.join(*joining, [this, now](const Result<GroupMembership> &reply) {
            onJoined(reply, now);
            flush();
        });
        return;
    }
    group_.leave([this](const Result<void> &reply) {
        if (!reply.has_value()) {
            membership_.onJoinFailed(currentTime());
            return;
        }
        membership_.onLeft();
        leaseUntil_ = {};
        keeper_.setPartitions({}, 0, currentTime());
        flush();
    });
}

void StoredJobs::onJoined(const Result<GroupMembership> &reply, Time sentAt)
{
    const Time now = currentTime();
    if (!reply.has_value()) {
        membership_.onJoinFailed(now);
        return;
    }
    // A hold that was interrupted may have been somebody else's in between.
    if (now >= leaseUntil_ && !keeper_.isIdle())
        keeper_.onLeaseLost(now);
    membership_.onJoined(reply.value(), now);
    leaseUntil_ = sentAt + groupLease_;
    vmsAtLease_.clear();
    for (const auto &[name, row] : vms_.rows())
        vmsAtLease_.push_back(name);
    keeper_.setLease(leaseUntil_);
    keeper_.setPartitions(reply.value().shards, reply.value().generation, now);
    for (const PartitionClaim &claim : keeper_.claims())
        pool_.updateKeeperEpoch(claim.partition, claim.epoch, now);
}

void StoredJobs::flush()
{
    if (!isUsed_)
        return;
    if (!keeper_.isIdle())
        keeper_.setOwnLoad(pool_.load(currentTime()));
    for (auto actions = keeper_.takeActions(currentTime()); !actions.empty();
         actions = keeper_.takeActions(currentTime())) {
        for (KeeperAction &action : actions)
            std::visit([this](auto &call) { carryOut(std::move(call)); }, action);
    }
    printNotes();
}

void StoredJobs::printNotes()
{
    for (const RouterLogEntry &note : keeper_.takeNotes())
        logEvent(LogLevel::Info, note.event,
                 note.job.empty() ? note.details
                                  : fmt::format("job={} {}", note.job, note.details));
}

void StoredJobs::carryOut(const OpenPartition &call)
{
    journal_.open(call.partition, call.epoch, [this, call](const Result<uint64_t> &end) {
        keeper_.onOpened(call.partition, call.epoch, end, currentTime());
        flush();
    });
}

void StoredJobs::carryOut(const ReadPartition &call)
{
    journal_.read(call.partition, call.fromOffset, [this, call](const Result<JournalPage> &page) {
        keeper_.onRead(call.partition, call.epoch, page, currentTime());
        flush();
    });
}

void StoredJobs::carryOut(const AppendRecords &call)
{
    const uint32_t partition = call.partition;
    const uint64_t epoch = call.epoch;
    journal_.append(call, [this, partition, epoch](const Result<uint64_t> &offset) {
        keeper_.onAppended(partition, epoch, offset, currentTime());
        flush();
    });
}

void StoredJobs::carryOut(const TrimPartition &call)
{
    journal_.trim(call.partition, call.beforeOffset);
}

void StoredJobs::carryOut(SendBatch send)
{
    if (send.vm == vms_.self().name)
        pool_.startBatch(std::move(send.batch), currentTime());
    else
        send_(send.vm, BatchMessage {std::move(send.batch)});
}

void StoredJobs::carryOut(SendStopJob send)
{
    if (send.vm == vms_.self().name)
        pool_.stopJob(send.stop, currentTime());
    else
        send_(send.vm, StopJobMessage {std::move(send.stop)});
}

void StoredJobs::carryOut(const SendConfirm &send)
{
    if (send.vm == vms_.self().name)
        pool_.confirmOutcome(send.confirm.task, send.confirm.run, send.confirm.isSuperseded,
                             currentTime());
    else
        send_(send.vm, send.confirm);
}

void StoredJobs::carryOut(const KeeperAnswer &answer)
{
    if (answer.caller.vm == vms_.self().name)
        onPeer(answer);
    else
        send_(answer.caller.vm, answer);
}

void StoredJobs::describe(VmReport &report) const
{
    report.claims = keeper_.claims();
    report.backlog = keeper_.backlog();
}

uint32_t StoredJobs::pendingJobs(const std::string &queue)
{
    noteBacklog(keeper_.claims(), keeper_.backlog());
    uint32_t jobs = 0;
    for (const auto &[partition, backlog] : backlog_) {
        const auto found = backlog.jobs.find(queue);
        jobs += found == backlog.jobs.end() ? 0 : found->second;
    }
    return jobs;
}

} // namespace lovage::node
