// Tests of the client of the platform's executors: what it takes from each response to an order.
#define BOOST_TEST_MODULE executor_client
#include "support/platform_standin.h"

#include "executors.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lovage;
using namespace std::chrono_literals;

namespace {

const std::string statusBody = R"({"clock_ms":482113})";
const std::string runningRow = R"(["0000000000000001.0.0.0",2,"",41])";
const std::string endedRow = R"([58,"0000000000000001.0.0.1",1,"done",""])";

std::string conflict(const std::string &reason)
{
    return R"({"clock_ms":482113,"reason":")" + reason + "\"}";
}

std::string lists(const std::string &running, const std::string &ended)
{
    return R"({"clock_ms":482113,"born":1700000000000,"running":[)" + running + R"(],"finished":[)"
            + ended + "]}";
}

// A server that gives one response to all requests, and a client of it.
class ScriptedExecutor
{
public:
    ScriptedExecutor()
    {
        server_ =
                std::move(HttpServer::listen(threads_, {"127.0.0.1", 0}, {},
                                             [this](const HttpRequest &, HttpServer::Reply reply) {
                                                 reply(response_);
                                             })
                                  .value());
    }
    ~ScriptedExecutor() { threads_.stop(); }

    OrderResult start(int status, const std::string &body)
    {
        respondWith(status, body);
        OrderStart order;
        order.ref = {"i-1", "0000000000000001.0.0.0", 1};
        order.address = address();
        return resultOf([&](auto done) { client_.start(order, done); });
    }
    OrderResult stop(int status, const std::string &body)
    {
        respondWith(status, body);
        const OrderStop order {{"i-1", "0000000000000001.0.0.0", 1}, address(), 1};
        return resultOf([&](auto done) { client_.stop(order, done); });
    }
    PollReply poll(int status, const std::string &body)
    {
        respondWith(status, body);
        OrderPoll order;
        order.server = "i-1";
        order.address = address();
        order.timeout = 5s;
        std::promise<PollReply> reply;
        client_.poll(order, [&](PollReply answer) { reply.set_value(std::move(answer)); });
        return reply.get_future().get();
    }
    // Reading of the latest answer to a start or stop.
    ServerClock clock() const { return clock_; }

private:
    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    void respondWith(int status, const std::string &body)
    {
        response_ = {};
        response_.status = status;
        response_.body = body;
    }

    template<class Send>
    OrderResult resultOf(Send send)
    {
        std::promise<OrderResult> result;
        send([&](OrderResult answer, ServerClock clock) {
            clock_ = clock;
            result.set_value(answer);
        });
        return result.get_future().get();
    }

    IoThreads threads_ {1};
    HttpResponse response_;
    ServerClock clock_ {};
    std::unique_ptr<HttpServer> server_;
    platform::ExecutorClient client_ {threads_, 5s};
};

