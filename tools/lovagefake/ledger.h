// Records every start on the simulated backend servers, as the ground truth of experiments.
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
    // An attempt starts again, or starts while another attempt of its task runs or after one has
    // succeeded (docs/design.md, section 3.7).
    StartedTwice,
    StartedOnLeaving,    // more than 2 s after the server was marked leaving
    StartedAfterUnknown, // after an inquiry or a stop was answered "unknown"
    Count_               // Number of kinds; not a kind.
};

// Counts starts by task id and lists violations. Starts on a server with an injected misbehaviour
// are counted apart and never as violations, since no dispatcher can prevent them. Thread safe.
class Ledger
{
public:
    static constexpr Duration leavingGrace = std::chrono::seconds(2);

    // `leavingSince` is empty for a server that is not leaving.
    void recordStart(const std::string &taskId, const std::string &server,
                     std::optional<Time> leavingSince, bool isMisbehaving, Time now);
    void recordEnd(const std::string &taskId, bool isSuccess, Time now);
    void recordUnknownAnswer(const std::string &taskId, const std::string &server);
    // Marks the running attempts on the server as failed. The crash lost the state of the server,
    // so answers that it gave before are no longer binding.
    void recordCrash(const std::string &server, Time now);
    void countMessage(const std::string &kind, uint64_t count = 1);

    uint64_t violations(Violation kind) const;
    // Totals, messages by kind, the first `maxListed` violations and the tasks with several
    // attempts. With `isFull`, also the number of starts of each submission.
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

    void addViolation(Violation kind, const std::string &taskId, const std::string &server);

    static constexpr size_t maxListed = 1000;

    mutable std::mutex mutex_;
    std::unordered_map<std::string, Task> tasks_; // by task id without the attempt
    std::unordered_map<std::string, uint64_t> startsOfSubmission_;
    std::unordered_set<std::string> unknownAnswers_; // "server/task id"
    std::map<std::string, uint64_t> messages_;
    std::array<uint64_t, static_cast<size_t>(Violation::Count_)> violationCounts_ {};
    std::vector<std::string> listedViolations_;
    uint64_t starts_ = 0;
    uint64_t misbehavingStarts_ = 0;
    uint64_t succeeded_ = 0;
    uint64_t failed_ = 0;
};

} // namespace lovage::fake
