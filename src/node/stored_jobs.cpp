#include "stored_jobs.h"

#include "held_shards.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage::node {

namespace {

// Interval at which an unanswered request is resent, possibly to another keeper.
constexpr Duration requestResendInterval = std::chrono::milliseconds(300);
// Delay before a request is resent after a keeper has answered that it is unavailable.
constexpr Duration unavailableRetryDelay = std::chrono::milliseconds(50);
// A new job is refused if no keeper could store it within this time.
constexpr Duration refusalTimeout = std::chrono::milliseconds(500);
// Refusal timeout while no keeper is known, as is the case for a short time after the first request
// about a stored job.
constexpr Duration refusalTimeoutWithoutKeeper = std::chrono::seconds(3);
// A caller is told this long before its deadline that its request was not answered.
constexpr Duration answerMargin = std::chrono::milliseconds(100);
// Interval at which this VM announces that stored jobs exist, until the store reports it.
constexpr Duration announceInterval = std::chrono::seconds(1);

// Memory for the jobs of one partition on the smallest VM.
constexpr size_t smallestPartitionBytes = NodeLimits {}.partitionBytes();

// The group of keepers needs no settle time, because the holders of shards have settled before the
// first request about a stored job.
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
    options.maxBytes = settings.limits.storedJobBytes();
    options.maxPartitionBytes = std::min(settings.limits.partitionBytes(), smallestPartitionBytes);
    return options;
}

} // namespace

StoredJobs::StoredJobs(const NodeSettings &settings, const Clock &clock, VmTable &vms, Pool &pool,
                       GroupPort &group, JournalPort &journal, Send send)
    : clock_(clock), vms_(vms), pool_(pool), group_(group), journal_(journal),
      send_(std::move(send)), partitionCount_(settings.shardCount),
      groupLease_(settings.groupLease), membership_(keeperGroupOptions(settings), Time {}),
      keeper_(keeperOptions(settings), vms)
{ }

void StoredJobs::setJobsExist(bool exist)
{
    isAnnounced_ = exist;
    jobsExist_ |= exist;
    pool_.expectStoredJobs(jobsExist_);
}

void StoredJobs::request(KeeperRequest request, Duration deadline, Node::StoredJobCallback respond)
{
    const Time now = clock_.now();
    jobsExist_ = true;
    pool_.expectStoredJobs(true);
    const uint64_t number = nextNumber_++;
    const CallerRef caller {vms_.self().name, vms_.self().incarnation, number};
    std::visit([&](auto &alternative) { alternative.caller = caller; }, request);
    const Duration margin = std::min(deadline / 10, answerMargin);
    requests_.emplace(
            number,
            Request {std::move(request), std::move(respond), now, now + deadline - margin, now, 0});
    sendDueRequests(now);
}

// Returns the VM that claims the job's partition with the highest epoch. A VM with a lower epoch
// may not know yet that it has lost the partition.
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

void StoredJobs::sendDueRequests(Time now)
{
    std::vector<std::pair<uint64_t, Error>> failed;
    for (auto &[number, request] : requests_) {
        const bool isStore = std::holds_alternative<StoreJob>(request.request);
        const auto keeper = keeperOf(jobIdOf(request.request));
        const Duration timeout = keeper ? refusalTimeout : refusalTimeoutWithoutKeeper;
        const bool isRefused =
                isStore && request.unansweredSends == 0 && now > request.arrivedAt + timeout;
        if (isRefused || now >= request.deadline) {
            failed.emplace_back(
                    number,
                    request.unansweredSends == 0
                            ? notRun(ErrorCode::LogUnavailable, "no keeper can store the job now")
                            : mayHaveRun(ErrorCode::Timeout, "the keeper has not answered"));
            continue;
        }
        if (!keeper || now < request.nextSendAt)
            continue;
        request.nextSendAt = now + requestResendInterval;
        ++request.unansweredSends;
        if (*keeper == vms_.self().name)
            keeper_.onRequest(request.request, now);
        else
            send_(*keeper, KeeperRequestMessage {request.request});
    }
    for (auto &[number, error] : failed)
        finishRequest(number, std::move(error));
}

void StoredJobs::finishRequest(uint64_t number, Result<KeeperAnswer> result)
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
              {"after_us", (clock_.now() - request.arrivedAt).count()}});
    request.respond(result);
}

void StoredJobs::onPeerMessage(KeeperRequestMessage message)
{
    jobsExist_ = true;
    pool_.expectStoredJobs(true);
    keeper_.onRequest(std::move(message.request), clock_.now());
}

