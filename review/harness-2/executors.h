// Stand-ins for executors. They share one world, because the members of a gang depend on each
// other.
//
// The spec of a job is JSON: {"steps":[{"ms":N,"cpu":N,"mem":N,"gang":N,"saves":BOOL}]}, by step.
#pragma once

#include "store.h"

#include <memory>
#include <random>

namespace review {

struct Bounds
{
    int64_t holdMaxMs = 1000;
    int64_t stopMs = 50;
    int64_t gangTimeoutMs = 3000;
    int64_t checkpointMs = 1000;
    int64_t restoreMs = 100;
    int64_t startDelayMs = 0; // time by which a start reaches an executor later than other calls
};

// One execution of a task, as the executors saw it.
struct Interval
{
    std::string task;
    int64_t run = 0;
    std::string executor;
    std::string checkpoint; // with which it was started
    double start = 0;
    double end = -1; // -1 while it runs
    std::string how {};
};

struct ExecutorInfo
{
    std::string id;
    std::string zone;
    std::string kind = "a";
    std::string rack = "r1";
    int64_t cpu = 16000;
    int64_t memoryMb = 65536;
};

class Executors
{
public:
    Executors(Record &record, Store &store, std::string service, Bounds bounds)
        : record_(record), store_(store), service_(std::move(service)), bounds_(bounds)
    {
        std::thread([this] { advancePeriodically(); }).detach();
    }

    void add(const ExecutorInfo &info)
    {
        const std::lock_guard lock(mutex_);
        auto executor = std::make_unique<Executor>();
        executor->info = info;
        executor->bornMs = unixMs();
        executor->bootMs = steadyMs();
        Executor *raw = executor.get();
        executor->server = std::make_unique<HttpServer>(
                [this, raw](const Request &request) { return handle(*raw, request); });
        executors_.push_back(std::move(executor));
    }
    // Ends the process of an executor for good. Its connections are reset.
    void crash(const std::string &id)
    {
        const std::lock_guard lock(mutex_);
        for (auto &executor : executors_) {
            if (executor->info.id != id)
                continue;
            executor->isUp = false;
            executor->crashedMs = steadyMs();
            for (const auto &[task, run] : executor->running)
                endInterval(run, "crashed");
            executor->running.clear();
            record_.line("executor %s crashed", id.c_str());
        }
    }
    // Ends the process of an executor together with its machine: nothing is answered or reset.
    void fallSilent(const std::string &id)
    {
        crash(id);
        const std::lock_guard lock(mutex_);
        for (auto &executor : executors_)
            executor->isSilent |= executor->info.id == id;
    }
    // Sets whether an executor fails all that it starts.
    void setFailing(const std::string &id, bool isFailing)
    {
        const std::lock_guard lock(mutex_);
        for (auto &executor : executors_) {
            if (executor->info.id == id)
                executor->isFailing = isFailing;
        }
        record_.line("executor %s %s", id.c_str(),
                     isFailing ? "fails all that it starts" : "is sound again");
    }
    std::vector<Interval> intervals()
    {
        const std::lock_guard lock(mutex_);
        return intervals_;
    }
    int64_t usedCpu()
    {
        const std::lock_guard lock(mutex_);
        int64_t used = 0;
        for (const auto &executor : executors_) {
            for (const auto &[task, run] : executor->running)
                used += run.cpu;
        }
        return used;
    }
    int64_t totalCpu()
    {
        const std::lock_guard lock(mutex_);
        int64_t total = 0;
        for (const auto &executor : executors_)
            total += executor->isUp ? executor->info.cpu : 0;
        return total;
    }

private:
    struct Run
    {
        std::string task;
        int64_t number = 0;
        int64_t cpu = 0;
        int64_t memoryMb = 0;
        int64_t workMs = 0;
        int64_t gangSize = 0; // 0: no gang
        bool saves = false;
        bool lasts = false;            // until it is stopped
        std::string startedWith {};    // checkpoint of the start
        std::string saved {};          // latest checkpoint
        int64_t doneBeforeMs = 0;      // work that the checkpoint of the start holds
        int64_t arrivedMs = 0;         // time of the start
        int64_t workingSinceMs = -1;   // -1 while a gang waits for its members
        std::optional<int64_t> stopMs; // time at which a stop takes effect
        size_t interval = 0;
    };
    struct Executor
    {
        ExecutorInfo info;
        bool isUp = true;
        bool isSilent = false;
        bool isFailing = false;
        int64_t crashedMs = 0;
        int64_t bornMs = 0;
        int64_t bootMs = 0;
        int64_t sequence = 0;
        int64_t nextBeatMs = 0;
        bool isListed = false;
        int64_t token = 0;
        int64_t leaseUntilMs = 0; // on the clock of the executor
        std::map<std::string, Run> running {};
        std::map<std::string, int64_t> highestClosed {};
        std::vector<json::array> finished {};
        int64_t nextEnd = 1;
        std::unique_ptr<HttpServer> server;
    };
    static constexpr int64_t heartbeatMs = 1500;

