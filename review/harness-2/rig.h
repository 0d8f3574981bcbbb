// What all cases have in common: a small deployment with its store, executors and clients.
#pragma once

#include "executors.h"
#include "fleet.h"

namespace review {

struct CaseOptions
{
    std::string root;
    std::string folder;
    std::string record;
    bool hasTrouble = true;
};

// Exit status of a case.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

class Rig
{
public:
    static constexpr const char *host = "cases.example";
    static constexpr const char *prefix = "/q/";
    static constexpr const char *service = "svc";

    Rig(const CaseOptions &options, std::vector<std::string> zones, int64_t keepS, Bounds bounds)
        : record(options.record), store(keepS * 1000), executors(record, store, service, bounds),
          fleet({options.root, options.folder, std::move(zones), store.port(), keepS})
    { }

    // Writes the configuration with one queue, as the operator does.
    void configure(int64_t attempts)
    {
        const json::object route {{"name", "queue-1"},     {"host", host},  {"path_prefix", prefix},
                                  {"service", service},    {"priority", 1}, {"attempts", attempts},
                                  {"stretch_factor", 1.6}, {"slo_ms", 60},  {"timeout_ms", 1500}};
        const json::object config {
                {"version", 1},
                {"routes", json::array {route}},
                {"services",
                 json::array {json::object {{"name", service}, {"enforces_capacity", true}}}},
                {"limits", json::object {}}};
        store.put("keyed.op", "config", json::serialize(config));
    }
    bool waitUntilReady(size_t vms)
    {
        for (int attempt = 0; attempt < 150; ++attempt) {
            size_t ready = 0;
            for (size_t vm = 0; vm < vms; ++vm)
                ready += fleet.isReady(vm) ? 1 : 0;
            if (ready == vms)
                return true;
            sleepMs(100);
        }
        return false;
    }

    std::string newId()
    {
        const std::lock_guard lock(randomMutex_);
        char id[17];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(random_()));
        return id;
    }

    // Sends one request to a VM. Returns status 0 if there was no whole answer.
    Response call(size_t vm, const std::string &method, const std::string &id,
                  const std::string &body = {}, int64_t timeoutMs = 1500)
    {
        Request request {method, prefix + id};
        request.headers = {{"Host", host}, {"Lovagedeal-Deadline-Ms", std::to_string(timeoutMs)}};
        request.body = body;
        const auto response =
                callHttp(fleet.address(vm), Fleet::httpPort, request, timeoutMs + 200);
        const Response answer = response.value_or(Response {});
        record.line("%s %s at %s: %d %s", method.c_str(), id.c_str(), Fleet::nameOf(vm).c_str(),
                    answer.status, method == "GET" ? answer.body.c_str() : "");
        return answer;
    }
    // Hands a job in as a client does: after no answer, 502 or 504 the same id is sent again, to
    // another VM. Returns whether the job was accepted.
    bool submit(const std::string &id, const std::string &body, size_t firstVm, size_t vms)
    {
        constexpr int64_t retransmitMs = 1300;
        for (size_t attempt = 0; attempt < 6; ++attempt) {
            const int status = call((firstVm + attempt) % vms, "POST", id, body).status;
            if (status >= 200 && status < 300)
                return true;
            if (status != 0 && status != 502 && status != 504)
                return false;
            sleepMs(retransmitMs);
        }
        return false;
    }
    // Asks for the state of a job until some VM answers. Empty if none does.
    std::string state(const std::string &id, size_t firstVm, size_t vms, int &status)
    {
        for (size_t attempt = 0; attempt < 6; ++attempt) {
            const Response answer = call((firstVm + attempt) % vms, "GET", id);
            status = answer.status;
            if (answer.status == 200) {
                const json::value body = json::parse(answer.body);
                return std::string(body.at("state").as_string());
            }
            if (answer.status == 410)
                return "unknown";
            sleepMs(300);
        }
        return {};
    }

    Record record;
    Store store;
    Executors executors;
    Fleet fleet;

private:
    std::mutex randomMutex_;
    std::mt19937_64 random_ {std::random_device {}()};
};

} // namespace review
