#include "shared.h"

namespace lovage {

std::string_view toString(DaemonState state)
{
    switch (state) {
    case DaemonState::Starting:
        return "starting";
    case DaemonState::Serving:
        return "serving";
    case DaemonState::Draining:
        return "draining";
    case DaemonState::Stopped:
        return "stopped";
    }
    return "unknown";
}

namespace daemon {

namespace {

// Buffer for the spans of one second at a few thousand sampled spans per second.
constexpr size_t maxSpans = 10000;

} // namespace

SharedState::SharedState(Settings daemonSettings, uint64_t daemonIncarnation, uint64_t seed)
    : settings(std::move(daemonSettings)), incarnation(daemonIncarnation),
      holder(fmt::format("{}.{:x}", settings.name, incarnation)), counters(metrics),
      tracer("lovaged", settings.trace.sampleRate, maxSpans, seed),
      redirect(std::make_unique<const std::string>())
{ }

void SharedState::setState(DaemonState next)
{
    {
        const std::lock_guard lock(mutex_);
        state = next;
        counters.state.set(static_cast<int64_t>(next));
    }
    changed_.notify_all();
}

bool SharedState::waitForState(DaemonState wanted, Duration timeout)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, timeout, [&] { return state == wanted; });
}

} // namespace daemon
} // namespace lovage
