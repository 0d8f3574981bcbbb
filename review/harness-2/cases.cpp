// The scripts of the review. Each case starts the deploy file's program as separate processes.
//
//   cases NAME ROOT FOLDER RECORD TROUBLE
#include "rig.h"

#include <boost/json/src.hpp>

namespace review {

namespace {

// One step as it is sent, and what its tasks do at the executors.
struct StepShape
{
    int64_t count = 1;
    int64_t cpu = 1000;
    int64_t memoryMb = 64;
    int64_t workMs = 200;
    bool isGang = false;
    bool isCheckpointing = false;
    std::string requires_ {};
    int64_t maxPerServer = 0;
    bool isLasting = false;
};

std::string jobBody(const std::vector<StepShape> &shapes, bool isBestEffort = false)
{
    json::array steps;
    json::array work;
    for (const StepShape &shape : shapes) {
        json::object step {{"count", shape.count},
                           {"cpu", shape.cpu},
                           {"mem_mb", shape.memoryMb},
                           {"estimate_ms", shape.workMs}};
        json::object task {{"ms", shape.workMs}, {"cpu", shape.cpu}, {"mem", shape.memoryMb}};
        if (shape.isGang) {
            step["gang"] = true;
            task["gang"] = shape.count;
        }
        if (shape.isCheckpointing) {
            step["checkpointing"] = true;
            task["saves"] = true;
        }
        if (!shape.requires_.empty())
            step["requires"] = shape.requires_;
        if (shape.maxPerServer > 0)
            step["max_per_server"] = shape.maxPerServer;
        if (shape.isLasting) {
            step["long_running"] = true;
            task["lasts"] = true;
        }
        steps.push_back(step);
        work.push_back(task);
    }
    const std::string spec = json::serialize(json::object {{"steps", work}});
    json::object job {{"spec", spec}, {"steps", steps}};
    if (isBestEffort)
        job["best_effort"] = true;
    return json::serialize(job);
}

const std::vector<std::string> threeZones = {"z1", "z2", "z3"};

// Twelve executors in three zones; one of them is of kind "b".
void addTwelveExecutors(Rig &rig)
{
    for (int i = 0; i < 12; ++i) {
        ExecutorInfo info;
        info.id = "x" + std::to_string(i + 1);
        info.zone = threeZones[static_cast<size_t>(i) % 3];
        info.kind = i == 0 ? "b" : "a";
        info.rack = "r" + std::to_string(i / 4 + 1);
        rig.executors.add(info);
    }
}

bool start(Rig &rig, size_t vms, int64_t attempts = 4)
{
    rig.configure(attempts);
    sleepMs(300);
    rig.fleet.startAll();
    const bool isReady = rig.waitUntilReady(vms);
    sleepMs(3000);
    // With the first stored job the processes share the partitions of the jobs out. It may be
    // refused until they have.
    bool isAccepted = false;
    for (int attempt = 0; isReady && !isAccepted && attempt < 5; ++attempt) {
        isAccepted = rig.submit(rig.newId(), jobBody({StepShape {}}), 0, vms);
        sleepMs(isAccepted ? 0 : 1000);
    }
    if (!isAccepted)
        return false;
    sleepMs(2500);
    return true;
}

struct Sent
{
    std::string id;
    bool needsKindB = false;
    bool isAccepted = false;
    double acceptedAt = 0;
};

size_t startsOf(const std::vector<Interval> &intervals, const std::string &id)
{
    return static_cast<size_t>(
            std::count_if(intervals.begin(), intervals.end(), [&](const Interval &interval) {
                return interval.task.rfind(id + ".", 0) == 0;
            }));
}

// LOST: jobs that any executor could run wait for ever behind jobs that can never be done.
Verdict blockedQueue(const CaseOptions &options)
{
    Rig &rig = *new Rig(options, threeZones, 300, {}); // its threads go on until the end
    const FleetGuard guard(rig.fleet);
    addTwelveExecutors(rig);
    if (!start(rig, 3))
        return Verdict::NotRun;
    const std::string plain = jobBody({StepShape {2, 1000, 64, 200}});
    // A gang that needs more cores than all executors of the service have together.
    StepShape tooWide {100, 2000, 64, 200};
    tooWide.isGang = true;
    const std::string impossible = jobBody({tooWide});
    // Of the jobs that are sent in a burst, one in seventeen can never be done (0.0588).
    constexpr int64_t gapMs = 10;
    constexpr size_t impossibleEvery = 17;
    constexpr double burstS = 3.48;
    constexpr double pauseS = 1.0;
    constexpr int bursts = 6;
    struct Job
    {
        std::string id;
        bool isImpossible = false;
        bool isAccepted = false;
    };
    std::vector<std::unique_ptr<Job>> jobs;
    std::vector<std::thread> clients;
    const auto send = [&](bool isImpossible) {
        jobs.push_back(std::make_unique<Job>(Job {rig.newId(), isImpossible}));
        Job *job = jobs.back().get();
        const size_t vm = jobs.size() % 3;
        clients.emplace_back([&rig, &plain, &impossible, job, vm] {
            job->isAccepted = rig.submit(job->id, job->isImpossible ? impossible : plain, vm, 3);
        });
    };
    for (int burst = 0; burst < bursts; ++burst) {
        const double start = rig.record.seconds();
        for (size_t number = 0; rig.record.seconds() < start + burstS + pauseS; ++number) {
            const bool isInBurst = rig.record.seconds() < start + burstS;
            send(options.hasTrouble && isInBurst && number % impossibleEvery == 0);
            sleepMs(gapMs);
        }
    }
    for (std::thread &client : clients)
        client.join();
    sleepMs(14'000); // finish_s after the end of the traffic
    int64_t mostUsed = 0;
    for (int i = 0; i < 30; ++i) {
        mostUsed = std::max(mostUsed, rig.executors.usedCpu());
        sleepMs(100);
    }
    std::set<std::string> begun;
    for (const Interval &interval : rig.executors.intervals())
        begun.insert(interval.task.substr(0, interval.task.find('.')));
    size_t accepted = 0;
    size_t acceptedImpossible = 0;
    size_t stuck = 0;
    for (const auto &job : jobs) {
        if (!job->isAccepted)
            continue;
        ++(job->isImpossible ? acceptedImpossible : accepted);
        if (job->isImpossible || begun.contains(job->id))
            continue;
        if (++stuck <= 5) {
            int status = 0;
            rig.record.line("job %s was never started, state %s", job->id.c_str(),
                            rig.state(job->id, 0, 3, status).c_str());
        }
    }
    rig.record.line("jobs accepted: %zu that can be done, %zu that can't; of the former never "
                    "started: %zu; most cores in use in the last 3 s: %lld of %lld thousandths",
                    accepted, acceptedImpossible, stuck, static_cast<long long>(mostUsed),
                    static_cast<long long>(rig.executors.totalCpu()));
    return stuck > 0 && mostUsed * 2 < rig.executors.totalCpu() ? Verdict::Broken : Verdict::Held;
}

// LOST: a SIGHUP ends a process that is shutting down, and cuts the requests that it still has.
Verdict settingsChange(const CaseOptions &options)
{
    Rig &rig = *new Rig(options, {"z1", "z1", "z2", "z2"}, 300, {}); // its threads go on
    const FleetGuard guard(rig.fleet);
    addTwelveExecutors(rig);
    if (!start(rig, 4))
        return Verdict::NotRun;
    const std::string body = jobBody({StepShape {1, 1000, 64, 1200}}, true);
    constexpr size_t stopped = 0;
    constexpr int requests = 5;
    struct Open
    {
        int socket = -1;
        std::string id;
        int status = 0;
        double sentAt = 0;
        double endedAt = 0;
    };
    // Clients have connections that are open before the SIGTERM, and go on using them.
    std::vector<Open> open(requests);
    for (Open &request : open) {
        request.id = rig.newId();
        request.socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(rig.fleet.address(stopped), Fleet::httpPort);
        if (::connect(request.socket, reinterpret_cast<const sockaddr *>(&address), sizeof address)
            != 0)
            return Verdict::NotRun;
    }
    rig.record.line("SIGTERM to edge-1");
    const double termAt = rig.record.seconds();
    rig.fleet.process(stopped).signal(SIGTERM);
    sleepMs(2000);
    std::vector<std::thread> clients;
    for (Open &request : open) {
        clients.emplace_back([&rig, &request, &body] {
            const std::string bytes = std::string("POST ") + Rig::prefix + request.id
                    + " HTTP/1.1\r\nHost: " + Rig::host
                    + "\r\nLovagedeal-Deadline-Ms: 1500\r\nContent-Type: application/json"
                      "\r\nContent-Length: "
                    + std::to_string(body.size()) + "\r\n\r\n" + body;
            request.sentAt = rig.record.seconds();
            rig.record.line("POST %s at edge-1 on an open connection", request.id.c_str());
            Reader reader(request.socket);
            std::string line;
            std::map<std::string, std::string> headers;
            std::string answer;
            const int64_t deadline = steadyMs() + 4000;
            if (sendAll(request.socket, bytes) && reader.readLine(line, deadline)
                && reader.readHeaders(headers, deadline)
                && reader.readBytes(answer, std::stoul(headers["content-length"]), deadline))
                request.status = std::stoi(line.substr(9, 3));
            request.endedAt = rig.record.seconds();
            rig.record.line("POST %s: %s %s", request.id.c_str(),
                            request.status == 0 ? "the connection ended without an answer"
                                                : line.c_str(),
                            answer.c_str());
        });
    }
    sleepMs(800);
    if (options.hasTrouble) {
        rig.record.line("SIGHUP to edge-1 and edge-2");
        for (size_t vm = 0; vm < 2; ++vm)
            rig.fleet.process(vm).signal(SIGHUP);
    }
    for (std::thread &client : clients)
        client.join();
    int cut = 0;
    const auto intervals = rig.executors.intervals();
    for (const Open &request : open)
        cut += request.status == 0 && startsOf(intervals, request.id) > 0 ? 1 : 0;
    rig.record.line(
            "requests sent %.1f s after the SIGTERM=%d, passed on to an executor and cut=%d",
            open[0].sentAt - termAt, requests, cut);
    return cut > 0 ? Verdict::Broken : Verdict::Held;
}

// ROUTE: tasks that are started again exceed max_per_server beside those that run.
Verdict maxPerServer(const CaseOptions &options)
{
    Rig &rig = *new Rig(options, {"z1", "z1", "z1"}, 300, {}); // its threads go on until the end
    const FleetGuard guard(rig.fleet);
    for (int i = 0; i < 12; ++i) {
        ExecutorInfo info;
        info.id = "x" + std::to_string(i + 1);
        info.zone = "z1";
        info.rack = "r" + std::to_string(i / 4 + 1);
        rig.executors.add(info);
    }
    if (!start(rig, 3))
        return Verdict::NotRun;
    constexpr int64_t limit = 2;
    StepShape shape {9, 1000, 64, 8000};
    shape.maxPerServer = limit;
    const std::string body = jobBody({shape});
    std::vector<std::string> ids;
    for (size_t i = 0; i < 4; ++i) {
        ids.push_back(rig.newId());
        if (!rig.submit(ids.back(), body, i % 3, 3))
            return Verdict::NotRun;
        sleepMs(300);
    }
    sleepMs(1500);
    std::map<std::string, int> tasks;
    for (const Interval &interval : rig.executors.intervals()) {
        if (interval.end < 0)
            ++tasks[interval.executor];
    }
    const auto fullest =
            std::max_element(tasks.begin(), tasks.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            });
    if (fullest == tasks.end())
        return Verdict::NotRun;
    if (options.hasTrouble)
        rig.executors.crash(fullest->first);
    sleepMs(15'000);
    int64_t most = 0;
    const auto intervals = rig.executors.intervals();
    for (const std::string &id : ids) {
        for (const Interval &started : intervals) {
            if (started.task.rfind(id + ".", 0) != 0)
                continue;
            int64_t present = 0;
            for (const Interval &other : intervals) {
                if (other.task.rfind(id + ".", 0) == 0 && other.executor == started.executor
                    && other.start <= started.start && (other.end < 0 || other.end > started.start))
                    ++present;
            }
            if (present > limit)
                rig.record.line("start of %s at %.3f makes %lld tasks of its step on %s",
                                started.task.c_str(), started.start,
                                static_cast<long long>(present), started.executor.c_str());
            most = std::max(most, present);
        }
    }
    rig.record.line("max_per_server=%lld, most tasks of a step on one executor=%lld",
                    static_cast<long long>(limit), static_cast<long long>(most));
    return most > limit ? Verdict::Broken : Verdict::Held;
}

// LOST: a task whose start met an executor that had fallen silent runs nowhere for 16 s.
Verdict silentExecutor(const CaseOptions &options)
{
    Rig &rig = *new Rig(options, threeZones, 300, {}); // its threads go on until the end
    const FleetGuard guard(rig.fleet);
    addTwelveExecutors(rig);
    if (!start(rig, 3))
        return Verdict::NotRun;
    StepShape plain {12, 1000, 64, 200};
    plain.maxPerServer = 2;
    StepShape lasting = plain;
    lasting.isLasting = true;
    if (options.hasTrouble)
        rig.executors.fallSilent("x2");
    sleepMs(1000);
    std::vector<std::string> jobs;
    for (size_t i = 0; i < 6; ++i) {
        jobs.push_back(rig.newId());
        if (!rig.submit(jobs.back(), jobBody({i < 3 ? plain : lasting}), i % 3, 3))
            return Verdict::NotRun;
    }
    rig.record.line("the traffic ends");
    constexpr double finishS = 14;
    constexpr double spanS = 3;
    const double end = rig.record.seconds() + finishS;
    sleepMs(static_cast<int64_t>(finishS * 1000));
    const auto intervals = rig.executors.intervals();
    const auto ranInSpan = [&](const std::string &prefix) {
        return std::any_of(intervals.begin(), intervals.end(), [&](const Interval &interval) {
            return interval.task.rfind(prefix, 0) == 0
                    && (interval.end < 0 || interval.end > end - spanS);
        });
    };
    int idleJobs = 0;
    int idleTasks = 0;
    for (size_t i = 0; i < jobs.size(); ++i) {
        int status = 0;
        const std::string state = rig.state(jobs[i], i % 3, 3, status);
        if (i < 3 && state != "completed" && !ranInSpan(jobs[i] + ".")) {
            ++idleJobs;
            rig.record.line("job %s: %s, and nothing of it ran in the last 3 s", jobs[i].c_str(),
                            state.c_str());
        }
        for (int task = 0; i >= 3 && task < 12; ++task) {
            const std::string name = jobs[i] + ".0.0." + std::to_string(task);
            if (ranInSpan(name))
                continue;
            ++idleTasks;
            rig.record.line("lasting task %s did not run in the last 3 s", name.c_str());
        }
    }
    rig.record.line("finish_s after the end of the traffic: jobs with nothing running=%d of 3, "
                    "lasting tasks that do not run=%d of 36; cores in use %lld of %lld",
                    idleJobs, idleTasks, static_cast<long long>(rig.executors.usedCpu()),
                    static_cast<long long>(rig.executors.totalCpu()));
    const bool isHalfFree = rig.executors.usedCpu() * 2 < rig.executors.totalCpu();
    return (idleJobs > 0 || idleTasks > 0) && isHalfFree ? Verdict::Broken : Verdict::Held;
}

// LOST: a process takes the refusal of an order with its own earlier token for another holder's,
// and leaves the executor unused.
Verdict dealtAnew(const CaseOptions &options)
{
    Bounds bounds;
    bounds.startDelayMs = 60;
    Rig &rig = *new Rig(options, threeZones, 300, bounds); // its threads go on until the end
    const FleetGuard guard(rig.fleet);
    addTwelveExecutors(rig);
    if (!start(rig, 3))
        return Verdict::NotRun;
    StepShape onlyB {1, 1000, 64, 150};
    onlyB.requires_ = "b";
    const std::string body = jobBody({onlyB});
    constexpr int64_t gapMs = 33;
    std::vector<std::unique_ptr<Sent>> jobs;
    std::vector<std::thread> clients;
    for (size_t number = 0; number < 210; ++number) {
        jobs.push_back(std::make_unique<Sent>(Sent {rig.newId(), true}));
        Sent *job = jobs.back().get();
        clients.emplace_back([&rig, &body, job, number] {
            job->isAccepted = rig.submit(job->id, body, number % 3, 3);
        });
        if (number == 120 && options.hasTrouble) {
            rig.record.line("all partitions are dealt anew");
            rig.store.dealAnew();
        }
        sleepMs(gapMs);
    }
    for (std::thread &client : clients)
        client.join();
    rig.record.line("the traffic ends");
    sleepMs(11'000); // finish_s less the 3 s of the rule
    int64_t mostUsed = 0;
    for (int i = 0; i < 30; ++i) {
        mostUsed = std::max(mostUsed, rig.executors.usedCpu());
        sleepMs(100);
    }
    size_t accepted = 0;
    size_t idle = 0;
    for (const auto &job : jobs) {
        if (!job->isAccepted)
            continue;
        ++accepted;
        int status = 0;
        const std::string state = rig.state(job->id, 0, 3, status);
        idle += state != "completed" ? 1 : 0;
    }
    rig.record.line("jobs accepted=%zu, not done and nothing running=%zu; cores in use in the last "
                    "3 s: %lld of %lld",
                    accepted, idle, static_cast<long long>(mostUsed),
                    static_cast<long long>(rig.executors.totalCpu()));
    return idle > 0 && mostUsed == 0 ? Verdict::Broken : Verdict::Held;
}

// LOST: a process that shuts down accepts requests that it can't end before it exits.
Verdict lastMoment(const CaseOptions &options)
{
    Rig &rig = *new Rig(options, {"z1", "z1", "z1", "z2", "z2"}, 300, {}); // its threads go on
    const FleetGuard guard(rig.fleet);
    addTwelveExecutors(rig);
    if (!start(rig, 5))
        return Verdict::NotRun;
    const std::string body = jobBody({StepShape {1, 1000, 64, 1380}}, true);
    constexpr size_t zoneSize = 3;
    struct Sent
    {
        std::string id;
        double at = 0;
        int status = 0;
    };
    std::vector<std::unique_ptr<Sent>> requests;
    std::vector<std::thread> clients;
    const double termAt = rig.record.seconds() + 1;
    bool isStopped = false;
    size_t ready = zoneSize;
    double checkedAt = 0;
    for (size_t number = 0; rig.record.seconds() < termAt + 5.5; ++number) {
        const double now = rig.record.seconds();
        if (!isStopped && now >= termAt && options.hasTrouble) {
            rig.record.line("SIGTERM to edge-1 and edge-2");
            rig.fleet.process(0).signal(SIGTERM);
            rig.fleet.process(1).signal(SIGTERM);
            isStopped = true;
        }
        if (now > checkedAt + 1) {
            checkedAt = now;
            ready = 0;
            for (size_t vm = 0; vm < zoneSize; ++vm)
                ready += rig.fleet.isReady(vm) ? 1 : 0;
            rig.record.line("daemons of z1 in rotation: %zu of %zu", ready, zoneSize);
        }
        // With fewer than half of a zone's daemons in rotation, the platform uses all of them.
        const size_t vm = ready * 2 < zoneSize || ready == zoneSize ? number % zoneSize : 2;
        requests.push_back(std::make_unique<Sent>(Sent {rig.newId()}));
        Sent *request = requests.back().get();
        clients.emplace_back([&rig, &body, request, vm] {
            request->at = rig.record.seconds();
            request->status = rig.call(vm, "POST", request->id, body, 1500).status;
        });
        sleepMs(40);
    }
    for (std::thread &client : clients)
        client.join();
    const auto intervals = rig.executors.intervals();
    size_t cut = 0;
    for (const auto &request : requests) {
        if (request->status != 0 || request->at < termAt + 3
            || startsOf(intervals, request->id) == 0)
            continue;
        ++cut;
        rig.record.line("request %s, sent %.2f s after the SIGTERM, was passed on and cut",
                        request->id.c_str(), request->at - termAt);
    }
    rig.record.line("requests=%zu, sent over 3 s after the SIGTERM, passed on to an executor and "
                    "cut=%zu",
                    requests.size(), cut);
    return cut > 0 ? Verdict::Broken : Verdict::Held;
}

// LOST: a gang counts as failed more often than it has failed.
Verdict gangFailures(const CaseOptions &options)
{
    Rig &rig = *new Rig(options, threeZones, 300, {}); // its threads go on until the end
    const FleetGuard guard(rig.fleet);
    for (int i = 0; i < 36; ++i) {
        ExecutorInfo info;
        info.id = "x" + std::to_string(i + 1);
        info.zone = threeZones[static_cast<size_t>(i) / 12];
        info.rack = "r" + std::to_string(i / 12 + 1);
        rig.executors.add(info);
    }
    constexpr int64_t attempts = 3;
    if (!start(rig, 3, attempts))
        return Verdict::NotRun;
    // One member fills more than half of an executor, so a gang takes all executors of a zone.
    StepShape gang {12, 9000, 64, 300};
    gang.isGang = true;
    const std::string body = jobBody({gang});
    if (options.hasTrouble) {
        for (const char *id : {"x3", "x6", "x9"})
            rig.executors.setFailing(id, true);
    }
    std::vector<std::string> ids;
    for (size_t i = 0; i < 13; ++i) {
        ids.push_back(rig.newId());
        if (!rig.submit(ids.back(), body, i % 3, 3))
            ids.pop_back();
        sleepMs(480);
    }
    if (options.hasTrouble) {
        for (const char *id : {"x3", "x6", "x9"})
            rig.executors.setFailing(id, false);
    }
    sleepMs(8000);
    size_t early = 0;
    const auto intervals = rig.executors.intervals();
    for (const std::string &id : ids) {
        int status = 0;
        const std::string state = rig.state(id, 0, 3, status);
        std::set<int64_t> failedRuns;
        std::map<std::string, size_t> failuresOfTask;
        size_t ends = 0;
        size_t most = 0;
        for (const Interval &interval : intervals) {
            if (interval.task.rfind(id + ".", 0) != 0 || interval.how != "failed")
                continue;
            failedRuns.insert(interval.run);
            ++ends;
            most = std::max(most, ++failuresOfTask[interval.task]);
        }
        const bool isEarly = state == "failed" && failedRuns.size() < static_cast<size_t>(attempts);
        early += isEarly ? 1 : 0;
        rig.record.line("gang %s: %s, failed runs of the gang=%zu, most of one task=%zu, ends "
                        "failed=%zu%s",
                        id.c_str(), state.c_str(), failedRuns.size(), most, ends,
                        isEarly ? ", given up early" : "");
    }
    rig.record.line("attempts=%lld, gangs shown as failed after fewer failed runs=%zu of %zu",
                    static_cast<long long>(attempts), early, ids.size());
    return early > 0 ? Verdict::Broken : Verdict::Held;
}

int run(const std::string &name, const CaseOptions &options)
{
    const std::map<std::string, Verdict (*)(const CaseOptions &)> cases = {
            {"blocked-queue", blockedQueue},  {"settings-change", settingsChange},
            {"max-per-server", maxPerServer}, {"silent-executor", silentExecutor},
            {"dealt-anew", dealtAnew},        {"last-moment", lastMoment},
            {"gang-failures", gangFailures},
    };
    const auto found = cases.find(name);
    if (found == cases.end())
        return static_cast<int>(Verdict::NotRun);
    try {
        return static_cast<int>(found->second(options));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s: %s\n", name.c_str(), error.what());
        return static_cast<int>(Verdict::NotRun);
    }
}

} // namespace

} // namespace review

int main(int argc, char **argv)
{
    if (argc != 6)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const int status =
            review::run(argv[1], {argv[2], argv[3], argv[4], std::string(argv[5]) != "0"});
    std::fflush(nullptr);
    std::_Exit(status);
}
