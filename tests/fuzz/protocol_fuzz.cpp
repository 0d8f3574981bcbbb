// Fuzzes the decoder of peer messages. The codec has no key, so mutated bytes reach the message
// decoder instead of failing authentication. A message that decodes must encode again, unless the
// input has at least the size of the largest datagram.

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
