// Reads one HTTP message after another from the bytes of a connection. Private to the net library.
#pragma once

#include "lovage/net.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

#include <iterator>
#include <optional>
#include <string>
#include <vector>

namespace lovage {

// Body of a message. Unlike http::string_body, it takes memory for the bytes that arrive, not for
// the length that the other side announces.
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

// Without I/O and without limits of its own beyond those of the parser. The fields of trailers are
// dropped: they must not change what the header says.
template<bool isRequest>
class HttpMessageReader
{
public:
    using Parser = boost::beast::http::parser<isRequest, ArrivedBody>;
    using Message = typename Parser::value_type;

    // Begins the next message. Input behind the message before it is kept.
    void start(size_t maxBodyBytes, size_t maxHeaderBytes)
    {
        parser_.emplace();
        parser_->body_limit(maxBodyBytes);
        parser_->header_limit(static_cast<uint32_t>(maxHeaderBytes));
        headers_.clear();
        consumed_ = 0;
        isHeaderRead_ = false;
        hasUnparsed_ = false;
    }

    // Room for input, to be filled before commit().
    boost::asio::mutable_buffer prepare() { return buffer_.prepare(readBytes); }
    void commit(size_t count) { buffer_.commit(count); }

    // Parses the input, at most to the end of the message.
    boost::system::error_code parse()
    {
        while (hasInput() && !parser_->is_done() && !isShortChunkHeader()) {
            boost::system::error_code error;
            const size_t count = parser_->put(buffer_.data(), error);
            buffer_.consume(count);
            consumed_ += count;
            hasUnparsed_ = hasInput();
            if (error == boost::beast::http::error::need_more)
                return {};
            if (error)
                return error;
            if (parser_->is_header_done() && !isHeaderRead_)
                readHeader();
        }
        return {};
    }
    // Handles the end of the input, which may be the end of the message.
    boost::system::error_code finish()
    {
        boost::system::error_code error;
        parser_->put_eof(error);
        return error;
    }

    bool isDone() const { return parser_->is_done(); }
    bool isHeaderDone() const { return parser_->is_header_done(); }
    // Valid once the header is done.
    bool keepsAlive() const { return keepsAlive_; }
    const Message &message() const { return parser_->get(); }
    std::vector<HttpHeader> takeHeaders() { return std::exchange(headers_, {}); }
    // Ends the message and returns it.
    Message take()
    {
        Message message = parser_->release();
        parser_.reset();
        return message;
    }

    bool hasInput() const { return buffer_.size() > 0; }
    size_t inputBytes() const { return buffer_.size(); }
    // Bytes of the message that were parsed.
    size_t consumedBytes() const { return consumed_; }
    // Number of fields in the header and in the trailers that were parsed.
    size_t fieldCount() const
    {
        return static_cast<size_t>(std::distance(message().begin(), message().end()));
    }
    // Memory for input and body.
    size_t heldBytes() const
    {
        return buffer_.capacity() + (parser_ ? parser_->get().body().capacity() : 0);
    }
    // Frees all memory, with the input.
    void release()
    {
        parser_.reset();
        headers_ = std::vector<HttpHeader>();
        buffer_ = {};
        consumed_ = 0;
    }

private:
    static constexpr size_t readBytes = 16U << 10;

    // The parser stops behind the header, before it has seen a trailer.
    void readHeader()
    {
        isHeaderRead_ = true;
        keepsAlive_ = parser_->keep_alive();
        for (const auto &field : message())
            headers_.push_back({std::string(field.name_string()), std::string(field.value())});
        parser_->eager(true);
    }

    // The parser asserts that it gets at least 5 bytes of a last chunk ("0" and two line ends)
    // whose size line it has seen before. Nothing shorter can follow a chunk line, so shorter input
    // can wait.
    bool isShortChunkHeader() const
    {
        constexpr size_t shortestEnd = 5;
        return hasUnparsed_ && buffer_.size() < shortestEnd && parser_->is_header_done()
                && parser_->chunked();
    }

    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::vector<HttpHeader> headers_;
    size_t consumed_ = 0;
    bool isHeaderRead_ = false;
    bool hasUnparsed_ = false; // the parser has seen the input and needs more
    bool keepsAlive_ = false;
};

} // namespace lovage
