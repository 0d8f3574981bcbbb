// Serialization functions for the types that occur both in messages between VMs and in journal
// records.
#pragma once

#include "../protocol/archive.h"

#include "lovage/routing.h"

#include <algorithm>
#include <optional>

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

// Refuses a message or record that holds a value out of range. Applies to decoding only: the
// encoder must not fail.
template<class Archive>
void require(const Archive &, bool isInRange)
{
    if (Archive::is_loading::value && !isInRange)
        throw cereal::Exception("number out of range");
}

// A number from 0 to max. Such numbers are converted to times, where others would overflow.
template<class Archive>
void limitedField(Archive &archive, double &number, double max)
{
    archive(number);
    require(archive, number >= 0 && number <= max);
}

// A number in groups of 7 bits, the lowest first, so that small numbers take one byte. Used in
// reports, which are most of the traffic between VMs.
template<class Archive>
void varintField(Archive &archive, uint64_t &number)
{
    constexpr unsigned groupBits = 7;
    constexpr uint8_t moreFollows = 1U << groupBits;
    constexpr unsigned lastShift = 63;
    uint64_t rest = number;
    uint64_t decoded = 0;
    uint8_t byte = moreFollows;
    for (unsigned shift = 0; (byte & moreFollows) != 0; shift += groupBits) {
        byte = static_cast<uint8_t>(rest % moreFollows);
        rest >>= groupBits;
        byte |= rest > 0 ? moreFollows : 0;
        archive(byte);
        require(archive, shift < lastShift || byte <= 1);
        decoded |= static_cast<uint64_t>(byte % moreFollows) << shift;
    }
    number = decoded;
}

// Largest factor by which a time may be stretched.
constexpr double maxStretchFactor = 1000;

// Time of a step as its caller declared it, in milliseconds of 32 bits. The sum over all steps of a
// job, stretched by the largest factor, does not overflow.
template<class Archive>
void estimateField(Archive &archive, Duration &estimate)
{
    durationField(archive, estimate);
    require(archive,
            estimate >= Duration::zero() && estimate <= std::chrono::milliseconds(UINT32_MAX));
}

// Unix time in milliseconds, up to the year 2286.
template<class Archive>
void unixMillisField(Archive &archive, int64_t &millis)
{
    archive(millis);
    constexpr int64_t latest = 10'000'000'000'000;
    require(archive, millis >= 0 && millis <= latest);
}

template<class Archive>
void flagField(Archive &archive, bool &flag)
{
    uint8_t byte = flag ? 1 : 0;
    archive(byte);
    flag = byte != 0;
}

// A value that may be absent, which a byte before it tells. cereal's own functions read this byte
// as a bool, which may hold no other value than 0 or 1.
template<class Archive, class Value>
void optionalField(Archive &archive, std::optional<Value> &value)
{
    uint8_t isAbsent = value ? 0 : 1;
    archive(isAbsent);
    require(archive, isAbsent <= 1);
    if (Archive::is_loading::value)
        value = isAbsent != 0 ? std::nullopt : std::optional<Value>(std::in_place);
    if (value)
        archive(*value);
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
    estimateField(archive, step.estimate);
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
    archive(job.repeatCount);
    unixMillisField(archive, job.firstDueMs);
    durationField(archive, job.repeatInterval);
    constexpr Duration longest {INT64_MAX / 4}; // the limit of durationField()
    require(archive,
            job.repeatInterval >= Duration::zero()
                    && job.repeatInterval <= longest / std::max(job.repeatCount, 1U));
}

template<class Archive>
void serialize(Archive &archive, TaskName &name)
{
    archive(name.job, name.occurrence, name.step, name.index);
}

template<class Archive>
void serialize(Archive &archive, QueueParameters &parameters)
{
    archive(parameters.queue, parameters.service, parameters.priority, parameters.attempts);
    limitedField(archive, parameters.stretchFactor, maxStretchFactor);
    durationField(archive, parameters.objectiveSlack);
}

} // namespace lovage
