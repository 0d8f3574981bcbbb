#define BOOST_TEST_MODULE daemon_path

#include "daemon_fixture.h"

using namespace lovage;
using namespace lovage::test;

// Guards against answers that are lost, incomplete or assigned to the wrong submission.
BOOST_AUTO_TEST_CASE(whole_answers_come_back_from_executors_and_workers)
{
    Cluster cluster(1);
    cluster.startServing(0);
    cluster.publish(0, "quick", BackendKind::Executor);
    cluster.publish(0, "heavy", BackendKind::Worker);
    for (const std::string entry : {"quick", "heavy"}) {
        const std::string id = cluster.open(0);
        const HttpResponse single =
                cluster.call(0, "PUT", "/v1/submissions/" + id, requestBody(entry, "hello"));
        BOOST_REQUIRE_MESSAGE(single.status == 200, single.body);
        const auto body = boost::json::parse(single.body);
        BOOST_TEST(body.at("id").as_string() == id);
        BOOST_TEST(body.at("results").at(0).at("output").as_string() == "hello");
        BOOST_TEST(!single.header("Lovage-Spare-Ids").empty());

        const std::string job = cluster.open(0);
        checkJobAnswer(cluster.call(0, "PUT", "/v1/submissions/" + job, jobBody(entry, 40)), 40);
        checkJobAnswer(cluster.call(0, "GET", "/v1/submissions/" + job), 40);
    }
    BOOST_TEST(cluster.starts() == 82U);
    cluster.checkGroundTruth();
}

// Guards against catalogues that differ between VMs, and against a change that is accepted twice.
BOOST_AUTO_TEST_CASE(two_vms_see_the_same_entry)
{
    Cluster cluster(2);
    cluster.startServing(0);
    cluster.startServing(1);
    const uint64_t offset = cluster.publish(1, "quick", BackendKind::Executor);
    BOOST_TEST(cluster.publish(1, "quick", BackendKind::Executor) == offset);
    for (const size_t vm : {0, 1}) {
        BOOST_TEST(eventually([&] { return cluster.hasEntry(vm, "quick"); }));
        const auto answer = boost::json::parse(cluster.call(vm, "GET", "/v1/catalogue/quick").body);
        BOOST_TEST(answer.at("entry").at("version").to_number<uint64_t>() == offset);
    }
    ChangeRecord change;
    change.requestId = "conflicting";
    change.entry.name = "quick";
    change.entry.owner = "team";
    change.entry.workClass = "quick";
    const HttpResponse conflict = cluster.call(0, "POST", "/v1/catalogue/changes",
                                               serializeChange(change), operatorToken);
    BOOST_TEST(conflict.status == 409);
    BOOST_TEST(eventually([&] {
        const auto status =
                boost::json::parse(cluster.call(0, "GET", "/v1/status", {}, operatorToken).body);
        const auto &members = status.at("members").as_array();
        return members.size() == 2 && members[1].at("state").as_string() == "alive";
    }));
}

// Guards against a keyed submission that runs again when it is repeated through another VM.
BOOST_AUTO_TEST_CASE(keyed_submissions_run_once)
{
    Cluster cluster(2);
    cluster.startServing(0);
    cluster.startServing(1);
    cluster.publish(0, "quick", BackendKind::Executor);
    BOOST_REQUIRE(eventually([&] { return cluster.hasEntry(1, "quick"); }));
    const auto isAlive = [&](size_t vm) {
        const auto text = cluster.call(vm, "GET", "/v1/status", {}, operatorToken).body;
        const auto status = boost::json::parse(text);
        const auto &members = status.at("members").as_array();
        return members.size() == 2 && members[1].at("state").as_string() == "alive";
    };
    BOOST_REQUIRE(eventually([&] { return isAlive(0) && isAlive(1); }));
    // A key older than the start of its home VM plus the skew margin is refused, so each attempt
    // makes a new key from the current time.
    std::string key;
    HttpResponse first;
    BOOST_REQUIRE(eventually([&] {
        key = std::to_string(toUnixMillis(currentTime())) + "-text";
        first = cluster.call(0, "POST", "/v1/keyed/" + key, requestBody("quick", "x"));
        return first.status == 200;
    }));
    const uint64_t starts = cluster.starts();
    const auto second = cluster.call(1, "POST", "/v1/keyed/" + key, requestBody("quick", "x"));
    BOOST_TEST(second.status == 200);
    BOOST_TEST(boost::json::parse(second.body).at("results")
               == boost::json::parse(first.body).at("results"));
    BOOST_TEST(cluster.starts() == starts);
    cluster.checkGroundTruth();
}
