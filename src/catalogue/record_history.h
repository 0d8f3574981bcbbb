// Recent raw records, kept to send them to peers by offset and to compare histories with peers.
#pragma once

#include "lovage/catalogue.h"

#include <deque>

namespace lovage {

// A contiguous run of records that ends at the applied offset.
class RecordHistory
{
public:
    RecordHistory(size_t maxRecords, size_t maxBytes) : maxRecords_(maxRecords), maxBytes_(maxBytes)
    { }

    // Forgets all records; the next one follows the given offset.
    void restart(uint64_t offset, uint64_t digest);
    // Appends the record that follows the last one and drops the oldest beyond the bounds.
    void append(const LogRecord &record);
    // Digest of the record at an offset; nullopt if it is not known.
    std::optional<uint64_t> digestAt(uint64_t offset) const;
    // Records after a known offset, bounded in count and bytes; at least one if there is any.
    std::vector<LogRecord> after(uint64_t offset, size_t maxRecords, size_t maxBytes) const;

private:
    size_t maxRecords_;
    size_t maxBytes_;
    uint64_t baseOffset_ = 0; // the first kept record follows this offset
    uint64_t baseDigest_ = 0;
    size_t bytes_ = 0;
    std::deque<LogRecord> records_;
};

} // namespace lovage
