// A pool with simulated backend servers and a simulated clock. The servers keep the rules of a real
// one: room, fencing tokens, leases, ends that are listed until acknowledged.
#pragma once

#include "lovage/pool.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <numbers>
#include <queue>
#include <set>

namespace lovage::test {

using std::chrono::milliseconds;

// A sample of the normal distribution with mean 0 and deviation 1.
inline double standardNormal(Random &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
    return radius * std::cos(2 * std::numbers::pi * random.unit());
}

// What happens to one order on its way.
struct OrderFate
{
    bool isAnswered = true;
    Duration delay = std::chrono::microseconds(300); // until the server has it, and back again
};

struct SimulatedRun
{
    std::string task;
    uint32_t run = 0;
    Time begun;
    Time ends;
    RunEnd end = RunEnd::Succeeded;
    uint32_t milliCores = 0;
    bool hangs = false;
    std::string checkpoint {}; // that it began from
};

class SimulatedServer
{
public:
    ServerInfo info;
    double slowness = 1;
    bool failsAll = false;
    bool hangsAll = false;
    bool isUp = true;
    bool isReplaced = false;        // another server answers at its address
    bool resetsConnections = false; // looks end at once without an answer
    uint64_t token = 0;
    Time leaseUntil {};
    std::map<std::string, SimulatedRun> running;
    std::vector<EndedRow> ended;
    std::map<std::string, uint32_t> endedRuns; // highest run by task
    uint64_t nextEnd = 1;

    uint32_t used() const
    {
        uint32_t sum = 0;
        for (const auto &[task, run] : running)
            sum += run.milliCores;
        return sum;
    }
    void end(const std::string &task, RunEnd how)
    {
        const SimulatedRun run = running.at(task);
        running.erase(task);
        ended.push_back({nextEnd++, task, run.run, how});
        endedRuns[task] = std::max(endedRuns[task], run.run);
    }
    void advance(Time now)
    {
        std::vector<std::pair<std::string, RunEnd>> due;
        for (const auto &[task, run] : running) {
            if (!run.hangs && run.ends <= now && run.ends <= leaseUntil)
                due.emplace_back(task, run.end);
            else if (now > leaseUntil)
                due.emplace_back(task, RunEnd::Lapsed);
        }
        for (const auto &[task, how] : due)
            end(task, how);
    }
    // The process ends and another begins.
    void restart()
    {
        running.clear();
        ended.clear();
        endedRuns.clear();
        nextEnd = 1;
        token = 0;
        ++info.incarnation;
    }
};

class PoolWorld
{
public:
    explicit PoolWorld(PoolOptions options = {}) : pool(options), options_(options)
    {
        pool.expectStoredJobs(false);
    }

    Time now = fromUnixMillis(1'700'000'000'000);
    Pool pool;
    std::map<std::string, SimulatedServer> servers;
    std::vector<std::pair<Time, JobAnswer>> answers;
    std::vector<TaskOutcome> outcomes; // of runs of stored jobs, repeated ones included
    // True run time of a task on a server of slowness 1; whether it fails.
    std::function<Duration(const std::string &task)> workOf = [](const std::string &) {
        return Duration(milliseconds(100));
    };
    std::function<bool(const std::string &task)> isPoison = [](const std::string &) {
        return false;
    };
    std::function<OrderFate(const std::string &server)> fate = [](const std::string &) {
        return OrderFate {};
    };
    // Whether a look reaches its server at all; if not, that shows after a moment.
    std::function<bool()> isLookSent = [] { return true; };
    // Whether servers refuse orders for an earlier incarnation. Some know only their id, which a
    // new process may share.
    bool checksIncarnation = true;
    uint64_t starts = 0;
    uint64_t overlappingRuns = 0; // tasks that ran on two servers at a time
    std::set<std::string> startedJobs;
    std::map<std::string, uint32_t> demands; // by job

    void addServer(const std::string &id, uint32_t milliCores, double slowness = 1)
    {
        SimulatedServer server;
        server.info.id = id;
        server.info.service = "work";
        server.info.dataCentre = "dc1";
        server.info.address = "10.0.0.1:1";
        server.info.capacity = {milliCores, 1U << 20, 0};
        server.info.incarnation = 1;
        server.slowness = slowness;
        servers.emplace(id, server);
    }

