// Fuzzes the decoders of the entries of servers and of the records of VMs.

#include "platform_checks.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (!fuzz::checkServerEntry(bytes) || !fuzz::checkMemberRecord(bytes))
        std::abort();
    return 0;
}
