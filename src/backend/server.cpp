// Serializers and parsers for the bodies of the backend server interface.
#include "reader.h"

#include <fmt/format.h>

#include <iterator>
#include <unordered_set>

namespace lovage::backend {

namespace json = boost::json;

namespace {

constexpr uint64_t maxCount = UINT32_MAX;

constexpr std::array<std::string_view, static_cast<size_t>(TaskStatus::Count_)> statusNames = {
        "accepted", "refused", "done", "failed", "duplicate", "unknown", "running", "stopped"};

template<class... Values>
void append(std::string &out, fmt::format_string<Values...> format, Values &&...values)
{
    fmt::format_to(std::back_inserter(out), format, std::forward<Values>(values)...);
}

int64_t millisOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Demand parseDemand(ObjectReader &task, const json::value &value, std::string path)
{
    ObjectReader reader(task.body(), value, std::move(path));
    Demand demand;
    demand.milliCores = static_cast<uint32_t>(reader.number("milliCores", maxCount));
    demand.memoryMb = static_cast<uint32_t>(reader.number("memoryMb", maxCount));
    demand.accelerators = static_cast<uint32_t>(reader.number("accelerators", maxCount));
    reader.finish();
    return demand;
}

TaskStart parseTask(Body &body, const json::value &value, const std::string &path)
{
    ObjectReader reader(body, value, path);
    TaskStart task;
    task.id = reader.id("id");
    task.workClass = reader.id("class");
    reader.object("demand", [&](const json::value &demand, std::string demandPath) {
        task.demand = parseDemand(reader, demand, std::move(demandPath));
    });
    task.input = reader.payload("input");
    task.declaredRunTime = reader.millis("declaredMs");
    reader.finish();
    return task;
}

TaskResult parseResult(Body &body, const json::value &value, const std::string &path)
{
    ObjectReader reader(body, value, path);
    TaskResult result;
    result.id = reader.id("id");
    result.status = reader.choice(
            "status", [](std::string_view text) { return enumOf<TaskStatus>(statusNames, text); });
    if (reader.has("output"))
        result.output = reader.payload("output");
    if (reader.has("reason"))
        result.reason = reader.payload("reason");
    if (reader.has("ranUs"))
        result.ran = reader.micros("ranUs");
    reader.finish();
    return result;
}

std::vector<TaskResult> parseResults(ObjectReader &reader)
{
    std::vector<TaskResult> results;
    reader.each("results", [&](const json::value &value, const std::string &path) {
        results.push_back(parseResult(reader.body(), value, path));
    });
    return results;
}

void appendResults(std::string &out, const std::vector<TaskResult> &results)
{
    out += R"("results":[)";
    bool isFirst = true;
    for (const TaskResult &result : results) {
        out += isFirst ? R"({"id":)" : R"(,{"id":)";
        isFirst = false;
        appendQuoted(out, result.id);
        append(out, R"(,"status":"{}")", toString(result.status));
        if (!result.output.empty()) {
            out += R"(,"output":)";
            appendQuoted(out, result.output);
        }
        if (!result.reason.empty()) {
            out += R"(,"reason":)";
            appendQuoted(out, result.reason);
        }
        if (result.ran != Duration::zero())
            append(out, R"(,"ranUs":{})", result.ran.count());
        out += '}';
    }
    out += ']';
}

} // namespace

std::string_view toString(TaskStatus status)
{
    return statusNames.at(static_cast<size_t>(status));
}

StartRequestWriter::StartRequestWriter(std::string_view holder, Time expiresAt, Duration lease,
                                       bool wait, size_t expectedBytes)
{
    body_.reserve(expectedBytes);
    body_ += R"({"holder":)";
    appendQuoted(body_, holder);
    append(body_, R"(,"expiresAtMs":{},"leaseMs":{},"wait":{},"tasks":[)", toUnixMillis(expiresAt),
           millisOf(lease), wait);
}

void StartRequestWriter::add(std::string_view id, std::string_view workClass, const Demand &demand,
                             std::string_view input, Duration declaredRunTime)
{
    body_ += isFirst_ ? R"({"id":)" : R"(,{"id":)";
    isFirst_ = false;
    appendQuoted(body_, id);
    body_ += R"(,"class":)";
    appendQuoted(body_, workClass);
    append(body_, R"(,"demand":{{"milliCores":{},"memoryMb":{},"accelerators":{}}},"input":)",
           demand.milliCores, demand.memoryMb, demand.accelerators);
    appendQuoted(body_, input);
    append(body_, R"(,"declaredMs":{}}})", millisOf(declaredRunTime));
}

std::string StartRequestWriter::finish()
{
    body_ += "]}";
    return std::move(body_);
}

std::string serialize(const StartRequest &request)
{
    StartRequestWriter writer(request.holder, request.expiresAt, request.lease, request.wait);
    for (const TaskStart &task : request.tasks)
        writer.add(task.id, task.workClass, task.demand, task.input, task.declaredRunTime);
    return writer.finish();
}

Result<StartRequest> parseStartRequest(std::string_view text, const BodyLimits &limits)
{
    Body body = requestBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    StartRequest request;
    request.holder = reader.id("holder");
    request.expiresAt = Time(reader.unixMillis("expiresAtMs"));
    request.lease = reader.millis("leaseMs");
    request.wait = reader.flag("wait");
    std::unordered_set<std::string> ids;
    reader.each("tasks", [&](const json::value &value, const std::string &path) {
        TaskStart task = parseTask(body, value, path);
        if (!ids.insert(task.id).second)
            body.fail(ErrorCode::DuplicateTaskId, path + ".id", "appears twice");
        request.tasks.push_back(std::move(task));
    });
    reader.finish();
    return finishParse(body, std::move(request));
}

std::string serialize(const StartReply &reply)
{
    std::string out = "{";
    appendResults(out, reply.results);
    append(out, R"(,"free":{},"leaving":{}}})", reply.free, reply.leaving);
    return out;
}

Result<StartReply> parseStartReply(std::string_view text, const BodyLimits &limits)
{
    Body body = replyBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    StartReply reply;
    reply.results = parseResults(reader);
    reply.free = static_cast<uint32_t>(reader.number("free", maxCount));
    reply.leaving = reader.flag("leaving");
    reader.finish();
    return finishParse(body, std::move(reply));
}

std::string serialize(const ResultsRequest &request)
{
    std::string out = R"({"holder":)";
    appendQuoted(out, request.holder);
    append(out, R"(,"ack":{},"waitMs":{}}})", request.ack, millisOf(request.wait));
    return out;
}

Result<ResultsRequest> parseResultsRequest(std::string_view text, const BodyLimits &limits)
{
    Body body = requestBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    ResultsRequest request;
    request.holder = reader.id("holder");
    request.ack = reader.number("ack", UINT64_MAX);
    request.wait = reader.millis("waitMs");
    reader.finish();
    return finishParse(body, std::move(request));
}

std::string serialize(const ResultsReply &reply)
{
    std::string out = "{";
    appendResults(out, reply.results);
    append(out, R"(,"next":{},"free":{},"leaving":{}}})", reply.next, reply.free, reply.leaving);
    return out;
}

Result<ResultsReply> parseResultsReply(std::string_view text, const BodyLimits &limits)
{
    Body body = replyBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    ResultsReply reply;
    reply.results = parseResults(reader);
    reply.next = reader.number("next", UINT64_MAX);
    reply.free = static_cast<uint32_t>(reader.number("free", maxCount));
    reply.leaving = reader.flag("leaving");
    reader.finish();
    return finishParse(body, std::move(reply));
}

std::string serialize(const LeaseRequest &request)
{
    std::string out = R"({"holder":)";
    appendQuoted(out, request.holder);
    append(out, R"(,"leaseMs":{}}})", millisOf(request.lease));
    return out;
}

Result<LeaseRequest> parseLeaseRequest(std::string_view text, const BodyLimits &limits)
{
    Body body = requestBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    LeaseRequest request;
    request.holder = reader.id("holder");
    request.lease = reader.millis("leaseMs");
    reader.finish();
    return finishParse(body, std::move(request));
}

std::string serializeIds(const std::vector<std::string> &ids)
{
    std::string out = R"({"ids":[)";
    for (const std::string &id : ids) {
        if (&id != &ids.front())
            out += ',';
        appendQuoted(out, id);
    }
    return out + "]}";
}

Result<std::vector<std::string>> parseIds(std::string_view text, const BodyLimits &limits)
{
    Body body = requestBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    std::vector<std::string> ids = reader.ids("ids");
    reader.finish();
    return finishParse(body, std::move(ids));
}

std::string serializeStatuses(const std::vector<TaskResult> &results)
{
    std::string out = "{";
    appendResults(out, results);
    return out + "}";
}

Result<std::vector<TaskResult>> parseStatuses(std::string_view text, const BodyLimits &limits)
{
    Body body = replyBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    std::vector<TaskResult> results = parseResults(reader);
    reader.finish();
    return finishParse(body, std::move(results));
}

} // namespace lovage::backend
