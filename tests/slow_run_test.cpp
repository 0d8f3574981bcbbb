// Tests of the decision about slow runs, and of the run time model that it relies on.
#define BOOST_TEST_MODULE slow_run
#include "../src/node/job_metrics.h"
#include "../src/pool/run_time_model.h"
#include "../src/pool/slow_run.h"

#include "lovage/core.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace lovage;
using namespace lovage::pool;
using std::chrono::milliseconds;

namespace {

const double logSeven = std::log(7);

// A run on a well-known server at 5% of seven times its predicted time. It misses its objective
// and, with the default time left, its deadline.
SlowRunEvidence slowRun()
{
    SlowRunEvidence evidence;
    evidence.elapsed = milliseconds(270);
    evidence.total = *projectRunTime({evidence.elapsed, evidence.elapsed}, 5);
    evidence.predicted = milliseconds(700);
    evidence.serverSamples = 50;
    evidence.untilObjective = milliseconds(900);
    evidence.untilDeadline = milliseconds(1230);
    evidence.stopTime = milliseconds(50);
    return evidence;
}

// Neighbour that ran at the same time and took this multiple of its usual time.
std::pair<ObservedRun, RunTimeSpread> neighbour(double factor)
{
    return {{std::log(factor), 0.05, true}, {}};
}

template<class Action>
bool decides(const SlowRunEvidence &evidence, SlowRunCause cause)
{
    const SlowRunDecision decision = decideSlowRun(evidence);
    BOOST_TEST_MESSAGE(toString(decision.cause()) << ' ' << decision.slowServerProbability);
    return std::holds_alternative<Action>(decision.action) && decision.cause() == cause;
}

} // namespace

// Guards against moving the run of a long job, whose siblings are as slow elsewhere, and against
// keeping a job that no server can end in time.
BOOST_AUTO_TEST_CASE(siblings_show_a_long_job)
{
    SlowRunEvidence evidence = slowRun();
    evidence.siblings = {{logSeven, 0.05}};
    BOOST_TEST(decides<GiveUpJob>(evidence, SlowRunCause::LongJob));
    BOOST_TEST(decideSlowRun(evidence).isStepLong);
    evidence.untilDeadline = std::chrono::seconds(10);
    evidence.untilObjective = milliseconds(900);
    evidence.fastestSlowness = 0.99;
    evidence.wasMoved = true;
    BOOST_TEST(decides<KeepRun>(evidence, SlowRunCause::MovedBefore));
}

// Guards against blaming a server on which other work has its usual speed.
BOOST_AUTO_TEST_CASE(neighbours_at_usual_speed_show_a_long_job)
{
    SlowRunEvidence evidence = slowRun();
    evidence.serverSamples = 0;
    evidence.neighbours = {neighbour(1.1), neighbour(0.8)};
    BOOST_TEST(decides<GiveUpJob>(evidence, SlowRunCause::LongJob));
}

// Guards against leaving a run on a server that became slow.
BOOST_AUTO_TEST_CASE(slow_neighbours_show_a_slow_server)
{
    SlowRunEvidence evidence = slowRun();
    evidence.neighbours = {neighbour(6), neighbour(8)};
    BOOST_TEST(decides<MoveRun>(evidence, SlowRunCause::SlowServer));
    BOOST_TEST(!decideSlowRun(evidence).isStepLong);
}

// Guards against taking the usual speed of a server for that of a long job that it runs: the server
// became slow during the run, as the siblings elsewhere and the neighbours show.
BOOST_AUTO_TEST_CASE(server_becomes_slow_during_a_run)
{
    SlowRunEvidence evidence = slowRun();
    evidence.siblings = {{0.1, 0.05}};
    std::pair<ObservedRun, RunTimeSpread> earlier = neighbour(1);
    earlier.first.isConcurrent = false;
    evidence.neighbours = {neighbour(6), earlier};
    BOOST_TEST(decides<MoveRun>(evidence, SlowRunCause::SlowServer));
}

// Guards against a job whose siblings are all on one slow server: they are no evidence, and the
// other work on the server decides.
BOOST_AUTO_TEST_CASE(siblings_on_the_same_server_prove_nothing)
{
    SlowRunEvidence evidence = slowRun();
    evidence.neighbours = {neighbour(6), neighbour(7)};
    evidence.siblings.clear();
    BOOST_TEST(decides<MoveRun>(evidence, SlowRunCause::SlowServer));
}

