// Execution of the actions of the router and the pool.
#include "job_metrics.h"
#include "peers.h"
#include "stored_jobs.h"

#include "lovage/node.h"

#include <fmt/format.h>

namespace lovage {

namespace {

template<class Entry>
void writeLogEntry(const Entry &entry)
{
    if (entry.job.empty())
        logEvent(LogLevel::Info, entry.event, entry.details);
    else
        logEvent(LogLevel::Info, entry.event,
                 entry.details.empty() ? "job=" + entry.job
                                       : fmt::format("job={} {}", entry.job, entry.details));
}

} // namespace

// Executes the actions of the router and the pool until none is left.
void NodeLogic::flush()
{
    if (isFlushing_)
        return;
    detectPause(clock_.now());
    isFlushing_ = true;
    const ScopeGuard clearFlushing([this] { isFlushing_ = false; });
    for (bool isDone = false; !isDone;) {
        const Time now = clock_.now();
        auto poolActions = pool_.takeActions(now);
        auto routerActions = router_.takeActions();
        storedJobs_->flush();
        isDone = poolActions.empty() && routerActions.empty();
        for (PoolAction &action : poolActions)
            std::visit([this](auto &order) { execute(std::move(order)); }, action);
        for (RouterAction &action : routerActions)
            std::visit([this](auto &order) { execute(std::move(order)); }, action);
    }
    writeLogEntries();
}

void NodeLogic::writeLogEntries()
{
    for (const RouterLogEntry &entry : router_.takeLogEntries())
        writeLogEntry(entry);
    for (const PoolLogEntry &entry : pool_.takeLogEntries())
        writeLogEntry(entry);
}

void NodeLogic::execute(OrderStart order)
{
    RunRef ref = order.ref;
    servers_.start(order, [this, ref](OrderResult result, ServerClock clock) {
        pool_.onStartAnswered(ref, result, clock, clock_.now());
        flush();
    });
}

void NodeLogic::execute(OrderStop order)
{
    RunRef ref = order.ref;
    servers_.stop(order, [this, ref](OrderResult result, ServerClock clock) {
        pool_.onStopAnswered(ref, result, clock, clock_.now());
        flush();
    });
}

void NodeLogic::execute(const OrderPoll &order)
{
    servers_.poll(order, [this](const PollReply &reply) {
        pool_.onPollAnswered(reply, clock_.now());
        flush();
    });
}

// Delivers an answer of the local pool to a caller of this VM or to another VM.
void NodeLogic::execute(JobAnswer answer)
{
    if (answer.ticket.vm == self_.name) {
        router_.onAnswer(self_.name, std::move(answer), clock_.now());
        return;
    }
    const std::string vm = answer.ticket.vm;
    peers_->send(vm, AnswerMessage {self_.name, std::move(answer), pool_.load(clock_.now())});
}

void NodeLogic::execute(const OfferAccepted &accepted)
{
    const JobTicket &ticket = accepted.ticket;
    metrics_->recordAcceptanceSent();
    peers_->send(ticket.vm,
                 AcceptedMessage {self_.name, ticket.incarnation, ticket.number, ticket.part,
                                  ticket.offer});
}

void NodeLogic::execute(const TaskOutcome &outcome)
{
    storedJobs_->onOutcome(outcome);
}

void NodeLogic::execute(SendOffer send)
{
    if (send.vm == self_.name)
        pool_.offer(std::move(send.offer), clock_.now());
    else
        peers_->send(send.vm, OfferMessage {std::move(send.offer)});
}

void NodeLogic::execute(const SendWithdraw &send)
{
    if (send.vm == self_.name)
        pool_.withdraw(send.ticket, clock_.now());
    else
        peers_->send(send.vm, WithdrawMessage {send.ticket, send.origin});
}

void NodeLogic::execute(const Respond &respond)
{
    const auto found = callers_.find(respond.number);
    if (found == callers_.end())
        return;
    metrics_->recordAnswered(respond.answer.result, found->second.tasks,
                             clock_.now() - found->second.arrivedAt);
    const Caller caller = std::move(found->second);
    callers_.erase(found);
    caller.respond(respond.answer);
}

} // namespace lovage