void StoredJobs::onPeerMessage(const KeeperAnswer &answer)
{
    const auto found = requests_.find(answer.caller.number);
    if (found == requests_.end() || answer.caller.incarnation != vms_.self().incarnation)
        return;
    Request &request = found->second;
    request.unansweredSends -= std::min<uint32_t>(1, request.unansweredSends);
    const bool isUnavailable = answer.kind == KeeperAnswer::Kind::Unavailable;
    // An earlier send that is still unanswered may get the job accepted.
    const bool isPremature =
            answer.kind == KeeperAnswer::Kind::Refused && request.unansweredSends > 0;
    if (!isUnavailable && !isPremature) {
        finishRequest(answer.caller.number, answer);
        return;
    }
    request.nextSendAt =
            clock_.now() + (isUnavailable ? unavailableRetryDelay : requestResendInterval);
}

void StoredJobs::onPeerMessage(BatchMessage message)
{
    const TaskBatch &batch = message.batch;
    if (batch.poolIncarnation != vms_.self().incarnation) {
        logEvent(LogLevel::Info, "batch-ignored",
                 {{"job", batch.job},
                  {"keeper", batch.keeper.vm},
                  {"for_incarnation", batch.poolIncarnation}});
        return;
    }
    pool_.startBatch(std::move(message.batch), clock_.now());
}

void StoredJobs::onPeerMessage(const StopJobMessage &message)
{
    pool_.stopJob(message.stop, clock_.now());
}

void StoredJobs::onPeerMessage(const OutcomeMessage &message)
{
    keeper_.onOutcome(message.vm, message.outcome, clock_.now());
}

void StoredJobs::onPeerMessage(const ConfirmOutcome &message)
{
    pool_.confirmOutcome(message.task, message.run, message.isSuperseded, clock_.now());
}

void StoredJobs::onReport(const VmReport &report)
{
    for (const PartitionClaim &claim : report.claims)
        pool_.updateKeeperEpoch(claim.partition, claim.epoch, clock_.now());
    updateBacklog(report.claims, report.backlog);
}

void StoredJobs::updateBacklog(const std::vector<PartitionClaim> &claims,
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
    keeper_.onVmLost(vm, clock_.now());
    for (auto &[number, request] : requests_)
        request.nextSendAt = {};
}

void StoredJobs::onBatchUnsent(const std::string &vm, const TaskBatch &batch)
{
    keeper_.onBatchUnsent(vm, batch, clock_.now());
}

void StoredJobs::onOutcome(const TaskOutcome &outcome)
{
    const auto name = parseTaskName(outcome.task);
    const auto keeper = name ? keeperOf(name->job) : std::nullopt;
    if (!keeper)
        return; // the pool repeats the report
    if (*keeper == vms_.self().name)
        keeper_.onOutcome(vms_.self().name, outcome, clock_.now());
    else
        send_(*keeper, OutcomeMessage {vms_.self().name, outcome});
}

void StoredJobs::tick(Time now)
{
    if (!jobsExist_)
        return;
    if (!isAnnounced_ && now >= nextAnnounceAt_) {
        nextAnnounceAt_ = now + announceInterval;
        journal_.announce();
    }
    checkLease(now);
    updateMembership(now);
    sendDueRequests(now);
    keeper_.tick(now);
}

// Releases the partitions when the lease has expired, unless every VM that could be a keeper is
// reachable: if the store is unavailable, the group cannot have assigned the partitions to another
// VM as long as none claims them. The keeper then starts no new tasks, but running tasks continue.
void StoredJobs::checkLease(Time now)
{
    keeper_.setLease(leaseUntil_);
    if (now >= leaseUntil_ && !keeper_.isIdle() && !areAllVmsReachable(now)) {
        keeper_.onLeaseLost(now);
        membership_.onLeft(now);
    }
}

bool StoredJobs::areAllVmsReachable(Time now) const
{
    return std::all_of(vmsAtRenewal_.begin(), vmsAtRenewal_.end(), [&](const std::string &vm) {
        const VmTable::Row *row = vms_.find(vm);
        return row && vms_.isReachable(*row, now);
    });
}

void StoredJobs::updateMembership(Time now)
{
    const auto request = membership_.nextRequest(isEligible_, true, now);
    if (!request)
        return;
    if (const auto *joinRequest = std::get_if<JoinGroup>(&*request)) {
        group_.join(*joinRequest, [this, now](const Result<GroupMembership> &reply) {
            onJoined(reply, now);
            flush();
        });
        return;
    }
    group_.leave([this](const Result<void> &reply) {
        if (!reply.has_value()) {
            membership_.onJoinFailed(clock_.now());
            return;
        }
        membership_.onLeft(clock_.now());
        leaseUntil_ = {};
        keeper_.setPartitions({}, 0, clock_.now());
        flush();
    });
}

