// Requests to evacuate data centres, and their withdrawals.
#pragma once

#include "ledger.h"
#include "process_faults.h"

#include <array>
#include <set>
#include <string>
#include <string_view>

namespace lovage::soak {

class EvacuationFaults
{
public:
    struct Choice
    {
        size_t kind = 0;
        std::string dataCentre;

        auto operator<=>(const Choice &) const = default;
    };

    EvacuationFaults(const Options &options, Platform &platform)
        : options_(options), platform_(platform)
    { }

    Choice choose(Random &random) const
    {
        const size_t kind = random.below(kindNames.size());
        return {kind, dataCentreName(random.below(dataCentreCount(options_)))};
    }
    static std::string_view nameOf(const Choice &choice) { return kindNames[choice.kind]; }

    FaultTarget inject(const Choice &choice)
    {
        if (choice.kind == 3)
            return platform_.compactOperatorRecords(), FaultTarget {"store"};
        platform_.setEvacuated(choice.dataCentre, choice.kind != 1);
        if (choice.kind == 2) { // withdrawn and repeated
            platform_.setEvacuated(choice.dataCentre, false);
            platform_.setEvacuated(choice.dataCentre, true);
        }
        return {choice.dataCentre};
    }

private:
    // In the order of the numbers in inject().
    static constexpr std::array<std::string_view, 4> kindNames {"evacuate", "withdraw",
                                                                "evacuate-again", "compact"};

    const Options &options_;
    Platform &platform_;
};

// Evacuates the first data centre while nothing else is disturbed and calls go on. No task may
// start there after the time limit.
inline void evacuateUndisturbed(const Options &options, Platform &platform, Ledger &ledger)
{
    constexpr std::chrono::seconds limit {5};
    constexpr std::chrono::seconds checkedTime {6};
    for (size_t i = 0; i < dataCentreCount(options); ++i)
        platform.setEvacuated(dataCentreName(i), i == 0);
    std::set<std::string> servers;
    for (size_t server = 0; server < platform.serverCount(); ++server) {
        if (server % dataCentreCount(options) == 0)
            servers.insert("e" + std::to_string(server));
    }
    ledger.forbidStarts(std::move(servers), currentTime() + limit);
    const uint64_t before = ledger.starts();
    std::this_thread::sleep_for(limit + checkedTime);
    if (ledger.starts() == before)
        ledger.addViolation("", "nothing starts while one data centre is evacuated");
    ledger.forbidStarts({}, {});
    platform.setEvacuated(dataCentreName(0), false);
}

} // namespace lovage::soak
