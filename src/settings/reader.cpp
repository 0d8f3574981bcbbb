#include "reader.h"

#include <algorithm>

namespace lovage {

namespace json = boost::json;

ObjectReader::ObjectReader(const json::value &value, std::string path,
                           std::vector<SettingsError> &errors)
    : object_(value.if_object()), path_(std::move(path)), errors_(errors)
{
    if (object_ == nullptr)
        errors_.push_back({path_, "an object"});
}

std::string ObjectReader::pathOf(std::string_view key) const
{
    return path_.empty() ? std::string(key) : fmt::format("{}.{}", path_, key);
}

void ObjectReader::report(std::string_view key, std::string expected)
{
    errors_.push_back({pathOf(key), std::move(expected)});
}

const json::value *ObjectReader::find(std::string_view key, bool isRequired,
                                      std::string_view expected)
{
    known_.emplace(key);
    if (object_ == nullptr)
        return nullptr;
    const json::value *value = object_->if_contains({key.data(), key.size()});
    if (value == nullptr && isRequired)
        report(key, fmt::format("{} (the key is missing)", expected));
    return value;
}

void ObjectReader::readName(std::string_view key, std::string &target)
{
    constexpr std::string_view expected = "1 to 63 characters of a-z, 0-9 and '-'";
    const json::value *value = find(key, true, expected);
    if (value == nullptr)
        return;
    if (!value->is_string() || !isValidName(std::string_view(value->get_string()))) {
        report(key, std::string(expected));
        return;
    }
    target = std::string(value->get_string());
}

void ObjectReader::readText(std::string_view key, std::string &target, size_t minLength)
{
    const std::string expected = minLength == 0
            ? "a string"
            : fmt::format("a string of at least {} characters", minLength);
    const json::value *value = find(key, minLength > 0, expected);
    if (value == nullptr)
        return;
    if (!value->is_string() || value->get_string().size() < minLength) {
        report(key, expected);
        return;
    }
    target = std::string(value->get_string());
}

void ObjectReader::readOneOf(std::string_view key, std::string &target,
                             const std::vector<std::string_view> &allowed)
{
    const json::value *value = find(key, false, {});
    if (value == nullptr)
        return;
    const bool isAllowed = value->is_string()
            && std::find(allowed.begin(), allowed.end(), std::string_view(value->get_string()))
                    != allowed.end();
    if (!isAllowed) {
        report(key, fmt::format("one of {}", fmt::join(allowed, ", ")));
        return;
    }
    target = std::string(value->get_string());
}

void ObjectReader::readEndpoint(std::string_view key, Endpoint &target, bool isRequired)
{
    constexpr std::string_view expected = "an IP address with a port, such as 10.0.0.1:8080";
    const json::value *value = find(key, isRequired, expected);
    if (value == nullptr)
        return;
    const auto endpoint = value->is_string() ? parseEndpoint(std::string_view(value->get_string()))
                                             : std::nullopt;
    if (!endpoint)
        report(key, std::string(expected));
    else
        target = *endpoint;
}

std::optional<uint64_t> ObjectReader::findNumber(std::string_view key, uint64_t minimum,
                                                 uint64_t maximum)
{
    const json::value *value = find(key, false, {});
    if (value == nullptr)
        return std::nullopt;
    const bool isInRange = value->is_int64() && value->get_int64() >= 0
            && static_cast<uint64_t>(value->get_int64()) >= minimum
            && static_cast<uint64_t>(value->get_int64()) <= maximum;
    if (!isInRange) {
        report(key, fmt::format("a whole number from {} to {}", minimum, maximum));
        return std::nullopt;
    }
    return static_cast<uint64_t>(value->get_int64());
}

void ObjectReader::readMillis(std::string_view key, Duration &target, int64_t minimum,
                              int64_t maximum)
{
    const auto millis =
            findNumber(key, static_cast<uint64_t>(minimum), static_cast<uint64_t>(maximum));
    if (millis)
        target = std::chrono::milliseconds(*millis);
}

void ObjectReader::readFraction(std::string_view key, double &target)
{
    const json::value *value = find(key, false, {});
    if (value == nullptr)
        return;
    boost::system::error_code error;
    const auto number = value->to_number<double>(error);
    if (error || !(number >= 0.0 && number <= 1.0))
        report(key, "a number from 0 to 1");
    else
        target = number;
}

void ObjectReader::readSeconds(std::string_view key, Duration &target, double minimum,
                               double maximum)
{
    const json::value *value = find(key, false, {});
    if (value == nullptr)
        return;
    boost::system::error_code error;
    const auto seconds = value->to_number<double>(error);
    if (error || !(seconds >= minimum && seconds <= maximum))
        report(key, fmt::format("a number from {} to {}", minimum, maximum));
    else
        target = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void ObjectReader::readObject(std::string_view key, bool isRequired,
                              const std::function<void(ObjectReader &)> &read)
{
    const json::value *value = find(key, isRequired, "an object");
    if (value == nullptr)
        return;
    ObjectReader reader(*value, pathOf(key), errors_);
    read(reader);
    reader.finish();
}

void ObjectReader::readArray(std::string_view key, bool isRequired,
                             const std::function<void(ObjectReader &)> &readElement)
{
    const json::value *value = find(key, isRequired, "an array");
    if (value == nullptr)
        return;
    if (!value->is_array()) {
        report(key, "an array");
        return;
    }
    size_t index = 0;
    for (const json::value &element : value->get_array()) {
        ObjectReader reader(element, fmt::format("{}[{}]", pathOf(key), index), errors_);
        readElement(reader);
        reader.finish();
        ++index;
    }
}

void ObjectReader::finish()
{
    if (object_ == nullptr)
        return;
    for (const auto &member : *object_) {
        if (!known_.contains(std::string_view(member.key())))
            report(member.key(), "no such key");
    }
}

json::value parseCommentedJson(std::string_view text, std::vector<SettingsError> &errors)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    boost::system::error_code error;
    json::stream_parser parser({}, options);
    const size_t consumed = parser.write_some(text.data(), text.size(), error);
    if (!error && consumed < text.size())
        error = json::error::extra_data;
    if (!error)
        parser.finish(error);
    if (!error)
        return parser.release();
    const auto line =
            1 + std::count(text.begin(), text.begin() + static_cast<long>(consumed), '\n');
    errors.push_back({"", fmt::format("JSON with comments (line {}: {})", line, error.message())});
    return nullptr;
}

} // namespace lovage
