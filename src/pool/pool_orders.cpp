// Handles the answers of servers to orders that start or stop a run.
#include "pool_impl.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

using pool::Run;
using pool::RunState;

namespace {

// Time without new work for a server that reported no room. It runs work that this VM does not know
// of yet.
constexpr Duration fullServerBackoff = std::chrono::milliseconds(30);
// Time without new work for a server that is unhealthy or could not be reached.
constexpr Duration unhealthyServerBackoff = std::chrono::milliseconds(200);
// Delay before a stop is sent again that another server has rejected.
constexpr Duration rejectedStopDelay = std::chrono::milliseconds(100);

} // namespace

void Pool::Implementation::onStartAnswered(const RunRef &ref, OrderResult result, ServerClock clock,
                                           Time now)
{
    const auto found = servers_.find(ref.server);
    if (found == servers_.end())
        return;
    Server &server = found->second;
    if (result != OrderResult::Done && result != OrderResult::NotSent)
        logEvent("start-answered", {},
                 fmt::format("task={} run={} server={} result={}", ref.task, ref.run, ref.server,
                             toString(result)));
    Run *run = server.findRun(ref);
    if (!run) {
        if (result == OrderResult::Done && server.ownership != pool::Ownership::None
            && server.isCancelledStart(ref))
            stopForeignRun(server, ref.task, ref.run, now);
        return;
    }
    if (run->orderedTo == server.incarnationCount()) {
        run->isIncarnationProven = server.provesIncarnation(clock, now)
                && !server.contradictsClock(clock, run->orderedAt);
        noteClock(server, clock, run->orderedAt, now);
    }
    if (result == OrderResult::Done) {
        if (run->orderedTo == server.incarnationCount())
            run->startClockMs = clock;
        run->confirmedAt = now;
        if (run->state != RunState::Stopping)
            run->state = RunState::Running;
        return;
    }
    if (result == OrderResult::Unknown) {
        ++counters_.startsUnanswered;
        server.onOrderUnanswered(run->orderedAt);
        if (run->state == RunState::Starting)
            run->state = RunState::Unconfirmed;
        server.nextPollAt = now;
        return;
    }
    if (run->isListed)
        return; // the list is the surer evidence
    run->isRefused = true;
    onStartRefused(server, ref, result, now);
}

// Handles the answer that the server has not started the run and will not do so without a new
// order.
void Pool::Implementation::onStartRefused(Server &server, const RunRef &ref, OrderResult result,
                                          Time now)
{
    ++counters_.startsRejected;
    const Run ended = server.remove(ref.task);
    switch (result) {
    case OrderResult::OtherServer:
        endReplacedRuns(server, ended.address, ended.orderedAt, now);
        if (server.replacedDelay == Duration::zero())
            requireList(server, "other-server", now);
        break;
    case OrderResult::Fenced:
        requeue(ref.task, ended, now);
        onServerLost(server, "fenced", now);
        return;
    case OrderResult::NoRoom:
        server.closedUntil = now + fullServerBackoff;
        break;
    case OrderResult::NotSent:
    case OrderResult::Unhealthy:
        server.closedUntil = now + unhealthyServerBackoff;
        if (pool::recordFault(server, ref.task, options_, now))
            logEvent("server-avoided", {},
                     fmt::format("server={} cause={}", ref.server, toString(result)));
        break;
    case OrderResult::Invalid: {
        const auto job = jobs_.find(ended.job);
        requeue(ref.task, ended, now);
        if (job != jobs_.end())
            answer(job->second, JobResult::Abandoned, "order-invalid", now);
        return;
    }
    default:
        break;
    }
    requeue(ref.task, ended, now);
}

void Pool::Implementation::onStopAnswered(const RunRef &ref, OrderResult result, ServerClock clock,
                                          Time now)
{
    const auto found = servers_.find(ref.server);
    if (found == servers_.end())
        return;
    Server &server = found->second;
    Run *run = server.findRun(ref);
    if (run)
        run->isStopPending = false;
    if (result == OrderResult::Fenced) {
        onServerLost(server, "fenced", now);
        return;
    }
    if (result == OrderResult::OtherServer) {
        if (server.replacedDelay == Duration::zero())
            requireList(server, "other-server", now);
        if (run)
            run->nextStopAt = now + std::max(server.replacedDelay, rejectedStopDelay);
        return;
    }
    if (result == OrderResult::Unknown || result == OrderResult::NotSent
        || result == OrderResult::Unhealthy)
        return;
    server.nextPollAt = now;
    if (!run)
        return;
    if (run->stopSentTo != server.incarnationCount()) {
        // The stop may have met the previous incarnation.
        run->nextStopAt = now;
        return;
    }
    noteClock(server, clock, run->stopSentAt, now);
    if (run->stopConfirmedAt == Time {})
        run->stopConfirmedAt = now;
}

} // namespace lovage
