// Reads one HTTP request after another from the bytes of a connection. Private to the net library.
#pragma once

#include "lovage/net.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <optional>
#include <string>

namespace lovage {

// Body of a request. Unlike http::string_body, it takes memory for the bytes that arrive, not for
// the length that the client announces.
struct ArrivedBody
{
    using value_type = std::string;

    static uint64_t size(const value_type &body) { return body.size(); }

    class reader // NOLINT(readability-identifier-naming): the name that Beast requires
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, value_type &body) : body_(body)
        { }

        void init(const boost::optional<uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }
        template<class Buffers>
        size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }
        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &body_;
    };
};

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
    boost::asio::mutable_buffer prepare();
    void commit(size_t count) { buffer_.commit(count); }
    // Parses the input. Once it is not Incomplete, startRequest() must be called first.
    State parse();
    // Why the request was refused.
    const HttpRefusal &refusal() const { return refusal_; }

    // Valid once the request is complete.
    bool keepsAlive() const { return keepsAlive_; }
    HttpRequest takeRequest();

    bool hasInput() const { return buffer_.size() > 0; }
    // Whether a part of the request was read.
    bool hasBegun() const { return consumed_ > 0 || hasInput(); }
    // Memory that is held for input, header fields and body.
    size_t heldBytes() const;
    // Frees all memory, with the input.
    void release();

private:
    using Parser = boost::beast::http::request_parser<ArrivedBody>;

    State refuse(HttpRefusal refusal);
    State checkProgress();
    bool isShortChunkHeader() const;
    size_t fieldCount() const;

    const HttpLimits &limits_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    HttpRefusal refusal_;
    size_t consumed_ = 0;
    size_t fieldCount_ = 0;
    bool isHeaderCounted_ = false;
    bool hasUnparsed_ = false; // the parser has seen the input and needs more
    bool keepsAlive_ = false;
};

} // namespace lovage
