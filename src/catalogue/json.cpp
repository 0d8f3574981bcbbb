#include "lovage/catalogue.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace lovage {

namespace {

namespace json = boost::json;

constexpr uint32_t maxStartsPerSecond = 1'000'000;
constexpr uint32_t maxConcurrent = 1'000'000;
constexpr uint32_t maxQueued = 10'000'000;
constexpr uint32_t maxTasksOfJob = 1'000'000;
constexpr uint32_t maxMilliCores = 1'000'000;
constexpr uint32_t maxMemoryMb = 16 * 1024 * 1024;
constexpr uint32_t maxAccelerators = 64;
constexpr int64_t maxRunTimeMs = 3'600'000;
constexpr int64_t maxDeadlineMs = 3'600'000;
constexpr size_t maxRequestIdBytes = 128;

using Problems = std::vector<std::string>;

std::string joinPath(std::string_view path, std::string_view key)
{
    return path.empty() ? std::string(key) : fmt::format("{}.{}", path, key);
}

// Reads the fields of a JSON object and collects every problem, including unknown keys.
class ObjectReader
{
public:
    ObjectReader(const json::object &object, std::string path, Problems &problems)
        : object_(object), path_(std::move(path)), problems_(problems)
    { }

    void text(std::string_view key, std::string &field, bool isRequired)
    {
        const json::value *value = lookUp(key, isRequired, "a string");
        if (value == nullptr)
            return;
        if (value->is_string())
            field = std::string(value->get_string());
        else
            report(key, "a string");
    }

    template<class Number>
    void number(std::string_view key, Number &field, bool isRequired)
    {
        constexpr uint64_t highest = std::numeric_limits<Number>::max();
        const std::string expected = fmt::format("an integer from 0 to {}", highest);
        const json::value *value = lookUp(key, isRequired, expected);
        if (value == nullptr)
            return;
        const bool isUnsigned =
                value->is_uint64() || (value->is_int64() && value->get_int64() >= 0);
        const uint64_t amount = isUnsigned ? value->to_number<uint64_t>() : 0;
        if (!isUnsigned || amount > highest)
            report(key, expected);
        else
            field = static_cast<Number>(amount);
    }

    void millis(std::string_view key, Duration &field, bool isRequired)
    {
        uint32_t amount = static_cast<uint32_t>(
                std::chrono::duration_cast<std::chrono::milliseconds>(field).count());
        number(key, amount, isRequired);
        field = std::chrono::milliseconds(amount);
    }

    void real(std::string_view key, double &field)
    {
        const json::value *value = lookUp(key, false, "a number");
        if (value == nullptr)
            return;
        if (value->is_number())
            field = value->to_number<double>();
        else
            report(key, "a number");
    }

    void flag(std::string_view key, bool &field, bool isRequired = false)
    {
        const json::value *value = lookUp(key, isRequired, "true or false");
        if (value == nullptr)
            return;
        if (value->is_bool())
            field = value->get_bool();
        else
            report(key, "true or false");
    }

    template<class Enum>
    void choice(std::string_view key, Enum &field, std::optional<Enum> (*parse)(std::string_view),
                std::string_view expected)
    {
        const json::value *value = lookUp(key, true, expected);
        if (value == nullptr)
            return;
        const auto parsed = value->is_string() ? parse(value->get_string()) : std::nullopt;
        if (parsed)
            field = *parsed;
        else
            report(key, expected);
    }

    template<class Read>
    void object(std::string_view key, bool isRequired, Read read)
    {
        const json::value *value = lookUp(key, isRequired, "an object");
        if (value == nullptr)
            return;
        if (!value->is_object()) {
            report(key, "an object");
            return;
        }
        ObjectReader reader(value->get_object(), joinPath(path_, key), problems_);
        read(reader);
        reader.finish();
    }

