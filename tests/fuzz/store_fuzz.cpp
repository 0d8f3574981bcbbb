// Fuzzes the decoders of the responses of the store.

#include "platform_checks.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    if (!fuzz::checkStoreResponse(bytes))
        std::abort();
    return 0;
}
