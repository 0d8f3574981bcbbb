// A fake backend server that implements the platform's published protocol, and is as unhelpful as
// the protocol allows: only its entry and its lists of runs name its incarnation, its clock begins
// anew with each incarnation and may be slow, and a stopped run goes on for a while. It records
// starts, ends and acknowledgements in the ledger.
#pragma once

#include "call_faults.h"
#include "ledger.h"
#include "server_clock.h"
#include "server_log.h"

#include "../support/platform_standin.h"

#include <algorithm>
#include <optional>

namespace lovage::soak {

namespace json = boost::json;

class Server
{
public:
    static constexpr int64_t maxLeaseMs = 1000;
    static constexpr int64_t maxStopMs = 50;
    static constexpr size_t maxListedEnds = 500;
    static constexpr int64_t milliCores = 32000;

    Server(IoThreads &threads, Ledger &ledger, ServerLog &log, std::string id, std::string zone,
           uint64_t seed)
        : threads_(threads), ledger_(ledger), log_(log), id_(std::move(id)), zone_(std::move(zone)),
          random_(seed)
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
    bool isUp()
    {
        const std::lock_guard lock(mutex_);
        return isUp_;
    }
    // Returns the server's report about itself. Each one has the next sequence number.
    json::object storeRecord(uint16_t proxyPort)
    {
        const std::lock_guard lock(mutex_);
        return {{"service", "s"},
                {"address", fmt::format("127.0.0.1:{}", proxyPort)},
                {"zone", zone_},
                {"version", "1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"capacity", {{"cpu", milliCores}, {"mem_mb", 1000}, {"gpu", 0}}},
                {"labels", json::array {"r1"}},
                {"born", startedAtMs_},
                {"seq", nextSequence_++}};
    }

    void addFault(CallFate fate)
    {
        const std::lock_guard lock(mutex_);
        callFaults_.add(fate);
    }
    void removeFault(CallFate fate)
    {
        const std::lock_guard lock(mutex_);
        callFaults_.remove(fate);
    }

    // Simulates the loss of the server process: all runs and all state are lost. Calls are answered
    // neither now nor until boot(); their connections are closed, or stay open if the server is
    // silent.
    void crash(bool isSilent)
    {
        const std::lock_guard lock(mutex_);
        isUp_ = false;
        isSilent_ = isSilent;
        for (const auto &[task, run] : running_)
            ledger_.recordEnd(task, id_, false);
        log_.add(id_, "server-crashed",
                 fmt::format("born={} runs={} ends={} silent={}", startedAtMs_, running_.size(),
                             finished_.size(), isSilent));
        running_.clear();
    }
    // Starts the next incarnation. The start time that it reports is later than before, unless the
    // server's wall clock was set back.
    void boot(bool isClockSetBack)
    {
        const std::lock_guard lock(mutex_);
        if (isUp_)
            return;
        finished_.clear();
        highestClosedRun_.clear();
        nextFinished_ = 1;
        nextSequence_ = 1;
        fencingToken_ = 0;
        leaseUntilMs_ = 0;
        clock_ = ServerClock(random_.unit() * ServerClock::maxSlowness);
        startedAtMs_ = isClockSetBack
                ? startedAtMs_ - 1 - static_cast<int64_t>(random_.below(maxClockStepMs))
                : std::max(startedAtMs_ + 1, nowMs());
        isUp_ = true;
        log_.add(id_, "server-started", fmt::format("born={}", startedAtMs_));
    }

private:
    struct Run
    {
        int64_t number = 0;
        int64_t endsAtMs = 0;
        int64_t milliCores = 0;
        std::optional<int64_t> stopsAtMs; // once it was ordered to stop
    };
    struct FinishedRun
    {
        int64_t number = 0; // sequence number, from 1
        std::string task;
        int64_t run = 0;
        std::string outcome;
        bool hasLeaseLapsedSince = false;
    };
    struct Call
    {
        std::string path;
        std::string body;
        bool isForThisServer = false;
        int64_t arrivedAtBorn = 0; // incarnation at the time of the call, for the log
    };

    static constexpr int64_t advanceIntervalMs = 5;
    static constexpr uint64_t maxClockStepMs = 5000;
    // Time for which a connection stays open on which nothing is answered.
    static constexpr std::chrono::seconds silenceTime {6};

    static int64_t nowMs() { return toUnixMillis(currentTime()); }
    json::object statusFields() const { return {{"clock_ms", clock_.millis()}}; }

    void advancePeriodically()
    {
        {
            const std::lock_guard lock(mutex_);
            advance();
        }
        threads_.postAfter(0, std::chrono::milliseconds(advanceIntervalMs),
                           [this] { advancePeriodically(); });
    }

    void advance()
    {
        const bool hasLeaseLapsed = leaseUntilMs_ > 0 && clock_.millis() > leaseUntilMs_;
        for (auto run = running_.begin(); run != running_.end();) {
            const auto outcome = outcomeOf(run->second, hasLeaseLapsed);
            if (!outcome) {
                ++run;
                continue;
            }
            finish(run->first, run->second, *outcome);
            run = running_.erase(run);
        }
        if (!hasLeaseLapsed)
            return;
        leaseUntilMs_ = 0;
        for (FinishedRun &entry : finished_)
            entry.hasLeaseLapsedSince = true;
    }
    // Returns how the run ends now; nullopt if it goes on. A run that was ordered to stop may still
    // succeed.
    static std::optional<std::string> outcomeOf(const Run &run, bool hasLeaseLapsed)
    {
        if (hasLeaseLapsed)
            return "lapsed";
        if (run.endsAtMs <= nowMs())
            return "done";
        if (run.stopsAtMs && *run.stopsAtMs <= nowMs())
            return "stopped";
        return std::nullopt;
    }

    void finish(const std::string &task, const Run &run, const std::string &outcome)
    {
        log_.addRun(id_, "run-ended", task, run.number,
                    fmt::format("end={} number={} born={}", outcome, nextFinished_, startedAtMs_));
        finished_.push_back({nextFinished_++, task, run.number, outcome});
        highestClosedRun_[task] = std::max(highestClosedRun_[task], run.number);
        ledger_.recordEnd(task, id_, outcome == "done");
    }

    void handle(const HttpRequest &request, HttpServer::Reply reply)
    {
        const std::lock_guard lock(mutex_);
        if (!isUp_) {
            leaveUnanswered(std::move(reply));
            return;
        }
        const Call call {std::string(request.path()), request.body,
                         request.header("Lovagedeal-Expected-Instance") == id_, startedAtMs_};
        switch (callFaults_.choose(random_)) {
        case CallFate::Rejected:
            if (call.path != "/-/run-start")
                break;
            reply(test::jsonResponse(random_.unit() < 0.5 ? 429 : 503, statusFields()));
            return;
        case CallFate::ExecutedLate:
            threads_.postAfter(0, CallFaults::executionDelay(random_),
                               [this, call] { executeLate(call); });
            keepOpen(std::move(reply));
            return;
        case CallFate::AnswerLost:
            execute(call, [](const HttpResponse &) {});
            keepOpen(std::move(reply));
            return;
        case CallFate::AnsweredLate:
            reply = [this, reply = std::move(reply)](HttpResponse response) {
                threads_.postAfter(0, CallFaults::answerDelay(random_),
                                   [reply, response = std::move(response)] { reply(response); });
            };
            break;
        case CallFate::Answered:
            break;
        }
        execute(call, std::move(reply));
    }

    void executeLate(const Call &call)
    {
        const std::lock_guard lock(mutex_);
        if (!isUp_)
            return;
        log_.add(id_, "call-executed-late",
                 fmt::format("path={} sent_to_born={} born={} body={}", call.path,
                             call.arrivedAtBorn, startedAtMs_, call.body));
        execute(call, [](const HttpResponse &) {});
    }

    // Destroying the reply closes the connection.
    void leaveUnanswered(HttpServer::Reply reply)
    {
        if (isSilent_)
            keepOpen(std::move(reply));
    }
    void keepOpen(HttpServer::Reply reply)
    {
        threads_.postAfter(0, silenceTime, [reply = std::move(reply)] {});
    }

    void execute(const Call &call, HttpServer::Reply reply)
    {
        advance();
        if (!call.isForThisServer) {
            reply(test::jsonResponse(421, statusFields()));
            return;
        }
        const json::value body = json::parse(call.body);
        const int64_t token = body.at("fencing_token").to_number<int64_t>();
        if (token < fencingToken_) {
            reply(refusal("fence"));
            return;
        }
        fencingToken_ = token;
        if (const auto *lease = body.as_object().if_contains("deadline_ms"))
            extendLease(lease->to_number<int64_t>());
        if (call.path == "/-/run-start")
            reply(start(body));
        else if (call.path == "/-/run-stop")
            reply(stop(body));
        else
            poll(body, std::move(reply));
    }

    void extendLease(int64_t untilMs)
    {
        const int64_t until = std::min(untilMs, clock_.millis() + maxLeaseMs);
        if (until > clock_.millis())
            leaseUntilMs_ = std::max(leaseUntilMs_, until);
    }

    HttpResponse refusal(const std::string &reason) const
    {
        json::object body = statusFields();
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
            return test::jsonResponse(200, statusFields());
        if (body.at("deadline_ms").to_number<int64_t>() <= clock_.millis())
            return refusal("late");
        if (running_.contains(task)
            || (highestClosedRun_.contains(task) && highestClosedRun_[task] >= number))
            return refusal("old");
        int64_t used = 0;
        for (const auto &[name, run] : running_)
            used += run.milliCores;
        if (used + demand > milliCores)
            return refusal("room");
        running_[task] = {number, nowMs() + spec.at("work_ms").to_number<int64_t>(), demand, {}};
        log_.addRun(id_, "run-started", task, number, fmt::format("born={}", startedAtMs_));
        ledger_.recordStart(task, static_cast<uint32_t>(number), id_);
        return test::jsonResponse(200, statusFields());
    }

    // The run goes on, and takes room, until it has stopped.
    HttpResponse stop(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        log_.addRun(id_, "stop-executed", task, number, fmt::format("born={}", startedAtMs_));
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number <= number && !found->second.stopsAtMs)
            found->second.stopsAtMs = nowMs()
                    + static_cast<int64_t>(random_.below(maxStopMs - advanceIntervalMs + 1));
        highestClosedRun_[task] = std::max(highestClosedRun_[task], number);
        return test::jsonResponse(200, statusFields());
    }

