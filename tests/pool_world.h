// A pool with simulated backend servers and a simulated clock. The servers follow the rules of real
// servers: limited capacity, fencing tokens, leases, and ended runs that are listed until they are
// acknowledged.
#pragma once

#include "simulated_server.h"

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

// Returns a sample of the normal distribution with mean 0 and standard deviation 1.
inline double standardNormal(Random &random)
{
    const double radius = std::sqrt(-2 * std::log(1 - random.unit()));
    return radius * std::cos(2 * std::numbers::pi * random.unit());
}

// How one order and its answer are delivered.
struct OrderDelivery
{
    bool isAnswered = true;
    Duration delay = std::chrono::microseconds(300); // one-way delay of the order and of its answer
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
    // Outcomes of runs of stored jobs, including repeated reports.
    std::vector<TaskOutcome> outcomes;
    // Returns the true run time of a task on a server of slowness 1.
    std::function<Duration(const std::string &task)> runTimeOf = [](const std::string &) {
        return Duration(milliseconds(100));
    };
    // Returns whether a task fails on every server.
    std::function<bool(const std::string &task)> isPoison = [](const std::string &) {
        return false;
    };
    std::function<OrderDelivery(const std::string &server)> delivery = [](const std::string &) {
        return OrderDelivery {};
    };
    // Returns whether a poll reaches its server. If not, the pool is notified 30 ms later.
    std::function<bool()> isPollSent = [] { return true; };
    // Returns whether the orders to stop a task are lost on the way to its server.
    std::function<bool(const std::string &task)> isStopLost = [](const std::string &) {
        return false;
    };
    // Whether servers refuse orders for an earlier incarnation. Some real servers check only their
    // id, which a new process may share.
    bool checksIncarnation = true;
    uint64_t starts = 0;
    uint64_t overlappingRuns = 0; // starts of tasks that were already running on some server
    std::set<std::string> startedJobs;
    std::map<std::string, uint32_t> demands; // cores in thousandths, by job

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
        executeActions();
    }

    void registerServers()
    {
        std::vector<ServerInfo> infos;
        for (const auto &[id, server] : servers) {
            if (server.isUp)
                infos.push_back(server.info);
        }
        pool.setServers(infos, now);
        executeActions();
    }

    void begin()
    {
        registerServers();
        grantAll(1);
        runFor(milliseconds(10));
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
        executeActions();
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
        executeActions();
    }
    void confirm(const TaskOutcome &outcome, bool isSuperseded = false)
    {
        pool.confirmOutcome(outcome.task, outcome.run, isSuperseded, now);
        executeActions();
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
    // Returns the number of ended runs that servers still list because they are not acknowledged.
    size_t listedEnds() const
    {
        size_t count = 0;
        for (const auto &[id, server] : servers)
            count += server.ended.size();
        return count;
    }

    // Advances the simulation by the given time, in steps of a millisecond.
    void runFor(Duration time)
    {
        const Time end = now + time;
        while (now < end) {
            now += milliseconds(1);
            for (auto &[id, server] : servers)
                server.advance(now);
            runDueEvents();
            completeWaitingPolls();
            if ((now.time_since_epoch().count() / 1000) % 10 == 0)
                pool.tick(now);
            executeActions();
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
    struct ScheduledEvent
    {
        Time at;
        uint64_t number;
        std::function<void()> action;

        bool operator<(const ScheduledEvent &other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    struct WaitingPoll
    {
        OrderPoll order;
        Time until;
        OrderDelivery delivery;
        Time sentAt;
    };

    void schedule(Time time, std::function<void()> action)
    {
        scheduledEvents_.push({time, nextEventNumber_++, std::move(action)});
    }

    void runDueEvents()
    {
        while (!scheduledEvents_.empty() && scheduledEvents_.top().at <= now) {
            const auto action = scheduledEvents_.top().action;
            scheduledEvents_.pop();
            action();
        }
    }

    void executeActions()
    {
        for (auto actions = pool.takeActions(now); !actions.empty();
             actions = pool.takeActions(now)) {
            for (PoolAction &action : actions)
                std::visit([this](auto &&order) { execute(order); }, action);
        }
        pool.takeLogEntries();
    }

    void execute(const OrderStart &order)
    {
        const OrderDelivery delivery = this->delivery(order.ref.server);
        schedule(now + delivery.delay, [this, order] {
            auto &server = servers.at(order.ref.server);
            startResults_[order.ref] = server.isUp ? start(server, order) : OrderResult::NotSent;
        });
        const Duration back = delivery.isAnswered ? delivery.delay * 2 : options_.answerTimeout;
        schedule(now + back, [this, order, delivery] {
            const auto &server = servers.at(order.ref.server);
            const OrderResult result =
                    delivery.isAnswered ? startResults_[order.ref] : OrderResult::Unknown;
            pool.onStartAnswered(order.ref, result,
                                 delivery.isAnswered ? server.readingAt(now) : ServerReading {},
                                 now);
        });
    }

    OrderResult start(SimulatedServer &server, const OrderStart &order)
    {
        const OrderResult result =
                server.checkOrder(order.token, checksIncarnation ? order.incarnation : 0);
        if (result != OrderResult::Done)
            return result;
        const Time lease = fromUnixMillis(order.leaseUntilMs);
        if (lease <= now)
            return OrderResult::Late;
        server.leaseUntil = std::max(server.leaseUntil, lease);
        if (server.highestEndedRuns.contains(order.ref.task)
            && server.highestEndedRuns.at(order.ref.task) >= order.ref.run)
            return OrderResult::Superseded;
        const std::string job = order.ref.task.substr(0, order.ref.task.find('.'));
        if (server.usedMilliCores() + demands[job] > server.info.capacity.milliCores)
            return OrderResult::NoRoom;
        for (const auto &[id, other] : servers)
            overlappingRuns += other.isUp && other.running.contains(order.ref.task) ? 1 : 0;
        ++starts;
        startedJobs.insert(job);
        const auto work = Duration(static_cast<int64_t>(
                static_cast<double>(runTimeOf(order.ref.task).count()) * server.slowness));
        SimulatedRun run {order.ref.task,  order.ref.run,     now,
                          now + work,      RunEnd::Succeeded, demands[job],
                          server.hangsAll, order.checkpoint};
        if (server.failsAll || isPoison(order.ref.task)) {
            run.end = RunEnd::Failed;
            run.endsAt = now + milliseconds(5);
        }
        server.running.emplace(order.ref.task, run);
        return OrderResult::Done;
    }

    void execute(const OrderStop &order)
    {
        if (isStopLost(order.ref.task)) {
            schedule(now + options_.answerTimeout, [this, order] {
                pool.onStopAnswered(order.ref, OrderResult::Unknown, {}, now);
            });
            return;
        }
        const OrderDelivery delivery = this->delivery(order.ref.server);
        schedule(now + delivery.delay, [this, order] {
            auto &server = servers.at(order.ref.server);
            if (!server.isUp)
                return;
            const auto found = server.running.find(order.ref.task);
            if (found != server.running.end() && found->second.run <= order.ref.run)
                server.endRun(order.ref.task, RunEnd::Stopped);
            auto &highest = server.highestEndedRuns[order.ref.task];
            highest = std::max(highest, order.ref.run);
        });
        const Duration back = delivery.isAnswered ? delivery.delay * 2 : options_.answerTimeout;
        schedule(now + back, [this, order, delivery] {
            const auto &server = servers.at(order.ref.server);
            const OrderResult result = !delivery.isAnswered ? OrderResult::Unknown
                    : server.isReplaced                     ? OrderResult::OtherIncarnation
                    : server.isUp                           ? OrderResult::Done
                                                            : OrderResult::NotSent;
            pool.onStopAnswered(order.ref, result,
                                delivery.isAnswered ? server.readingAt(now) : ServerReading {},
                                now);
        });
    }

    void execute(const OrderPoll &order)
    {
        if (!isPollSent()) {
            PollReply reply;
            reply.server = order.server;
            reply.result = OrderResult::NotSent;
            schedule(now + milliseconds(30), [this, reply] { pool.onPollAnswered(reply, now); });
            return;
        }
        const OrderDelivery delivery = this->delivery(order.server);
        schedule(now + delivery.delay, [this, order, delivery] {
            waitingPolls_.push_back({order, now + order.wait, delivery, now});
        });
    }

    void execute(const JobAnswer &answer) { answers.emplace_back(now, answer); }
    void execute(const TaskOutcome &outcome) { outcomes.push_back(outcome); }

    void completeWaitingPolls()
    {
        for (size_t i = 0; i < waitingPolls_.size();) {
            if (!isComplete(waitingPolls_[i])) {
                ++i;
                continue;
            }
            const WaitingPoll poll = waitingPolls_[i];
            waitingPolls_.erase(waitingPolls_.begin() + static_cast<long>(i));
            answerPoll(poll);
        }
    }

    bool isComplete(const WaitingPoll &waiting)
    {
        const auto &server = servers.at(waiting.order.server);
        return !server.isUp || server.resetsConnections
                || server.hasEndAfter(waiting.order.ackedThrough) || now >= waiting.until;
    }

    void answerPoll(const WaitingPoll &waiting)
    {
        auto &server = servers.at(waiting.order.server);
        PollReply reply;
        reply.server = waiting.order.server;
        reply.result = OrderResult::NotSent;
        if (server.isUp) {
            reply.result = server.checkOrder(waiting.order.token, 0);
            reply.reading = server.readingAt(now);
        }
        if (reply.result == OrderResult::Done) {
            server.executePoll(waiting.order);
            server.listRuns(reply, now);
        }
        if (!waiting.delivery.isAnswered) {
            reply = {};
            reply.server = waiting.order.server;
        }
        Duration back =
                waiting.delivery.isAnswered ? waiting.delivery.delay : options_.answerTimeout;
        if (server.resetsConnections) {
            reply = {};
            reply.server = waiting.order.server;
            back = waiting.delivery.delay;
        }
        schedule(now + back, [this, reply] { pool.onPollAnswered(reply, now); });
    }

    PoolOptions options_;
    std::priority_queue<ScheduledEvent> scheduledEvents_;
    uint64_t nextEventNumber_ = 0;
    std::vector<WaitingPoll> waitingPolls_;
    std::map<RunRef, OrderResult> startResults_;
};

} // namespace lovage::test
