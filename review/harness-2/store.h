// Stand-in for the platform's store: topics of records, newest records of keys, and groups.
#pragma once

#include "record.h"

#include <boost/json.hpp>

#include <deque>
#include <set>
#include <vector>

namespace review {

namespace json = boost::json;

inline Response jsonResponse(int status, const json::object &body)
{
    return {status, json::serialize(body)};
}

class Store
{
public:
    static constexpr int partitionCount = 24;

    // Calls that all processes together may make in a second, and the time of an answer, as the
    // sheet of manhmoi-hunt has them.
    static constexpr double writesPerSecond = 600;
    static constexpr double readsPerSecond = 2000;
    static constexpr int64_t answerMs = 4;

    explicit Store(int64_t keepMs)
        : keepMs_(keepMs), server_([this](const Request &request) { return handle(request); })
    { }

    uint16_t port() const { return server_.port(); }

    // Deals all partitions of all groups anew, without any request.
    void dealAnew()
    {
        const std::lock_guard lock(mutex_);
        for (auto &[name, group] : groups_) {
            ++group.generation;
            std::fill(group.owners.begin(), group.owners.end(), "");
        }
    }
    // Describes the calls since the last time, and how many of them were beyond the rates.
    std::string takeCalls()
    {
        const std::lock_guard lock(mutex_);
        std::string text;
        for (const auto &[path, count] : calls_)
            text += path + "=" + std::to_string(count) + " (" + std::to_string(refused_[path])
                    + " refused) ";
        calls_.clear();
        refused_.clear();
        return text;
    }
    // Writes a record of the operator or of a server. An empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        add(topics_[{topic, 0}], static_cast<char>(key.size()) + key + value);
    }

private:
    struct Stored
    {
        std::string content;
        int64_t atMs = 0;
    };
    struct Append
    {
        int64_t sequence = 0;
        json::object response;
    };
    struct Producer
    {
        int64_t epoch = -1;
        std::deque<Append> appends;
    };
    struct Partition
    {
        std::vector<Stored> records;
        size_t first = 0; // offset of the first record that is retained
        std::map<std::string, Producer> producers;
    };
    struct Member
    {
        int64_t expiresMs = 0;
        int64_t generation = 0;
    };
    struct Group
    {
        std::map<std::string, Member> members;
        int64_t generation = 1;
        std::vector<std::string> owners = std::vector<std::string>(partitionCount);
    };

