// Fuzzes the decoders of configurations and of jobs.

#include "platform_checks.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (!fuzz::checkConfiguration(bytes) || !fuzz::checkJob(bytes))
        std::abort();
    return 0;
}
