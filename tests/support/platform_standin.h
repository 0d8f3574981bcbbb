// Fakes of the users' platform for tests: its store and its executors, served over HTTP on
// loopback. They implement the part of the platform's published protocol that the adapter uses.
#pragma once

#include "lovage/net.h"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace lovage::test {

namespace json = boost::json;

inline HttpResponse jsonResponse(int status, const json::value &body)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

// Store with topics of records and groups whose members share the partitions evenly.
class FakeStore
{
public:
    explicit FakeStore(IoThreads &threads)
    {
        auto server =
                HttpServer::listen(threads, {"127.0.0.1", 0}, {},
                                   [this](const HttpRequest &request, HttpServer::Reply reply) {
                                       reply(handle(request));
                                   });
        server_ = std::move(server.value());
    }

    Endpoint endpoint() const { return {"127.0.0.1", server_->port()}; }

    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        topics_[{topic, 0}].push_back(keyedContent(key, value));
    }
    // Deletes all current records. The newest value of each key stays available.
    void compact(const std::string &topic)
    {
        const std::lock_guard lock(mutex_);
        firstOffsets_[{topic, 0}] = topics_[{topic, 0}].size();
    }
    void setDown(bool isDown)
    {
        const std::lock_guard lock(mutex_);
        isDown_ = isDown;
    }
    size_t memberCount(const std::string &group)
    {
        const std::lock_guard lock(mutex_);
        return groups_[group].members.size();
    }
    // Removes a member that has not left the group. Its partitions are reassigned.
    void expire(const std::string &member)
    {
        const std::lock_guard lock(mutex_);
        for (auto &[name, group] : groups_)
            removeMember(group, member);
    }

