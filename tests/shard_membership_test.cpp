// Tests of the shard grants of a group member and their fencing tokens.
#define BOOST_TEST_MODULE shard_membership
#include "lovage/routing.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct MembershipFixture
{
    Time now = fromUnixMillis(1'700'000'000'000);
    ShardMembership membership {{}, now - std::chrono::seconds(2)}; // past its settle time

    std::optional<GroupRequest> nextRequest(bool wantsShards, bool isReleaseReady = true)
    {
        now += milliseconds(500);
        return membership.nextRequest(wantsShards, isReleaseReady, now);
    }
    uint64_t joinGeneration(bool isReleaseReady = true)
    {
        const auto request = nextRequest(true, isReleaseReady);
        BOOST_REQUIRE(request.has_value());
        return std::get<JoinGroup>(*request).generation;
    }
};

} // namespace

// Guards against a fencing token that differs from the generation of the group, which only
// increases.
BOOST_FIXTURE_TEST_CASE(token_is_the_generation_of_the_group, MembershipFixture)
{
    BOOST_TEST(joinGeneration() == 0U);
    BOOST_TEST(membership.onJoined({3, {0, 1}}, now));
    BOOST_TEST(membership.grants().at(0).token == 3U);
    BOOST_TEST(joinGeneration() == 3U);
    BOOST_TEST(membership.onJoined({5, {0, 1}}, now));
    BOOST_TEST(membership.grants().at(1).token == 5U);
}

// Guards against a second holder of a shard on which tasks still run. The previous holder may
// acknowledge the new generation only after they have ended.
BOOST_FIXTURE_TEST_CASE(shard_is_kept_until_no_task_runs_on_it, MembershipFixture)
{
    joinGeneration();
    membership.onJoined({3, {0, 1}}, now);
    joinGeneration();
    membership.onJoined({4, {0}}, now);
    BOOST_TEST(membership.grants().at(1).isReleasing);
    BOOST_TEST(membership.grants().at(1).token == 3U);
    BOOST_TEST(joinGeneration(false) == 3U);
    membership.onJoined({4, {0}}, now);
    BOOST_TEST(membership.grants().contains(1));
    BOOST_TEST(joinGeneration(true) == 4U);
    membership.onJoined({4, {0}}, now);
    BOOST_TEST(!membership.grants().contains(1));
    BOOST_TEST(membership.grants().contains(0));
}

// Guards against a shard that is never released because a task on it does not end.
BOOST_FIXTURE_TEST_CASE(release_has_a_time_limit, MembershipFixture)
{
    joinGeneration();
    membership.onJoined({3, {0}}, now);
    joinGeneration();
    membership.onJoined({4, {}}, now);
    BOOST_TEST(joinGeneration(false) == 3U);
    membership.onJoined({4, {}}, now);
    now += std::chrono::seconds(4);
    BOOST_TEST(joinGeneration(false) == 4U);
}

// Guards against dropping grants during an outage of the store. Keeping them is safe, since servers
// refuse a token once they have seen a higher one.
BOOST_FIXTURE_TEST_CASE(grants_persist_during_a_store_outage, MembershipFixture)
{
    joinGeneration();
    membership.onJoined({3, {0, 1}}, now);
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE(nextRequest(true).has_value());
        membership.onJoinFailed(now);
    }
    BOOST_TEST(membership.grants().size() == 2U);
}

// Guards against sending a request while another one is pending.
BOOST_FIXTURE_TEST_CASE(one_request_at_a_time, MembershipFixture)
{
    BOOST_TEST(nextRequest(true).has_value());
    BOOST_TEST(!nextRequest(true).has_value());
}

// Guards against a holder that leaves the group without releasing its shards.
BOOST_FIXTURE_TEST_CASE(member_that_leaves_has_no_grants, MembershipFixture)
{
    joinGeneration();
    membership.onJoined({3, {0}}, now);
    const auto request = nextRequest(false);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(std::holds_alternative<LeaveGroup>(*request));
    membership.onLeft(now);
    BOOST_TEST(membership.grants().empty());
    BOOST_TEST(!nextRequest(false).has_value());
}

