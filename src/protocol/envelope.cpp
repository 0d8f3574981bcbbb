#include "messages.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <fmt/format.h>

#include <sstream>
#include <utility>

namespace lovage {

namespace {

constexpr uint8_t protocolVersion = 1;
constexpr size_t macBytes = 16;
using Mac = std::array<unsigned char, macBytes>;

// Encoded fields of an envelope that precede the message.
struct Header
{
    uint8_t version = protocolVersion;
    uint32_t keyId = 0;
    bool isSigned = false;
    Channel channel = Channel::Datagram;
    std::string sender;
    std::string receiver;
    uint64_t incarnation = 0;
    uint64_t number = 0;
};

template<class Archive>
void serialize(Archive &archive, Header &header)
{
    archive(header.version, header.keyId);
    detail::boolField(archive, header.isSigned);
    detail::enumField(archive, header.channel, Channel::Stream);
    archive(header.sender, header.receiver, header.incarnation, header.number);
}

Mac macOf(const std::string &secret, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> full {};
    unsigned length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), full.data(), &length);
    Mac mac {};
    std::copy_n(full.begin(), macBytes, mac.begin());
    return mac;
}

template<size_t Index = 0>
WireMessage loadMessage(cereal::PortableBinaryInputArchive &archive, size_t index)
{
    if constexpr (Index < std::variant_size_v<WireMessage>) {
        if (index == Index) {
            std::variant_alternative_t<Index, WireMessage> message;
            archive(message);
            return message;
        }
        return loadMessage<Index + 1>(archive, index);
    } else {
        throw cereal::Exception("unknown message type");
    }
}

struct NameOf
{
    std::string_view operator()(const Heartbeat &) const { return "heartbeat"; }
    std::string_view operator()(const Summary &) const { return "summary"; }
    std::string_view operator()(const Leaving &) const { return "leaving"; }
    std::string_view operator()(const VmListUpdate &) const { return "vm-list-update"; }
    std::string_view operator()(const CatalogueRequest &) const { return "catalogue-request"; }
    std::string_view operator()(const CatalogueRecords &) const { return "catalogue-records"; }
    std::string_view operator()(const CatalogueSnapshot &) const { return "catalogue-snapshot"; }
    std::string_view operator()(const wire::ForwardSubmit &) const { return "forward-submit"; }
    std::string_view operator()(const wire::ForwardReply &) const { return "forward-reply"; }
    std::string_view operator()(const wire::ForwardCancel &) const { return "forward-cancel"; }
    std::string_view operator()(const wire::ForwardQuery &) const { return "forward-query"; }
    std::string_view operator()(const wire::Lend &) const { return "lend"; }
    std::string_view operator()(const wire::LendReply &) const { return "lend-reply"; }
    std::string_view operator()(const wire::LendResult &) const { return "lend-result"; }
    std::string_view operator()(const wire::LendInquiry &) const { return "lend-inquiry"; }
    std::string_view operator()(const wire::LendStop &) const { return "lend-stop"; }
    std::string_view operator()(const wire::LendInquiryReply &) const
    {
        return "lend-inquiry-reply";
    }
    std::string_view operator()(const LoanRequest &) const { return "loan-request"; }
    std::string_view operator()(const LoanGrant &) const { return "loan-grant"; }
    std::string_view operator()(const wire::LedgerHandover &) const { return "ledger-handover"; }
    std::string_view operator()(const wire::LedgerAck &) const { return "ledger-ack"; }
    std::string_view operator()(const wire::LedgerMoved &) const { return "ledger-moved"; }
    std::string_view operator()(const wire::Introduction &) const { return "introduction"; }
};

Error malformed(std::string reason)
{
    return notRun(ErrorCode::DecodeFailed, std::move(reason));
}

} // namespace

std::string_view messageName(const WireMessage &message)
{
    return std::visit(NameOf(), message);
}

bool isDatagram(const WireMessage &message)
{
    return std::holds_alternative<Heartbeat>(message) || std::holds_alternative<Summary>(message)
            || std::holds_alternative<Leaving>(message)
            || std::holds_alternative<LoanRequest>(message)
            || std::holds_alternative<LoanGrant>(message);
}