    void grantAll(uint64_t token)
    {
        ShardGrants grants;
        for (uint32_t shard = 0; shard < options_.shardCount; ++shard)
            grants[shard] = {token, false};
        pool.setGrants(grants, now);
        flush();
    }

    void registerServers()
    {
        std::vector<ServerInfo> infos;
        for (const auto &[id, server] : servers) {
            if (server.isUp)
                infos.push_back(server.info);
        }
        pool.setServers(infos, now);
        flush();
    }

    void begin()
    {
        registerServers();
        grantAll(1);
        run(milliseconds(10));
    }

    static JobOffer makeOffer(const std::string &id, uint32_t count, uint32_t milliCores,
                              Duration estimate, Duration deadline = std::chrono::seconds(5))
    {
        JobOffer offer;
        offer.ticket = {"vm1", 1, std::hash<std::string> {}(id)};
        offer.job.id = id;
        offer.job.payload = "payload";
        Step step;
        step.count = count;
        step.demand = {milliCores, 0, 0};
        step.estimate = estimate;
        offer.job.steps.push_back(step);
        offer.queue = "queue";
        offer.service = "work";
        offer.attempts = 3;
        offer.stretchFactor = 1.6;
        offer.objectiveSlack = milliseconds(60);
        offer.deadline = deadline;
        return offer;
    }

    void offer(JobOffer offer)
    {
        demands[offer.job.id] = offer.job.steps.front().demand.milliCores;
        pool.offer(std::move(offer), now);
        flush();
    }

    static TaskBatch makeBatch(const std::string &job, uint32_t count, uint32_t milliCores,
                               uint64_t epoch = 1)
    {
        TaskBatch batch;
        batch.keeper = {"vm1", 1, 0, epoch};
        batch.job = job;
        batch.payload = "payload";
        batch.queue = "queue";
        batch.service = "work";
        batch.step.count = count;
        batch.step.demand = {milliCores, 0, 0};
        batch.step.estimate = milliseconds(100);
        for (uint32_t index = 0; index < count; ++index)
            batch.tasks.push_back({index, 1, {}});
        return batch;
    }

    void startBatch(const TaskBatch &batch)
    {
        demands[batch.job] = batch.step.demand.milliCores;
        pool.startBatch(batch, now);
        flush();
    }
    void confirm(const TaskOutcome &outcome, bool isSuperseded = false)
    {
        pool.confirmOutcome(outcome.task, outcome.run, isSuperseded, now);
        flush();
    }
    size_t outcomesOf(TaskOutcome::Kind kind) const
    {
        std::set<std::pair<std::string, uint32_t>> runs;
        for (const TaskOutcome &outcome : outcomes) {
            if (outcome.kind == kind)
                runs.emplace(outcome.task, outcome.run);
        }
        return runs.size();
    }
    // Ends that servers list, because nobody has acknowledged them.
    size_t listedEnds() const
    {
        size_t count = 0;
        for (const auto &[id, server] : servers)
            count += server.ended.size();
        return count;
    }

    // Advances the clock in steps of a millisecond.
    void run(Duration time)
    {
        const Time end = now + time;
        while (now < end) {
            now += milliseconds(1);
            for (auto &[id, server] : servers)
                server.advance(now);
            deliver();
            completeWaitingLooks();
            if ((now.time_since_epoch().count() / 1000) % 10 == 0)
                pool.tick(now);
            flush();
        }
    }

    const JobAnswer *answerOf(const std::string &id) const
    {
        const uint64_t number = std::hash<std::string> {}(id);
        for (const auto &[at, answer] : answers) {
            if (answer.ticket.number == number)
                return &answer;
        }
        return nullptr;
    }
    std::optional<JobResult> resultOf(const std::string &id) const
    {
        const JobAnswer *answer = answerOf(id);
        return answer ? std::optional(answer->result) : std::nullopt;
    }
    size_t runningCount() const
    {
        size_t count = 0;
        for (const auto &[id, server] : servers)
            count += server.running.size();
        return count;
    }

private:
    struct Delivery
    {
        Time at;
        uint64_t number;
        std::function<void()> action;

