#include "peers.h"

namespace lovage::node {

namespace {

// A VM is lost if no report arrives from it within this time after its connection has failed.
constexpr Duration suspicionTimeout = std::chrono::milliseconds(300);
// A connection fails if sent bytes are not acknowledged within this time.
constexpr Duration ackTimeout = std::chrono::milliseconds(1000);

std::optional<std::string> vmByAddress(const VmTable &vms, const std::string &address)
{
    for (const auto &[name, row] : vms.rows()) {
        if (row.report.vm.address == address)
            return name;
    }
    return std::nullopt;
}

// Without the withdrawal, the pool runs the job until it ends, its deadline passes or this VM is
// lost to the pool.
void logUnsentWithdrawal(const std::string &vm, const VmMessage &message, std::string_view cause)
{
    const auto *withdrawal = std::get_if<WithdrawMessage>(&message);
    if (!withdrawal)
        return;
    logEvent(LogLevel::Warning, "withdrawal-unsent",
             {{"vm", vm}, {"number", withdrawal->ticket.number}, {"cause", cause}});
}

} // namespace

Peers::Peers(const NodeSettings &settings, const HolderOptions &holders, VmTable &vms,
             Handlers handlers)
    : vms_(vms), handlers_(std::move(handlers)), contacts_({}, holders, vms)
{
    for (const Endpoint &seed : settings.seeds)
        contacts_.addSeed(toString(seed));
}

Result<std::unique_ptr<Peers>> Peers::open(const NodeSettings &settings,
                                           const HolderOptions &holders, IoThreads &threads,
                                           VmTable &vms, Handlers handlers)
{
    std::unique_ptr<Peers> peers(new Peers(settings, holders, vms, std::move(handlers)));
    const Result<void> result = peers->listen(settings, threads);
    if (!result.has_value())
        return result.error();
    return peers;
}

Result<void> Peers::listen(const NodeSettings &settings, IoThreads &threads)
{
    auto datagrams =
            UdpSocket::open(threads, 0, settings.peer,
                            [this](const Endpoint &, std::string_view bytes) { onBytes(bytes); });
    if (!datagrams.has_value())
        return datagrams.error();
    reportSocket_ = std::move(datagrams.value());
    FrameOptions options;
    options.ackTimeout = ackTimeout;
    // Frames have the same source address as datagrams, so that a firewall needs one rule for both.
    options.localAddress = settings.peer.address;
    frameClient_ = std::make_unique<FrameClient>(
            threads, 0, options, [this](const FrameClient::Lost &lost) { onFramesLost(lost); });
    auto server = FrameServer::listen(threads, settings.peer, options,
                                      [this](const std::string &frame) { onBytes(frame); });
    if (!server.has_value())
        return server.error();
    frameServer_ = std::move(server.value());
    return boost::outcome_v2::success();
}

void Peers::onBytes(std::string_view bytes)
{
    auto message = decodeMessage(bytes);
    if (!message.has_value()) {
        logEvent(LogLevel::Warning, "message-malformed", {{"reason", message.error().reason}});
        return;
    }
    handlers_.onMessage(std::move(message.value()));
}

void Peers::send(const std::string &vm, const VmMessage &message)
{
    const VmTable::Row *row = vms_.find(vm);
    const auto to = row ? parseEndpoint(row->report.vm.address) : std::nullopt;
    if (to)
        frameClient_->send(*to, encodeMessage(message));
    else if (!reportUnsent(vm, message))
        logUnsentWithdrawal(vm, message, "unknown-vm");
}

// Notifies the sender of an offer or a batch that the message was not sent. Returns false for all
// other messages.
bool Peers::reportUnsent(const std::string &vm, const VmMessage &message)
{
    if (const auto *offer = std::get_if<OfferMessage>(&message))
        handlers_.onOfferUnsent(vm, offer->offer);
    else if (const auto *batch = std::get_if<BatchMessage>(&message))
        handlers_.onBatchUnsent(vm, batch->batch);
    else
        return false;
    return true;
}

// Unsent frames are sent again if there was a connection, except for offers and batches: those are
// reported as unsent, so that the work can be placed elsewhere.
void Peers::onFramesLost(const FrameClient::Lost &lost)
{
    const auto vm = vmByAddress(vms_, toString(lost.to));
    logEvent(LogLevel::Info, "connection-lost",
             {{"vm", vm.value_or("unknown")},
              {"address", toString(lost.to)},
              {"was_connected", lost.wasConnected},
              {"unsent", lost.unsent.size()},
              {"interrupted", lost.interrupted}});
    if (!vm)
        return;
    if (lost.wasConnected)
        suspects_.try_emplace(*vm, currentTime());
    for (const std::string &frame : lost.unsent) {
        const auto message = decodeMessage(frame);
        if (!message.has_value())
            continue;
        if (reportUnsent(*vm, message.value()))
            continue;
        if (lost.wasConnected)
            frameClient_->send(lost.to, frame);
        else
            logUnsentWithdrawal(*vm, message.value(), "not-connected");
    }
}

// Reports to different targets differ only in who follows whom and in the report interval. Targets
// that get identical reports share one encoding.
void Peers::sendReport(VmReport report, const std::vector<ReportTarget> &targets)
{
    report.holders = contacts_.holdersToReport(currentTime());
    std::map<std::tuple<bool, bool, Duration>, std::string> encoded;
    for (const ReportTarget &target : targets) {
        const auto to = parseEndpoint(target.address);
        if (!to)
            continue;
        std::string &bytes =
                encoded[{target.isFollowing, target.isFollower, target.nextReportWithin}];
        if (bytes.empty()) {
            report.isFollowing = target.isFollowing;
            report.isReceiverFollower = target.isFollower;
            report.nextReportWithin = target.nextReportWithin;
            bytes = encodeMessage(report);
        }
        reportSocket_->send(*to, bytes);
    }
}

void Peers::sendIntroduction(const VmInfo &newcomer)
{
    contacts_.scheduleReport(newcomer.name);
    const auto to = parseEndpoint(newcomer.address);
    if (to)
        frameClient_->send(
                *to, encodeMessage(IntroductionMessage {contacts_.introductionFor(newcomer)}));
}

void Peers::tick(Time now)
{
    std::vector<std::string> lost;
    for (const auto &[vm, since] : suspects_) {
        if (now > since + suspicionTimeout)
            lost.push_back(vm);
    }
    for (const std::string &vm : lost) {
        const VmTable::Row *row = vms_.find(vm);
        const bool isSilent = row && row->lastReportAt < suspects_.at(vm);
        suspects_.erase(vm);
        if (isSilent)
            handlers_.onVmLost(vm, "connection-broken");
    }
}

} // namespace lovage::node
