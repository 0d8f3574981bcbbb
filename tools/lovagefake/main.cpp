// Runs a simulated platform, backend servers and links between data centres as one process.
#include "lovagefake/fake.h"

#include "lovage/program.h"

#include <absl/flags/flag.h>

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::string, config, "", "Configuration file, JSON with comments");

namespace {

constexpr const char *usage =
        "Simulates the log service, the VM list, backend servers and links between data centres.\n"
        "Prints its bound ports as one JSON line, then runs until SIGTERM or SIGINT.\n"
        "Exit codes: 0 success, 1 failure, 2 usage or invalid configuration.";

} // namespace

int main(int argc, char **argv)
{
    lovage::parseCommandLine("lovagefake", usage, argc, argv);
    sigset_t stopSignals;
    sigemptyset(&stopSignals);
    sigaddset(&stopSignals, SIGTERM);
    sigaddset(&stopSignals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stopSignals, nullptr);
    const std::string file = absl::GetFlag(FLAGS_config);
    std::ifstream input(file);
    if (!input) {
        fmt::print(stderr, "cannot read the configuration file '{}' (--config)\n", file);
        return lovage::exitUsage;
    }
    std::ostringstream text;
    text << input.rdbuf();
    auto config = lovage::fake::parseFakeConfig(text.str());
    if (!config) {
        fmt::print(stderr, "{}: {}\n", file, config.error().reason);
        return lovage::exitUsage;
    }
    lovage::fake::Fake fake(std::move(config.value()));
    if (const auto listening = fake.listen(); !listening) {
        fmt::print(stderr, "{}\n", listening.error().reason);
        return lovage::exitFailure;
    }
    fmt::print("{}\n", fake.portsJson());
    std::fflush(stdout);
    int signal = 0;
    sigwait(&stopSignals, &signal);
    return lovage::exitSuccess;
}
