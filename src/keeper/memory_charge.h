// Accounting of the memory that the jobs of a partition take.
#pragma once

#include "lovage/keeper.h"

#include <cstddef>

namespace lovage::keeper {

// Contribution of one object to a total. Ends with the object. The total must outlive it.
class MemoryCharge
{
public:
    explicit MemoryCharge(size_t &total) : total_(total) { }
    ~MemoryCharge() { total_ -= bytes_; }
    MemoryCharge(const MemoryCharge &) = delete;
    MemoryCharge &operator=(const MemoryCharge &) = delete;

    void add(size_t bytes)
    {
        bytes_ += bytes;
        total_ += bytes;
    }
    void subtract(size_t bytes)
    {
        bytes_ -= bytes;
        total_ -= bytes;
    }

private:
    size_t &total_;
    size_t bytes_ = 0;
};

// Memory of a job without its occurrences: the spec, the indexes of the partition and the blocks of
// the allocator. The payload counts twice, since a batch that is being sent has a copy.
size_t bytesOf(const JobSpec &job);
// Memory of an occurrence whose tasks are not all done, and of one that is complete.
size_t bytesOfOpenOccurrence(const JobSpec &job);
size_t bytesOfCompleteOccurrence(const JobSpec &job);
// Memory that a new job takes at once.
size_t bytesOfNewJob(const JobSpec &job);

} // namespace lovage::keeper
