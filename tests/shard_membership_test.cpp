// Tests of the shard grants of a group member and their fencing tokens.
#define BOOST_TEST_MODULE shard_membership
#include "lovage/routing.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using std::chrono::milliseconds;

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
    membership.onLeft();
    BOOST_TEST(membership.grants().empty());
    BOOST_TEST(!nextRequest(false).has_value());
}
