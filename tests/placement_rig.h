// Placement with a share of identical executors, for the placement tests.
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

    void run(uint32_t server, const TaskRequirements &need, AttemptOutcome outcome,
             Duration runTime)
    {
        placement.reserve(server, need, now);
        now += runTime;
        placement.release(server, need, outcome, runTime, now);
    }

    // Runs tasks of a class on every server so that their run times are learned. runTimes holds one
    // value per server.
    void learnRunTimes(const TaskRequirements &need, const std::vector<Duration> &runTimes,
                       int rounds = 60)
    {
        for (int round = 0; round < rounds; ++round) {
            for (uint32_t server = 0; server < runTimes.size(); ++server)
                run(server, need, AttemptOutcome::Succeeded, runTimes[server]);
        }
    }

    // Chooses a server and reserves it. Returns nullopt if the choice is not a server.
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
