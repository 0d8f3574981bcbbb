#include "backendlink.h"

#include "lovage/backend.h"

#include <charconv>

namespace lovage::daemon {

namespace {

constexpr Duration pollWait = std::chrono::seconds(5);
constexpr Duration pollRetry = std::chrono::milliseconds(100);
// Extra time for a reply to arrive after the server's own time limit for the call.
constexpr Duration replyMargin = std::chrono::milliseconds(500);
constexpr Duration inquiryTimeout = std::chrono::seconds(1);
// A worker reports a result no later than this after the deadline of the task, or never.
constexpr Duration reportMargin = std::chrono::seconds(10);
constexpr int renewalsPerLease = 3;
constexpr std::string_view instanceHeader = "Lovage-Instance";

uint64_t hashOf(const TaskId &id)
{
    constexpr uint64_t factor = 0x9e3779b97f4a7c15;
    uint64_t hash = std::hash<std::string>()(id.submission.vm) ^ id.submission.incarnation;
    for (const uint64_t part : {id.submission.sequence, uint64_t(id.index), uint64_t(id.attempt)})
        hash = (hash ^ (hash >> 29) ^ part) * factor;
    return hash;
}

size_t connectionsPerExecutor(const Settings &settings)
{
    size_t entryVms = 0;
    for (const MemberSettings &member : settings.members)
        entryVms += member.dataCentre == settings.dataCentre ? 1 : 0;
    return std::max<size_t>(
            2, settings.backend.connectionsPerExecutor / std::max<size_t>(1, entryVms));
}

HttpRequest post(std::string_view target, std::string body)
{
    HttpRequest request;
    request.method = "POST";
    request.target = target;
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    return request;
}

uint64_t instanceOf(const HttpResponse &response)
{
    const std::string_view text = response.header(instanceHeader);
    uint64_t instance = 0;
    std::from_chars(text.data(), text.data() + text.size(), instance);
    return instance;
}

TaskStatus toStatus(backend::TaskStatus status)
{
    switch (status) {
    case backend::TaskStatus::Accepted:
        return TaskStatus::Accepted;
    case backend::TaskStatus::Refused:
        return TaskStatus::Refused;
    case backend::TaskStatus::Done:
        return TaskStatus::Done;
    case backend::TaskStatus::Failed:
        return TaskStatus::Failed;
    case backend::TaskStatus::Duplicate:
        return TaskStatus::Duplicate;
    case backend::TaskStatus::Unknown:
        return TaskStatus::Unknown;
    case backend::TaskStatus::Running:
        return TaskStatus::Running;
    case backend::TaskStatus::Stopped:
        return TaskStatus::Stopped;
    case backend::TaskStatus::Count_:
        break;
    }
    return TaskStatus::Malformed;
}

std::vector<TaskReply> toReplies(std::vector<backend::TaskResult> &results, Counter &malformed)
{
    std::vector<TaskReply> replies;
    replies.reserve(results.size());
    for (backend::TaskResult &result : results) {
        std::optional<TaskId> id = parseTaskId(result.id);
        if (!id) {
            malformed.add();
            continue;
        }
        TaskReply reply;
        reply.id = std::move(*id);
        reply.status = toStatus(result.status);
        reply.output = std::move(result.output);
        reply.reason = std::move(result.reason);
        reply.runTime = result.ran;
        replies.push_back(std::move(reply));
    }
    return replies;
}

std::string encode(const SendStarts &starts, const std::string &holder)
{
    size_t bytes = 256;
    for (const TaskStart &task : starts.tasks)
        bytes += 200 + (task.input ? task.input->size() : 0);
    backend::StartRequestWriter writer(holder, starts.expiry, starts.lease, starts.wait, bytes);
    const TaskRequirements &need = starts.need;
    for (const TaskStart &task : starts.tasks)
        writer.add(toString(task.id), need.workClass, need.demand,
                   task.input ? std::string_view(*task.input) : std::string_view(),
                   need.declaredRunTime);
    return writer.finish();
}

// Converts the reply to a start call into an event. A reply that cannot be parsed gives an event
// without task results; the Dispatcher counts it as a failure of the server and sends an inquiry.
Event startAnswer(uint32_t server, uint64_t exchange, Result<HttpResponse> result,
                  DaemonCounters &counters)
{
    if (!result.has_value() && result.error().code != ErrorCode::AnswerTooLarge) {
        counters.failedServerExchanges.add();
        return StartLost {server, exchange, result.error().verdict != Verdict::NotRun};
    }
    StartReplied replied;
    replied.backend = server;
    replied.exchange = exchange;
    if (result.has_value() && result.value().status != 200) {
        counters.failedServerExchanges.add();
        return StartLost {server, exchange, true};
    }
    Result<backend::StartReply> parsed = result.has_value()
            ? backend::parseStartReply(result.value().body)
            : Result<backend::StartReply>(result.error());
    if (!parsed.has_value()) {
        counters.malformedServerAnswers.add();
        return replied;
    }
    replied.instance = instanceOf(result.value());
    replied.results = toReplies(parsed.value().results, counters.malformedServerAnswers);
    replied.freeSlots = parsed.value().free;
    replied.leaving = parsed.value().leaving;
    return replied;
}

} // namespace

BackendLink::BackendLink(IoThreads &threads, SharedState &shared)
    : threads_(threads), shared_(shared)
{
    HttpClientOptions options;
    options.maxConnectionsPerEndpoint = connectionsPerExecutor(shared.settings);
    options.maxResponseBytes = shared.settings.limits.maxAnswerBytes;
    options.localAddress = shared.settings.localAddress;
    options.budget = makeBudget(shared.settings.limits.heldBytes(), ordinaryRequestBytes);
    for (size_t i = 0; i < threads.count(); ++i)
        clients_.push_back(std::make_unique<HttpClient>(threads, i, options));
}

void BackendLink::start(const BackendInfo &info, SendStarts starts, std::optional<Span> span,
                        Time now)
{
    const uint32_t server = starts.backend;
    const Endpoint endpoint {info.address, info.port};
    if (!starts.wait) {
        WorkerSession &session = workers_[server];
        if (session.outstanding.empty()) {
            session.renewedAt = now;
            session.nextRenewal = now + shared_.settings.backend.lease / renewalsPerLease;
        }
        session.endpoint = endpoint;
        session.activeUntil = std::max(session.activeUntil, starts.need.deadline + reportMargin);
        for (const TaskStart &task : starts.tasks)
            session.outstanding.insert(hashOf(task.id));
        if (!session.isPolling && session.nextPoll <= now)
            poll(server, session);
    }
    const Time until = starts.wait ? starts.need.deadline : starts.expiry;
    const Duration timeout = std::max(until - now, Duration::zero()) + replyMargin;
    threads_.post(
            server % clients_.size(),
            [this, server, endpoint, timeout, starts = std::move(starts), span = std::move(span)] {
                HttpRequest request = post("/v1/starts", encode(starts, shared_.holder));
                if (starts.instance != 0)
                    request.headers.push_back(
                            {std::string(instanceHeader), fmt::format("{}", starts.instance)});
                if (span)
                    request.headers.push_back({"traceparent", toTraceparent(span->context)});
                clientOf(server).send(endpoint, std::move(request), timeout,
                                      [this, server, exchange = starts.exchange,
                                       span](Result<HttpResponse> result) {
                                          shared_.queue.push(startAnswer(server, exchange,
                                                                         std::move(result),
                                                                         shared_.counters));
                                          if (span)
                                              shared_.tracer.finish(*span, currentTime());
                                      });
            });
}

void BackendLink::inquire(const BackendInfo &info, const SendInquiry &inquiry)
{
    sendTaskIds(info, inquiry.backend, inquiry.exchange, inquiry.ids, "/v1/inquiries");
}

void BackendLink::stop(const BackendInfo &info, const SendStop &stop)
{
    sendTaskIds(info, stop.backend, stop.exchange, stop.ids, "/v1/stops");
}

void BackendLink::sendTaskIds(const BackendInfo &info, uint32_t server, uint64_t exchange,
                              const std::vector<TaskId> &ids, const char *target)
{
    std::vector<std::string> texts;
    texts.reserve(ids.size());
    for (const TaskId &id : ids)
        texts.push_back(toString(id));
    clientOf(server).send(
            {info.address, info.port}, post(target, backend::serializeIds(texts)), inquiryTimeout,
            [this, server, exchange](Result<HttpResponse> result) {
                if (!result.has_value() || result.value().status != 200) {
                    shared_.counters.failedServerExchanges.add();
                    shared_.queue.push(Event(InquiryLost {server, exchange}));
                    return;
                }
                auto parsed = backend::parseStatuses(result.value().body);
                if (!parsed.has_value()) {
                    shared_.counters.malformedServerAnswers.add();
                    shared_.queue.push(Event(InquiryLost {server, exchange}));
                    return;
                }
                InquiryReplied replied {server, exchange, instanceOf(result.value()), {}};
                replied.results =
                        toReplies(parsed.value(), shared_.counters.malformedServerAnswers);
                shared_.queue.push(Event(std::move(replied)));
            });
}

void BackendLink::poll(uint32_t server, WorkerSession &session)
{
    session.isPolling = true;
    const backend::ResultsRequest body {shared_.holder, session.acknowledged, pollWait};
    clientOf(server).send(session.endpoint, post("/v1/results", backend::serialize(body)),
                          pollWait + replyMargin, [this, server](Result<HttpResponse> result) {
                              WorkerResults results;
                              results.backend = server;
                              results.isFailed = true;
                              if (!result.has_value() || result.value().status != 200) {
                                  shared_.counters.failedServerExchanges.add();
                                  shared_.queue.push(std::move(results));
                                  return;
                              }
                              auto parsed = backend::parseResultsReply(result.value().body);
                              if (!parsed.has_value()) {
                                  shared_.counters.malformedServerAnswers.add();
                                  shared_.queue.push(std::move(results));
                                  return;
                              }
                              results.isFailed = false;
                              results.instance = instanceOf(result.value());
                              results.next = parsed.value().next;
                              results.freeSlots = parsed.value().free;
                              results.leaving = parsed.value().leaving;
                              results.results = toReplies(parsed.value().results,
                                                          shared_.counters.malformedServerAnswers);
                              shared_.queue.push(std::move(results));
                          });
}

std::vector<Event> BackendLink::handle(WorkerResults results, Time now)
{
    std::vector<Event> events;
    const auto found = workers_.find(results.backend);
    if (found == workers_.end())
        return events;
    WorkerSession &session = found->second;
    session.isPolling = false;
    if (results.isFailed) {
        // A restarted worker numbers its results from the beginning, so the acknowledged number may
        // be too high. Requesting all results again is safe.
        session.acknowledged = 0;
        session.nextPoll = now + pollRetry;
        return events;
    }
    session.acknowledged = results.next;
    for (size_t i = 0; i < results.results.size(); ++i) {
        session.outstanding.erase(hashOf(results.results[i].id));
        TaskFinished finished {
                results.backend, results.instance, std::move(results.results[i]), {}};
        if (i + 1 == results.results.size())
            finished.freeSlots = results.freeSlots;
        events.emplace_back(std::move(finished));
    }
    if (!session.outstanding.empty())
        poll(results.backend, session);
    return events;
}

void BackendLink::renew(uint32_t server, WorkerSession &session, Time now)
{
    session.isRenewing = true;
    session.nextRenewal = now + shared_.settings.backend.lease / renewalsPerLease;
    HttpRequest request = post("/v1/leases",
                               backend::serialize(backend::LeaseRequest {
                                       shared_.holder, shared_.settings.backend.lease}));
    shared_.counters.leaseTraffic.sent(wireBytes(request));
    clientOf(server).send(session.endpoint, std::move(request), inquiryTimeout,
                          [this, server, now](Result<HttpResponse> result) {
                              if (result.has_value())
                                  shared_.counters.leaseTraffic.received(wireBytes(result.value()));
                              const bool isRenewed =
                                      result.has_value() && result.value().status == 200;
                              shared_.queue.push(LeaseAnswer {server, isRenewed, now});
                          });
}

void BackendLink::handle(const LeaseAnswer &answer)
{
    const auto found = workers_.find(answer.backend);
    if (found == workers_.end())
        return;
    found->second.isRenewing = false;
    // The worker extends the lease on receipt, so the time of sending is a safe lower bound.
    if (answer.isRenewed)
        found->second.renewedAt = std::max(found->second.renewedAt, answer.sentAt);
}

void BackendLink::observe(const Event &event)
{
    const auto eraseEnded = [this](uint32_t server, const std::vector<TaskReply> &results) {
        const auto found = workers_.find(server);
        if (found == workers_.end())
            return;
        for (const TaskReply &reply : results) {
            const bool isHeld = reply.status == TaskStatus::Accepted
                    || reply.status == TaskStatus::Duplicate || reply.status == TaskStatus::Running;
            if (!isHeld)
                found->second.outstanding.erase(hashOf(reply.id));
        }
    };
    if (const auto *started = std::get_if<StartReplied>(&event))
        eraseEnded(started->backend, started->results);
    else if (const auto *inquired = std::get_if<InquiryReplied>(&event))
        eraseEnded(inquired->backend, inquired->results);
}

std::vector<Event> BackendLink::tick(Time now)
{
    std::vector<Event> events;
    const Duration lease = shared_.settings.backend.lease;
    for (auto &[server, session] : workers_) {
        if (session.outstanding.empty())
            continue;
        if (now > session.activeUntil) {
            session.outstanding.clear();
            continue;
        }
        if (!session.isPolling && session.nextPoll <= now)
            poll(server, session);
        if (!session.isRenewing && session.nextRenewal <= now)
            renew(server, session, now);
        if (now - session.renewedAt > lease) {
            session.renewedAt = now;
            shared_.counters.leaseLapses.add();
            events.emplace_back(LeaseLapsed {server});
        }
    }
    return events;
}

} // namespace lovage::daemon
