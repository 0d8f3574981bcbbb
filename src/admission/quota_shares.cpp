#include "lovage/admission.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>

namespace lovage {

namespace {

// One token is a billionth of a start: a share of a thousandth of a start per second yields one
// token per microsecond.
constexpr int64_t tokensPerStart = 1'000'000'000;
// Weight of the latest sample in the measured use of an owner.
constexpr double useSmoothing = 0.3;
// Factors on the measured use: the share that a lender keeps for itself, and the share that a
// borrower tries to have.
constexpr double lenderMargin = 1.25;
constexpr double borrowerMargin = 1.1;
// Smallest amount to request after a refused start, in thousandths of a start per second.
constexpr uint64_t minShortageRequest = 1000;
// A VM that has refused a start of an owner within this time lends nothing of that owner's share.
constexpr Duration shortageLifetime = std::chrono::seconds(1);

struct LentShare
{
    uint64_t amount = 0;
    Time from {};
    Time until {};
};

struct BorrowedShare
{
    std::string lender;
    uint64_t lenderIncarnation = 0;
    uint64_t loan = 0;
    uint64_t amount = 0;
    Time from {};
    Time expiry {};
};

struct OwnerShare
{
    bool isLimited = false;
    // Share of this VM without loans. The share and the amounts of all loans are in thousandths of
    // a start per second.
    uint64_t baseShare = 0;
    int64_t tokens = 0;
    Time refilledAt {};
    std::vector<LentShare> lent;
    std::vector<BorrowedShare> borrowed;
    // The use and the latest shortage determine the amounts to request and to lend.
    uint64_t taken = 0; // number of starts since the last measurement of the use
    double use = 0;     // smoothed use in thousandths of a start per second
    Time useMeasuredAt {};
    Time lastShortage {}; // time at which a start of the owner was last refused
    Time lastRequest {};
    size_t nextPeer = 0;
};

// Tokens that an amount yields in the intersection of [from, until) and [first, last).
int64_t accruedTokens(uint64_t amount, Time from, Time until, Time first, Time last)
{
    const Duration overlap = std::min(until, last) - std::max(from, first);
    return overlap > Duration::zero() ? static_cast<int64_t>(amount) * overlap.count() : 0;
}

} // namespace

class QuotaShares::State
{
public:
    State(QuotaOptions givenOptions, Time givenStart)
        : options(std::move(givenOptions)), started(givenStart),
          fullShareFrom(givenStart + options.loanDuration + options.skewMargin)
    { }

    uint64_t retainedShare(const OwnerShare &owner) const
    {
        return static_cast<uint64_t>(static_cast<double>(owner.baseShare) * options.retainedShare);
    }
    uint64_t share(const OwnerShare &owner, Time now) const;
    void refill(OwnerShare &owner, Time now) const;
    void measureUse(OwnerShare &owner, Time now) const;
    uint64_t amountToRequest(const OwnerShare &owner, Time now) const;

