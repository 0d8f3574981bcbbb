#include "lovagefake/server.h"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace lovage::fake {

namespace json = boost::json;
using backend::TaskResult;
using backend::TaskStatus;
using namespace std::chrono_literals;

namespace {

constexpr Duration resultRetention = 60s;
constexpr Duration usageLag = 1s;

constexpr std::string_view instanceHeader = "Lovage-Instance";

HttpResponse failure(int status, const Error &error)
{
    return {status, "application/json", {}, backend::serializeFailure("", error)};
}

} // namespace

BackendServer::BackendServer(IoThreads &threads, size_t thread, Ledger &ledger, ServerConfig config,
                             uint64_t seed)
    : threads_(threads), thread_(thread), ledger_(ledger), config_(std::move(config)), random_(seed)
{ }

Result<void> BackendServer::listen()
{
    HttpLimits limits;
    limits.maxConnections = config_.maxConnections;
    auto server = HttpServer::listen(threads_, config_.endpoint, limits,
                                     [this](HttpRequest request, HttpServer::Reply reply) {
                                         handle(std::move(request), std::move(reply));
                                     });
    if (!server)
        return server.error();
    config_.endpoint.port = server.value()->port();
    servers_.push_back(std::move(server.value()));
    return boost::outcome_v2::success();
}

bool BackendServer::setFault(const std::string &name, double value)
{
    const std::lock_guard lock(mutex_);
    const std::map<std::string, double ServerFaults::*> fields {
            {"crash", &ServerFaults::crash},
            {"silent", &ServerFaults::silent},
            {"blackHole", &ServerFaults::blackHole},
            {"straggler", &ServerFaults::straggler},
            {"leaving", &ServerFaults::leaving},
            {"startAfterRefuse", &ServerFaults::startAfterRefuse},
            {"malformed", &ServerFaults::malformed},
            {"oversize", &ServerFaults::oversize},
            {"loseStartReply", &ServerFaults::loseStartReply},
            {"delayStartMs", &ServerFaults::delayStartMs}};
    const auto found = fields.find(name);
    if (found == fields.end())
        return false;
    const double before = faults_.*(found->second);
    faults_.*(found->second) = value;
    if (name == "crash" && before == 0 && value != 0)
        crash();
    if (name == "crash" && before != 0 && value == 0)
        return listen().has_value();
    if (name == "leaving")
        leavingSince_ = value != 0 ? std::optional(currentTime()) : std::nullopt;
    if (name == "silent" && value == 0)
        unansweredReplies_.clear();
    return true;
}

void BackendServer::crash()
{
    ++generation_;
    servers_.back()->stopAccepting();
    ledger_.recordCrash(config_.name, currentTime());
    tasks_.clear();
    tombstones_.clear();
    holders_.clear();
    unansweredReplies_.clear();
    running_ = 0;
    used_ = Demand {0};
}

void BackendServer::handle(HttpRequest request, HttpServer::Reply reply)
{
    const std::lock_guard lock(mutex_);
    if (faults_.crash != 0)
        return; // dropping the reply closes the connection
    if (faults_.silent != 0) {
        unansweredReplies_.push_back(std::move(reply));
        return;
    }
    const std::string_view path = request.path();
    ledger_.countMessage(std::string(path.substr(path.rfind('/') + 1)));
    if (path == "/v1/starts") {
        if (faults_.delayStartMs == 0) {
            handleStart(request, reply);
            return;
        }
        const Duration delay(static_cast<int64_t>(faults_.delayStartMs * 1000));
        threads_.postAfter(thread_, delay, [this, reply, request = std::move(request)] {
            const std::lock_guard delayedLock(mutex_);
            if (faults_.crash == 0)
                handleStart(request, reply);
        });
    } else if (path == "/v1/results") {
        handleResults(request.body, reply);
    } else if (path == "/v1/inquiries" || path == "/v1/stops") {
        handleInquiry(request.body, path == "/v1/stops", reply);
    } else if (path == "/v1/leases") {
        handleLeaseRenewal(request.body, reply);
    } else if (path == "/v1/usage") {
        const Time until = currentTime() - usageLag;
        uint32_t used = 0;
        for (const auto &[at, count] : usage_)
            used = at <= until ? count : used;
        send(reply, fmt::format(R"({{"running":{},"lagMs":1000}})", used));
    } else if (path == "/v1/checkpoints" || path == "/v1/throttles") {
        // Both are accepted without effect, since the dispatcher uses neither (docs/design.md,
        // section 3.5).
        send(reply, "{}");
    } else {
        reply(failure(404, notRun(ErrorCode::NotFound, "no such call")));
    }
}

