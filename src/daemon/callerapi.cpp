#include "callerapi.h"

#include "lovage/backend.h"

#include <limits>

namespace lovage::daemon {

namespace {

constexpr std::string_view submissionsPath = "/v1/submissions";
constexpr std::string_view keyedPath = "/v1/keyed/";
constexpr std::string_view cataloguePath = "/v1/catalogue";
constexpr size_t maxKeyBytes = 200;

// Returns the text after the prefix, or nullopt if the prefix is missing or nothing follows it.
std::optional<std::string_view> suffixAfter(std::string_view path, std::string_view prefix)
{
    if (path.size() <= prefix.size() || path.substr(0, prefix.size()) != prefix)
        return std::nullopt;
    return path.substr(prefix.size());
}

Error notFound()
{
    return notRun(ErrorCode::NotFound, "no such resource");
}

Error wrongMethod(std::string_view allowed)
{
    return notRun(ErrorCode::MethodNotAllowed, fmt::format("allowed methods: {}", allowed));
}

uint64_t digestOf(const backend::SubmissionBody &body)
{
    uint64_t digest = stableHash(body.entry, body.isRepeatable ? 1 : 2);
    digest = stableHash(body.deadline ? fmt::format("{}", toUnixMillis(*body.deadline)) : "none",
                        digest);
    digest = stableHash(body.isJob ? "job" : "request", digest);
    for (const backend::CallerTask &task : body.tasks)
        digest = stableHash(task.input, stableHash(task.id, digest));
    return digest == 0 ? 1 : digest;
}

HttpResponse jsonResponse(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

} // namespace

CallerApi::CallerApi(SharedState &shared) : shared_(shared)
{
    for (const TokenSettings &owner : shared.settings.owners)
        identities_[owner.token] = {Role::Owner, owner.name};
    for (const TokenSettings &user : shared.settings.operators)
        identities_[user.token] = {Role::Operator, user.name};
}

std::string CallerApi::errorBody(const Error &error)
{
    return backend::serializeFailure({}, error);
}

CallerApi::Identity CallerApi::identify(const HttpRequest &request) const
{
    const auto token = suffixAfter(request.header("Authorization"), "Bearer ");
    if (!token)
        return {};
    const auto found = identities_.find(std::string(*token));
    return found == identities_.end() ? Identity {} : found->second;
}

void CallerApi::handle(HttpRequest request, HttpServer::Reply reply)
{
    shared_.counters.callerRequests.add();
    shared_.openRequests.fetch_add(1);
    Call call;
    call.identity = identify(request);
    call.request = std::move(request);
    call.reply = [this, reply = std::move(reply)](HttpResponse response) {
        if (response.status >= 400)
            shared_.counters.callerFailures.add();
        reply(std::move(response));
        shared_.openRequests.fetch_sub(1);
    };
    route(std::move(call));
}

void CallerApi::route(Call call)
{
    const std::string &method = call.request.method;
    // Copied, because views of the path are still in use after the call has been moved from.
    const std::string path(call.request.path());
    if (path == "/v1/health")
        return health(call);
    if (path == "/metrics")
        return metrics(call);
    const bool isSubmission = path == submissionsPath || suffixAfter(path, "/v1/submissions/")
            || suffixAfter(path, keyedPath);
    const bool isKnown = isSubmission || path == cataloguePath || path == "/v1/status"
            || suffixAfter(path, "/v1/catalogue/");
    if (!isKnown)
        return call.reply(failureResponse({}, notFound()));
    if (call.identity.role == Role::None)
        return call.reply(failureResponse(
                {}, notRun(ErrorCode::Unauthorized, "a valid bearer token is required")));
    if (isSubmission && call.identity.role != Role::Owner)
        return call.reply(failureResponse(
                {}, notRun(ErrorCode::WrongOwner, "the token belongs to no owner")));
    if (path == submissionsPath)
        return method == "POST" ? open(std::move(call))
                                : call.reply(failureResponse({}, wrongMethod("POST")));
    if (const auto id = suffixAfter(path, "/v1/submissions/"))
        return routeSubmission(std::move(call), std::string(*id));
    if (const auto key = suffixAfter(path, keyedPath)) {
        if (method != "POST")
            return call.reply(failureResponse({}, wrongMethod("POST")));
        if (key->size() > maxKeyBytes || !keyTime(*key))
            return call.reply(failureResponse(
                    {}, notRun(ErrorCode::MalformedBody, "the key must be <unix ms>-<text>")));
        return submit(std::move(call), {}, std::string(*key));
    }
    if (path == "/v1/status") {
        if (method != "GET")
            return call.reply(failureResponse({}, wrongMethod("GET")));
        return shared_.queue.push(StatusInput {std::move(call.reply)});
    }
    if (path == "/v1/catalogue/changes") {
        if (method != "POST")
            return call.reply(failureResponse({}, wrongMethod("POST")));
        return changeCatalogue(std::move(call));
    }
    if (method != "GET")
        return call.reply(failureResponse({}, wrongMethod("GET")));
    getCatalogue(std::move(call), suffixAfter(path, "/v1/catalogue/").value_or(std::string_view()));
}

WaitingCaller CallerApi::waitingCaller(Call &call, std::string id, const char *spanName)
{
    WaitingCaller caller;
    caller.reply = std::move(call.reply);
    caller.id = std::move(id);
    caller.received = currentTime();
    const auto parent = parseTraceparent(call.request.header("traceparent"));
    if (parent ? parent->isSampled : shared_.settings.trace.sampleRate > 0) {
        Span span = shared_.tracer.start(spanName, parent, caller.received);
        if (span.context.isSampled)
            caller.span = std::move(span);
    }
    return caller;
}

void CallerApi::open(Call call)
{
    OpenRequested event;
    event.count = 1 + shared_.settings.ledger.spareIds;
    WaitingCaller caller = waitingCaller(call, {}, "open");
    caller.isOpen = true;
    shared_.queue.push(CallerInput {std::move(event), std::move(caller)});
}

void CallerApi::routeSubmission(Call call, std::string idText)
{
    const std::optional<SubmissionId> id = parseSubmissionId(idText);
    if (!id)
        return call.reply(failureResponse(
                {}, notRun(ErrorCode::UnknownSubmission, "the path holds no submission id")));
    const std::string &method = call.request.method;
    if (method == "PUT")
        return submit(std::move(call), std::move(idText), {});
    const std::string owner = call.identity.name;
    if (method == "GET")
        return shared_.queue.push(CallerInput {QueryRequested {{}, *id, owner},
                                               waitingCaller(call, std::move(idText), "query")});
    if (method == "DELETE")
        return shared_.queue.push(CallerInput {CancelRequested {{}, *id, owner},
                                               waitingCaller(call, std::move(idText), "cancel")});
    call.reply(failureResponse(idText, wrongMethod("GET, PUT, DELETE")));
}

void CallerApi::submit(Call call, std::string idText, const std::string &key)
{
    backend::BodyLimits limits;
    limits.maxTasks = shared_.settings.limits.maxTasksPerJob;
    Result<backend::SubmissionBody> body = backend::parseSubmissionBody(call.request.body, limits);
    if (!body.has_value())
        return call.reply(failureResponse(idText, body.error()));
    SubmitRequested event;
    if (key.empty())
        event.id = *parseSubmissionId(idText);
    event.key = key;
    event.owner = call.identity.name;
    event.entry = body.value().entry;
    event.bodyDigest = digestOf(body.value());
    event.repeatable = body.value().isRepeatable;
    for (backend::CallerTask &task : body.value().tasks)
        event.tasks.push_back(
                {body.value().isJob ? std::move(task.id) : std::string(), std::move(task.input)});
    WaitingCaller caller = waitingCaller(call, std::move(idText), "submit");
    caller.wantsSpareIds = true;
    const Time latest = caller.received + shared_.settings.limits.maxDeadline;
    event.deadline = std::min(body.value().deadline.value_or(latest), latest);
    shared_.queue.push(CallerInput {std::move(event), std::move(caller)});
}

void CallerApi::getCatalogue(Call call, std::string_view entryName)
{
    HttpResponse response;
    {
        const auto catalogue = shared_.catalogue.read();
        if (!catalogue) {
            response = failureResponse(
                    {}, notRun(ErrorCode::NoCatalogue, "no catalogue has been read yet"));
        } else if (!entryName.empty()) {
            const Entry *entry = catalogue->find(entryName);
            response = entry
                    ? jsonResponse(fmt::format("{{\"offset\":{},\"entry\":{}}}",
                                               catalogue->offset(), serializeEntry(*entry)))
                    : failureResponse({}, notRun(ErrorCode::UnknownEntry, "no entry of this name"));
        } else {
            std::string body = fmt::format("{{\"offset\":{},\"entries\":[", catalogue->offset());
            bool isFirst = true;
            for (const auto &entry : catalogue->entries()) {
                body += isFirst ? "" : ",";
                body += serializeEntry(*entry);
                isFirst = false;
            }
            response = jsonResponse(body + "]}");
        }
    }
    call.reply(std::move(response));
}

void CallerApi::changeCatalogue(Call call)
{
    if (call.identity.role != Role::Operator)
        return call.reply(failureResponse(
                {}, notRun(ErrorCode::Unauthorized, "only operators change the catalogue")));
    Result<ChangeRecord> change = parseChange(call.request.body);
    if (!change.has_value())
        return call.reply(failureResponse({}, change.error()));
    shared_.queue.push(PublishInput {std::move(change.value()), std::move(call.reply)});
}

void CallerApi::health(const Call &call)
{
    const DaemonState state = shared_.state;
    HttpResponse response = jsonResponse(fmt::format("{{\"state\":\"{}\"}}", toString(state)));
    response.status = state == DaemonState::Serving ? 200 : 503;
    call.reply(std::move(response));
}

void CallerApi::metrics(const Call &call)
{
    HttpResponse response;
    response.contentType = "text/plain; version=0.0.4";
    response.body = shared_.metrics.prometheusText() + processMetricsText(shared_.tracer);
    call.reply(std::move(response));
}

} // namespace lovage::daemon