bool carriesWork(const WireMessage &message)
{
    return std::visit(
            [](const auto &typed) {
                using Message = std::decay_t<decltype(typed)>;
                return std::
                               is_same_v<
                                       Message,
                                       wire::ForwardSubmit> || std::is_same_v<Message, wire::ForwardReply> || std::is_same_v<Message, wire::ForwardCancel> || std::is_same_v<Message, wire::ForwardQuery> || std::is_same_v<Message, wire::Lend> || std::is_same_v<Message, wire::LendReply> || std::is_same_v<Message, wire::LendResult> || std::is_same_v<Message, wire::LendInquiry> || std::is_same_v<Message, wire::LendInquiryReply> || std::is_same_v<Message, wire::LendStop> || std::is_same_v<Message, wire::LedgerHandover> || std::is_same_v<Message, wire::LedgerAck>;
            },
            message);
}

EnvelopeCodec::EnvelopeCodec(std::string vm, uint64_t incarnation, std::vector<PeerKey> keys,
                             EnvelopeLimits limits)
    : vm_(std::move(vm)), incarnation_(incarnation), keys_(std::move(keys)), limits_(limits)
{ }

const PeerKey *EnvelopeCodec::findKey(uint32_t id) const
{
    for (const PeerKey &key : keys_) {
        if (key.id == id)
            return &key;
    }
    return nullptr;
}

Result<std::string> EnvelopeCodec::encode(const std::string &receiver, const WireMessage &message)
{
    Header header;
    header.channel = isDatagram(message) ? Channel::Datagram : Channel::Stream;
    header.isSigned = !keys_.empty();
    header.keyId = keys_.empty() ? 0 : keys_.front().id;
    header.sender = vm_;
    header.receiver = receiver;
    header.incarnation = incarnation_;
    header.number = lastNumber_.at(static_cast<size_t>(header.channel)).fetch_add(1) + 1;

    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(header, static_cast<uint8_t>(message.index()));
        std::visit([&archive](const auto &value) { archive(value); }, message);
    }
    std::string bytes = std::move(stream).str();
    if (header.isSigned) {
        const Mac mac = macOf(keys_.front().secret, bytes);
        bytes.append(reinterpret_cast<const char *>(mac.data()), mac.size());
    }
    const size_t limit =
            header.channel == Channel::Datagram ? limits_.maxDatagramBytes : limits_.maxBytes;
    if (bytes.size() > limit)
        return notRun(ErrorCode::BodyTooLarge,
                      fmt::format("message {} of {} bytes exceeds {} bytes", messageName(message),
                                  bytes.size(), limit));
    return bytes;
}

Result<Envelope> EnvelopeCodec::decode(std::string_view bytes) const
{
    if (bytes.size() > limits_.maxBytes)
        return malformed("message is larger than the limit");
    try {
        detail::BoundedInput input(bytes);
        Header header;
        input(header);
        if (header.version != protocolVersion)
            return malformed(fmt::format("protocol version {} is not known", header.version));
        if (header.isSigned != !keys_.empty())
            return notRun(ErrorCode::Unauthorized,
                          "only one of sender and receiver has a peer key");
        const size_t trailer = header.isSigned ? macBytes : 0;
        if (header.isSigned) {
            const PeerKey *key = findKey(header.keyId);
            if (!key)
                return notRun(ErrorCode::Unauthorized,
                              fmt::format("key id {} is not known", header.keyId));
            if (input.remaining() < macBytes)
                return malformed("message ends before its signature");
            const std::string_view content = bytes.substr(0, bytes.size() - macBytes);
            const Mac mac = macOf(key->secret, content);
            if (CRYPTO_memcmp(mac.data(), bytes.data() + content.size(), macBytes) != 0)
                return notRun(ErrorCode::Unauthorized, "signature does not match");
        }
        if (header.receiver != vm_)
            return notRun(ErrorCode::Unauthorized, "message is for another VM");
        if (!isValidName(header.sender))
            return malformed("sender is not a VM name");
        uint8_t index = 0;
        input(index);
        Envelope envelope {std::move(header.sender),
                           std::move(header.receiver),
                           header.incarnation,
                           header.channel,
                           header.number,
                           loadMessage(input, index)};
        if (input.remaining() != trailer)
            return malformed("message has bytes after its end");
        return envelope;
    } catch (const std::exception &exception) {
        // cereal reports malformed input by exceptions, which must not leave the decoder.
        return malformed(exception.what());
    }
}

} // namespace lovage
