#include "reader.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage::backend {

namespace json = boost::json;

namespace {

// Limits durations to one year, far below the range of Duration, so that sums with times cannot
// overflow.
constexpr uint64_t maxMillis = uint64_t {366} * 24 * 3600 * 1000;
// Largest accepted time since the Unix epoch, at the end of the year 9999.
constexpr uint64_t maxUnixMillis = 253402300799000;

} // namespace

Body::Body(std::string_view text, const BodyLimits &limits, Verdict verdict, ErrorCode malformed,
           ErrorCode tooLarge)
    : limits_(limits), verdict_(verdict), malformed_(malformed), tooLarge_(tooLarge),
      memory_(buffer_.data(), buffer_.size())
{
    json::error_code error;
    root_ = json::parse({text.data(), text.size()}, error, &memory_);
    if (error)
        fail("body", error.message());
}

void Body::fail(std::string_view path, std::string_view problem)
{
    fail(malformed_, path, problem);
}

void Body::failTooLarge(std::string_view path, std::string_view problem)
{
    fail(tooLarge_, path, problem);
}

void Body::fail(ErrorCode code, std::string_view path, std::string_view problem)
{
    if (!error_)
        error_ = Error {verdict_, code, fmt::format("{}: {}", path, problem)};
}

Body requestBody(std::string_view text, const BodyLimits &limits)
{
    return {text, limits, Verdict::NotRun, ErrorCode::MalformedBody, ErrorCode::BodyTooLarge};
}

Body replyBody(std::string_view text, const BodyLimits &limits)
{
    return {text, limits, Verdict::MayHaveRun, ErrorCode::MalformedAnswer,
            ErrorCode::AnswerTooLarge};
}

ObjectReader::ObjectReader(Body &body, const json::value &value, std::string path)
    : body_(body), object_(value.if_object()), path_(std::move(path))
{
    if (object_ == nullptr)
        body_.fail(path_.empty() ? "body" : path_, "is not an object");
}

bool ObjectReader::has(std::string_view key) const
{
    return object_ != nullptr && object_->contains({key.data(), key.size()});
}

const json::value *ObjectReader::find(std::string_view key)
{
    if (object_ == nullptr)
        return nullptr;
    const json::value *value = object_->if_contains({key.data(), key.size()});
    known_.push_back(key);
    if (value == nullptr)
        fail(key, "is missing");
    else
        ++found_;
    return value;
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

void ObjectReader::fail(std::string_view key, std::string_view problem)
{
    if (!body_.error())
        body_.fail(pathOf(key), problem);
}

std::string ObjectReader::text(std::string_view key, size_t maxBytes)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return {};
    const json::string *found = value->if_string();
    if (found == nullptr) {
        fail(key, "is not a string");
        return {};
    }
    if (found->size() > maxBytes) {
        body_.failTooLarge(pathOf(key), fmt::format("is longer than {} bytes", maxBytes));
        return {};
    }
    return {found->data(), found->size()};
}

uint64_t ObjectReader::number(std::string_view key, uint64_t max)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return 0;
    json::error_code error;
    const auto found = value->is_double() ? 0 : value->to_number<uint64_t>(error);
    if (error || value->is_double()) {
        fail(key, "is not a whole number of at least 0");
        return 0;
    }
    if (found > max) {
        fail(key, fmt::format("is larger than {}", max));
        return 0;
    }
    return found;
}

bool ObjectReader::flag(std::string_view key)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return false;
    if (!value->is_bool()) {
        fail(key, "is not a boolean");
        return false;
    }
    return value->get_bool();
}

Duration ObjectReader::millis(std::string_view key)
{
    return std::chrono::milliseconds(number(key, maxMillis));
}

Duration ObjectReader::micros(std::string_view key)
{
    return Duration(number(key, maxMillis * 1000));
}

Duration ObjectReader::unixMillis(std::string_view key)
{
    return std::chrono::milliseconds(number(key, maxUnixMillis));
}

void ObjectReader::object(std::string_view key, const Element &function)
{
    if (const json::value *value = find(key))
        function(*value, pathOf(key));
}

void ObjectReader::each(std::string_view key, const Element &function)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return;
    const json::array *elements = value->if_array();
    if (elements == nullptr) {
        fail(key, "is not a list");
        return;
    }
    if (elements->size() > body_.limits().maxTasks) {
        body_.fail(ErrorCode::TooManyTasks, pathOf(key),
                   fmt::format("has more than {} elements", body_.limits().maxTasks));
        return;
    }
    size_t index = 0;
    for (const json::value &element : *elements) {
        if (body_.error())
            return;
        function(element, fmt::format("{}[{}]", pathOf(key), index++));
    }
}

std::vector<std::string> ObjectReader::ids(std::string_view key)
{
    std::vector<std::string> result;
    each(key, [&](const json::value &element, const std::string &path) {
        const json::string *found = element.if_string();
        if (found == nullptr || found->empty() || found->size() > body_.limits().maxIdBytes)
            body_.fail(path, "is not an id of allowed length");
        else
            result.emplace_back(found->data(), found->size());
    });
    return result;
}

void ObjectReader::finish()
{
    if (object_ == nullptr || body_.error() || found_ == object_->size())
        return;
    for (const auto &member : *object_) {
        const std::string_view key(member.key().data(), member.key().size());
        if (std::find(known_.begin(), known_.end(), key) == known_.end())
            fail(key, "is not a known key");
    }
}

void appendQuoted(std::string &out, std::string_view text)
{
    constexpr std::string_view hexDigits = "0123456789abcdef";
    out += '"';
    size_t clean = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        const auto c = static_cast<unsigned char>(text[i]);
        if (c >= 0x20 && c != '"' && c != '\\')
            continue;
        out.append(text, clean, i - clean);
        clean = i + 1;
        if (c == '"' || c == '\\') {
            out += '\\';
            out += text[i];
        } else {
            out += "\\u00";
            out += hexDigits[c >> 4];
            out += hexDigits[c & 15];
        }
    }
    out.append(text, clean);
    out += '"';
}

} // namespace lovage::backend