    template<class Read>
    void objects(std::string_view key, Read read)
    {
        const json::value *value = lookUp(key, true, "an array");
        if (value == nullptr)
            return;
        if (!value->is_array()) {
            report(key, "an array");
            return;
        }
        size_t index = 0;
        for (const json::value &item : value->get_array()) {
            const std::string itemPath = fmt::format("{}[{}]", joinPath(path_, key), index++);
            if (!item.is_object()) {
                problems_.push_back(itemPath + ": expected an object");
                continue;
            }
            ObjectReader reader(item.get_object(), itemPath, problems_);
            read(reader);
            reader.finish();
        }
    }

    void report(std::string_view key, std::string_view expected)
    {
        problems_.push_back(fmt::format("{}: expected {}", joinPath(path_, key), expected));
    }

    const std::string &path() const { return path_; }
    Problems &problems() const { return problems_; }

    // Makes finish() accept unknown keys.
    void allowUnknownKeys() { allowsUnknownKeys_ = true; }

    void finish()
    {
        if (allowsUnknownKeys_)
            return;
        for (const auto &member : object_) {
            const std::string_view key = member.key();
            if (std::ranges::find(readKeys_, key) == readKeys_.end())
                problems_.push_back(joinPath(path_, key) + ": expected no such key");
        }
    }

private:
    const json::value *lookUp(std::string_view key, bool isRequired, std::string_view expected)
    {
        readKeys_.push_back(key);
        const json::value *value = object_.if_contains(key);
        if (value == nullptr && isRequired)
            report(key, expected);
        return value;
    }

