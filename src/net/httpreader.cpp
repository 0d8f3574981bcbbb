#include "httpreader.h"

#include <boost/beast/http/error.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace lovage {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t readBytes = 16U << 10;
// Memory of a header field beside its text, in the parser and in the request.
constexpr size_t bytesPerField = 128;

constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeaderTooLarge = 431;

HttpRefusal refusalOf(const error_code &error)
{
    if (error == http::error::body_limit)
        return {HttpRefusal::Cause::Body, statusTooLarge, ErrorCode::BodyTooLarge,
                "request body is larger than the limit"};
    if (error == http::error::header_limit)
        return {HttpRefusal::Cause::Header, statusHeaderTooLarge, ErrorCode::MalformedBody,
                "request header is larger than the limit"};
    return {HttpRefusal::Cause::Malformed, statusBadRequest, ErrorCode::MalformedBody,
            fmt::format("malformed HTTP request: {}", error.message())};
}

} // namespace

void HttpRequestReader::startRequest()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(limits_.maxBodyBytes);
    parser_->header_limit(static_cast<uint32_t>(limits_.maxHeaderBytes));
    refusal_ = {};
    consumed_ = 0;
    fieldCount_ = 0;
    isHeaderCounted_ = false;
    hasUnparsed_ = false;
}

boost::asio::mutable_buffer HttpRequestReader::prepare()
{
    return buffer_.prepare(readBytes);
}

HttpRequestReader::State HttpRequestReader::parse()
{
    while (hasInput() && !isShortChunkHeader()) {
        error_code error;
        const size_t count = parser_->put(buffer_.data(), error);
        buffer_.consume(count);
        consumed_ += count;
        hasUnparsed_ = hasInput();
        if (error && error != http::error::need_more)
            return refuse(refusalOf(error));
        const State state = checkProgress();
        if (state != State::Incomplete || error == http::error::need_more)
            return state;
    }
    return State::Incomplete;
}

// The parser asserts that it gets at least 5 bytes of a last chunk ("0" and two line ends) whose
// size line it has seen before. Nothing shorter can follow a chunk line, so shorter input can wait.
bool HttpRequestReader::isShortChunkHeader() const
{
    constexpr size_t shortestEnd = 5;
    return hasUnparsed_ && buffer_.size() < shortestEnd && parser_->is_header_done()
            && parser_->chunked();
}

HttpRequestReader::State HttpRequestReader::checkProgress()
{
    const bool isDone = parser_->is_done();
    // The header fields are counted when the header is complete, and once more with the trailers.
    if (parser_->is_header_done() && (!isHeaderCounted_ || isDone)) {
        isHeaderCounted_ = true;
        fieldCount_ = fieldCount();
        if (fieldCount_ > limits_.maxHeaderFields)
            return refuse({HttpRefusal::Cause::Header, statusHeaderTooLarge,
                           ErrorCode::MalformedBody, "request has too many header fields"});
    }
    const size_t unparsed = isDone ? 0 : buffer_.size();
    if (unparsed > limits_.maxHeaderBytes)
        return refuse({HttpRefusal::Cause::Header, statusHeaderTooLarge, ErrorCode::MalformedBody,
                       "a chunk line or the trailers are larger than the limit"});
    if (consumed_ + unparsed > limits_.maxRequestBytes)
        return refuse({HttpRefusal::Cause::Request, statusTooLarge, ErrorCode::BodyTooLarge,
                       "request is larger than the limit"});
    if (isDone) {
        keepsAlive_ = parser_->keep_alive();
        return State::Complete;
    }
    return State::Incomplete;
}

HttpRequestReader::State HttpRequestReader::refuse(HttpRefusal refusal)
{
    refusal_ = std::move(refusal);
    return State::Refused;
}

HttpRequest HttpRequestReader::takeRequest()
{
    auto message = parser_->release();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    request.body = std::move(message.body());
    parser_.reset();
    return request;
}

size_t HttpRequestReader::fieldCount() const
{
    const auto &message = parser_->get();
    return static_cast<size_t>(std::distance(message.begin(), message.end()));
}

size_t HttpRequestReader::heldBytes() const
{
    const size_t body = parser_ ? parser_->get().body().capacity() : 0;
    return buffer_.capacity() + body + fieldCount_ * bytesPerField;
}

void HttpRequestReader::release()
{
    parser_.reset();
    buffer_ = {};
    consumed_ = 0;
    fieldCount_ = 0;
}

} // namespace lovage
