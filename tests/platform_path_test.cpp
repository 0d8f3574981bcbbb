// End-to-end test of the platform adapter over real sockets: two VMs with a fake store and fake
// executors.
#define BOOST_TEST_MODULE platform_path
#include "support/platform_standin.h"

#include "executors.h"
#include "ingress.h"
#include "records.h"
#include "store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <future>
#include <thread>

using namespace lovage;
using namespace lovage::test;
using std::chrono::milliseconds;

namespace {

const std::string configuration =
        R"({"version":7,"routes":[{"name":"r","host":"work.example","path_prefix":"/a/",)"
        R"("timeout_ms":3000,"slo_ms":60,"service":"s","attempts":3,"stretch_factor":1.6}]})";

// Returns two free peer ports. They are chosen before the nodes exist, because each node must know
// the other's port. Both sockets stay open until both ports are known, so that the ports differ.
std::array<uint16_t, 2> freePorts()
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    tcp::acceptor first(context, any);
    tcp::acceptor second(context, any);
    return {first.local_endpoint().port(), second.local_endpoint().port()};
}

NodeSettings nodeSettings(const std::string &name, uint16_t port)
{
    NodeSettings settings;
    settings.name = name;
    settings.dataCentre = "z";
    settings.peer = {"127.0.0.1", port};
    return settings;
}

// One VM: a node with the platform adapter, connected as in the daemon.
struct Vm
{
    Vm(const std::string &name, uint16_t port, const Endpoint &storeAddress,
       const std::vector<Endpoint> &seeds)
        : store(threads, storeAddress), shardGroup(store, "shards-z", "shards", name),
          keeperGroup(store, "keepers", "jobs", name), journal(store),
          executors(threads, milliseconds(500)),
          configurationFollower(threads, store, "keyed.op", Duration::zero(), milliseconds(20),
                                [this](const auto &values) { onConfiguration(values); }),
          serverFollower(threads, store, "keyed.servers", Duration::zero(), milliseconds(20),
                         [this](const auto &values) { onServers(values); })
    {
        NodeSettings settings = nodeSettings(name, port);
        settings.seeds = seeds;
        settings.groupLease = milliseconds(1000);
        node = std::move(Node::open(settings, threads,
                                    {executors, shardGroup, keeperGroup, journal}, metrics)
                                 .value());
        ingress = std::make_unique<platform::Ingress>(*node);
        http = std::move(
                HttpServer::listen(threads, {"127.0.0.1", 0}, {},
                                   [this](const HttpRequest &request, HttpServer::Reply reply) {
                                       ingress->handle(request, std::move(reply));
                                   })
                        .value());
        threads.post(0, [this] {
            configurationFollower.start();
            serverFollower.start();
            node->setStoredJobsExist(false);
            node->start();
        });
    }

    void onConfiguration(const std::map<std::string, std::string> &values)
    {
        if (const auto found = values.find("config"); found != values.end())
            node->setConfiguration(platform::decodeConfiguration(found->second).value());
    }
    void onServers(const std::map<std::string, std::string> &values)
    {
        std::vector<ServerInfo> list;
        for (const auto &[id, text] : values) {
            if (auto server = platform::decodeServer(id, text))
                list.push_back(*server);
        }
        node->setServers(list);
    }
    Result<HttpResponse> send(const std::string &method, const std::string &target,
                              const std::string &body = {}, std::vector<HttpHeader> headers = {},
                              Duration timeout = milliseconds(5000)) const
    {
        headers.push_back({"Host", "work.example"});
        return sendHttp({"127.0.0.1", http->port()}, {method, target, std::move(headers), body},
                        timeout);
    }

    // Keeps the VM from running anything, as if its process were paused. Returns once it has begun.
    void stall(Duration duration)
    {
        std::promise<void> begun;
        threads.post(0, [&begun, duration] {
            begun.set_value();
            std::this_thread::sleep_for(duration);
        });
        begun.get_future().get();
    }

