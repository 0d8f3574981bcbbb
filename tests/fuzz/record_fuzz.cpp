// Fuzzes the decoders of messages between VMs and of records of the journal.

#include "platform_checks.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (!fuzz::checkVmMessage(bytes) || !fuzz::checkJournalRecord(bytes))
        std::abort();
    return 0;
}