bool isUnknown(OrderResult result)
{
    return result == OrderResult::Unknown;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(documented_responses_are_decoded, ScriptedExecutor)
{
    BOOST_TEST((start(200, statusBody) == OrderResult::Done));
    BOOST_TEST((start(200, "") == OrderResult::Done));
    BOOST_TEST((start(409, conflict("fence")) == OrderResult::Fenced));
    BOOST_TEST((start(409, conflict("old")) == OrderResult::Superseded));
    BOOST_TEST((start(409, conflict("late")) == OrderResult::Late));
    BOOST_TEST((start(409, conflict("room")) == OrderResult::NoRoom));
    BOOST_TEST((start(409, conflict("ticket")) == OrderResult::Invalid));
    BOOST_TEST((start(400, statusBody) == OrderResult::Invalid));
    for (const int status : {429, 503}) {
        BOOST_TEST((start(status, statusBody) == OrderResult::Unhealthy));
        BOOST_TEST((start(status, "") == OrderResult::Unhealthy));
    }
    BOOST_TEST((start(421, statusBody) == OrderResult::OtherServer));
    BOOST_TEST((stop(200, statusBody) == OrderResult::Done));
    BOOST_TEST((stop(409, conflict("fence")) == OrderResult::Fenced));
    BOOST_TEST((stop(421, "") == OrderResult::OtherServer));
    BOOST_TEST((poll(409, conflict("fence")).result == OrderResult::Fenced));
    BOOST_TEST((poll(421, statusBody).result == OrderResult::OtherServer));

    const PollReply reply = poll(200, lists(runningRow, endedRow));
    BOOST_TEST((reply.result == OrderResult::Done));
    BOOST_TEST((reply.clock == 482113));
    BOOST_TEST((reply.incarnation == 1700000000000U));
    BOOST_TEST((reply.running == std::vector {RunningRow {"0000000000000001.0.0.0", 2, 41, ""}}));
    BOOST_TEST(
            (reply.ended
             == std::vector {EndedRow {58, "0000000000000001.0.0.1", 1, RunEnd::Succeeded, ""}}));
}

// Guards against a task that starts elsewhere while it runs: a response that the protocol does not
// name would count as a refusal of the start.
BOOST_FIXTURE_TEST_CASE(undocumented_response_to_a_start_is_no_refusal, ScriptedExecutor)
{
    for (const int status : {201, 202, 302, 404, 408, 418, 500, 502, 504}) {
        BOOST_TEST(isUnknown(start(status, statusBody)), status);
        BOOST_TEST(isUnknown(start(status, "")), status);
    }
    BOOST_TEST(isUnknown(start(409, statusBody)));
    BOOST_TEST(isUnknown(start(409, "")));
    BOOST_TEST(isUnknown(start(409, conflict("other"))));
    BOOST_TEST(isUnknown(start(409, R"({"clock_ms":482113,"reason":7})")));
}

// Guards against a run that is taken for stopped because a failed stop counts as executed. A start
// that arrives late would then still run.
BOOST_FIXTURE_TEST_CASE(undocumented_response_to_a_stop_confirms_nothing, ScriptedExecutor)
{
    for (const int status : {202, 302, 400, 404, 429, 500, 502, 503, 504})
        BOOST_TEST(isUnknown(stop(status, statusBody)), status);
    for (const char *reason : {"old", "late", "room", "other", ""})
        BOOST_TEST(isUnknown(stop(409, conflict(reason))), reason);
}

// Guards against responses of other origin, such as the error page of a proxy, that count as those
// of the executor.
BOOST_FIXTURE_TEST_CASE(body_without_a_clock_decides_nothing, ScriptedExecutor)
{
    const std::string deep = R"({"clock_ms":1,"a":)" + std::string(100000, '[');
    const std::vector<std::string> bodies {"<html>",
                                           R"({"clock_ms":4821)",
                                           "[]",
                                           "null",
                                           "{}",
                                           R"({"clock_ms":"482113","reason":"old"})",
                                           R"({"clock_ms":-1,"reason":"old"})",
                                           R"({"clock_ms":18446744073709551615,"reason":"old"})",
                                           R"({"clock_ms":1e300,"reason":"old"})",
                                           deep};
    for (const std::string &body : bodies) {
        for (const int status : {200, 400, 409, 421, 429, 503}) {
            const std::string shown = std::to_string(status) + " " + body.substr(0, 40);
            BOOST_TEST(isUnknown(start(status, body)), shown);
            BOOST_TEST(isUnknown(stop(status, body)), shown);
            BOOST_TEST(isUnknown(poll(status, body).result), shown);
        }
    }
}

// Guards against a body beyond the limit of the client that counts as a refusal.
BOOST_FIXTURE_TEST_CASE(oversized_response_decides_nothing, ScriptedExecutor)
{
    const std::string body = R"({"clock_ms":1,"reason":"old","more":")"
            + std::string(HttpClientOptions().maxResponseBytes, 'x') + "\"}";
    BOOST_TEST(isUnknown(start(409, body)));
}

// Guards against a confirmation that is credited to an incarnation which did not give it: only
// entries and lists of runs name the incarnation by the protocol.
BOOST_FIXTURE_TEST_CASE(answers_to_starts_and_stops_name_no_incarnation, ScriptedExecutor)
{
    static_assert(std::is_same_v<platform::ExecutorClient::OrderCallback,
                                 std::function<void(OrderResult, ServerClock)>>);
    const std::string body = R"({"clock_ms":482113,"born":1700000000000})";
    BOOST_TEST((start(200, body) == OrderResult::Done));
    BOOST_TEST((clock() == 482113));
    BOOST_TEST((stop(200, body) == OrderResult::Done));
    BOOST_TEST((clock() == 482113));
}

