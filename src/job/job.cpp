#include "lovage/job.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace lovage {

namespace {

// Parses the decimal number at the start of the text and removes it together with the dot after it.
std::optional<uint32_t> consumeNumber(std::string_view &text)
{
    uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end == text.data())
        return std::nullopt;
    text.remove_prefix(static_cast<size_t>(end - text.data()));
    if (!text.empty()) {
        if (text.front() != '.' || text.size() == 1)
            return std::nullopt;
        text.remove_prefix(1);
    }
    return number;
}

bool matches(const Queue &queue, std::string_view host, std::string_view path)
{
    return queue.host == host && path.starts_with(queue.pathPrefix);
}

} // namespace

size_t taskCount(const JobSpec &job)
{
    size_t count = 0;
    for (const Step &step : job.steps)
        count += step.count;
    return count;
}

Result<void> validate(const JobSpec &job)
{
    if (job.steps.empty() || job.steps.size() > maxStepsPerJob)
        return notRun(ErrorCode::MalformedBody,
                      fmt::format("a job has 1 to {} steps", maxStepsPerJob));
    if (taskCount(job) > maxTasksPerJob)
        return notRun(ErrorCode::TooManyTasks,
                      fmt::format("a job has at most {} tasks", maxTasksPerJob));
    for (size_t i = 0; i < job.steps.size(); ++i) {
        if (job.steps[i].count == 0)
            return notRun(ErrorCode::MalformedBody, fmt::format("step {} has no tasks", i));
        for (const uint32_t earlier : job.steps[i].after) {
            if (earlier >= i)
                return notRun(ErrorCode::MalformedBody,
                              fmt::format("step {} depends on step {}, which is not earlier", i,
                                          earlier));
        }
    }
    return boost::outcome_v2::success();
}

Duration criticalPath(const JobSpec &job)
{
    std::vector<Duration> ends;
    Duration longest {};
    for (const Step &step : job.steps) {
        Duration begin {};
        for (const uint32_t earlier : step.after)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + step.estimate);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

double coreSeconds(const JobSpec &job)
{
    constexpr double milliCoreMicrosPerCoreSecond = 1e9;
    double sum = 0;
    for (const Step &step : job.steps)
        sum += static_cast<double>(step.count) * step.demand.milliCores
                * static_cast<double>(step.estimate.count()) / milliCoreMicrosPerCoreSecond;
    return sum;
}

std::string toString(const TaskName &name)
{
    return fmt::format("{}.{}.{}.{}", name.job, name.occurrence, name.step, name.index);
}

std::optional<TaskName> parseTaskName(std::string_view text)
{
    const size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0)
        return std::nullopt;
    TaskName name;
    name.job = std::string(text.substr(0, dot));
    text.remove_prefix(dot + 1);
    const auto occurrence = consumeNumber(text);
    const auto step = consumeNumber(text);
    const auto index = consumeNumber(text);
    if (!occurrence || !step || !index || !text.empty())
        return std::nullopt;
    name.occurrence = *occurrence;
    name.step = *step;
    name.index = *index;
    return name;
}

std::optional<QueueMatch> findQueue(const Configuration &configuration, std::string_view host,
                                    std::string_view path)
{
    const Queue *best = nullptr;
    for (const Queue &queue : configuration.queues) {
        if (matches(queue, host, path)
            && (!best || queue.pathPrefix.size() > best->pathPrefix.size()))
            best = &queue;
    }
    if (!best)
        return std::nullopt;
    return QueueMatch {best, path.substr(best->pathPrefix.size())};
}

} // namespace lovage
