// A simulated backend server. It follows the rules of real servers: limited capacity, fencing
// tokens, leases, and ended runs that are listed until they are acknowledged.
#pragma once

#include "lovage/pool.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace lovage::test {

struct SimulatedRun
{
    std::string task;
    uint32_t run = 0;
    Time startedAt;
    Time endsAt;
    RunEnd end = RunEnd::Succeeded;
    uint32_t milliCores = 0;
    bool hangs = false;
    std::string checkpoint {}; // checkpoint that the run was resumed from

    // Returns the share of its work that is done.
    uint32_t percentAt(Time now) const
    {
        if (hangs)
            return 0;
        const double share = static_cast<double>((now - startedAt).count())
                / static_cast<double>(std::max<int64_t>((endsAt - startedAt).count(), 1));
        return static_cast<uint32_t>(std::min(share, 1.0) * 100);
    }
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
    bool resetsConnections = false; // polls fail immediately without an answer
    uint64_t token = 0;
    Time leaseUntil {};
    std::map<std::string, SimulatedRun> running;
    std::vector<EndedRow> ended;
    std::map<std::string, uint32_t> highestEndedRuns; // highest ended run, by task
    uint64_t nextEnd = 1;

    uint32_t usedMilliCores() const
    {
        uint32_t sum = 0;
        for (const auto &[task, run] : running)
            sum += run.milliCores;
        return sum;
    }
    void endRun(const std::string &task, RunEnd how)
    {
        const SimulatedRun run = running.at(task);
        running.erase(task);
        ended.push_back({nextEnd++, task, run.run, how});
        highestEndedRuns[task] = std::max(highestEndedRuns[task], run.run);
    }
    void advance(Time now)
    {
        std::vector<std::pair<std::string, RunEnd>> due;
        for (const auto &[task, run] : running) {
            if (!run.hangs && run.endsAt <= now && run.endsAt <= leaseUntil)
                due.emplace_back(task, run.end);
            else if (now > leaseUntil)
                due.emplace_back(task, RunEnd::Lapsed);
        }
        for (const auto &[task, how] : due)
            endRun(task, how);
    }
    // Applies the checks that are common to all orders. Returns Done if the server executes the
    // order. An order with incarnation 0 is for any incarnation.
    OrderResult checkOrder(uint64_t orderToken, uint64_t incarnation)
    {
        if (isReplaced)
            return OrderResult::OtherIncarnation;
        if (incarnation != 0 && incarnation != info.incarnation)
            return OrderResult::OtherIncarnation;
        if (orderToken < token)
            return OrderResult::Fenced;
        token = orderToken;
        return OrderResult::Done;
    }
    ServerReading readingAt(Time now) const { return {toUnixMillis(now), info.incarnation}; }
    // Returns whether a run has ended that a poll with this acknowledgement does not know of.
    bool hasEndAfter(uint64_t ackedThrough) const
    {
        return !ended.empty() && ended.back().number > ackedThrough;
    }
    // Extends the lease and forgets the acknowledged ends.
    void executePoll(const OrderPoll &order)
    {
        if (order.leaseUntilMs > 0)
            leaseUntil = std::max(leaseUntil, fromUnixMillis(order.leaseUntilMs));
        std::erase_if(ended, [&](const EndedRow &row) { return row.number <= order.ackedThrough; });
    }
    void listRuns(PollReply &reply, Time now) const
    {
        for (const auto &[task, run] : running)
            reply.running.push_back({task, run.run, run.percentAt(now), run.checkpoint});
        reply.ended = ended;
    }
    // Replaces the process by a new incarnation without any state.
    void restart()
    {
        running.clear();
        ended.clear();
        highestEndedRuns.clear();
        nextEnd = 1;
        token = 0;
        ++info.incarnation;
    }
};

} // namespace lovage::test
