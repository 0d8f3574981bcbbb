// JSON bodies of the HTTP interfaces: backend servers, callers, log service and VM list. Parsing is
// strict and bounded: an unknown key, a wrong type or an excessive length is an error whose reason
// names the key path. Inputs and outputs of tasks are opaque UTF-8 text.
#pragma once

#include "lovage/core.h"

#include <string>
#include <string_view>
#include <vector>

namespace lovage::backend {

struct BodyLimits
{
    size_t maxTasks = 10000; // tasks, results, ids or VMs in one body
    size_t maxIdBytes = 256;
    size_t maxPayloadBytes = 4U << 20; // one input or output
};

enum class TaskStatus {
    Accepted,
    Refused,
    Done,
    Failed,
    Duplicate,
    Unknown,
    Running,
    Stopped,
    Count_ // Number of statuses; not a status.
};

std::string_view toString(TaskStatus status);

// POST /v1/starts
struct TaskStart
{
    std::string id; // text of a TaskId
    std::string workClass;
    Demand demand;
    std::string input;
    Duration declaredRunTime {};

    auto operator<=>(const TaskStart &) const = default;
};

struct StartRequest
{
    std::string holder; // lease holder as "vm.incarnation"
    Time expiresAt;     // a server refuses the start afterwards; resolution 1 ms
    Duration lease {};  // resolution 1 ms
    bool wait = false;  // delays the reply until all tasks have ended
    std::vector<TaskStart> tasks;

    auto operator<=>(const StartRequest &) const = default;
};

// Result of one task in the reply to a start, result, inquiry or stop call. Replies to inquiries
// and stops carry the output of a task that is done, because the reply to its start may be lost.
struct TaskResult
{
    std::string id;
    TaskStatus status = TaskStatus::Unknown;
    std::string output;
    std::string reason;
    Duration ran {};

    auto operator<=>(const TaskResult &) const = default;
};

struct StartReply
{
    std::vector<TaskResult> results;
    uint32_t free = 0; // slots of an executor, whole free processors of a worker
    bool leaving = false;

    auto operator<=>(const StartReply &) const = default;
};

// POST /v1/results
struct ResultsRequest
{
    std::string holder;
    uint64_t ack = 0; // the `next` of the last reply received; results before it may be dropped
    Duration wait {}; // resolution 1 ms

    auto operator<=>(const ResultsRequest &) const = default;
};

struct ResultsReply
{
    std::vector<TaskResult> results; // Done, Failed or Stopped
    uint64_t next = 0;
    uint32_t free = 0;
    bool leaving = false;

    auto operator<=>(const ResultsReply &) const = default;
};

// POST /v1/leases. The reply has status 200 and the body {}.
struct LeaseRequest
{
    std::string holder;
    Duration lease {}; // resolution 1 ms

    auto operator<=>(const LeaseRequest &) const = default;
};

// Writes the body of a start call without copying the tasks into a StartRequest first.
class StartRequestWriter
{
public:
    StartRequestWriter(std::string_view holder, Time expiresAt, Duration lease, bool wait,
                       size_t expectedBytes = 4096);
    void add(std::string_view id, std::string_view workClass, const Demand &demand,
             std::string_view input, Duration declaredRunTime);
    size_t size() const { return body_.size(); }
    std::string finish();

private:
    std::string body_;
    bool isFirst_ = true;
};

// Errors of request parsers (NotRun): MalformedBody, BodyTooLarge, DuplicateTaskId, TooManyTasks.
// Errors of reply parsers (MayHaveRun): MalformedAnswer, AnswerTooLarge, TooManyTasks.
std::string serialize(const StartRequest &request);
Result<StartRequest> parseStartRequest(std::string_view body, const BodyLimits &limits = {});
std::string serialize(const StartReply &reply);
Result<StartReply> parseStartReply(std::string_view body, const BodyLimits &limits = {});
std::string serialize(const ResultsRequest &request);
Result<ResultsRequest> parseResultsRequest(std::string_view body, const BodyLimits &limits = {});
std::string serialize(const ResultsReply &reply);
Result<ResultsReply> parseResultsReply(std::string_view body, const BodyLimits &limits = {});
std::string serialize(const LeaseRequest &request);
Result<LeaseRequest> parseLeaseRequest(std::string_view body, const BodyLimits &limits = {});

// POST /v1/inquiries and POST /v1/stops have the same bodies.
std::string serializeIds(const std::vector<std::string> &ids);
Result<std::vector<std::string>> parseIds(std::string_view body, const BodyLimits &limits = {});
std::string serializeStatuses(const std::vector<TaskResult> &results);
Result<std::vector<TaskResult>> parseStatuses(std::string_view body, const BodyLimits &limits = {});

// POST /v1/submissions
struct OpenReply
{
    std::string id;
    std::vector<std::string> spareIds;

