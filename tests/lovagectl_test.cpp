#define BOOST_TEST_MODULE lovagectl
#include "lovagectl/client.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::ctl;
using namespace std::chrono_literals;

namespace {

constexpr Duration patience = 10s;

// An entry VM that answers every request with one status and body, and counts the requests.
struct FakeVm
{
    FakeVm(int status, std::string body)
    {
        auto listening = HttpServer::listen(
                threads, {"127.0.0.1", 0}, {},
                [this, status, body](HttpRequest request, const HttpServer::Reply &reply) {
                    ++requests;
                    authorization = std::string(request.header("Authorization"));
                    reply({status, "application/json", {}, body});
                });
        server = std::move(listening.value());
    }
    ~FakeVm() { threads.stop(); }

    Endpoint endpoint() const { return {"127.0.0.1", server->port()}; }

    IoThreads threads {1};
    std::atomic<int> requests = 0;
    std::string authorization;
    std::unique_ptr<HttpServer> server;
};

ChangeRecord sampleChange()
{
    ChangeRecord change;
    change.requestId = "r1";
    change.entry.name = "screen";
    change.entry.owner = "desk";
    change.entry.workClass = "screen";
    return change;
}

} // namespace

// Guards against a change sent to a second VM after the first may have appended it.
BOOST_AUTO_TEST_CASE(changeIsSentOnceUnlessItWasNotRun)
{
    uint16_t closedPort = 0;
    {
        const FakeVm closed(200, "{}");
        closedPort = closed.server->port();
    }
    FakeVm first(504,
                 R"({"state":"failed","verdict":"may-have-run","code":"publish-unknown",)"
                 R"("reason":"no reply from the log"})");
    const FakeVm second(200, R"({"accepted":true,"offset":7})");
    Client client({{"127.0.0.1", closedPort}, first.endpoint(), second.endpoint()}, "secret",
                  patience);
    const auto result = client.publish(sampleChange());
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST((result.error().code == ErrorCode::PublishUnknown));
    BOOST_TEST(first.requests == 1);
    BOOST_TEST(second.requests == 0);
    BOOST_TEST(first.authorization == "Bearer secret");
}

BOOST_AUTO_TEST_CASE(acceptedChangeReturnsItsOffset)
{
    const FakeVm vm(200, R"({"accepted":true,"offset":7})");
    Client client({vm.endpoint()}, "secret", patience);
    BOOST_TEST(client.publish(sampleChange()).value() == 7U);
}

// Guards against "in force everywhere" while a dead or slow VM still has the old catalogue.
BOOST_AUTO_TEST_CASE(laggingVmsAreNamed)
{
    const auto status = parseStatus(R"({"vm":"a","state":"serving","catalogueOffset":9,"members":[
        {"vm":"a","dataCentre":"x","state":"alive","catalogueOffset":9},
        {"vm":"b","dataCentre":"x","state":"alive","catalogueOffset":8},
        {"vm":"c","dataCentre":"y","state":"dead","catalogueOffset":3},
        {"vm":"d","dataCentre":"y","state":"leaving","catalogueOffset":3}],
        "alarms":[{"code":"log-behind","reason":"shorter"}]})");
    BOOST_REQUIRE(status.has_value());
    const auto lagging = laggingVms(status.value(), 9);
    BOOST_REQUIRE(lagging.size() == 2U);
    BOOST_TEST(lagging[0].vm == "b");
    BOOST_TEST(lagging[1].vm == "c");
    BOOST_TEST(status.value().alarms.at(0) == "log-behind: shorter");
    BOOST_TEST(laggingVms(status.value(), 3).empty());
}

BOOST_AUTO_TEST_CASE(malformedStatusIsAnError)
{
    for (const char *body : {"", "[]", "{}", R"({"vm":"a"})", R"({"vm":"a","members":{}})"})
        BOOST_TEST(!parseStatus(body).has_value(), body);
}
