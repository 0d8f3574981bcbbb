// Servers of a pool: grants, polls, and the handling of what polls report.
#include "durations.h"
#include "pool_impl.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lovage {

using pool::Ownership;
using pool::Run;
using pool::RunState;
using pool::Task;

namespace {

// Delay before a stop order is sent again while the run has not ended.
constexpr Duration stopRetryDelay = std::chrono::milliseconds(100);
// Delay of the next poll of a server that could not be connected to.
constexpr Duration reconnectDelay = std::chrono::milliseconds(50);
constexpr Duration maxReconnectDelay = std::chrono::seconds(1);
// Maximum delay between polls of a server that resets connections. It is shorter than the timeout
// of a poll, so that a server that does not answer is polled without a pause.
constexpr Duration maxResetDelay = std::chrono::milliseconds(300);
// Time without new work after a poll failed. The next answer to a poll ends it early.
constexpr Duration silentServerBackoff = std::chrono::milliseconds(500);
// Number of consecutive failed polls after which polls no longer extend the lease.
constexpr uint32_t pollsBeforeLapse = 2;
// A server takes new runs only while it can be granted at least this part of the full lease, so
// that a poll or two may be lost.
constexpr int minStartLeaseInverse = 2;

} // namespace

void Pool::Implementation::setServers(const std::vector<ServerInfo> &servers, Time now)
{
    forgetPlans();
    for (auto &[id, server] : servers_)
        server.isRegistered = false;
    for (const ServerInfo &info : servers) {
        const auto [entry, isNew] = servers_.try_emplace(info.id, info, options_);
        Server &server = entry->second;
        server.isRegistered = true;
        if (!isNew && server.info().isLeaving != info.isLeaving)
            logEvent("server-leaving", {},
                     fmt::format("server={} leaving={}", info.id, info.isLeaving));
        // An entry does not end runs: it may be outdated or of another writer.
        const bool isOtherProcess = info.incarnation != server.info().incarnation
                && info.incarnation != server.incarnation();
        server.update(info);
        if (isOtherProcess && !isNew)
            requireList(server, "entry", now);
        if (isNew)
            applyGrant(server, now);
    }
    std::erase_if(servers_, [&](const auto &entry) {
        const Server &server = entry.second;
        return !server.isRegistered && server.runs().empty() && !server.isPollPending
                && !server.hasCancelledStarts(now);
    });
    isPlacementDue_ = true;
}

void Pool::Implementation::setGrants(const ShardGrants &grants, Time now)
{
    forgetPlans();
    grants_ = grants;
    for (auto &[id, server] : servers_)
        applyGrant(server, now);
    isPlacementDue_ = true;
}

void Pool::Implementation::applyGrant(Server &server, Time now)
{
    const auto grant = grants_.find(shardOf(server.info().id, options_.shardCount));
    if (grant == grants_.end()) {
        if (server.ownership != Ownership::None)
            onServerLost(server, "grant-ended", now);
        return;
    }
    server.isReleasing = grant->second.isReleasing;
    if (grant->second.token <= server.token)
        return;
    server.token = grant->second.token;
    // Until the first poll is answered, the server may run tasks that another holder started.
    server.ownership = Ownership::TakingOver;
    server.nextPollAt = now;
}

// Logs why a run counts as over although the server has not listed its end.
void Pool::Implementation::logRunOver(const Server &server, const std::string &task, const Run &run,
                                      std::string_view cause, Time now)
{
    const Duration sinceConfirmed =
            run.confirmedAt == Time {} ? Duration(-1) : now - run.confirmedAt;
    logEvent("run-over", {},
             fmt::format("task={} run={} server={} cause={} ordered_us={} confirmed_us={}", task,
                         run.number, server.info().id, cause, (now - run.orderedAt).count(),
                         sinceConfirmed.count()));
}

// Starts the tasks of those runs again that have ended together with their process.
template<class Predicate>
void Pool::Implementation::endRuns(Server &server, Predicate hasEnded, std::string_view cause,
                                   Time now)
{
    std::vector<std::string> tasks;
    for (const auto &[task, run] : server.runs()) {
        if (hasEnded(run))
            tasks.push_back(task);
    }
    for (const std::string &task : tasks) {
        const Run run = server.remove(task);
        logRunOver(server, task, run, cause, now);
        requeue(task, run, now);
    }
}