// Guards against a second move: the earlier run is evidence, and the job is given up if it is late.
BOOST_AUTO_TEST_CASE(run_is_moved_at_most_once)
{
    SlowRunEvidence evidence = slowRun();
    evidence.neighbours = {neighbour(6), neighbour(7)};
    evidence.wasMoved = true;
    BOOST_TEST(std::holds_alternative<GiveUpJob>(decideSlowRun(evidence).action));
}

// Guards against a decision from a coarse projection: a reported 3 percent may be 3.99.
BOOST_AUTO_TEST_CASE(early_progress_gives_no_job_up)
{
    SlowRunEvidence evidence = slowRun();
    evidence.elapsed = milliseconds(50);
    // 1,282 ms at 3.9 percent, and a run that began 10 ms late.
    evidence.total = *projectRunTime({evidence.elapsed, evidence.elapsed}, 3);
    evidence.untilObjective = evidence.untilDeadline = milliseconds(1240);
    BOOST_TEST(!std::holds_alternative<GiveUpJob>(decideSlowRun(evidence).action));
    BOOST_TEST(!projectRunTime({milliseconds(300), milliseconds(300)}, 1));
    BOOST_TEST(projectRunTime({milliseconds(50), milliseconds(50)}, 3)->error
               > projectRunTime({milliseconds(50), milliseconds(50)}, 30)->error);
}

// Guards against predictions that follow the long jobs of a queue, and against not learning their
// share.
BOOST_AUTO_TEST_CASE(long_jobs_do_not_change_the_prediction)
{
    Random random(5);
    RunTimeModel model;
    RunTimeModel withoutTail;
    for (int i = 0; i < 1000; ++i) {
        const double micros = 100'000 * std::exp(0.8 * (random.unit() - 0.5));
        const Duration ordinary(static_cast<int64_t>(micros));
        model.observe("queue", milliseconds(100), i % 30 == 10 ? ordinary * 7 : ordinary, 0);
        withoutTail.observe("queue", milliseconds(100), ordinary, 0);
    }
    const auto predicted = static_cast<double>(model.predict("queue", milliseconds(100)).count());
    const auto expected =
            static_cast<double>(withoutTail.predict("queue", milliseconds(100)).count());
    BOOST_TEST(std::abs(predicted / expected - 1) < 0.05);
    BOOST_TEST(std::abs(model.deviation("queue") - withoutTail.deviation("queue")) < 0.03);
    const RunTimeSpread spread = model.spread("queue");
    BOOST_TEST_MESSAGE("share " << spread.longShare << ", factor "
                                << std::exp(spread.longLogRatio));
    BOOST_TEST(spread.longShare > 0.01);
    BOOST_TEST(spread.longShare < 0.08);
    BOOST_TEST(std::abs(spread.longLogRatio - logSeven) < 0.4);
}

// Guards against taking every job for a long one after the run times of a queue have changed, or
// while all declared times are too short.
BOOST_AUTO_TEST_CASE(prediction_follows_a_change_of_the_queue)
{
    RunTimeModel model;
    for (int i = 0; i < 20; ++i)
        model.observe("short", milliseconds(100), milliseconds(400), 0);
    BOOST_TEST(model.predict("short", milliseconds(100)).count() > 300'000);
    for (int i = 0; i < 400; ++i)
        model.observe("queue", milliseconds(100), milliseconds(100), 0);
    for (int i = 0; i < 300; ++i)
        model.observe("queue", milliseconds(100), milliseconds(700), 0);
    BOOST_TEST(model.predict("queue", milliseconds(100)).count() > 250'000);
}

// Guards against decisions that no metric counts, or that are counted again at each tick.
BOOST_AUTO_TEST_CASE(decisions_are_counted_once)
{
    Metrics metrics;
    node::JobMetrics jobMetrics(metrics);
    PoolCounters counters;
    counters.runsMovedSlow = 2;
    counters.runsKeptSlow = 3;
    jobMetrics.recordSlowRuns(counters);
    counters.jobsGivenUpSlow = 4;
    jobMetrics.recordSlowRuns(counters);
    const std::string text = metrics.prometheusText();
    BOOST_TEST(text.find("lovage_slow_runs_total{decision=\"moved\"} 2") != std::string::npos);
    BOOST_TEST(text.find("lovage_slow_runs_total{decision=\"kept\"} 3") != std::string::npos);
    BOOST_TEST(text.find("lovage_slow_runs_total{decision=\"job-given-up\"} 4")
               != std::string::npos);
}