    IoThreads threads {1};
    Metrics metrics;
    platform::Store store;
    platform::StoreGroup shardGroup;
    platform::StoreGroup keeperGroup;
    platform::Journal journal;
    platform::ExecutorClient executors;
    platform::TopicFollower configurationFollower;
    platform::TopicFollower serverFollower;
    std::unique_ptr<Node> node;
    std::unique_ptr<platform::Ingress> ingress;
    std::unique_ptr<HttpServer> http;
};

struct Deployment
{
    Deployment()
    {
        store.put("keyed.op", "config", configuration);
        store.put("keyed.servers", "e1", executor1.entry("s", "z"));
        store.put("keyed.servers", "e2", executor2.entry("s", "z"));
        store.put("keyed.servers", "odd", "\xff not json");
        const auto [first, second] = freePorts();
        const std::vector<Endpoint> seeds {{"127.0.0.1", first}, {"127.0.0.1", second}};
        vm1 = std::make_unique<Vm>("vm1", first, store.endpoint(), seeds);
        vm2 = std::make_unique<Vm>("vm2", second, store.endpoint(), seeds);
    }
    ~Deployment()
    {
        vm1->threads.stop();
        vm2->threads.stop();
        platformThreads.stop();
    }

    static std::string job(uint32_t count)
    {
        return fmt::format(
                R"({{"spec":"p","best_effort":true,"steps":[{{"count":{},"cpu":10000,"mem_mb":1,"estimate_ms":60}}]}})",
                count);
    }
    // Submits repeatedly until the deployment has started up. A refused job has not run, so its id
    // may be used again.
    int submitUntilServed(const Vm &vm, const std::string &id)
    {
        int status = 0;
        for (int i = 0; i < 200; ++i) {
            const auto response = vm.send("POST", "/a/" + id, job(2));
            status = response.has_value() ? response.value().status : 0;
            if (status == 200)
                break;
            std::this_thread::sleep_for(milliseconds(50));
        }
        return status;
    }
    size_t startsOf(const std::string &id)
    {
        size_t count = 0;
        for (FakeExecutor *executor : {&executor1, &executor2}) {
            for (const auto &[task, starts] : executor->starts())
                count += task.starts_with(id) ? static_cast<size_t>(starts) : 0;
        }
        return count;
    }

    // Returns the number of pairs of runs of one task at one time.
    size_t overlaps()
    {
        std::vector<FakeExecutor::Interval> runs = executor1.intervals();
        const auto more = executor2.intervals();
        runs.insert(runs.end(), more.begin(), more.end());
        size_t count = 0;
        for (size_t i = 0; i < runs.size(); ++i) {
            for (size_t k = i + 1; k < runs.size(); ++k) {
                const bool isLaterFirst = runs[k].start < runs[i].start;
                const auto &first = runs[isLaterFirst ? k : i];
                const auto &second = runs[isLaterFirst ? i : k];
                const Time end = first.end.value_or(Time::max());
                count += first.task == second.task && second.start < end ? 1 : 0;
            }
        }
        return count;
    }

    IoThreads platformThreads {1};
    FakeStore store {platformThreads};
    FakeExecutor executor1 {platformThreads, "e1", milliseconds(60)};
    FakeExecutor executor2 {platformThreads, "e2", milliseconds(60)};
    std::unique_ptr<Vm> vm1;
    std::unique_ptr<Vm> vm2;
};

} // namespace

// Guards against jobs that are not served, or whose tasks start twice, because they arrive at the
// VM that does not hold the servers.
BOOST_FIXTURE_TEST_CASE(job_is_served_through_either_vm, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000a1") == 200);
    BOOST_TEST(submitUntilServed(*vm2, "00000000000000a2") == 200);
    BOOST_TEST(startsOf("00000000000000a1") == 2U);
    BOOST_TEST(startsOf("00000000000000a2") == 2U);
    BOOST_TEST(store.memberCount("shards-z") == 1U);
}

