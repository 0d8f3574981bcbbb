#define BOOST_TEST_MODULE lovagefake_server
#include "lovagefake/fake.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace lovage;
using namespace lovage::fake;
using namespace std::chrono_literals;
using backend::TaskStatus;

namespace {

constexpr Duration requestTimeout = 10s;

// Runs an executor with two slots, a worker with 2 cores and the platform listener of data centre
// "a".
struct FakeFixture
{
    FakeFixture()
        : fake(parseFakeConfig(R"({"linkDelayMs":1,"vmListLagMs":0,"appendDelayMs":0, // comment
            "platforms":[{"dataCentre":"a"}],
            "servers":[{"name":"e1","dataCentre":"a","slots":2},
                       {"name":"w1","dataCentre":"a","kind":"worker","milliCores":2000}]})")
                       .value())
    {
        BOOST_REQUIRE(fake.listen().has_value());
        ports = fake.portsJson();
    }

    uint16_t portOf(const std::string &name) const
    {
        const size_t at = ports.find("\"" + name + "\":") + name.size() + 3;
        return static_cast<uint16_t>(std::stoi(ports.substr(at)));
    }
    Result<HttpResponse> call(const std::string &name, const std::string &method,
                              const std::string &path, std::string body) const
    {
        return sendHttp({"127.0.0.1", portOf(name)}, {method, path, {}, std::move(body)},
                        requestTimeout);
    }
    backend::TaskResult start(const std::string &server, const std::string &id,
                              const std::string &input, bool wait) const
    {
        backend::StartRequest request {"vm.1", currentTime() + 5s, 200ms, wait, {}};
        request.tasks.push_back({id, "screen", {}, input, 1ms});
        const auto reply = call(server, "POST", "/v1/starts", serialize(request));
        return backend::parseStartReply(reply.value().body).value().results.at(0);
    }
    TaskStatus statusFrom(const std::string &server, const std::string &path,
                          const std::string &id) const
    {
        const auto reply = call(server, "POST", path, backend::serializeIds({id}));
        return backend::parseStatuses(reply.value().body).value().at(0).status;
    }
    void setFault(const std::string &target, const std::string &name, const std::string &fault,
                  double value)
    {
        BOOST_REQUIRE(this->fake
                              .setFault(fmt::format(
                                      R"({{"target":"{}","name":"{}","fault":"{}","value":{}}})",
                                      target, name, fault, value))
                              .has_value());
    }

    Fake fake;
    std::string ports;
};

} // namespace

// Guards against outputs that do not depend on the input, with which a test could not tell the
// results of two tasks apart.
BOOST_AUTO_TEST_CASE(waitingStartReturnsOutputOrEcho)
{
    const FakeFixture fixture;
    BOOST_TEST(fixture.start("e1", "1", "any text", true).output == "any text");
    BOOST_TEST(fixture.start("e1", "2", R"({"durationUs":1000,"output":"x"})", true).output == "x");
    BOOST_TEST((fixture.start("e1", "3", R"({"fail":true})", true).status == TaskStatus::Failed));
    BOOST_TEST((fixture.start("e1", "1", "", true).status == TaskStatus::Duplicate));
}

// Guards against a fake server that starts a task after it answered "unknown" to an inquiry or a
// stop.
BOOST_AUTO_TEST_CASE(unknownTaskLeavesATombstone)
{
    FakeFixture fixture;
    BOOST_TEST((fixture.statusFrom("e1", "/v1/inquiries", "9") == TaskStatus::Unknown));
    BOOST_TEST((fixture.start("e1", "9", "", true).status == TaskStatus::Refused));
    BOOST_TEST((fixture.statusFrom("w1", "/v1/stops", "8") == TaskStatus::Unknown));
    BOOST_TEST((fixture.start("w1", "8", "", false).status == TaskStatus::Refused));
    BOOST_TEST(fixture.fake.ledger().violations(Violation::StartedAfterUnknown) == 0U);
}

