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
    for (auto &[id, server] : servers_)
        server.isRegistered = false;
    for (const ServerInfo &info : servers) {
        const auto [entry, isNew] = servers_.try_emplace(info.id, info, options_);
        Server &server = entry->second;
        server.isRegistered = true;
        const bool isNewIncarnation = info.incarnation > server.info().incarnation;
        if (!isNew && server.info().isLeaving != info.isLeaving)
            logEvent("server-leaving", {},
                     fmt::format("server={} leaving={}", info.id, info.isLeaving));
        if (!isNew && info.incarnation < server.info().incarnation)
            continue; // an outdated entry of an earlier incarnation
        const uint64_t known = server.info().incarnation;
        server.update(info);
        if (isNewIncarnation && !isNew)
            onNewIncarnation(server, known, "entry", now);
        if (isNew)
            applyGrant(server, now);
    }
    std::erase_if(servers_, [&](const auto &entry) {
        const Server &server = entry.second;
        return !server.isRegistered && server.runs().empty() && !server.isPollPending;
    });
    isPlacementDue_ = true;
}

void Pool::Implementation::setGrants(const ShardGrants &grants, Time now)
{
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

// All runs of the previous incarnation have ended. An unanswered order may still be executed by the
// new incarnation, which its answer or a poll will show. The new incarnation does not know the
// stops that the previous one confirmed, so they are sent again.
void Pool::Implementation::onNewIncarnation(Server &server, uint64_t known, std::string_view source,
                                            Time now)
{
    std::vector<std::string> tasks;
    for (const auto &[task, run] : server.runs()) {
        if (run.confirmedAt != Time {} || run.job == pool::foreignJob)
            tasks.push_back(task);
    }
    logEvent("server-restarted", {},
             fmt::format("server={} known={} named={} source={} runs={} ended={}", server.info().id,
                         known, server.info().incarnation, source, server.runs().size(),
                         tasks.size()));
    for (const std::string &task : tasks) {
        const Run run = server.remove(task);
        logRunOver(server, task, run, "restart", now);
        requeue(task, run, now);
    }
    server.resetIncarnationState();
    if (server.ownership != Ownership::None)
        server.ownership = Ownership::TakingOver;
    server.nextPollAt = now;
    server.restoreCancelledStarts(now);
    for (auto &[task, run] : server.runs()) {
        run.stopConfirmedAt = {};
        run.nextStopAt = now;
    }
}

// Another server answers at the address, so the process has ended. Because its entry may stay in
// the server list for seconds, orders to it are delayed increasingly.
void Pool::Implementation::onServerReplaced(Server &server, Time now)
{
    onNewIncarnation(server, server.info().incarnation, "other-server", now);
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

bool Pool::Implementation::checkIncarnation(Server &server, const ServerReading &reading, Time now)
{
    if (!reading.incarnation || *reading.incarnation <= server.info().incarnation)
        return reading.incarnation.value_or(0) == server.info().incarnation || !reading.incarnation;
    ServerInfo info = server.info();
    const uint64_t known = info.incarnation;
    info.incarnation = *reading.incarnation;
    server.update(std::move(info));
    onNewIncarnation(server, known, "answer", now);
    return false;
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
    poll.ackedThrough = server.ackedThrough();
    poll.leaseUntilMs = extendsLease ? server.leaseForPoll(now, limit) : 0;
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
    run.nextStopAt = now + stopRetryDelay;
    actions_.emplace_back(
            OrderStop {{server.info().id, task, run.number}, server.info().address, server.token});
}

// Repeats unanswered stops, and drops runs that must have ended because their lease has lapsed or
// because their server has left and their order can no longer be executed.
void Pool::Implementation::retryStopsAndDropLapsedRuns(Time now)
{
    for (auto &[id, server] : servers_) {
        std::vector<std::string> ended;
        for (auto &[task, run] : server.runs()) {
            const bool isConfirmed = run.confirmedAt != Time {} || run.job == pool::foreignJob;
            const bool isOrderExpired =
                    !server.isRegistered && now > run.orderedAt + pool::maxOrderDelay;
            if ((isConfirmed && server.hasLapsed(now) && run.job != pool::foreignJob)
                || isOrderExpired) {
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
    server.commitPollAck();
    server.unansweredPolls = 0;
    server.replacedDelay = {};
    server.resetDelay = {};
    server.commitPollLease();
    server.nextPollAt = now;
    server.closedUntil = {};
    if (!checkIncarnation(server, reply.reading, now))
        return;
    server.updateClock(reply.reading, now);
    for (const EndedRow &row : reply.ended)
        onRunEnded(server, row, now);
    reconcile(server, reply, sentAt, now);
    if (server.ownership == Ownership::TakingOver) {
        server.ownership = Ownership::Held;
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
        server.nextPollAt = now + reconnectDelay;
        break;
    case OrderResult::Fenced:
        onServerLost(server, "fenced", now);
        return;
    case OrderResult::OtherIncarnation:
        onServerReplaced(server, now);
        return;
    case OrderResult::Unknown:
        // A reset connection fails immediately and not after a timeout, so the next poll has to be
        // delayed explicitly.
        ++counters_.pollsUnanswered;
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
// over only if the poll was sent after the run or its stop was confirmed.
void Pool::Implementation::reconcile(Server &server, const PollReply &reply, Time sentAt, Time now)
{
    std::map<std::string_view, const RunningRow *> listed;
    for (const RunningRow &row : reply.running)
        listed.emplace(row.task, &row);
    std::vector<std::string> gone;
    for (auto &[task, run] : server.runs()) {
        const auto row = listed.find(task);
        if (row != listed.end() && row->second->run == run.number) {
            if (run.state == RunState::Unconfirmed) {
                run.state = RunState::Running;
                run.confirmedAt = now;
                // A new incarnation may have executed the order at any time until now.
                server.onStartExecuted(now);
            }
            if (!row->second->checkpoint.empty())
                run.checkpoint = row->second->checkpoint;
            if (run.state == RunState::Running)
                checkProgress(server, *row->second, run, now);
            continue;
        }
        const bool isGone = (run.state == RunState::Running && sentAt > run.confirmedAt)
                || (run.state == RunState::Stopping && run.stopConfirmedAt != Time {}
                    && sentAt > run.stopConfirmedAt);
        if (isGone)
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
            stopForeignRun(server, row, now);
    }
}

// Stops a run that an earlier holder of the server started, since its job is not open in this pool.
void Pool::Implementation::stopForeignRun(Server &server, const RunningRow &row, Time now)
{
    if (server.runs().contains(row.task))
        return;
    logEvent("run-foreign", {},
             fmt::format("task={} run={} server={}", row.task, row.run, server.info().id));
    Run run;
    run.number = row.run;
    run.orderedAt = now;
    run.endBy = now; // the caller of its job may have lost its connection long ago
    server.add(row.task, run);
    sendStop(server, row.task, server.runs().at(row.task), now);
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
    const double logRatio =
            std::log(pool::slownessOf(server, speedOf(job.offer.service).meanLogSlowness));
    job.longestRun = std::max(job.longestRun, pool::scaled(ran, std::exp(-logRatio)));
    // The speed is learned from the original prediction and not from the projected run time, which
    // depends on the learned speed itself.
    pool::recordSuccess(server, job.predicted[task.step], ran);
    model_.observe(job.offer.queue, job.stepOf(task).estimate, ran, logRatio);
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
