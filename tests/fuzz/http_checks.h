// Properties of the reader of HTTP requests. Used by the fuzzer and by the replay of its inputs.
#pragma once

#include "../../src/net/httpreader.h"

#include <algorithm>
#include <cstring>
#include <string_view>
#include <vector>

namespace lovage::fuzz {

inline HttpLimits smallHttpLimits()
{
    HttpLimits limits;
    limits.maxBodyBytes = 4096;
    limits.maxHeaderBytes = 1024;
    limits.maxHeaderFields = 32;
    limits.maxRequestBytes = 8192;
    return limits;
}

// What the reader makes of an input: the bodies of its requests, and the cause of a refusal.
struct ReadRequests
{
    std::vector<std::string> bodies;
    std::vector<int> refusals;
    bool isBounded = true;

    auto operator<=>(const ReadRequests &) const = default;
};

inline ReadRequests readRequests(std::string_view bytes, size_t bytesPerRead)
{
    // Two buffers of a read, a body that has grown to twice its size, and the header fields.
    constexpr size_t maxHeldBytes = 128U << 10;
    const HttpLimits limits = smallHttpLimits();
    HttpRequestReader reader(limits);
    ReadRequests result;
    while (!bytes.empty()) {
        const auto room = reader.prepare();
        const size_t count = std::min({room.size(), bytesPerRead, bytes.size()});
        std::memcpy(room.data(), bytes.data(), count);
        reader.commit(count);
        bytes.remove_prefix(count);
        auto state = reader.parse();
        while (state == HttpRequestReader::State::Complete) {
            result.isBounded &= reader.heldBytes() <= maxHeldBytes;
            const HttpRequest request = reader.takeRequest();
            result.isBounded &= request.body.size() <= limits.maxBodyBytes
                    && request.headers.size() <= limits.maxHeaderFields;
            result.bodies.push_back(request.body);
            reader.startRequest();
            state = reader.parse();
        }
        result.isBounded &= reader.heldBytes() <= maxHeldBytes;
        if (state == HttpRequestReader::State::Refused) {
            result.refusals.push_back(reader.refusal().status);
            return result;
        }
    }
    return result;
}

// The reader holds a bounded number of bytes, and how the input is divided does not change the
// requests. Read byte by byte, a chunk line or trailers may be refused that are parsed as a whole
// if they arrive at once; then the requests before them are the same. An unfinished header may be
// refused as malformed if it arrives at once, while read byte by byte it waits for its end.
inline bool checkHttpRequests(std::string_view bytes)
{
    const ReadRequests whole = readRequests(bytes, 16384);
    const ReadRequests divided = readRequests(bytes, 1);
    const bool isPrefix = divided.bodies.size() <= whole.bodies.size()
            && std::equal(divided.bodies.begin(), divided.bodies.end(), whole.bodies.begin());
    const bool isSame = divided.bodies == whole.bodies;
    const bool isRefused = !divided.refusals.empty();
    const auto isKnown = [](int status) { return status == 400 || status == 413 || status == 431; };
    return whole.isBounded && divided.isBounded && isPrefix && (isRefused || isSame)
            && std::all_of(divided.refusals.begin(), divided.refusals.end(), isKnown);
}

} // namespace lovage::fuzz
