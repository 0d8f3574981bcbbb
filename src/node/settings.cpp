#include "../settings/reader.h"

#include "lovage/node.h"

namespace lovage {

namespace {

namespace json = boost::json;

constexpr uint64_t maxCores = 1024;
constexpr uint64_t maxShards = 1024;
constexpr int64_t maxMillis = 3'600'000;
constexpr double maxSeconds = 3600;
constexpr uint64_t maxBytes = 1ULL << 32;
constexpr uint64_t maxMemoryMb = 1U << 20;
// The widest job that the product accepts is below 100 KB, see NodeLimits.
constexpr uint64_t minBodyBytes = 128U << 10;
// The bytes held for clients and for frames take at most an eighth of the memory each.
constexpr size_t maxHeldShare = 8;
// A body that is parsed takes at most a quarter of the memory.
constexpr size_t parseShare = 4;
// A JSON value takes 24 bytes, and its text 2 bytes at least; the rest is for growing arrays.
constexpr size_t bytesPerJsonByte = 16;
// A buffer that grows has up to twice the capacity that it needs.
constexpr size_t bufferGrowth = 2;

// Bytes that large requests can hold; the rest is reserved for ordinary ones.
constexpr size_t largeBytes(size_t heldBytes)
{
    return heldBytes / 4 * 3;
}

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

void readLimits(ObjectReader &reader, NodeLimits &limits)
{
    reader.readNumber("memoryMb", limits.memoryMb, 64, maxMemoryMb);
    reader.readNumber("maxBodyBytes", limits.maxBodyBytes, minBodyBytes, maxBytes);
    reader.readNumber("maxHeaderBytes", limits.maxHeaderBytes, 1024, 1U << 20);
    reader.readNumber("maxRequestBytes", limits.maxRequestBytes, minBodyBytes, maxBytes);
    reader.readNumber("maxHeldBytes", limits.maxHeldBytes, 1U << 20, maxBytes);
    reader.readNumber("maxStoredJobBytes", limits.maxStoredJobBytes, 1U << 20, maxBytes);
    reader.readNumber("maxConnections", limits.maxConnections, 16, 1U << 20);
    reader.readNumber("maxFrameBytes", limits.maxFrameBytes, 1U << 20, maxBytes);
    reader.readMillis("idleTimeoutMs", limits.idleTimeout, 1000, maxMillis);
    reader.readMillis("readTimeoutMs", limits.readTimeout, 100, maxMillis);
    reader.readMillis("writeTimeoutMs", limits.writeTimeout, 100, maxMillis);
}

// Reports limits that contradict each other or the memory of the VM.
void checkLimits(ObjectReader &reader, const NodeLimits &limits)
{
    const size_t memory = limits.memoryMb << 20;
    if (limits.heldBytes() > memory / maxHeldShare)
        reader.report("limits.maxHeldBytes", "at most an eighth of memoryMb");
    if (limits.storedJobBytes() > memory / maxHeldShare)
        reader.report("limits.maxStoredJobBytes", "at most an eighth of memoryMb");
    if (limits.maxBodyBytes > memory / parseShare / bytesPerJsonByte)
        reader.report("limits.maxBodyBytes",
                      "at most a 64th of memoryMb, because a parsed body takes 16 times its size");
    if (limits.maxBodyBytes > largeBytes(limits.heldBytes()) / bufferGrowth)
        reader.report("limits.maxBodyBytes", "at most three eighths of maxHeldBytes");
    if (limits.maxFrameBytes > largeBytes(limits.heldBytes()))
        reader.report("limits.maxFrameBytes", "at most three quarters of maxHeldBytes");
    if (limits.maxRequestBytes < limits.maxBodyBytes + 2 * limits.maxHeaderBytes)
        reader.report("limits.maxRequestBytes", "at least maxBodyBytes and twice maxHeaderBytes");
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
    reader.readObject("limits", false,
                      [&](ObjectReader &object) { readLimits(object, settings.limits); });
    checkLimits(reader, settings.limits);
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
