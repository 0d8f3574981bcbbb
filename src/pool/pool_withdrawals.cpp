// Withdrawal of offers that were not answered in time.
#include "pool_impl.h"

#include <fmt/format.h>

namespace lovage {

namespace {

// Answers are kept for this time. It exceeds the time from an offer to its withdrawal, also if the
// withdrawal is delayed.
constexpr Duration settledOfferLifetime = std::chrono::seconds(5);

} // namespace

// An offer that was made within the lifetime of the answers and is neither open nor settled was not
// accepted: an accepted job ends after the offer was made, and its answer is kept from then on.
void Pool::Implementation::withdrawUnanswered(const JobTicket &ticket, Time offeredAt, Time now)
{
    if (jobsByTicket_.contains(ticket)) {
        withdraw(ticket, now);
        return;
    }
    const bool isKnown = repeatAnswer(ticket);
    const bool isRecent = now < offeredAt + settledOfferLifetime;
    logEvent("withdrawal-without-job", {},
             fmt::format("vm={} number={} part={} offer={} known={} answered={}", ticket.vm,
                         ticket.number, ticket.part, ticket.offer, isKnown, isKnown || isRecent));
    if (isKnown || !isRecent)
        return;
    JobOffer offer;
    offer.ticket = ticket;
    offer.timing = OfferTiming {offeredAt, {}};
    settle(offer, {ticket, JobResult::Refused, "withdrawn"}, now);
    repeatAnswer(ticket);
}

void Pool::Implementation::settle(const JobOffer &offer, const JobAnswer &answer, Time now)
{
    if (!offer.timing)
        return; // the router is on this VM, so the answer cannot be lost
    if (settledOffers_.emplace(offer.ticket, answer).second)
        settledUntil_.emplace_back(now + settledOfferLifetime, offer.ticket);
}

bool Pool::Implementation::repeatAnswer(const JobTicket &ticket)
{
    const auto settled = settledOffers_.find(ticket);
    if (settled == settledOffers_.end())
        return false;
    actions_.emplace_back(settled->second);
    return true;
}

void Pool::Implementation::pruneSettledOffers(Time now)
{
    for (; !settledUntil_.empty() && settledUntil_.front().first <= now; settledUntil_.pop_front())
        settledOffers_.erase(settledUntil_.front().second);
}

} // namespace lovage
