#include "lovagefake/ledger.h"

#include <boost/json.hpp>

#include <algorithm>

namespace lovage::fake {

namespace json = boost::json;

namespace {

constexpr std::array<const char *, static_cast<size_t>(Violation::Count_)> violationNames = {
        "startedTwice", "startedOnLeaving", "startedAfterUnknown"};

struct Key
{
    std::string submission;
    std::string task; // without the attempt
    uint32_t attempt = 0;
};

// A task id that lovaged did not generate, as in a manual request, counts as a submission of its
// own.
Key keyOf(const std::string &taskId)
{
    const auto id = parseTaskId(taskId);
    if (!id)
        return {taskId, taskId, 0};
    return {toString(id->submission), taskId.substr(0, taskId.rfind('.')), id->attempt};
}

std::string unknownKey(const std::string &server, const std::string &taskId)
{
    return server + "/" + taskId;
}

} // namespace

void Ledger::addViolation(Violation kind, const std::string &taskId, const std::string &server)
{
    ++violationCounts_.at(static_cast<size_t>(kind));
    if (listedViolations_.size() < maxListed)
        listedViolations_.push_back(std::string(violationNames.at(static_cast<size_t>(kind))) + " "
                                    + taskId + " " + server);
}

void Ledger::recordStart(const std::string &taskId, const std::string &server,
                         std::optional<Time> leavingSince, bool isMisbehaving, Time now)
{
    const std::lock_guard lock(mutex_);
    if (isMisbehaving) {
        ++misbehavingStarts_;
        return;
    }
    const Key key = keyOf(taskId);
    ++starts_;
    ++startsOfSubmission_[key.submission];
    auto &attempts = tasks_[key.task].attempts;
    const bool isStartedTwice =
            std::any_of(attempts.begin(), attempts.end(), [&](const Attempt &other) {
                return other.number == key.attempt || other.isRunning || other.isSuccess;
            });
    if (isStartedTwice)
        addViolation(Violation::StartedTwice, taskId, server);
    attempts.push_back({key.attempt, true, false, server});
    if (leavingSince && now - *leavingSince > leavingGrace)
        addViolation(Violation::StartedOnLeaving, taskId, server);
    if (unknownAnswers_.contains(unknownKey(server, taskId)))
        addViolation(Violation::StartedAfterUnknown, taskId, server);
}

void Ledger::recordEnd(const std::string &taskId, bool isSuccess, Time now)
{
    const std::lock_guard lock(mutex_);
    const Key key = keyOf(taskId);
    const auto found = tasks_.find(key.task);
    if (found == tasks_.end())
        return;
    for (Attempt &attempt : found->second.attempts) {
        if (attempt.number != key.attempt || !attempt.isRunning)
            continue;
        attempt.isRunning = false;
        attempt.isSuccess = isSuccess;
        ++(isSuccess ? succeeded_ : failed_);
        return;
    }
}

void Ledger::recordUnknownAnswer(const std::string &taskId, const std::string &server)
{
    const std::lock_guard lock(mutex_);
    unknownAnswers_.insert(unknownKey(server, taskId));
}

void Ledger::recordCrash(const std::string &server, Time now)
{
    const std::lock_guard lock(mutex_);
    for (auto &[key, task] : tasks_) {
        for (Attempt &attempt : task.attempts) {
            if (attempt.isRunning && attempt.server == server) {
                attempt.isRunning = false;
                ++failed_;
            }
        }
    }
}

void Ledger::countMessage(const std::string &kind, uint64_t count)
{
    const std::lock_guard lock(mutex_);
    messages_[kind] += count;
}

uint64_t Ledger::violations(Violation kind) const
{
    const std::lock_guard lock(mutex_);
    return violationCounts_.at(static_cast<size_t>(kind));
}

std::string Ledger::toJson(bool isFull) const
{
    const std::lock_guard lock(mutex_);
    json::object messages;
    for (const auto &[kind, count] : messages_)
        messages[kind] = count;
    json::object violations;
    for (size_t i = 0; i < violationCounts_.size(); ++i)
        violations[violationNames.at(i)] = violationCounts_.at(i);
    json::array retried;
    uint64_t overlappingTasks = 0;
    for (const auto &[key, task] : tasks_) {
        if (task.attempts.size() > 1)
            retried.emplace_back(key);
        overlappingTasks += std::count_if(task.attempts.begin(), task.attempts.end(),
                                          [](const Attempt &attempt) { return attempt.isRunning; })
                        > 1
                ? 1
                : 0;
    }
    json::object result {{"starts", starts_},
                         {"tasks", tasks_.size()},
                         {"succeeded", succeeded_},
                         {"failed", failed_},
                         {"runningTwiceNow", overlappingTasks},
                         {"misbehavingStarts", misbehavingStarts_},
                         {"messages", std::move(messages)},
                         {"violations", std::move(violations)},
                         {"list", json::array(listedViolations_.begin(), listedViolations_.end())},
                         {"retried", std::move(retried)}};
    if (isFull) {
        json::object starts;
        for (const auto &[submission, count] : startsOfSubmission_)
            starts[submission] = count;
        result["startsOfSubmission"] = std::move(starts);
    }
    return json::serialize(result);
}

} // namespace lovage::fake
