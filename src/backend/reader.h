// Strict JSON object parser, internal to the backend library.
#pragma once

#include "lovage/backend.h"

#include <boost/json.hpp>

#include <functional>
#include <initializer_list>

namespace lovage::backend {

// A parsed JSON body and the first error found in it. A failed read returns a default value, so a
// parse function checks for an error only once, at its end.
class Body
{
public:
    // Errors in the body carry the given verdict and one of the two codes.
    Body(std::string_view text, const BodyLimits &limits, Verdict verdict, ErrorCode malformed,
         ErrorCode tooLarge);
    Body(const Body &) = delete;
    Body &operator=(const Body &) = delete;

    const boost::json::value &root() const { return root_; }
    const BodyLimits &limits() const { return limits_; }
    const std::optional<Error> &error() const { return error_; }
    void fail(std::string_view path, std::string_view problem);
    void failTooLarge(std::string_view path, std::string_view problem);
    void fail(ErrorCode code, std::string_view path, std::string_view problem);

private:
    // Size of the inline buffer; parsing a body that fits into it needs no heap allocation.
    static constexpr size_t inlineBytes = 16U << 10;

    BodyLimits limits_;
    Verdict verdict_;
    ErrorCode malformed_;
    ErrorCode tooLarge_;
    std::optional<Error> error_;
    std::array<unsigned char, inlineBytes> buffer_;
    boost::json::monotonic_resource memory_;
    boost::json::value root_;
};

// Reads the fields of one JSON object. finish() reports a key that no getter has read as an error.
class ObjectReader
{
public:
    ObjectReader(Body &body, const boost::json::value &value, std::string path);

    bool has(std::string_view key) const;
    // The getters below read required fields; an absent field is an error.
    std::string text(std::string_view key, size_t maxBytes);
    std::string id(std::string_view key) { return text(key, body_.limits().maxIdBytes); }
    std::string payload(std::string_view key) { return text(key, body_.limits().maxPayloadBytes); }
    uint64_t number(std::string_view key, uint64_t max);
    bool flag(std::string_view key);
    Duration millis(std::string_view key);
    Duration micros(std::string_view key);
    // Time since the Unix epoch.
    Duration unixMillis(std::string_view key);
    // Calls the function with each element of the list and its path.
    using Element = std::function<void(const boost::json::value &, std::string)>;
    void each(std::string_view key, const Element &function);
    // Calls the function with the value of the key and its path.
    void object(std::string_view key, const Element &function);
    std::vector<std::string> ids(std::string_view key);
    template<class Function>
    auto choice(std::string_view key, Function parse)
    {
        const std::string found = text(key, maxChoiceBytes);
        const auto value = parse(found);
        if (!value)
            fail(key, "has an unknown value");
        return value.value_or(typename decltype(value)::value_type {});
    }

    void fail(std::string_view key, std::string_view problem);
    void finish();
    Body &body() { return body_; }

private:
    static constexpr size_t maxChoiceBytes = 64;
    const boost::json::value *find(std::string_view key);
    std::string pathOf(std::string_view key) const;

    Body &body_;
    const boost::json::object *object_ = nullptr;
    std::string path_;
    size_t found_ = 0;
    std::vector<std::string_view> known_;
};

// Returns the enumerator whose value is the index of the text in the names, or nullopt.
template<class Enum, size_t Size>
std::optional<Enum> enumOf(const std::array<std::string_view, Size> &names, std::string_view text)
{
    for (size_t i = 0; i < Size; ++i) {
        if (names[i] == text)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

// Returns the error of the body if there is one, the value otherwise.
template<class T>
Result<T> finishParse(const Body &body, T value)
{
    if (body.error())
        return *body.error();
    return value;
}

Body requestBody(std::string_view text, const BodyLimits &limits);
Body replyBody(std::string_view text, const BodyLimits &limits);

// Appends the text as a quoted and escaped JSON string.
void appendQuoted(std::string &out, std::string_view text);

} // namespace lovage::backend
