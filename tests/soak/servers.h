// A backend server that keeps all rules of the platform's pages: room, fencing tokens, leases, run
// numbers, ends that are listed until acknowledged. It tells the ledger what happens to it.
#pragma once

#include "ledger.h"

#include "../support/platform_standin.h"

#include <algorithm>

namespace lovage::soak {

namespace json = boost::json;

class Server
{
public:
    static constexpr int64_t longestLeaseMs = 1000;
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
        sweep();
    }

    uint16_t port() const { return server_->port(); }
    const std::string &id() const { return id_; }
    std::string entry(uint16_t proxyPort)
    {
        const std::lock_guard lock(mutex_);
        return fmt::format(
                R"({{"service":"s","address":"127.0.0.1:{}","zone":"{}","state":"ready",)"
                R"("capacity":{{"cpu":{},"mem_mb":1000,"gpu":0}},"labels":["r1"],"born":{}}})",
                proxyPort, zone_, milliCores, born_);
    }
    // The process ends and starts again: it runs and knows nothing.
    void restart()
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[task, run] : running_)
            ledger_.noteEnd(task, id_, false);
        running_.clear();
        ended_.clear();
        highest_.clear();
        nextEnd_ = 1;
        token_ = 0;
        leaseUntilMs_ = 0;
        born_ = std::max(born_ + 1, toUnixMillis(currentTime()));
    }

private:
    struct Run
    {
        int64_t number = 0;
        int64_t endsAtMs = 0;
        int64_t milliCores = 0;
    };
    struct End
    {
        int64_t number = 0;
        std::string task;
        int64_t run = 0;
        std::string how;
        bool hasLapsedSince = false;
    };

    static int64_t nowMs() { return toUnixMillis(currentTime()); }
    static json::value answer(int64_t born)
    {
        return json::object {{"clock_ms", nowMs()}, {"born", born}};
    }

    void sweep()
    {
        {
            const std::lock_guard lock(mutex_);
            advance();
        }
        threads_.postAfter(0, std::chrono::milliseconds(5), [this] { sweep(); });
    }

    void advance()
    {
        const bool hasLapsed = leaseUntilMs_ > 0 && nowMs() > leaseUntilMs_;
        for (auto run = running_.begin(); run != running_.end();) {
            const bool isDue = run->second.endsAtMs <= nowMs();
            if (!isDue && !hasLapsed) {
                ++run;
                continue;
            }
            end(run->first, run->second, isDue && !hasLapsed ? "done" : "lapsed");
            run = running_.erase(run);
        }
        if (!hasLapsed)
            return;
        leaseUntilMs_ = 0;
        for (End &end : ended_)
            end.hasLapsedSince = true;
    }

    void end(const std::string &task, const Run &run, const std::string &how)
    {
        ended_.push_back({nextEnd_++, task, run.number, how});
        highest_[task] = std::max(highest_[task], run.number);
        ledger_.noteEnd(task, id_, how == "done");
    }

    void handle(const HttpRequest &request, HttpServer::Reply reply)
    {
        const std::lock_guard lock(mutex_);
        advance();
        if (request.header("Lovagedeal-Expected-Instance") != id_) {
            reply(test::jsonResponse(421, answer(born_)));
            return;
        }
        const json::value body = json::parse(request.body);
        const int64_t token = body.at("fencing_token").to_number<int64_t>();
        if (token < token_) {
            reply(refusal("fence"));
            return;
        }
        token_ = token;
        if (const auto *lease = body.as_object().if_contains("deadline_ms"))
            extend(lease->to_number<int64_t>());
        if (request.path() == "/-/run-start")
            reply(start(body));
        else if (request.path() == "/-/run-stop")
            reply(stop(body));
        else
            look(body, std::move(reply));
    }

    void extend(int64_t untilMs)
    {
        const int64_t until = std::min(untilMs, nowMs() + longestLeaseMs);
        if (until > nowMs())
            leaseUntilMs_ = std::max(leaseUntilMs_, until);
    }

    HttpResponse refusal(const std::string &reason) const
    {
        json::object body = answer(born_).as_object();
        body["reason"] = reason;
        return test::jsonResponse(409, body);
    }

    // The payload holds the run time and the demand, as the order itself does not.
    HttpResponse start(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        const json::value spec = json::parse(std::string_view(body.at("spec").as_string()));
        const int64_t demand = spec.at("cpu").to_number<int64_t>();
        if (running_.contains(task) && running_[task].number == number)
            return test::jsonResponse(200, answer(born_));
        if (body.at("deadline_ms").to_number<int64_t>() <= nowMs())
            return refusal("late");
        if (running_.contains(task) || (highest_.contains(task) && highest_[task] >= number))
            return refusal("old");
        int64_t used = 0;
        for (const auto &[name, run] : running_)
            used += run.milliCores;
        if (used + demand > milliCores)
            return refusal("room");
        running_[task] = {number, nowMs() + spec.at("work_ms").to_number<int64_t>(), demand};
        ledger_.noteStart(task, static_cast<uint32_t>(number), id_);
        return test::jsonResponse(200, answer(born_));
    }

    HttpResponse stop(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number <= number) {
            end(task, found->second, "stopped");
            running_.erase(found);
        }
        highest_[task] = std::max(highest_[task], number);
        return test::jsonResponse(200, answer(born_));
    }

    void look(const json::value &body, HttpServer::Reply reply)
    {
        acknowledge(body.at("acked_through").to_number<int64_t>());
        const auto *wait = body.as_object().if_contains("wait_ms");
        waitForEnd(nowMs() + (wait ? wait->to_number<int64_t>() : 0), std::move(reply));
    }

    void acknowledge(int64_t through)
    {
        while (!ended_.empty() && ended_.front().number <= through) {
            const End &end = ended_.front();
            if (end.how == "done" && !end.hasLapsedSince)
                ledger_.noteAcknowledged(end.task, static_cast<uint32_t>(end.run));
            ended_.erase(ended_.begin());
        }
    }

    void waitForEnd(int64_t untilMs, HttpServer::Reply reply)
    {
        advance();
        if (ended_.empty() && nowMs() < untilMs) {
            threads_.postAfter(0, std::chrono::milliseconds(3),
                               [this, untilMs, reply = std::move(reply)]() mutable {
                                   const std::lock_guard lock(mutex_);
                                   waitForEnd(untilMs, std::move(reply));
                               });
            return;
        }
        json::object body = answer(born_).as_object();
        json::array running;
        for (const auto &[task, run] : running_)
            running.push_back(json::array {task, run.number, "", 50, 0});
        json::array ended;
        for (const End &end : ended_)
            ended.push_back(json::array {end.number, end.task, end.run, end.how, ""});
        body["running"] = running;
        body["finished"] = ended;
        reply(test::jsonResponse(200, body));
    }

    IoThreads &threads_;
    Ledger &ledger_;
    std::string id_;
    std::string zone_;
    std::mutex mutex_;
    std::map<std::string, Run> running_;
    std::vector<End> ended_;
    std::map<std::string, int64_t> highest_; // run that ended or was stopped, by task
    int64_t nextEnd_ = 1;
    int64_t token_ = 0;
    int64_t leaseUntilMs_ = 0; // 0: none
    int64_t born_ = toUnixMillis(currentTime());
    std::unique_ptr<HttpServer> server_;
};

} // namespace lovage::soak
