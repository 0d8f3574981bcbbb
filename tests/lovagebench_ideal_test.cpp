#define BOOST_TEST_MODULE lovagebench_ideal
#include "lovagebench/workload.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using namespace lovage::bench;
using namespace std::chrono_literals;

namespace {

Profile oneClass()
{
    return {"p", "o", 0.5, {{"c", BackendKind::Executor, false, 100, 1, 1, 1.0}}};
}

} // namespace

// Guards against a ratio measured from a wrong ideal; the expected times are computed by hand.
BOOST_AUTO_TEST_CASE(idealMatchesHandComputedSchedules)
{
    const std::vector<Server> servers {{BackendKind::Executor, 1, 1.0},
                                       {BackendKind::Executor, 1, 0.5}};
    // 100 ms on the fast server (ends at 100), 40 ms: slow 0+80 beats fast 100+40; 100 ms at 10:
    // fast 100+100 beats slow 80+200.
    const auto three = idealResponses(
            oneClass(), {{0ms, 0, {100ms}}, {0ms, 0, {40ms}}, {10ms, 0, {100ms}}}, servers);
    BOOST_TEST((three == std::vector<Duration> {100ms, 80ms, 190ms}));
    // A job ends with its last task: fast 50, then slow 100 ties with fast 100, then the other.
    const auto job = idealResponses(oneClass(), {{5ms, 0, {50ms, 50ms, 50ms}}}, servers);
    BOOST_TEST((job == std::vector<Duration> {100ms}));
}

// Guards against experiments that cannot be replayed and loads that are not what they say.
BOOST_AUTO_TEST_CASE(workloadIsSeededAndHasTheStatedLoad)
{
    const std::vector<Server> servers {{BackendKind::Executor, 8, 2.0},
                                       {BackendKind::Worker, 32, 1.0}};
    const Profile profile = findProfile("teranga").value();
    WorkloadOptions options;
    options.seed = 7;
    options.length = 200s;
    options.load = 0.5;
    const auto work = planWorkload(profile, servers, options);
    const auto again = planWorkload(profile, servers, options);
    BOOST_TEST(work.size() == again.size());
    BOOST_TEST((work.back().runTimes == again.back().runTimes));
    double executorSeconds = 0;
    double workerSeconds = 0;
    for (const Planned &planned : work) {
        for (const Duration runTime : planned.runTimes)
            (profile.classes[planned.workClass].isJob ? workerSeconds : executorSeconds) +=
                    std::chrono::duration<double>(runTime).count();
    }
    BOOST_TEST(executorSeconds / (16 * 200) == 0.5, boost::test_tools::tolerance(0.1));
    BOOST_TEST(workerSeconds / (32 * 200) == 0.5, boost::test_tools::tolerance(0.25));
}
