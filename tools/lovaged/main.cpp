// Daemon of an entry VM.

#include "lovage/daemon.h"
#include "lovage/program.h"

#include <absl/flags/flag.h>

#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <pthread.h>

ABSL_FLAG(std::string, settings, "", "settings file (JSON with comments)");
ABSL_FLAG(bool, check, false, "validate the settings and exit");

namespace {

using namespace lovage;

constexpr const char *usage =
        "daemon of an entry VM of the task dispatcher.\n\n"
        "  lovaged --settings FILE\n"
        "  lovaged --settings FILE --check\n\n"
        "SIGTERM or SIGINT drains: new work is refused, work in flight finishes. A second signal\n"
        "ends the drain at once.\n"
        "Exit codes: 0 success, 1 failure, 2 usage or invalid settings.";

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

// Waits for stop signals until the daemon has stopped.
void waitForStop(Daemon &daemon, const sigset_t &signals)
{
    constexpr timespec poll {0, 50'000'000};
    while (daemon.state() != DaemonState::Stopped) {
        const int number = sigtimedwait(&signals, nullptr, &poll);
        if (number == SIGTERM || number == SIGINT)
            daemon.requestStop();
    }
}

int run(Settings settings)
{
    // Blocked before any thread starts, so that only waitForStop() receives them.
    const sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    setLogLevel(settings.logLevel);
    const std::string name = settings.name;
    auto daemon = Daemon::start(std::move(settings));
    if (!daemon.has_value()) {
        fmt::print(stderr, "lovaged: {}\n", daemon.error().reason);
        return exitFailure;
    }
    logEvent(LogLevel::Info, "started",
             {{"vm", name},
              {"incarnation", daemon.value()->incarnation()},
              {"http_port", daemon.value()->httpPort()},
              {"peer_port", daemon.value()->peerPort()}});
    waitForStop(*daemon.value(), signals);
    logEvent(LogLevel::Info, "stopped", {{"vm", name}});
    return exitSuccess;
}

} // namespace

int main(int argc, char **argv)
{
    returnFreedMemory();
    const auto rest = parseCommandLine("lovaged", usage, argc, argv);
    if (!rest.empty()) {
        fmt::print(stderr, "lovaged: unexpected argument '{}'\n", rest.front());
        return exitUsage;
    }
    const std::string file = absl::GetFlag(FLAGS_settings);
    if (file.empty()) {
        fmt::print(stderr, "lovaged: --settings FILE is required; see --help\n");
        return exitUsage;
    }
    SettingsResult settings = loadSettings(file);
    if (!settings.has_value()) {
        fmt::print(stderr, "{}\n", describe(file, settings.error()));
        return exitUsage;
    }
    if (absl::GetFlag(FLAGS_check)) {
        fmt::print("{}: valid\n", file);
        return exitSuccess;
    }
    return run(std::move(settings.value()));
}