    void poll(const json::value &body, HttpServer::Reply reply)
    {
        acknowledge(body.at("acked_through").to_number<int64_t>());
        const auto *wait = body.as_object().if_contains("wait_ms");
        replyWhenFinished(startedAtMs_, nowMs() + (wait ? wait->to_number<int64_t>() : 0),
                          std::move(reply));
    }

    // The number may be meant for the ends of an earlier incarnation.
    void acknowledge(int64_t lastNumber)
    {
        while (!finished_.empty() && finished_.front().number <= lastNumber) {
            const FinishedRun &entry = finished_.front();
            log_.addRun(id_, "end-acknowledged", entry.task, entry.run,
                        fmt::format("number={} through={} lapsed={}", entry.number, lastNumber,
                                    entry.hasLeaseLapsedSince));
            if (entry.outcome == "done" && !entry.hasLeaseLapsedSince)
                ledger_.recordAcknowledgement(entry.task, static_cast<uint32_t>(entry.run));
            finished_.erase(finished_.begin());
        }
    }

    // The process that received the poll answers it, or none.
    void replyWhenFinished(int64_t born, int64_t untilMs, HttpServer::Reply reply)
    {
        if (!isUp_ || born != startedAtMs_) {
            leaveUnanswered(std::move(reply));
            return;
        }
        advance();
        if (finished_.empty() && nowMs() < untilMs) {
            threads_.postAfter(0, std::chrono::milliseconds(3),
                               [this, born, untilMs, reply = std::move(reply)]() mutable {
                                   const std::lock_guard lock(mutex_);
                                   replyWhenFinished(born, untilMs, std::move(reply));
                               });
            return;
        }
        reply(test::jsonResponse(200, listsOfRuns()));
    }
    json::object listsOfRuns() const
    {
        json::array running;
        for (const auto &[task, run] : running_)
            running.push_back(json::array {task, run.number, "", 50, 0});
        json::array finished;
        for (const FinishedRun &entry : finished_) {
            if (finished.size() == maxListedEnds)
                break;
            finished.push_back(
                    json::array {entry.number, entry.task, entry.run, entry.outcome, ""});
        }
        json::object body = statusFields();
        body["born"] = startedAtMs_;
        body["running"] = running;
        body["finished"] = finished;
        return body;
    }

    IoThreads &threads_;
    Ledger &ledger_;
    ServerLog &log_;
    std::string id_;
    std::string zone_;
    std::mutex mutex_;
    Random random_;
    CallFaults callFaults_;
    bool isUp_ = true;
    bool isSilent_ = false; // whether unanswered connections stay open
    std::map<std::string, Run> running_;
    std::vector<FinishedRun> finished_;
    // The highest run of each task that ended or was stopped.
    std::map<std::string, int64_t> highestClosedRun_;
    int64_t nextFinished_ = 1;
    int64_t nextSequence_ = 1;
    int64_t fencingToken_ = 0;
    int64_t leaseUntilMs_ = 0; // on the server's clock; 0 without a lease
    ServerClock clock_ {0};
    int64_t startedAtMs_ = toUnixMillis(currentTime());
    std::unique_ptr<HttpServer> server_;
};

} // namespace lovage::soak
