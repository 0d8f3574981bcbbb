// Fake of the store of the users' platform for tests, served over HTTP on loopback.
#pragma once

#include "json_response.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace lovage::test {

// Store with topics of records and groups whose members share the partitions evenly.
class FakeStore
{
public:
    static constexpr size_t maxListedKeys = 500;
    static constexpr size_t maxPageBytes = 1U << 20;
    static constexpr size_t maxRecordBytes = 256U << 10;
    static constexpr size_t maxCallBytes = 2U << 20;
    static constexpr int64_t maxWaitMs = 30'000;
    static constexpr size_t rememberedAppends = 5; // appends of a producer that may be repeated

    // Calls that are accepted per second.
    struct Rates
    {
        double writes = 1e9;
        double reads = 1e9;
    };

    explicit FakeStore(IoThreads &threads) : threads_(threads)
    {
        auto server =
                HttpServer::listen(threads, {"127.0.0.1", 0}, {},
                                   [this](const HttpRequest &request, HttpServer::Reply reply) {
                                       handle(request, std::move(reply));
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
    void setRates(const Rates &rates)
    {
        const std::lock_guard lock(mutex_);
        rates_ = rates;
    }
    // Executes calls of this path without answering them. An empty path ends this.
    void loseAnswers(const std::string &path)
    {
        const std::lock_guard lock(mutex_);
        unansweredPath_ = path;
    }
    size_t memberCount(const std::string &group)
    {
        const std::lock_guard lock(mutex_);
        return groups_[group].members.size();
    }
    size_t recordCount(const std::string &topic, int partition)
    {
        const std::lock_guard lock(mutex_);
        return topics_[{topic, partition}].size();
    }
    // Removes a member that has not left the group. Its partitions are reassigned.
    void expire(const std::string &member)
    {
        const std::lock_guard lock(mutex_);
        for (auto &[name, group] : groups_)
            removeMember(group, member);
    }
    // Reassigns all partitions of a group at once.
    void reassign(const std::string &groupName)
    {
        const std::lock_guard lock(mutex_);
        Group &group = groups_[groupName];
        ++group.generation;
        ++group.rotation;
        std::fill(group.owners.begin(), group.owners.end(), "");
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
        int rotation = 0; // position of the first partition in the order of the members
        std::vector<std::string> owners = std::vector<std::string>(shardCount);
        std::map<int, uint64_t> committed {};
    };
    struct Append
    {
        int64_t sequence = 0;
        json::object response;
    };
    struct Producer
    {
        int64_t epoch = -1;
        std::deque<Append> appends; // the latest ones of the epoch
    };

    static Partition partitionOf(const HttpRequest &request)
    {
        return {std::string(request.query("topic").value()),
                std::stoi(std::string(request.query("part").value()))};
    }
    static std::string keyedContent(const std::string &key, const std::string &value)
    {
        return static_cast<char>(key.size()) + key + value;
    }
    static int64_t numberOf(const HttpRequest &request, std::string_view name, int64_t otherwise)
    {
        const auto text = request.query(name);
        return text ? std::stoll(std::string(*text)) : otherwise;
    }
    static std::string decodeUrl(std::string_view text)
    {
        std::string decoded;
        for (size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                decoded += text[i];
                continue;
            }
            decoded +=
                    static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        }
        return decoded;
    }

    void handle(const HttpRequest &request, HttpServer::Reply reply)
    {
        const std::lock_guard lock(mutex_);
        if (isDown_) {
            reply(jsonResponse(503, {}));
            return;
        }
        if (!takeRate(request)) {
            reply(jsonResponse(429, {}));
            return;
        }
        try {
            execute(request, reply);
        } catch (const std::exception &) {
            reply(jsonResponse(400, {}));
        }
    }

    void execute(const HttpRequest &request, const HttpServer::Reply &reply)
    {
        const std::string path(request.path());
        if (path == "/-/log-read") {
            const int64_t waitMs = std::min(numberOf(request, "wait_ms", 0), maxWaitMs);
            replyWhenReadable(request, currentTime() + std::chrono::milliseconds(waitMs), reply);
            return;
        }
        const HttpResponse response = respond(path, request);
        if (path == unansweredPath_)
            unanswered_.push_back(reply);
        else
            reply(response);
    }

    HttpResponse respond(const std::string &path, const HttpRequest &request)
    {
        if (path == "/-/log-newest")
            return newest(request);
        if (path == "/-/log-append")
            return append(request);
        if (path == "/-/log-trim")
            return trim(request);
        if (path == "/-/log-owners")
            return owners(groups_[std::string(request.query("group").value())]);
        const json::value body = json::parse(request.body);
        Group &group = groups_[std::string(body.at("group").as_string())];
        if (path == "/-/log-join")
            return join(group, body);
        if (path == "/-/log-commit")
            return commit(group, body);
        if (path != "/-/log-leave")
            return jsonResponse(404, {});
        removeMember(group, std::string(body.at("member").as_string()));
        return jsonResponse(200, json::object {});
    }

    // Returns whether the call is within the rates. A join counts as a tenth of a call.
    bool takeRate(const HttpRequest &request)
    {
        constexpr double joinCost = 0.1;
        const auto second = std::chrono::floor<std::chrono::seconds>(currentTime());
        if (second != rateSecond_)
            used_ = {0, 0};
        rateSecond_ = second;
        const bool isRead = request.method == "GET";
        double &used = isRead ? used_.reads : used_.writes;
        used += request.path() == "/-/log-join" ? joinCost : 1;
        return used <= (isRead ? rates_.reads : rates_.writes);
    }

    // Returns the newest record of each key. Pages hold at most 500 keys or 1 MB.
    HttpResponse newest(const HttpRequest &request)
    {
        struct Newest
        {
            std::string value;
            size_t offset = 0;
        };
        std::map<std::string, Newest> values;
        const auto &records = topics_[partitionOf(request)];
        for (size_t offset = 0; offset < records.size(); ++offset) {
            const std::string &content = records[offset];
            const auto keyLength = static_cast<unsigned char>(content.front());
            values[content.substr(1, keyLength)] = {content.substr(1 + keyLength), offset};
        }
        std::erase_if(values, [](const auto &entry) { return entry.second.value.empty(); });
        const auto after = request.query("after");
        auto next = after ? values.upper_bound(decodeUrl(*after)) : values.begin();
        json::array items;
        size_t bytes = 0;
        for (; next != values.end() && items.size() < maxListedKeys && bytes < maxPageBytes;
             ++next) {
            items.push_back({{"key", next->first},
                             {"value", base64(next->second.value)},
                             {"offset", next->second.offset}});
            bytes += next->first.size() + next->second.value.size();
        }
        return jsonResponse(
                200,
                {{"items", items}, {"has_more", next != values.end()}, {"end", records.size()}});
    }

    void replyWhenReadable(const HttpRequest &request, Time until, const HttpServer::Reply &reply)
    {
        const Partition partition = partitionOf(request);
        const auto from = static_cast<size_t>(numberOf(request, "from", 0));
        const size_t end = topics_[partition].size();
        if (from == end && currentTime() < until && !isDown_) {
            threads_.postAfter(0, std::chrono::milliseconds(2),
                               [this, isAlive = std::weak_ptr(isAlive_), request, until, reply] {
                                   if (isAlive.expired())
                                       return;
                                   const std::lock_guard lock(mutex_);
                                   replyWhenReadable(request, until, reply);
                               });
            return;
        }
        const HttpResponse response =
                isDown_ ? jsonResponse(503, {}) : read(partition, from, maxBytesOf(request));
        if (unansweredPath_ == "/-/log-read")
            unanswered_.push_back(reply);
        else
            reply(response);
    }

    static size_t maxBytesOf(const HttpRequest &request)
    {
        return static_cast<size_t>(numberOf(request, "max_kb", 1024)) << 10;
    }

    // Returns records up to maxBytes, but at least one.
    HttpResponse read(const Partition &partition, size_t from, size_t maxBytes)
    {
        const auto &records = topics_[partition];
        if (from < firstOffsets_[partition])
            return jsonResponse(410, {{"first_offset", firstOffsets_[partition]}});
        HttpResponse response;
        response.contentType = "application/octet-stream";
        response.body = bigEndian(records.size(), 8) + bigEndian(firstOffsets_[partition], 8);
        size_t bytes = 0;
        for (size_t i = from; i < records.size(); ++i) {
            bytes += records[i].size() + 4;
            if (i > from && bytes > maxBytes)
                break;
            response.body += bigEndian(records[i].size(), 4) + records[i];
        }
        return response;
    }

    HttpResponse append(const HttpRequest &request)
    {
        const Partition partition = partitionOf(request);
        if (partition.first == "keyed.op" || partition.first == "keyed.servers")
            return jsonResponse(403, {});
        const std::vector<std::string> added = decodeRecords(request.body);
        auto &records = topics_[partition];
        if (request.query("epoch"))
            return appendOfProducer(request, added);
        const auto end = static_cast<int64_t>(records.size());
        if (numberOf(request, "at", end) != end)
            return jsonResponse(412, {{"end", end}});
        return jsonResponse(200, addRecords(partition, added));
    }

    HttpResponse appendOfProducer(const HttpRequest &request, const std::vector<std::string> &added)
    {
        const Partition partition = partitionOf(request);
        const int64_t epoch = numberOf(request, "epoch", 0);
        const int64_t sequence = numberOf(request, "seq", 0);
        Producer &producer =
                producers_[{partition, std::string(request.query("producer").value())}];
        if (epoch < producer.epoch)
            return jsonResponse(409, {{"reason", "fenced"}});
        if (epoch > producer.epoch)
            producer = {epoch, {}};
        for (const Append &earlier : producer.appends) {
            if (earlier.sequence == sequence)
                return jsonResponse(200, earlier.response);
        }
        if (!producer.appends.empty() && sequence != producer.appends.back().sequence + 1)
            return jsonResponse(409,
                                {{"reason", "seq"}, {"seq", producer.appends.back().sequence + 1}});
        producer.appends.push_back({sequence, addRecords(partition, added)});
        if (producer.appends.size() > rememberedAppends)
            producer.appends.pop_front();
        return jsonResponse(200, producer.appends.back().response);
    }

    json::object addRecords(const Partition &partition, const std::vector<std::string> &added)
    {
        auto &records = topics_[partition];
        const size_t offset = records.size();
        records.insert(records.end(), added.begin(), added.end());
        return {{"offset", offset}, {"end", records.size()}};
    }

    static std::vector<std::string> decodeRecords(std::string_view body)
    {
        if (body.size() > maxCallBytes)
            throw std::length_error("call");
        std::vector<std::string> records;
        while (!body.empty()) {
            size_t length = 0;
            for (size_t k = 0; k < 4; ++k)
                length = (length << 8) | static_cast<unsigned char>(body.at(k));
            if (length > maxRecordBytes || length > body.size() - 4)
                throw std::length_error("record");
            records.emplace_back(body.substr(4, length));
            body.remove_prefix(4 + length);
        }
        return records;
    }

    HttpResponse trim(const HttpRequest &request)
    {
        size_t &first = firstOffsets_[partitionOf(request)];
        first = std::max(first, static_cast<size_t>(numberOf(request, "before", 0)));
        return jsonResponse(200, json::object {});
    }

    static void removeMember(Group &group, const std::string &member)
    {
        if (group.members.erase(member) > 0)
            ++group.generation;
        for (std::string &owner : group.owners)
            owner = owner == member ? "" : owner;
    }
    static void removeExpired(Group &group)
    {
        std::vector<std::string> expired;
        for (const auto &[name, entry] : group.members) {
            if (currentTime() > entry.expires)
                expired.push_back(name);
        }
        for (const std::string &name : expired)
            removeMember(group, name);
    }

    // Returns the member that should own a shard. Shards are distributed evenly.
    static const std::string &targetOwner(const Group &group, int shard)
    {
        auto member = group.members.begin();
        std::advance(member, (shard + group.rotation) % static_cast<int>(group.members.size()));
        return member->first;
    }

    static HttpResponse join(Group &group, const json::value &body)
    {
        const std::string member(body.at("member").as_string());
        removeExpired(group);
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
                rows.push_back(
                        json::array {body.at("topics").at(0), shard, group.committed[shard]});
        }
        return jsonResponse(200, {{"generation", group.generation}, {"parts", rows}});
    }

    static HttpResponse commit(Group &group, const json::value &body)
    {
        removeExpired(group);
        const auto shard = static_cast<int>(body.at("part").as_int64());
        const bool isOwner =
                group.owners.at(static_cast<size_t>(shard)) == body.at("member").as_string();
        if (!isOwner || body.at("generation").as_int64() < group.generation)
            return jsonResponse(409, {});
        group.committed[shard] = body.at("offset").to_number<uint64_t>();
        return jsonResponse(200, json::object {});
    }

    static HttpResponse owners(Group &group)
    {
        removeExpired(group);
        json::array rows;
        for (int shard = 0; shard < shardCount; ++shard)
            rows.push_back(json::array {"", shard, group.owners[static_cast<size_t>(shard)],
                                        group.committed[shard]});
        return jsonResponse(200, {{"owners", rows}});
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

    IoThreads &threads_;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
    std::mutex mutex_;
    std::map<Partition, std::vector<std::string>> topics_; // record contents
    std::map<Partition, size_t> firstOffsets_;
    std::map<std::pair<Partition, std::string>, Producer> producers_;
    std::map<std::string, Group> groups_;
    bool isDown_ = false;
    Rates rates_;
    Rates used_ {0, 0}; // calls in rateSecond_
    Time rateSecond_ {};
    std::string unansweredPath_;
    std::vector<HttpServer::Reply> unanswered_;
    std::unique_ptr<HttpServer> server_;
};

} // namespace lovage::test
