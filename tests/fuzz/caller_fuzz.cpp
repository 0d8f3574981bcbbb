// Fuzzes the parsers of request bodies from callers and operators. An accepted submission must be
// equal to itself after serializing and parsing it again; an accepted catalogue change must at
// least parse again.

#include "lovage/backend.h"
#include "lovage/catalogue.h"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    using namespace lovage;
    const std::string_view bytes(reinterpret_cast<const char *>(data), size);
    const auto submission = backend::parseSubmissionBody(bytes);
    if (submission.has_value()) {
        const auto reparsed = backend::parseSubmissionBody(backend::serialize(submission.value()));
        if (!reparsed.has_value() || reparsed.value() != submission.value())
            std::abort();
    }
    const auto change = parseChange(bytes);
    if (change.has_value() && !parseChange(serializeChange(change.value())).has_value())
        std::abort();
    return 0;
}
