#include "httpreader.h"

#include <fmt/format.h>

namespace lovage {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

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
    reader_.start(limits_.maxBodyBytes, limits_.maxHeaderBytes);
    refusal_ = {};
    fieldCount_ = 0;
    isHeaderCounted_ = false;
}

HttpRequestReader::State HttpRequestReader::parse()
{
    const error_code error = reader_.parse();
    return error ? refuse(refusalOf(error)) : checkProgress();
}

HttpRequestReader::State HttpRequestReader::checkProgress()
{
    const bool isDone = reader_.isDone();
    // The header fields are counted when the header is complete, and once more with the trailers.
    if (reader_.isHeaderDone() && (!isHeaderCounted_ || isDone)) {
        isHeaderCounted_ = true;
        fieldCount_ = reader_.fieldCount();
        if (fieldCount_ > limits_.maxHeaderFields)
            return refuse({HttpRefusal::Cause::Header, statusHeaderTooLarge,
                           ErrorCode::MalformedBody, "request has too many header fields"});
    }
    const size_t unparsed = isDone ? 0 : reader_.inputBytes();
    if (unparsed > limits_.maxHeaderBytes)
        return refuse({HttpRefusal::Cause::Header, statusHeaderTooLarge, ErrorCode::MalformedBody,
                       "a chunk line or the trailers are larger than the limit"});
    if (reader_.consumedBytes() + unparsed > limits_.maxRequestBytes)
        return refuse({HttpRefusal::Cause::Request, statusTooLarge, ErrorCode::BodyTooLarge,
                       "request is larger than the limit"});
    return isDone ? State::Complete : State::Incomplete;
}

HttpRequestReader::State HttpRequestReader::refuse(HttpRefusal refusal)
{
    refusal_ = std::move(refusal);
    return State::Refused;
}

HttpRequest HttpRequestReader::takeRequest()
{
    HttpRequest request;
    request.headers = reader_.takeHeaders();
    auto message = reader_.take();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    return request;
}

size_t HttpRequestReader::heldBytes() const
{
    return reader_.heldBytes() + fieldCount_ * bytesPerField;
}

void HttpRequestReader::release()
{
    reader_.release();
    fieldCount_ = 0;
}

} // namespace lovage
