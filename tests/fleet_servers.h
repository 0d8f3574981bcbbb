// The backend servers of a fleet in virtual time.
#pragma once

#include "simulated_server.h"
#include "virtual_network.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lovage::test {

// What the tasks of a job are like.
struct TaskKind
{
    uint32_t milliCores = 1000;
    Duration runTime {};
};

// A run that a server has begun.
struct RunStart
{
    std::string task;
    std::string server;
    std::string vm;                     // VM that ordered the run
    std::vector<std::string> otherRuns; // servers that run the same task, with the ordering VM
};

class FleetServers
{
public:
    using StartCallback = std::function<void(OrderResult, ServerClock)>;
    using PollCallback = std::function<void(PollReply)>;

    FleetServers(VirtualTime &time, VirtualNetwork &network) : time_(time), network_(network)
    {
        scheduleStep();
    }

    std::function<TaskKind(const std::string &job)> kindOf;
    std::function<void(const RunStart &)> onStart;

    void add(const std::string &id, const std::string &dataCentre, uint32_t milliCores,
             const SkewedClock &clock)
    {
        Entry &entry = servers_[id];
        entry.clock = std::make_unique<SkewedClock>(clock);
        entry.host = network_.addHost(dataCentre, true);
        ServerInfo &info = entry.server.info;
        info.id = id;
        info.service = "work";
        info.dataCentre = dataCentre;
        info.address = "10.9.9.9:1";
        info.capacity = {milliCores, 1U << 20, 0};
        info.incarnation = 1;
        entry.server.startedAt = entry.clock->now() - std::chrono::minutes(10);
    }
    std::vector<ServerInfo> infos() const
    {
        std::vector<ServerInfo> infos;
        for (const auto &[id, entry] : servers_)
            infos.push_back(entry.server.info);
        return infos;
    }
    HostId hostOf(const std::string &server) const { return servers_.at(server).host; }
    // Returns the servers on which tasks of the job run.
    std::vector<std::string> serversRunning(const std::string &job) const
    {
        std::vector<std::string> ids;
        for (const auto &[id, entry] : servers_) {
            for (const auto &[task, run] : entry.server.running) {
                if (jobOf(task) == job)
                    ids.push_back(id);
            }
        }
        return ids;
    }
    // Returns the VM that ordered the running tasks of the job; empty if none runs.
    std::string vmRunning(const std::string &job) const
    {
        const auto ids = serversRunning(job);
        if (ids.empty())
            return {};
        for (const auto &[task, vm] : servers_.at(ids.front()).orderedBy) {
            if (jobOf(task) == job)
                return vm;
        }
        return {};
    }
    static std::string jobOf(const std::string &task) { return task.substr(0, task.find('.')); }

    void start(HostId from, const std::string &vm, const OrderStart &order,
               const StartCallback &done)
    {
        send(
                from, order.ref.server, answerTimeout,
                [this, vm, order](Entry &entry) { return execute(entry, vm, order); }, done);
    }
    void stop(HostId from, const OrderStop &order, const StartCallback &done)
    {
        send(
                from, order.ref.server, answerTimeout,
                [this, order](Entry &entry) { return execute(entry, order); }, done);
    }
    void poll(HostId from, const OrderPoll &order, const PollCallback &done)
    {
        auto call = std::make_shared<Call>();
        time_.scheduleAfter(order.timeout, [call, order, done] {
            if (!std::exchange(call->isOver, true))
                done(unansweredPoll(order.server));
        });
        const HostId host = hostOf(order.server);
        if (!network_.isOpen(from, host))
            return;
        time_.scheduleAfter(network_.delay(from, host), [this, from, order, done, call] {
            Entry &entry = servers_.at(order.server);
            entry.server.advance(entry.clock->now());
            if (entry.server.checkOrder(order.token) == OrderResult::Done)
                entry.server.executePoll(order, entry.clock->now());
            entry.polls.push_back(
                    {order, from, time_.now() + order.wait, [call, done](const PollReply &reply) {
                         if (!std::exchange(call->isOver, true))
                             done(reply);
                     }});
        });
    }

private:
    static PollReply unansweredPoll(const std::string &server)
    {
        PollReply reply;
        reply.server = server;
        return reply;
    }

    struct Call
    {
        bool isOver = false;
    };
    struct WaitingPoll
    {
        OrderPoll order;
        HostId from = 0;
        Time until;
        PollCallback done;
    };
    struct Entry
    {
        SimulatedServer server;
        HostId host = 0;
        std::unique_ptr<SkewedClock> clock {};
        std::vector<WaitingPoll> polls;
        std::map<std::string, std::string> orderedBy; // VM that ordered each running task
    };

    static constexpr Duration stepInterval = std::chrono::milliseconds(1);
    static constexpr Duration answerTimeout = std::chrono::milliseconds(100);
    // Time from an order to stop a run to its end.
    static constexpr Duration stopTime = std::chrono::milliseconds(50);