// Handles a list of another incarnation than the lists before it. What those had shown as running
// has ended. The start of any other run may have been executed by either incarnation, so the run
// stays until a list shows it or lacks it. The new incarnation does not know the stops that the
// previous one confirmed, so they are sent again.
void Pool::Implementation::onNewIncarnation(Server &server, const PollReply &list, Time now)
{
    const size_t known = server.runs().size();
    const uint64_t previous = server.incarnation().value_or(0);
    endRuns(
            server, [](const Run &run) { return run.isListed; }, "restart", now);
    logEvent("server-restarted", {},
             fmt::format("server={} known={} named={} runs={} kept={}", server.info().id, previous,
                         list.incarnation.value_or(0), known, server.runs().size()));
    const bool mayHaveLease = server.doesPollExtendLease || !server.runs().empty();
    server.beginIncarnation(list.incarnation.value_or(0), mayHaveLease, now);
    server.restoreCancelledStarts(now);
    for (auto &[task, run] : server.runs()) {
        run.stopConfirmedAt = {};
        run.nextStopAt = now;
    }
}

// Another server has answered an order that was sent to the address at the given time, so the
// process that had executed starts there before has ended. The entry may name a wrong address, at
// which no run was started.
void Pool::Implementation::endReplacedRuns(Server &server, const std::string &address, Time sentAt,
                                           Time now)
{
    const auto hasEnded = [&](const Run &run) {
        return run.address == address && run.confirmedAt != Time {} && run.confirmedAt < sentAt;
    };
    endRuns(server, hasEnded, "other-server", now);
}

// Delays orders increasingly while another server answers at the address. The entry may stay in the
// server list for seconds after the server has left.
void Pool::Implementation::delayOrders(Server &server, Time now)
{
    if (server.ownership == Ownership::Held) {
        logEvent("server-replaced", {},
                 fmt::format("server={} address={} runs={}", server.info().id, server.pollAddress,
                             server.runs().size()));
        server.ownership = Ownership::TakingOver;
        forgetPlans();
    }
    server.replacedDelay = std::clamp(server.replacedDelay * 2, reconnectDelay, maxReconnectDelay);
    server.nextPollAt = now + server.replacedDelay;
    for (auto &[task, run] : server.runs())
        run.nextStopAt = now + server.replacedDelay;
}

// Another VM holds the server now or will hold it, and stops the runs that it finds there. Until
// then the runs may continue, so their tasks cannot be started again in time and their jobs are
// abandoned.
void Pool::Implementation::onServerLost(Server &server, std::string_view cause, Time now)
{
    ++counters_.serversLost;
    forgetPlans();
    logEvent("server-lost", {},
             fmt::format("server={} cause={} token={} runs={}", server.info().id, cause,
                         server.token, server.runs().size()));
    server.ownership = Ownership::None;
    std::vector<JobNumber> jobs;
    std::vector<std::string> tasks;
    for (const auto &[task, run] : server.runs()) {
        tasks.push_back(task);
        const auto job = jobs_.find(run.job);
        if (job != jobs_.end() && job->second.tasks[run.task].lastRun == run.number)
            jobs.push_back(run.job);
    }
    for (const std::string &task : tasks) {
        const Run run = server.remove(task);
        if (run.stored)
            queueLostOutcome(task, run, now);
    }
    server.resetIncarnationState();
    for (const JobNumber number : jobs) {
        const auto job = jobs_.find(number);
        if (job != jobs_.end())
            answer(job->second, JobResult::Abandoned, "server-lost", now);
    }
}

// Demands a list of the server's runs, because another process may be alive there than the known
// one.
void Pool::Implementation::requireList(Server &server, std::string_view cause, Time now)
{
    if (server.requireList(now))
        logEvent("list-required", {}, fmt::format("server={} cause={}", server.info().id, cause));
}

// Handles the clock of an answer to a start or a stop that was sent to the known incarnation. A
// reading below its clock shows that another one has answered, but not which runs it executes.
void Pool::Implementation::noteClock(Server &server, ServerClock clock, Time orderSentAt, Time now)
{
    if (server.contradictsClock(clock, orderSentAt))
        requireList(server, "clock", now);
    else
        server.updateClock(clock, orderSentAt, now);
}

void Pool::Implementation::sendDuePolls(Time now)
{
    for (auto &[id, server] : servers_) {
        if (server.isPollDue(now))
            sendPoll(server, now);
    }
}

// Returns the time by which the lease of the server must have lapsed.
Time Pool::Implementation::leaseEndsBy(const Server &server) const
{
    Time limit = Time::max();
    for (const auto &[task, run] : server.runs()) {
        limit = std::min(limit, run.endBy);
        const auto job = jobs_.find(run.job);
        if (job != jobs_.end())
            limit = std::min(limit, runsEndBy(job->second));
    }
    return limit;
}

