#define BOOST_TEST_MODULE daemon_fault

#include "daemon_fixture.h"

#include "lovage/ledger.h"

#include <future>

using namespace lovage;
using namespace lovage::test;

namespace {

constexpr int64_t longTaskUs = 400'000;

std::string codeOf(const HttpResponse &response)
{
    return std::string(boost::json::parse(response.body).at("code").as_string());
}

} // namespace

// Guards against a drain that aborts a running job or leaves its caller without an answer.
BOOST_AUTO_TEST_CASE(drain_completes_running_jobs)
{
    Cluster cluster(1);
    cluster.startServing(0);
    cluster.publish(0, "heavy", BackendKind::Worker);
    const std::string id = cluster.open(0);
    auto answer = std::async(std::launch::async, [&] {
        return cluster.call(0, "PUT", "/v1/submissions/" + id, jobBody("heavy", 10, longTaskUs));
    });
    BOOST_REQUIRE(eventually([&] { return cluster.starts() > 0; }));
    cluster.daemons[0]->requestStop();
    checkJobAnswer(answer.get(), 10);
    BOOST_TEST(cluster.daemons[0]->waitStopped(longWait));
    BOOST_TEST(invariantViolations(Promise::NothingCutOnDrain) == 0U);
    cluster.checkGroundTruth();
}

// Guards against a drain that drops a forwarded request whose reply takes longer (3 s) than the
// time limit after a second stop signal (2 s).
BOOST_AUTO_TEST_CASE(drain_waits_for_forwarded_requests)
{
    Cluster cluster(2);
    cluster.startServing(0);
    cluster.startServing(1);
    cluster.publish(1, "long", BackendKind::Executor);
    BOOST_REQUIRE(eventually([&] { return cluster.hasEntry(0, "long"); }));
    // The home VM refuses keys older than its own start plus the skew margin of 2 s.
    const Time issued = currentTime() + std::chrono::milliseconds(1900);
    const std::string prefix = std::to_string(toUnixMillis(issued)) + "-k";
    std::string key = prefix;
    while (keyHome(key, {"vm-0", "vm-1"}) != "vm-1")
        key += "k";
    IoThreads threads(1);
    HttpClient client(threads, 0, {});
    const auto send = [&](const std::string &method, const std::string &target, std::string body) {
        auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
        client.send({"127.0.0.1", cluster.daemons[0]->httpPort()},
                    {method, target, {{"Authorization", "Bearer " + ownerToken}}, std::move(body)},
                    longWait, [promise](Result<HttpResponse> result) {
                        promise->set_value(std::move(result));
                    });
        return promise->get_future();
    };
    BOOST_REQUIRE(send("GET", "/v1/catalogue/long", {}).get().has_value());
    cluster.daemons[0]->requestStop();
    // New connections are refused only after the drain has ended.
    const Endpoint endpoint {"127.0.0.1", cluster.daemons[0]->httpPort()};
    BOOST_REQUIRE(eventually([&] {
        return !sendHttp(endpoint, {"GET", "/v1/health", {}, {}}, longWait);
    }));
    const auto result = send("POST", "/v1/keyed/" + key,
                             requestBody("long", R"({"durationUs":3000000,"output":"done"})"))
                                .get();
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result.value().status == 200, result.value().body);
    BOOST_TEST(cluster.daemons[0]->waitStopped(longWait));
    threads.stop();
}

// Guards against a resubmission through another VM that starts the tasks again while they run or
// after they have ended.
BOOST_AUTO_TEST_CASE(resubmission_through_another_vm_starts_nothing_twice)
{
    Cluster cluster(2);
    cluster.startServing(0);
    cluster.startServing(1);
    cluster.publish(0, "heavy", BackendKind::Worker);
    BOOST_REQUIRE(eventually([&] { return cluster.hasEntry(1, "heavy"); }));
    const std::string target = "/v1/submissions/" + cluster.open(0);
    const std::string body = jobBody("heavy", 10, longTaskUs);
    auto first =
            std::async(std::launch::async, [&] { return cluster.call(0, "PUT", target, body); });
    BOOST_REQUIRE(eventually([&] { return cluster.starts() > 0; }));
    checkJobAnswer(cluster.call(1, "PUT", target, body), 10);
    checkJobAnswer(first.get(), 10);
    checkJobAnswer(cluster.call(1, "PUT", target, body), 10);
    BOOST_TEST(codeOf(cluster.call(1, "PUT", target, jobBody("heavy", 9))) == "id-reused");
    BOOST_TEST(cluster.starts() == 10U);
    cluster.checkGroundTruth();
}

// Guards against a VM that cannot start during a log outage although a peer has the catalogue.
BOOST_AUTO_TEST_CASE(starts_from_a_peer_while_the_log_is_down)
{
    Cluster cluster(2);
    cluster.startServing(0);
    cluster.publish(0, "quick", BackendKind::Executor);
    BOOST_REQUIRE(cluster.fake->setFault(R"({"target":"log","name":"","fault":"outage","value":1})")
                          .has_value());
    cluster.startServing(1);
    BOOST_TEST(eventually([&] { return cluster.hasEntry(1, "quick"); }));
}

// Guards against invalid requests that start tasks, crash the daemon or get the wrong status.
BOOST_AUTO_TEST_CASE(bad_input_gets_clear_failures)
{
    Cluster cluster(1);
    cluster.startServing(0);
    cluster.publish(0, "quick", BackendKind::Executor);
    const std::string target = "/v1/submissions/" + cluster.open(0);
    const auto put = [&](const std::string &body, const std::string &token = ownerToken) {
        return cluster.call(0, "PUT", target, body, token);
    };
    BOOST_TEST(put(requestBody("quick", "x"), "wrong").status == 401);
    BOOST_TEST(put(requestBody("quick", "x"), operatorToken).status == 403);
    BOOST_TEST(put("{").status == 400);
    BOOST_TEST(codeOf(put(R"({"entry":"quick","tasks":[{"id":"a","input":"x"},)"
                          R"({"id":"a","input":"y"}]})"))
               == "duplicate-task-id");
    BOOST_TEST(put(requestBody("quick", std::string(100U << 10, 'x'))).status == 413);
    BOOST_TEST(cluster.call(0, "PUT", "/v1/submissions/nonsense", "{}").status == 404);
    BOOST_TEST(cluster.call(0, "PATCH", target, "{}").status == 405);
    BOOST_TEST(cluster.call(0, "GET", "/v2/anything").status == 404);
    BOOST_TEST(cluster.call(0, "POST", "/v1/catalogue/changes", "{}").status == 401);
    BOOST_TEST(cluster.call(0, "POST", "/v1/keyed/no-time", "{}").status == 400);
    const std::string other = "/v1/submissions/" + cluster.open(0);
    BOOST_TEST(cluster.call(0, "PUT", other, requestBody("absent", "x")).status == 404);
    const std::string late = "/v1/submissions/" + cluster.open(0);
    BOOST_TEST(codeOf(cluster.call(0, "PUT", late,
                                   R"({"entry":"quick","deadlineMs":1000,"input":"x"})"))
               == "past-deadline");
    BOOST_TEST(cluster.starts() == 0U);
    BOOST_TEST(put(requestBody("quick", "x")).status == 200);
}
