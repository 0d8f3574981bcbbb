// Serializers and parsers for the bodies of the caller interface.
#include "reader.h"

#include <fmt/format.h>

#include <unordered_set>

namespace lovage::backend {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> stateNames = {"opened", "running", "complete", "failed"};
constexpr std::string_view requestTaskId = "0";

void appendTasks(std::string &out, const std::vector<CallerTask> &tasks)
{
    out += R"(,"tasks":[)";
    for (const CallerTask &task : tasks) {
        out += &task == &tasks.front() ? R"({"id":)" : R"(,{"id":)";
        appendQuoted(out, task.id);
        out += R"(,"input":)";
        appendQuoted(out, task.input);
        out += '}';
    }
    out += ']';
}

Error parseError(ObjectReader &reader)
{
    Error error;
    error.verdict = reader.choice("verdict", parseVerdict);
    error.code = reader.choice("code", parseErrorCode);
    error.reason = reader.payload("reason");
    return error;
}

} // namespace

std::string_view toString(SubmissionState state)
{
    return stateNames.at(static_cast<size_t>(state));
}

std::string serialize(const OpenReply &reply)
{
    std::string out = R"({"id":)";
    appendQuoted(out, reply.id);
    out += R"(,"spareIds":[)";
    for (const std::string &id : reply.spareIds) {
        if (&id != &reply.spareIds.front())
            out += ',';
        appendQuoted(out, id);
    }
    return out + "]}";
}

Result<OpenReply> parseOpenReply(std::string_view text, const BodyLimits &limits)
{
    Body body = replyBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    OpenReply reply;
    reply.id = reader.id("id");
    reply.spareIds = reader.ids("spareIds");
    reader.finish();
    return finishParse(body, std::move(reply));
}

std::string serialize(const SubmissionBody &submission)
{
    std::string out = R"({"entry":)";
    appendQuoted(out, submission.entry);
    if (submission.deadline)
        out += fmt::format(R"(,"deadlineMs":{})", toUnixMillis(*submission.deadline));
    out += fmt::format(R"(,"repeatable":{})", submission.isRepeatable);
    if (submission.isJob) {
        appendTasks(out, submission.tasks);
    } else {
        out += R"(,"input":)";
        appendQuoted(out, submission.tasks.at(0).input);
    }
    out += '}';
    return out;
}

Result<SubmissionBody> parseSubmissionBody(std::string_view text, const BodyLimits &limits)
{
    Body body = requestBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    SubmissionBody submission;
    submission.entry = reader.id("entry");
    if (reader.has("deadlineMs"))
        submission.deadline = Time(reader.unixMillis("deadlineMs"));
    if (reader.has("repeatable"))
        submission.isRepeatable = reader.flag("repeatable");
    submission.isJob = reader.has("tasks");
    if (submission.isJob) {
        std::unordered_set<std::string> ids;
        reader.each("tasks", [&](const json::value &value, const std::string &path) {
            ObjectReader task(body, value, path);
            CallerTask parsed {task.id("id"), task.payload("input")};
            task.finish();
            if (parsed.id.empty())
                task.fail("id", "is empty");
            if (!ids.insert(parsed.id).second)
                body.fail(ErrorCode::DuplicateTaskId, path + ".id", "appears twice");
            submission.tasks.push_back(std::move(parsed));
        });
        if (submission.tasks.empty())
            reader.fail("tasks", "is empty");
    } else {
        submission.tasks.push_back({std::string(requestTaskId), reader.payload("input")});
    }
    reader.finish();
    return finishParse(body, std::move(submission));
}

std::string serialize(const SubmissionAnswer &answer)
{
    if (answer.state == SubmissionState::Failed)
        return serializeFailure(answer.id, answer.error);
    std::string out = R"({"id":)";
    appendQuoted(out, answer.id);
    out += fmt::format(R"(,"state":"{}")", toString(answer.state));
    if (answer.state == SubmissionState::Complete) {
        out += R"(,"results":[)";
        for (const CallerResult &result : answer.results) {
            out += &result == &answer.results.front() ? R"({"id":)" : R"(,{"id":)";
            appendQuoted(out, result.id);
            out += R"(,"output":)";
            appendQuoted(out, result.output);
            out += '}';
        }
        out += ']';
    }
    out += '}';
    return out;
}

Result<SubmissionAnswer> parseSubmissionAnswer(std::string_view text, const BodyLimits &limits)
{
    Body body = replyBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    SubmissionAnswer answer;
    answer.id = reader.id("id");
    answer.state = reader.choice("state", [](std::string_view name) {
        return enumOf<SubmissionState>(stateNames, name);
    });
    if (answer.state == SubmissionState::Failed)
        answer.error = parseError(reader);
    if (answer.state == SubmissionState::Complete) {
        reader.each("results", [&](const json::value &value, const std::string &path) {
            ObjectReader result(body, value, path);
            answer.results.push_back({result.id("id"), result.payload("output")});
            result.finish();
        });
    }
    reader.finish();
    return finishParse(body, std::move(answer));
}

std::string serializeFailure(std::string_view id, const Error &error)
{
    std::string out = R"({"id":)";
    appendQuoted(out, id);
    out += fmt::format(R"(,"state":"failed","verdict":"{}","code":"{}","reason":)",
                       toString(error.verdict), toString(error.code));
    appendQuoted(out, error.reason);
    out += '}';
    return out;
}

} // namespace lovage::backend
