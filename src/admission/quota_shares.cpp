#include "lovage/admission.h"

#include <algorithm>
#include <cassert>
#include <unordered_map>

namespace lovage {

namespace {

// Starts are counted in billionths, which is what a share of a thousandth of a start per second
// yields in one microsecond.
constexpr int64_t oneStart = 1'000'000'000;
// The measured use of an owner, and the part above it that a lender keeps for itself.
constexpr double useSmoothing = 0.3;
constexpr double giverMargin = 1.25;
constexpr double borrowerMargin = 1.1;
constexpr uint64_t smallestRequest = 1000;
// A lender that was short itself in this time lends nothing.
constexpr Duration shortMemory = std::chrono::seconds(1);

struct Given
{
    uint64_t amount = 0;
    Time from {};
    Time until {};
};

struct Borrowed
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
    uint64_t base = 0; // thousandths of a start per second, as all amounts
    int64_t tokens = 0;
    Time refilled {};
    std::vector<Given> given;
    std::vector<Borrowed> borrowed;
    // Use and shortage, for requests.
    uint64_t taken = 0;
    double use = 0;
    Time useMeasured {};
    Time lastShort {};
    Time lastRequest {};
    size_t nextPeer = 0;
};

// Product of an amount and the part of [from, until) inside [first, last), in billionths.
int64_t earned(uint64_t amount, Time from, Time until, Time first, Time last)
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
          fullFrom(givenStart + options.loanDuration + options.skewMargin)
    { }

    uint64_t retainedShare(const OwnerShare &owner) const
    {
        return static_cast<uint64_t>(static_cast<double>(owner.base) * options.retainedShare);
    }
    uint64_t share(const OwnerShare &owner, Time now) const;
    void refill(OwnerShare &owner, Time now) const;
    void measureUse(OwnerShare &owner, Time now) const;
    uint64_t wanted(const OwnerShare &owner, Time now) const;

    QuotaOptions options;
    Time started;
    Time fullFrom; // the loans of the predecessor have expired
    std::unordered_map<std::string, OwnerShare> owners;
    uint64_t nextLoan = 1;
};

uint64_t QuotaShares::State::share(const OwnerShare &owner, Time now) const
{
    uint64_t own = now < fullFrom ? retainedShare(owner) : owner.base;
    for (const Given &loan : owner.given) {
        if (now < loan.until)
            own -= std::min(own, loan.amount);
    }
    for (const Borrowed &loan : owner.borrowed)
        own += now < loan.expiry ? loan.amount : 0;
    return own;
}

void QuotaShares::State::refill(OwnerShare &owner, Time now) const
{
    const Time last = owner.refilled;
    if (now <= last)
        return;
    int64_t gained = earned(retainedShare(owner), last, std::min(now, fullFrom), last, now)
            + earned(owner.base, fullFrom, now, last, now);
    for (const Given &loan : owner.given)
        gained -= earned(loan.amount, loan.from, loan.until, last, now);
    gained = std::max<int64_t>(0, gained);
    for (const Borrowed &loan : owner.borrowed)
        gained += earned(loan.amount, loan.from, loan.expiry, last, now);
    std::erase_if(owner.given, [&](const Given &loan) { return loan.until <= now; });
    std::erase_if(owner.borrowed, [&](const Borrowed &loan) { return loan.expiry <= now; });
    const int64_t depth = static_cast<int64_t>(share(owner, now)) * options.burst.count();
    owner.tokens = std::min(owner.tokens + gained, std::max(depth, oneStart));
    owner.refilled = now;
}

void QuotaShares::State::measureUse(OwnerShare &owner, Time now) const
{
    const Duration passed = now - owner.useMeasured;
    if (passed < options.requestInterval)
        return;
    const double sample =
            1e9 * static_cast<double>(owner.taken) / static_cast<double>(passed.count());
    owner.use += useSmoothing * (sample - owner.use);
    owner.taken = 0;
    owner.useMeasured = now;
}

// What the owner needs above the share it will have left after the loans that expire soon.
uint64_t QuotaShares::State::wanted(const OwnerShare &owner, Time now) const
{
    const uint64_t present = share(owner, now);
    const uint64_t later = share(owner, now + 2 * options.requestInterval);
    const auto needed = static_cast<uint64_t>(owner.use * borrowerMargin);
    uint64_t wanted = needed > later ? needed - later : 0;
    const bool isShort = owner.lastShort > owner.lastRequest;
    if (isShort)
        wanted = std::max({wanted, present / 2, smallestRequest});
    return wanted;
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
        owner.refilled = now;
        owner.useMeasured = now;
    }
    state_->refill(owner, now);
    owner.isLimited = startsPerSecond > 0;
    const size_t vms = std::max<size_t>(1, state_->options.configuredVms.size());
    owner.base = uint64_t {startsPerSecond} * 1000 / vms;
}

bool QuotaShares::tryAcquire(const std::string &name, uint32_t count, Time now)
{
    const auto found = state_->owners.find(name);
    if (found == state_->owners.end() || !found->second.isLimited)
        return true;
    OwnerShare &owner = found->second;
    state_->refill(owner, now);
    const int64_t cost = int64_t {count} * oneStart;
    if (owner.tokens < cost) {
        owner.lastShort = now;
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
    owner.tokens += int64_t {count} * oneStart;
    owner.taken -= std::min<uint64_t>(owner.taken, count);
}

uint32_t QuotaShares::available(const std::string &name, Time now)
{
    const auto found = state_->owners.find(name);
    if (found == state_->owners.end() || !found->second.isLimited)
        return UINT32_MAX;
    state_->refill(found->second, now);
    return static_cast<uint32_t>(found->second.tokens / oneStart);
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
        const uint64_t amount = state_->wanted(owner, now);
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
        || request.borrower == options.vm || now < state_->fullFrom)
        return std::nullopt;
    OwnerShare &owner = found->second;
    state_->refill(owner, now);
    state_->measureUse(owner, now);
    if (owner.lastShort != Time {} && now - owner.lastShort < shortMemory)
        return std::nullopt;
    uint64_t lent = 0;
    for (const Given &loan : owner.given)
        lent += loan.amount;
    const uint64_t kept =
            std::max(state_->retainedShare(owner), static_cast<uint64_t>(owner.use * giverMargin));
    const uint64_t lendable = owner.base > lent + kept ? owner.base - lent - kept : 0;
    const uint64_t amount = std::min(lendable, request.milliStartsPerSecond);
    if (amount == 0)
        return std::nullopt;
    const Time expiry = now + options.loanDuration;
    owner.given.push_back({amount, now, expiry + options.skewMargin});
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
    const bool known =
            std::any_of(owner.borrowed.begin(), owner.borrowed.end(), [&](const Borrowed &loan) {
                return loan.lender == grant.lender && loan.loan == grant.loan
                        && loan.lenderIncarnation == grant.lenderIncarnation;
            });
    if (known)
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
        bytes += owner.given.capacity() * sizeof(Given);
        bytes += owner.borrowed.capacity() * sizeof(Borrowed);
    }
    return bytes;
}

} // namespace lovage
