// State machine of the CatalogueFollower. The .cpp file holds Boost.MSM, which is slow to compile.
#pragma once

#include "lovage/catalogue.h"

#include <memory>

namespace lovage {

enum class FollowerSignal {
    StartedFromLog,  // a complete state was read from the log
    StartedFromPeer, // a complete state came from a peer
    LogMatches,      // the log answers and holds the applied record, unless retention dropped it
    LogFails,        // a read failed
    LogDiffers,      // the log is shorter than the applied offset or holds another record there
};

class FollowerMachine
{
public:
    FollowerMachine();
    ~FollowerMachine();
    FollowerMachine(const FollowerMachine &) = delete;
    FollowerMachine &operator=(const FollowerMachine &) = delete;

    // Returns whether the state changed. A signal without a transition changes nothing.
    bool process(FollowerSignal signal);
    FollowerState state() const;

private:
    struct Backend;
    std::unique_ptr<Backend> backend_;
};

} // namespace lovage