    void scheduleStep()
    {
        time_.scheduleAfter(stepInterval, [this] {
            for (auto &[id, entry] : servers_) {
                entry.server.advance(entry.clock->now());
                completePolls(entry);
            }
            scheduleStep();
        });
    }

    // Delivers an order and its answer. An order or an answer that meets a cut is lost.
    void send(HostId from, const std::string &id, Duration timeout,
              const std::function<OrderResult(Entry &)> &execute, const StartCallback &done)
    {
        auto call = std::make_shared<Call>();
        time_.scheduleAfter(timeout, [call, done] {
            if (!std::exchange(call->isOver, true))
                done(OrderResult::Unknown, {});
        });
        const HostId host = hostOf(id);
        if (!network_.isOpen(from, host))
            return;
        time_.scheduleAfter(
                network_.delay(from, host), [this, from, host, id, execute, done, call] {
                    Entry &entry = servers_.at(id);
                    const OrderResult result = execute(entry);
                    const ServerClock clock = entry.server.clockAt(entry.clock->now());
                    if (!network_.isOpen(host, from))
                        return;
                    time_.scheduleAfter(network_.delay(host, from), [call, done, result, clock] {
                        if (!std::exchange(call->isOver, true))
                            done(result, clock);
                    });
                });
    }

    OrderResult execute(Entry &entry, const std::string &vm, const OrderStart &order)
    {
        SimulatedServer &server = entry.server;
        const Time now = entry.clock->now();
        server.advance(now);
        const OrderResult result = server.checkOrder(order.token);
        if (result != OrderResult::Done)
            return result;
        if (server.isLate(order, now))
            return OrderResult::Late;
        server.extendLease(order.leaseUntilMs, now);
        const auto ended = server.highestEndedRuns.find(order.ref.task);
        if (ended != server.highestEndedRuns.end() && ended->second >= order.ref.run)
            return OrderResult::Superseded;
        if (server.running.contains(order.ref.task))
            return OrderResult::Done;
        const TaskKind kind = kindOf(jobOf(order.ref.task));
        if (server.usedMilliCores() + kind.milliCores > server.info.capacity.milliCores)
            return OrderResult::NoRoom;
        reportStart(order, vm);
        server.running.emplace(order.ref.task,
                               SimulatedRun {order.ref.task, order.ref.run, now, now + kind.runTime,
                                             RunEnd::Succeeded, kind.milliCores});
        entry.orderedBy[order.ref.task] = vm;
        return OrderResult::Done;
    }

    void reportStart(const OrderStart &order, const std::string &vm)
    {
        RunStart start {order.ref.task, order.ref.server, vm, {}};
        for (auto &[id, entry] : servers_) {
            entry.server.advance(entry.clock->now());
            if (entry.server.running.contains(order.ref.task))
                start.otherRuns.push_back(id + " by " + entry.orderedBy[order.ref.task]);
        }
        onStart(start);
    }

    OrderResult execute(Entry &entry, const OrderStop &order)
    {
        SimulatedServer &server = entry.server;
        const OrderResult result = server.checkOrder(order.token);
        if (result != OrderResult::Done)
            return result;
        auto &highest = server.highestEndedRuns[order.ref.task];
        highest = std::max(highest, order.ref.run);
        time_.scheduleAfter(stopTime, [&server, order, clock = entry.clock.get()] {
            server.advance(clock->now());
            const auto found = server.running.find(order.ref.task);
            if (found != server.running.end() && found->second.run <= order.ref.run)
                server.endRun(order.ref.task, RunEnd::Stopped);
        });
        return OrderResult::Done;
    }

    void completePolls(Entry &entry)
    {
        std::vector<WaitingPoll> due;
        std::erase_if(entry.polls, [&](const WaitingPoll &poll) {
            const bool isDue = entry.server.hasEndAfter(poll.order.ackedThrough)
                    || poll.order.token < entry.server.token || time_.now() >= poll.until;
            if (isDue)
                due.push_back(poll);
            return isDue;
        });
        for (const WaitingPoll &poll : due)
            answer(entry, poll);
    }

    void answer(Entry &entry, const WaitingPoll &poll)
    {
        PollReply reply;
        reply.server = poll.order.server;
        reply.result = entry.server.checkOrder(poll.order.token);
        if (reply.result == OrderResult::Done)
            entry.server.listRuns(reply, entry.clock->now());
        if (network_.isOpen(entry.host, poll.from))
            time_.scheduleAfter(network_.delay(entry.host, poll.from),
                                [done = poll.done, reply] { done(reply); });
    }

    VirtualTime &time_;
    VirtualNetwork &network_;
    std::map<std::string, Entry> servers_;
};

} // namespace lovage::test
