// Executors that follow the published protocol. They share one registry, in which the members of a
// gang find each other, and which notes each run of each task.
//
// A start names neither the demand nor the duration of its task, so both are in the spec of the
// job: {"cpu":N,"mem_mb":N,"work_ms":N,"gang":N}.
#pragma once

#include "../../tests/support/json_response.h"
#include "record.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace lovage::review {

namespace json = boost::json;

constexpr int64_t holdMaxMs = 1000;
constexpr int64_t stopMs = 50;
constexpr int64_t gangTimeoutMs = 3000;
constexpr int64_t checkpointMs = 500;

inline int64_t nowMs()
{
    return toUnixMillis(currentTime());
}

struct ActiveRun
{
    std::string task;
    int64_t number = 0;
    int64_t cpu = 0;
    int64_t memMb = 0;
    int64_t workMs = 0;
    int64_t gang = 0; // number of members; 0: no gang
    bool hasCheckpoints = false;
    bool isLasting = false;     // runs until it is stopped
    std::string checkpoint;     // latest value
    int64_t resumedFromMs = 0;  // work that the checkpoint of the start holds
    int64_t arrivedAtMs = 0;    // time of the start
    int64_t workingSinceMs = 0; // 0: waits for the other members of its gang
    std::optional<int64_t> stopsAtMs;

    int64_t doneMs() const
    {
        return resumedFromMs + (workingSinceMs > 0 ? nowMs() - workingSinceMs : 0);
    }
};

struct RunNote
{
    std::string executor;
    int64_t run = 0;
    int64_t startedAtMs = 0;
    int64_t endedAtMs = 0; // 0: runs
    std::string how;
    bool isNoted = false; // whether an end `done` was taken note of
};

// All runs of all executors. Used under the mutex of the executors.
struct Registry
{
    explicit Registry(Record &log) : record(log) { }

    void onStart(const std::string &task, int64_t run, const std::string &executor)
    {
        std::vector<RunNote> &notes = runs[task];
        for (const RunNote &note : notes) {
            if (note.endedAtMs == 0)
                record.addViolation(fmt::format(
                        "TWICE: {} run {} starts on {} while run {} is at work on {} since {} ms",
                        task, run, executor, note.run, note.executor, nowMs() - note.startedAtMs));
            else if (note.how == "done" && note.isNoted)
                record.addViolation(
                        fmt::format("TWICE: {} run {} starts on {} after run {} has ended done",
                                    task, run, executor, note.run));
        }
        notes.push_back({executor, run, nowMs(), 0, {}, false});
    }
    void onEnd(const std::string &task, int64_t run, const std::string &executor,
               const std::string &how)
    {
        for (RunNote &note : runs[task]) {
            if (note.executor == executor && note.run == run && note.endedAtMs == 0) {
                note.endedAtMs = nowMs();
                note.how = how;
            }
        }
    }
    void onNoted(const std::string &task, int64_t run, const std::string &executor)
    {
        for (RunNote &note : runs[task]) {
            if (note.executor == executor && note.run == run)
                note.isNoted = true;
        }
    }

    std::recursive_mutex mutex;
    Record &record;
    std::map<std::string, std::vector<RunNote>> runs;
    // Members of a run of a gang that are present, by "ID.K.STEP/run".
    std::map<std::string, std::vector<ActiveRun *>> gangs;
};

class Executor
{
public:
    struct Info
    {
        std::string id;
        std::string zone;
        std::string kind;
        int64_t cpu = 32000;
        int64_t memMb = 64000;
    };

    Executor(IoThreads &threads, Registry &registry, Info info)
        : threads_(threads), registry_(registry), info_(std::move(info))
    {
        server_ = std::move(
                HttpServer::listen(threads, {"127.0.0.1", 0}, {},
                                   [this](const HttpRequest &request, HttpServer::Reply reply) {
                                       handle(request, std::move(reply));
                                   })
                        .value());
        advancePeriodically();
    }

    const Info &info() const { return info_; }
    bool isUp() const { return isUp_; }

    // Returns the entry of the executor in the platform's store.
    std::string entry()
    {
        const std::lock_guard lock(registry_.mutex);
        return json::serialize(json::object {
                {"service", "s"},
                {"address", fmt::format("127.0.0.1:{}", server_->port())},
                {"zone", info_.zone},
                {"version", "1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_left_ms", 0},
                {"capacity", {{"cpu", info_.cpu}, {"mem_mb", info_.memMb}, {"gpu", 0}}},
                {"labels", json::array {json::string(info_.kind), "r1-1"}},
                {"born", bornMs_},
                {"seq", nextSequence_++}});
    }

