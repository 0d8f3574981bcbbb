// The cases of the review by name. Each returns whether it could run, and notes in the record how a
// rule was broken.
#pragma once

#include "record.h"

#include <map>
#include <string>

namespace lovage::review {

using Case = bool (*)(Record &record, bool hasTrouble);

bool playKeeperKill(Record &record, bool hasTrouble);
bool playZoneCut(Record &record, bool hasTrouble);
bool playGangCut(Record &record, bool hasTrouble);
bool playLargeTask(Record &record, bool hasTrouble);
bool playLateStarts(Record &record, bool hasTrouble);
bool playLargeJobs(Record &record, bool hasTrouble);

inline const std::map<std::string, Case> &cases()
{
    static const std::map<std::string, Case> cases {
            {"keeper-kill", playKeeperKill}, {"zone-cut", playZoneCut},
            {"gang-cut", playGangCut},       {"large-task", playLargeTask},
            {"late-starts", playLateStarts}, {"large-jobs", playLargeJobs}};
    return cases;
}

} // namespace lovage::review
