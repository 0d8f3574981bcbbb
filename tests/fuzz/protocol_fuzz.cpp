// Decodes arbitrary bytes as a message of a peer without a key, so that damage reaches the message
// decoder. What decodes must encode again.

#include "lovage/protocol.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    static EnvelopeCodec codec("vm-b", 1, {});
    const auto decoded = codec.decode({reinterpret_cast<const char *>(data), size});
    if (decoded.has_value() && !codec.encode("vm-b", decoded.value().message).has_value()
        && size < EnvelopeLimits().maxDatagramBytes)
        std::abort();
    return 0;
}
