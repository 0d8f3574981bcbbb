// The callers of a fleet in virtual time. A caller submits a job to a VM and submits it again to
// another VM if it gets no answer or learns that the job may have run.
#pragma once

#include "fleet_vm.h"

#include <fmt/format.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lovage::test {

using std::chrono::milliseconds;

// Time until a VM notices that a caller has closed its connection; nullopt if it never does.
using CloseNotice = std::optional<Duration>;

struct FleetJob
{
    std::string id;
    uint32_t tasks = 1;
    TaskKind kind;
    Duration deadline {};
    CloseNotice closeNotice = Duration::zero(); // applies when the caller gives up at its deadline
    // VMs that get the job in turn; after the last one, they are chosen at random.
    std::vector<size_t> vms;
};

class FleetCallers
{
public:
    FleetCallers(VirtualTime &time, std::vector<std::unique_ptr<FleetVm>> &vms,
                 std::vector<std::string> &violations, uint64_t seed)
        : time_(time), vms_(vms), violations_(violations), random_(seed)
    { }

    Queue queue {"queue", "", "", "work", 0, 3, 1.6, milliseconds(60), {}, false};

    void submit(FleetJob job)
    {
        const std::string id = job.id;
        jobs_[id].job = std::move(job);
        send(id);
    }

    TaskKind kindOf(const std::string &job) const { return jobs_.at(job).job.kind; }
    size_t submissions(const std::string &job) const { return jobs_.at(job).submissions; }
    bool isEnded(const std::string &job) const { return jobs_.at(job).isEnded; }
    size_t completedCount() const
    {
        return countIf([](const State &job) { return job.isCompleted; });
    }
    size_t endedCount() const
    {
        return countIf([](const State &job) { return job.isEnded; });
    }
    size_t jobCount() const { return jobs_.size(); }

    void recordStart(const RunStart &start)
    {
        State &job = jobs_.at(FleetServers::jobOf(start.task));
        ++job.starts;
        time_.note(fmt::format("task {} starts on {} by {}", start.task, start.server, start.vm));
        if (!start.otherRuns.empty())
            report(fmt::format("task {} starts on {} by {} while it runs on {}", start.task,
                               start.server, start.vm, start.otherRuns.front()));
        if (isRefused(job))
            report(fmt::format("task {} of a refused job starts", start.task));
    }

    // Breaks the connections of the callers to a VM. The callers notice it immediately.
    void breakConnections(size_t vm, CloseNotice notice)
    {
        for (auto &[number, connection] : connections_) {
            if (connection.vm == vm && connection.isOpen)
                breakConnection(number, notice);
        }
    }
    // Breaks the connections of the callers of a job.
    void breakConnectionsOf(const std::string &job, CloseNotice notice)
    {
        for (auto &[number, connection] : connections_) {
            if (connection.job == job && connection.isOpen)
                breakConnection(number, notice);
        }
    }

private:
    struct State
    {
        FleetJob job;
        size_t submissions = 0;
        size_t refusals = 0;
        size_t starts = 0;
        bool isCompleted = false;
        bool isEnded = false; // the caller has the result or a refusal
    };
    struct Connection
    {
        std::string job;
        size_t vm = 0;
        uint64_t vmGeneration = 0;
        std::optional<uint64_t> request {}; // number of the request on the VM
        bool isOpen = true;                 // as seen by the caller
        bool isAnswered = false;            // whether the VM has answered the request
        Time sentAt {};
    };

    static constexpr Duration callerDelay = std::chrono::microseconds(500);
    static constexpr Duration repeatDelay = std::chrono::milliseconds(1300);
    // Callers wait a little longer than the deadline that they state.
    static constexpr Duration answerSlack = std::chrono::milliseconds(100);
    static constexpr size_t maxSubmissions = 6;

    template<class Predicate>
    size_t countIf(Predicate predicate) const
    {
        return static_cast<size_t>(
                std::count_if(jobs_.begin(), jobs_.end(),
                              [&](const auto &entry) { return predicate(entry.second); }));
    }
    static int64_t toMillis(Duration duration)
    {
        return std::chrono::duration_cast<milliseconds>(duration).count();
    }
    static bool isRefused(const State &job)
    {
        return job.isEnded && job.refusals == job.submissions;
    }

    void report(const std::string &text)
    {
        violations_.push_back(fmt::format("{} ms: {}", time_.elapsedMs(), text));
        time_.note("violation: " + text);
    }

    size_t chooseVm(const State &job)
    {
        if (job.submissions < job.job.vms.size())
            return job.job.vms[job.submissions];
        std::vector<size_t> up;
        for (size_t vm = 0; vm < vms_.size(); ++vm) {
            if (vms_[vm]->isUp())
                up.push_back(vm);
        }
        return up.empty() ? 0 : up[random_.below(up.size())];
    }

