// A fake backend server that implements the platform's published protocol: capacity, fencing
// tokens, leases, run numbers, and finished runs that are reported until they are acknowledged. It
// records starts, ends and acknowledgements in the ledger.
#pragma once

#include "ledger.h"

#include "../support/platform_standin.h"

#include <algorithm>

namespace lovage::soak {

namespace json = boost::json;

class Server
{
public:
    static constexpr int64_t maxLeaseMs = 1000;
    static constexpr int64_t milliCores = 32000;

    Server(IoThreads &threads, Ledger &ledger, std::string id, std::string zone)
        : threads_(threads), ledger_(ledger), id_(std::move(id)), zone_(std::move(zone))
    {
        auto server =
                HttpServer::listen(threads, {"127.0.0.1", 0}, {},
                                   [this](const HttpRequest &request, HttpServer::Reply reply) {
                                       handle(request, std::move(reply));
                                   });
        server_ = std::move(server.value());
        advancePeriodically();
    }

    uint16_t port() const { return server_->port(); }
    const std::string &id() const { return id_; }
    std::string storeRecord(uint16_t proxyPort)
    {
        const std::lock_guard lock(mutex_);
        return fmt::format(
                R"({{"service":"s","address":"127.0.0.1:{}","zone":"{}","state":"ready",)"
                R"("capacity":{{"cpu":{},"mem_mb":1000,"gpu":0}},"labels":["r1"],"born":{}}})",
                proxyPort, zone_, milliCores, startedAtMs_);
    }
    // Simulates a restart of the server process: all runs and all state are lost, and the start
    // time that it reports is later than before.
    void restart()
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[task, run] : running_)
            ledger_.recordEnd(task, id_, false);
        running_.clear();
        finished_.clear();
        highestClosedRun_.clear();
        nextFinished_ = 1;
        fencingToken_ = 0;
        leaseUntilMs_ = 0;
        startedAtMs_ = std::max(startedAtMs_ + 1, toUnixMillis(currentTime()));
    }

