#include "record_history.h"

namespace lovage {

void RecordHistory::restart(uint64_t offset, uint64_t digest)
{
    baseOffset_ = offset;
    baseDigest_ = digest;
    bytes_ = 0;
    records_.clear();
}

void RecordHistory::append(const LogRecord &record)
{
    bytes_ += record.data.size();
    records_.push_back(record);
    while (records_.size() > 1 && (records_.size() > maxRecords_ || bytes_ > maxBytes_)) {
        const LogRecord &oldest = records_.front();
        baseOffset_ = oldest.offset;
        baseDigest_ = recordDigest(oldest.data);
        bytes_ -= oldest.data.size();
        records_.pop_front();
    }
}

std::optional<uint64_t> RecordHistory::digestAt(uint64_t offset) const
{
    if (offset == baseOffset_)
        return baseDigest_;
    if (offset < baseOffset_ || offset > baseOffset_ + records_.size())
        return std::nullopt;
    return recordDigest(records_[offset - baseOffset_ - 1].data);
}

std::vector<LogRecord> RecordHistory::after(uint64_t offset, size_t maxRecords,
                                            size_t maxBytes) const
{
    std::vector<LogRecord> result;
    size_t bytes = 0;
    for (size_t i = offset - baseOffset_; i < records_.size() && result.size() < maxRecords; ++i) {
        bytes += records_[i].data.size();
        if (!result.empty() && bytes > maxBytes)
            break;
        result.push_back(records_[i]);
    }
    return result;
}

} // namespace lovage