    static void add(Partition &partition, std::string content)
    {
        partition.records.push_back({std::move(content), steadyMs()});
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
        static const char digits[] =
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
    static int64_t numberOf(const Request &request, const char *name, int64_t otherwise)
    {
        const auto found = request.query.find(name);
        return found == request.query.end() ? otherwise : std::stoll(found->second);
    }

    Partition &partitionOf(const Request &request)
    {
        Partition &partition = topics_[{request.query.at("topic"),
                                        static_cast<int>(numberOf(request, "part", 0))}];
        const bool isKeyed = request.query.at("topic").rfind("keyed.", 0) == 0;
        const int64_t oldest = steadyMs() - keepMs_;
        while (!isKeyed && partition.first < partition.records.size()
               && partition.records[partition.first].atMs < oldest)
            ++partition.first;
        return partition;
    }

    // Counts a call. A join costs a tenth of one.
    bool isWithinRate(const Request &request)
    {
        const std::lock_guard lock(mutex_);
        const int64_t now = steadyMs();
        const bool isRead = request.method == "GET";
        const double rate = isRead ? readsPerSecond : writesPerSecond;
        const double cost = request.path == "/-/log-join" ? 0.1 : 1;
        Budget &budget = budgets_[isRead];
        budget.left =
                std::min(rate, budget.left + rate * static_cast<double>(now - budget.atMs) / 1000);
        budget.atMs = now;
        ++calls_[request.path];
        if (budget.left < cost) {
            ++refused_[request.path];
            return false;
        }
        budget.left -= cost;
        return true;
    }

    Response handle(const Request &request)
    {
        sleepMs(answerMs);
        if (!isWithinRate(request))
            return jsonResponse(429, {});
        try {
            if (request.path == "/-/log-read")
                return read(request);
            const std::lock_guard lock(mutex_);
            if (request.path == "/-/log-newest")
                return newest(request);
            if (request.path == "/-/log-append")
                return append(request);
            if (request.path == "/-/log-trim") {
                Partition &partition = partitionOf(request);
                partition.first = std::max(partition.first,
                                           static_cast<size_t>(numberOf(request, "before", 0)));
                return jsonResponse(200, {});
            }
            const json::value body = json::parse(request.body);
            Group &group = groups_[std::string(body.at("group").as_string())];
            const std::string member(body.at("member").as_string());
            if (request.path == "/-/log-join")
                return join(group, member, body);
            if (request.path == "/-/log-leave") {
                remove(group, member);
                return jsonResponse(200, {});
            }
            return jsonResponse(404, {});
        } catch (const std::exception &) {
            return jsonResponse(400, {});
        }
    }

    Response read(const Request &request)
    {
        const int64_t until =
                steadyMs() + std::min<int64_t>(numberOf(request, "wait_ms", 0), 30000);
        const auto from = static_cast<size_t>(numberOf(request, "from", 0));
        const auto maxBytes = static_cast<size_t>(numberOf(request, "max_kb", 1024)) << 10;
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                const Partition &partition = partitionOf(request);
                if (from < partition.first)
                    return jsonResponse(410, {{"first_offset", partition.first}});
                if (from < partition.records.size() || steadyMs() >= until)
                    return records(partition, from, maxBytes);
            }
            sleepMs(3);
        }
    }
    static Response records(const Partition &partition, size_t from, size_t maxBytes)
    {
        Response response {200, bigEndian(partition.records.size(), 8), "application/octet-stream"};
        response.body += bigEndian(partition.first, 8);
        size_t bytes = 0;
        for (size_t i = from; i < partition.records.size(); ++i) {
            const std::string &content = partition.records[i].content;
            bytes += content.size() + 4;
            if (i > from && bytes > maxBytes)
                break;
            response.body += bigEndian(content.size(), 4) + content;
        }
        return response;
    }

    Response newest(const Request &request)
    {
        const Partition &partition = partitionOf(request);
        std::map<std::string, std::pair<std::string, size_t>> values;
        for (size_t offset = 0; offset < partition.records.size(); ++offset) {
            const std::string &content = partition.records[offset].content;
            const auto length = static_cast<unsigned char>(content.front());
            values[content.substr(1, length)] = {content.substr(1 + length), offset};
        }
        json::array items;
        for (const auto &[key, value] : values) {
            if (!value.first.empty())
                items.push_back(json::object {
                        {"key", key}, {"value", base64(value.first)}, {"offset", value.second}});
        }
        return jsonResponse(
                200, {{"items", items}, {"has_more", false}, {"end", partition.records.size()}});
    }

    Response append(const Request &request)
    {
        Partition &partition = partitionOf(request);
        std::vector<std::string> added;
        for (size_t at = 0; at + 4 <= request.body.size();) {
            size_t length = 0;
            for (size_t k = 0; k < 4; ++k)
                length = (length << 8) | static_cast<unsigned char>(request.body[at + k]);
            added.push_back(request.body.substr(at + 4, length));
            at += 4 + length;
        }
        const auto addAll = [&] {
            const size_t offset = partition.records.size();
            for (std::string &record : added)
                add(partition, std::move(record));
            return json::object {{"offset", offset}, {"end", partition.records.size()}};
        };
        if (!request.query.contains("epoch"))
            return jsonResponse(200, addAll());
        const int64_t epoch = numberOf(request, "epoch", 0);
        const int64_t sequence = numberOf(request, "seq", 0);
        Producer &producer = partition.producers[request.query.at("producer")];
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
        producer.appends.push_back({sequence, addAll()});
        if (producer.appends.size() > 5)
            producer.appends.pop_front();
        return jsonResponse(200, producer.appends.back().response);
    }

    static void remove(Group &group, const std::string &member)
    {
        if (group.members.erase(member) > 0)
            ++group.generation;
        for (std::string &owner : group.owners)
            owner = owner == member ? "" : owner;
    }
    static Response join(Group &group, const std::string &member, const json::value &body)
    {
        std::vector<std::string> expired;
        for (const auto &[name, entry] : group.members) {
            if (steadyMs() > entry.expiresMs)
                expired.push_back(name);
        }
        for (const std::string &name : expired)
            remove(group, name);
        if (!group.members.contains(member))
            ++group.generation;
        group.members[member] = {steadyMs() + body.at("ttl_ms").to_number<int64_t>(),
                                 body.at("generation").to_number<int64_t>()};
        std::vector<std::string> names;
        for (const auto &[name, entry] : group.members)
            names.push_back(name);
        json::array rows;
        for (size_t part = 0; part < partitionCount; ++part) {
            std::string &owner = group.owners[part];
            const std::string &target = names[part % names.size()];
            const bool mayMove =
                    owner.empty() || group.members.at(owner).generation >= group.generation;
            if (owner != target && mayMove)
                owner = target;
            if (owner == member && target == member)
                rows.push_back(json::array {body.at("topics").at(0), part, 0});
        }
        return jsonResponse(200, {{"generation", group.generation}, {"parts", rows}});
    }

    struct Budget
    {
        double left = 0;
        int64_t atMs = 0;
    };

    int64_t keepMs_;
    std::mutex mutex_;
    std::map<bool, Budget> budgets_;
    std::map<std::string, int64_t> calls_;
    std::map<std::string, int64_t> refused_;
    std::map<std::pair<std::string, int>, Partition> topics_;
    std::map<std::string, Group> groups_;
    HttpServer server_;
};

} // namespace review
