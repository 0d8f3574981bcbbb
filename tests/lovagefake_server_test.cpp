#define BOOST_TEST_MODULE lovagefake_server
#include "lovagefake/fake.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace lovage;
using namespace lovage::fake;
using namespace std::chrono_literals;
using backend::TaskStatus;

namespace {

constexpr Duration patience = 10s;

// One executor of two slots, one worker of 2 cores, the platform as seen from data centre "a".
struct Rig
{
    Rig()
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
        return sendHttp({"127.0.0.1", portOf(name)}, {method, path, {}, std::move(body)}, patience);
    }
    backend::TaskResult start(const std::string &server, const std::string &id,
                              const std::string &input, bool wait) const
    {
        backend::StartRequest request {"vm.1", currentTime() + 5s, 200ms, wait, {}};
        request.tasks.push_back({id, "screen", {}, input, 1ms});
        const auto reply = call(server, "POST", "/v1/starts", serialize(request));
        return backend::parseStartReply(reply.value().body).value().results.at(0);
    }
    TaskStatus ask(const std::string &server, const std::string &path, const std::string &id) const
    {
        const auto reply = call(server, "POST", path, backend::serializeIds({id}));
        return backend::parseStatuses(reply.value().body).value().at(0).status;
    }
    void fault(const std::string &target, const std::string &name, const std::string &fault,
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

// Guards against results that tests could not tell apart from those of another task.
BOOST_AUTO_TEST_CASE(waitingStartReturnsOutputOrEcho)
{
    const Rig rig;
    BOOST_TEST(rig.start("e1", "1", "any text", true).output == "any text");
    BOOST_TEST(rig.start("e1", "2", R"({"durationUs":1000,"output":"x"})", true).output == "x");
    BOOST_TEST((rig.start("e1", "3", R"({"fail":true})", true).status == TaskStatus::Failed));
    BOOST_TEST((rig.start("e1", "1", "", true).status == TaskStatus::Duplicate));
}

// Guards against a stand-in that starts a task after it told an inquirer that it has none.
BOOST_AUTO_TEST_CASE(unknownTaskLeavesATombstone)
{
    Rig rig;
    BOOST_TEST((rig.ask("e1", "/v1/inquiries", "9") == TaskStatus::Unknown));
    BOOST_TEST((rig.start("e1", "9", "", true).status == TaskStatus::Refused));
    BOOST_TEST((rig.ask("w1", "/v1/stops", "8") == TaskStatus::Unknown));
    BOOST_TEST((rig.start("w1", "8", "", false).status == TaskStatus::Refused));
    BOOST_TEST(rig.fake.ledger().violations(Violation::StartedAfterUnknown) == 0U);
}

// Guards against a worker that loses results or keeps the tasks of a holder without a lease.
BOOST_AUTO_TEST_CASE(workerReportsResultsAndStopsLapsedTasks)
{
    const Rig rig;
    BOOST_TEST((rig.start("w1", "1", "out", false).status == TaskStatus::Accepted));
    const auto poll = [&](uint64_t ack) {
        const auto reply = rig.call("w1", "POST", "/v1/results",
                                    serialize(backend::ResultsRequest {"vm.1", ack, 5s}));
        return backend::parseResultsReply(reply.value().body).value();
    };
    const auto first = poll(0);
    BOOST_REQUIRE(first.results.size() == 1U);
    BOOST_TEST(first.results[0].output == "out");
    BOOST_TEST((rig.start("w1", "2", R"({"durationUs":60000000})", false).status
                == TaskStatus::Accepted));
    const auto second = poll(first.next);
    BOOST_REQUIRE(second.results.size() == 1U);
    BOOST_TEST((second.results[0].status == TaskStatus::Stopped));
}

// Guards against faults that have no effect, which would let every experiment pass.
BOOST_AUTO_TEST_CASE(serverFaultsTakeEffect)
{
    Rig rig;
    rig.fault("server", "e1", "blackHole", 1);
    BOOST_TEST((rig.start("e1", "1", "", true).status == TaskStatus::Failed));
    rig.fault("server", "e1", "blackHole", 0);
    rig.fault("server", "e1", "startAfterRefuse", 1);
    BOOST_TEST((rig.start("e1", "2", "", true).status == TaskStatus::Refused));
    rig.fault("server", "e1", "startAfterRefuse", 0);
    rig.fault("server", "e1", "loseStartReply", 1);
    const backend::StartRequest request {
            "vm.1", currentTime() + 5s, 0s, true, {{"3", "screen", {}, "", 0us}}};
    BOOST_TEST(!rig.call("e1", "POST", "/v1/starts", serialize(request)).has_value());
    rig.fault("server", "e1", "loseStartReply", 0);
    BOOST_TEST((rig.ask("e1", "/v1/inquiries", "3") == TaskStatus::Done));
    rig.fault("server", "e1", "crash", 1);
    BOOST_TEST(!rig.call("e1", "POST", "/v1/inquiries", "{}").has_value());
    rig.fault("server", "e1", "crash", 0);
    BOOST_TEST((rig.ask("e1", "/v1/inquiries", "3") == TaskStatus::Unknown));
}

// Guards against a log whose faults differ from those that design.md 1.4 lists.
BOOST_AUTO_TEST_CASE(logAppendsReadsAndFails)
{
    Rig rig;
    const std::string records = "/v1/streams/catalogue/records";
    const auto append = [&](const std::string &data) {
        return rig.call("a", "POST", records, data);
    };
    const auto page = [&](const std::string &query) {
        return backend::parseLogPage(rig.call("a", "GET", records + query, "").value().body)
                .value();
    };
    BOOST_TEST(backend::parseOffset(append("one").value().body).value() == 1U);
    rig.fault("log", "", "loseReply", 1);
    BOOST_TEST(!append("two").has_value());
    rig.fault("log", "", "loseReply", 0);
    BOOST_TEST(page("?from=2&max=5&waitMs=0").records.at(0).data == "two");
    rig.fault("log", "", "outage", 1);
    BOOST_TEST(append("three").value().status == 503);
    rig.fault("log", "", "outage", 0);
    rig.fault("log", "", "drop", 1);
    BOOST_TEST(page("?from=1").next == 2U);
    rig.fault("platform", "a", "cut", 1);
    BOOST_TEST(!append("four").has_value());
    rig.fault("platform", "a", "cut", 0);
    BOOST_TEST(page("?from=1&max=1").records.size() == 1U);
}

// Guards against a leaving server that the VM list hides.
BOOST_AUTO_TEST_CASE(vmListShowsLeavingServers)
{
    Rig rig;
    rig.fault("server", "w1", "leaving", 1);
    const auto vms = backend::parseVmList(rig.call("a", "GET", "/v1/vms", "").value().body).value();
    BOOST_REQUIRE(vms.size() == 2U);
    BOOST_TEST(!vms[0].isLeaving);
    BOOST_TEST(vms[1].isLeaving);
}
