#define BOOST_TEST_MODULE backend_codec
#include "lovage/backend.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace lovage;
using namespace lovage::backend;
using namespace std::chrono_literals;

namespace {

StartRequest sampleStart()
{
    StartRequest request {"vm-1.5f", fromUnixMillis(1'700'000'000'123), 2s, true, {}};
    request.tasks.push_back(
            {"d.v.1.1.0.0", "screen", {1500, 64, 1}, "a \"b\"\n\\\x01 \xc3\xa9", 150ms});
    request.tasks.push_back({"d.v.1.1.1.0", "vet", {}, "", 0ms});
    return request;
}

template<class Parsed>
void checkError(const Parsed &parsed, ErrorCode code, const std::string &path)
{
    BOOST_REQUIRE(!parsed.has_value());
    BOOST_TEST(toString(parsed.error().code) == toString(code));
    BOOST_TEST(parsed.error().reason.substr(0, path.size()) == path);
}

} // namespace

// Guards against a field that is lost or altered between serializer and parser.
BOOST_AUTO_TEST_CASE(everyBodySurvivesARoundTrip)
{
    BOOST_TEST((parseStartRequest(serialize(sampleStart())).value() == sampleStart()));
    const StartReply startReply {{{"a", TaskStatus::Done, "out\"", "", 5us},
                                  {"b", TaskStatus::Refused, "", "full", 0us}},
                                 3,
                                 true};
    BOOST_TEST((parseStartReply(serialize(startReply)).value() == startReply));
    const ResultsRequest resultsRequest {"h.1", 17, 500ms};
    BOOST_TEST((parseResultsRequest(serialize(resultsRequest)).value() == resultsRequest));
    const ResultsReply resultsReply {{{"a", TaskStatus::Stopped, "", "", 1us}}, 18, 2, false};
    BOOST_TEST((parseResultsReply(serialize(resultsReply)).value() == resultsReply));
    const LeaseRequest lease {"h.1", 3s};
    BOOST_TEST((parseLeaseRequest(serialize(lease)).value() == lease));
    const std::vector<std::string> ids {"a", "b"};
    BOOST_TEST((parseIds(serializeIds(ids)).value() == ids));
    BOOST_TEST(
            (parseStatuses(serializeStatuses(startReply.results)).value() == startReply.results));
    const OpenReply open {"x", {"y", "z"}};
    BOOST_TEST((parseOpenReply(serialize(open)).value() == open));
    const SubmissionBody job {"route", fromUnixMillis(99), true, true, {{"1", "in"}, {"2", ""}}};
    BOOST_TEST((parseSubmissionBody(serialize(job)).value() == job));
    const SubmissionBody request {"check", std::nullopt, false, false, {{"0", "in"}}};
    BOOST_TEST((parseSubmissionBody(serialize(request)).value() == request));
    const SubmissionAnswer complete {"x", SubmissionState::Complete, {{"1", "o"}}, {}};
    BOOST_TEST((parseSubmissionAnswer(serialize(complete)).value() == complete));
    const SubmissionAnswer failed {
            "x", SubmissionState::Failed, {}, mayHaveRun(ErrorCode::BackendLost, "gone")};
    BOOST_TEST((parseSubmissionAnswer(serialize(failed)).value() == failed));
    BOOST_TEST(parseOffset(serializeOffset(UINT64_MAX)).value() == UINT64_MAX);
    const LogPage page {3, 5, {{3, "{\"a\":1}"}, {4, ""}}};
    BOOST_TEST((parseLogPage(serialize(page)).value() == page));
    const std::vector<VmInfo> vms {
            {"w1", VmRole::Worker, "dc1", "r1", "127.0.0.1", 80, true, 0, {1, 2, 3}}};
    BOOST_TEST((parseVmList(serialize(vms)).value() == vms));
}

// Guards against keys that are misspelt or have the wrong type and are silently ignored.
BOOST_AUTO_TEST_CASE(strictErrorsNameTheKeyPath)
{
    constexpr auto malformed = ErrorCode::MalformedBody;
    checkError(parseSubmissionBody(R"({"entry":"e","input":"","x":1})"), malformed, "x:");
    checkError(parseSubmissionBody(R"({"entry":"e"})"), malformed, "input:");
    checkError(parseSubmissionBody(R"({"entry":"e","tasks":[]})"), malformed, "tasks:");
    checkError(parseSubmissionBody(R"({"entry":"e","input":"","tasks":[{"id":"1","input":""}]})"),
               malformed, "input:");
    checkError(parseSubmissionBody(R"({"entry":"e","tasks":[{"id":"1","input":5}]})"), malformed,
               "tasks[0].input:");
    checkError(parseSubmissionBody(
                       R"({"entry":"e","tasks":[{"id":"1","input":""},{"id":"1","input":""}]})"),
               ErrorCode::DuplicateTaskId, "tasks[1].id:");
    checkError(parseSubmissionBody(R"({"entry":"e","input":"","deadlineMs":-1})"), malformed,
               "deadlineMs:");
    checkError(parseSubmissionBody(R"({"entry":"e","input":"","deadlineMs":1e300})"), malformed,
               "deadlineMs:");
    checkError(parseSubmissionBody("[1]"), malformed, "body:");
    checkError(parseSubmissionBody("{\"entry\":\"\xff\"}"), malformed, "body:");
    checkError(parseStartReply(
                       R"({"results":[{"id":"a","status":"eaten"}],"free":1,"leaving":false})"),
               ErrorCode::MalformedAnswer, "results[0].status:");
    checkError(parseStartReply(R"({"results":[],"free":4294967296,"leaving":false})"),
               ErrorCode::MalformedAnswer, "free:");
}

// Guards against bodies that exceed the limits of the receiver and are accepted.
BOOST_AUTO_TEST_CASE(limitsAreEnforced)
{
    const BodyLimits limits {1, 4, 8};
    checkError(parseIds(R"({"ids":["a","b"]})", limits), ErrorCode::TooManyTasks, "ids:");
    checkError(parseIds(R"({"ids":["abcde"]})", limits), ErrorCode::MalformedBody, "ids[0]:");
    checkError(parseSubmissionBody(R"({"entry":"e","input":"123456789"})", limits),
               ErrorCode::BodyTooLarge, "input:");
    checkError(parseIds(std::string(100000, '[')), ErrorCode::MalformedBody, "body:");
}

// Guards against parser crashes on damaged bodies: every parser gets each body truncated and with
// random bytes replaced.
BOOST_AUTO_TEST_CASE(damagedBodiesNeverCrash)
{
    const uint64_t seed = 20261204;
    BOOST_TEST_MESSAGE("seed " << seed);
    Random random(seed);
    const std::string original = serialize(sampleStart());
    size_t accepted = 0;
    for (int round = 0; round < 3000; ++round) {
        std::string text = original.substr(0, random.below(original.size() + 1));
        for (uint64_t i = random.below(4); i > 0 && !text.empty(); --i)
            text[random.below(text.size())] = static_cast<char>(random.below(256));
        accepted += parseStartRequest(text).has_value() ? 1 : 0;
        accepted += parseStartReply(text).has_value() ? 1 : 0;
        accepted += parseSubmissionBody(text).has_value() ? 1 : 0;
        accepted += parseVmList(text).has_value() ? 1 : 0;
    }
    BOOST_TEST(accepted < 100U);
}