    // Ends the process: everything that runs is lost, and open connections are closed.
    void crash()
    {
        const std::lock_guard lock(registry_.mutex);
        registry_.record.add(
                fmt::format("executor {} crashes with {} runs", info_.id, running_.size()));
        isUp_ = false;
        while (!running_.empty())
            end(std::string(running_.begin()->first), "crashed");
        finished_.clear();
        highestClosed_.clear();
    }
    void restart()
    {
        const std::lock_guard lock(registry_.mutex);
        bornMs_ = nowMs();
        nextEnd_ = 1;
        nextSequence_ = 1;
        token_ = 0;
        leaseUntilMs_ = 0;
        isUp_ = true;
        registry_.record.add(fmt::format("executor {} starts again", info_.id));
    }

    // Sets the share, in thousandths, of the starts and stops that get no answer and are carried
    // out 2 to 12 s later.
    void setLateShare(uint32_t thousandths)
    {
        const std::lock_guard lock(registry_.mutex);
        lateShare_ = thousandths;
    }

    // Cuts the executor off from all VMs: their calls get no answer. Its runs go on.
    void setCut(bool isCut)
    {
        const std::lock_guard lock(registry_.mutex);
        registry_.record.add(fmt::format("executor {} is {}", info_.id,
                                         isCut ? "cut off from the VMs" : "reachable again"));
        isCut_ = isCut;
        if (!isCut)
            unanswered_.clear();
    }

    int64_t freeCpu()
    {
        const std::lock_guard lock(registry_.mutex);
        int64_t free = info_.cpu;
        for (const auto &[task, run] : running_)
            free -= run->cpu;
        return free;
    }

private:
    struct Finished
    {
        int64_t number = 0;
        std::string task;
        int64_t run = 0;
        std::string how;
        std::string saved;
        bool hasLapsedSince = false;
    };

    int64_t clockMs() const { return nowMs() - bornMs_; }

    void advancePeriodically()
    {
        {
            const std::lock_guard lock(registry_.mutex);
            advance();
        }
        threads_.postAfter(0, std::chrono::milliseconds(3), [this] { advancePeriodically(); });
    }

    static std::string gangKey(const ActiveRun &run)
    {
        return run.task.substr(0, run.task.rfind('.')) + "/" + std::to_string(run.number);
    }

    void advance()
    {
        if (!isUp_)
            return;
        const bool hasLapsed = leaseUntilMs_ > 0 && clockMs() > leaseUntilMs_;
        std::vector<std::pair<std::string, std::string>> ends;
        for (auto &[task, run] : running_) {
            if (run->gang > 0 && run->workingSinceMs == 0)
                joinGang(*run);
            const int64_t done = run->doneMs();
            if (run->hasCheckpoints && run->workingSinceMs > 0
                && done / checkpointMs > run->resumedFromMs / checkpointMs)
                run->checkpoint = fmt::format("w{}", done / checkpointMs * checkpointMs);
            if (hasLapsed)
                ends.emplace_back(task, "lapsed");
            else if (!run->isLasting && run->workingSinceMs > 0 && done >= run->workMs)
                ends.emplace_back(task, "done");
            else if (run->stopsAtMs && nowMs() >= *run->stopsAtMs)
                ends.emplace_back(task, "stopped");
            else if (run->gang > 0 && run->workingSinceMs == 0
                     && nowMs() >= run->arrivedAtMs + gangTimeoutMs)
                ends.emplace_back(task, "alone");
        }
        for (const auto &[task, how] : ends)
            end(task, how);
        if (hasLapsed) {
            leaseUntilMs_ = 0;
            for (Finished &finished : finished_)
                finished.hasLapsedSince = true;
        }
    }

    // The members of a gang start to work when all of them are present with the same checkpoint.
    void joinGang(const ActiveRun &run)
    {
        const auto &members = registry_.gangs[gangKey(run)];
        if (static_cast<int64_t>(members.size()) < run.gang)
            return;
        const bool isSame =
                std::all_of(members.begin(), members.end(), [&](const ActiveRun *other) {
                    return other->checkpoint == run.checkpoint;
                });
        if (!isSame)
            return;
        for (ActiveRun *member : members)
            member->workingSinceMs = nowMs();
        registry_.record.add(fmt::format("gang {} works, {} members, checkpoint '{}'", gangKey(run),
                                         members.size(), run.checkpoint));
    }

