// Event loop in virtual time around Placement and FairQueue, and the ideal it is compared with.
#pragma once

#include "lovage/admission.h"
#include "lovage/placement.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

namespace lovage::bench {

enum class Fault { None, SlowServers, BlackHoles, WrongSizes };

struct Scenario
{
    std::string name;
    double load = 0.7;
    Fault fault = Fault::None;
    double wasteWeight = 0;
    bool shortBesideLong = false;
    uint32_t instances = 1;
    uint32_t localQueue = 0;
    Duration peerDelay = std::chrono::milliseconds(1);
    double seconds = 90;
    uint64_t seed = 1;
};

struct Outcome
{
    std::vector<double> ratios;
    std::vector<double> shortRatios; // single requests of the quick class
    std::vector<double> jobRatios;   // jobs of 100 tasks and more
    std::vector<double> responses;
    std::vector<double> idealResponses;
    uint64_t messages = 0;
    uint64_t wasted = 0;
    uint64_t tasks = 0;
    uint64_t lends = 0;
    uint64_t jobMessages = 0; // of jobs of 100 tasks and more
    uint64_t jobTasks = 0;
    uint64_t mostFailuresOfBlackHole = 0;
    size_t mostEjected = 0;
};

inline double percentile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

struct WorkClass
{
    const char *name;
    double shortest; // seconds on a server of speed 1
    double longest;
};

inline constexpr std::array<WorkClass, 3> workClasses = {
        {{"echo", 0.05, 0.25}, {"screen", 0.2, 1.0}, {"vet", 2.0, 5.0}}};

struct Job
{
    double arrival = 0;
    uint32_t instance = 0;
    uint32_t workClass = 0;
    double declared = 0;
    std::vector<double> durations;
    double idealEnd = 0;
    double end = 0;
    uint32_t unfinished = 0;
};

struct Server
{
    double speed = 1;
    uint32_t instance = 0;
    bool slows = false;
    bool fails = false;
    uint32_t running = 0;
    uint64_t failures = 0;                            // of starts while it was not ejected
    std::deque<std::pair<uint32_t, uint32_t>> queued; // batch and position
};

inline constexpr uint32_t serversPerInstance = 50;
inline constexpr uint32_t slotsPerServer = 8;
inline constexpr double warmUp = 20;
inline constexpr double faultStart = 25;
inline constexpr double oneWay = 0.00025;

// The servers and submissions of a scenario; the same for every policy.
struct Workload
{
    std::vector<Server> servers;
    std::vector<Job> jobs;
};

inline double speedAt(const Server &server, double time)
{
    return server.slows && time >= faultStart ? server.speed / 3 : server.speed;
}

inline std::vector<Server> makeServers(const Scenario &scenario, Random &random)
{
    std::vector<Server> servers;
    for (uint32_t instance = 0; instance < scenario.instances; ++instance) {
        std::vector<Server> own(serversPerInstance);
        for (uint32_t i = 0; i < serversPerInstance; ++i) {
            own[i].speed = 0.5 * std::pow(4.0, i / double(serversPerInstance - 1));
            own[i].instance = instance;
        }
        for (uint32_t i = serversPerInstance - 1; i > 0; --i)
            std::swap(own[i], own[random.below(i + 1)]);
        for (uint32_t i = 0; i < serversPerInstance; ++i) {
            own[i].slows = scenario.fault == Fault::SlowServers && i % 5 == 0;
            own[i].fails = scenario.fault == Fault::BlackHoles && i % 10 == 0;
        }
        servers.insert(servers.end(), own.begin(), own.end());
    }
    return servers;
}

// Four of five submissions are requests, the others jobs of 10 to 40 or of 100 to 300 tasks.
inline Job makeJob(const Scenario &scenario, Random &random)
{
    Job job;
    const double kind = random.unit();
    const double draw = random.unit();
    const double longPart = scenario.shortBesideLong ? 0.3 : 0.03;
    job.workClass = draw < longPart ? 2 : draw < 0.45 ? 0 : 1;
    size_t tasks = kind < 0.8 ? 1 : kind < 0.95 ? 10 + random.below(31) : 100 + random.below(201);
    if (job.workClass == 2)
        tasks = tasks > 40 ? 40 : tasks;
    const WorkClass &work = workClasses[job.workClass];
    for (size_t i = 0; i < tasks; ++i)
        job.durations.push_back(work.shortest + (work.longest - work.shortest) * random.unit());
    job.declared = (work.shortest + work.longest) / 2;
    if (scenario.fault == Fault::WrongSizes)
        job.declared *= random.below(2) == 0 ? 4 : 0.25;
    job.unfinished = static_cast<uint32_t>(tasks);
    return job;
}

// Instances get between half and one and a half times the mean load, rising with their number.
inline uint32_t drawInstance(const Scenario &scenario, Random &random)
{
    while (true) {
        const double place = random.unit();
        if (random.unit() * 1.5 < 0.5 + place)
            return static_cast<uint32_t>(place * scenario.instances);
    }
}

inline Workload makeWorkload(const Scenario &scenario)
{
    Random random(scenario.seed);
    Workload workload;
    workload.servers = makeServers(scenario, random);
    double capacity = 0;
    for (const Server &server : workload.servers)
        capacity += server.speed * slotsPerServer;
    double meanWork = 0;
    constexpr int samples = 20000;
    for (int i = 0; i < samples; ++i) {
        for (const double duration : makeJob(scenario, random).durations)
            meanWork += duration / samples;
    }
    const double interval = meanWork / (capacity * scenario.load);
    double time = 0;
    while ((time += random.exponential(interval)) < scenario.seconds) {
        Job job = makeJob(scenario, random);
        job.arrival = time;
        job.instance = drawInstance(scenario, random);
        workload.jobs.push_back(std::move(job));
    }
    return workload;
}

// One central queue in arrival order, each task to the server that finishes it first, true
// durations known, no message cost.
inline void computeIdeal(Workload &workload)
{
    using Slots = std::priority_queue<double, std::vector<double>, std::greater<>>;
    std::vector<Slots> free(workload.servers.size());
    for (Slots &slots : free) {
        for (uint32_t i = 0; i < slotsPerServer; ++i)
            slots.push(0);
    }
    for (Job &job : workload.jobs) {
        for (const double duration : job.durations) {
            size_t best = 0;
            double bestEnd = INFINITY;
            for (size_t i = 0; i < free.size(); ++i) {
                const Server &server = workload.servers[i];
                const double start = std::max(job.arrival, free[i].top());
                if (server.fails && start >= faultStart)
                    continue;
                const double end = start + duration / speedAt(server, start);
                if (end < bestEnd) {
                    bestEnd = end;
                    best = i;
                }
            }
            free[best].pop();
            free[best].push(bestEnd);
            job.idealEnd = std::max(job.idealEnd, bestEnd);
        }
    }
}

class Simulation
{
public:
    Simulation(const Scenario &scenario, Policy policy, Workload workload);
    Outcome run();

private:
    enum class Kind {
        Arrival,
        StartArrives,
        TaskEnds,
        Reply,
        LendArrives,
        LendReturns,
        Capacity,
        Tick
    };
    struct Event
    {
        double time;
        uint64_t order;
        Kind kind;
        uint32_t index;
        uint32_t part;
        bool operator<(const Event &other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };
    struct TaskRef
    {
        QueuedTask task;
        uint32_t lentBy = UINT32_MAX; // instance that waits for the result
        bool failed = false;
    };
    struct Batch
    {
        uint32_t server = 0; // index in servers_
        std::vector<TaskRef> tasks;
        std::vector<double> ran;
        std::vector<AttemptOutcome> ends;
        uint32_t running = 0;
    };
    struct Instance
    {
        std::unique_ptr<Placement> placement;
        FairQueue queue;
        // Tasks that this instance runs for another one, by submission number and index.
        std::map<std::pair<uint64_t, uint32_t>, uint32_t> lentBy;
    };
    struct Parcel
    {
        uint32_t from = 0;
        uint32_t to = 0;
        std::vector<TaskRef> tasks;
    };