void BackendServer::send(const HttpServer::Reply &reply, std::string body)
{
    if (faults_.malformed != 0)
        body.resize(body.size() / 2);
    if (faults_.oversize != 0)
        body.append(static_cast<size_t>(faults_.oversize), ' ');
    reply({200,
           "application/json",
           {{std::string(instanceHeader), std::to_string(instance())}},
           std::move(body)});
}

// Increases with each crash, so that callers detect the loss of tasks and tombstones.
uint64_t BackendServer::instance() const
{
    return firstInstance_ + generation_;
}

bool BackendServer::hasCapacityFor(const Demand &demand) const
{
    if (config_.kind == BackendKind::Executor)
        return running_ < config_.slots;
    return used_.milliCores + demand.milliCores <= config_.capacity.milliCores
            && used_.memoryMb + demand.memoryMb <= config_.capacity.memoryMb
            && used_.accelerators + demand.accelerators <= config_.capacity.accelerators;
}

uint32_t BackendServer::freeCount() const
{
    if (config_.kind == BackendKind::Executor)
        return config_.slots - std::min(running_, config_.slots);
    return (config_.capacity.milliCores - used_.milliCores) / 1000;
}

void BackendServer::recordUsage(Time now)
{
    usage_.emplace_back(now, running_);
    while (usage_.size() > 1 && usage_[1].first < now - 2 * usageLag)
        usage_.pop_front();
}

void BackendServer::handleStart(const HttpRequest &message, const HttpServer::Reply &reply)
{
    const auto request = backend::parseStartRequest(message.body);
    if (!request) {
        ledger_.countMessage("malformed");
        reply(failure(400, request.error()));
        return;
    }
    const Time now = currentTime();
    if (config_.kind == BackendKind::Worker && request.value().lease > Duration::zero())
        setLease(request.value().holder, request.value().lease, now);
    const std::string_view expected = message.header(instanceHeader);
    const bool isForOtherInstance =
            !expected.empty() && expected != "0" && expected != std::to_string(instance());
    auto batch = std::make_shared<Batch>();
    batch->reply = reply;
    batch->wait = request.value().wait;
    ledger_.countMessage("startedOrRefusedTasks", request.value().tasks.size());
    for (const backend::TaskStart &task : request.value().tasks) {
        TaskResult result = isForOtherInstance
                ? TaskResult {task.id, TaskStatus::Refused, "", "sent to another instance", {}}
                : startTask(task, request.value(), batch, now);
        if (result.status == TaskStatus::Refused)
            ledger_.countMessage("refusedTasks");
        if (result.status == TaskStatus::Duplicate)
            ledger_.countMessage("duplicateTasks");
        batch->results.push_back(std::move(result));
    }
    if (!batch->wait || batch->unfinished == 0)
        sendStartReply(*batch);
}

void BackendServer::sendStartReply(Batch &batch)
{
    const HttpServer::Reply reply = std::move(batch.reply);
    batch.reply = {};
    if (faults_.loseStartReply > 0 && random_.unit() < faults_.loseStartReply)
        return;
    send(reply,
         serialize(backend::StartReply {batch.results, freeCount(), leavingSince_.has_value()}));
}

TaskResult BackendServer::startTask(const backend::TaskStart &task,
                                    const backend::StartRequest &request,
                                    const std::shared_ptr<Batch> &batch, Time now)
{
    const auto refused = [&](const char *reason) {
        return TaskResult {task.id, TaskStatus::Refused, "", reason, {}};
    };
    if (tombstones_.contains(task.id))
        return refused("tombstone");
    if (tasks_.contains(task.id))
        return {task.id, TaskStatus::Duplicate, "", "already started", {}};
    if (request.expiresAt < now)
        return refused("expired");
    if (faults_.startAfterRefuse != 0) {
        beginRun(task, request.holder, nullptr, true, now);
        return refused("misbehaving");
    }
    if (!hasCapacityFor(task.demand))
        return refused("full");
    beginRun(task, request.holder, batch, false, now);
    return {task.id, TaskStatus::Accepted, "", "", {}};
}

