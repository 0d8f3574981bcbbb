// Decides what becomes of a run that takes longer than predicted: whether its job is long, or its
// server is slow.
#pragma once

#include "lovage/core.h"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace lovage::pool {

// Time for which a run had been executed when its server listed it.
struct ListedTime
{
    Duration minimum {}; // lower bound
    Duration likely {};
};

// Total run time, projected from the reported progress.
struct Projection
{
    // Bound that holds even if the run began late and its progress is uneven.
    Duration minimum {};
    // One standard deviation below `likely`.
    Duration low {};
    Duration likely {};
    double error = 0; // standard deviation of the logarithm of `likely`
};

// Returns nullopt if the progress is too small.
std::optional<Projection> projectRunTime(const ListedTime &listed, uint32_t percent);

// How the run times of a queue vary. A small share of its jobs takes several times as long as
// predicted.
struct RunTimeSpread
{
    double deviation = 0.4;    // standard deviation of the logarithm, without the long jobs
    double longShare = 0.01;   // share of the long jobs
    double longLogRatio = 1.6; // mean logarithm of the ratio of a long job's time to its prediction
};

// Run other than the one in question.
struct ObservedRun
{
    double logRatio = 0; // logarithm of the ratio of its time to the one that was expected there
    double error = 0;    // standard deviation of logRatio
    // Whether the run was executed at the same time as the one in question, at least in part.
    bool isConcurrent = true;
};

struct SlowRunEvidence
{
    Projection total;
    Duration elapsed {};   // since the start of the run
    Duration predicted {}; // on an ordinary server
    RunTimeSpread spread {};
    double slowness = 1;        // learned slowness of the server
    uint32_t serverSamples = 0; // number of runs from which it was learned
    // Other runs of the same step, one for each server other than this one. Includes the earlier
    // run of the task if it was moved.
    std::vector<ObservedRun> siblings {};
    // Runs of other jobs on this server, one for each job, and how their queues vary.
    std::vector<std::pair<ObservedRun, RunTimeSpread>> neighbours {};
    bool wasMoved = false; // whether a run of the task was moved for slowness before
    Duration untilObjective {};
    Duration untilDeadline {};
    Duration stopTime {};       // time until a stopped run has ended
    double fastestSlowness = 1; // of the fastest server
};

// Returns the probability that the run is slow because of its server. The alternative is that it
// belongs to a long job.
double slowServerProbability(const SlowRunEvidence &evidence);

// Returns the probability that the run is slow because it belongs to one of the long jobs of its
// queue. Otherwise its server is slow, or its run time is within the variation of ordinary jobs.
double longJobProbability(const SlowRunEvidence &evidence);

enum class SlowRunCause {
    InTime,       // the run will end in time
    LongJob,      // the run would be as slow elsewhere
    SlowServer,   // the run would be faster on an ordinary server
    FasterServer, // the run is as fast as its server permits, and another server is faster
    Uncertain,
    MovedBefore,
};
std::string_view toString(SlowRunCause cause);

struct KeepRun
{
    SlowRunCause cause = SlowRunCause::InTime;
};
// The run may be moved as soon as a server is free that ends it in time.
struct MoveRun
{
    SlowRunCause cause = SlowRunCause::SlowServer;
};
// No server can end the run by the deadline.
struct GiveUpJob
{
    SlowRunCause cause = SlowRunCause::LongJob;
};

struct SlowRunDecision
{
    std::variant<KeepRun, MoveRun, GiveUpJob> action;
    double slowServerProbability = 0;
    Duration ordinaryRunTime {}; // expected total run time on an ordinary server
    // Whether the other tasks of the step will take as long.
    bool isStepLong = false;

    SlowRunCause cause() const
    {
        return std::visit([](const auto &decided) { return decided.cause; }, action);
    }
};

SlowRunDecision decideSlowRun(const SlowRunEvidence &evidence);

} // namespace lovage::pool