    auto operator<=>(const OpenReply &) const = default;
};

// A task with the id chosen by the caller, which is unique within its submission.
struct CallerTask
{
    std::string id;
    std::string input;

    auto operator<=>(const CallerTask &) const = default;
};

// PUT /v1/submissions/{id}. A request is represented as a single task with the id "0".
struct SubmissionBody
{
    std::string entry;
    std::optional<Time> deadline; // "deadlineMs", Unix milliseconds; the entry's limit if absent
    bool isRepeatable = false;    // false if absent
    bool isJob = false;           // has "tasks" instead of "input"
    std::vector<CallerTask> tasks;

    auto operator<=>(const SubmissionBody &) const = default;
};

struct CallerResult
{
    std::string id;
    std::string output;

    auto operator<=>(const CallerResult &) const = default;
};

enum class SubmissionState { Opened, Running, Complete, Failed };

std::string_view toString(SubmissionState state);

// Body of every answer about a submission; `results` belongs to Complete and `error` to Failed.
struct SubmissionAnswer
{
    std::string id;
    SubmissionState state = SubmissionState::Opened;
    std::vector<CallerResult> results;
    Error error;

    auto operator<=>(const SubmissionAnswer &) const = default;
};

std::string serialize(const OpenReply &reply);
Result<OpenReply> parseOpenReply(std::string_view body, const BodyLimits &limits = {});
std::string serialize(const SubmissionBody &submission);
Result<SubmissionBody> parseSubmissionBody(std::string_view body, const BodyLimits &limits = {});
std::string serialize(const SubmissionAnswer &answer);
Result<SubmissionAnswer> parseSubmissionAnswer(std::string_view body,
                                               const BodyLimits &limits = {});
// Failure body; the id is empty for failures that concern no submission.
std::string serializeFailure(std::string_view id, const Error &error);

// Log service
struct LogRecord
{
    uint64_t offset = 0; // counts from 1
    std::string data;

    auto operator<=>(const LogRecord &) const = default;
};

struct LogPage
{
    uint64_t first = 0; // lowest retained offset
    uint64_t next = 0;  // offset that the next append gets
    std::vector<LogRecord> records;

    auto operator<=>(const LogPage &) const = default;
};

std::string serializeOffset(uint64_t offset);
Result<uint64_t> parseOffset(std::string_view body);
std::string serialize(const LogPage &page);
Result<LogPage> parseLogPage(std::string_view body, const BodyLimits &limits = {});

// VM list
enum class VmRole { Entry, Executor, Worker };

std::string_view toString(VmRole role);

struct VmInfo
{
    std::string name;
    VmRole role = VmRole::Entry;
    std::string dataCentre;
    std::string rack;
    std::string address;
    uint16_t port = 0;
    bool isLeaving = false;
    uint32_t slots = 0;  // executors
    Demand capacity {0}; // workers

    auto operator<=>(const VmInfo &) const = default;
};

std::string serialize(const std::vector<VmInfo> &vms);
Result<std::vector<VmInfo>> parseVmList(std::string_view body, const BodyLimits &limits = {});

} // namespace lovage::backend
