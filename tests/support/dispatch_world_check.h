// Checks replies against the starts that the fake servers have recorded.
#pragma once

#include "dispatch_world.h"

namespace lovage::test {

// Checks the starts of one submission against the definition of "started twice" in docs/design.md,
// section 3.7.
inline void checkStarts(const std::vector<StartRecord> &starts, bool isRepeatable,
                        std::vector<std::string> &violationTexts)
{
    for (size_t i = 0; i < starts.size(); ++i) {
        for (size_t j = 0; j < i; ++j) {
            const StartRecord &earlier = starts[j];
            const StartRecord &later = starts[i];
            if (earlier.id.index != later.id.index)
                continue;
            const std::string id = toString(later.id);
            if (earlier.id.attempt == later.id.attempt)
                violationTexts.push_back("attempt started twice: " + id);
            else if (!isRepeatable)
                violationTexts.push_back("second start of a task that is not repeatable: " + id);
            else if (earlier.endedAt > later.at)
                violationTexts.push_back("started while an earlier attempt ran: " + id);
            else if (earlier.end == RunEnd::Succeeded)
                violationTexts.push_back("started after an earlier attempt succeeded: " + id);
        }
    }
}

inline void checkAnswer(const Answer &answer, const std::vector<std::string> &inputs,
                        const std::string &id, std::vector<std::string> &violationTexts)
{
    bool isCorrect = answer.tasks.size() == inputs.size();
    for (size_t i = 0; isCorrect && i < answer.tasks.size(); ++i)
        isCorrect = answer.tasks[i].output == outputOf(inputs[i]);
    if (!isCorrect)
        violationTexts.push_back("incomplete or wrong answer: " + id);
}

inline std::vector<std::string> World::violations() const
{
    std::vector<std::string> violationTexts;
    std::map<std::string, std::vector<StartRecord>> bySubmission;
    for (const StartRecord &start : starts)
        bySubmission[toString(start.id.submission)].push_back(start);
    for (const auto &[id, records] : bySubmission) {
        const auto known = repeatableIds.find(id);
        checkStarts(records, known != repeatableIds.end() && known->second, violationTexts);
    }
    for (const auto &[request, reply] : replies) {
        // A keyed submission gets its id only with the reply.
        const SubmissionId &requestedId = requestIds.at(request);
        const std::string id = toString(requestedId.sequence == 0 ? reply.id : requestedId);
        const auto started = bySubmission.find(id);
        const bool hasStarted = started != bySubmission.end();
        const Error *error = errorOf(*reply.outcome);
        if (!error) {
            if (!cancels.contains(request))
                checkAnswer(std::get<Answer>(*reply.outcome), requestInputs.at(request), id,
                            violationTexts);
            continue;
        }
        const bool isBodyMismatch = error->code == ErrorCode::IdReused;
        if (error->verdict == Verdict::NotRun && hasStarted && !isBodyMismatch)
            violationTexts.push_back("not-run, but started: " + id + " " + error->reason);
        if (!hasStarted || error->code != ErrorCode::Cancelled)
            continue;
        for (const StartRecord &start : started->second) {
            if (start.at > reply.at)
                violationTexts.push_back("started after its cancellation was confirmed: " + id);
        }
    }
    for (const StartRecord &start : starts) {
        const FakeServer &server = servers[serverIndex(start.server)];
        if (server.leavingSince && start.at > *server.leavingSince + 2s)
            violationTexts.push_back("start on a leaving server: " + toString(start.id));
    }
    return violationTexts;
}

} // namespace lovage::test