// Returns whether new runs may be ordered on the server. A server with a run that must end soon
// could grant them a short lease only.
bool Pool::Implementation::isPlaceable(const Server &server, Time now) const
{
    return server.isOpen(now) && !server.hasForeignRuns()
            && leaseEndsBy(server) >= now + options_.lease / minStartLeaseInverse;
}

void Pool::Implementation::sendPoll(Server &server, Time now)
{
    ++counters_.polls;
    server.isPollPending = true;
    server.pollSentAt = now;
    server.pollAddress = server.info().address;
    // A server whose answers are lost may still receive polls. Its lease is no longer extended, so
    // that it lapses and the tasks can be started on other servers.
    const bool extendsLease = server.ownership == Ownership::Held && !server.runs().empty()
            && server.unansweredPolls < pollsBeforeLapse;
    const Time limit = leaseEndsBy(server);
    if (extendsLease && limit < now + options_.lease)
        logEvent("lease-shortened", {},
                 fmt::format("server={} limit_us={}", server.info().id, (limit - now).count()));
    OrderPoll poll;
    poll.server = server.info().id;
    poll.address = server.info().address;
    poll.token = server.token;
    poll.ackedThrough = server.ackForPoll();
    poll.leaseUntilMs = extendsLease ? server.leaseForPoll(now, limit) : 0;
    server.doesPollExtendLease = poll.leaseUntilMs > 0;
    poll.wait = server.pollWait(now);
    poll.timeout = poll.wait + options_.answerTimeout;
    server.setPollAck(poll.ackedThrough);
    actions_.emplace_back(std::move(poll));
}

void Pool::Implementation::sendStop(Server &server, const std::string &task, Run &run, Time now)
{
    run.state = RunState::Stopping;
    if (server.ownership == Ownership::None)
        return;
    ++counters_.stops;
    run.isStopPending = true;
    run.stopSentTo = server.incarnationCount();
    run.stopSentAt = now;
    run.nextStopAt = now + stopRetryDelay;
    actions_.emplace_back(
            OrderStop {{server.info().id, task, run.number}, server.info().address, server.token});
}

// Repeats unanswered stops, and drops runs that must have ended because their lease has lapsed, or
// because their server has left and a start that was never confirmed can no longer be executed.
void Pool::Implementation::retryStopsAndDropLapsedRuns(Time now)
{
    for (auto &[id, server] : servers_) {
        std::vector<std::string> ended;
        for (auto &[task, run] : server.runs()) {
            const bool isOrderExpired = !server.isRegistered && run.confirmedAt == Time {}
                    && now > run.orderedAt + pool::maxOrderDelay + server.longestLease();
            if ((run.confirmedAt != Time {} && server.hasLapsed(run, now)) || isOrderExpired) {
                ended.push_back(task);
                continue;
            }
            if (run.state == RunState::Stopping && !run.isStopPending
                && run.stopConfirmedAt == Time {} && now >= run.nextStopAt)
                sendStop(server, task, run, now);
        }
        for (const std::string &task : ended) {
            ++counters_.runsLost;
            const Run run = server.remove(task);
            logRunOver(server, task, run, "lapsed", now);
            requeue(task, run, now);
        }
    }
}

void Pool::Implementation::onPollAnswered(const PollReply &reply, Time now)
{
    const auto found = servers_.find(reply.server);
    if (found == servers_.end())
        return;
    Server &server = found->second;
    const Time sentAt = server.pollSentAt;
    server.isPollPending = false;
    if (server.ownership == Ownership::None)
        return;
    if (reply.result != OrderResult::Done) {
        onPollFailed(server, reply.result, now);
        return;
    }
    if (!reply.incarnation && server.incarnation().value_or(0) != 0) {
        // The server has named its incarnation before, so this is not a list of its runs.
        onPollFailed(server, OrderResult::Unknown, now);
        return;
    }
    server.unansweredPolls = 0;
    server.replacedDelay = {};
    server.resetDelay = {};
    server.commitPollLease();
    server.nextPollAt = now;
    server.closedUntil = {};
    if (server.isNewIncarnation(reply))
        onNewIncarnation(server, reply, now);
    else if (!server.incarnation())
        server.beginIncarnation(reply.incarnation.value_or(0), false, now);
    server.commitPollAck();
    server.onListed(sentAt);
    server.setClock(reply.clock, sentAt, now);
    server.listClockMs = reply.clock;
    for (const EndedRow &row : reply.ended)
        onRunEnded(server, row, now);
    reconcile(server, reply, sentAt, now);
    if (server.ownership == Ownership::TakingOver) {
        server.ownership = Ownership::Held;
        forgetPlans();
        logEvent("server-taken", {},
                 fmt::format("server={} token={} foreign_runs={}", server.info().id, server.token,
                             server.runs().size()));
    }
    isPlacementDue_ = true;
}

