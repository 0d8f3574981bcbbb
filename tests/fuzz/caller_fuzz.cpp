// Parses arbitrary bytes as the bodies that callers and operators send. What parses must come back
// unchanged after it was written again.

#include "lovage/backend.h"
#include "lovage/catalogue.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto body = backend::parseSubmissionBody(bytes);
    if (body.has_value()) {
        const auto again = backend::parseSubmissionBody(backend::serialize(body.value()));
        if (!again.has_value() || again.value() != body.value())
            std::abort();
    }
    const auto change = parseChange(bytes);
    if (change.has_value() && !parseChange(serializeChange(change.value())).has_value())
        std::abort();
    return 0;
}
