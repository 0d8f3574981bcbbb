// Latency added by a daemon on an idle system and task starts per second in batches. The daemon,
// the simulated platform and the load generator share one process and its processors.

#include "lovagefake/fake.h"

#include "lovage/catalogue.h"
#include "lovage/daemon.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <sys/resource.h>

#include <algorithm>
#include <future>
#include <thread>

namespace {

using namespace lovage;

const std::string token = "owner-token-1";
const std::string operatorToken = "operator-token-3";
constexpr Duration patience = std::chrono::seconds(30);
constexpr int idleRequests = 500;
constexpr int jobTasks = 100;

Duration cpuTime()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const auto micros = [](const timeval &time) {
        return Duration(time.tv_sec * 1'000'000 + time.tv_usec);
    };
    return micros(usage.ru_utime) + micros(usage.ru_stime);
}

class Caller
{
public:
    explicit Caller(uint16_t port) : threads_(1), client_(threads_, 0, {}), port_(port) { }
    ~Caller() { threads_.stop(); }

    HttpResponse call(const std::string &method, const std::string &target, std::string body,
                      const std::string &bearer = token)
    {
        std::promise<Result<HttpResponse>> done;
        client_.send({"127.0.0.1", port_},
                     {method, target, {{"Authorization", "Bearer " + bearer}}, std::move(body)},
                     patience, [&](Result<HttpResponse> result) { done.set_value(result); });
        Result<HttpResponse> result = done.get_future().get();
        return result.has_value() ? result.value() : HttpResponse {599, {}, {}, {}};
    }

private:
    IoThreads threads_;
    HttpClient client_;
    uint16_t port_;
};

Settings settingsOf(uint16_t platformPort)
{
    Settings settings;
    settings.name = "vm-0";
    settings.dataCentre = "dc1";
    settings.http = {"127.0.0.1", 0};
    settings.peer = {"127.0.0.1", 0};
    settings.members.push_back({"vm-0", "dc1", {"127.0.0.1", 1}});
    settings.owners = {{"team", token}};
    settings.operators = {{"ops", operatorToken}};
    settings.platform.logService = {"127.0.0.1", platformPort};
    settings.platform.vmList = {"127.0.0.1", platformPort};
    return settings;
}

void publish(Caller &caller)
{
    ChangeRecord change;
    change.requestId = "bench";
    change.entry.name = "quick";
    change.entry.owner = "team";
    change.entry.workClass = "quick";
    change.entry.declaredRunTime = std::chrono::milliseconds(1);
    change.entry.limits = {1'000'000, 100'000, 100'000, std::chrono::seconds(10), 1900, 10};
    caller.call("POST", "/v1/catalogue/changes", serializeChange(change), operatorToken);
}

// The next id from the header of an answer, or a new one.
std::string nextId(Caller &caller, const HttpResponse &last)
{
    const std::string_view spare = last.header("Lovage-Spare-Ids");
    if (!spare.empty())
        return std::string(spare.substr(0, spare.find(',')));
    const auto opened = boost::json::parse(caller.call("POST", "/v1/submissions", {}).body);
    return std::string(opened.at("id").as_string());
}

void measureLatency(Caller &caller)
{
    std::vector<Duration> times;
    HttpResponse last;
    int failures = 0;
    for (int i = 0; i < idleRequests; ++i) {
        const std::string id = nextId(caller, last);
        const Time begin = currentTime();
        last = caller.call("PUT", "/v1/submissions/" + id,
                           R"({"entry":"quick","input":"{\"durationUs\":0}"})");
        times.push_back(currentTime() - begin);
        failures += last.status == 200 ? 0 : 1;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    std::sort(times.begin(), times.end());
    fmt::print("request with a task of 0 us, idle: p50 {} us, p99 {} us, failures {}\n",
               times[times.size() / 2].count(), times[times.size() * 99 / 100].count(), failures);
}

void measureStarts(uint16_t port, int callers)
{
    constexpr Duration runTime = std::chrono::seconds(3);
    boost::json::array tasks;
    for (int i = 0; i < jobTasks; ++i)
        tasks.push_back({{"id", fmt::format("t{}", i)}, {"input", R"({"durationUs":1000})"}});
    const std::string body =
            boost::json::serialize(boost::json::object {{"entry", "quick"}, {"tasks", tasks}});
    std::atomic<uint64_t> answered = 0;
    std::atomic<uint64_t> failed = 0;
    const Duration cpu = cpuTime();
    const Time begin = currentTime();
    std::vector<std::thread> threads;
    threads.reserve(static_cast<size_t>(callers));
    for (int i = 0; i < callers; ++i)
        threads.emplace_back([&] {
            Caller caller(port);
            HttpResponse last;
            while (currentTime() - begin < runTime) {
                last = caller.call("PUT", "/v1/submissions/" + nextId(caller, last), body);
                (last.status == 200 ? answered : failed) += jobTasks;
            }
        });
    for (std::thread &thread : threads)
        thread.join();
    const double seconds = std::chrono::duration<double>(currentTime() - begin).count();
    const double cores = std::chrono::duration<double>(cpuTime() - cpu).count() / seconds;
    fmt::print("{} callers, jobs of {}: {:.0f} tasks/s, {} failed, {:.2f} cores of the process\n",
               callers, jobTasks, static_cast<double>(answered) / seconds, failed.load(), cores);
}

} // namespace

int main()
{
    setLogLevel(LogLevel::Error);
    fake::FakeConfig config;
    config.listeners.push_back({"dc1", {"127.0.0.1", 0}});
    for (int i = 0; i < 20; ++i) {
        fake::ServerConfig server;
        server.name = fmt::format("e{}", i);
        server.dataCentre = "dc1";
        server.rack = "r1";
        server.slots = 32;
        server.endpoint = {"127.0.0.1", 0};
        config.servers.push_back(server);
    }
    fake::Fake fake(config);
    if (!fake.listen().has_value())
        return 1;
    const auto ports = boost::json::parse(fake.portsJson());
    const auto port = static_cast<uint16_t>(ports.at("platforms").at("dc1").to_number<uint32_t>());
    auto daemon = Daemon::start(settingsOf(port));
    if (!daemon.has_value())
        return 1;
    while (daemon.value()->state() != DaemonState::Serving)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    Caller caller(daemon.value()->httpPort());
    publish(caller);
    std::this_thread::sleep_for(std::chrono::seconds(2)); // the list of servers lags
    measureLatency(caller);
    for (const int callers : {1, 4, 16})
        measureStarts(daemon.value()->httpPort(), callers);
    return 0;
}