BackendServer::SimulatedRun BackendServer::simulatedRunOf(const backend::TaskStart &task) const
{
    SimulatedRun simulatedRun {task.declaredRunTime, task.input};
    json::error_code error;
    const json::value input = json::parse(task.input, error);
    if (const json::object *object = error ? nullptr : input.if_object()) {
        if (const json::value *found = object->if_contains("durationUs");
            found && found->is_int64())
            simulatedRun.runTime = Duration(std::max<int64_t>(0, found->get_int64()));
        if (const json::value *found = object->if_contains("output"); found && found->is_string())
            simulatedRun.output = std::string(found->get_string());
        if (const json::value *found = object->if_contains("fail"); found && found->is_bool())
            simulatedRun.isFailing = found->get_bool();
    }
    const double factor = (faults_.straggler > 0 ? faults_.straggler : 1.0) / config_.speed;
    simulatedRun.runTime = Duration(
            static_cast<int64_t>(static_cast<double>(simulatedRun.runTime.count()) * factor));
    if (faults_.blackHole != 0) {
        simulatedRun.isFailing = true;
        simulatedRun.runTime = 1ms;
    }
    return simulatedRun;
}

void BackendServer::beginRun(const backend::TaskStart &task, const std::string &holder,
                             const std::shared_ptr<Batch> &batch, bool isMisbehaving, Time now)
{
    ledger_.recordStart(task.id, config_.name, leavingSince_, isMisbehaving, now);
    SimulatedRun simulatedRun = simulatedRunOf(task);
    Task record;
    record.result = {task.id, TaskStatus::Running, std::move(simulatedRun.output), "",
                     simulatedRun.runTime};
    record.holder = holder;
    record.demand = task.demand;
    record.startedAt = now;
    if (batch && batch->wait) {
        record.batch = batch;
        record.indexInBatch = batch->results.size();
        ++batch->unfinished;
    }
    tasks_.emplace(task.id, std::move(record));
    ++running_;
    used_.milliCores += task.demand.milliCores;
    used_.memoryMb += task.demand.memoryMb;
    used_.accelerators += task.demand.accelerators;
    recordUsage(now);
    const TaskStatus status = simulatedRun.isFailing ? TaskStatus::Failed : TaskStatus::Done;
    threads_.postAfter(
            thread_, simulatedRun.runTime,
            [this, id = task.id, at = generation_, status] { finishRun(id, at, status); });
}

void BackendServer::finishRun(const std::string &id, uint64_t generation, TaskStatus status)
{
    const std::lock_guard lock(mutex_);
    const auto found = tasks_.find(id);
    if (generation != generation_ || found == tasks_.end() || !found->second.isRunning)
        return;
    const Time now = currentTime();
    Task &task = found->second;
    task.isRunning = false;
    task.result.status = status;
    task.result.ran = now - task.startedAt;
    if (status != TaskStatus::Done)
        task.result.output.clear();
    if (status == TaskStatus::Failed)
        task.result.reason = "task failed";
    --running_;
    used_.milliCores -= task.demand.milliCores;
    used_.memoryMb -= task.demand.memoryMb;
    used_.accelerators -= task.demand.accelerators;
    recordUsage(now);
    ledger_.recordEnd(id, status == TaskStatus::Done, now);
    if (status != TaskStatus::Done)
        ledger_.countMessage("unfinishedTasks");
    threads_.postAfter(thread_, resultRetention, [this, id, generation] {
        const std::lock_guard removalLock(mutex_);
        if (generation == generation_)
            tasks_.erase(id);
    });
    if (const auto batch = std::move(task.batch)) {
        batch->results[task.indexInBatch] = task.result;
        if (--batch->unfinished == 0)
            sendStartReply(*batch);
        return;
    }
    Holder &holder = holders_[task.holder];
    holder.results.emplace_back(holder.nextResult++, task.result);
    answerPolls(holder);
}