    static int64_t clockMs(const Executor &executor) { return steadyMs() - executor.bootMs; }
    static json::object status(const Executor &executor)
    {
        return {{"clock_ms", clockMs(executor)}};
    }
    static Response refusal(const Executor &executor, const char *reason)
    {
        json::object body = status(executor);
        body["reason"] = reason;
        return jsonResponse(409, body);
    }
    // The job, occurrence and step of a task, which the members of a gang have in common.
    static std::string stepOf(const std::string &task) { return task.substr(0, task.rfind('.')); }

    void advancePeriodically()
    {
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                for (auto &executor : executors_) {
                    beat(*executor);
                    advance(*executor);
                }
                startGangs();
                failRuns();
            }
            sleepMs(2);
        }
    }

    void beat(Executor &executor)
    {
        const int64_t now = steadyMs();
        if (!executor.isUp) {
            if (executor.isListed && now > executor.crashedMs + 3 * heartbeatMs) {
                executor.isListed = false;
                store_.put("keyed.servers", executor.info.id, "");
                record_.line("executor %s removed from the list", executor.info.id.c_str());
            }
            return;
        }
        if (now < executor.nextBeatMs)
            return;
        executor.nextBeatMs = now + heartbeatMs;
        executor.isListed = true;
        const json::object entry {
                {"service", service_},
                {"address", "127.0.0.1:" + std::to_string(executor.server->port())},
                {"zone", executor.info.zone},
                {"version", "1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"capacity",
                 {{"cpu", executor.info.cpu}, {"mem_mb", executor.info.memoryMb}, {"gpu", 0}}},
                {"labels",
                 json::array {json::string(executor.info.kind), json::string(executor.info.rack)}},
                {"born", executor.bornMs},
                {"seq", ++executor.sequence}};
        store_.put("keyed.servers", executor.info.id, json::serialize(entry));
    }

    void endInterval(const Run &run, const char *how)
    {
        intervals_[run.interval].end = record_.seconds();
        intervals_[run.interval].how = how;
    }

    // Lists the end of a run. The other members of its gang end with it.
    void finish(Executor &executor, const std::string &task, const char *how)
    {
        const Run run = listEnd(executor, task, how);
        if (run.gangSize == 0)
            return;
        const char *others = std::string(how) == "done" ? "done"
                : std::string(how) == "alone"           ? "alone"
                                                        : "broken";
        endMembers(run, others);
    }
    Run listEnd(Executor &executor, const std::string &task, const char *how)
    {
        const auto found = executor.running.find(task);
        const Run run = found->second;
        executor.running.erase(found);
        endInterval(run, how);
        executor.highestClosed[task] = std::max(executor.highestClosed[task], run.number);
        executor.finished.push_back(
                json::array {executor.nextEnd++, task, run.number, how, run.saved});
        record_.line("executor %s ended %s run %lld %s saved=\"%s\"", executor.info.id.c_str(),
                     task.c_str(), static_cast<long long>(run.number), how, run.saved.c_str());
        return run;
    }
    // Each failing executor fails its tasks as soon as they work, by itself. The other members of a
    // gang then end too.
    void failRuns()
    {
        std::vector<Run> failed;
        for (auto &executor : executors_) {
            std::vector<std::string> tasks;
            for (const auto &[task, run] : executor->running) {
                if (executor->isFailing && run.workingSinceMs >= 0)
                    tasks.push_back(task);
            }
            for (const std::string &task : tasks)
                failed.push_back(listEnd(*executor, task, "failed"));
        }
        for (const Run &run : failed) {
            if (run.gangSize > 0)
                endMembers(run, "broken");
        }
    }
    void endMembers(const Run &member, const char *how)
    {
        for (auto &other : executors_) {
            std::vector<std::string> tasks;
            for (const auto &[task, run] : other->running) {
                if (run.gangSize > 0 && stepOf(task) == stepOf(member.task)
                    && run.number == member.number && run.startedWith == member.startedWith
                    && (run.workingSinceMs >= 0) == (member.workingSinceMs >= 0))
                    tasks.push_back(task);
            }
            for (const std::string &task : tasks) {
                if (other->running.contains(task))
                    finish(*other, task, how);
            }
        }
    }

    void advance(Executor &executor)
    {
        const bool hasLapsed =
                executor.leaseUntilMs > 0 && clockMs(executor) > executor.leaseUntilMs;
        std::vector<std::string> tasks;
        for (const auto &[task, run] : executor.running)
            tasks.push_back(task);
        for (const std::string &task : tasks) {
            const auto found = executor.running.find(task);
            if (found == executor.running.end())
                continue;
            Run &run = found->second;
            const int64_t now = steadyMs();
            if (hasLapsed) {
                finish(executor, task, "lapsed");
                continue;
            }
            if (run.workingSinceMs < 0) {
                if (run.stopMs && now >= *run.stopMs)
                    finish(executor, task, "stopped");
                else if (now > run.arrivedMs + bounds_.gangTimeoutMs)
                    finish(executor, task, "alone");
                continue;
            }
            const int64_t worked = now - run.workingSinceMs;
            const bool isDone = !run.lasts && run.doneBeforeMs + worked >= run.workMs;
            const int64_t saves = run.saves ? worked / bounds_.checkpointMs : 0;
            if (saves > 0)
                run.saved = checkpointOf(run, saves * bounds_.checkpointMs);
            if (isDone) {
                finish(executor, task, "done");
            } else if (run.stopMs && now >= *run.stopMs) {
                if (run.saves)
                    run.saved = checkpointOf(run, worked);
                finish(executor, task, "stopped");
            }
        }
        if (hasLapsed)
            executor.leaseUntilMs = 0;
    }
    // A checkpoint names the step and the work that it holds, and whose value it is.
    static std::string checkpointOf(const Run &run, int64_t workedMs)
    {
        return stepOf(run.task) + ":" + std::to_string(run.doneBeforeMs + workedMs) + ":"
                + run.task.substr(run.task.rfind('.') + 1);
    }

    // A gang begins to work once all members of one run are present, with the same checkpoint.
    void startGangs()
    {
        std::map<std::string, std::vector<Run *>> waiting;
        for (auto &executor : executors_) {
            for (auto &[task, run] : executor->running) {
                if (run.gangSize > 0 && run.workingSinceMs < 0 && !run.stopMs)
                    waiting[stepOf(task) + "#" + std::to_string(run.number) + "#" + run.startedWith]
                            .push_back(&run);
            }
        }
        for (auto &[key, members] : waiting) {
            if (static_cast<int64_t>(members.size()) < members.front()->gangSize)
                continue;
            const int64_t restore = members.front()->startedWith.empty() ? 0 : bounds_.restoreMs;
            for (Run *run : members)
                run->workingSinceMs = steadyMs() + restore;
        }
    }

    Response handle(Executor &executor, const Request &request)
    {
        if (request.path == "/-/run-start")
            sleepMs(bounds_.startDelayMs);
        std::unique_lock lock(mutex_);
        if (!executor.isUp) {
            const bool isSilent = executor.isSilent;
            lock.unlock();
            if (isSilent)
                sleepMs(60'000);
            return {};
        }
        advance(executor);
        const auto instance = request.headers.find("lovagedeal-expected-instance");
        if (instance != request.headers.end() && instance->second != executor.info.id)
            return jsonResponse(421, status(executor));
        try {
            const json::value body = json::parse(request.body);
            const auto *token = body.as_object().if_contains("fencing_token");
            const int64_t number = token ? token->to_number<int64_t>() : 0;
            if (number < executor.token)
                return refusal(executor, "fence");
            executor.token = number;
            if (request.path == "/-/run-start")
                return start(executor, body);
            if (request.path == "/-/run-stop")
                return stop(executor, body);
            if (request.path == "/-/hold")
                return hold(executor, body);
        } catch (const std::exception &) {
            return jsonResponse(400, status(executor));
        }
        return jsonResponse(404, status(executor));
    }

    void extendLease(Executor &executor, int64_t untilMs)
    {
        const int64_t until = std::min(untilMs, clockMs(executor) + bounds_.holdMaxMs);
        if (until > clockMs(executor))
            executor.leaseUntilMs = std::max(executor.leaseUntilMs, until);
    }

    Response start(Executor &executor, const json::value &body)
    {
        Run run;
        run.task = std::string(body.at("task").as_string());
        run.number = body.at("run").to_number<int64_t>();
        const int64_t untilMs = body.at("deadline_ms").to_number<int64_t>();
        const auto *checkpoint = body.as_object().if_contains("checkpoint");
        if (checkpoint)
            run.startedWith = std::string(checkpoint->as_string());
        run.saved = run.startedWith;
        const auto known = executor.running.find(run.task);
        if (known != executor.running.end() && known->second.number == run.number) {
            extendLease(executor, untilMs);
            return jsonResponse(200, status(executor));
        }
        if (untilMs <= clockMs(executor))
            return refusal(executor, "late");
        extendLease(executor, untilMs);
        const auto closed = executor.highestClosed.find(run.task);
        if (known != executor.running.end()
            || (closed != executor.highestClosed.end() && closed->second >= run.number))
            return refusal(executor, "old");
        const std::string step = stepOf(run.task);
        const json::value spec = json::parse(std::string_view(body.at("spec").as_string()));
        const json::object &work = spec.at("steps")
                                           .as_array()
                                           .at(std::stoul(step.substr(step.rfind('.') + 1)))
                                           .as_object();
        const auto field = [&](const char *name) {
            const auto *value = work.if_contains(name);
            return value && value->is_number() ? value->to_number<int64_t>() : 0;
        };
        run.workMs = field("ms");
        run.cpu = field("cpu");
        run.memoryMb = field("mem");
        run.gangSize = field("gang");
        run.saves = work.if_contains("saves") != nullptr;
        run.lasts = work.if_contains("lasts") != nullptr;
        int64_t cpu = run.cpu;
        int64_t memoryMb = run.memoryMb;
        for (const auto &[task, other] : executor.running) {
            cpu += other.cpu;
            memoryMb += other.memoryMb;
        }
        if (cpu > executor.info.cpu || memoryMb > executor.info.memoryMb)
            return refusal(executor, "room");
        if (!run.startedWith.empty()) {
            const size_t colon = run.startedWith.find(':');
            run.doneBeforeMs = std::stoll(run.startedWith.substr(colon + 1));
        }
        run.arrivedMs = steadyMs();
        if (run.gangSize == 0)
            run.workingSinceMs = run.arrivedMs + (run.startedWith.empty() ? 0 : bounds_.restoreMs);
        run.interval = intervals_.size();
        intervals_.push_back(
                {run.task, run.number, executor.info.id, run.startedWith, record_.seconds()});
        record_.line("executor %s started %s run %lld token %lld checkpoint=\"%s\"",
                     executor.info.id.c_str(), run.task.c_str(), static_cast<long long>(run.number),
                     static_cast<long long>(executor.token), run.startedWith.c_str());
        const std::string task = run.task;
        executor.running[task] = std::move(run);
        return jsonResponse(200, status(executor));
    }

    Response stop(Executor &executor, const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        const auto found = executor.running.find(task);
        if (found != executor.running.end() && found->second.number <= number
            && !found->second.stopMs) {
            std::uniform_int_distribution<int64_t> delay(1, bounds_.stopMs - 10);
            found->second.stopMs = steadyMs() + delay(random_);
            record_.line("executor %s told to stop %s run %lld", executor.info.id.c_str(),
                         task.c_str(), static_cast<long long>(number));
        }
        executor.highestClosed[task] = std::max(executor.highestClosed[task], number);
        return jsonResponse(200, status(executor));
    }

    // Called with the lock held; waits without it.
    Response hold(Executor &executor, const json::value &body)
    {
        const int64_t acked = body.at("acked_through").to_number<int64_t>();
        if (const auto *until = body.as_object().if_contains("deadline_ms"))
            extendLease(executor, until->to_number<int64_t>());
        const auto *wait = body.as_object().if_contains("wait_ms");
        const int64_t waitUntil = steadyMs() + (wait ? wait->to_number<int64_t>() : 0);
        std::erase_if(executor.finished, [&](const json::array &row) {
            const bool isAcked = row[0].to_number<int64_t>() <= acked;
            if (isAcked)
                record_.line("executor %s end of %s acknowledged", executor.info.id.c_str(),
                             row[1].as_string().c_str());
            return isAcked;
        });
        while (executor.finished.empty() && steadyMs() < waitUntil) {
            mutex_.unlock();
            sleepMs(2);
            mutex_.lock();
            if (!executor.isUp)
                return {};
        }
        json::object reply = status(executor);
        reply["born"] = executor.bornMs;
        json::array running;
        for (const auto &[task, run] : executor.running) {
            const int64_t worked = run.workingSinceMs < 0
                    ? 0
                    : std::max<int64_t>(0, steadyMs() - run.workingSinceMs);
            const int64_t percent = run.workMs > 0
                    ? std::min<int64_t>(100, (run.doneBeforeMs + worked) * 100 / run.workMs)
                    : 0;
            running.push_back(json::array {task, run.number, run.saved, percent, run.cpu});
        }
        json::array finished;
        for (size_t i = 0; i < std::min<size_t>(500, executor.finished.size()); ++i)
            finished.push_back(executor.finished[i]);
        reply["running"] = running;
        reply["finished"] = finished;
        return jsonResponse(200, reply);
    }

    Record &record_;
    Store &store_;
    std::string service_;
    Bounds bounds_;
    std::mutex mutex_;
    std::mt19937_64 random_ {std::random_device {}()};
    std::vector<std::unique_ptr<Executor>> executors_;
    std::vector<Interval> intervals_;
};

} // namespace review
