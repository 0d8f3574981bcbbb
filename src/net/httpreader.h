// Reads one HTTP request after another from the bytes of a connection. Private to the net library.
#pragma once

#include "messagereader.h"

namespace lovage {

// Without I/O. Holds a bounded number of bytes whatever the client sends: the unparsed input is
// bounded by the limits of a header, because a chunk line and the trailers are parsed as a whole.
class HttpRequestReader
{
public:
    enum class State { Incomplete, Complete, Refused };

    explicit HttpRequestReader(const HttpLimits &limits) : limits_(limits) { startRequest(); }

    // Begins the next request. Input behind the request before it is kept.
    void startRequest();
    // Room for input, to be filled before commit().
    boost::asio::mutable_buffer prepare() { return reader_.prepare(); }
    void commit(size_t count) { reader_.commit(count); }
    // Parses the input. Once it is not Incomplete, startRequest() must be called first.
    State parse();
    // Why the request was refused.
    const HttpRefusal &refusal() const { return refusal_; }

    // Valid once the request is complete.
    bool keepsAlive() const { return reader_.keepsAlive(); }
    HttpRequest takeRequest();

    bool hasInput() const { return reader_.hasInput(); }
    // Whether a part of the request was read.
    bool hasBegun() const { return reader_.consumedBytes() > 0 || hasInput(); }
    // Memory that is held for input, header fields and body.
    size_t heldBytes() const;
    // Frees all memory, with the input.
    void release();

private:
    State refuse(HttpRefusal refusal);
    State checkProgress();

    const HttpLimits &limits_;
    HttpMessageReader<true> reader_;
    HttpRefusal refusal_;
    size_t fieldCount_ = 0;
    bool isHeaderCounted_ = false;
};

} // namespace lovage
