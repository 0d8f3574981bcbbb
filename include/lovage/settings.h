// Settings of lovaged: JSON with comments, fully validated before start.
#pragma once

#include "lovage/core.h"
#include "lovage/net.h"
#include "lovage/telemetry.h"

#include <algorithm>
#include <string>
#include <vector>

namespace lovage {

// Name and access token of an owner (whose callers present it) or of an operator.
struct TokenSettings
{
    std::string name;
    std::string token; // at least 8 characters

    auto operator<=>(const TokenSettings &) const = default;
};

// A statically configured entry VM of the deployment. The list includes this VM. It must be the
// same on every VM, because it determines the base shares of quotas and the homes of keyed
// submissions.
struct MemberSettings
{
    std::string name;
    std::string dataCentre;
    Endpoint peer; // TCP and UDP

    auto operator<=>(const MemberSettings &) const = default;
};

struct PeerKeySettings
{
    uint32_t id = 0;
    std::string secret; // at least 16 characters

    auto operator<=>(const PeerKeySettings &) const = default;
};

struct LimitSettings
{
    size_t memoryMb = 512;   // memory of the VM
    size_t maxBodyBytes = 0; // 0 for 8 MiB, or a 64th of the memory if that is less
    size_t maxHeaderBytes = 16U << 10;
    size_t maxConnections = 4096;
    size_t maxAnswerBytes = 16U << 20;
    size_t maxTasksPerJob = 1900;
    size_t maxQueuedTasks = 200000;
    Duration idleTimeout = std::chrono::seconds(60);
    Duration readTimeout = std::chrono::seconds(10);
    Duration maxDeadline = std::chrono::minutes(5);

    // A body that is parsed takes up to 16 times its size, and at most a quarter of the memory.
    size_t bodyBytes() const
    {
        constexpr size_t largestDefault = 8U << 20;
        return maxBodyBytes > 0 ? maxBodyBytes : std::min(largestDefault, (memoryMb << 20) / 64);
    }
    // Bytes of unfinished requests and answers on all connections of callers; the same again for
    // frames of other VMs, and for responses.
    size_t heldBytes() const { return (memoryMb << 20) / 8; }

    auto operator<=>(const LimitSettings &) const = default;
};

struct LedgerSettings
{
    Duration retention = std::chrono::minutes(15);
    Duration openLifetime = std::chrono::minutes(10);
    size_t maxBytes = 48U << 20;
    Duration skewMargin = std::chrono::seconds(2);
    uint32_t spareIds = 4; // returned with each answer

    auto operator<=>(const LedgerSettings &) const = default;
};

struct PlatformSettings
{
    Endpoint logService;
    Endpoint vmList;
    Duration logRetention = std::chrono::hours(24); // less than the retention of the platform
    Duration requestTimeout = std::chrono::seconds(2);

    auto operator<=>(const PlatformSettings &) const = default;
};

struct BackendSettings
{
    size_t connectionsPerExecutor = 60; // shared by the entry VMs of the data centre
    Duration lease = std::chrono::seconds(5);
    Duration inquiryInterval = std::chrono::milliseconds(200);
    std::string policy =
            "earliest-finish"; // random, round-robin, least-outstanding, earliest-finish

    auto operator<=>(const BackendSettings &) const = default;
};

struct TraceSettings
{
    double sampleRate = 0.0; // sampled fraction of the traces started here, 0 to 1
    std::string file;        // one OTLP JSON request per line; empty for none
    Endpoint endpoint;       // receives POST /v1/traces; port 0 for none

    auto operator<=>(const TraceSettings &) const = default;
};

struct Settings
{
    std::string name; // of this VM
    std::string dataCentre;
    Endpoint http;            // callers and operators; port 0 lets the kernel pick one
    Endpoint peer;            // TCP and UDP
    std::string localAddress; // outgoing connections are bound to it; empty for any
    uint32_t ioThreads = 2;
    std::vector<MemberSettings> members;
    std::vector<PeerKeySettings> peerKeys; // messages are signed with the first; all are accepted
    std::vector<TokenSettings> owners;
    std::vector<TokenSettings> operators;
    PlatformSettings platform;
    LimitSettings limits;
    LedgerSettings ledger;
    BackendSettings backend;
    TraceSettings trace;
    Duration drainDeadline = std::chrono::seconds(30);
    LogLevel logLevel = LogLevel::Info;

    auto operator<=>(const Settings &) const = default;
};

// One error in a settings file.
struct SettingsError
{
    std::string path; // of the key, for example "members[2].peer"
    std::string expected;

    auto operator<=>(const SettingsError &) const = default;
};

struct SettingsErrors
{
    std::vector<SettingsError> errors;
};

// Either fully validated settings, or every error found.
using SettingsResult = boost::outcome_v2::unchecked<Settings, SettingsErrors>;

// Parses JSON with comments and trailing commas. Unknown and repeated keys are errors.
SettingsResult parseSettings(std::string_view text);

// Reads and parses a file. A file that cannot be read is one error with an empty path.
SettingsResult loadSettings(const std::string &file);

// One line per error: "file: path: expected ...".
std::string describe(const std::string &file, const SettingsErrors &errors);

} // namespace lovage