// Guards against a task that starts elsewhere while it runs: a list with a row that cannot be
// decoded would count as one that lacks the run.
BOOST_FIXTURE_TEST_CASE(list_with_a_malformed_row_is_unusable, ScriptedExecutor)
{
    for (const char *row :
         {"7", "{}", "[]", R"(["t",2,""])", R"([3,2,"",41])", R"(["t","2","",41])",
          R"(["t",-1,"",41])", R"(["t",4294967296,"",41])", R"(["t",2.5,"",41])",
          R"(["t",18446744073709551615,"",41])", R"(["t",2,7,41])", R"(["t",2,"","41"])"}) {
        const PollReply reply = poll(200, lists(runningRow + "," + row, endedRow));
        BOOST_TEST(isUnknown(reply.result), row);
        BOOST_TEST((reply.running.empty() && reply.ended.empty()), row);
    }
    for (const char *row :
         {"7", "[]", R"([59,"t",1,"done"])", R"([59,7,1,"done",""])", R"([59,"t","1","done",""])",
          R"([59,"t",-1,"done",""])", R"([59,"t",4294967296,"done",""])",
          R"([59,"t",1,"vanished",""])", R"([59,"t",1,"",""])", R"([59,"t",1,7,""])",
          R"([-1,"t",1,"done",""])", R"([0,"t",1,"done",""])", R"([59.5,"t",1,"done",""])",
          R"([18446744073709551615,"t",1,"done",""])", R"([59,"t",1,"done",7])"})
        BOOST_TEST(isUnknown(poll(200, lists(runningRow, endedRow + "," + row)).result), row);
}

// Guards against a list of another incarnation, or a part of a list, that counts as the whole.
BOOST_FIXTURE_TEST_CASE(incomplete_list_is_unusable, ScriptedExecutor)
{
    BOOST_TEST(isUnknown(poll(200, "").result));
    BOOST_TEST(isUnknown(poll(200, statusBody).result));
    const std::string start = R"({"clock_ms":482113,"born":1700000000000)";
    BOOST_TEST(isUnknown(poll(200, start + R"(,"running":[]})").result));
    BOOST_TEST(isUnknown(poll(200, start + R"(,"finished":[]})").result));
    BOOST_TEST(isUnknown(poll(200, start + R"(,"running":{},"finished":[]})").result));
    BOOST_TEST(isUnknown(poll(200, start + R"(,"running":[],"finished":null})").result));
    BOOST_TEST(isUnknown(
            poll(200, R"({"clock_ms":1,"born":null,"running":[],"finished":[]})").result));
    BOOST_TEST(
            isUnknown(poll(200, R"({"clock_ms":1,"born":"x","running":[],"finished":[]})").result));
    BOOST_TEST(isUnknown(poll(200, lists(runningRow, endedRow).substr(0, 90)).result));
    for (const int status : {202, 302, 400, 404, 429, 500, 503})
        BOOST_TEST(isUnknown(poll(status, lists(runningRow, endedRow)).result), status);
    BOOST_TEST(isUnknown(poll(409, conflict("late")).result));
}

// Guards against undefined conversions of a progress that is out of range.
BOOST_FIXTURE_TEST_CASE(progress_is_limited_to_its_range, ScriptedExecutor)
{
    const std::vector<std::pair<std::string, uint32_t>> values {
            {"-1", 0}, {"41.7", 41}, {"1e300", 100}, {"18446744073709551615", 100}};
    for (const auto &[text, percent] : values) {
        const PollReply reply = poll(200, lists(R"(["t",2,"",)" + text + "]", ""));
        BOOST_REQUIRE(reply.running.size() == 1);
        BOOST_TEST(reply.running.front().percent == percent, text);
    }
}

// Guards against an end that is acknowledged unread because a later one came before it in the list.
BOOST_FIXTURE_TEST_CASE(ends_are_ordered_by_number, ScriptedExecutor)
{
    const PollReply reply = poll(200, lists("", R"([9,"t",1,"done",""],[8,"u",1,"failed",""])"));
    BOOST_REQUIRE(reply.ended.size() == 2);
    BOOST_TEST(reply.ended.front().number == 8U);
}

// Guards against a task that starts again after it has succeeded: its end is beyond those that the
// executor lists at a time, so the run is in neither list.
BOOST_FIXTURE_TEST_CASE(list_of_ends_may_be_cut, ScriptedExecutor)
{
    std::string rows = R"([1,"t",1,"done",""])";
    for (int number = 2; number < 500; ++number)
        rows += ",[" + std::to_string(number) + R"(,"t",1,"done",""])";
    BOOST_TEST(poll(200, lists("", rows)).areEndsComplete);
    const PollReply reply = poll(200, lists("", rows + R"(,[500,"t",1,"done",""])"));
    BOOST_TEST((reply.result == OrderResult::Done));
    BOOST_TEST(reply.ended.size() == 500U);
    BOOST_TEST(!reply.areEndsComplete);
}