// Guards against a data centre that stops serving jobs while the store is down, and against a VM
// that misses a new configuration because the store has compacted the topic meanwhile.
BOOST_FIXTURE_TEST_CASE(jobs_are_served_while_the_store_is_down, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000b1") == 200);
    store.setDown(true);
    std::this_thread::sleep_for(milliseconds(300));
    const auto response = vm2->send("POST", "/a/00000000000000b2", job(2));
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response.value().status == 200);
    store.setDown(false);
    std::string next = configuration;
    next.replace(next.find("\"version\":7"), 11, "\"version\":9");
    next.replace(next.find("/a/"), 3, "/b/");
    store.put("keyed.op", "config", next);
    store.compact("keyed.op");
    int status = 0;
    for (int i = 0; i < 100 && status != 200; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
        status = vm2->send("GET", "/b/").value().status;
    }
    BOOST_TEST(status == 200);
    BOOST_TEST(vm2->send("GET", "/a/").value().status == 404);
}

// Guards against wrong responses to requests that run nothing: callers decide by status, verdict
// and Retry-After whether to submit again.
BOOST_FIXTURE_TEST_CASE(rejected_requests_report_not_run, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000c1") == 200);
    BOOST_TEST(vm1->send("POST", "/none/00000000000000c2", job(1)).value().status == 404);
    BOOST_TEST(vm1->send("POST", "/a/short", job(1)).value().status == 400);
    BOOST_TEST(vm1->send("POST", "/a/00000000000000c2", "{").value().status == 400);
    const auto unstoredGang = vm1->send(
            "POST", "/a/00000000000000c2",
            R"({"spec":"p","best_effort":true,"steps":[{"count":1,"cpu":1,"gang":true}]})");
    BOOST_TEST(unstoredGang.value().status == 503);
    BOOST_TEST(unstoredGang.value().body.find("not-run") != std::string::npos);
    BOOST_TEST(vm1->send("GET", "/a/00000000000000c1").value().status == 410);
    BOOST_TEST(vm1->send("GET", "/a/").value().body == R"({"pending":0})");
    const auto wide = vm1->send("POST", "/a/00000000000000c3", job(400));
    BOOST_TEST(wide.value().status == 503);
    BOOST_TEST(!wide.value().header("Retry-After").empty());
    BOOST_TEST(startsOf("00000000000000c2") + startsOf("00000000000000c3") == 0U);
}

// Guards against a stored job that is accepted through one VM but unknown to the other, and against
// a second run of its tasks when it is submitted again under the same id.
BOOST_FIXTURE_TEST_CASE(stored_job_is_known_everywhere, Deployment)
{
    const std::string body =
            R"({"spec":"p","steps":[{"count":3,"cpu":10000,"mem_mb":1,"estimate_ms":60},)"
            R"({"count":1,"cpu":10000,"mem_mb":1,"estimate_ms":60,"after":[0]}]})";
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000e0") == 200);
    BOOST_TEST(vm1->send("POST", "/a/00000000000000e1", body).value().status == 200);
    BOOST_TEST(vm2->send("POST", "/a/00000000000000e1", body).value().status == 200);
    std::string state;
    for (int i = 0; i < 100 && state != R"({"state":"completed"})"; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
        state = vm2->send("GET", "/a/00000000000000e1").value().body;
    }
    BOOST_TEST(state == R"({"state":"completed"})");
    BOOST_TEST(startsOf("00000000000000e1") == 4U);
    BOOST_TEST(vm2->send("GET", "/a/00000000000000e2").value().status == 410);
    BOOST_TEST(vm2->send("DELETE", "/a/00000000000000e2").value().status == 410);
}

