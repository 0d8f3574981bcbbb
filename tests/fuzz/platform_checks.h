// Properties of the decoders of what other writers and VMs send. Used by the fuzzers and by the
// replay of their inputs. Each function returns false if a property does not hold.
#pragma once

#include "member_list.h"
#include "records.h"
#include "server_list.h"
#include "store_responses.h"

#include "lovage/keeper.h"
#include "lovage/net.h"
#include "lovage/routing.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>

namespace lovage::fuzz {

inline Time testTime()
{
    return fromUnixMillis(1'700'000'000'000);
}

// An entry takes no other server with it, and does not make its own server vanish.
inline bool checkServerEntry(std::string_view bytes)
{
    constexpr std::string_view good =
            R"({"service":"s","address":"10.0.0.9:8080","zone":"z","state":"ready",)"
            R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"born":1699999999000})";
    platform::ServerList list("z");
    std::map<std::string, std::string> entries {{"a", std::string(good)}, {"b", std::string(good)}};
    if (list.update(entries, testTime())->size() != 2)
        return false;
    entries["a"] = std::string(bytes);
    entries["c"] = std::string(bytes);
    const auto isGoodServer = [](const ServerInfo &info) {
        const auto endpoint = parseEndpoint(info.address);
        return endpoint && endpoint->port != 0 && !info.service.empty();
    };
    if (const auto servers = list.update(entries, testTime())) {
        if (!std::all_of(servers->begin(), servers->end(), isGoodServer))
            return false;
        if (std::none_of(servers->begin(), servers->end(),
                         [](const ServerInfo &info) { return info.id == "b"; }))
            return false;
    }
    const auto decoded = platform::decodeServerEntry("a", bytes);
    const auto leftOut = list.takeLeftOut();
    return decoded.has_value() || leftOut.size() == (bytes.empty() ? 1U : 2U);
}

// A record is either taken for the VM that its key names, or left out.
inline bool checkMemberRecord(std::string_view bytes)
{
    platform::MemberList list({});
    const auto vms = list.update({{"vm1", std::string(bytes)}}, testTime());
    if (vms.empty())
        return list.takeLeftOut().size() == 1;
    return vms.front().name == "vm1" && parseEndpoint(vms.front().address).has_value()
            && platform::decodeMember(platform::encodeMember(vms.front())) == vms.front();
}

// A configuration that is accepted reaches other VMs unchanged.
inline bool checkConfiguration(std::string_view bytes)
{
    const auto configuration = platform::decodeConfiguration(bytes);
    if (!configuration.has_value())
        return true;
    const ConfigurationMessage message {configuration.value()};
    const auto decoded = decodeMessage(encodeMessage(message));
    return decoded.has_value() && std::get<ConfigurationMessage>(decoded.value()) == message;
}

// All times of a job that is accepted are in the range of Time. The sanitizers find an overflow.
inline bool checkJob(std::string_view bytes)
{
    const auto job = platform::decodeJob("0123456789abcdef", bytes);
    if (!job.has_value())
        return true;
    const auto last = std::max(job.value().repeatCount, 1U) - 1;
    const Time lastDue = fromUnixMillis(job.value().firstDueMs) + last * job.value().repeatInterval;
    return lastDue + criticalPath(job.value()) >= Time {};
}

// A page holds no more than its bytes, and a list goes on only behind a key.
inline bool checkStoreResponse(std::string_view bytes)
{
    const auto page = platform::decodeKeyedRecords(bytes, 7);
    if (page.has_value() && page.value().nextOffset < 7 + page.value().records.size())
        return false;
    size_t total = 0;
    if (const auto raw = platform::decodeRawRecords(bytes); raw.has_value()) {
        for (const std::string_view record : raw.value().records)
            total += record.size();
    }
    const auto newest = platform::decodeNewest(bytes);
    if (newest.has_value()) {
        for (const platform::KeyedRecord &record : newest.value().records)
            total += record.value->size();
    }
    const auto membership = platform::decodeMembership(bytes);
    const size_t shardCount = membership.has_value() ? membership.value().shards.size() : 0;
    return total + shardCount <= bytes.size();
}

// What can be decoded is the same after another round. Encodings of an accepted message may differ,
// since flags may have any value but 0.
inline bool checkVmMessage(std::string_view bytes)
{
    const auto message = decodeMessage(bytes);
    if (!message.has_value())
        return true;
    const std::string encoded = encodeMessage(message.value());
    const auto again = decodeMessage(encoded);
    return again.has_value() && encodeMessage(again.value()) == encoded;
}

inline bool checkJournalRecord(std::string_view bytes)
{
    const auto record = decodeRecord(bytes);
    if (!record.has_value())
        return true;
    const std::string encoded = encodeRecord(record.value());
    const auto again = decodeRecord(encoded);
    return again.has_value() && encodeRecord(again.value()) == encoded;
}

} // namespace lovage::fuzz
