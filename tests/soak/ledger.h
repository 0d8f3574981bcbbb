// Records what callers and backend servers of a soak observe, and checks the guarantees of the
// dispatcher against it.
#pragma once

#include "jobs.h"

#include "lovage/job.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace lovage::soak {

// The format of the time in the daemons' log lines, so that both can be matched.
inline std::string formatTime(Time time)
{
    const int64_t millis = toUnixMillis(time);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(static_cast<time_t>(millis / 1000)), millis % 1000);
}

struct Violation
{
    Time time;
    std::string job; // empty if it concerns no single job
    std::string what;

    auto operator<=>(const Violation &) const = default;
};

// Thread safe.
class Ledger
{
public:
    struct Task
    {
        std::map<std::string, Time> runningOn; // names of servers, and start of the run
        uint64_t starts = 0;
        // A success was acknowledged, and no lease lapsed between the end of the run and this.
        bool isSuccessAcknowledged = false;
        uint32_t lastStartedRun = 0;
    };
    struct Job
    {
        JobShape shape;
        bool isAnswered = false;
        bool isAccepted = false;  // 200
        bool isRefused = false;   // 404, 429 or 503
        bool isCancelled = false; // the cancel request was answered with 200
    };

    void recordSubmission(const std::string &job, const JobShape &shape)
    {
        const std::lock_guard lock(mutex_);
        jobs_[job].shape = shape;
    }
    void recordResponse(const std::string &job, int status)
    {
        const std::lock_guard lock(mutex_);
        Job &entry = jobs_[job];
        entry.isAnswered = true;
        entry.isAccepted = status == 200;
        entry.isRefused = status == 404 || status == 429 || status == 503;
        if (entry.isRefused && startsOfFirstTask(job) > 0)
            addLocked(job,
                      fmt::format("job {} was refused after one of its tasks had started", job));
        const uint64_t tasks = entry.shape.taskCount();
        if (entry.isAccepted && !entry.shape.isStored && succeededTasks(job) < tasks)
            addLocked(job,
                      fmt::format("job {} is complete with {} of {} tasks done", job,
                                  succeededTasks(job), tasks));
    }
    void recordCancel(const std::string &job)
    {
        const std::lock_guard lock(mutex_);
        jobs_[job].isCancelled = true;
    }
    void recordStart(const std::string &task, uint32_t run, const std::string &server)
    {
        const std::lock_guard lock(mutex_);
        Task &entry = tasks_[task];
        const std::string job = task.substr(0, task.find('.'));
        if (!jobs_.contains(job))
            addLocked(job, fmt::format("task {} belongs to a job that was never submitted", task));
        if (jobs_[job].isRefused)
            addLocked(job, fmt::format("task {} starts after its job was refused", task));
        if (!entry.runningOn.empty())
            addLocked(
                    job,
                    fmt::format(
                            "task {} run {} starts on {} while the task still runs on {} since {}",
                            task, run, server, entry.runningOn.begin()->first,
                            formatTime(entry.runningOn.begin()->second)));
        if (isBeforeDue(task, jobs_[job].shape))
            addLocked(job, fmt::format("task {} run {} starts before it is due", task, run));
        if (entry.isSuccessAcknowledged && runsOnce(task))
            addLocked(job,
                      fmt::format(
                              "task {} run {} starts after a success of the task was acknowledged",
                              task, run));
        if (closedServers_.contains(server) && currentTime() >= closedFrom_)
            addLocked(job,
                      fmt::format("task {} run {} starts on {}, whose data centre is evacuated",
                                  task, run, server));
        entry.runningOn.emplace(server, currentTime());
        ++entry.starts;
        entry.lastStartedRun = run;
    }
    void recordEnd(const std::string &task, const std::string &server, bool isSuccess)
    {
        const std::lock_guard lock(mutex_);
        tasks_[task].runningOn.erase(server);
        if (isSuccess)
            succeeded_.insert(task);
    }
    // Called only for a successful run whose server had no lapsed lease between the end of the run
    // and its acknowledgement.
    void recordAcknowledgement(const std::string &task, uint32_t run)
    {
        const std::lock_guard lock(mutex_);
        Task &entry = tasks_[task];
        entry.isSuccessAcknowledged = true;
        const std::string job = task.substr(0, task.find('.'));
        if (runsOnce(task) && entry.lastStartedRun != run)
            addLocked(job,
                      fmt::format("task {} run {} was acknowledged after run {} had started", task,
                                  run, entry.lastStartedRun));
    }
    // From this time on, no task may start on the servers.
    void forbidStarts(std::set<std::string> servers, Time from)
    {
        const std::lock_guard lock(mutex_);
        closedServers_ = std::move(servers);
        closedFrom_ = from;
    }
    void addViolation(const std::string &job, const std::string &what)
    {
        const std::lock_guard lock(mutex_);
        addLocked(job, what);
    }

    std::vector<Violation> violations()
    {
        const std::lock_guard lock(mutex_);
        return violations_;
    }
    std::map<std::string, Job> jobs()
    {
        const std::lock_guard lock(mutex_);
        return jobs_;
    }
    uint64_t starts()
    {
        const std::lock_guard lock(mutex_);
        uint64_t starts = 0;
        for (const auto &[task, entry] : tasks_)
            starts += entry.starts;
        return starts;
    }

private:
    void addLocked(const std::string &job, const std::string &what)
    {
        violations_.push_back({currentTime(), job, what});
    }
    // Whether the task may not start after one of its runs has succeeded.
    bool runsOnce(const std::string &task)
    {
        const JobShape &shape = jobs_[task.substr(0, task.find('.'))].shape;
        const auto name = parseTaskName(task);
        const bool isEndless = shape.isEndless && name && name->step + 1 == shape.counts.size();
        return shape.isStored && !isEndless;
    }
    static bool isBeforeDue(const std::string &task, const JobShape &shape)
    {
        constexpr int64_t toleranceMs = 250;
        const auto name = parseTaskName(task);
        return name && shape.repeatCount > 0
                && toUnixMillis(currentTime()) + toleranceMs < shape.dueMs(name->occurrence);
    }
    uint64_t startsOfFirstTask(const std::string &job) const
    {
        const auto task = tasks_.lower_bound(job + ".");
        return task != tasks_.end() && task->first.starts_with(job + ".") ? task->second.starts : 0;
    }
    uint64_t succeededTasks(const std::string &job) const
    {
        uint64_t done = 0;
        for (auto task = succeeded_.lower_bound(job + ".");
             task != succeeded_.end() && task->starts_with(job + "."); ++task)
            ++done;
        return done;
    }

    std::mutex mutex_;
    std::map<std::string, Job> jobs_;
    std::map<std::string, Task> tasks_;
    std::set<std::string> succeeded_;
    std::vector<Violation> violations_;
    std::set<std::string> closedServers_;
    Time closedFrom_ {};
};

} // namespace lovage::soak
