#include "evacuation_watch.h"

namespace lovage::node {

namespace {

int64_t millisBetween(Time begin, Time end)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(end - begin).count();
}

} // namespace

Gauge &EvacuationWatch::sinceOf(const std::string &dataCentre)
{
    return metrics_.gauge("lovage_evacuated_since_seconds",
                          "Unix time at which this VM learned that the data centre is evacuated; "
                          "0 while it is not",
                          {{"data_centre", dataCentre}});
}

void EvacuationWatch::recordChange(const EvacuationState::Change &change, uint64_t version,
                                   Time now)
{
    for (const std::string &dataCentre : change.begun) {
        sinceOf(dataCentre).set(toUnixMillis(now) / 1000);
        logEvent(LogLevel::Info, "evacuation-begun",
                 {{"data_centre", dataCentre}, {"version", version}});
    }
    for (const std::string &dataCentre : change.ended) {
        sinceOf(dataCentre).set(0);
        logEvent(LogLevel::Info, "evacuation-ended",
                 {{"data_centre", dataCentre}, {"version", version}});
    }
    if (!change.begun.contains(dataCentre_) && !change.ended.contains(dataCentre_))
        return;
    isEmpty_ = false;
    if (runs_)
        runs_->set(0);
}

void EvacuationWatch::recordRuns(size_t runs, Time begun, Time now)
{
    if (!runs_)
        runs_ = &metrics_.gauge("lovage_evacuated_runs",
                                "runs of this VM's pool while its data centre is evacuated",
                                {{"data_centre", dataCentre_}});
    runs_->set(static_cast<int64_t>(runs));
    const bool isEmpty = runs == 0;
    if (isEmpty && !isEmpty_)
        logEvent(LogLevel::Info, "evacuation-emptied",
                 {{"data_centre", dataCentre_}, {"after_ms", millisBetween(begun, now)}});
    isEmpty_ = isEmpty;
}

} // namespace lovage::node