        bool operator<(const Delivery &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    struct WaitingLook
    {
        OrderPoll look;
        Time until;
        OrderFate fate;
        Time sentAt;
    };

    void at(Time time, std::function<void()> action)
    {
        deliveries_.push({time, nextDelivery_++, std::move(action)});
    }

    void deliver()
    {
        while (!deliveries_.empty() && deliveries_.top().at <= now) {
            const auto action = deliveries_.top().action;
            deliveries_.pop();
            action();
        }
    }

    void flush()
    {
        for (auto actions = pool.takeActions(now); !actions.empty();
             actions = pool.takeActions(now)) {
            for (PoolAction &action : actions)
                std::visit([this](auto &&order) { carryOut(order); }, action);
        }
        pool.takeLogEntries();
    }

    ServerReading readingOf(const SimulatedServer &server) const
    {
        return {toUnixMillis(now), server.info.incarnation};
    }

    // Common rules of every order; Done if the server carries it out.
    OrderResult check(SimulatedServer &server, uint64_t token, uint64_t incarnation)
    {
        if (server.isReplaced)
            return OrderResult::OtherIncarnation;
        if (incarnation != 0 && incarnation != server.info.incarnation)
            return OrderResult::OtherIncarnation;
        if (token < server.token)
            return OrderResult::Fenced;
        server.token = token;
        return OrderResult::Done;
    }

    void carryOut(const OrderStart &order)
    {
        const OrderFate fate = this->fate(order.ref.server);
        at(now + fate.delay, [this, order] {
            auto &server = servers.at(order.ref.server);
            startResults_[order.ref] = server.isUp ? start(server, order) : OrderResult::NotSent;
        });
        const Duration back = fate.isAnswered ? fate.delay * 2 : options_.answerTimeout;
        at(now + back, [this, order, fate] {
            const auto &server = servers.at(order.ref.server);
            const OrderResult result =
                    fate.isAnswered ? startResults_[order.ref] : OrderResult::Unknown;
            pool.onStartAnswered(order.ref, result,
                                 fate.isAnswered ? readingOf(server) : ServerReading {}, now);
        });
    }

    OrderResult start(SimulatedServer &server, const OrderStart &order)
    {
        const OrderResult result =
                check(server, order.token, checksIncarnation ? order.incarnation : 0);
        if (result != OrderResult::Done)
            return result;
        const Time lease = fromUnixMillis(order.leaseUntilMs);
        if (lease <= now)
            return OrderResult::Late;
        server.leaseUntil = std::max(server.leaseUntil, lease);
        if (server.endedRuns.contains(order.ref.task)
            && server.endedRuns.at(order.ref.task) >= order.ref.run)
            return OrderResult::Superseded;
        const std::string job = order.ref.task.substr(0, order.ref.task.find('.'));
        if (server.used() + demands[job] > server.info.capacity.milliCores)
            return OrderResult::NoRoom;
        for (const auto &[id, other] : servers)
            overlappingRuns += other.isUp && other.running.contains(order.ref.task) ? 1 : 0;
        ++starts;
        startedJobs.insert(job);
        const auto work = Duration(static_cast<int64_t>(
                static_cast<double>(workOf(order.ref.task).count()) * server.slowness));
        SimulatedRun run {order.ref.task,  order.ref.run,     now,
                          now + work,      RunEnd::Succeeded, demands[job],
                          server.hangsAll, order.checkpoint};
        if (server.failsAll || isPoison(order.ref.task)) {
            run.end = RunEnd::Failed;
            run.ends = now + milliseconds(5);
        }
        server.running.emplace(order.ref.task, run);
        return OrderResult::Done;
    }

    void carryOut(const OrderStop &order)
    {
        const OrderFate fate = this->fate(order.ref.server);
        at(now + fate.delay, [this, order] {
            auto &server = servers.at(order.ref.server);
            if (!server.isUp)
                return;
            const auto found = server.running.find(order.ref.task);
            if (found != server.running.end() && found->second.run <= order.ref.run)
                server.end(order.ref.task, RunEnd::Stopped);
            auto &highest = server.endedRuns[order.ref.task];
            highest = std::max(highest, order.ref.run);
        });
        const Duration back = fate.isAnswered ? fate.delay * 2 : options_.answerTimeout;
        at(now + back, [this, order, fate] {
            const auto &server = servers.at(order.ref.server);
            const OrderResult result = !fate.isAnswered ? OrderResult::Unknown
                    : server.isReplaced                 ? OrderResult::OtherIncarnation
                    : server.isUp                       ? OrderResult::Done
                                                        : OrderResult::NotSent;
            pool.onStopAnswered(order.ref, result,
                                fate.isAnswered ? readingOf(server) : ServerReading {}, now);
        });
    }

    void carryOut(const OrderPoll &order)
    {
        if (!isLookSent()) {
            PollReply reply;
            reply.server = order.server;
            reply.result = OrderResult::NotSent;
            at(now + milliseconds(30), [this, reply] { pool.onPollAnswered(reply, now); });
            return;
        }
        const OrderFate fate = this->fate(order.server);
        at(now + fate.delay, [this, order, fate] {
            looks_.push_back({order, now + order.wait, fate, now});
        });
    }

    void carryOut(const JobAnswer &answer) { answers.emplace_back(now, answer); }
    void carryOut(const TaskOutcome &outcome) { outcomes.push_back(outcome); }

    void completeWaitingLooks()
    {
        for (size_t i = 0; i < looks_.size();) {
            if (!isComplete(looks_[i])) {
                ++i;
                continue;
            }
            const WaitingLook look = looks_[i];
            looks_.erase(looks_.begin() + static_cast<long>(i));
            answerLook(look);
        }
    }

    bool isComplete(const WaitingLook &waiting)
    {
        const auto &server = servers.at(waiting.look.server);
        const bool hasEnd =
                !server.ended.empty() && server.ended.back().number > waiting.look.ackedThrough;
        return !server.isUp || server.resetsConnections || hasEnd || now >= waiting.until;
    }

    void answerLook(const WaitingLook &waiting)
    {
        auto &server = servers.at(waiting.look.server);
        PollReply reply;
        reply.server = waiting.look.server;
        reply.result = OrderResult::NotSent;
        if (server.isUp) {
            reply.result = check(server, waiting.look.token, 0);
            reply.reading = readingOf(server);
        }
        if (reply.result == OrderResult::Done) {
            if (waiting.look.leaseUntilMs > 0)
                server.leaseUntil =
                        std::max(server.leaseUntil, fromUnixMillis(waiting.look.leaseUntilMs));
            std::erase_if(server.ended, [&](const EndedRow &row) {
                return row.number <= waiting.look.ackedThrough;
            });
            for (const auto &[task, run] : server.running)
                reply.running.push_back({task, run.run, percentOf(run), run.checkpoint});
            reply.ended = server.ended;
        }
        if (!waiting.fate.isAnswered) {
            reply = {};
            reply.server = waiting.look.server;
        }
        Duration back = waiting.fate.isAnswered ? waiting.fate.delay : options_.answerTimeout;
        if (server.resetsConnections) {
            reply = {};
            reply.server = waiting.look.server;
            back = waiting.fate.delay;
        }
        at(now + back, [this, reply] { pool.onPollAnswered(reply, now); });
    }

    uint32_t percentOf(const SimulatedRun &run) const
    {
        if (run.hangs)
            return 0;
        const double share = static_cast<double>((now - run.begun).count())
                / static_cast<double>(std::max<int64_t>((run.ends - run.begun).count(), 1));
        return static_cast<uint32_t>(std::min(share, 1.0) * 100);
    }

    PoolOptions options_;
    std::priority_queue<Delivery> deliveries_;
    uint64_t nextDelivery_ = 0;
    std::vector<WaitingLook> looks_;
    std::map<RunRef, OrderResult> startResults_;
};

} // namespace lovage::test
