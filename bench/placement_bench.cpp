#include "placement_costs.h"
#include "placement_sim_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <chrono>

ABSL_FLAG(uint64_t, seed, 1, "seed of the workload");
ABSL_FLAG(double, seconds, 90, "simulated seconds of arrivals");
ABSL_FLAG(std::string, policy, "all", "all, or the name of one policy");
ABSL_FLAG(std::string, scenario, "", "runs only scenarios whose name contains this text");
ABSL_FLAG(double, patience, lovage::EarliestFinishPolicy {}.waitPenalty,
          "factor of EarliestFinish on the expected finish when waiting");
ABSL_FLAG(bool, simulate, true, "runs the scenarios");
ABSL_FLAG(bool, costs, true, "measures the cost per operation");

namespace lovage::bench {

namespace {

struct NamedPolicy
{
    const char *name;
    Policy policy;
};

std::vector<Scenario> allScenarios()
{
    std::vector<Scenario> scenarios;
    const auto add = [&](const std::string &name, const auto &change) {
        for (const double load : {0.7, 0.9}) {
            Scenario scenario;
            scenario.name = fmt::format("{} {}", name, load);
            scenario.load = load;
            change(scenario);
            scenarios.push_back(scenario);
        }
    };
    add("plain", [](Scenario &scenario) {});
    add("slow", [](Scenario &scenario) { scenario.fault = Fault::SlowServers; });
    add("blackhole", [](Scenario &scenario) { scenario.fault = Fault::BlackHoles; });
    add("sizes", [](Scenario &scenario) { scenario.fault = Fault::WrongSizes; });
    add("shortlong", [](Scenario &scenario) { scenario.shortBesideLong = true; });
    add("waste1", [](Scenario &scenario) { scenario.wasteWeight = 1; });
    add("queue4", [](Scenario &scenario) { scenario.localQueue = 4; });
    add("lending", [](Scenario &scenario) { scenario.instances = 6; });
    add("lending-waste1", [](Scenario &scenario) {
        scenario.instances = 6;
        scenario.wasteWeight = 1;
    });
    return scenarios;
}

void printHeader()
{
    fmt::print("{:18} {:16} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} {:>6} "
               "{:>5} {:>5}\n",
               "scenario", "policy", "p50", "p99", "resp50", "resp99", "echo99", "job50", "job99",
               "msg/t", "jmsg/t", "waste%", "lend%", "fails", "eject");
}

void printOutcome(const Scenario &scenario, const char *policy, const Outcome &outcome)
{
    const auto tasks = static_cast<double>(outcome.tasks);
    const auto over = [](double left, double right) { return right > 0 ? left / right : 0; };
    fmt::print("{:18} {:16} {:6.3f} {:6.2f} {:6.3f} {:6.2f} {:6.2f} {:6.2f} {:6.2f} {:6.3f} "
               "{:6.3f} {:6.2f} {:6.2f} {:5} {:5}\n",
               scenario.name, policy, percentile(outcome.ratios, 0.5),
               percentile(outcome.ratios, 0.99),
               over(percentile(outcome.responses, 0.5), percentile(outcome.idealResponses, 0.5)),
               over(percentile(outcome.responses, 0.99), percentile(outcome.idealResponses, 0.99)),
               percentile(outcome.shortRatios, 0.99), percentile(outcome.jobRatios, 0.5),
               percentile(outcome.jobRatios, 0.99), over(double(outcome.messages), tasks),
               over(double(outcome.jobMessages), double(outcome.jobTasks)),
               100 * over(double(outcome.wasted), double(outcome.messages)),
               100 * over(double(outcome.lends), tasks), outcome.mostFailuresOfBlackHole,
               outcome.mostEjected);
}

void simulateAll()
{
    const EarliestFinishPolicy earliestFinish {absl::GetFlag(FLAGS_patience)};
    const std::vector<NamedPolicy> policies = {{"random", RandomPolicy {}},
                                               {"roundrobin", RoundRobinPolicy {}},
                                               {"leastoutstanding", LeastOutstandingPolicy {}},
                                               {"earliestfinish", earliestFinish}};
    const std::string wantedPolicy = absl::GetFlag(FLAGS_policy);
    printHeader();
    for (Scenario scenario : allScenarios()) {
        if (scenario.name.find(absl::GetFlag(FLAGS_scenario)) == std::string::npos)
            continue;
        scenario.seed = absl::GetFlag(FLAGS_seed);
        scenario.seconds = absl::GetFlag(FLAGS_seconds);
        Workload workload = makeWorkload(scenario);
        computeIdeal(workload);
        for (const NamedPolicy &policy : policies) {
            if (wantedPolicy != "all" && wantedPolicy != policy.name)
                continue;
            printOutcome(scenario, policy.name,
                         Simulation(scenario, policy.policy, workload).run());
        }
    }
}

} // namespace

} // namespace lovage::bench

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    if (absl::GetFlag(FLAGS_simulate))
        lovage::bench::simulateAll();
    if (absl::GetFlag(FLAGS_costs))
        lovage::bench::printCosts(absl::GetFlag(FLAGS_seed));
    return 0;
}
