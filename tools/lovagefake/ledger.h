// Record of every start in the simulated backend servers: the ground truth of experiments.
#pragma once

#include "lovage/core.h"

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace lovage::fake {

enum class Violation {
    StartedTwice,        // docs/design.md, section 3.7
    StartedOnLeaving,    // more than 2 s after the server was marked leaving
    StartedAfterUnknown, // after an inquiry or a stop was answered "unknown"
    Count_               // Number of kinds; not a kind.
};

// Counts starts by task id and lists violations. Starts on a server that is told to misbehave are
// not held against the dispatcher: no dispatcher can prevent them. Thread safe.
class Ledger
{
public:
    static constexpr Duration leavingGrace = std::chrono::seconds(2);

    // `leavingSince` is empty for a server that stays.
    void started(const std::string &taskId, const std::string &server,
                 std::optional<Time> leavingSince, bool isMisbehaving, Time now);
    void ended(const std::string &taskId, bool isSuccess, Time now);
    void answeredUnknown(const std::string &taskId, const std::string &server);
    // The server lost its state, so what it answered before no longer binds it.
    void serverCrashed(const std::string &server, Time now);
    void countMessage(const std::string &kind, uint64_t count = 1);

    uint64_t violations(Violation kind) const;
    // Totals, messages by kind, the first violations and the tasks with several attempts; with
    // `isFull` also the number of starts and of finished tasks of each submission.
    std::string toJson(bool isFull) const;

private:
    struct Attempt
    {
        uint32_t number = 0;
        bool isRunning = true;
        bool isSuccess = false;
        std::string server;
    };
    struct Task
    {
        std::vector<Attempt> attempts;
    };

    void report(Violation kind, const std::string &taskId, const std::string &server);

    static constexpr size_t maxListed = 1000;

    mutable std::mutex mutex_;
    std::unordered_map<std::string, Task> tasks_; // by submission and index
    std::unordered_map<std::string, uint64_t> startsOfSubmission_;
    std::unordered_set<std::string> unknown_; // server and task id
    std::map<std::string, uint64_t> messages_;
    std::array<uint64_t, static_cast<size_t>(Violation::Count_)> counts_ {};
    std::vector<std::string> listed_;
    uint64_t starts_ = 0;
    uint64_t misbehavingStarts_ = 0;
    uint64_t succeeded_ = 0;
    uint64_t failed_ = 0;
};

} // namespace lovage::fake
