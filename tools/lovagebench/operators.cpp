#include "lovagebench/operators.h"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <unistd.h>

#include <fstream>
#include <future>
#include <sstream>

namespace lovage::bench {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr Duration patience = 3s;
constexpr Duration changeInterval = 1s;
constexpr Duration pollInterval = 20ms;
constexpr Duration maxInForce = 10s;
constexpr int idleRequests = 50;
constexpr int impossibleMilliCores = 900000; // a worker has at most 32000
// Zero, so that the speed of the server that runs it does not matter.
constexpr Duration idleRunTime = 0ms;

double numberAfter(const std::string &text, const std::string &name)
{
    const size_t at = text.find("\n" + name);
    return at == std::string::npos ? 0 : std::strtod(text.c_str() + text.find(' ', at), nullptr);
}

} // namespace

Result<Rig> loadRig(const std::string &file, const std::string &mayBreak)
{
    std::ifstream input(file);
    std::ostringstream text;
    text << input.rdbuf();
    try {
        const json::value root = json::parse(text.str());
        Rig rig;
        for (const json::value &vm : root.at("vms").as_array()) {
            const std::string name(vm.at("name").as_string());
            rig.vms.push_back({name, parseEndpoint(std::string(vm.at("http").as_string())).value(),
                               vm.at("pid").to_number<int>(),
                               ("," + mayBreak + ",").find("," + name + ",") != std::string::npos});
        }
        for (const json::value &fake : root.at("fakes").as_array())
            rig.fakes.push_back(parseEndpoint(std::string(fake.as_string())).value());
        for (const json::value &server : root.at("servers").as_array())
            rig.servers.push_back({server.at("kind").as_string() == "worker"
                                           ? BackendKind::Worker
                                           : BackendKind::Executor,
                                   server.at("slots").to_number<uint32_t>(),
                                   server.at("speed").to_number<double>()});
        rig.ownerToken = std::string(root.at("ownerToken").as_string());
        rig.operatorToken = std::string(root.at("operatorToken").as_string());
        return rig;
    } catch (const std::exception &error) {
        return notRun(ErrorCode::InvalidSettings, fmt::format("{}: {}", file, error.what()));
    }
}

ControlUse readControlUse(const Rig &rig)
{
    constexpr int userTimeField = 14;
    ControlUse use {currentTime(), {}, {}, {}};
    for (const EntryVm &vm : rig.vms) {
        std::ifstream stat(fmt::format("/proc/{}/stat", vm.pid));
        std::string field;
        double ticks = 0;
        for (int i = 1; i <= userTimeField + 1 && stat >> field; ++i)
            ticks += i >= userTimeField ? std::strtod(field.c_str(), nullptr) : 0;
        use.cpuSeconds.push_back(ticks / static_cast<double>(sysconf(_SC_CLK_TCK)));
        std::ifstream statm(fmt::format("/proc/{}/statm", vm.pid));
        double pages = 0;
        statm >> pages >> pages;
        use.rssMb.push_back(pages * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20));
        const auto metrics = sendHttp(vm.http, {"GET", "/metrics", {}, ""}, patience);
        use.controlBytes.push_back(
                metrics ? numberAfter(metrics.value().body, "lovage_control_bytes_total") : 0);
    }
    return use;
}

Operators::Operators(const Rig &rig, const Profile &profile)
    : rig_(rig), profile_(profile), versions_(profile.classes.size()), seen_(rig.vms.size())
{ }

Result<uint64_t> Operators::change(const std::string &operation, size_t index, uint64_t replaces,
                                   const std::string &requestId)
{
    const ClassProfile &workClass = profile_.classes[index];
    const std::string body = json::serialize(json::object {
            {"operation", operation},
            {"requestId", requestId},
            {"replaces", replaces},
            {"entry",
             {{"name", workClass.name},
              {"owner", profile_.owner},
              {"workClass", workClass.name},
              {"backendKind", std::string(toString(workClass.kind))},
              {"declaredRunTimeMs",
               static_cast<int64_t>(workClass.meanMs * workClass.declaredFactor)},
              {"demand", {{"milliCores", workClass.isImpossible ? impossibleMilliCores : 1000}}},
              {"limits",
               {{"startsPerSecond", 100000},
                {"concurrent", 50000},
                {"queued", 100000},
                {"deadlineMs", 60000},
                {"maxTasks", 1900},
                {"retryPercent", 10}}},
              {"wasteWeight", profile_.wasteWeight}}}});
    Error last;
    for (const EntryVm &vm : rig_.vms) {
        const HttpRequest request {"POST",
                                   "/v1/catalogue/changes",
                                   {{"Authorization", "Bearer " + rig_.operatorToken}},
                                   body};
        const auto response = sendHttp(vm.http, request, patience);
        if (!response) {
            last = response.error();
            continue;
        }
        json::error_code error;
        const json::value reply = json::parse(response.value().body, error);
        const json::object *object = error ? nullptr : reply.if_object();
        if (response.value().status == 200 && object && object->contains("offset"))
            return object->at("offset").to_number<uint64_t>();
        last = notRun(ErrorCode::PublishUnknown, response.value().body);
    }
    return last;
}

