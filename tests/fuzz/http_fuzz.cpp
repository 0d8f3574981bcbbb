// Fuzzes the reader of HTTP requests, with chunked bodies, extensions and trailers.

#include "http_checks.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    if (!fuzz::checkHttpRequests({reinterpret_cast<const char *>(data), size}))
        std::abort();
    return 0;
}