void Pool::Implementation::onPollFailed(Server &server, OrderResult result, Time now)
{
    ++server.unansweredPolls;
    if (result != OrderResult::NotSent)
        server.commitPollLease();
    switch (result) {
    case OrderResult::NotSent:
        server.rollBackPollLease();
        // A server without runs is polled for a list that was demanded, which is not urgent.
        server.resetDelay = server.runs().empty()
                ? std::clamp(server.resetDelay * 2, reconnectDelay, maxReconnectDelay)
                : reconnectDelay;
        server.nextPollAt = now + server.resetDelay;
        break;
    case OrderResult::Fenced:
        onServerLost(server, "fenced", now);
        return;
    case OrderResult::OtherServer:
        endReplacedRuns(server, server.pollAddress, server.pollSentAt, now);
        delayOrders(server, now);
        return;
    case OrderResult::Unknown:
        // A reset connection fails immediately and not after a timeout, so the next poll has to be
        // delayed explicitly.
        ++counters_.pollsUnanswered;
        if (server.doesPollExtendLease)
            server.onOrderUnanswered(server.pollSentAt);
        server.resetDelay = std::clamp(server.resetDelay * 2, reconnectDelay, maxResetDelay);
        server.nextPollAt = std::max(now, server.pollSentAt + server.resetDelay);
        break;
    default:
        server.nextPollAt = now + reconnectDelay;
        break;
    }
    server.closedUntil = now + silentServerBackoff;
}

// Compares the runs that this VM knows with those that the server lists. A missing run counts as
// over only if the poll was sent after its start or its stop was known to be executed, and if the
// server has no further ends to list, since that of the run may be among them.
void Pool::Implementation::reconcile(Server &server, const PollReply &reply, Time sentAt, Time now)
{
    std::map<std::string_view, const RunningRow *> listed;
    for (const RunningRow &row : reply.running)
        listed.emplace(row.task, &row);
    std::vector<std::string> gone;
    for (auto &[task, run] : server.runs()) {
        const auto row = listed.find(task);
        if (row != listed.end() && row->second->run == run.number) {
            onRunListed(server, *row->second, run, now);
            continue;
        }
        const bool isOver = (run.confirmedAt != Time {} && sentAt > run.confirmedAt)
                || (run.state == RunState::Stopping && run.stopConfirmedAt != Time {}
                    && sentAt > run.stopConfirmedAt);
        if (isOver && reply.areEndsComplete)
            gone.push_back(task);
        else if (run.state == RunState::Unconfirmed && sentAt > run.orderedAt)
            sendStop(server, task, run, now);
    }
    for (const std::string &task : gone) {
        const Run run = server.remove(task);
        logRunOver(server, task, run, "not-listed", now);
        if (run.state == RunState::Running)
            ++counters_.runsLost;
        if (run.confirmedAt == Time {} && run.job != pool::foreignJob)
            server.recordCancelledStart(task, run.number, now);
        requeue(task, run, now);
    }
    for (const RunningRow &row : reply.running) {
        const auto known = server.runs().find(row.task);
        if (known == server.runs().end() || known->second.number != row.run)
            stopForeignRun(server, row.task, row.run, now);
        Run *run = server.findRun({server.info().id, row.task, row.run});
        if (run && !std::exchange(run->isListed, true))
            server.assumeLongestLease(now);
    }
}

// Handles a run that a list shows, which proves that the current incarnation executes it.
void Pool::Implementation::onRunListed(Server &server, const RunningRow &row, Run &run, Time now)
{
    if (!run.isListed) {
        run.isListed = true;
        if (run.orderedTo != server.incarnationCount())
            server.assumeLongestLease(now);
    }
    if (run.confirmedAt == Time {})
        run.confirmedAt = now;
    if (run.state == RunState::Unconfirmed || run.state == RunState::Starting)
        run.state = RunState::Running;
    if (!row.checkpoint.empty())
        run.checkpoint = row.checkpoint;
    if (run.state == RunState::Running)
        checkProgress(server, row, run, now);
}

