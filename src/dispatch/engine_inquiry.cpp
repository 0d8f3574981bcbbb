#include "engine.h"

#include <algorithm>

namespace lovage {

using dispatch::AttemptState;
using dispatch::never;
using dispatch::noServer;

namespace {

// Ids in one inquiry or stop message.
constexpr size_t maxIds = 1000;

} // namespace

TaskId Dispatcher::Engine::idOf(const Submission &submission, uint32_t index) const
{
    if (submission.isBorrowed())
        return submission.loan->id;
    return {submission.id, index, submission.tasks[index].attempt};
}

uint32_t Dispatcher::Engine::serverOfBackend(uint32_t backend)
{
    if (backend >= backendServers_.size())
        backendServers_.resize(backend + 1, noServer);
    uint32_t &server = backendServers_[backend];
    if (server == noServer) {
        const BackendInfo &info = placement_.info(backend);
        server = uint32_t(servers_.size());
        Server &added = servers_.emplace_back();
        added.name = info.name;
        added.backend = backend;
        added.kind = info.kind;
        added.delay = options_.initialInquiryDelay;
    }
    return server;
}

uint32_t Dispatcher::Engine::serverOfPeer(const std::string &vm)
{
    const auto [found, isNew] = peerServers_.emplace(vm, uint32_t(servers_.size()));
    if (isNew) {
        Server &added = servers_.emplace_back();
        added.name = vm;
        added.isPeer = true;
        added.delay = options_.initialInquiryDelay;
    }
    return found->second;
}

ServerFaults Dispatcher::Engine::faultsOf(const std::string &server) const
{
    const auto found = std::find_if(servers_.begin(), servers_.end(),
                                    [&](const Server &s) { return s.name == server; });
    return found == servers_.end() ? ServerFaults {} : found->faults;
}

// Nothing is known about the attempt any more; an inquiry follows.
void Dispatcher::Engine::lose(Submission &submission, uint32_t index, Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Lose))
        return;
    Server &server = servers_[task.server];
    server.asking.push_back({submission.number, index, task.attempt});
    if (server.nextInquiry == never)
        server.nextInquiry = now + server.delay;
    wakeServersAt(server.nextInquiry);
}

// The server has to confirm that the attempt does not run; the start message may still be on its
// way.
void Dispatcher::Engine::wantStop(Submission &submission, uint32_t index, Time now)
{
    Task &task = submission.tasks[index];
    if (task.server == noServer || task.stopWanted)
        return;
    task.stopWanted = true;
    hasStopped_ = true;
    Server &server = servers_[task.server];
    if (apply(task, AttemptEvent::Lose))
        server.asking.push_back({submission.number, index, task.attempt});
    server.nextStop = std::min(server.nextStop, now);
    wakeServersAt(server.nextStop);
}

void Dispatcher::Engine::runServers(Time now)
{
    if (now < nextServerTime_)
        return;
    nextServerTime_ = never;
    for (uint32_t i = 0; i < servers_.size(); ++i)
        runServer(i, now);
}

void Dispatcher::Engine::runServer(uint32_t index, Time now)
{
    Server &server = servers_[index];
    if (now >= server.nextLendCheck)
        checkLent(server, now);
    const bool isInquiryOverdue =
            server.inquiry != 0 && now - server.inquirySentAt >= options_.inquiryTimeout;
    const bool isStopOverdue =
            server.stop != 0 && now - server.stopSentAt >= options_.inquiryTimeout;
    if ((isInquiryOverdue && closeInquiry(server, server.inquiry))
        || (isStopOverdue && closeInquiry(server, server.stop)))
        backOff(server, now);
    if (server.inquiry == 0 && now >= server.nextInquiry)
        sendInquiries(server, false, now);
    if (server.stop == 0 && now >= server.nextStop)
        sendInquiries(server, true, now);
    wakeServersAt(server.nextLendCheck);
    wakeServersAt(server.inquiry != 0 ? server.inquirySentAt + options_.inquiryTimeout
                                      : server.nextInquiry);
    wakeServersAt(server.stop != 0 ? server.stopSentAt + options_.inquiryTimeout : server.nextStop);
}