    void end(std::string task, const std::string &how)
    {
        const auto found = running_.find(task);
        if (found == running_.end())
            return;
        const std::unique_ptr<ActiveRun> run = std::move(found->second);
        running_.erase(found);
        const ScopeGuard forget([&run] { owners().erase(run.get()); });
        highestClosed_[task] = std::max(highestClosed_[task], run->number);
        // A stop produces a new checkpoint.
        if (run->hasCheckpoints && run->workingSinceMs > 0 && how == "stopped")
            run->checkpoint = fmt::format("w{}", run->doneMs());
        registry_.onEnd(task, run->number, info_.id, how);
        registry_.record.add(fmt::format("executor {} ends {} run {} {} saved='{}' after {} ms",
                                         info_.id, task, run->number, how, run->checkpoint,
                                         nowMs() - run->arrivedAtMs));
        if (how != "crashed")
            finished_.push_back({nextEnd_++, task, run->number, how, run->checkpoint});
        if (run->gang > 0)
            endGang(*run, how);
    }

    // The end of a working member ends the others: as done with it, or as broken.
    void endGang(const ActiveRun &run, const std::string &how)
    {
        auto &members = registry_.gangs[gangKey(run)];
        std::erase_if(members, [&](const ActiveRun *member) { return member == &run; });
        if (run.workingSinceMs == 0)
            return;
        std::vector<std::pair<Executor *, std::string>> others;
        for (const ActiveRun *member : std::exchange(members, {}))
            others.emplace_back(owners().at(member), member->task);
        for (const auto &[executor, task] : others)
            executor->end(task, how == "done" ? "done" : "broken");
    }

    static std::map<const ActiveRun *, Executor *> &owners()
    {
        static std::map<const ActiveRun *, Executor *> owners;
        return owners;
    }

    void handle(const HttpRequest &request, HttpServer::Reply reply)
    {
        const std::lock_guard lock(registry_.mutex);
        if (isCut_) {
            unanswered_.push_back(std::move(reply));
            return;
        }
        if (!isUp_)
            return; // the connection is closed
        if (request.path() != "/-/hold" && random_() % 1000 < lateShare_) {
            unanswered_.push_back(std::move(reply));
            threads_.postAfter(0, std::chrono::milliseconds(2000 + random_() % 10000),
                               [this, request] { carryOutLate(request); });
            return;
        }
        carryOut(request, std::move(reply));
    }

    void carryOutLate(const HttpRequest &request)
    {
        const std::lock_guard lock(registry_.mutex);
        if (!isUp_)
            return;
        const int64_t ends = nextEnd_;
        const size_t runs = running_.size();
        carryOut(request, [](const HttpResponse &) {});
        if (running_.size() > runs || nextEnd_ > ends)
            registry_.record.add(fmt::format("executor {} has carried out late: {} {}", info_.id,
                                             request.path(), request.body));
    }

    void carryOut(const HttpRequest &request, HttpServer::Reply reply)
    {
        advance();
        if (request.header("Lovagedeal-Expected-Instance") != info_.id) {
            reply(test::jsonResponse(421, fields()));
            return;
        }
        const json::value body = json::parse(request.body);
        const int64_t token = body.at("fencing_token").to_number<int64_t>();
        if (token < token_) {
            reply(refusal("fence"));
            return;
        }
        token_ = token;
        const std::string path(request.path());
        if (path == "/-/run-start") {
            reply(start(body));
        } else if (path == "/-/run-stop") {
            reply(stop(body));
        } else {
            if (const auto *until = body.as_object().if_contains("deadline_ms"))
                extendLease(until->to_number<int64_t>());
            acknowledge(body.at("acked_through").to_number<int64_t>());
            const auto *wait = body.as_object().if_contains("wait_ms");
            answerHold(nowMs() + (wait ? wait->to_number<int64_t>() : 0), bornMs_,
                       std::move(reply));
        }
    }

    json::object fields() const { return {{"clock_ms", clockMs()}}; }
    HttpResponse refusal(const std::string &reason) const
    {
        json::object body = fields();
        body["reason"] = reason;
        return test::jsonResponse(409, body);
    }

    void extendLease(int64_t untilMs)
    {
        const int64_t until = std::min(untilMs, clockMs() + holdMaxMs);
        if (until > clockMs())
            leaseUntilMs_ = std::max(leaseUntilMs_, until);
    }

