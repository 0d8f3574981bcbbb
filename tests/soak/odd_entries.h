// Entries of backend servers as other writers leave them in the store.
#pragma once

#include "servers.h"

namespace lovage::soak {

// Each function returns the text of an entry that differs from the server's own one.

inline std::string entryWithOddBorn(json::object entry, Random &random)
{
    const json::value values[] = {9'000'000'000'000'000,
                                  UINT64_MAX,
                                  entry["born"].as_int64() + 3'600'000,
                                  entry["born"].as_int64() + 1,
                                  1,
                                  0,
                                  -5,
                                  0.5,
                                  1e300,
                                  "4000000000000",
                                  nullptr,
                                  true,
                                  json::array {4'000'000'000'000}};
    constexpr size_t count = std::size(values);
    const size_t choice = random.below(count + 1);
    if (choice == count)
        entry.erase("born");
    else
        entry["born"] = values[choice];
    return json::serialize(entry);
}

// `otherPort` is that of another server, which answers for itself only.
inline std::string entryWithOddAddress(json::object entry, uint16_t otherPort, Random &random)
{
    const json::value values[] = {"127.0.0.1:1",
                                  "127.0.0.1:0",
                                  "127.0.0.1:70000",
                                  "127.0.0.1:-1",
                                  "127.0.0.1",
                                  "",
                                  "host.invalid:80",
                                  json::string(100'000, '1'),
                                  80,
                                  nullptr};
    constexpr double otherServerShare = 0.5;
    if (random.unit() < otherServerShare)
        entry["address"] = json::string(fmt::format("127.0.0.1:{}", otherPort));
    else
        entry["address"] = values[random.below(std::size(values))];
    return json::serialize(entry);
}

inline std::string undecodableEntry(Random &random)
{
    constexpr size_t depth = 5000;
    const std::string texts[] = {"\xff\xfe\x80",
                                 std::string(3, '\0'),
                                 "{",
                                 "{\"service\":",
                                 "null",
                                 "[]",
                                 "\"s\"",
                                 "1e999",
                                 std::string(depth, '['),
                                 R"({"service":"s","labels":)" + std::string(depth, '[')
                                         + std::string(depth, ']') + "}"};
    return texts[random.below(std::size(texts))];
}

// One other field is missing, of another type, or has a value that is not named in the protocol.
inline std::string entryWithOddField(json::object entry, Random &random)
{
    const std::string fields[] = {"service", "zone", "state", "capacity", "labels", "slots", "seq"};
    const json::value values[] = {nullptr, 7, "sleeping", json::array {json::array {}, 3, "x"},
                                  json::object {{"cpu", -1}, {"mem_mb", 1e300}, {"gpu", "2"}}};
    const std::string &field = fields[random.below(std::size(fields))];
    const size_t choice = random.below(std::size(values) + 1);
    if (choice == std::size(values))
        entry.erase(field);
    else
        entry[field] = values[choice];
    return json::serialize(entry);
}

} // namespace lovage::soak
