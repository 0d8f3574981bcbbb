#include "engine.h"

#include <algorithm>

namespace lovage {

using dispatch::AttemptState;
using dispatch::never;
using dispatch::noServer;

namespace {

// Maximum number of ids in one inquiry or stop message.
constexpr size_t maxInquiryIds = 1000;

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
        added.inquiryDelay = options_.initialInquiryDelay;
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
        added.inquiryDelay = options_.initialInquiryDelay;
    }
    return found->second;
}

ServerFaults Dispatcher::Engine::faultsOf(const std::string &server) const
{
    const auto found = std::find_if(servers_.begin(), servers_.end(),
                                    [&](const Server &s) { return s.name == server; });
    return found == servers_.end() ? ServerFaults {} : found->faults;
}

// Schedules an inquiry about an attempt whose state at the server has become unknown.
void Dispatcher::Engine::startInquiry(Submission &submission, uint32_t index, Time now)
{
    Task &task = submission.tasks[index];
    if (!apply(task, AttemptEvent::Inquire))
        return;
    Server &server = servers_[task.server];
    server.inquiringTasks.push_back({submission.number, index, task.attempt});
    if (server.nextInquiry == never)
        server.nextInquiry = now + server.inquiryDelay;
    scheduleServerTimer(server.nextInquiry);
}

// Schedules a stop message for an attempt. The server must confirm it even if the attempt has not
// started, because the start message may still be in transit.
void Dispatcher::Engine::requestStop(Submission &submission, uint32_t index, Time now)
{
    Task &task = submission.tasks[index];
    if (task.server == noServer || task.stopRequested)
        return;
    task.stopRequested = true;
    hasStopRequests_ = true;
    Server &server = servers_[task.server];
    if (apply(task, AttemptEvent::Inquire))
        server.inquiringTasks.push_back({submission.number, index, task.attempt});
    server.nextStop = std::min(server.nextStop, now);
    scheduleServerTimer(server.nextStop);
}

void Dispatcher::Engine::processServers(Time now)
{
    if (now < nextServerTimer_)
        return;
    nextServerTimer_ = never;
    for (uint32_t i = 0; i < servers_.size(); ++i)
        processServer(i, now);
}

void Dispatcher::Engine::processServer(uint32_t index, Time now)
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
    scheduleServerTimer(server.nextLendCheck);
    scheduleServerTimer(server.inquiry != 0 ? server.inquirySentAt + options_.inquiryTimeout
                                            : server.nextInquiry);
    scheduleServerTimer(server.stop != 0 ? server.stopSentAt + options_.inquiryTimeout
                                         : server.nextStop);
}

void Dispatcher::Engine::sendInquiries(Server &server, bool stops, Time now)
{
    std::vector<TaskId> ids;
    std::erase_if(server.inquiringTasks, [&](const TaskRef &ref) {
        const TaskLocation found = locate(ref);
        if (!found || found.task().state != AttemptState::Inquiring)
            return true;
        if (found.task().stopRequested == stops && ids.size() < maxInquiryIds)
            ids.push_back(idOf(*found.submission, ref.index));
        return false;
    });
    (stops ? server.nextStop : server.nextInquiry) = never;
    const bool isFirstContact = !stops && !server.hasReplied && !server.isPeer;
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

// Marks the inquiry or stop of this exchange as no longer open. Returns false if the reply is late
// or repeated.
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

// Schedules the next inquiry and stop for the tasks whose state is still unknown. The delay doubles
// each time, and is reset once the server has replied about all of them.
void Dispatcher::Engine::backOff(Server &server, Time now)
{
    bool hasInquiries = !server.hasReplied && !server.isPeer;
    bool hasStops = false;
    std::erase_if(server.inquiringTasks, [&](const TaskRef &ref) {
        const TaskLocation found = locate(ref);
        if (!found || found.task().state != AttemptState::Inquiring)
            return true;
        (found.task().stopRequested ? hasStops : hasInquiries) = true;
        return false;
    });
    if (server.inquiringTasks.empty() && !hasInquiries) {
        server.inquiryDelay = options_.initialInquiryDelay;
        return;
    }
    const Time next = now + server.inquiryDelay;
    server.inquiryDelay = std::min(server.inquiryDelay * 2, options_.maxInquiryDelay);
    if (hasInquiries && server.inquiry == 0)
        server.nextInquiry = next;
    if (hasStops && server.stop == 0)
        server.nextStop = next;
    scheduleServerTimer(next);
}

// Schedules inquiries about lent tasks that have run for longer than lentTaskCheckInterval. The
// message with the result may have been lost.
void Dispatcher::Engine::checkLent(Server &server, Time now)
{
    std::vector<TaskRef> overdue;
    std::erase_if(server.lent, [&](const TaskRef &ref) {
        const TaskLocation found = locate(ref);
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
        startInquiry(*locate(ref).submission, ref.index, now);
    if (!overdue.empty())
        server.nextInquiry = now;
}

// Schedules an empty inquiry to learn the instance of a server. No task is started there before the
// reply, because a start message without an instance could be accepted a second time after a
// restart of the server.
void Dispatcher::Engine::scheduleFirstInquiry(uint32_t index, Time now)
{
    Server &server = servers_[index];
    if (server.hasReplied || server.inquiry != 0 || server.nextInquiry != never)
        return;
    server.nextInquiry = now;
    scheduleServerTimer(now);
}

// Records the instance that a server has reported. A server with a new instance has restarted and
// lost its records, so inquiries are needed about the attempts sent to the previous instance.
void Dispatcher::Engine::updateInstance(uint32_t index, uint64_t instance, Time now)
{
    Server &server = servers_[index];
    needsStartPass_ = needsStartPass_ || !server.hasReplied;
    server.hasReplied = true;
    if (instance <= server.instance)
        return;
    const bool hasRestarted = server.instance != 0;
    server.instance = instance;
    if (hasRestarted)
        startInquiries(index, instance, now);
}

// Schedules inquiries about all outstanding attempts at a server, except those sent to keepInstance
// if it is not 0.
void Dispatcher::Engine::startInquiries(uint32_t server, uint64_t keepInstance, Time now)
{
    for (auto &[number, submission] : submissions_) {
        for (uint32_t i = 0; submission.outstanding > 0 && i < submission.tasks.size(); ++i) {
            const Task &task = submission.tasks[i];
            const bool isKept = keepInstance != 0 && task.instance == keepInstance;
            if (task.server == server && !isKept)
                startInquiry(submission, i, now);
        }
    }
}

} // namespace lovage