void Dispatcher::Engine::sendInquiries(Server &server, bool stops, Time now)
{
    std::vector<TaskId> ids;
    std::erase_if(server.asking, [&](const TaskRef &ref) {
        const Located found = locate(ref);
        if (!found || found.task().state != AttemptState::Asking)
            return true;
        if (found.task().stopWanted == stops && ids.size() < maxIds)
            ids.push_back(idOf(*found.submission, ref.index));
        return false;
    });
    (stops ? server.nextStop : server.nextInquiry) = never;
    const bool isFirstContact = !stops && !server.isContacted && !server.isPeer;
    if (ids.empty() && !isFirstContact)
        return;
    const uint64_t exchange = ++lastExchange_;
    (stops ? server.stop : server.inquiry) = exchange;
    (stops ? server.stopSentAt : server.inquirySentAt) = now;
    ++(stops ? counters_.stops : counters_.inquiries);
    if (server.isPeer)
        actions_.push_back(SendLendInquiry {server.name, exchange, std::move(ids), stops});
    else if (stops)
        actions_.push_back(SendStop {server.backend, exchange, std::move(ids)});
    else
        actions_.push_back(SendInquiry {server.backend, exchange, std::move(ids)});
}

// False for a late or repeated reply.
bool Dispatcher::Engine::closeInquiry(Server &server, uint64_t exchange)
{
    if (exchange == 0)
        return false;
    if (server.inquiry == exchange)
        server.inquiry = 0;
    else if (server.stop == exchange)
        server.stop = 0;
    else
        return false;
    return true;
}

// Asks again later about what is still open. The delay doubles until the server has answered
// everything.
void Dispatcher::Engine::backOff(Server &server, Time now)
{
    bool hasInquiries = !server.isContacted && !server.isPeer;
    bool hasStops = false;
    std::erase_if(server.asking, [&](const TaskRef &ref) {
        const Located found = locate(ref);
        if (!found || found.task().state != AttemptState::Asking)
            return true;
        (found.task().stopWanted ? hasStops : hasInquiries) = true;
        return false;
    });
    if (server.asking.empty() && !hasInquiries) {
        server.delay = options_.initialInquiryDelay;
        return;
    }
    const Time next = now + server.delay;
    server.delay = std::min(server.delay * 2, options_.maxInquiryDelay);
    if (hasInquiries && server.inquiry == 0)
        server.nextInquiry = next;
    if (hasStops && server.stop == 0)
        server.nextStop = next;
    wakeServersAt(next);
}

// The message with the result of a lent task may be lost, so the borrower is asked from time to
// time.
void Dispatcher::Engine::checkLent(Server &server, Time now)
{
    std::vector<TaskRef> overdue;
    std::erase_if(server.lent, [&](const TaskRef &ref) {
        const Located found = locate(ref);
        if (!found || found.task().server == noServer)
            return true;
        const bool isOverdue = found.task().state == AttemptState::Running
                && now - found.task().sentAt >= options_.lentTaskCheckInterval;
        if (isOverdue)
            overdue.push_back(ref);
        return false;
    });
    server.nextLendCheck = server.lent.empty() ? never : now + options_.lentTaskCheckInterval;
    for (const TaskRef &ref : overdue)
        lose(*locate(ref).submission, ref.index, now);
    if (!overdue.empty())
        server.nextInquiry = now;
}

// An empty inquiry tells the instance of a server. Nothing starts there before, because a start
// message without an instance could be accepted a second time after a restart.
void Dispatcher::Engine::contact(uint32_t index, Time now)
{
    Server &server = servers_[index];
    if (server.isContacted || server.inquiry != 0 || server.nextInquiry != never)
        return;
    server.nextInquiry = now;
    wakeServersAt(now);
}

// A server with a new instance has forgotten what it ran; the inquiries tell.
void Dispatcher::Engine::noteInstance(uint32_t index, uint64_t instance, Time now)
{
    Server &server = servers_[index];
    isStartable_ = isStartable_ || !server.isContacted;
    server.isContacted = true;
    if (instance <= server.instance)
        return;
    const bool hasRestarted = server.instance != 0;
    server.instance = instance;
    if (hasRestarted)
        loseAll(index, instance, now);
}

// Asks about every attempt that the server holds, but for those of the kept instance.
void Dispatcher::Engine::loseAll(uint32_t server, uint64_t keepInstance, Time now)
{
    for (auto &[number, submission] : submissions_) {
        for (uint32_t i = 0; submission.outstanding > 0 && i < submission.tasks.size(); ++i) {
            const Task &task = submission.tasks[i];
            const bool isKept = keepInstance != 0 && task.instance == keepInstance;
            if (task.server == server && !isKept)
                lose(submission, i, now);
        }
    }
}

} // namespace lovage
