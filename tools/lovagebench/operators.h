// The rig under test, and the catalogue changes that run beside the load.
#pragma once

#include "lovagebench/runner.h"

#include <thread>

namespace lovage::bench {

struct Rig
{
    std::vector<EntryVm> vms;
    std::vector<Endpoint> fakes; // control endpoints of the lovagefake processes
    std::vector<Server> servers;
    std::string ownerToken;
    std::string operatorToken;
};

// Reads {"vms":[{"name","http","pid"}],"fakes":["address:port"],"servers":[{"kind","slots",
// "speed"}],"ownerToken","operatorToken"}. `mayBreak` lists VM names separated by commas.
Result<Rig> loadRig(const std::string &file, const std::string &mayBreak);

// Processor time, memory and control traffic of each daemon.
struct ControlUse
{
    Time at;
    std::vector<double> cpuSeconds;
    std::vector<double> rssMb;
    std::vector<double> controlBytes;
};

ControlUse readControlUse(const Rig &rig);

// Publishes and changes entries and measures when each VM has them in force.
class Operators
{
public:
    Operators(const Rig &rig, const Profile &profile);
    ~Operators() { stopChanging(); }

    Result<void> publishAll();
    // Response time minus run time of single requests before the load starts.
    std::vector<double> measureIdleLatency();
    void startChanging();
    void stopChanging();
    const std::vector<double> &inForce() const { return inForce_; } // ms, after stopChanging()
    uint64_t reverts() const { return reverts_; }

private:
    Result<uint64_t> change(const std::string &operation, size_t workClass, uint64_t replaces,
                            const std::string &requestId);
    std::optional<uint64_t> offsetOf(size_t vm) const;
    void run();

    const Rig &rig_;
    const Profile &profile_;
    std::vector<uint64_t> versions_;
    std::vector<uint64_t> seen_; // highest offset by VM
    std::vector<double> inForce_;
    uint64_t reverts_ = 0;
    std::atomic<bool> isStopping_ = false;
    std::thread thread_;
};

} // namespace lovage::bench
