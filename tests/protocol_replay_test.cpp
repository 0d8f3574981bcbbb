#define BOOST_TEST_MODULE protocol_replay
#include <boost/test/unit_test.hpp>

#include "lovage/protocol.h"

using namespace lovage;

namespace {

Envelope envelopeOf(uint64_t incarnation, uint64_t number, WireMessage message = wire::LendResult())
{
    const Channel channel = isDatagram(message) ? Channel::Datagram : Channel::Stream;
    return {"vm-a", "vm-b", incarnation, channel, number, std::move(message)};
}

bool isFresh(ReplayGuard &guard, const Envelope &envelope)
{
    return guard.check(envelope) == ReplayCheck::Fresh;
}

} // namespace

// Guards against a duplicated message that is accepted twice, and against a reordered message that
// is rejected.
BOOST_AUTO_TEST_CASE(each_number_is_fresh_once_in_any_order)
{
    ReplayGuard guard;
    for (const uint64_t number : {1, 3, 2, 200, 100})
        BOOST_TEST(isFresh(guard, envelopeOf(5, number)));
    for (const uint64_t number : {1, 3, 2, 200, 100})
        BOOST_TEST(!isFresh(guard, envelopeOf(5, number)));
    BOOST_TEST(isFresh(guard, envelopeOf(5, 10000)));
    BOOST_TEST(!isFresh(guard, envelopeOf(5, 10000 - ReplayGuard::window)));
    BOOST_TEST(isFresh(guard, envelopeOf(5, 10001 - ReplayGuard::window)));
}

// Guards against datagram numbers that move the replay window past the numbers of the stream.
BOOST_AUTO_TEST_CASE(channels_are_independent)
{
    ReplayGuard guard;
    BOOST_TEST(isFresh(guard, envelopeOf(5, 10000, Leaving {})));
    BOOST_TEST(isFresh(guard, envelopeOf(5, 1)));
}

// Guards against a delayed message of a terminated process that is taken for a message of the
// process that replaced it.
BOOST_AUTO_TEST_CASE(earlier_incarnations_reach_only_membership)
{
    ReplayGuard guard;
    BOOST_TEST(isFresh(guard, envelopeOf(5, 7)));
    BOOST_TEST(isFresh(guard, envelopeOf(6, 1)));
    BOOST_TEST((guard.check(envelopeOf(5, 8)) == ReplayCheck::StaleIncarnation));
    BOOST_TEST(isFresh(guard, envelopeOf(5, 9, Heartbeat {})));
    BOOST_TEST(isFresh(guard, envelopeOf(6, 2)));
}

// Guards against fault injection that cannot be reproduced from its seed.
BOOST_AUTO_TEST_CASE(faults_follow_the_seed)
{
    const MessageFaults faults {.loss = 0.2, .duplicate = 0.2, .reorder = 0.5};
    FaultInjector first(faults, 9);
    FaultInjector second(faults, 9);
    size_t lost = 0;
    size_t copies = 0;
    for (int i = 0; i < 1000; ++i) {
        const auto deliveries = first.nextDeliveries();
        BOOST_TEST((deliveries == second.nextDeliveries()));
        lost += deliveries.empty() ? 1 : 0;
        copies += deliveries.size() == 2 ? 1 : 0;
    }
    BOOST_TEST(lost > 100U);
    BOOST_TEST(copies > 100U);
    first.setFaults({.loss = 1});
    BOOST_TEST(first.nextDeliveries().empty());
}
