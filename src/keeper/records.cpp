// Binary encoding of journal records.
#include "../routing/serialize.h"

#include "lovage/keeper.h"

#include <fmt/format.h>

#include <sstream>

namespace lovage {

namespace {

constexpr uint8_t recordVersion = 1;

} // namespace

template<class Archive>
void serialize(Archive &archive, JobAccepted &record)
{
    unixMillisField(archive, record.timestampMs);
    archive(record.epoch, record.job, record.queueParameters);
}

template<class Archive>
void serialize(Archive &archive, TaskEnded &record)
{
    unixMillisField(archive, record.timestampMs);
    archive(record.task, record.run);
    enumField(archive, record.end, RunEnd::Broken);
    archive(record.checkpoint);
}

template<class Archive>
void serialize(Archive &archive, JobCancelled &record)
{
    unixMillisField(archive, record.timestampMs);
    archive(record.job);
}

template<class Archive>
void serialize(Archive &archive, TasksRestarted &record)
{
    archive(record.job, record.occurrence, record.step, record.indexes, record.run);
}

std::string encodeRecord(const JournalRecord &record)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(recordVersion, static_cast<uint8_t>(record.index()));
    std::visit([&](const auto &alternative) { archive(alternative); }, record);
    return std::move(stream).str();
}

Result<JournalRecord> decodeRecord(std::string_view bytes)
{
    try {
        detail::BoundedInput archive(bytes);
        uint8_t version = 0;
        uint8_t index = 0;
        archive(version, index);
        if (version != recordVersion)
            return notRun(ErrorCode::DecodeFailed,
                          fmt::format("unsupported record version {}", version));
        JournalRecord record;
        if (index == 0)
            record = JobAccepted {};
        else if (index == 1)
            record = TaskEnded {};
        else if (index == 2)
            record = JobCancelled {};
        else if (index == 3)
            record = TasksRestarted {};
        else
            return notRun(ErrorCode::DecodeFailed, fmt::format("unknown record type {}", index));
        std::visit([&](auto &alternative) { archive(alternative); }, record);
        if (archive.remaining() > 0)
            return notRun(ErrorCode::DecodeFailed, "trailing bytes after the record");
        return record;
    } catch (const std::exception &exception) {
        return notRun(ErrorCode::DecodeFailed, exception.what());
    }
}

} // namespace lovage
