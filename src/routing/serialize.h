// Serialization functions for the types that occur both in messages between VMs and in journal
// records.
#pragma once

#include "../protocol/archive.h"

#include "lovage/routing.h"

namespace lovage {

template<class Archive>
void durationField(Archive &archive, Duration &duration)
{
    int64_t count = duration.count();
    archive(count);
    constexpr int64_t limit = INT64_MAX / 4; // so that adding a duration to a time cannot overflow
    if (count > limit || count < -limit)
        throw cereal::Exception("duration out of range");
    duration = Duration(count);
}

template<class Archive>
void timeField(Archive &archive, Time &time)
{
    constexpr Duration latest {INT64_MAX / 4}; // the limit of durationField()
    Duration sinceEpoch = std::min(time.time_since_epoch(), latest);
    durationField(archive, sinceEpoch);
    time = Time(sinceEpoch);
}

template<class Archive>
void flagField(Archive &archive, bool &flag)
{
    uint8_t byte = flag ? 1 : 0;
    archive(byte);
    flag = byte != 0;
}

template<class Archive, class Enum>
void enumField(Archive &archive, Enum &value, Enum last)
{
    auto byte = static_cast<uint8_t>(value);
    archive(byte);
    if (byte > static_cast<uint8_t>(last))
        throw cereal::Exception("enumeration value out of range");
    value = static_cast<Enum>(byte);
}

template<class Archive>
void serialize(Archive &archive, Demand &demand)
{
    archive(demand.milliCores, demand.memoryMb, demand.accelerators);
}

template<class Archive>
void serialize(Archive &archive, Step &step)
{
    archive(step.count, step.demand);
    durationField(archive, step.estimate);
    archive(step.after, step.requiredLabel, step.dataRack, step.maxPerServer);
    flagField(archive, step.sameRack);
    flagField(archive, step.isGang);
    flagField(archive, step.isEndless);
    flagField(archive, step.usesSpareCores);
    flagField(archive, step.isServing);
}

template<class Archive>
void serialize(Archive &archive, JobSpec &job)
{
    archive(job.id, job.payload, job.steps);
    flagField(archive, job.isStored);
    archive(job.repeatCount, job.firstDueMs);
    durationField(archive, job.repeatInterval);
}

template<class Archive>
void serialize(Archive &archive, TaskName &name)
{
    archive(name.job, name.occurrence, name.step, name.index);
}

template<class Archive>
void serialize(Archive &archive, QueueParameters &parameters)
{
    archive(parameters.queue, parameters.service, parameters.priority, parameters.attempts,
            parameters.stretchFactor);
    durationField(archive, parameters.objectiveSlack);
}

} // namespace lovage