private:
    static constexpr int shardCount = 24;
    using Partition = std::pair<std::string, int>; // topic and number

    struct Member
    {
        Time expires;
        int64_t acknowledged = 0; // generation that the member last named in a join
    };
    struct Group
    {
        std::map<std::string, Member> members;
        int64_t generation = 1;
        std::vector<std::string> owners = std::vector<std::string>(shardCount);
    };
    struct Producer
    {
        int64_t epoch = 0;
        int64_t sequence = -1; // number of the last append
        size_t offset = 0;     // offset of the last append
    };

    static Partition partitionOf(const HttpRequest &request)
    {
        return {std::string(*request.query("topic")),
                std::stoi(std::string(*request.query("part")))};
    }
    static std::string keyedContent(const std::string &key, const std::string &value)
    {
        return static_cast<char>(key.size()) + key + value;
    }

    HttpResponse handle(const HttpRequest &request)
    {
        const std::lock_guard lock(mutex_);
        if (isDown_)
            return jsonResponse(503, {});
        const std::string_view path = request.path();
        if (path == "/-/log-newest")
            return newest(std::string(*request.query("topic")));
        if (path == "/-/log-read")
            return read(request);
        if (path == "/-/log-append")
            return append(request);
        if (path == "/-/log-trim")
            return trim(request);
        const json::value body = json::parse(request.body);
        Group &group = groups_[std::string(body.at("group").as_string())];
        if (path == "/-/log-join")
            return join(group, body);
        removeMember(group, std::string(body.at("member").as_string()));
        return jsonResponse(200, json::object {});
    }

    HttpResponse newest(const std::string &topic)
    {
        std::map<std::string, std::string> values;
        const auto &records = topics_[{topic, 0}];
        for (const std::string &content : records) {
            const auto keyLength = static_cast<unsigned char>(content.front());
            values[content.substr(1, keyLength)] = content.substr(1 + keyLength);
        }
        json::array items;
        for (const auto &[key, value] : values)
            items.push_back({{"key", key}, {"value", base64(value)}, {"offset", 0}});
        return jsonResponse(200, {{"items", items}, {"has_more", false}, {"end", records.size()}});
    }

    HttpResponse read(const HttpRequest &request)
    {
        const Partition partition = partitionOf(request);
        const auto &records = topics_[partition];
        const size_t from = std::stoul(std::string(*request.query("from")));
        if (from < firstOffsets_[partition])
            return jsonResponse(410, {{"first_offset", firstOffsets_[partition]}});
        HttpResponse response;
        response.body = bigEndian(records.size(), 8) + bigEndian(firstOffsets_[partition], 8);
        for (size_t i = from; i < records.size(); ++i)
            response.body += bigEndian(records[i].size(), 4) + records[i];
        return response;
    }

    HttpResponse append(const HttpRequest &request)
    {
        const Partition partition = partitionOf(request);
        auto &records = topics_[partition];
        if (const auto epoch = request.query("epoch")) {
            Producer &producer = producers_[partition];
            const int64_t sequence = std::stoll(std::string(*request.query("seq")));
            const int64_t number = std::stoll(std::string(*epoch));
            if (number < producer.epoch)
                return jsonResponse(409, {{"reason", "fenced"}});
            if (number == producer.epoch && sequence == producer.sequence)
                return jsonResponse(200, {{"offset", producer.offset}, {"end", records.size()}});
            if (number == producer.epoch && sequence != producer.sequence + 1)
                return jsonResponse(409, {{"reason", "seq"}});
            producer = {number, sequence, records.size()};
        }
        const size_t offset = records.size();
        for (size_t at = 0; at + 4 <= request.body.size();) {
            size_t length = 0;
            for (size_t k = 0; k < 4; ++k)
                length = (length << 8) | static_cast<unsigned char>(request.body[at + k]);
            records.push_back(request.body.substr(at + 4, length));
            at += 4 + length;
        }
        return jsonResponse(200, {{"offset", offset}, {"end", records.size()}});
    }

    HttpResponse trim(const HttpRequest &request)
    {
        firstOffsets_[partitionOf(request)] = std::stoul(std::string(*request.query("before")));
        return jsonResponse(200, json::object {});
    }

    static void removeMember(Group &group, const std::string &member)
    {
        if (group.members.erase(member) > 0)
            ++group.generation;
        for (std::string &owner : group.owners)
            owner = owner == member ? "" : owner;
    }

    // Returns the member that should own a shard. Shards are distributed evenly.
    static const std::string &targetOwner(const Group &group, int shard)
    {
        auto member = group.members.begin();
        std::advance(member, shard % static_cast<int>(group.members.size()));
        return member->first;
    }

    static HttpResponse join(Group &group, const json::value &body)
    {
        const std::string member(body.at("member").as_string());
        std::vector<std::string> expired;
        for (const auto &[name, entry] : group.members) {
            if (currentTime() > entry.expires)
                expired.push_back(name);
        }
        for (const std::string &name : expired)
            removeMember(group, name);
        if (!group.members.contains(member))
            ++group.generation;
        const auto lease = std::chrono::milliseconds(body.at("ttl_ms").to_number<int64_t>());
        group.members[member] = {currentTime() + lease, body.at("generation").to_number<int64_t>()};
        json::array rows;
        for (int shard = 0; shard < shardCount; ++shard) {
            std::string &owner = group.owners[static_cast<size_t>(shard)];
            const std::string &target = targetOwner(group, shard);
            const bool mayMove =
                    owner.empty() || group.members.at(owner).acknowledged >= group.generation;
            if (owner != target && mayMove)
                owner = target;
            if (owner == member && target == member)
                rows.push_back(json::array {body.at("topics").at(0), shard, 0});
        }
        return jsonResponse(200, {{"generation", group.generation}, {"parts", rows}});
    }

    static std::string bigEndian(uint64_t number, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
            text.push_back(static_cast<char>((number >> shift) & 0xff));
        return text;
    }

    static std::string base64(const std::string &bytes)
    {
        constexpr std::string_view digits =
                "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (size_t i = 0; i < bytes.size(); i += 3) {
            uint32_t group = 0;
            const size_t count = std::min<size_t>(3, bytes.size() - i);
            for (size_t k = 0; k < 3; ++k)
                group = (group << 8) | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
            for (size_t k = 0; k < 4; ++k)
                text += k <= count ? digits[(group >> (18 - 6 * k)) & 63] : '=';
        }
        return text;
    }

    std::mutex mutex_;
    std::map<Partition, std::vector<std::string>> topics_; // record contents
    std::map<Partition, size_t> firstOffsets_;
    std::map<Partition, Producer> producers_;
    std::map<std::string, Group> groups_;
    bool isDown_ = false;
    std::unique_ptr<HttpServer> server_;
};

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
    std::string entry(const std::string &service, const std::string &zone)
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
    std::mutex mutex_;
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
