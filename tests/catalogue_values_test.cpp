#define BOOST_TEST_MODULE catalogue_values
#include "catalogue_world.h"

using namespace lovage;
using namespace lovage::test;

namespace {

LogRecord recordOf(uint64_t offset, const LogContent &content)
{
    return {offset, serializeLogRecord(content)};
}

} // namespace

// Guards against fields that are lost or changed by serialization and parsing.
BOOST_AUTO_TEST_CASE(valuesSurviveJson)
{
    Entry entry = sampleEntry("vet-a");
    entry.backendKind = BackendKind::Worker;
    entry.demand = {4000, 2048, 1};
    entry.declaredRunTime = milliseconds(750);
    entry.limits = {7, 8, 9, seconds(3), 11, 12};
    entry.wasteWeight = 0.25;
    entry.retired = true;
    entry.version = 77;
    BOOST_TEST((parseEntry(serializeEntry(entry)).value() == entry));
    const ChangeRecord change {"r-1", ChangeOperation::Change, 77, entry};
    BOOST_TEST((parseChange(serializeChange(change)).value() == change));
    const LogContent snapshot = SnapshotRecord {9, 1234, {entry}, {{"r-1", 8, true, ~0ULL}}};
    BOOST_TEST((parseLogRecord(serializeLogRecord(snapshot)).value() == snapshot));
}

// Guards against error messages that name only the first of several errors in a file, and against
// misspelled keys that silently leave the default value.
BOOST_AUTO_TEST_CASE(everyProblemIsReportedWithItsPath)
{
    const auto result = parseEntry(R"({"name":"Vet","owner":"team-a","backendKind":"gpu",
        "demand":{"milliCores":-1},"limits":{"retryPercent":101,"deadlineMs":"5s","quota":3},
        "wasteWeight":1.5})");
    BOOST_REQUIRE(result.has_error());
    BOOST_TEST((result.error().code == ErrorCode::InvalidEntry));
    BOOST_TEST((result.error().verdict == Verdict::NotRun));
    for (const char *expected :
         {"name: expected 1 to 63", "workClass: expected a string",
          "backendKind: expected executor", "demand.milliCores: expected an integer",
          "limits.retryPercent: expected", "limits.deadlineMs: expected an integer",
          "limits.quota: expected no such key", "wasteWeight: expected a number from 0 to 1"})
        BOOST_TEST(result.error().reason.find(expected) != std::string::npos,
                   expected << " is missing in " << result.error().reason);
    BOOST_TEST((parseEntry("{\"name\":").error().code == ErrorCode::MalformedBody));
    BOOST_TEST((parseEntry("[]").error().code == ErrorCode::InvalidEntry));
}

// Guards against two changes that replace the same version and are both accepted.
BOOST_AUTO_TEST_CASE(onlyTheFirstChangeOfAVersionIsAccepted)
{
    CatalogueFold state;
    BOOST_TEST(state.apply(recordOf(1, sampleChange("echo", "r1")))->accepted);
    BOOST_TEST(state.apply(recordOf(2, sampleChange("echo", "r2", 1)))->accepted);
    BOOST_TEST(!state.apply(recordOf(3, sampleChange("echo", "r3", 1)))->accepted);
    BOOST_TEST(!state.apply(recordOf(4, sampleChange("echo", "r4")))->accepted);
    BOOST_TEST(state.build().find("echo")->version == 2U);
    BOOST_TEST(state.build().offset() == 4U);
}

// Guards against a repeated record that is applied twice or turns an acceptance into a conflict.
BOOST_AUTO_TEST_CASE(repeatedRequestChangesNothing)
{
    CatalogueFold state;
    state.apply(recordOf(1, sampleChange("echo", "r1")));
    state.apply(recordOf(2, sampleChange("echo", "r2", 1)));
    const auto repeated = state.apply(recordOf(3, sampleChange("echo", "r2", 1)));
    BOOST_TEST((*repeated == ChangeOutcome {"r2", 2, true, repeated->changeDigest}));
    BOOST_TEST(state.build().find("echo")->version == 2U);
}

// Guards against a retirement that loses the fields that queued tasks still need.
BOOST_AUTO_TEST_CASE(retirementKeepsTheEntry)
{
    CatalogueFold state;
    state.apply(recordOf(1, sampleChange("echo", "r1")));
    ChangeRecord retirement {"r2", ChangeOperation::Retire, 1, {}};
    retirement.entry.name = "echo";
    BOOST_TEST(state.apply(recordOf(2, retirement))->accepted);
    const Catalogue catalogue = state.build();
    BOOST_TEST(catalogue.find("echo")->retired);
    BOOST_TEST(catalogue.find("echo")->owner == "team-a");
    retirement.entry.name = "unknown";
    retirement.requestId = "r3";
    BOOST_TEST(!state.apply(recordOf(3, retirement))->accepted);
}

// Guards against one malformed record that stops the fold or makes VMs differ.
BOOST_AUTO_TEST_CASE(malformedRecordOnlyAdvancesTheOffset)
{
    CatalogueFold state;
    state.apply({1, "not json"});
    state.apply({2, R"({"kind":"change","requestId":"","operation":"publish"})"});
    state.apply({3, R"({"kind":"unknown"})"});
    BOOST_TEST(state.build().offset() == 3U);
    BOOST_TEST(state.build().entries().empty());
}

// Guards against lookups that miss some of many entries, and against a fold that modifies a
// catalogue it built before.
BOOST_AUTO_TEST_CASE(lookupFindsEveryEntryOfASnapshot)
{
    constexpr uint64_t count = 700;
    CatalogueFold state;
    for (uint64_t i = 1; i <= count; ++i) {
        const std::string text = std::to_string(i);
        state.apply(recordOf(i, sampleChange("entry-" + text, "r" + text)));
    }
    const Catalogue catalogue = state.build();
    state.apply(recordOf(count + 1, sampleChange("entry-1", "change", 1)));
    for (uint64_t i = 1; i <= count; ++i)
        BOOST_TEST(catalogue.find("entry-" + std::to_string(i))->version == i);
    BOOST_TEST(catalogue.find("entry-0") == nullptr);
    BOOST_TEST(catalogue.outcomes().size() == Catalogue::maxOutcomes);
    const SnapshotRecord snapshot = snapshotOf(catalogue, Time {});
    const CatalogueFold restored(snapshot, catalogue.lastRecordDigest());
    BOOST_TEST((restored.build() == catalogue));
}