std::optional<uint64_t> Operators::offsetOf(size_t vm) const
{
    const HttpRequest request {
            "GET", "/v1/catalogue", {{"Authorization", "Bearer " + rig_.operatorToken}}, ""};
    const auto response = sendHttp(rig_.vms[vm].http, request, patience);
    if (!response || response.value().status != 200)
        return std::nullopt;
    json::error_code error;
    const json::value body = json::parse(response.value().body, error);
    const json::object *object = error ? nullptr : body.if_object();
    if (!object || !object->contains("offset"))
        return std::nullopt;
    return object->at("offset").to_number<uint64_t>();
}

Result<void> Operators::publishAll()
{
    for (size_t i = 0; i < profile_.classes.size(); ++i) {
        const auto offset = change("publish", i, 0, fmt::format("publish-{}-{}", profile_.name, i));
        if (!offset)
            return offset.error();
        versions_[i] = offset.value();
    }
    for (size_t vm = 0; vm < rig_.vms.size(); ++vm) {
        const Time end = currentTime() + maxInForce;
        while (offsetOf(vm).value_or(0) < versions_.back()) {
            if (currentTime() > end)
                return notRun(ErrorCode::Timeout, "not in force on " + rig_.vms[vm].name);
            std::this_thread::sleep_for(pollInterval);
        }
    }
    return boost::outcome_v2::success();
}

std::vector<double> Operators::measureIdleLatency()
{
    std::vector<double> added;
    const auto &vm = rig_.vms.front();
    const std::vector<HttpHeader> headers {{"Authorization", "Bearer " + rig_.ownerToken}};
    IoThreads threads(1);
    HttpClient client(threads, 0, {});
    const auto call = [&](HttpRequest request) {
        std::promise<Result<HttpResponse>> done;
        client.send(vm.http, std::move(request), patience,
                    [&](Result<HttpResponse> response) { done.set_value(std::move(response)); });
        return done.get_future().get();
    };
    for (int i = 0; i < idleRequests; ++i) {
        const auto opened = call({"POST", "/v1/submissions", headers, "{}"});
        const auto id = opened ? backend::parseOpenReply(opened.value().body)
                               : Result<backend::OpenReply>(opened.error());
        if (!id)
            continue;
        backend::SubmissionBody body {profile_.classes.front().name, {}, false, false, {}};
        body.tasks.push_back({"0", inputOf(0, 0, idleRunTime)});
        const auto begin = std::chrono::steady_clock::now();
        const auto answer =
                call({"PUT", "/v1/submissions/" + id.value().id, headers, serialize(body)});
        const auto took = std::chrono::steady_clock::now() - begin;
        if (answer && answer.value().status == 200)
            added.push_back(std::chrono::duration<double, std::micro>(took - idleRunTime).count());
    }
    threads.stop();
    return added;
}

void Operators::startChanging()
{
    thread_ = std::thread([this] { run(); });
}

void Operators::stopChanging()
{
    isStopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

// Changes one entry per second and polls every VM until it has the change.
void Operators::run()
{
    for (uint64_t round = 0; !isStopping_; ++round) {
        const size_t index = round % versions_.size();
        const auto offset =
                change("change", index, versions_[index], fmt::format("change-{}", round));
        const Time accepted = currentTime();
        std::set<size_t> waiting;
        if (offset) {
            versions_[index] = offset.value();
            for (size_t vm = 0; vm < rig_.vms.size(); ++vm)
                waiting.insert(vm);
        }
        while (!isStopping_ && currentTime() < accepted + changeInterval) {
            for (size_t vm = 0; vm < rig_.vms.size(); ++vm) {
                const auto found = offsetOf(vm);
                if (!found)
                    continue;
                reverts_ += *found < seen_[vm] ? 1 : 0;
                seen_[vm] = std::max(seen_[vm], *found);
                if (offset && *found >= offset.value() && waiting.erase(vm) > 0)
                    inForce_.push_back(
                            std::chrono::duration<double, std::milli>(currentTime() - accepted)
                                    .count());
            }
            std::this_thread::sleep_for(pollInterval);
        }
    }
}

} // namespace lovage::bench
