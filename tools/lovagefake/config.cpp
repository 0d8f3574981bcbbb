#include "lovagefake/fake.h"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <stdexcept>

namespace lovage::fake {

namespace json = boost::json;

namespace {

// Reports an invalid configuration. parseFakeConfig() converts it into an Error.
struct ConfigError : std::runtime_error
{
    using std::runtime_error::runtime_error;
};

// Reads the members of a JSON object by key. finish() rejects the keys that were not read.
class Reader
{
public:
    Reader(const json::value &value, std::string path) : path_(std::move(path))
    {
        if (!value.is_object())
            throw ConfigError(path_ + " is not an object");
        object_ = value.get_object();
    }

    std::string text(const char *key, const std::string &fallback)
    {
        const json::value value = take(key, json::value(fallback));
        if (!value.is_string())
            throw ConfigError(fmt::format("{}.{} is not a string", path_, key));
        return std::string(value.get_string());
    }
    std::string name(const char *key)
    {
        std::string found = text(key, "");
        if (!isValidName(found))
            throw ConfigError(fmt::format("{}.{} is not a valid name", path_, key));
        return found;
    }
    double number(const char *key, double fallback)
    {
        const json::value value = take(key, fallback);
        if (!value.is_number() || value.to_number<double>() < 0)
            throw ConfigError(fmt::format("{}.{} is not a number of at least 0", path_, key));
        return value.to_number<double>();
    }
    uint32_t count(const char *key, uint32_t fallback)
    {
        return static_cast<uint32_t>(number(key, fallback));
    }
    Duration millis(const char *key, Duration fallback)
    {
        return Duration(static_cast<int64_t>(
                1000 * number(key, static_cast<double>(fallback.count()) / 1000)));
    }
    Endpoint endpoint(const char *key)
    {
        const auto found = parseEndpoint(text(key, "127.0.0.1:0"));
        if (!found)
            throw ConfigError(fmt::format("{}.{} is not address:port", path_, key));
        return *found;
    }
    template<class Function>
    void forEachElement(const char *key, Function function)
    {
        const json::value value = take(key, json::array());
        if (!value.is_array())
            throw ConfigError(fmt::format("{}.{} is not a list", path_, key));
        size_t index = 0;
        for (const json::value &element : value.get_array()) {
            Reader reader(element, fmt::format("{}.{}[{}]", path_, key, index++));
            function(reader);
            reader.finish();
        }
    }
    void finish() const
    {
        if (!object_.empty())
            throw ConfigError(fmt::format("{}.{} is not a known key", path_,
                                          std::string(object_.begin()->key())));
    }

private:
    json::value take(const char *key, json::value fallback)
    {
        const auto found = object_.find(key);
        if (found == object_.end())
            return fallback;
        json::value value = found->value();
        object_.erase(found);
        return value;
    }

    json::object object_;
    std::string path_;
};

ServerConfig readServer(Reader &reader)
{
    ServerConfig server;
    server.name = reader.name("name");
    server.dataCentre = reader.name("dataCentre");
    server.rack = reader.text("rack", "r1");
    const auto kind = parseBackendKind(reader.text("kind", "executor"));
    if (!kind)
        throw ConfigError(server.name + ": kind is neither executor nor worker");
    server.kind = *kind;
    server.slots = reader.count("slots", server.slots);
    server.capacity.milliCores = reader.count("milliCores", 0);
    server.capacity.memoryMb = reader.count("memoryMb", 0);
    server.capacity.accelerators = reader.count("accelerators", 0);
    server.speed = reader.number("speed", 1.0);
    server.endpoint = reader.endpoint("endpoint");
    server.maxConnections = reader.count("maxConnections", server.maxConnections);
    if (server.speed <= 0)
        throw ConfigError(server.name + ": speed is not positive");
    return server;
}

FakeConfig readConfig(const json::value &value)
{
    FakeConfig config;
    Reader reader(value, "config");
    config.seed = reader.count("seed", 1);
    config.threads = std::max(1U, reader.count("threads", 4));
    config.control = reader.endpoint("control");
    config.linkDelay = reader.millis("linkDelayMs", config.linkDelay);
    config.platform.logRetention = reader.millis("logRetentionMs", config.platform.logRetention);
    config.platform.maxAppendsPerSecond =
            reader.count("maxAppendsPerSecond", config.platform.maxAppendsPerSecond);
    config.platform.appendDelay = reader.millis("appendDelayMs", config.platform.appendDelay);
    config.platform.vmListLag = reader.millis("vmListLagMs", config.platform.vmListLag);
    reader.forEachElement("platforms", [&](Reader &element) {
        config.listeners.push_back({element.name("dataCentre"), element.endpoint("endpoint")});
    });
    reader.forEachElement("entries", [&](Reader &element) {
        config.entries.push_back(
                {element.name("name"), element.name("dataCentre"), element.endpoint("peer")});
    });
    reader.forEachElement("relays", [&](Reader &element) {
        config.relays.push_back(
                {element.name("from"), element.name("to"), element.endpoint("endpoint")});
    });
    reader.forEachElement("servers",
                          [&](Reader &element) { config.servers.push_back(readServer(element)); });
    reader.finish();
    return config;
}

} // namespace

Result<FakeConfig> parseFakeConfig(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    const json::value value = json::parse({text.data(), text.size()}, error, {}, options);
    if (error)
        return notRun(ErrorCode::InvalidSettings, error.message());
    try {
        return readConfig(value);
    } catch (const ConfigError &configError) {
        return notRun(ErrorCode::InvalidSettings, configError.what());
    }
}

} // namespace lovage::fake