private:
    struct Run
    {
        int64_t number = 0;
        int64_t endsAtMs = 0;
        int64_t milliCores = 0;
    };
    struct FinishedRun
    {
        int64_t number = 0; // sequence number, from 1
        std::string task;
        int64_t run = 0;
        std::string outcome;
        bool hasLeaseLapsedSince = false;
    };

    static int64_t nowMs() { return toUnixMillis(currentTime()); }
    static json::value commonFields(int64_t startedAtMs)
    {
        return json::object {{"clock_ms", nowMs()}, {"born", startedAtMs}};
    }

    void advancePeriodically()
    {
        {
            const std::lock_guard lock(mutex_);
            advance();
        }
        threads_.postAfter(0, std::chrono::milliseconds(5), [this] { advancePeriodically(); });
    }

    void advance()
    {
        const bool hasLeaseLapsed = leaseUntilMs_ > 0 && nowMs() > leaseUntilMs_;
        for (auto run = running_.begin(); run != running_.end();) {
            const bool isDue = run->second.endsAtMs <= nowMs();
            if (!isDue && !hasLeaseLapsed) {
                ++run;
                continue;
            }
            finish(run->first, run->second, isDue && !hasLeaseLapsed ? "done" : "lapsed");
            run = running_.erase(run);
        }
        if (!hasLeaseLapsed)
            return;
        leaseUntilMs_ = 0;
        for (FinishedRun &entry : finished_)
            entry.hasLeaseLapsedSince = true;
    }

    void finish(const std::string &task, const Run &run, const std::string &outcome)
    {
        finished_.push_back({nextFinished_++, task, run.number, outcome});
        highestClosedRun_[task] = std::max(highestClosedRun_[task], run.number);
        ledger_.recordEnd(task, id_, outcome == "done");
    }

    void handle(const HttpRequest &request, HttpServer::Reply reply)
    {
        const std::lock_guard lock(mutex_);
        advance();
        if (request.header("Lovagedeal-Expected-Instance") != id_) {
            reply(test::jsonResponse(421, commonFields(startedAtMs_)));
            return;
        }
        const json::value body = json::parse(request.body);
        const int64_t token = body.at("fencing_token").to_number<int64_t>();
        if (token < fencingToken_) {
            reply(refusal("fence"));
            return;
        }
        fencingToken_ = token;
        if (const auto *lease = body.as_object().if_contains("deadline_ms"))
            extendLease(lease->to_number<int64_t>());
        if (request.path() == "/-/run-start")
            reply(start(body));
        else if (request.path() == "/-/run-stop")
            reply(stop(body));
        else
            poll(body, std::move(reply));
    }

    void extendLease(int64_t untilMs)
    {
        const int64_t until = std::min(untilMs, nowMs() + maxLeaseMs);
        if (until > nowMs())
            leaseUntilMs_ = std::max(leaseUntilMs_, until);
    }

    HttpResponse refusal(const std::string &reason) const
    {
        json::object body = commonFields(startedAtMs_).as_object();
        body["reason"] = reason;
        return test::jsonResponse(409, body);
    }

    // The start request itself states neither run time nor demand; both are read from the spec of
    // the task.
    HttpResponse start(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        const json::value spec = json::parse(std::string_view(body.at("spec").as_string()));
        const int64_t demand = spec.at("cpu").to_number<int64_t>();
        if (running_.contains(task) && running_[task].number == number)
            return test::jsonResponse(200, commonFields(startedAtMs_));
        if (body.at("deadline_ms").to_number<int64_t>() <= nowMs())
            return refusal("late");
        if (running_.contains(task)
            || (highestClosedRun_.contains(task) && highestClosedRun_[task] >= number))
            return refusal("old");
        int64_t used = 0;
        for (const auto &[name, run] : running_)
            used += run.milliCores;
        if (used + demand > milliCores)
            return refusal("room");
        running_[task] = {number, nowMs() + spec.at("work_ms").to_number<int64_t>(), demand};
        ledger_.recordStart(task, static_cast<uint32_t>(number), id_);
        return test::jsonResponse(200, commonFields(startedAtMs_));
    }

    HttpResponse stop(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number <= number) {
            finish(task, found->second, "stopped");
            running_.erase(found);
        }
        highestClosedRun_[task] = std::max(highestClosedRun_[task], number);
        return test::jsonResponse(200, commonFields(startedAtMs_));
    }

    void poll(const json::value &body, HttpServer::Reply reply)
    {
        acknowledge(body.at("acked_through").to_number<int64_t>());
        const auto *wait = body.as_object().if_contains("wait_ms");
        replyWhenFinished(nowMs() + (wait ? wait->to_number<int64_t>() : 0), std::move(reply));
    }

    void acknowledge(int64_t lastNumber)
    {
        while (!finished_.empty() && finished_.front().number <= lastNumber) {
            const FinishedRun &entry = finished_.front();
            if (entry.outcome == "done" && !entry.hasLeaseLapsedSince)
                ledger_.recordAcknowledgement(entry.task, static_cast<uint32_t>(entry.run));
            finished_.erase(finished_.begin());
        }
    }

    void replyWhenFinished(int64_t untilMs, HttpServer::Reply reply)
    {
        advance();
        if (finished_.empty() && nowMs() < untilMs) {
            threads_.postAfter(0, std::chrono::milliseconds(3),
                               [this, untilMs, reply = std::move(reply)]() mutable {
                                   const std::lock_guard lock(mutex_);
                                   replyWhenFinished(untilMs, std::move(reply));
                               });
            return;
        }
        json::object body = commonFields(startedAtMs_).as_object();
        json::array running;
        for (const auto &[task, run] : running_)
            running.push_back(json::array {task, run.number, "", 50, 0});
        json::array finished;
        for (const FinishedRun &entry : finished_)
            finished.push_back(
                    json::array {entry.number, entry.task, entry.run, entry.outcome, ""});
        body["running"] = running;
        body["finished"] = finished;
        reply(test::jsonResponse(200, body));
    }

    IoThreads &threads_;
    Ledger &ledger_;
    std::string id_;
    std::string zone_;
    std::mutex mutex_;
    std::map<std::string, Run> running_;
    std::vector<FinishedRun> finished_;
    // The highest run of each task that ended or was stopped.
    std::map<std::string, int64_t> highestClosedRun_;
    int64_t nextFinished_ = 1;
    int64_t fencingToken_ = 0;
    int64_t leaseUntilMs_ = 0; // 0 without a lease
    int64_t startedAtMs_ = toUnixMillis(currentTime());
    std::unique_ptr<HttpServer> server_;
};

} // namespace lovage::soak