    static Time at(double seconds) { return Time(Duration(int64_t(seconds * 1e6) + 1000000000)); }
    void schedule(double time, Kind kind, uint32_t index, uint32_t part = 0);
    void handle(const Event &event);
    void arrive(uint32_t job);
    void drain(uint32_t instance);
    void sendBatch(uint32_t instance, uint32_t server, std::vector<TaskRef> tasks);
    void sendLend(uint32_t from, uint32_t to, std::vector<TaskRef> tasks);
    void startArrives(uint32_t batch);
    void startTask(uint32_t batch, uint32_t task);
    void taskEnds(uint32_t batch, uint32_t task);
    void reply(uint32_t batch);
    void lendArrives(uint32_t parcel);
    void lendReturns(uint32_t parcel);
    void finishTask(const QueuedTask &task, bool failed, uint32_t instance);
    void advertise();
    void countMessage(const std::vector<TaskRef> &tasks, bool wasted);
    void collect();

    Scenario scenario_;
    std::vector<Server> servers_;
    std::vector<Job> jobs_;
    std::vector<Instance> instances_;
    std::vector<Batch> batches_;
    std::vector<Parcel> parcels_;
    std::priority_queue<Event> events_;
    uint64_t nextOrder_ = 0;
    double now_ = 0;
    size_t unfinished_ = 0;
    Outcome outcome_;
};

} // namespace lovage::bench
