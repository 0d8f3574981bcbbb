#define BOOST_TEST_MODULE protocol_corpus
#include <boost/test/unit_test.hpp>

#include "lovage/backend.h"
#include "lovage/catalogue.h"
#include "lovage/protocol.h"

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace lovage;

namespace {

std::vector<std::string> inputsOf(const std::string &target)
{
    std::vector<std::string> inputs;
    const std::filesystem::path folder =
            std::filesystem::path(LOVAGE_SOURCE_DIR) / "tests/fuzz/corpus" / target;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream stream(file.path(), std::ios::binary);
        inputs.emplace_back(std::istreambuf_iterator<char>(stream),
                            std::istreambuf_iterator<char>());
    }
    BOOST_REQUIRE(!inputs.empty());
    return inputs;
}

} // namespace

// Guards against regressions on fuzzer inputs: crashes of the peer message decoder, and decoded
// messages that cannot be encoded.
BOOST_AUTO_TEST_CASE(peer_inputs_found_by_the_fuzzer)
{
    EnvelopeCodec codec("vm-b", 1, {});
    size_t decodedCount = 0;
    for (const std::string &input : inputsOf("protocol")) {
        const auto decoded = codec.decode(input);
        if (!decoded.has_value())
            continue;
        ++decodedCount;
        BOOST_TEST(codec.encode("vm-b", decoded.value().message).has_value());
    }
    BOOST_TEST(decodedCount > 0U);
}

// Guards against regressions on fuzzer inputs: crashes of the parsers of callers' bodies, and
// bodies that change when they are serialized and parsed again.
BOOST_AUTO_TEST_CASE(caller_inputs_found_by_the_fuzzer)
{
    for (const std::string &input : inputsOf("caller")) {
        const auto body = backend::parseSubmissionBody(input);
        if (body.has_value()) {
            const auto again = backend::parseSubmissionBody(backend::serialize(body.value()));
            BOOST_TEST((again.has_value() && again.value() == body.value()));
        }
        const auto change = parseChange(input);
        if (change.has_value())
            BOOST_TEST(parseChange(serializeChange(change.value())).has_value());
    }
}
