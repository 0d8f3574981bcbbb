#include "memory_charge.h"

#include "stored_job.h"

namespace lovage::keeper {

namespace {

// Nodes of the map of jobs and of the indexes, with a copy of the id in each.
constexpr size_t indexBytes = 700;
// Node of a map, and the headers of the blocks of an object with a few vectors.
constexpr size_t nodeBytes = 100;
constexpr size_t blockBytes = 16; // header of a block of the allocator

} // namespace

size_t bytesOf(const JobSpec &job)
{
    size_t bytes = sizeof(StoredJob) + indexBytes + 2 * job.payload.size();
    for (const Step &step : job.steps)
        bytes += sizeof(Step) + blockBytes + step.after.size() * sizeof(uint32_t)
                + step.requiredLabel.size() + step.dataRack.size();
    return bytes;
}

size_t bytesOfOpenOccurrence(const JobSpec &job)
{
    return nodeBytes + sizeof(Occurrence) + job.steps.size() * (sizeof(StepState) + blockBytes)
            + taskCount(job) * sizeof(StoredTask);
}

size_t bytesOfCompleteOccurrence(const JobSpec &job)
{
    return nodeBytes + sizeof(Occurrence)
            + job.steps.size() * (sizeof(std::vector<uint32_t>) + blockBytes)
            + taskCount(job) * sizeof(uint32_t);
}

size_t bytesOfNewJob(const JobSpec &job)
{
    return bytesOf(job) + bytesOfOpenOccurrence(job);
}

} // namespace lovage::keeper
