// Fake of an executor of the users' platform for tests, served over HTTP on loopback.
#pragma once

#include "json_response.h"

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lovage::test {

// One executor. Every task takes the same time and the same share of the cores. Leases, capacity,
// fencing and run numbers are enforced. Where the protocol leaves a choice, the executor takes the
// one that is hardest on its callers: its clock starts at 0 and is as slow as allowed, a stop takes
// as long as it may, and only entries and lists of runs name the incarnation.
class FakeExecutor
{
public:
    static constexpr int64_t maxLeaseMs = 1000;
    static constexpr int64_t stopMs = 50;
    static constexpr size_t maxListedEnds = 500;
    static constexpr int64_t maxWaitMs = 2000;
    static constexpr double clockRate = 0.98;
    static constexpr int64_t capacityMilliCores = 32000;
    static constexpr int64_t taskMilliCores = 10000;

    // A run of a task. `end` is not set while it runs.
    struct Interval
    {
        std::string task;
        int64_t run = 0;
        Time start {};
        std::optional<Time> end {};
    };

    FakeExecutor(IoThreads &threads, std::string id, Duration taskTime)
        : threads_(threads), id_(std::move(id)), taskTime_(taskTime)
    {
        auto server =
                HttpServer::listen(threads, {"127.0.0.1", 0}, {},
                                   [this](const HttpRequest &request, HttpServer::Reply reply) {
                                       handle(request, std::move(reply));
                                   });
        server_ = std::move(server.value());
    }

    Endpoint endpoint() const { return {"127.0.0.1", server_->port()}; }
    std::string entry(const std::string &service, const std::string &zone) const
    {
        const std::lock_guard lock(mutex_);
        return fmt::format(
                R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}","state":"ready",)"
                R"("capacity":{{"cpu":{},"mem_mb":1000,"gpu":0}},"labels":[],"born":{}}})",
                service, server_->port(), zone, capacityMilliCores, bornMs_);
    }
    std::map<std::string, int> starts()
    {
        const std::lock_guard lock(mutex_);
        return starts_;
    }
    size_t stops()
    {
        const std::lock_guard lock(mutex_);
        return stops_;
    }
    std::vector<Interval> intervals()
    {
        const std::lock_guard lock(mutex_);
        endDueRuns();
        return intervals_;
    }
    // Starts the executor again under its id. It then knows nothing of before.
    void restart()
    {
        const std::lock_guard lock(mutex_);
        endDueRuns();
        for (const auto &[key, run] : running_)
            intervals_[run.interval].end = currentTime();
        running_.clear();
        ended_.clear();
        highestClosed_.clear();
        nextEnd_ = 1;
        token_ = 0;
        leaseUntilMs_ = 0;
        startedAt_ = currentTime();
        bornMs_ = std::max(bornMs_ + 1, toUnixMillis(startedAt_));
    }
    void setTaskTime(Duration taskTime)
    {
        const std::lock_guard lock(mutex_);
        taskTime_ = taskTime;
    }
    // Sets whether orders are executed without being answered.
    void loseAnswers(bool areLost)
    {
        const std::lock_guard lock(mutex_);
        areAnswersLost_ = areLost;
    }

private:
    struct Run
    {
        int64_t endsAtMs = 0;
        std::optional<int64_t> stoppedAtMs {};
        size_t interval = 0; // index in intervals_
    };
    using RunKey = std::pair<std::string, int64_t>; // task and run

    int64_t clockMs() const
    {
        const auto elapsed = std::chrono::duration<double, std::milli>(currentTime() - startedAt_);
        return static_cast<int64_t>(elapsed.count() * clockRate);
    }

    void handle(const HttpRequest &request, HttpServer::Reply reply)
    {
        const std::lock_guard lock(mutex_);
        endDueRuns();
        if (request.header("Lovagedeal-Expected-Instance") != id_) {
            answer(reply, jsonResponse(421, statusFields()));
            return;
        }
        try {
            execute(request.path(), json::parse(request.body), reply);
        } catch (const std::exception &) {
            answer(reply, jsonResponse(400, statusFields()));
        }
    }

    void execute(std::string_view path, const json::value &body, const HttpServer::Reply &reply)
    {
        const auto *token = body.as_object().if_contains("fencing_token");
        const int64_t number = token ? token->as_int64() : 0;
        if (number < token_) {
            answer(reply, refusal("fence"));
            return;
        }
        token_ = number;
        if (path == "/-/run-start")
            answer(reply, start(body));
        else if (path == "/-/run-stop")
            answer(reply, stop(body));
        else if (path == "/-/hold")
            hold(body, reply);
        else
            answer(reply, jsonResponse(404, statusFields()));
    }

    HttpResponse start(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").as_int64();
        const int64_t leaseUntilMs = body.at("deadline_ms").as_int64();
        body.at("spec").as_string();
        const auto found = running_.find({task, number});
        const bool isRunning = found != running_.end() && !found->second.stoppedAtMs;
        if (!isRunning && leaseUntilMs <= clockMs())
            return refusal("late");
        extendLease(leaseUntilMs);
        if (isRunning)
            return jsonResponse(200, statusFields());
        if (isClosed(task, number))
            return refusal("old");
        const auto used = taskMilliCores * static_cast<int64_t>(running_.size());
        if (used + taskMilliCores > capacityMilliCores)
            return refusal("room");
        ++starts_[task];
        const int64_t taskMs =
                std::chrono::duration_cast<std::chrono::milliseconds>(taskTime_).count();
        running_[{task, number}] = {clockMs() + taskMs, std::nullopt, intervals_.size()};
        intervals_.push_back({task, number, currentTime()});
        return jsonResponse(200, statusFields());
    }

    // A run is not started if it, or a later one of its task, has ended, is stopped or runs.
    bool isClosed(const std::string &task, int64_t number) const
    {
        const auto closed = highestClosed_.find(task);
        if (closed != highestClosed_.end() && number <= closed->second)
            return true;
        const auto next = running_.lower_bound({task, number});
        return next != running_.end() && next->first.first == task;
    }

    HttpResponse stop(const json::value &body)
    {
        ++stops_;
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").as_int64();
        const auto found = running_.find({task, number});
        if (found != running_.end() && !found->second.stoppedAtMs)
            found->second.stoppedAtMs = clockMs() + stopMs;
        close(task, number);
        return jsonResponse(200, statusFields());
    }

    void hold(const json::value &body, const HttpServer::Reply &reply)
    {
        const json::object &fields = body.as_object();
        const int64_t ackedThrough = fields.at("acked_through").as_int64();
        const auto *lease = fields.if_contains("deadline_ms");
        const auto *wait = fields.if_contains("wait_ms");
        const int64_t waitMs = wait ? wait->as_int64() : 0;
        if (waitMs < 0 || waitMs > maxWaitMs)
            throw std::out_of_range("wait_ms");
        if (lease)
            extendLease(lease->as_int64());
        std::erase_if(ended_,
                      [&](const json::array &row) { return row[0].as_int64() <= ackedThrough; });
        replyWhenRunEnds(currentTime() + std::chrono::milliseconds(waitMs), reply);
    }

    void extendLease(int64_t untilMs)
    {
        leaseUntilMs_ = std::max(leaseUntilMs_, std::min(untilMs, clockMs() + maxLeaseMs));
    }

    void close(const std::string &task, int64_t number)
    {
        highestClosed_[task] = std::max(highestClosed_[task], number);
    }

    json::object statusFields() const { return {{"clock_ms", clockMs()}}; }

    HttpResponse refusal(const std::string &reason) const
    {
        json::object body = statusFields();
        body["reason"] = reason;
        return jsonResponse(409, body);
    }

    void answer(const HttpServer::Reply &reply, const HttpResponse &response)
    {
        if (areAnswersLost_)
            unanswered_.push_back(reply);
        else
            reply(response);
    }

    // Ends each run by whatever came first: its end, the end of its stop, or the end of the lease.
    void endDueRuns()
    {
        for (auto run = running_.begin(); run != running_.end();) {
            const int64_t stoppedAtMs = run->second.stoppedAtMs.value_or(INT64_MAX);
            const int64_t endMs = std::min({run->second.endsAtMs, stoppedAtMs, leaseUntilMs_});
            if (endMs > clockMs()) {
                ++run;
                continue;
            }
            const char *how = endMs == run->second.endsAtMs ? "done"
                    : endMs == stoppedAtMs                  ? "stopped"
                                                            : "lapsed";
            const auto &[task, number] = run->first;
            const auto endedAfter = std::chrono::duration<double, std::milli>(
                    static_cast<double>(endMs) / clockRate);
            intervals_[run->second.interval].end =
                    startedAt_ + std::chrono::duration_cast<Duration>(endedAfter);
            ended_.push_back({nextEnd_++, task, number, how, ""});
            close(task, number);
            run = running_.erase(run);
        }
    }

    void replyWhenRunEnds(Time until, const HttpServer::Reply &reply)
    {
        endDueRuns();
        if (ended_.empty() && currentTime() < until) {
            threads_.postAfter(0, std::chrono::milliseconds(2), [this, until, reply] {
                const std::lock_guard lock(mutex_);
                replyWhenRunEnds(until, reply);
            });
            return;
        }
        json::object body = statusFields();
        body["born"] = bornMs_;
        json::array running;
        for (const auto &[key, run] : running_)
            running.push_back(json::array {key.first, key.second, "", 50, 0});
        body["running"] = running;
        json::array ended;
        for (size_t i = 0; i < std::min(ended_.size(), maxListedEnds); ++i)
            ended.push_back(ended_[i]);
        body["finished"] = ended;
        answer(reply, jsonResponse(200, body));
    }

    IoThreads &threads_;
    std::string id_;
    Duration taskTime_;
    mutable std::mutex mutex_;
    std::map<std::string, int> starts_;
    std::map<RunKey, Run> running_;
    std::vector<Interval> intervals_;
    std::map<std::string, int64_t> highestClosed_; // run that was ended or stopped, by task
    std::vector<json::array> ended_;
    std::vector<HttpServer::Reply> unanswered_;
    int64_t nextEnd_ = 1;
    int64_t token_ = 0;
    int64_t leaseUntilMs_ = 0;
    Time startedAt_ = currentTime();
    int64_t bornMs_ = toUnixMillis(startedAt_);
    size_t stops_ = 0;
    bool areAnswersLost_ = false;
    std::unique_ptr<HttpServer> server_;
};

} // namespace lovage::test
