// A share of identical executors around one Placement, for the placement tests.
#pragma once

#include "lovage/placement.h"

#include <vector>

namespace lovage::test {

inline BackendInfo executor(uint32_t number, uint32_t slots = 8)
{
    BackendInfo info;
    info.name = "executor-" + std::to_string(number);
    info.slots = slots;
    return info;
}

inline TaskRequirements needOf(const std::string &workClass, const std::string &owner = "owner-a",
                               Duration declared = std::chrono::milliseconds(500))
{
    TaskRequirements need;
    need.workClass = workClass;
    need.owner = owner;
    need.declaredRunTime = declared;
    return need;
}

class PlacementRig
{
public:
    explicit PlacementRig(uint32_t servers, PlacementOptions options = {}, uint64_t seed = 1)
        : placement(options, seed)
    {
        for (uint32_t i = 0; i < servers; ++i) {
            all.push_back(executor(i));
            share.insert(all.back().name);
        }
        apply();
    }

    void apply() { placement.setBackends(all, share, now); }

    void run(uint32_t server, const TaskRequirements &need, AttemptOutcome end, Duration ran)
    {
        placement.reserve(server, need, now);
        now += ran;
        placement.release(server, need, end, ran, now);
    }

    // Teaches the run time of a class on every server, in order of their numbers.
    void teach(const TaskRequirements &need, const std::vector<Duration> &runTimes, int rounds = 60)
    {
        for (int round = 0; round < rounds; ++round) {
            for (uint32_t server = 0; server < runTimes.size(); ++server)
                run(server, need, AttemptOutcome::Succeeded, runTimes[server]);
        }
    }

    // Chooses and reserves; nullopt unless the choice is a server.
    std::optional<uint32_t> start(const TaskRequirements &need)
    {
        const Choice choice = placement.choose(need, now);
        const auto *backend = std::get_if<ToBackend>(&choice);
        if (backend == nullptr)
            return std::nullopt;
        placement.reserve(backend->backend, need, now);
        return backend->backend;
    }

    Placement placement;
    Time now {std::chrono::seconds(1000)};
    std::vector<BackendInfo> all;
    std::set<std::string> share;
};

} // namespace lovage::test