// Guards against a worker that loses results or that keeps running the tasks of a holder whose
// lease has expired.
BOOST_AUTO_TEST_CASE(workerReportsResultsAndStopsLapsedTasks)
{
    const FakeFixture fixture;
    BOOST_TEST((fixture.start("w1", "1", "out", false).status == TaskStatus::Accepted));
    const auto poll = [&](uint64_t ack) {
        const auto reply = fixture.call("w1", "POST", "/v1/results",
                                        serialize(backend::ResultsRequest {"vm.1", ack, 5s}));
        return backend::parseResultsReply(reply.value().body).value();
    };
    const auto first = poll(0);
    BOOST_REQUIRE(first.results.size() == 1U);
    BOOST_TEST(first.results[0].output == "out");
    BOOST_TEST((fixture.start("w1", "2", R"({"durationUs":60000000})", false).status
                == TaskStatus::Accepted));
    const auto second = poll(first.next);
    BOOST_REQUIRE(second.results.size() == 1U);
    BOOST_TEST((second.results[0].status == TaskStatus::Stopped));
}

// Guards against injected faults without effect, with which every experiment would pass.
BOOST_AUTO_TEST_CASE(serverFaultsTakeEffect)
{
    FakeFixture fixture;
    fixture.setFault("server", "e1", "blackHole", 1);
    BOOST_TEST((fixture.start("e1", "1", "", true).status == TaskStatus::Failed));
    fixture.setFault("server", "e1", "blackHole", 0);
    fixture.setFault("server", "e1", "startAfterRefuse", 1);
    BOOST_TEST((fixture.start("e1", "2", "", true).status == TaskStatus::Refused));
    fixture.setFault("server", "e1", "startAfterRefuse", 0);
    fixture.setFault("server", "e1", "loseStartReply", 1);
    const backend::StartRequest request {
            "vm.1", currentTime() + 5s, 0s, true, {{"3", "screen", {}, "", 0us}}};
    BOOST_TEST(!fixture.call("e1", "POST", "/v1/starts", serialize(request)).has_value());
    fixture.setFault("server", "e1", "loseStartReply", 0);
    BOOST_TEST((fixture.statusFrom("e1", "/v1/inquiries", "3") == TaskStatus::Done));
    fixture.setFault("server", "e1", "crash", 1);
    BOOST_TEST(!fixture.call("e1", "POST", "/v1/inquiries", "{}").has_value());
    fixture.setFault("server", "e1", "crash", 0);
    BOOST_TEST((fixture.statusFrom("e1", "/v1/inquiries", "3") == TaskStatus::Unknown));
}

// Guards against a fake log service whose faults differ from those listed in docs/design.md,
// section 1.4. Covers lost append replies, an outage, dropped records and a cut data centre.
BOOST_AUTO_TEST_CASE(logAppendsReadsAndFails)
{
    FakeFixture fixture;
    const std::string records = "/v1/streams/catalogue/records";
    const auto append = [&](const std::string &data) {
        return fixture.call("a", "POST", records, data);
    };
    const auto page = [&](const std::string &query) {
        return backend::parseLogPage(fixture.call("a", "GET", records + query, "").value().body)
                .value();
    };
    BOOST_TEST(backend::parseOffset(append("one").value().body).value() == 1U);
    fixture.setFault("log", "", "loseReply", 1);
    BOOST_TEST(!append("two").has_value());
    fixture.setFault("log", "", "loseReply", 0);
    BOOST_TEST(page("?from=2&max=5&waitMs=0").records.at(0).data == "two");
    fixture.setFault("log", "", "outage", 1);
    BOOST_TEST(append("three").value().status == 503);
    fixture.setFault("log", "", "outage", 0);
    fixture.setFault("log", "", "drop", 1);
    BOOST_TEST(page("?from=1").next == 2U);
    fixture.setFault("platform", "a", "cut", 1);
    BOOST_TEST(!append("four").has_value());
    fixture.setFault("platform", "a", "cut", 0);
    BOOST_TEST(page("?from=1&max=1").records.size() == 1U);
}

// Guards against a VM list that omits a leaving server or does not mark it as leaving.
BOOST_AUTO_TEST_CASE(vmListShowsLeavingServers)
{
    FakeFixture fixture;
    fixture.setFault("server", "w1", "leaving", 1);
    const auto vms =
            backend::parseVmList(fixture.call("a", "GET", "/v1/vms", "").value().body).value();
    BOOST_REQUIRE(vms.size() == 2U);
    BOOST_TEST(!vms[0].isLeaving);
    BOOST_TEST(vms[1].isLeaving);
}