void BackendServer::answerPolls(Holder &holder)
{
    while (!holder.results.empty() && holder.results.front().first < holder.ack)
        holder.results.pop_front();
    if (holder.polls.empty())
        return;
    backend::ResultsReply reply {{}, holder.nextResult, freeCount(), leavingSince_.has_value()};
    for (const auto &[number, result] : holder.results)
        reply.results.push_back(result);
    for (const Holder::Poll &poll : holder.polls)
        send(poll.reply, serialize(reply));
    holder.polls.clear();
}

void BackendServer::handleResults(const std::string &body, const HttpServer::Reply &reply)
{
    const auto request = backend::parseResultsRequest(body);
    if (!request) {
        reply(failure(400, request.error()));
        return;
    }
    Holder &holder = holders_[request.value().holder];
    holder.ack = std::max(holder.ack, request.value().ack);
    holder.polls.push_back({reply, ++holder.lastPollNumber});
    const bool hasNew = !holder.results.empty() && holder.results.back().first >= holder.ack;
    if (hasNew || request.value().wait == Duration::zero()) {
        answerPolls(holder);
        return;
    }
    threads_.postAfter(thread_, request.value().wait,
                       [this, name = request.value().holder, number = holder.lastPollNumber,
                        at = generation_] {
                           const std::lock_guard lock(mutex_);
                           Holder &waiting = holders_[name];
                           const bool isPending = std::any_of(
                                   waiting.polls.begin(), waiting.polls.end(),
                                   [&](const Holder::Poll &poll) { return poll.number == number; });
                           if (at == generation_ && isPending)
                               answerPolls(waiting);
                       });
}

void BackendServer::handleInquiry(const std::string &body, bool isStop,
                                  const HttpServer::Reply &reply)
{
    const auto ids = backend::parseIds(body);
    if (!ids) {
        reply(failure(400, ids.error()));
        return;
    }
    std::vector<TaskResult> answers;
    for (const std::string &id : ids.value()) {
        if (tasks_.contains(id) && isStop)
            finishRun(id, generation_, TaskStatus::Stopped);
        const auto found = tasks_.find(id);
        if (found != tasks_.end()) {
            answers.push_back(found->second.result);
            continue;
        }
        tombstones_.insert(id);
        ledger_.recordUnknownAnswer(id, config_.name);
        answers.push_back({id, TaskStatus::Unknown, "", "", {}});
    }
    send(reply, backend::serializeStatuses(answers));
}

void BackendServer::handleLeaseRenewal(const std::string &body, const HttpServer::Reply &reply)
{
    const auto request = backend::parseLeaseRequest(body);
    if (!request) {
        reply(failure(400, request.error()));
        return;
    }
    setLease(request.value().holder, request.value().lease, currentTime());
    send(reply, "{}");
}

void BackendServer::setLease(const std::string &holder, Duration lease, Time now)
{
    Holder &record = holders_[holder];
    const bool hasTimer = record.leaseEnd.has_value();
    record.leaseEnd = now + lease;
    if (!hasTimer)
        threads_.postAfter(thread_, lease, [this, holder] { checkLease(holder); });
}

// Stops the tasks of a holder whose lease has expired. There is one timer per holder; if the lease
// was renewed in the meantime, the timer is set again to its new end.
void BackendServer::checkLease(const std::string &name)
{
    const std::lock_guard lock(mutex_);
    const auto found = holders_.find(name);
    if (found == holders_.end() || !found->second.leaseEnd)
        return;
    const Time now = currentTime();
    if (now < *found->second.leaseEnd) {
        threads_.postAfter(thread_, *found->second.leaseEnd - now,
                           [this, name] { checkLease(name); });
        return;
    }
    found->second.leaseEnd.reset();
    std::vector<std::string> lapsed;
    for (const auto &[id, task] : tasks_) {
        if (task.isRunning && task.holder == name)
            lapsed.push_back(id);
    }
    ledger_.countMessage("lapsedTasks", lapsed.size());
    for (const std::string &id : lapsed)
        finishRun(id, generation_, TaskStatus::Stopped);
}

} // namespace lovage::fake
