// Who holds shards, and with which token.
#define BOOST_TEST_MODULE shard_membership
#include "lovage/routing.h"

#include <boost/test/unit_test.hpp>

using namespace lovage;
using std::chrono::milliseconds;

namespace {

struct Member
{
    Time now = fromUnixMillis(1'700'000'000'000);
    ShardMembership membership {{}, now - std::chrono::seconds(2)}; // has settled

    std::optional<GroupRequest> next(bool wants, bool isReleaseReady = true)
    {
        now += milliseconds(500);
        return membership.nextRequest(wants, isReleaseReady, now);
    }
    uint64_t joinGeneration(bool isReleaseReady = true)
    {
        const auto request = next(true, isReleaseReady);
        BOOST_REQUIRE(request.has_value());
        return std::get<JoinGroup>(*request).generation;
    }
};

} // namespace

// Guards the fencing token: it is the generation of the group and only rises.
BOOST_FIXTURE_TEST_CASE(token_follows_the_generation, Member)
{
    BOOST_TEST(joinGeneration() == 0U);
    BOOST_TEST(membership.onJoined({3, {0, 1}}, now));
    BOOST_TEST(membership.grants().at(0).token == 3U);
    BOOST_TEST(joinGeneration() == 3U);
    BOOST_TEST(membership.onJoined({5, {0, 1}}, now));
    BOOST_TEST(membership.grants().at(1).token == 5U);
}

// Guards against a second holder of a shard on which something still runs: the new generation is
// acknowledged only after that.
BOOST_FIXTURE_TEST_CASE(shard_is_kept_until_nothing_runs_there, Member)
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

// Guards against a shard that is never released because something hangs there.
BOOST_FIXTURE_TEST_CASE(release_has_a_limit, Member)
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

// Guards placement during an outage of the store: servers refuse a passed token, so the grants
// stay.
BOOST_FIXTURE_TEST_CASE(grants_outlast_the_store, Member)
{
    joinGeneration();
    membership.onJoined({3, {0, 1}}, now);
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE(next(true).has_value());
        membership.onJoinFailed(now);
    }
    BOOST_TEST(membership.grants().size() == 2U);
}

// Guards against one request while another is open.
BOOST_FIXTURE_TEST_CASE(one_request_at_a_time, Member)
{
    BOOST_TEST(next(true).has_value());
    BOOST_TEST(!next(true).has_value());
}

// Guards against a holder that leaves the group without giving its shards back.
BOOST_FIXTURE_TEST_CASE(member_that_leaves_has_no_grants, Member)
{
    joinGeneration();
    membership.onJoined({3, {0}}, now);
    const auto request = next(false);
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(std::holds_alternative<LeaveGroup>(*request));
    membership.onLeft();
    BOOST_TEST(membership.grants().empty());
    BOOST_TEST(!next(false).has_value());
}