// Guards against tasks that start or continue after their job was cancelled.
BOOST_FIXTURE_TEST_CASE(cancelled_job_is_stopped, Deployment)
{
    const std::string body =
            R"({"spec":"p","steps":[{"count":2,"cpu":10000,"mem_mb":1,"long_running":true}]})";
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000f0") == 200);
    BOOST_TEST(vm1->send("POST", "/a/00000000000000f1", body).value().status == 200);
    for (int i = 0; i < 100 && startsOf("00000000000000f1") < 6; ++i)
        std::this_thread::sleep_for(milliseconds(20));
    // A long-running task is restarted whenever it ends, even if it succeeds.
    BOOST_TEST(startsOf("00000000000000f1") >= 6U);
    BOOST_TEST(vm2->send("GET", "/a/00000000000000f1").value().body == R"({"state":"running"})");
    BOOST_TEST(vm2->send("DELETE", "/a/00000000000000f1").value().status == 200);
    std::this_thread::sleep_for(milliseconds(200));
    const size_t starts = startsOf("00000000000000f1");
    std::this_thread::sleep_for(milliseconds(400));
    BOOST_TEST(startsOf("00000000000000f1") == starts);
    BOOST_TEST(vm1->send("GET", "/a/00000000000000f1").value().body == R"({"state":"cancelled"})");
}

// Guards against tasks that continue after the caller closed its connection.
BOOST_FIXTURE_TEST_CASE(closed_connection_stops_the_job, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm2, "00000000000000d1") == 200);
    const auto response =
            sendHttp({"127.0.0.1", vm2->http->port()},
                     {"POST", "/a/00000000000000d2", {{"Host", "work.example"}}, job(4)},
                     milliseconds(20)); // gives up before the tasks end
    BOOST_TEST(!response.has_value());
    for (int i = 0; i < 100 && executor1.stops() + executor2.stops() < 4; ++i)
        std::this_thread::sleep_for(milliseconds(5));
    BOOST_TEST(executor1.stops() + executor2.stops() == 4U);
}

// Guards against a VM that tells its peers an address at which they cannot reach it.
BOOST_FIXTURE_TEST_CASE(advertised_address_replaces_the_peer_address, Deployment)
{
    BOOST_TEST(vm1->node->self().address.starts_with("127.0.0.1:"));
    NodeSettings settings = nodeSettings("vm3", freePorts().front());
    settings.peerAdvertised = Endpoint {"192.0.2.7", 33};
    IoThreads threads {1};
    Metrics metrics;
    auto node =
            Node::open(settings, threads,
                       {vm1->executors, vm1->shardGroup, vm1->keeperGroup, vm1->journal}, metrics);
    BOOST_REQUIRE(node.has_value());
    BOOST_TEST(node.value()->self().address == "192.0.2.7:33");
    threads.stop();
}

// Guards against a second run of a task at one time: a VM that was paused reads a request whose
// caller may have sent it through another VM meanwhile, and its close need not have arrived.
BOOST_FIXTURE_TEST_CASE(request_that_waited_too_long_starts_nothing, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000e1") == 200);
    BOOST_TEST(submitUntilServed(*vm2, "00000000000000e2") == 200);
    // One of the two holds the servers, the other one offers its jobs to it.
    for (Vm *vm : {vm1.get(), vm2.get()}) {
        const std::string id = "00000000000000f" + std::to_string(vm == vm1.get() ? 1 : 2);
        vm->stall(milliseconds(800));
        const auto response = vm->send("POST", "/a/" + id, job(2));
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response.value().status == 503);
        BOOST_TEST(response.value().body.find("not-run") != std::string::npos);
        BOOST_TEST(response.value().body.find("stale-request") != std::string::npos);
        BOOST_TEST(!response.value().header("Retry-After").empty());
        BOOST_TEST(startsOf(id) == 0U);
        BOOST_TEST(vm->metrics.prometheusText().find("lovage_stale_requests_total 1")
                   != std::string::npos);
    }
}

