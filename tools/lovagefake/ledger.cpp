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

// Ids that are not of lovaged (calls by hand) count as their own submission.
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

void Ledger::report(Violation kind, const std::string &taskId, const std::string &server)
{
    ++counts_.at(static_cast<size_t>(kind));
    if (listed_.size() < maxListed)
        listed_.push_back(std::string(violationNames.at(static_cast<size_t>(kind))) + " " + taskId
                          + " " + server);
}

void Ledger::started(const std::string &taskId, const std::string &server,
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
    const bool isTwice = std::any_of(attempts.begin(), attempts.end(), [&](const Attempt &other) {
        return other.number == key.attempt || other.isRunning || other.isSuccess;
    });
    if (isTwice)
        report(Violation::StartedTwice, taskId, server);
    attempts.push_back({key.attempt, true, false, server});
    if (leavingSince && now - *leavingSince > leavingGrace)
        report(Violation::StartedOnLeaving, taskId, server);
    if (unknown_.contains(unknownKey(server, taskId)))
        report(Violation::StartedAfterUnknown, taskId, server);
}

void Ledger::ended(const std::string &taskId, bool isSuccess, Time now)
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

void Ledger::answeredUnknown(const std::string &taskId, const std::string &server)
{
    const std::lock_guard lock(mutex_);
    unknown_.insert(unknownKey(server, taskId));
}

void Ledger::serverCrashed(const std::string &server, Time now)
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
    return counts_.at(static_cast<size_t>(kind));
}

std::string Ledger::toJson(bool isFull) const
{
    const std::lock_guard lock(mutex_);
    json::object messages;
    for (const auto &[kind, count] : messages_)
        messages[kind] = count;
    json::object violations;
    for (size_t i = 0; i < counts_.size(); ++i)
        violations[violationNames.at(i)] = counts_.at(i);
    json::array retried;
    uint64_t overlaps = 0;
    for (const auto &[key, task] : tasks_) {
        if (task.attempts.size() > 1)
            retried.emplace_back(key);
        overlaps += std::count_if(task.attempts.begin(), task.attempts.end(),
                                  [](const Attempt &attempt) { return attempt.isRunning; })
                        > 1
                ? 1
                : 0;
    }
    json::object result {{"starts", starts_},
                         {"tasks", tasks_.size()},
                         {"succeeded", succeeded_},
                         {"failed", failed_},
                         {"runningTwiceNow", overlaps},
                         {"misbehavingStarts", misbehavingStarts_},
                         {"messages", std::move(messages)},
                         {"violations", std::move(violations)},
                         {"list", json::array(listed_.begin(), listed_.end())},
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
