#include "reader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace lovage {

namespace {

namespace json = boost::json;

constexpr size_t minTokenLength = 8;
constexpr size_t minSecretLength = 16;
constexpr int64_t millisPerSecond = 1000;
constexpr int64_t millisPerHour = 3600 * millisPerSecond;
constexpr uint64_t maxBytes = 1ULL << 32;

void readTokens(ObjectReader &reader, std::string_view key, std::vector<TokenSettings> &target)
{
    reader.readArray(key, true, [&](ObjectReader &element) {
        TokenSettings token;
        element.readName("name", token.name);
        element.readText("token", token.token, minTokenLength);
        const auto isSame = [&](const TokenSettings &other) {
            return !token.name.empty() && other.name == token.name;
        };
        if (std::any_of(target.begin(), target.end(), isSame))
            element.report("name", "a name that is not in the list yet");
        const auto hasSameToken = [&](const TokenSettings &other) {
            return !token.token.empty() && other.token == token.token;
        };
        if (std::any_of(target.begin(), target.end(), hasSameToken))
            element.report("token", "a token that no other list element has");
        target.push_back(std::move(token));
    });
}

void readMembers(ObjectReader &reader, Settings &settings)
{
    reader.readArray("members", true, [&](ObjectReader &element) {
        MemberSettings member;
        element.readName("name", member.name);
        element.readName("dataCentre", member.dataCentre);
        element.readEndpoint("peer", member.peer, true);
        const auto isSame = [&](const MemberSettings &other) {
            return !member.name.empty() && other.name == member.name;
        };
        if (std::any_of(settings.members.begin(), settings.members.end(), isSame))
            element.report("name", "a name that is not in the list yet");
        settings.members.push_back(std::move(member));
    });
}

void readPeerKeys(ObjectReader &reader, Settings &settings)
{
    reader.readArray("peerKeys", false, [&](ObjectReader &element) {
        PeerKeySettings key;
        element.readNumber("id", key.id, 1, UINT32_MAX);
        element.readText("secret", key.secret, minSecretLength);
        if (key.id == 0)
            element.report("id", "a whole number from 1");
        settings.peerKeys.push_back(std::move(key));
    });
    if (settings.peerKeys.size() > 2)
        reader.report("peerKeys", "at most two keys: the one in use and the one being replaced");
}

void readLimits(ObjectReader &reader, LimitSettings &limits)
{
    constexpr uint64_t maxCount = 10'000'000;
    reader.readNumber("memoryMb", limits.memoryMb, 64, 1U << 20);
    reader.readNumber("maxBodyBytes", limits.maxBodyBytes, 1024, maxBytes);
    reader.readNumber("maxHeaderBytes", limits.maxHeaderBytes, 1024, 1U << 20);
    reader.readNumber("maxConnections", limits.maxConnections, 1, maxCount);
    reader.readNumber("maxAnswerBytes", limits.maxAnswerBytes, 1024, maxBytes);
    reader.readNumber("maxTasksPerJob", limits.maxTasksPerJob, 1, maxCount);
    reader.readNumber("maxQueuedTasks", limits.maxQueuedTasks, 1, maxCount);
    reader.readMillis("idleTimeoutMs", limits.idleTimeout, 1, millisPerHour);
    reader.readMillis("readTimeoutMs", limits.readTimeout, 1, millisPerHour);
    reader.readMillis("maxDeadlineMs", limits.maxDeadline, 1, millisPerHour);
    if (limits.bodyBytes() > (limits.memoryMb << 20) / 64)
        reader.report("maxBodyBytes",
                      "at most a 64th of memoryMb, because a parsed body takes 16 times its size");
}

void readLedger(ObjectReader &reader, LedgerSettings &ledger)
{
    reader.readMillis("retentionMs", ledger.retention, millisPerSecond, 24 * millisPerHour);
    reader.readMillis("openLifetimeMs", ledger.openLifetime, millisPerSecond, 24 * millisPerHour);
    reader.readNumber("maxBytes", ledger.maxBytes, 1U << 20, maxBytes);
    reader.readMillis("skewMarginMs", ledger.skewMargin, 0, 60 * millisPerSecond);
    reader.readNumber("spareIds", ledger.spareIds, 0, 100);
    // An id that lapses only after its record was deleted could be started twice.
    if (ledger.openLifetime >= ledger.retention)
        reader.report("openLifetimeMs", "less than retentionMs");
}

void readPlatform(ObjectReader &reader, PlatformSettings &platform)
{
    reader.readEndpoint("logService", platform.logService, true);
    reader.readEndpoint("vmList", platform.vmList, true);
    reader.readMillis("logRetentionMs", platform.logRetention, millisPerSecond,
                      1000 * millisPerHour);
    reader.readMillis("requestTimeoutMs", platform.requestTimeout, 10, 60 * millisPerSecond);
}

void readBackend(ObjectReader &reader, BackendSettings &backend)
{
    reader.readNumber("connectionsPerExecutor", backend.connectionsPerExecutor, 1, 10000);
    reader.readMillis("leaseMs", backend.lease, 100, 600 * millisPerSecond);
    reader.readMillis("inquiryIntervalMs", backend.inquiryInterval, 1, 60 * millisPerSecond);
    reader.readOneOf("policy", backend.policy,
                     {"random", "round-robin", "least-outstanding", "earliest-finish"});
}

void readTrace(ObjectReader &reader, TraceSettings &trace)
{
    reader.readFraction("sampleRate", trace.sampleRate);
    reader.readText("file", trace.file, 0);
    reader.readEndpoint("endpoint", trace.endpoint, false);
}

void readLogLevel(ObjectReader &reader, LogLevel &target)
{
    std::string text(toString(target));
    reader.readOneOf("logLevel", text, {"debug", "info", "warning", "error"});
    target = parseLogLevel(text).value_or(target);
}

// Checks constraints that involve more than one key.
void checkConstraints(ObjectReader &reader, const Settings &settings)
{
    const auto self = std::find_if(
            settings.members.begin(), settings.members.end(),
            [&](const MemberSettings &member) { return member.name == settings.name; });
    if (!settings.name.empty() && !settings.members.empty()) {
        if (self == settings.members.end())
            reader.report("members", fmt::format("a list that contains '{}'", settings.name));
        else if (self->dataCentre != settings.dataCentre)
            reader.report(
                    "members",
                    fmt::format("'{}' in data centre '{}'", settings.name, settings.dataCentre));
    }
    if (!settings.peerKeys.empty())
        return;
    // Without a key, anyone who can reach the port could inject messages.
    const auto isRemote = [](const MemberSettings &member) {
        return !member.peer.address.empty() && !isLoopback(member.peer);
    };
    const bool anyRemote = std::any_of(settings.members.begin(), settings.members.end(), isRemote)
            || (!settings.peer.address.empty() && !isLoopback(settings.peer));
    if (anyRemote)
        reader.report("peerKeys", "at least one key, because peers are not all on loopback");
}

void readSettings(ObjectReader &reader, Settings &settings)
{
    reader.readName("name", settings.name);
    reader.readName("dataCentre", settings.dataCentre);
    reader.readEndpoint("http", settings.http, true);
    reader.readEndpoint("peer", settings.peer, true);
    reader.readText("localAddress", settings.localAddress, 0);
    reader.readNumber("ioThreads", settings.ioThreads, 1, 64);
    readMembers(reader, settings);
    readPeerKeys(reader, settings);
    readTokens(reader, "owners", settings.owners);
    readTokens(reader, "operators", settings.operators);
    reader.readObject("platform", true,
                      [&](ObjectReader &object) { readPlatform(object, settings.platform); });
    reader.readObject("limits", false,
                      [&](ObjectReader &object) { readLimits(object, settings.limits); });
    reader.readObject("ledger", false,
                      [&](ObjectReader &object) { readLedger(object, settings.ledger); });
    reader.readObject("backend", false,
                      [&](ObjectReader &object) { readBackend(object, settings.backend); });
    reader.readObject("trace", false,
                      [&](ObjectReader &object) { readTrace(object, settings.trace); });
    reader.readMillis("drainDeadlineMs", settings.drainDeadline, 0, millisPerHour);
    readLogLevel(reader, settings.logLevel);
    checkConstraints(reader, settings);
    reader.finish();
}

} // namespace

SettingsResult parseSettings(std::string_view text)
{
    SettingsErrors errors;
    const json::value value = parseCommentedJson(text, errors.errors);
    if (!errors.errors.empty())
        return errors;
    Settings settings;
    ObjectReader reader(value, "", errors.errors);
    readSettings(reader, settings);
    if (!errors.errors.empty())
        return errors;
    return settings;
}

SettingsResult loadSettings(const std::string &file)
{
    const std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream)
        return SettingsErrors {{{"", "a readable file"}}};
    return parseSettings(text.str());
}

std::string describe(const std::string &file, const SettingsErrors &errors)
{
    std::string text;
    for (const SettingsError &error : errors.errors) {
        const std::string path = error.path.empty() ? "" : error.path + ": ";
        text += fmt::format("{}: {}expected {}\n", file, path, error.expected);
    }
    return text;
}

} // namespace lovage
