#include "lovage/protocol.h"

namespace lovage {

namespace {

// Membership answers heartbeats and summaries of earlier incarnations, so that a process that was
// replaced while it was paused detects this and fences itself. They are therefore never stale.
bool isForMembership(const WireMessage &message)
{
    return std::holds_alternative<Heartbeat>(message) || std::holds_alternative<Summary>(message);
}

} // namespace

ReplayCheck ReplayGuard::check(const Envelope &envelope)
{
    const std::lock_guard lock(mutex_);
    Sender &sender = senders_[envelope.sender];
    if (envelope.incarnation < sender.incarnation)
        return isForMembership(envelope.message) ? ReplayCheck::Fresh
                                                 : ReplayCheck::StaleIncarnation;
    if (envelope.incarnation > sender.incarnation) {
        sender = Sender();
        sender.incarnation = envelope.incarnation;
    }
    const auto channel = static_cast<size_t>(envelope.channel);
    uint64_t &highest = sender.highest.at(channel);
    auto &seen = sender.seen.at(channel);
    const uint64_t number = envelope.number;
    if (number > highest) {
        const uint64_t skipped = std::min(number - highest, window);
        for (uint64_t i = 1; i <= skipped; ++i) {
            const uint64_t slot = (highest + i) % window;
            seen.at(slot / 64) &= ~(uint64_t(1) << (slot % 64));
        }
        highest = number;
    } else if (highest - number >= window) {
        return ReplayCheck::Replayed;
    }
    const uint64_t slot = number % window;
    const uint64_t bit = uint64_t(1) << (slot % 64);
    if (seen.at(slot / 64) & bit)
        return ReplayCheck::Replayed;
    seen.at(slot / 64) |= bit;
    return ReplayCheck::Fresh;
}

FaultInjector::FaultInjector(MessageFaults faults, uint64_t seed) : faults_(faults), random_(seed)
{ }

void FaultInjector::setFaults(const MessageFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

Duration FaultInjector::nextDelay()
{
    if (random_.unit() >= faults_.reorder)
        return faults_.delay;
    const auto extra = static_cast<double>(faults_.maxDelay.count()) * random_.unit();
    return faults_.delay + Duration(static_cast<int64_t>(extra));
}

std::vector<Duration> FaultInjector::nextDeliveries()
{
    const std::lock_guard lock(mutex_);
    std::vector<Duration> deliveries;
    if (random_.unit() < faults_.loss)
        return deliveries;
    deliveries.push_back(nextDelay());
    if (random_.unit() < faults_.duplicate)
        deliveries.push_back(nextDelay());
    return deliveries;
}

} // namespace lovage