// Guards against a stand-in that is kinder to its callers than the protocol allows.
BOOST_AUTO_TEST_CASE(standin_keeps_the_bounds_of_the_protocol)
{
    IoThreads threads {1};
    test::FakeExecutor executor(threads, "i-1", 10s);
    platform::ExecutorClient client(threads, 5s);
    const auto address = toString(executor.endpoint());
    const auto order = [&](auto send) {
        std::promise<std::pair<OrderResult, ServerClock>> result;
        send([&](OrderResult answer, ServerClock clock) { result.set_value({answer, clock}); });
        return result.get_future().get();
    };
    const auto start = [&](const std::string &task, uint32_t run, int64_t leaseUntilMs,
                           uint64_t token, const std::string &server = "i-1") {
        OrderStart start;
        start.ref = {server, task, run};
        start.address = address;
        start.leaseUntilMs = leaseUntilMs;
        start.token = token;
        return order([&](auto done) { client.start(start, done); }).first;
    };
    const auto stop = [&](const std::string &task, uint32_t run) {
        const OrderStop stop {{"i-1", task, run}, address, 7};
        return order([&](auto done) { client.stop(stop, done); }).first;
    };
    const auto poll = [&](uint64_t ackedThrough, int64_t leaseUntilMs, Duration wait) {
        OrderPoll poll {"i-1", address, 7, ackedThrough, leaseUntilMs, wait, 5s};
        std::promise<PollReply> reply;
        client.poll(poll, [&](PollReply answer) { reply.set_value(std::move(answer)); });
        return reply.get_future().get();
    };
    constexpr int64_t far = 1'000'000;
    BOOST_TEST((start("t", 1, far, 7, "i-2") == OrderResult::OtherServer));
    BOOST_TEST((start("t", 1, 0, 7) == OrderResult::Late));
    BOOST_TEST((start("t", 1, far, 7) == OrderResult::Done));
    BOOST_TEST((start("t", 1, far, 7) == OrderResult::Done));
    BOOST_TEST((start("t", 1, far, 6) == OrderResult::Fenced));
    BOOST_TEST((start("u", 3, far, 7) == OrderResult::Done));
    BOOST_TEST((start("u", 2, far, 7) == OrderResult::Superseded));
    BOOST_TEST((start("v", 1, far, 7) == OrderResult::Done));
    BOOST_TEST((start("w", 1, far, 7) == OrderResult::NoRoom));
    BOOST_TEST((stop("x", 4) == OrderResult::Done));
    BOOST_TEST((start("x", 4, far, 7) == OrderResult::Superseded));
    const PollReply first = poll(0, 0, 0ms);
    BOOST_TEST(first.running.size() == 3U);
    BOOST_TEST((*first.clock < 60'000)); // counts from the start of the process

    // A run that is stopped keeps its room and is listed until it has ended.
    BOOST_TEST((stop("t", 1) == OrderResult::Done));
    BOOST_TEST((start("w", 1, far, 7) == OrderResult::NoRoom));
    const PollReply stopped = poll(0, 0, 1s);
    BOOST_REQUIRE(stopped.ended.size() == 1);
    BOOST_TEST((stopped.ended.front() == EndedRow {1, "t", 1, RunEnd::Stopped, ""}));
    BOOST_TEST((start("t", 1, far, 7) == OrderResult::Superseded));

    // The lease is cut to its maximum, so both runs end without a further poll that extends it.
    PollReply lapsed = poll(1, 0, 2s);
    if (lapsed.ended.size() < 2)
        lapsed = poll(1, 0, 2s);
    BOOST_REQUIRE(lapsed.ended.size() == 2);
    BOOST_TEST((lapsed.ended.front().end == RunEnd::Lapsed));
    BOOST_TEST((poll(3, 0, 0ms).ended.empty()));

    executor.restart();
    const PollReply restarted = poll(0, 0, 0ms);
    BOOST_TEST((restarted.running.empty() && restarted.ended.empty()));
    BOOST_TEST((*restarted.incarnation > *first.incarnation));
    BOOST_TEST((*restarted.clock < *stopped.clock));
    threads.stop();
}
