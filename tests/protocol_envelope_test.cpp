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

// Guards against a field that is lost in a round trip, and against a message type without a sample.
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

// Guards against truncated or altered messages that are accepted, crash the decoder or make it
// throw.
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

// Guards against a corrupt length field that makes the decoder throw or allocate without bound.
// Without a signature, the seeded random damage reaches the message decoder, which may accept or
// reject a message but must not crash.
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
    // Sets the length of the heartbeat's list of heard VMs to four billion elements.
    std::string corrupt = encode(Heartbeat {}, {});
    for (size_t i = corrupt.size() - 8; i < corrupt.size(); ++i)
        corrupt[i] = '\xff';
    const auto decoded = receiver.decode(corrupt);
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(toString(decoded.error().code) == toString(ErrorCode::DecodeFailed));
}

// Guards against messages refused during a key rotation, and against a removed key that is still
// accepted.
BOOST_AUTO_TEST_CASE(two_keys_are_valid_during_rotation)
{
    const WireMessage message = Heartbeat {};
    BOOST_TEST(codecOf("vm-b", {oldKey, newKey}).decode(encode(message, {oldKey})).has_value());
    BOOST_TEST(codecOf("vm-b", {oldKey, newKey}).decode(encode(message, {newKey})).has_value());
    BOOST_TEST(codecOf("vm-b", {newKey, oldKey}).decode(encode(message, {oldKey})).has_value());
    BOOST_TEST(!codecOf("vm-b", {newKey}).decode(encode(message, {oldKey})).has_value());
    BOOST_TEST(!codecOf("vm-b", {newKey}).decode(encode(message, {})).has_value());
    BOOST_TEST(!codecOf("vm-b", {}).decode(encode(message, {newKey})).has_value());
}

// Guards against a message that is accepted by a VM other than its receiver.
BOOST_AUTO_TEST_CASE(messages_for_another_receiver_are_refused)
{
    const auto decoded = codecOf("vm-c", {oldKey}).decode(encode(Heartbeat {}, {oldKey}));
    BOOST_REQUIRE(!decoded.has_value());
    BOOST_TEST(toString(decoded.error().code) == toString(ErrorCode::Unauthorized));
}

// Guards against sending datagrams that the kernel rejects or frames that exceed the receiver's
// limit.
BOOST_AUTO_TEST_CASE(oversize_messages_are_not_encoded)
{
    auto codec = codecOf("vm-a", {oldKey}, {1000, 100});
    const std::string longText(2000, 'x');
    BOOST_TEST(!codec.encode("vm-b", Leaving {"vm-a", "dc1", 1, longText}).has_value());
    BOOST_TEST(!codec.encode("vm-b", CatalogueRecords {0, 0, {{1, longText}}}).has_value());
    BOOST_TEST(codec.encode("vm-b", CatalogueRequest {}).has_value());
    BOOST_TEST(!codec.decode(longText).has_value());
}
