// Load generator and experiment: seeded load, check of every answer, JSON report.
#include "lovagebench/operators.h"
#include "lovagebench/report.h"
#include "lovagebench/runner.h"

#include "lovage/program.h"

#include <absl/flags/flag.h>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, rig, "", "Description of the rig, JSON as scripts/rig writes it");
ABSL_FLAG(std::string, profile, "teranga", "teranga or manhmoi");
ABSL_FLAG(uint64_t, seed, 1, "Seed of arrivals and run times");
ABSL_FLAG(double, seconds, 10, "Length of the load");
ABSL_FLAG(double, load, 0.3, "Share of the capacity of the backend servers");
ABSL_FLAG(std::string, policy, "earliest-finish", "Policy of the entry VMs, for the report");
ABSL_FLAG(std::string, faults, "", "Names of the faults that the experiment injects");
ABSL_FLAG(std::string, may_break, "", "Entry VMs whose connections a fault may break");
ABSL_FLAG(std::string, report, "", "File for the JSON report; standard output if empty");

using namespace lovage;
using namespace lovage::bench;

namespace {

constexpr const char *usage = "Loads the entry VMs of a rig, checks every answer and reports.\n"
                              "Exit codes: 0 success, 1 a count that must be zero is not,\n"
                              "2 usage or invalid rig description.";

bool contains(const std::string &list, const std::string &word)
{
    return ("," + list + ",").find("," + word + ",") != std::string::npos;
}

} // namespace

int main(int argc, char **argv)
{
    parseCommandLine("lovagebench", usage, argc, argv);
    auto profile = findProfile(absl::GetFlag(FLAGS_profile));
    const auto rig = loadRig(absl::GetFlag(FLAGS_rig), absl::GetFlag(FLAGS_may_break));
    if (!profile || !rig) {
        fmt::print(stderr, "{}\n", profile ? rig.error().reason : "unknown profile");
        return exitUsage;
    }
    const std::string faults = absl::GetFlag(FLAGS_faults);
    if (contains(faults, "wrong-sizes"))
        declareWrongSizes(*profile);
    if (contains(faults, "impossible-job"))
        addImpossibleClass(*profile);
    WorkloadOptions options;
    options.seed = absl::GetFlag(FLAGS_seed);
    options.length = Duration(static_cast<int64_t>(1e6 * absl::GetFlag(FLAGS_seconds)));
    options.load = absl::GetFlag(FLAGS_load);
    options.cancelShare = contains(faults, "cancel-wave") ? 0.2 : 0;
    options.resendShare = contains(faults, "resubmit") ? 0.2 : 0;
    if (contains(faults, "burst"))
        options.burstAt = options.length / 2;
    const auto work = planWorkload(*profile, rig.value().servers, options);

    IoThreads threads(rig.value().vms.size());
    Operators operators(rig.value(), *profile);
    if (const auto published = operators.publishAll(); !published) {
        fmt::print(stderr, "cannot publish the catalogue: {}\n", published.error().reason);
        return exitFailure;
    }
    ReportInput input;
    input.seed = options.seed;
    input.profile = profile->name;
    input.load = options.load;
    input.policy = absl::GetFlag(FLAGS_policy);
    input.faults = faults;
    input.addedLatency = operators.measureIdleLatency();
    const ControlUse before = readControlUse(rig.value());
    Runner runner(threads, *profile, work, {rig.value().vms, rig.value().ownerToken});
    operators.startChanging();
    runner.run();
    operators.stopChanging();
    input.control = controlSince(before, readControlUse(rig.value()));
    input.inForce = operators.inForce();
    input.reverts = operators.reverts();
    input.ideal = idealResponses(*profile, work, rig.value().servers);
    for (const ClassProfile &workClass : profile->classes)
        input.classNames.push_back(workClass.name);
    const Report report = makeReport(input, work, runner.records(), readLedgers(rig.value()));
    threads.stop();
    fmt::print(stderr, "response ratio by class: {}\n", report.ratiosByClass);
    const std::string file = absl::GetFlag(FLAGS_report);
    if (file.empty())
        fmt::print("{}\n", report.json);
    else
        std::ofstream(file) << report.json << "\n";
    return report.isClean ? exitSuccess : exitFailure;
}