// Guards against tasks that start for a caller that has closed its connection: the close is read
// behind the request.
BOOST_FIXTURE_TEST_CASE(request_of_a_caller_that_has_left_starts_nothing, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000e1") == 200);
    BOOST_TEST(submitUntilServed(*vm2, "00000000000000e2") == 200);
    for (Vm *vm : {vm1.get(), vm2.get()}) {
        const std::string id = "00000000000000f" + std::to_string(vm == vm1.get() ? 1 : 2);
        vm->stall(milliseconds(250));
        const auto response = vm->send("POST", "/a/" + id, job(2), {}, milliseconds(50));
        BOOST_TEST(!response.has_value());
        std::this_thread::sleep_for(milliseconds(500));
        BOOST_TEST(startsOf(id) == 0U);
    }
}

// Guards against requests that are refused after a short stall, and against a deadline that is
// counted from the reading of the request.
BOOST_FIXTURE_TEST_CASE(request_that_waited_briefly_is_served_within_its_deadline, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000e1") == 200);
    BOOST_TEST(submitUntilServed(*vm2, "00000000000000e2") == 200);
    for (Vm *vm : {vm1.get(), vm2.get()}) {
        const std::string suffix = vm == vm1.get() ? "1" : "2";
        vm->stall(milliseconds(250));
        const auto served = vm->send("POST", "/a/00000000000000f" + suffix, job(2));
        BOOST_REQUIRE(served.has_value());
        BOOST_TEST(served.value().status == 200);
        vm->stall(milliseconds(400));
        const auto late = vm->send("POST", "/a/00000000000000c" + suffix, job(2),
                                   {{"Lovagedeal-Deadline-Ms", "300"}});
        BOOST_REQUIRE(late.has_value());
        BOOST_TEST(late.value().status == 503);
        BOOST_TEST(startsOf("00000000000000c" + suffix) == 0U);
    }
}

// Guards against a second run of a task at one time after the answers of a server were lost: what
// it was told to start runs until it is stopped or its lease has lapsed.
BOOST_FIXTURE_TEST_CASE(orders_without_an_answer_start_nothing_twice_at_one_time, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000a1") == 200);
    // Longer than the answer to a start is waited for, so that a task that is started elsewhere too
    // early overlaps.
    executor1.setTaskTime(milliseconds(900));
    executor2.setTaskTime(milliseconds(900));
    executor1.loseAnswers(true);
    const std::string body =
            R"({"spec":"p","steps":[{"count":4,"cpu":10000,"mem_mb":1,"estimate_ms":900}]})";
    BOOST_TEST(vm1->send("POST", "/a/00000000000000a2", body).value().status == 200);
    std::this_thread::sleep_for(milliseconds(1500));
    executor1.loseAnswers(false);
    std::string state;
    for (int i = 0; i < 200 && state != R"({"state":"completed"})"; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
        state = vm1->send("GET", "/a/00000000000000a2").value().body;
    }
    BOOST_TEST(state == R"({"state":"completed"})");
    BOOST_TEST(startsOf("00000000000000a2") >= 4U);
    BOOST_TEST(overlaps() == 0U);
}

// Guards against work that a server refuses, or that is lost with it, because the VM knows the
// clock, the fencing token or the end numbers of its earlier process.
BOOST_FIXTURE_TEST_CASE(restarted_servers_are_used_again, Deployment)
{
    BOOST_TEST(submitUntilServed(*vm1, "00000000000000a1") == 200);
    std::this_thread::sleep_for(milliseconds(300));
    executor1.restart();
    executor2.restart();
    store.put("keyed.servers", "e1", executor1.entry("s", "z"));
    store.put("keyed.servers", "e2", executor2.entry("s", "z"));
    std::this_thread::sleep_for(milliseconds(100));
    for (int i = 2; i < 6; ++i)
        BOOST_TEST(submitUntilServed(*vm1, "00000000000000a" + std::to_string(i)) == 200);
    BOOST_TEST(overlaps() == 0U);
}
