// Profiles, seeded arrivals and the ideal schedule.
#pragma once

#include "lovage/core.h"

#include <string>
#include <vector>

namespace lovage::bench {

// One class of a profile (docs/design.md, section 1.3).
struct ClassProfile
{
    std::string name; // of the class and of its catalogue entry
    BackendKind kind = BackendKind::Executor;
    bool isJob = false;
    double meanMs = 0; // run time on a server of speed 1; exponential above a tenth of it
    uint32_t minTasks = 1;
    uint32_t maxTasks = 1;
    double workShare = 0;      // of the work on its kind of server
    double declaredFactor = 1; // declared run time / mean run time
    bool isImpossible = false; // demands more than any server has
};

struct Profile
{
    std::string name;
    std::string owner;
    double wasteWeight = 0.5;
    std::vector<ClassProfile> classes;
};

// nullopt for an unknown name.
std::optional<Profile> findProfile(const std::string &name);

struct Server
{
    BackendKind kind = BackendKind::Executor;
    uint32_t slots = 0; // tasks that run at once; workers: whole processors
    double speed = 1.0;
};

struct Planned
{
    Duration at {}; // since the start of the run
    size_t workClass = 0;
    std::vector<Duration> runTimes; // on a server of speed 1
    bool isRepeatable = false;
    bool isCancelled = false; // shortly after it was sent
    bool isResent = false;    // the same body goes to another VM while it runs
};

struct WorkloadOptions
{
    uint64_t seed = 1;
    Duration length {};
    double load = 0.5; // share of the capacity of the servers
    double cancelShare = 0;
    double resendShare = 0;
    std::optional<Duration> burstAt; // ten times the rate for 2 s
};

// Makes declared sizes wrong by a factor of four in either direction.
void declareWrongSizes(Profile &profile);
// Adds a class of jobs that fit no server.
void addImpossibleClass(Profile &profile);

// Poisson arrivals of every class, in order of arrival.
std::vector<Planned> planWorkload(const Profile &profile, const std::vector<Server> &servers,
                                  const WorkloadOptions &options);

// Response time of each submission under one central queue in arrival order without message cost:
// each task goes to the server on which it ends first.
std::vector<Duration> idealResponses(const Profile &profile, const std::vector<Planned> &work,
                                     const std::vector<Server> &servers);

} // namespace lovage::bench
