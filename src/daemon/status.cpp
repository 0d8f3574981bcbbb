#include "decision.h"

#include <boost/json.hpp>

namespace lovage::daemon {

namespace json = boost::json;

std::string DecisionLoop::statusText() const
{
    const Settings &settings = shared_.settings;
    const uint64_t offset = follower_.catalogue().offset();
    json::array members;
    members.push_back({{"vm", settings.name},
                       {"dataCentre", settings.dataCentre},
                       {"incarnation", shared_.incarnation},
                       {"state", membership_.isLeaving() ? "leaving" : "alive"},
                       {"catalogueOffset", offset},
                       {"self", true}});
    for (const Member &member : membership_.members())
        members.push_back({{"vm", member.name},
                           {"dataCentre", member.dataCentre},
                           {"incarnation", member.incarnation},
                           {"state", toString(member.state)},
                           {"catalogueOffset", member.catalogueOffset},
                           {"hearsThisVm", member.hearsThisVm},
                           {"self", false}});
    json::array lagging;
    for (const LaggingVm &vm : membership_.laggingBehind(offset))
        lagging.push_back({{"vm", vm.vm},
                           {"dataCentre", vm.dataCentre},
                           {"state", toString(vm.state)},
                           {"catalogueOffset", vm.catalogueOffset}});
    json::array alarms;
    const auto addAlarm = [&alarms](std::string_view code, std::string reason) {
        alarms.push_back({{"code", code}, {"reason", reason}});
    };
    if (follower_.state() == FollowerState::LogBehind)
        addAlarm("log-behind", "the log is shorter than the catalogue in force or differs from it");
    if (follower_.state() == FollowerState::Empty)
        addAlarm("no-catalogue", "no catalogue has been read yet");
    if (membership_.isFenced())
        addAlarm("fenced", "a newer incarnation of this VM exists");
    for (const std::string &vm : divergedPeers_)
        addAlarm("peer-diverged", "VM " + vm + " holds another catalogue record");
    json::object invariants;
    for (int i = 0; i < static_cast<int>(Promise::Count_); ++i) {
        const auto promise = static_cast<Promise>(i);
        const uint64_t violations = invariantViolations(promise);
        invariants[toString(promise)] = violations;
        if (violations > 0)
            addAlarm("invariant-violated", std::string(toString(promise)));
    }
    json::array servers;
    const Placement &placement = dispatcher_.placement();
    for (uint32_t i = 0; i < placement.serverCount(); ++i) {
        const BackendHealth health = placement.health(i);
        if (!health.inOwnShare)
            continue;
        servers.push_back({{"name", placement.info(i).name},
                           {"kind", toString(placement.info(i).kind)},
                           {"outstanding", health.outstanding},
                           {"ejected", health.ejected},
                           {"leaving", health.leaving},
                           {"consecutiveFailures", health.consecutiveFailures},
                           {"relativeRunTime", health.relativeRunTime}});
    }
    const Ledger &ledger = dispatcher_.ledger();
    const json::object status = {{"vm", settings.name},
                                 {"dataCentre", settings.dataCentre},
                                 {"incarnation", shared_.incarnation},
                                 {"state", toString(shared_.state.load())},
                                 {"catalogueOffset", offset},
                                 {"follower", toString(follower_.state())},
                                 {"relay", membership_.relay()},
                                 {"members", std::move(members)},
                                 {"lagging", std::move(lagging)},
                                 {"alarms", std::move(alarms)},
                                 {"invariants", std::move(invariants)},
                                 {"servers", std::move(servers)},
                                 {"inFlight", dispatcher_.inFlight()},
                                 {"ledger",
                                  {{"records", ledger.records()},
                                   {"bytes", ledger.bytes()},
                                   {"horizon", ledger.horizon()}}}};
    return json::serialize(status);
}

} // namespace lovage::daemon