    const json::object &object_;
    std::string path_;
    Problems &problems_;
    std::vector<std::string_view> readKeys_;
    bool allowsUnknownKeys_ = false;
};

void readDemand(ObjectReader &reader, Demand &demand)
{
    reader.number("milliCores", demand.milliCores, false);
    reader.number("memoryMb", demand.memoryMb, false);
    reader.number("accelerators", demand.accelerators, false);
}

void readLimits(ObjectReader &reader, Limits &limits)
{
    reader.number("startsPerSecond", limits.startsPerSecond, false);
    reader.number("concurrent", limits.concurrent, false);
    reader.number("queued", limits.queued, false);
    reader.millis("deadlineMs", limits.deadline, false);
    reader.number("maxTasks", limits.maxTasks, false);
    reader.number("retryPercent", limits.retryPercent, false);
}

void readEntry(ObjectReader &reader, Entry &entry)
{
    reader.text("name", entry.name, true);
    reader.text("owner", entry.owner, true);
    reader.text("workClass", entry.workClass, true);
    reader.choice("backendKind", entry.backendKind, parseBackendKind, "executor or worker");
    reader.object("demand", false, [&](ObjectReader &inner) { readDemand(inner, entry.demand); });
    reader.millis("declaredRunTimeMs", entry.declaredRunTime, false);
    reader.object("limits", false, [&](ObjectReader &inner) { readLimits(inner, entry.limits); });
    reader.real("wasteWeight", entry.wasteWeight);
    reader.flag("retired", entry.retired);
    reader.number("version", entry.version, false);
}

void appendProblems(const Entry &entry, std::string_view path, Problems &problems)
{
    const auto check = [&](bool isMet, std::string_view key, std::string_view expected) {
        if (!isMet)
            problems.push_back(fmt::format("{}: expected {}", joinPath(path, key), expected));
    };
    const auto checkRange = [&](uint64_t value, uint64_t low, uint64_t high, std::string_view key) {
        check(value >= low && value <= high, key,
              fmt::format("an integer from {} to {}", low, high));
    };
    const auto checkMillis = [&](Duration value, int64_t high, std::string_view key) {
        const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
        check(count >= 1 && count <= high, key, fmt::format("milliseconds from 1 to {}", high));
    };
    constexpr std::string_view nameRule = "1 to 63 characters of a-z, 0-9 and -";
    check(isValidName(entry.name), "name", nameRule);
    check(isValidName(entry.owner), "owner", nameRule);
    check(isValidName(entry.workClass), "workClass", nameRule);
    checkRange(entry.demand.milliCores, 1, maxMilliCores, "demand.milliCores");
    checkRange(entry.demand.memoryMb, 0, maxMemoryMb, "demand.memoryMb");
    checkRange(entry.demand.accelerators, 0, maxAccelerators, "demand.accelerators");
    checkMillis(entry.declaredRunTime, maxRunTimeMs, "declaredRunTimeMs");
    checkRange(entry.limits.startsPerSecond, 1, maxStartsPerSecond, "limits.startsPerSecond");
    checkRange(entry.limits.concurrent, 1, maxConcurrent, "limits.concurrent");
    checkRange(entry.limits.queued, 0, maxQueued, "limits.queued");
    checkMillis(entry.limits.deadline, maxDeadlineMs, "limits.deadlineMs");
    checkRange(entry.limits.maxTasks, 1, maxTasksOfJob, "limits.maxTasks");
    checkRange(entry.limits.retryPercent, 0, 100, "limits.retryPercent");
    check(entry.wasteWeight >= 0.0 && entry.wasteWeight <= 1.0, "wasteWeight",
          "a number from 0 to 1");
}

void readCheckedEntry(ObjectReader &reader, Entry &entry)
{
    readEntry(reader, entry);
    appendProblems(entry, reader.path(), reader.problems());
}

void readChange(ObjectReader &reader, ChangeRecord &change)
{
    reader.text("requestId", change.requestId, true);
    if (change.requestId.empty() || change.requestId.size() > maxRequestIdBytes)
        reader.report("requestId", fmt::format("1 to {} bytes", maxRequestIdBytes));
    reader.choice("operation", change.operation, parseChangeOperation, "publish, change or retire");
    reader.number("replaces", change.replaces, true);
    const bool isRetirement = change.operation == ChangeOperation::Retire;
    reader.object("entry", true, [&](ObjectReader &inner) {
        if (!isRetirement) {
            readCheckedEntry(inner, change.entry);
            return;
        }
        inner.text("name", change.entry.name, true);
        if (!isValidName(change.entry.name))
            inner.report("name", "1 to 63 characters of a-z, 0-9 and -");
        inner.allowUnknownKeys();
    });
    if (change.operation == ChangeOperation::Publish && change.replaces != 0)
        reader.report("replaces", "0 for publish");
    if (change.operation != ChangeOperation::Publish && change.replaces == 0)
        reader.report("replaces", "the version of the entry for change and retire");
}

void readOutcome(ObjectReader &reader, ChangeOutcome &outcome)
{
    reader.text("requestId", outcome.requestId, true);
    reader.number("offset", outcome.offset, true);
    reader.flag("accepted", outcome.accepted, true);
    reader.number("digest", outcome.changeDigest, true);
}

void readSnapshot(ObjectReader &reader, SnapshotRecord &snapshot)
{
    uint64_t takenAt = 0;
    reader.number("at", snapshot.at, true);
    reader.number("takenAtMs", takenAt, true);
    snapshot.takenAtMs = static_cast<int64_t>(takenAt);
    reader.objects("entries", [&](ObjectReader &inner) {
        readCheckedEntry(inner, snapshot.entries.emplace_back());
    });
    reader.objects("outcomes", [&](ObjectReader &inner) {
        readOutcome(inner, snapshot.outcomes.emplace_back());
    });
    const auto isOutOfOrder = [](const Entry &left, const Entry &right) {
        return left.name >= right.name;
    };
    if (std::ranges::adjacent_find(snapshot.entries, isOutOfOrder) != snapshot.entries.end())
        reader.report("entries", "distinct names in ascending order");
    if (snapshot.outcomes.size() > Catalogue::maxOutcomes)
        reader.report("outcomes", fmt::format("at most {} items", Catalogue::maxOutcomes));
}

Error invalid(const Problems &problems)
{
    return notRun(ErrorCode::InvalidEntry, fmt::format("{}", fmt::join(problems, "; ")));
}

// Parses a JSON object and converts it with the read function. Fails if that reports problems.
template<class T, class Read>
Result<T> parseObject(std::string_view text, Read read)
{
    boost::system::error_code status;
    const json::value value = json::parse(text, status);
    if (status)
        return notRun(ErrorCode::MalformedBody, "expected JSON: " + status.message());
    if (!value.is_object())
        return notRun(ErrorCode::InvalidEntry, "expected an object at the top level");
    Problems problems;
    ObjectReader reader(value.get_object(), "", problems);
    T result;
    read(reader, result);
    reader.finish();
    if (!problems.empty())
        return invalid(problems);
    return result;
}

int64_t millisOf(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json::object toJson(const Entry &entry)
{
    return {{"name", entry.name},
            {"owner", entry.owner},
            {"workClass", entry.workClass},
            {"backendKind", toString(entry.backendKind)},
            {"demand",
             {{"milliCores", entry.demand.milliCores},
              {"memoryMb", entry.demand.memoryMb},
              {"accelerators", entry.demand.accelerators}}},
            {"declaredRunTimeMs", millisOf(entry.declaredRunTime)},
            {"limits",
             {{"startsPerSecond", entry.limits.startsPerSecond},
              {"concurrent", entry.limits.concurrent},
              {"queued", entry.limits.queued},
              {"deadlineMs", millisOf(entry.limits.deadline)},
              {"maxTasks", entry.limits.maxTasks},
              {"retryPercent", entry.limits.retryPercent}}},
            {"wasteWeight", entry.wasteWeight},
            {"retired", entry.retired},
            {"version", entry.version}};
}

json::object toJson(const ChangeRecord &change)
{
    json::object entry = change.operation == ChangeOperation::Retire
            ? json::object {{"name", change.entry.name}}
            : toJson(change.entry);
    return {{"operation", toString(change.operation)},
            {"entry", std::move(entry)},
            {"replaces", change.replaces},
            {"requestId", change.requestId}};
}

json::object toJson(const SnapshotRecord &snapshot)
{
    json::array entries;
    for (const Entry &entry : snapshot.entries)
        entries.push_back(toJson(entry));
    json::array outcomes;
    for (const ChangeOutcome &outcome : snapshot.outcomes)
        outcomes.push_back({{"requestId", outcome.requestId},
                            {"offset", outcome.offset},
                            {"accepted", outcome.accepted},
                            {"digest", outcome.changeDigest}});
    return {{"at", snapshot.at},
            {"takenAtMs", snapshot.takenAtMs},
            {"entries", std::move(entries)},
            {"outcomes", std::move(outcomes)}};
}

} // namespace

std::vector<std::string> validateEntry(const Entry &entry)
{
    Problems problems;
    appendProblems(entry, "", problems);
    return problems;
}

Result<Entry> parseEntry(std::string_view json)
{
    return parseObject<Entry>(json, readCheckedEntry);
}

std::string serializeEntry(const Entry &entry)
{
    return json::serialize(toJson(entry));
}

Result<ChangeRecord> parseChange(std::string_view json)
{
    return parseObject<ChangeRecord>(json, readChange);
}

std::string serializeChange(const ChangeRecord &change)
{
    return json::serialize(toJson(change));
}

Result<LogContent> parseLogRecord(std::string_view json)
{
    return parseObject<LogContent>(json, [](ObjectReader &reader, LogContent &content) {
        std::string kind;
        reader.text("kind", kind, true);
        if (kind == "change")
            readChange(reader, content.emplace<ChangeRecord>());
        else if (kind == "snapshot")
            readSnapshot(reader, content.emplace<SnapshotRecord>());
        else
            reader.report("kind", "change or snapshot");
    });
}

std::string serializeLogRecord(const LogContent &content)
{
    const bool isChange = std::holds_alternative<ChangeRecord>(content);
    json::object object = std::visit([](const auto &value) { return toJson(value); }, content);
    object["kind"] = isChange ? "change" : "snapshot";
    return json::serialize(object);
}

uint64_t changeDigest(const ChangeRecord &change)
{
    ChangeRecord comparable = change;
    comparable.entry.version = 0;
    comparable.entry.retired = false;
    return recordDigest(serializeChange(comparable));
}

} // namespace lovage