    HttpResponse start(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        const int64_t until = body.at("deadline_ms").to_number<int64_t>();
        const auto *checkpoint = body.as_object().if_contains("checkpoint");
        extendLease(until);
        if (running_.contains(task) && running_[task]->number == number)
            return test::jsonResponse(200, fields());
        if (until <= clockMs())
            return refusal("late");
        if (running_.contains(task)
            || (highestClosed_.contains(task) && highestClosed_[task] >= number))
            return refusal("old");
        const json::value spec = json::parse(std::string_view(body.at("spec").as_string()));
        auto run = std::make_unique<ActiveRun>();
        run->task = task;
        run->number = number;
        run->cpu = spec.at("cpu").to_number<int64_t>();
        run->memMb = spec.at("mem_mb").to_number<int64_t>();
        run->workMs = spec.at("work_ms").to_number<int64_t>();
        run->gang = spec.at("gang").to_number<int64_t>();
        run->hasCheckpoints = run->gang > 0;
        run->isLasting = spec.at("lasts").as_bool();
        run->checkpoint = checkpoint ? std::string(checkpoint->as_string()) : "";
        if (!run->checkpoint.empty())
            run->resumedFromMs = std::stoll(run->checkpoint.substr(1));
        run->arrivedAtMs = nowMs();
        run->workingSinceMs = run->gang > 0 ? 0 : nowMs();
        int64_t cpu = run->cpu;
        int64_t memMb = run->memMb;
        for (const auto &[name, other] : running_) {
            cpu += other->cpu;
            memMb += other->memMb;
        }
        if (cpu > info_.cpu || memMb > info_.memMb)
            return refusal("room");
        registry_.record.add(fmt::format("executor {} starts {} run {} checkpoint='{}' token {}",
                                         info_.id, task, number, run->checkpoint, token_));
        registry_.onStart(task, number, info_.id);
        owners()[run.get()] = this;
        if (run->gang > 0)
            registry_.gangs[gangKey(*run)].push_back(run.get());
        running_[task] = std::move(run);
        return test::jsonResponse(200, fields());
    }

    HttpResponse stop(const json::value &body)
    {
        const std::string task(body.at("task").as_string());
        const int64_t number = body.at("run").to_number<int64_t>();
        const auto found = running_.find(task);
        if (found != running_.end() && found->second->number <= number && !found->second->stopsAtMs)
            found->second->stopsAtMs = nowMs() + stopMs / 2;
        highestClosed_[task] = std::max(highestClosed_[task], number);
        return test::jsonResponse(200, fields());
    }

    void acknowledge(int64_t through)
    {
        while (!finished_.empty() && finished_.front().number <= through) {
            const Finished &entry = finished_.front();
            if (entry.how == "done" && !entry.hasLapsedSince)
                registry_.onNoted(entry.task, entry.run, info_.id);
            finished_.erase(finished_.begin());
        }
    }

    void answerHold(int64_t untilMs, int64_t born, HttpServer::Reply reply)
    {
        if (isCut_) {
            unanswered_.push_back(std::move(reply));
            return;
        }
        if (!isUp_ || born != bornMs_)
            return;
        advance();
        if (finished_.empty() && nowMs() < untilMs) {
            threads_.postAfter(0, std::chrono::milliseconds(3),
                               [this, untilMs, born, reply = std::move(reply)]() mutable {
                                   const std::lock_guard lock(registry_.mutex);
                                   answerHold(untilMs, born, std::move(reply));
                               });
            return;
        }
        json::array running;
        for (const auto &[task, run] : running_) {
            const int64_t percent = run->isLasting
                    ? 100
                    : std::min<int64_t>(100, 100 * run->doneMs() / run->workMs);
            running.push_back(
                    json::array {task, run->number, json::string(run->checkpoint), percent, 0});
        }
        json::array finished;
        for (const Finished &entry : finished_) {
            if (finished.size() == 500)
                break;
            finished.push_back(json::array {entry.number, entry.task, entry.run, entry.how,
                                            json::string(entry.saved)});
        }
        json::object body = fields();
        body["born"] = bornMs_;
        body["running"] = running;
        body["finished"] = finished;
        reply(test::jsonResponse(200, body));
    }

    IoThreads &threads_;
    Registry &registry_;
    Info info_;
    bool isUp_ = true;
    bool isCut_ = false;
    uint32_t lateShare_ = 0;
    std::mt19937 random_ {std::random_device {}()};
    std::vector<HttpServer::Reply> unanswered_; // their connections stay open
    int64_t bornMs_ = nowMs();
    int64_t nextSequence_ = 1;
    int64_t nextEnd_ = 1;
    int64_t token_ = 0;
    int64_t leaseUntilMs_ = 0; // on the executor's clock; 0 without a lease
    std::map<std::string, std::unique_ptr<ActiveRun>> running_;
    std::vector<Finished> finished_;
    std::map<std::string, int64_t> highestClosed_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace lovage::review