// Guards against holders of the wrong number or size: the rule for the processor shares of the S
// site, for sites of equal VMs, and for sites that are too small.
BOOST_AUTO_TEST_CASE(required_holders_follow_from_the_processor_shares)
{
    const auto required = [](uint32_t servers, std::vector<uint32_t> shares) {
        return requiredHolders(servers, shares, {});
    };
    const std::vector<uint32_t> small(10, 120);
    std::vector<uint32_t> mixed {500, 500};
    mixed.insert(mixed.end(), small.begin(), small.end());
    BOOST_TEST(required(117, mixed) == 2U);
    BOOST_TEST(required(117, small) == 8U);
    BOOST_TEST(required(128, mixed) == 2U);
    BOOST_TEST(required(129, mixed) == 9U);
    // The former constant of 32 servers per holder.
    const std::vector<uint32_t> equal(8, 250);
    for (const uint32_t servers : {0U, 1U, 32U, 33U, 64U, 65U, 117U, 256U})
        BOOST_TEST(required(servers, equal) == std::max(1U, (servers + 31) / 32));
    // Without enough VMs, the lowest ratio of the share to the capacity decides.
    BOOST_TEST(required(1000, equal) == 8U);
    BOOST_TEST(required(1000, {500, 120, 120, 120}) == 1U);
    BOOST_TEST(required(1000, {500, 120, 120, 120, 120}) == 5U);
    BOOST_TEST(required(10, {}) == 1U);
}

// Guards against a holder that gives its shards up while jobs run there, or as soon as a larger VM
// has joined, which may fail again.
BOOST_FIXTURE_TEST_CASE(surplus_holder_leaves_after_a_delay_and_when_idle, MembershipFixture)
{
    joinGeneration();
    membership.onJoined({3, {0}}, now);
    BOOST_TEST(membership.isConfirmed(now));
    membership.setSurplus(true, now);
    now += seconds(4);
    BOOST_TEST(!membership.isGivingUp(now));
    membership.setSurplus(false, now); // the larger VM has failed again
    membership.setSurplus(true, now);
    now += seconds(4);
    BOOST_TEST(!membership.isGivingUp(now));
    now += seconds(1);
    membership.setSurplus(true, now);
    BOOST_TEST(membership.isGivingUp(now));
    BOOST_TEST(!membership.isConfirmed(now));
    BOOST_TEST(!membership.isLeaveDue(false, now));
    BOOST_TEST(membership.isLeaveDue(true, now));
    now += HolderOptions {}.releaseTimeout;
    BOOST_TEST(membership.isLeaveDue(false, now));
    membership.onLeft(now);
    BOOST_TEST(!membership.isGivingUp(now));
}

// Guards against a pool that takes jobs again while the store carries out a leave that was sent,
// and then loses the servers of these jobs.
BOOST_FIXTURE_TEST_CASE(leave_that_was_sent_is_not_taken_back, MembershipFixture)
{
    joinGeneration();
    membership.onJoined({3, {0}}, now);
    membership.setSurplus(true, now);
    now += seconds(5);
    const auto request = membership.nextRequest(false, true, now);
    BOOST_REQUIRE(request && std::holds_alternative<LeaveGroup>(*request));
    membership.setSurplus(false, now);
    BOOST_TEST(membership.isGivingUp(now));
    membership.onJoinFailed(now); // the store did not answer the leave
    membership.setSurplus(false, now);
    BOOST_TEST(!membership.isGivingUp(now));
}

// Guards against shards that change hands each time a large VM restarts that fails repeatedly.
BOOST_FIXTURE_TEST_CASE(holder_that_is_needed_again_waits_longer, MembershipFixture)
{
    const auto delayBeforeGivingUp = [&] {
        joinGeneration();
        membership.onJoined({3, {0}}, now);
        const Time since = now;
        for (membership.setSurplus(true, now); !membership.isGivingUp(now); now += seconds(1)) { }
        membership.onLeft(now);
        return now - since;
    };
    BOOST_TEST((delayBeforeGivingUp() == seconds(5)));
    BOOST_TEST((delayBeforeGivingUp() == seconds(10)));
    now += seconds(90);
    BOOST_TEST((delayBeforeGivingUp() == seconds(5)));
}

// Guards against large VMs that count as holders while the store does not confirm them.
BOOST_FIXTURE_TEST_CASE(holder_is_confirmed_while_the_store_answers, MembershipFixture)
{
    joinGeneration();
    BOOST_TEST(!membership.isConfirmed(now));
    membership.onJoined({3, {}}, now);
    BOOST_TEST(!membership.isConfirmed(now));
    joinGeneration();
    membership.onJoined({4, {0}}, now);
    BOOST_TEST(membership.isConfirmed(now));
    now += HolderOptions {}.groupLease;
    BOOST_TEST(!membership.isConfirmed(now));
}
