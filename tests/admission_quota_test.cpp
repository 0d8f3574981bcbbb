#define BOOST_TEST_MODULE admission_quota
#include "lovage/admission.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <numeric>

using namespace lovage;
using namespace std::chrono_literals;

namespace {

constexpr Time start {std::chrono::seconds(1000)};
constexpr uint32_t quota = 1000; // starts per second over all VMs
constexpr size_t vms = 4;

QuotaOptions optionsOf(size_t vm, uint64_t incarnation)
{
    QuotaOptions options;
    options.vm = "vm-" + std::to_string(vm);
    options.incarnation = incarnation;
    for (size_t i = 0; i < vms; ++i)
        options.configuredVms.push_back("vm-" + std::to_string(i));
    return options;
}

QuotaShares sharesOf(size_t vm, uint64_t incarnation, Time started)
{
    QuotaShares shares(optionsOf(vm, incarnation), started);
    shares.setQuota("a", quota, started);
    return shares;
}

LoanRequest requestFrom(size_t borrower, size_t lender, uint64_t amount, uint64_t incarnation = 1)
{
    return {"a", "vm-" + std::to_string(lender), "vm-" + std::to_string(borrower), incarnation,
            amount};
}

// Entry VMs that exchange loan messages over a network that loses, duplicates and delays them. VMs
// restart and become unreachable at random.
class LoanSimulation
{
public:
    explicit LoanSimulation(uint64_t seed) : random(seed)
    {
        for (size_t vm = 0; vm < vms; ++vm) {
            incarnations.push_back(1);
            // Clocks differ by up to 500 ms, within the skew margin.
            skews.push_back(Duration(random.below(500'000)));
            shares.push_back(sharesOf(vm, 1, start + skews[vm]));
            reachable.push_back(true);
        }
    }

    Time clockOf(size_t vm) const { return now + skews[vm]; }

    void send(size_t from, size_t to, const std::variant<LoanRequest, LoanGrant> &message)
    {
        if (!reachable[from] || !reachable[to] || random.below(5) == 0)
            return;
        const uint64_t copies = 1 + (random.below(5) == 0);
        for (uint64_t copy = 0; copy < copies; ++copy)
            messages.push_back({now + Duration(random.below(900'000)), to, message});
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(messages, [&](const Message &message) {
            if (message.at > now)
                return false;
            due.push_back(message);
            return true;
        });
        for (const Message &message : due) {
            if (const auto *request = std::get_if<LoanRequest>(&message.body)) {
                if (const auto grant = shares[message.to].grant(*request, clockOf(message.to)))
                    send(message.to, static_cast<size_t>(grant->borrower.back() - '0'), *grant);
            } else {
                shares[message.to].accept(std::get<LoanGrant>(message.body), clockOf(message.to));
            }
        }
    }

    void step()
    {
        now += 10ms;
        const uint64_t event = random.below(400);
        const size_t vm = random.below(vms);
        if (event == 0) {
            shares[vm] = sharesOf(vm, ++incarnations[vm], clockOf(vm));
        } else if (event < 3) {
            reachable[vm] = !reachable[vm];
        }
        deliver();
        for (size_t i = 0; i < vms; ++i) {
            // One VM at a time has high demand. The VM changes every four seconds.
            const bool busy = (now.time_since_epoch() / 4s) % vms == i;
            for (int count = 0; count < (busy ? 12 : 1); ++count)
                taken += shares[i].tryAcquire("a", 1, clockOf(i));
            std::vector<std::string> peers;
            for (size_t other = 0; other < vms; ++other) {
                if (other != i && reachable[other])
                    peers.push_back("vm-" + std::to_string(other));
            }
            for (const LoanRequest &request : shares[i].loanRequests(peers, clockOf(i)))
                send(i, static_cast<size_t>(request.lender.back() - '0'), request);
        }
    }

    uint64_t shareSum() const
    {
        uint64_t sum = 0;
        for (size_t vm = 0; vm < vms; ++vm)
            sum += shares[vm].milliShare("a", clockOf(vm));
        return sum;
    }

    struct Message
    {
        Time at;
        size_t to;
        std::variant<LoanRequest, LoanGrant> body;
    };
    Random random;
    Time now = start;
    std::vector<uint64_t> incarnations;
    std::vector<Duration> skews;
    std::vector<QuotaShares> shares;
    std::vector<bool> reachable;
    std::vector<Message> messages;
    uint64_t taken = 0;
};

} // namespace

// Guards against shares that add up to more than the quota under loss, duplication, reordering,
// restarts, partitions and clock skew, and against starts above the quota in any second.
BOOST_AUTO_TEST_CASE(shareSumNeverExceedsTheQuota)
{
    uint64_t most = 0;
    for (uint64_t seed = 1; seed <= 30; ++seed) {
        LoanSimulation simulation(seed);
        std::deque<uint64_t> lastSecond;
        for (int step = 0; step < 6000; ++step) {
            const uint64_t before = simulation.taken;
            simulation.step();
            BOOST_REQUIRE_MESSAGE(simulation.shareSum() <= uint64_t {quota} * 1000,
                                  "seed " << seed << " step " << step << ": "
                                          << simulation.shareSum());
            lastSecond.push_back(simulation.taken - before);
            if (lastSecond.size() > 100)
                lastSecond.pop_front();
            const uint64_t starts =
                    std::accumulate(lastSecond.begin(), lastSecond.end(), uint64_t {0});
            BOOST_REQUIRE_MESSAGE(starts <= quota * 105 / 100, "seed " << seed << ": " << starts);
            most = std::max(most, starts);
        }
    }
    // More than half of the quota on one busy VM needs loans: its base share is only a quarter.
    BOOST_TEST(most > quota / 2);
}

// Guards against a lender that keeps using what it lent, before or after the grant is sent.
BOOST_AUTO_TEST_CASE(lenderShareShrinksBeforeBorrowerShareGrows)
{
    QuotaShares lender = sharesOf(0, 1, start - 10s);
    QuotaShares borrower = sharesOf(1, 1, start - 10s);
    const auto grant = lender.grant(requestFrom(1, 0, 100'000), start);
    BOOST_REQUIRE(grant.has_value());
    BOOST_TEST(lender.milliShare("a", start) == 150'000U);
    BOOST_TEST(borrower.accept(*grant, start));
    BOOST_TEST(!borrower.accept(*grant, start));
    BOOST_TEST(borrower.milliShare("a", start) == 350'000U);
    // The borrower loses the loan at the expiry; the lender gets it back a skew margin later.
    BOOST_TEST(borrower.milliShare("a", start + 2s) == 250'000U);
    BOOST_TEST(lender.milliShare("a", start + 3s) == 150'000U);
    BOOST_TEST(lender.milliShare("a", start + 4s) == 250'000U);
}

// Guards against a borrower that adds an expired grant, or one for an earlier incarnation, to its
// share.
BOOST_AUTO_TEST_CASE(expiredAndForeignGrantsAreIgnored)
{
    QuotaShares lender = sharesOf(0, 1, start - 10s);
    QuotaShares borrower = sharesOf(1, 2, start - 10s);
    const auto stale = lender.grant(requestFrom(1, 0, 50'000, 1), start);
    BOOST_TEST(!borrower.accept(*stale, start));
    const auto grant = lender.grant(requestFrom(1, 0, 50'000, 2), start);
    BOOST_TEST(!borrower.accept(*grant, start + 2s));
    BOOST_TEST(borrower.milliShare("a", start + 2s) == 250'000U);
}

// Guards against a restarted VM that uses or lends what its previous incarnation has lent.
BOOST_AUTO_TEST_CASE(newIncarnationUsesOnlyTheRetainedShare)
{
    QuotaShares predecessor = sharesOf(0, 1, start - 10s);
    uint64_t lent = 0;
    while (const auto grant = predecessor.grant(requestFrom(1, 0, 1'000'000), start))
        lent += grant->milliStartsPerSecond;
    BOOST_TEST(lent == 200'000U);
    QuotaShares successor = sharesOf(0, 2, start + 10ms);
    BOOST_TEST(successor.milliShare("a", start + 1s) == 50'000U);
    BOOST_TEST(!successor.grant(requestFrom(1, 0, 1000), start + 1s));
    BOOST_TEST(successor.milliShare("a", start + 4s + 10ms) == 250'000U);
}

// Guards against a loan that yields tokens for the time after its expiry because the tokens were
// not refilled in between.
BOOST_AUTO_TEST_CASE(loanYieldsNoTokensAfterItsExpiry)
{
    QuotaShares lender = sharesOf(0, 1, start - 10s);
    QuotaShares borrower = sharesOf(1, 1, start - 10s);
    borrower.accept(*lender.grant(requestFrom(1, 0, 200'000), start), start);
    BOOST_TEST(borrower.available("a", start + 1s) == 18U);
    const Time expiry = start + 2s;
    BOOST_TEST(borrower.tryAcquire("a", 18, expiry - 1us));
    BOOST_TEST(borrower.available("a", expiry + 20ms) == 5U);
    BOOST_TEST(borrower.available("a", start + 10s) == 10U);
    BOOST_TEST(borrower.tryAcquire("a", 10, start + 10s));
    BOOST_TEST(!borrower.tryAcquire("a", 1, start + 10s));
}

// Guards against a lender that lends what it needs itself.
BOOST_AUTO_TEST_CASE(busyLenderLendsNothing)
{
    QuotaShares lender = sharesOf(0, 1, start - 10s);
    Time now = start;
    for (int i = 0; i < 400; ++i) {
        now += 10ms;
        lender.tryAcquire("a", 4, now);
    }
    BOOST_TEST(!lender.grant(requestFrom(1, 0, 100'000), now));
}

// Guards against refusing starts of an unlimited or unknown owner, and against a start that did not
// happen and still uses quota.
BOOST_AUTO_TEST_CASE(unlimitedOwnersAndRefundedStarts)
{
    QuotaShares shares = sharesOf(0, 1, start - 10s);
    shares.setQuota("free", 0, start);
    BOOST_TEST(shares.tryAcquire("free", 100'000, start));
    BOOST_TEST(shares.tryAcquire("unknown", 100'000, start));
    BOOST_TEST(shares.tryAcquire("a", 10, start));
    BOOST_TEST(!shares.tryAcquire("a", 1, start));
    shares.refund("a", 1, start);
    BOOST_TEST(shares.tryAcquire("a", 1, start));
}