    void send(const std::string &id)
    {
        State &job = jobs_.at(id);
        const size_t vm = chooseVm(job);
        ++job.submissions;
        const uint64_t number = nextConnection_++;
        connections_[number] = {id, vm, vms_[vm]->generation()};
        connections_[number].sentAt = time_.now();
        time_.note(fmt::format("{} is submitted to {}, submission {}, deadline {} ms", id,
                               vms_[vm]->name(), job.submissions, toMillis(job.job.deadline)));
        time_.scheduleAfter(callerDelay, [this, number] { deliver(number); });
        time_.scheduleAfter(job.job.deadline + answerSlack, [this, number] { giveUp(number); });
    }

    void deliver(uint64_t number)
    {
        const Connection &connection = connections_.at(number);
        FleetVm &vm = *vms_[connection.vm];
        if (!vm.isUp() || vm.generation() != connection.vmGeneration) {
            breakConnection(number, std::nullopt);
            return;
        }
        vm.post([this, number, &vm] {
            Connection &connection = connections_.at(number);
            const FleetJob &job = jobs_.at(connection.job).job;
            // The bound that the HTTP server gives.
            const Duration waited = time_.now() - connection.sentAt + EventLoopLag::tickInterval;
            const uint64_t request = vm.node().submit(
                    specOf(job), queue, {job.deadline, waited},
                    [this, number](const JobAnswer &answer) { onAnswered(number, answer); });
            if (!connection.isAnswered)
                connection.request = request;
        });
    }

    static JobSpec specOf(const FleetJob &job)
    {
        JobSpec spec;
        spec.id = job.id;
        spec.payload = "payload";
        Step step;
        step.count = job.tasks;
        step.demand = {job.kind.milliCores, 0, 0};
        step.estimate = job.kind.runTime;
        spec.steps.push_back(step);
        return spec;
    }

    void onAnswered(uint64_t number, const JobAnswer &answer)
    {
        connections_.at(number).isAnswered = true;
        connections_.at(number).request.reset();
        time_.note(fmt::format("{} is answered by {}: {} {}", connections_.at(number).job,
                               vms_[connections_.at(number).vm]->name(), toString(answer.result),
                               answer.reason));
        time_.scheduleAfter(callerDelay, [this, number, result = answer.result] {
            Connection &connection = connections_.at(number);
            if (!std::exchange(connection.isOpen, false))
                return;
            State &job = jobs_.at(connection.job);
            job.refusals += result == JobResult::Refused ? 1 : 0;
            job.isCompleted |= result == JobResult::Completed;
            if (result == JobResult::Abandoned) {
                scheduleRepeat(connection.job);
                return;
            }
            job.isEnded = true;
            if (isRefused(job) && job.starts > 0)
                report(fmt::format("job {} is refused after {} starts", job.job.id, job.starts));
        });
    }

    void scheduleRepeat(const std::string &id)
    {
        if (jobs_.at(id).submissions < maxSubmissions)
            time_.scheduleAfter(repeatDelay, [this, id] { send(id); });
        else
            jobs_.at(id).isEnded = true;
    }

    void breakConnection(uint64_t number, CloseNotice notice)
    {
        Connection &connection = connections_.at(number);
        if (!std::exchange(connection.isOpen, false))
            return;
        time_.note(fmt::format("{} loses its connection to {}, which {}", connection.job,
                               vms_[connection.vm]->name(),
                               notice ? fmt::format("notices it after {} ms", toMillis(*notice))
                                      : "does not notice it"));
        scheduleRepeat(connection.job);
        if (notice && *notice <= Duration::zero())
            noticeClose(number);
        else if (notice)
            time_.scheduleAfter(*notice, [this, number] { noticeClose(number); });
    }

    void noticeClose(uint64_t number)
    {
        const Connection &connection = connections_.at(number);
        FleetVm &vm = *vms_[connection.vm];
        if (vm.generation() != connection.vmGeneration)
            return;
        vm.post([this, number, &vm] {
            Connection &connection = connections_.at(number);
            if (connection.request)
                vm.node().withdraw(*std::exchange(connection.request, std::nullopt));
        });
    }

    void giveUp(uint64_t number)
    {
        const Connection &connection = connections_.at(number);
        if (!connection.isOpen)
            return;
        const FleetVm &vm = *vms_[connection.vm];
        const bool mustAnswer =
                vm.generation() == connection.vmGeneration && vm.isPromptSince(connection.sentAt);
        if (mustAnswer && !connection.isAnswered)
            report(fmt::format("job {} is not answered by {}", connection.job, vm.name()));
        breakConnection(number, jobs_.at(connection.job).job.closeNotice);
    }

    VirtualTime &time_;
    std::vector<std::unique_ptr<FleetVm>> &vms_;
    std::vector<std::string> &violations_;
    Random random_;
    std::map<std::string, State> jobs_;
    std::map<uint64_t, Connection> connections_;
    uint64_t nextConnection_ = 0;
};

} // namespace lovage::test
