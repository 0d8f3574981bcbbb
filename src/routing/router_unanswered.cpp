// Offers that pools neither accept nor refuse in time.
#include "lovage/routing.h"

#include <fmt/format.h>

#include <algorithm>

namespace lovage {

Router::Part *Router::findOffer(const std::string &vm, const JobTicket &ticket)
{
    const auto found = requests_.find(ticket.number);
    if (found == requests_.end() || ticket.part >= found->second.parts.size())
        return nullptr;
    Request &request = found->second;
    Part &part = request.parts[ticket.part];
    JobTicket expected = request.offer.ticket;
    expected.part = ticket.part;
    expected.offer = part.offer;
    return part.vm == vm && expected == ticket ? &part : nullptr;
}

void Router::onAccepted(const AcceptedMessage &message)
{
    Part *part = findOffer(
            message.vm,
            {vms_.self().name, message.incarnation, message.number, message.part, message.offer});
    if (part)
        part->isAccepted = true;
}

// A pool refuses an offer that it reads too late. So if the pool answers the withdrawal of such an
// offer with "not run", nothing has run, and the job can be offered elsewhere. Without an answer it
// remains unknown whether a task has run.
void Router::withdrawUnanswered(Time now)
{
    // An answer that arrived before this time has been handled.
    const Time handledThrough = std::min(handledThrough_, now - inputLag_);
    for (auto &[number, request] : requests_) {
        if (request.isGivenUp)
            continue; // the parts are withdrawn already
        for (Part &part : request.parts) {
            if (part.isOffered && !part.vm.empty() && part.origin && !part.isAccepted
                && !part.isWithdrawn && handledThrough >= part.answerBy)
                withdrawUnanswered(request, part, now);
        }
    }
}

void Router::withdrawUnanswered(const Request &request, Part &part, Time now)
{
    ++unansweredOffers_;
    part.isWithdrawn = true;
    JobTicket ticket = request.offer.ticket;
    ticket.part = static_cast<uint32_t>(&part - request.parts.data());
    ticket.offer = part.offer;
    logEntries_.push_back({"offer-unanswered", request.offer.job.id,
                           fmt::format("number={} part={} vm={} after_us={}", ticket.number,
                                       ticket.part, part.vm, (now - request.arrived).count())});
    actions_.emplace_back(SendWithdraw {part.vm, ticket, part.origin});
    // Further jobs prefer other pools until the VM reports again.
    const auto row = vms_.rows().find(part.vm);
    if (row == vms_.rows().end())
        return;
    for (ServiceLoad &load : row->second.report.loads)
        load.inputLag = std::max(load.inputLag, options_.minAnswerTime);
}

} // namespace lovage