void StoredJobs::onJoined(const Result<GroupMembership> &reply, Time sentAt)
{
    const Time now = clock_.now();
    if (!reply.has_value()) {
        membership_.onJoinFailed(now);
        return;
    }
    // The lease has expired in the meantime, so another VM may have held the partitions.
    if (now >= leaseUntil_ && !keeper_.isIdle())
        keeper_.onLeaseLost(now);
    membership_.onJoined(reply.value(), now);
    leaseUntil_ = sentAt + groupLease_;
    vmsAtRenewal_.clear();
    for (const auto &[name, row] : vms_.rows())
        vmsAtRenewal_.push_back(name);
    keeper_.setLease(leaseUntil_);
    keeper_.setPartitions(reply.value().shards, reply.value().generation, now);
    for (const PartitionClaim &claim : keeper_.claims())
        pool_.updateKeeperEpoch(claim.partition, claim.epoch, now);
}

void StoredJobs::flush()
{
    if (!jobsExist_)
        return;
    if (!keeper_.isIdle())
        keeper_.setOwnLoad(pool_.load(clock_.now()));
    for (auto actions = keeper_.takeActions(clock_.now()); !actions.empty();
         actions = keeper_.takeActions(clock_.now())) {
        for (KeeperAction &action : actions)
            std::visit([this](auto &call) { execute(std::move(call)); }, action);
    }
    writeLogEntries();
}

void StoredJobs::writeLogEntries()
{
    for (const RouterLogEntry &entry : keeper_.takeLogEntries())
        logEvent(LogLevel::Info, entry.event,
                 entry.job.empty() ? entry.details
                                   : fmt::format("job={} {}", entry.job, entry.details));
}

void StoredJobs::execute(const OpenPartition &call)
{
    journal_.open(call.partition, call.epoch, [this, call](const Result<uint64_t> &end) {
        keeper_.onOpened(call.partition, call.epoch, end, clock_.now());
        flush();
    });
}

void StoredJobs::execute(const ReadPartition &call)
{
    journal_.read(call.partition, call.fromOffset, [this, call](const Result<JournalPage> &page) {
        keeper_.onRead(call.partition, call.epoch, page, clock_.now());
        flush();
    });
}

void StoredJobs::execute(const AppendRecords &call)
{
    const uint32_t partition = call.partition;
    const uint64_t epoch = call.epoch;
    journal_.append(call, [this, partition, epoch](const Result<uint64_t> &offset) {
        keeper_.onAppended(partition, epoch, offset, clock_.now());
        flush();
    });
}

void StoredJobs::execute(const TrimPartition &call)
{
    journal_.trim(call.partition, call.beforeOffset);
}

void StoredJobs::execute(SendBatch send)
{
    if (send.vm == vms_.self().name)
        pool_.startBatch(std::move(send.batch), clock_.now());
    else
        send_(send.vm, BatchMessage {std::move(send.batch)});
}

void StoredJobs::execute(SendStopJob send)
{
    if (send.vm == vms_.self().name)
        pool_.stopJob(send.stop, clock_.now());
    else
        send_(send.vm, StopJobMessage {std::move(send.stop)});
}

void StoredJobs::execute(const SendConfirm &send)
{
    if (send.vm == vms_.self().name)
        pool_.confirmOutcome(send.confirm.task, send.confirm.run, send.confirm.isSuperseded,
                             clock_.now());
    else
        send_(send.vm, send.confirm);
}

void StoredJobs::execute(const KeeperAnswer &answer)
{
    if (answer.caller.vm == vms_.self().name)
        onPeerMessage(answer);
    else
        send_(answer.caller.vm, answer);
}

void StoredJobs::addToReport(VmReport &report) const
{
    report.claims = keeper_.claims();
    report.backlog = keeper_.backlog();
}

uint32_t StoredJobs::pendingJobs(const std::string &queue)
{
    updateBacklog(keeper_.claims(), keeper_.backlog());
    uint32_t jobs = 0;
    for (const auto &[partition, backlog] : backlog_) {
        const auto found = backlog.jobs.find(queue);
        jobs += found == backlog.jobs.end() ? 0 : found->second;
    }
    return jobs;
}

} // namespace lovage::node
