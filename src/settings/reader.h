// Reads typed values from a JSON object and collects every error with the path of its key.
#pragma once

#include "lovage/settings.h"

#include <boost/json.hpp>

#include <functional>
#include <set>

namespace lovage {

// Reads the keys of one JSON object. Each read marks its key as known; finish() reports the keys
// that were never read. The object and the error list must outlive the reader.
class ObjectReader
{
public:
    ObjectReader(const boost::json::value &value, std::string path,
                 std::vector<SettingsError> &errors);

    void readName(std::string_view key, std::string &target);
    void readText(std::string_view key, std::string &target, size_t minLength);
    void readOneOf(std::string_view key, std::string &target,
                   const std::vector<std::string_view> &allowed);
    void readEndpoint(std::string_view key, Endpoint &target, bool isRequired);
    void readMillis(std::string_view key, Duration &target, int64_t minimum, int64_t maximum);
    void readFraction(std::string_view key, double &target);
    // A number of seconds, with or without a fraction.
    void readSeconds(std::string_view key, Duration &target, double minimum, double maximum);

    template<class Number>
    void readNumber(std::string_view key, Number &target, uint64_t minimum, uint64_t maximum)
    {
        const auto number = findNumber(key, minimum, maximum);
        if (number)
            target = static_cast<Number>(*number);
    }

    // Reads a nested object with the given function; absent keys leave the defaults.
    void readObject(std::string_view key, bool isRequired,
                    const std::function<void(ObjectReader &)> &read);

    // Reads each element of an array of objects with the given function.
    void readArray(std::string_view key, bool isRequired,
                   const std::function<void(ObjectReader &)> &readElement);

    // Reports an error at a key of this object that depends on other values.
    void report(std::string_view key, std::string expected);
    // Reports unknown keys.
    void finish();

private:
    const boost::json::value *find(std::string_view key, bool isRequired,
                                   std::string_view expected);
    std::optional<uint64_t> findNumber(std::string_view key, uint64_t minimum, uint64_t maximum);
    std::string pathOf(std::string_view key) const;

    const boost::json::object *object_ = nullptr;
    std::string path_;
    std::vector<SettingsError> &errors_;
    std::set<std::string, std::less<>> known_;
};

// Parses JSON with comments and trailing commas. On failure, returns null and adds one error.
boost::json::value parseCommentedJson(std::string_view text, std::vector<SettingsError> &errors);

} // namespace lovage
