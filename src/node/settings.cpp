#include "../settings/reader.h"

#include "lovage/node.h"

namespace lovage {

namespace {

namespace json = boost::json;

constexpr uint64_t maxCores = 1024;
constexpr uint64_t maxShards = 1024;
constexpr int64_t maxMillis = 3'600'000;
constexpr double maxSeconds = 3600;

void readSeeds(ObjectReader &reader, NodeSettings &settings)
{
    reader.readArray("seeds", false, [&](ObjectReader &element) {
        Endpoint seed;
        element.readEndpoint("address", seed, true);
        settings.seeds.push_back(seed);
    });
}

void readPeerAdvertised(ObjectReader &reader, NodeSettings &settings)
{
    Endpoint advertised;
    reader.readEndpoint("peerAdvertised", advertised, false);
    if (advertised != Endpoint {})
        settings.peerAdvertised = advertised;
}

void readEvacuationLimit(ObjectReader &reader, NodeSettings &settings)
{
    Duration limit {};
    reader.readMillis("evacuationLimitMs", limit, 1, maxMillis);
    if (limit > Duration::zero())
        settings.evacuationLimit = limit;
}

// The limit is a share of each of the VM's cores.
void readCpuLimit(ObjectReader &reader, NodeSettings &settings)
{
    double share = 1;
    uint32_t cores = 1;
    reader.readFraction("cpuShare", share);
    reader.readNumber("cores", cores, 1, maxCores);
    settings.cpuMilliCores = static_cast<uint32_t>(share * cores * 1000);
}

void readSettings(ObjectReader &reader, NodeSettings &settings)
{
    std::string logLevel = "info";
    reader.readName("name", settings.name);
    reader.readName("dataCentre", settings.dataCentre);
    reader.readEndpoint("http", settings.http, true);
    reader.readEndpoint("readiness", settings.readiness, true);
    reader.readEndpoint("metrics", settings.metrics, false);
    reader.readEndpoint("peer", settings.peer, true);
    readPeerAdvertised(reader, settings);
    reader.readEndpoint("store", settings.store, true);
    readSeeds(reader, settings);
    readCpuLimit(reader, settings);
    reader.readNumber("shardCount", settings.shardCount, 1, maxShards);
    reader.readMillis("leaseMs", settings.lease, 1, maxMillis);
    reader.readMillis("stopTimeMs", settings.stopTime, 1, maxMillis);
    reader.readMillis("resubmitDelayMs", settings.resubmitDelay, 1, maxMillis);
    reader.readMillis("groupLeaseMs", settings.groupLease, 1, maxMillis);
    readEvacuationLimit(reader, settings);
    reader.readSeconds("stopLimitS", settings.stopLimit, 0, maxSeconds);
    reader.readSeconds("jobRetentionS", settings.jobRetention, 1, maxSeconds);
    reader.readSeconds("journalHistoryS", settings.journalHistory, 1, maxSeconds);
    reader.readOneOf("logLevel", logLevel, {"debug", "info", "warning", "error"});
    settings.logLevel = parseLogLevel(logLevel).value_or(LogLevel::Info);
}

} // namespace

NodeSettingsResult parseNodeSettings(std::string_view text)
{
    SettingsErrors errors;
    const json::value value = parseCommentedJson(text, errors.errors);
    if (!errors.errors.empty())
        return errors;
    NodeSettings settings;
    ObjectReader reader(value, "", errors.errors);
    readSettings(reader, settings);
    reader.finish();
    const ResubmissionLimits limits {settings.resubmitDelay, settings.stopTime};
    if (limits.jobLease() < ResubmissionLimits::minJobLease)
        errors.errors.push_back({"resubmitDelayMs", "at least 750 more than stopTimeMs"});
    if (!errors.errors.empty())
        return errors;
    return settings;
}

} // namespace lovage