// Stops a run whose job is not open in this pool: an earlier holder of the server started it, or
// this pool gave its start up before it was executed.
void Pool::Implementation::stopForeignRun(Server &server, const std::string &task, uint32_t number,
                                          Time now)
{
    if (server.runs().contains(task))
        return;
    logEvent("run-foreign", {},
             fmt::format("task={} run={} server={}", task, number, server.info().id));
    Run run;
    run.number = number;
    run.orderedAt = now;
    run.address = server.pollAddress;
    run.confirmedAt = now;
    run.endBy = now; // the caller of its job may have lost its connection long ago
    server.add(task, run);
    sendStop(server, task, server.runs().at(task), now);
}

void Pool::Implementation::onRunEnded(Server &server, const EndedRow &row, Time now)
{
    if (!server.recordEnd(row.number))
        return;
    if (server.endSeenAt == Time {} || !server.hasUnacknowledged())
        server.endSeenAt = now;
    const RunRef ref {server.info().id, row.task, row.run};
    const Run *known = server.findRun(ref);
    const bool isForeign = !known || known->job == pool::foreignJob;
    const Run run = known ? server.remove(row.task) : Run {};
    if (run.stored || (isForeign && expectsStoredJobs_)) {
        onStoredRunEnded(server, run, row, now);
        return;
    }
    if (!known)
        return;
    if (row.end == RunEnd::Succeeded) {
        onRunSucceeded(server, run, now);
        return;
    }
    if (row.end == RunEnd::Failed) {
        onRunFailed(server, run, now);
        return;
    }
    if (run.state != RunState::Stopping)
        logEvent("run-ended-early", {},
                 fmt::format("task={} run={} server={} end={}", row.task, row.run, server.info().id,
                             toString(row.end)));
    requeue(row.task, run, now);
}

// Returns the job of a run if the run is the latest of an active task, and otherwise null.
Pool::Implementation::Job *Pool::Implementation::activeJobOf(const Run &run)
{
    const auto found = jobs_.find(run.job);
    if (found == jobs_.end())
        return nullptr;
    const Task &task = found->second.tasks[run.task];
    const bool isLatest = task.lastRun == run.number && task.state == pool::TaskState::Active;
    return isLatest ? &found->second : nullptr;
}

void Pool::Implementation::onRunSucceeded(Server &server, const Run &run, Time now)
{
    Job *open = activeJobOf(run);
    if (!open)
        return;
    Job &job = *open;
    Task &task = job.tasks[run.task];
    if (!task.avoidedServer.empty())
        confirmServerFault(task.avoidedServer, now);
    const Duration ran = now - (run.confirmedAt != Time {} ? run.confirmedAt : run.orderedAt);
    const pool::SlowRunEvidence evidence =
            slowRunEvidence(server, run, job, {ran, ran, ran, 0}, now);
    job.longestRun = std::max(job.longestRun, pool::scaled(ran, 1 / evidence.slowness));
    learnFromSuccess(server, run, job.offer.queue, job.stepOf(task).estimate,
                     job.stepOf(task).count, evidence, now);
    task.latestRun = {server.info().id, pool::logRatioOf(ran, evidence.predicted), 0, 0};
    completeTask(job, run.task, now);
}

void Pool::Implementation::onRunFailed(Server &server, const Run &run, Time now)
{
    Job *open = activeJobOf(run);
    if (!open)
        return;
    Job &job = *open;
    Task &task = job.tasks[run.task];
    ++task.failures;
    logEvent("run-failed", job.offer.job.id,
             fmt::format("task={} run={} server={} failures={} attempts={}",
                         toString(job.nameOf(run.task)), run.number, server.info().id,
                         task.failures, job.offer.attempts));
    const auto earlier = servers_.find(task.avoidedServer);
    if (earlier != servers_.end() && task.avoidedServer != server.info().id)
        pool::retractFault(earlier->second);
    else if (pool::recordFault(server, job.offer.job.id, options_, now))
        logEvent("server-avoided", {}, fmt::format("server={} cause=failures", server.info().id));
    task.avoidedServer = server.info().id;
    if (task.failures >= job.offer.attempts) {
        answer(job, JobResult::Failed, "attempts-used", now);
        return;
    }
    requeue(toString(job.nameOf(run.task)), run, now);
}

// Counts a fault of a server after a task that failed there has succeeded on another server.
void Pool::Implementation::confirmServerFault(const std::string &serverId, Time now)
{
    const auto found = servers_.find(serverId);
    if (found != servers_.end() && pool::recordFault(found->second, {}, options_, now))
        logEvent("server-avoided", {}, fmt::format("server={} cause=failed-alone", serverId));
}

} // namespace lovage
