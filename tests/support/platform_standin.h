// Fakes of the users' platform for tests: its store and its executors, served over HTTP on
// loopback. They implement the part of the platform's published protocol that the adapter uses.
#pragma once

#include "lovage/net.h"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <set>
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

// One executor. Every task takes a fixed time by the real clock. Leases and capacity are not
// enforced.
class FakeExecutor
{
public:
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

    std::string entry(const std::string &service, const std::string &zone) const
    {
        return fmt::format(
                R"({{"service":"{}","address":"127.0.0.1:{}","zone":"{}","state":"ready",)"
                R"("capacity":{{"cpu":32000,"mem_mb":1000,"gpu":0}},"labels":[],"born":1}})",
                service, server_->port(), zone);
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

private:
    struct Run
    {
        int64_t number;
        Time ends;
    };

    void handle(const HttpRequest &request, HttpServer::Reply reply)
    {
        const std::lock_guard lock(mutex_);
        const json::value body = json::parse(request.body);
        endDueRuns();
        if (request.header("Lovagedeal-Expected-Instance") != id_) {
            reply(jsonResponse(421, statusFields()));
        } else if (request.path() == "/-/run-start") {
            const std::string task(body.at("task").as_string());
            ++starts_[task];
            running_[task] = {body.at("run").as_int64(), currentTime() + taskTime_};
            reply(jsonResponse(200, statusFields()));
        } else if (request.path() == "/-/run-stop") {
            ++stops_;
            const std::string task(body.at("task").as_string());
            if (running_.erase(task) > 0)
                ended_.push_back({nextEnd_++, task, body.at("run").as_int64(), "stopped", ""});
            reply(jsonResponse(200, statusFields()));
        } else {
            const auto wait = body.as_object().if_contains("wait_ms");
            const Time until =
                    currentTime() + std::chrono::milliseconds(wait ? wait->as_int64() : 0);
            replyWhenRunEnds(body.at("acked_through").as_int64(), until, std::move(reply));
        }
    }

    json::object statusFields() const
    {
        return {{"clock_ms", toUnixMillis(currentTime())}, {"born", 1}};
    }

    void endDueRuns()
    {
        for (auto run = running_.begin(); run != running_.end();) {
            if (run->second.ends > currentTime()) {
                ++run;
                continue;
            }
            ended_.push_back({nextEnd_++, run->first, run->second.number, "done", ""});
            run = running_.erase(run);
        }
    }

    void replyWhenRunEnds(int64_t ackedThrough, Time until, HttpServer::Reply reply)
    {
        endDueRuns();
        std::erase_if(ended_,
                      [&](const json::array &row) { return row[0].as_int64() <= ackedThrough; });
        if (ended_.empty() && currentTime() < until) {
            threads_.postAfter(0, std::chrono::milliseconds(2),
                               [this, ackedThrough, until, reply = std::move(reply)]() mutable {
                                   const std::lock_guard lock(mutex_);
                                   replyWhenRunEnds(ackedThrough, until, std::move(reply));
                               });
            return;
        }
        json::object body = statusFields();
        json::array running;
        for (const auto &[task, run] : running_)
            running.push_back(json::array {task, run.number, "", 50, 0});
        body["running"] = running;
        json::array ended;
        for (const json::array &row : ended_)
            ended.push_back(row);
        body["finished"] = ended;
        reply(jsonResponse(200, body));
    }

    IoThreads &threads_;
    std::string id_;
    Duration taskTime_;
    std::mutex mutex_;
    std::map<std::string, int> starts_;
    std::map<std::string, Run> running_;
    std::vector<json::array> ended_;
    int64_t nextEnd_ = 1;
    size_t stops_ = 0;
    std::unique_ptr<HttpServer> server_;
};

} // namespace lovage::test
