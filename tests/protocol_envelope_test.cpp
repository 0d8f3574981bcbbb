#define BOOST_TEST_MODULE protocol_envelope
#include <boost/test/unit_test.hpp>

#include "protocol_samples.h"

#include <set>

using namespace lovage;

namespace {

const PeerKey oldKey {1, "0123456789abcdef-old"};
const PeerKey newKey {2, "0123456789abcdef-new"};

EnvelopeCodec codecOf(const std::string &vm, std::vector<PeerKey> keys, EnvelopeLimits limits = {})
{
    return EnvelopeCodec(vm, 42, std::move(keys), limits);
}

std::string encode(const WireMessage &message, std::vector<PeerKey> keys)
{
    auto codec = codecOf("vm-a", std::move(keys));
    const auto bytes = codec.encode("vm-b", message);
    BOOST_REQUIRE(bytes.has_value());
    return bytes.value();
}

} // namespace

// Guards against a field that is written and not read back, and against a type without a sample.
BOOST_AUTO_TEST_CASE(every_message_survives_a_round_trip)
{
    std::set<size_t> types;
    for (const WireMessage &message : sampleMessages()) {
        types.insert(message.index());
        const std::string bytes = encode(message, {oldKey});
        const auto decoded = codecOf("vm-b", {oldKey}).decode(bytes);
        BOOST_REQUIRE_MESSAGE(decoded.has_value(), messageName(message));
        BOOST_TEST(decoded.value().sender == "vm-a");
        BOOST_TEST(decoded.value().incarnation == 42U);
        BOOST_TEST(decoded.value().number == 1U);
        BOOST_TEST(encode(decoded.value().message, {oldKey}) == bytes);
    }
    BOOST_TEST(types.size() == std::variant_size_v<WireMessage>);
}

// Guards against a truncated or altered message that is accepted, crashes or escapes as exception.
BOOST_AUTO_TEST_CASE(damaged_messages_are_errors)
{
    auto receiver = codecOf("vm-b", {oldKey});
    for (const WireMessage &message : sampleMessages()) {
        const std::string bytes = encode(message, {oldKey});
        for (size_t length = 0; length < bytes.size(); ++length)
            BOOST_TEST(!receiver.decode(std::string_view(bytes).substr(0, length)).has_value());
        for (size_t i = 0; i < bytes.size(); ++i) {
            std::string damaged = bytes;
            damaged[i] = static_cast<char>(damaged[i] ^ 0x41);
            BOOST_TEST(!receiver.decode(damaged).has_value());
        }
    }
}

// Guards against a length field that makes the decoder allocate or throw: without a signature the
// damage reaches the message decoder. Seeded damage, any result but a crash is allowed.
BOOST_AUTO_TEST_CASE(unsigned_damage_is_contained)
{
    constexpr uint64_t seed = 20261204;
    BOOST_TEST_MESSAGE("seed " << seed);
    Random random(seed);
    auto receiver = codecOf("vm-b", {});
    size_t rejected = 0;
    const auto samples = sampleMessages();
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = encode(samples[random.below(samples.size())], {});
        for (uint64_t i = 0; i <= random.below(3); ++i)
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        if (!receiver.decode(bytes).has_value())
            ++rejected;
    }
    BOOST_TEST(rejected > 0U);
    // The list of heard VMs claims four billion elements.
    std::string lying = encode(Heartbeat {}, {});
    for (size_t i = lying.size() - 8; i < lying.size(); ++i)
        lying[i] = '\xff';
    const auto decoded = receiver.decode(lying);
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(toString(decoded.error().code) == toString(ErrorCode::DecodeFailed));
}

// Guards against an interruption while keys are changed, and against a removed key that still
// works.
BOOST_AUTO_TEST_CASE(two_keys_are_valid_during_a_change)
{
    const WireMessage message = Heartbeat {};
    BOOST_TEST(codecOf("vm-b", {oldKey, newKey}).decode(encode(message, {oldKey})).has_value());
    BOOST_TEST(codecOf("vm-b", {oldKey, newKey}).decode(encode(message, {newKey})).has_value());
    BOOST_TEST(codecOf("vm-b", {newKey, oldKey}).decode(encode(message, {oldKey})).has_value());
    BOOST_TEST(!codecOf("vm-b", {newKey}).decode(encode(message, {oldKey})).has_value());
    BOOST_TEST(!codecOf("vm-b", {newKey}).decode(encode(message, {})).has_value());
    BOOST_TEST(!codecOf("vm-b", {}).decode(encode(message, {newKey})).has_value());
}

// Guards against a message that is redirected to a VM it was not meant for.
BOOST_AUTO_TEST_CASE(messages_for_another_receiver_are_refused)
{
    const auto decoded = codecOf("vm-c", {oldKey}).decode(encode(Heartbeat {}, {oldKey}));
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(toString(decoded.error().code) == toString(ErrorCode::Unauthorized));
}

// Guards against datagrams that the kernel would refuse and frames beyond the limit of receivers.
BOOST_AUTO_TEST_CASE(oversize_messages_are_not_encoded)
{
    auto codec = codecOf("vm-a", {oldKey}, {1000, 100});
    const std::string longText(2000, 'x');
    BOOST_TEST(!codec.encode("vm-b", Leaving {"vm-a", "dc1", 1, longText}).has_value());
    BOOST_TEST(!codec.encode("vm-b", CatalogueRecords {0, 0, {{1, longText}}}).has_value());
    BOOST_TEST(codec.encode("vm-b", CatalogueRequest {}).has_value());
    BOOST_TEST(!codec.decode(longText).has_value());
}
