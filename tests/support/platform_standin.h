// The users' platform in one process, for tests: its store and its executors over HTTP on loopback.
// Written from the platform's published protocol; only what the adapter uses.
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

// Topics with one partition of keyed records, and one group that deals all shards to its members.
class StoreStandin
{
public:
    explicit StoreStandin(IoThreads &threads)
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
        topics_[topic].emplace_back(key, value);
    }
    // Records up to here are gone, but for the newest of each key.
    void forget(const std::string &topic)
    {
        const std::lock_guard lock(mutex_);
        first_[topic] = topics_[topic].size();
    }
    void setDown(bool isDown)
    {
        const std::lock_guard lock(mutex_);
        isDown_ = isDown;
    }
    size_t memberCount()
    {
        const std::lock_guard lock(mutex_);
        return members_.size();
    }

private:
    static constexpr int shardCount = 24;

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
        const json::value body = json::parse(request.body);
        if (path == "/-/log-join")
            return join(body);
        members_.erase(std::string(body.at("member").as_string()));
        ++generation_;
        return jsonResponse(200, json::object {});
    }

    HttpResponse newest(const std::string &topic)
    {
        std::map<std::string, std::string> values;
        for (const auto &[key, value] : topics_[topic])
            values[key] = value;
        json::array items;
        for (const auto &[key, value] : values)
            items.push_back({{"key", key}, {"value", base64(value)}, {"offset", 0}});
        return jsonResponse(
                200, {{"items", items}, {"has_more", false}, {"end", topics_[topic].size()}});
    }

    HttpResponse read(const HttpRequest &request)
    {
        const std::string topic(*request.query("topic"));
        const auto &records = topics_[topic];
        const size_t from = std::stoul(std::string(*request.query("from")));
        if (from < first_[topic])
            return jsonResponse(410, {{"first_offset", first_[topic]}});
        HttpResponse response;
        response.body = bigEndian(records.size(), 8) + bigEndian(first_[topic], 8);
        for (size_t i = from; i < records.size(); ++i) {
            const auto &[key, value] = records[i];
            response.body += bigEndian(1 + key.size() + value.size(), 4)
                    + static_cast<char>(key.size()) + key + value;
        }
        return response;
    }

    HttpResponse append(const HttpRequest &request)
    {
        const size_t keyLength = static_cast<unsigned char>(request.body.at(4));
        topics_[std::string(*request.query("topic"))].emplace_back(
                request.body.substr(5, keyLength), request.body.substr(5 + keyLength));
        return jsonResponse(200, {{"offset", 0}, {"end", 1}});
    }

    HttpResponse join(const json::value &body)
    {
        if (members_.insert(std::string(body.at("member").as_string())).second)
            ++generation_;
        json::array rows;
        const bool isFirst = *members_.begin() == std::string(body.at("member").as_string());
        for (int shard = 0; shard < shardCount && isFirst; ++shard)
            rows.push_back(json::array {"shards", shard, 0});
        return jsonResponse(200, {{"generation", generation_}, {"parts", rows}});
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
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics_;
    std::map<std::string, size_t> first_;
    std::set<std::string> members_;
    int64_t generation_ = 1;
    bool isDown_ = false;
    std::unique_ptr<HttpServer> server_;
};

// One executor. Tasks take a fixed time of the real clock; leases and room are not enforced.
class ExecutorStandin
{
public:
    ExecutorStandin(IoThreads &threads, std::string id, Duration taskTime)
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
        finishDue();
        if (request.header("Lovagedeal-Expected-Instance") != id_) {
            reply(jsonResponse(421, answer()));
        } else if (request.path() == "/-/run-start") {
            const std::string task(body.at("task").as_string());
            ++starts_[task];
            running_[task] = {body.at("run").as_int64(), currentTime() + taskTime_};
            reply(jsonResponse(200, answer()));
        } else if (request.path() == "/-/run-stop") {
            ++stops_;
            const std::string task(body.at("task").as_string());
            if (running_.erase(task) > 0)
                ended_.push_back({nextEnd_++, task, body.at("run").as_int64(), "stopped", ""});
            reply(jsonResponse(200, answer()));
        } else {
            const auto wait = body.as_object().if_contains("wait_ms");
            const Time until =
                    currentTime() + std::chrono::milliseconds(wait ? wait->as_int64() : 0);
            waitForEnd(body.at("acked_through").as_int64(), until, std::move(reply));
        }
    }

    json::object answer() const { return {{"clock_ms", toUnixMillis(currentTime())}, {"born", 1}}; }

    void finishDue()
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

    void waitForEnd(int64_t acked, Time until, HttpServer::Reply reply)
    {
        finishDue();
        std::erase_if(ended_, [&](const json::array &row) { return row[0].as_int64() <= acked; });
        if (ended_.empty() && currentTime() < until) {
            threads_.postAfter(0, std::chrono::milliseconds(2),
                               [this, acked, until, reply = std::move(reply)]() mutable {
                                   const std::lock_guard lock(mutex_);
                                   waitForEnd(acked, until, std::move(reply));
                               });
            return;
        }
        json::object body = answer();
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
