#include "cases.h"

#include "deployment.h"

namespace lovage::review {

namespace {

constexpr const char *route =
        R"({"name":"q","host":"work.example","path_prefix":"/a/","timeout_ms":3000,)"
        R"("slo_ms":20000,"service":"s","attempts":3,"stretch_factor":5})";
const std::string prefix = "/a/";

void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::string idOf(uint64_t kind, uint64_t number)
{
    return fmt::format("{:04x}{:012x}", kind, number);
}

// Whether a task of the job was ever started.
bool hasBegun(Deployment &deployment, const std::string &job)
{
    const std::lock_guard lock(deployment.registry().mutex);
    const auto &runs = deployment.registry().runs;
    const auto next = runs.lower_bound(job + ".");
    return next != runs.end() && next->first.starts_with(job + ".");
}

} // namespace

// 24 jobs are repeated each 0.7 s. A VM that keeps some of them is killed, and starts again 0.5 s
// later. Long tasks run beside them, so that the leases of the executors do not lapse meanwhile.
bool playKeeperKill(Record &record, bool hasTrouble)
{
    Layout layout;
    layout.zones = 3;
    layout.executorsPerZone = 3;
    Deployment deployment(record, layout);
    deployment.start(route);
    if (!deployment.waitUntilServed(prefix))
        return false;
    sleepMs(3000);
    Deployment::Job beside;
    beside.count = 9;
    beside.maxPerServer = 1;
    beside.workMs = 30000;
    beside.estimateMs = 30000;
    Deployment::Job repeated;
    repeated.count = 2;
    repeated.workMs = 600;
    repeated.estimateMs = 600;
    repeated.repeatCount = 25;
    repeated.intervalMs = 700;
    constexpr uint64_t jobs = 24;
    std::vector<std::string> accepted;
    for (uint64_t i = 0; i < 4; ++i)
        deployment.submit(i % deployment.vmCount(), prefix + idOf(8, i),
                          Deployment::jobBody(beside));
    for (uint64_t i = 0; i < jobs; ++i) {
        const std::string id = idOf(9, i);
        if (deployment.submit(i % deployment.vmCount(), prefix + id, Deployment::jobBody(repeated)))
            accepted.push_back(id);
    }
    if (accepted.size() < jobs)
        return false;
    sleepMs(6000);
    if (hasTrouble) {
        const auto vm = deployment.keeper();
        if (!vm)
            return false;
        deployment.signalVm(*vm, SIGKILL);
        sleepMs(500);
        deployment.startVm(*vm);
    }
    const Time until = currentTime() + std::chrono::seconds(60);
    size_t open = jobs;
    while (open > 0 && currentTime() < until) {
        sleepMs(3000);
        open = 0;
        for (const std::string &id : accepted)
            open += deployment.send(1, "GET", prefix + id).body.find("completed")
                    == std::string::npos;
    }
    record.add(fmt::format("{} of {} jobs are not completed", open, jobs));
    return true;
}

// Two zones. Stored jobs run when the zones are cut off from each other for 5.5 s; the store is
// reachable from both. Meanwhile the store deals the partitions anew, as it does at times.
bool playZoneCut(Record &record, bool hasTrouble)
{
    Layout layout;
    layout.zones = 2;
    layout.vmsPerZone = 2;
    layout.executorsPerZone = 4;
    Deployment deployment(record, layout);
    deployment.start(route);
    if (!deployment.waitUntilServed(prefix))
        return false;
    sleepMs(3000);
    constexpr uint64_t jobs = 16;
    std::vector<std::string> accepted;
    for (uint64_t i = 0; i < jobs; ++i) {
        const std::string id = idOf(1, i);
        const auto body = Deployment::jobBody({4, 1000, 64, 9000, 9000});
        if (deployment.submit(i % deployment.vmCount(), prefix + id, body))
            accepted.push_back(id);
    }
    if (accepted.size() < jobs)
        return false;
    sleepMs(1000);
    if (hasTrouble)
        deployment.cutZone(0, true);
    sleepMs(1000);
    record.add("the store deals all partitions of the group 'keepers' anew");
    deployment.store().reassign("keepers");
    sleepMs(4500);
    if (hasTrouble)
        deployment.cutZone(0, false);
    // All jobs can end by now, also those that are started again after the cut.
    const Time until = currentTime() + std::chrono::seconds(45);
    size_t open = jobs;
    while (open > 0 && currentTime() < until) {
        sleepMs(3000);
        open = 0;
        for (const std::string &id : accepted)
            open += deployment.send(1, "GET", prefix + id).body.find("completed")
                    == std::string::npos;
    }
    record.add(fmt::format("{} of {} jobs are not completed", open, jobs));
    return true;
}

// Gangs of 4 tasks run when one of 8 executors is cut off for 5.5 s. It crashes behind the cut and
// starts again.
bool playGangCut(Record &record, bool hasTrouble)
{
    Layout layout;
    Deployment deployment(record, layout);
    deployment.start(route);
    if (!deployment.waitUntilServed(prefix))
        return false;
    sleepMs(2000);
    Deployment::Job gang;
    gang.count = 4;
    gang.cpu = 4000;
    gang.workMs = 1500;
    gang.estimateMs = 1500;
    gang.isGang = true;
    gang.maxPerServer = 1;
    std::vector<std::string> accepted;
    constexpr int64_t trafficMs = 15000;
    constexpr int64_t cutAtMs = 5000;
    constexpr int64_t cutMs = 5500;
    const int64_t begin = record.elapsedMs();
    Executor &victim = *deployment.executors().front();
    bool isCut = false;
    bool wasCut = false;
    while (record.elapsedMs() < begin + trafficMs) {
        const std::string id = idOf(4, accepted.size());
        if (deployment.submit(accepted.size() % deployment.vmCount(), prefix + id,
                              Deployment::jobBody(gang)))
            accepted.push_back(id);
        sleepMs(300);
        if (hasTrouble && !wasCut && record.elapsedMs() >= begin + cutAtMs) {
            isCut = wasCut = true;
            victim.setCut(true);
        }
        if (isCut && record.elapsedMs() >= begin + cutAtMs + cutMs) {
            isCut = false;
            victim.crash();
            victim.restart();
            victim.setCut(false);
        }
    }
    record.add("the traffic ends, all executors are up");
    const int64_t calmSince = nowMs();
    sleepMs(25000);
    // `stable_ms` after the last disruption nothing excuses a run that ends `alone`.
    constexpr int64_t stableMs = 3000;
    constexpr int64_t gangWaitMs = gangTimeoutMs;
    std::set<std::string> alone;
    {
        const std::lock_guard lock(deployment.registry().mutex);
        for (const auto &[task, notes] : deployment.registry().runs) {
            for (const RunNote &note : notes) {
                if (note.how == "alone" && note.endedAtMs > calmSince + stableMs + gangWaitMs) {
                    alone.insert(task.substr(0, task.find('.')));
                    record.add(fmt::format("{} run {} on {} ended alone {} ms after the last "
                                           "disruption",
                                           task, note.run, note.executor,
                                           note.endedAtMs - calmSince));
                }
            }
        }
    }
    for (const std::string &id : alone) {
        const Response response = deployment.send(0, "GET", prefix + id);
        record.addViolation(fmt::format("GANG: runs of job {} end alone with no disruption near, "
                                        "the job is shown as {}",
                                        id, response.body));
    }
    return true;
}

// Long-running tasks are at work on 6 of 8 executors. Two tasks that are larger than what is left
// there come to the others, and then small jobs come.
bool playLargeTask(Record &record, bool hasTrouble)
{
    Layout layout;
    layout.executor.cpu = 16000;
    Deployment deployment(record, layout);
    deployment.start(route);
    if (!deployment.waitUntilServed(prefix))
        return false;
    sleepMs(2000);
    Deployment::Job lasting;
    lasting.count = 6;
    lasting.cpu = 7000;
    lasting.maxPerServer = 1;
    lasting.isEndless = true;
    if (!deployment.submit(0, prefix + idOf(10, 0), Deployment::jobBody(lasting)))
        return false;
    sleepMs(2000);
    for (uint64_t i = 1; hasTrouble && i <= 2; ++i) {
        Deployment::Job large = lasting;
        large.count = 1;
        large.cpu = 10000;
        if (!deployment.submit(1, prefix + idOf(10, i), Deployment::jobBody(large)))
            return false;
    }
    sleepMs(2000);
    std::vector<std::string> accepted;
    for (uint64_t i = 0; i < 10; ++i) {
        const std::string id = idOf(11, i);
        if (deployment.submit(i % deployment.vmCount(), prefix + id, Deployment::jobBody({})))
            accepted.push_back(id);
    }
    if (accepted.empty())
        return false;
    record.add("the traffic ends");
    constexpr int64_t finishMs = 14000;
    constexpr int64_t idleMs = 3000;
    sleepMs(finishMs);
    int64_t leastFree = INT64_MAX;
    for (int64_t passed = 0; passed < idleMs; passed += 50) {
        sleepMs(50);
        int64_t free = 0;
        for (const auto &executor : deployment.executors())
            free += executor->freeCpu();
        leastFree = std::min(leastFree, free);
    }
    const auto executors = static_cast<int64_t>(deployment.executors().size());
    const int64_t total = executors * layout.executor.cpu;
    for (const std::string &id : accepted) {
        const Response response = deployment.send(0, "GET", prefix + id);
        if (2 * leastFree > total && !hasBegun(deployment, id))
            record.addViolation(fmt::format(
                    "LOST: job {} was accepted, has nothing running {} s after the end of the "
                    "traffic while {} of {} cores are free, and is shown as {}",
                    id, (finishMs + idleMs) / 1000, leastFree / 1000, total / 1000, response.body));
    }
    return true;
}

// For 5.5 s, executors leave a share of the orders unanswered and carry them out late. In the
// seconds after, single executors crash, one at a time, and start again under their ids.
bool playLateStarts(Record &record, bool hasTrouble)
{
    Layout layout;
    Deployment deployment(record, layout);
    deployment.start(route);
    if (!deployment.waitUntilServed(prefix))
        return false;
    sleepMs(2000);
    Deployment::Job job;
    job.count = 8;
    job.workMs = 60;
    job.estimateMs = 60;
    constexpr uint32_t lateThousandths = 55;
    constexpr int64_t lateMs = 5500;
    constexpr int64_t trafficMs = 18000;
    constexpr int64_t crashIntervalMs = 3000;
    constexpr int64_t downMs = 2000;
    auto &executors = deployment.executors();
    const int64_t begin = record.elapsedMs();
    if (hasTrouble) {
        record.add("orders are carried out late");
        for (auto &executor : executors)
            executor->setLateShare(lateThousandths);
    }
    bool isLate = hasTrouble;
    int64_t nextCrash = begin + crashIntervalMs;
    int64_t nextStart = 0;
    size_t victim = 0;
    uint64_t jobs = 0;
    while (record.elapsedMs() < begin + trafficMs) {
        const int64_t now = record.elapsedMs();
        deployment.submit(jobs % deployment.vmCount(), prefix + idOf(12, jobs),
                          Deployment::jobBody(job));
        ++jobs;
        sleepMs(25);
        if (isLate && now >= begin + lateMs) {
            isLate = false;
            record.add("orders are carried out in time again");
            for (auto &executor : executors)
                executor->setLateShare(0);
        }
        if (hasTrouble && nextStart == 0 && now >= nextCrash) {
            executors[victim]->crash();
            nextStart = now + downMs;
            nextCrash = now + crashIntervalMs;
        }
        if (nextStart > 0 && now >= nextStart) {
            executors[victim]->restart();
            nextStart = 0;
            victim = (victim + 1) % executors.size();
        }
    }
    if (nextStart > 0)
        executors[victim]->restart();
    sleepMs(5000);
    return true;
}

// Jobs that need much memory come at 1.8 times the rate at which there is room for them.
bool playLargeJobs(Record &record, bool hasTrouble)
{
    Layout layout;
    layout.executor.memMb = 3000;
    Deployment deployment(record, layout);
    deployment.start(route);
    if (!deployment.waitUntilServed(prefix))
        return false;
    sleepMs(2000);
    Deployment::Job large;
    large.memMb = 1000;
    large.workMs = 30000;
    large.estimateMs = 30000;
    // 8 executors have room for 24 of them.
    const uint64_t jobs = hasTrouble ? 43 : 24;
    std::vector<std::string> accepted;
    for (uint64_t i = 0; i < jobs; ++i) {
        const std::string id = idOf(5, i);
        if (deployment.submit(i % deployment.vmCount(), prefix + id, Deployment::jobBody(large)))
            accepted.push_back(id);
    }
    record.add(fmt::format("{} jobs are accepted", accepted.size()));
    // `visible_ms` + 2 s after the last acceptance, and a little longer.
    sleepMs(7000);
    for (size_t vm = 0; vm < deployment.vmCount(); ++vm) {
        int64_t waiting = 0;
        for (const std::string &id : accepted)
            waiting += hasBegun(deployment, id) ? 0 : 1;
        const Response response = deployment.send(vm, "GET", prefix);
        if (response.status != 200)
            return false;
        const int64_t pending = json::parse(response.body).at("pending").to_number<int64_t>();
        record.add(
                fmt::format("{} jobs have not begun, {} are given as pending", waiting, pending));
        if (2 * pending < waiting)
            record.addViolation(fmt::format(
                    "MIXED: {} gives {} jobs as pending, {} accepted jobs have not begun",
                    Deployment::nameOf(vm), pending, waiting));
    }
    return true;
}

} // namespace lovage::review
