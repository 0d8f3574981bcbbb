// Injects random faults one after the other, and undoes them.
#pragma once

#include "evacuations.h"
#include "ledger.h"
#include "network_faults.h"
#include "process_faults.h"
#include "server_faults.h"

#include <algorithm>

namespace lovage::soak {

class FaultInjector
{
public:
    FaultInjector(const Options &options, Fleet &fleet, Platform &platform)
        : options_(options), fleet_(fleet), random_(options.seed), serverRandom_(~options.seed),
          processFaults_(fleet, platform, schedule_), networkFaults_(options, fleet, schedule_),
          serverFaults_(platform, schedule_), evacuationRandom_(options.seed ^ 0xe),
          evacuations_(options, platform)
    { }

    // Injects faults until the duration of the soak has passed. Faults that are still in force then
    // remain until undoAll().
    void run()
    {
        const Time end = currentTime() + std::chrono::seconds(options_.seconds);
        while (currentTime() < end) {
            schedule_.wait(std::chrono::milliseconds(100 + static_cast<int>(random_.below(900))));
            inject(processFaults_, random_);
            if (options_.hasNetworkFaults && random_.unit() < networkFaultShare)
                inject(networkFaults_, random_);
            if (options_.hasServerFaults)
                injectServerFaults();
            if (options_.hasEvacuations && evacuationRandom_.unit() < evacuationShare)
                inject(evacuations_, evacuationRandom_);
            fleet_.startAll();
        }
    }
    void undoAll()
    {
        schedule_.runAll();
        fleet_.startAll();
    }
    uint64_t faultCount() const { return faultCount_; }

private:
    static constexpr double networkFaultShare = 0.6; // network faults per process fault
    static constexpr double serverFaultShare = 0.6;  // faults of 8 servers per process fault
    static constexpr double evacuationShare = 0.4;   // requests or withdrawals per process fault

    // The number of faults grows with the number of servers.
    void injectServerFaults()
    {
        constexpr uint32_t serversPerFault = 8;
        for (uint32_t i = 0; i < std::max(1U, options_.servers / serversPerFault); ++i) {
            if (serverRandom_.unit() < serverFaultShare)
                inject(serverFaults_, serverRandom_);
        }
    }
    template<typename Faults>
    void inject(Faults &faults, Random &random)
    {
        const auto choice = faults.choose(random);
        const std::string name(faults.nameOf(choice));
        if (options_.excludedFaults.contains(name))
            return;
        const FaultTarget target = faults.inject(choice);
        fmt::print("{} fault={} where={} for_ms={}\n", formatTime(currentTime()), name, target.name,
                   target.time.count());
        std::fflush(stdout);
        ++faultCount_;
    }

    const Options &options_;
    Fleet &fleet_;
    Random random_;
    // Faults of servers have a generator of their own, so that they don't change the other faults
    // of a seed.
    Random serverRandom_;
    Schedule schedule_;
    ProcessFaults processFaults_;
    NetworkFaults networkFaults_;
    ServerFaults serverFaults_;
    // A generator of its own, for the same reason.
    Random evacuationRandom_;
    EvacuationFaults evacuations_;
    uint64_t faultCount_ = 0;
};

} // namespace lovage::soak