    QuotaOptions options;
    Time started;
    Time fullShareFrom; // time at which all loans of the previous incarnation have expired
    std::unordered_map<std::string, OwnerShare> owners;
    uint64_t nextLoan = 1;
};

uint64_t QuotaShares::State::share(const OwnerShare &owner, Time now) const
{
    uint64_t own = now < fullShareFrom ? retainedShare(owner) : owner.baseShare;
    for (const LentShare &loan : owner.lent) {
        if (now < loan.until)
            own -= std::min(own, loan.amount);
    }
    for (const BorrowedShare &loan : owner.borrowed)
        own += now < loan.expiry ? loan.amount : 0;
    return own;
}

void QuotaShares::State::refill(OwnerShare &owner, Time now) const
{
    const Time last = owner.refilledAt;
    if (now <= last)
        return;
    int64_t gained =
            accruedTokens(retainedShare(owner), last, std::min(now, fullShareFrom), last, now)
            + accruedTokens(owner.baseShare, fullShareFrom, now, last, now);
    for (const LentShare &loan : owner.lent)
        gained -= accruedTokens(loan.amount, loan.from, loan.until, last, now);
    gained = std::max<int64_t>(0, gained);
    for (const BorrowedShare &loan : owner.borrowed)
        gained += accruedTokens(loan.amount, loan.from, loan.expiry, last, now);
    std::erase_if(owner.lent, [&](const LentShare &loan) { return loan.until <= now; });
    std::erase_if(owner.borrowed, [&](const BorrowedShare &loan) { return loan.expiry <= now; });
    const int64_t bucketDepth = static_cast<int64_t>(share(owner, now)) * options.burst.count();
    owner.tokens = std::min(owner.tokens + gained, std::max(bucketDepth, tokensPerStart));
    owner.refilledAt = now;
}

void QuotaShares::State::measureUse(OwnerShare &owner, Time now) const
{
    const Duration passed = now - owner.useMeasuredAt;
    if (passed < options.requestInterval)
        return;
    const double sample =
            1e9 * static_cast<double>(owner.taken) / static_cast<double>(passed.count());
    owner.use += useSmoothing * (sample - owner.use);
    owner.taken = 0;
    owner.useMeasuredAt = now;
}

// Amount by which the expected use exceeds the share that remains when the loans that expire soon
// have ended.
uint64_t QuotaShares::State::amountToRequest(const OwnerShare &owner, Time now) const
{
    const uint64_t current = share(owner, now);
    const uint64_t remaining = share(owner, now + 2 * options.requestInterval);
    const auto needed = static_cast<uint64_t>(owner.use * borrowerMargin);
    uint64_t amount = needed > remaining ? needed - remaining : 0;
    const bool wasShort = owner.lastShortage > owner.lastRequest;
    if (wasShort)
        amount = std::max({amount, current / 2, minShortageRequest});
    return amount;
}

QuotaShares::QuotaShares(QuotaOptions options, Time started)
    : state_(std::make_unique<State>(std::move(options), started))
{ }

QuotaShares::~QuotaShares() = default;
QuotaShares::QuotaShares(QuotaShares &&) noexcept = default;
QuotaShares &QuotaShares::operator=(QuotaShares &&) noexcept = default;

void QuotaShares::setQuota(const std::string &name, uint32_t startsPerSecond, Time now)
{
    const auto [found, added] = state_->owners.try_emplace(name);
    OwnerShare &owner = found->second;
    if (added) {
        owner.refilledAt = now;
        owner.useMeasuredAt = now;
    }
    state_->refill(owner, now);
    owner.isLimited = startsPerSecond > 0;
    const size_t vms = std::max<size_t>(1, state_->options.configuredVms.size());
    owner.baseShare = uint64_t {startsPerSecond} * 1000 / vms;
}

bool QuotaShares::tryAcquire(const std::string &name, uint32_t count, Time now)
{
    const auto found = state_->owners.find(name);
    if (found == state_->owners.end() || !found->second.isLimited)
        return true;
    OwnerShare &owner = found->second;
    state_->refill(owner, now);
    const int64_t cost = int64_t {count} * tokensPerStart;
    if (owner.tokens < cost) {
        owner.lastShortage = now;
        return false;
    }
    owner.tokens -= cost;
    owner.taken += count;
    assert(owner.tokens >= 0);
    return true;
}

void QuotaShares::refund(const std::string &name, uint32_t count, Time now)
{
    const auto found = state_->owners.find(name);
    if (found == state_->owners.end() || !found->second.isLimited)
        return;
    OwnerShare &owner = found->second;
    owner.tokens += int64_t {count} * tokensPerStart;
    owner.taken -= std::min<uint64_t>(owner.taken, count);
}

uint32_t QuotaShares::available(const std::string &name, Time now)
{
    const auto found = state_->owners.find(name);
    if (found == state_->owners.end() || !found->second.isLimited)
        return UINT32_MAX;
    state_->refill(found->second, now);
    return static_cast<uint32_t>(found->second.tokens / tokensPerStart);
}

std::vector<LoanRequest> QuotaShares::loanRequests(const std::vector<std::string> &usablePeers,
                                                   Time now)
{
    std::vector<LoanRequest> requests;
    for (auto &[name, owner] : state_->owners) {
        if (!owner.isLimited || now - owner.lastRequest < state_->options.requestInterval)
            continue;
        state_->refill(owner, now);
        state_->measureUse(owner, now);
        const uint64_t amount = state_->amountToRequest(owner, now);
        if (amount == 0 || usablePeers.empty())
            continue;
        owner.lastRequest = now;
        const std::string &lender = usablePeers[owner.nextPeer++ % usablePeers.size()];
        requests.push_back({name, lender, state_->options.vm, state_->options.incarnation, amount});
    }
    return requests;
}

std::optional<LoanGrant> QuotaShares::grant(const LoanRequest &request, Time now)
{
    const QuotaOptions &options = state_->options;
    const auto found = state_->owners.find(request.owner);
    if (found == state_->owners.end() || !found->second.isLimited || request.lender != options.vm
        || request.borrower == options.vm || now < state_->fullShareFrom)
        return std::nullopt;
    OwnerShare &owner = found->second;
    state_->refill(owner, now);
    state_->measureUse(owner, now);
    if (owner.lastShortage != Time {} && now - owner.lastShortage < shortageLifetime)
        return std::nullopt;
    uint64_t lentAmount = 0;
    for (const LentShare &loan : owner.lent)
        lentAmount += loan.amount;
    const uint64_t kept =
            std::max(state_->retainedShare(owner), static_cast<uint64_t>(owner.use * lenderMargin));
    const uint64_t lendable =
            owner.baseShare > lentAmount + kept ? owner.baseShare - lentAmount - kept : 0;
    const uint64_t amount = std::min(lendable, request.milliStartsPerSecond);
    if (amount == 0)
        return std::nullopt;
    const Time expiry = now + options.loanDuration;
    owner.lent.push_back({amount, now, expiry + options.skewMargin});
    return LoanGrant {request.owner,
                      options.vm,
                      options.incarnation,
                      state_->nextLoan++,
                      request.borrower,
                      request.borrowerIncarnation,
                      amount,
                      expiry};
}

bool QuotaShares::accept(const LoanGrant &grant, Time now)
{
    const QuotaOptions &options = state_->options;
    const auto found = state_->owners.find(grant.owner);
    if (found == state_->owners.end() || grant.borrower != options.vm
        || grant.borrowerIncarnation != options.incarnation || grant.expiry <= now
        || grant.expiry > now + options.loanDuration + options.skewMargin)
        return false;
    OwnerShare &owner = found->second;
    state_->refill(owner, now);
    const bool isKnown = std::any_of(
            owner.borrowed.begin(), owner.borrowed.end(), [&](const BorrowedShare &loan) {
                return loan.lender == grant.lender && loan.loan == grant.loan
                        && loan.lenderIncarnation == grant.lenderIncarnation;
            });
    if (isKnown)
        return false;
    owner.borrowed.push_back({grant.lender, grant.lenderIncarnation, grant.loan,
                              grant.milliStartsPerSecond, now, grant.expiry});
    return true;
}

uint64_t QuotaShares::milliShare(const std::string &name, Time now) const
{
    const auto found = state_->owners.find(name);
    return found == state_->owners.end() ? 0 : state_->share(found->second, now);
}

size_t QuotaShares::stateBytes() const
{
    constexpr size_t nodeOverhead = 2 * sizeof(void *); // next pointer and cached hash
    size_t bytes = state_->owners.bucket_count() * sizeof(void *);
    for (const auto &[name, owner] : state_->owners) {
        bytes += nodeOverhead + sizeof(std::pair<const std::string, OwnerShare>);
        bytes += name.size() > 15 ? name.capacity() + 1 : 0;
        bytes += owner.lent.capacity() * sizeof(LentShare);
        bytes += owner.borrowed.capacity() * sizeof(BorrowedShare);
    }
    return bytes;
}

} // namespace lovage
