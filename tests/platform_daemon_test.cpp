// Test of the daemon as a process of its own, beside records of other writers in the store.
#define BOOST_TEST_MODULE platform_daemon
#include "support/platform_daemon.h"

#include <thread>

using namespace lovage;
using namespace lovage::test;
using std::chrono::milliseconds;

namespace {

// What another writer makes of the entry of a server.
std::vector<std::string> oddEntriesLike(const std::string &good)
{
    return {
            "{",
            "\xff\xfe no text",
            std::string(100'000, '['),
            replaced(good, "{\"cpu\"",
                     std::string(2000, '[') + std::string(2000, ']') + ",\"x\":{\"cpu\""),
            replaced(good, "32000", "1e400"),
            replaced(good, "32000", "99999999999999999999"),
            replaced(good, "127.0.0.1:", "127.0.0.1:9"),
            replaced(good, "127.0.0.1:", "127.0.0.1:0,"),
            replaced(good, "\"ready\"", "\"odd\""),
            replaced(good, "\"zone\":\"z\"", "\"zone\":\"other\""),
            replaced(good, "\"service\":\"s\"", "\"service\":\"other\""),
            replaced(good, "\"service\":\"s\"",
                     "\"service\":\"" + std::string(100'000, 's') + "\""),
            replaced(good, "\"born\":1", "\"born\":\"1\""),
            replaced(good, "\"born\":1", "\"born\":-1"),
            replaced(good, "\"born\":1", "\"born\":1.5"),
            replaced(good, "\"born\":1", "\"born\":9000000000000000"),
            replaced(good, "\"born\":1", "\"born\":18446744073709551615"),
    };
}

} // namespace

// Guards against a daemon that ends, that stops following the list of servers, or that keeps a
// server out of use beyond its next heartbeat, because another writer has left an odd entry.
BOOST_FIXTURE_TEST_CASE(odd_entries_do_not_stop_the_service, OneDaemon)
{
    startDaemon();
    BOOST_REQUIRE(isServed(nextId()));
    int kind = 0;
    for (const std::string &odd : oddEntriesLike(executor1.entry("s", "z"))) {
        store.put("keyed.servers", "odd" + std::to_string(++kind), odd);
        store.put("keyed.servers", "e1", odd);
        store.put("keyed.servers", "e2", odd);
        store.put("keyed.members", "odd" + std::to_string(kind), odd);
        store.put("keyed.op", "odd" + std::to_string(kind), odd);
        std::this_thread::sleep_for(milliseconds(450)); // longer than one read of the list
        heartbeat();
        const std::string id = nextId();
        BOOST_TEST(isServed(id), "after " << odd.substr(0, 200));
        BOOST_TEST(startsOf(id) == 2U);
        BOOST_REQUIRE(!daemon->hasEnded());
    }
    BOOST_TEST(metrics().find("lovage_left_out_records_total{topic=\"keyed.servers\"} ")
               != std::string::npos);
    BOOST_TEST(metrics().find("lovage_left_out_records_total{topic=\"keyed.servers\"} 0")
               == std::string::npos);

    // The list is still followed: the only server left is a new one.
    store.put("keyed.servers", "e1", "");
    store.put("keyed.servers", "e2", "");
    store.put("keyed.servers", "e3", entryOf(executor3));
    std::this_thread::sleep_for(milliseconds(900));
    BOOST_TEST(isServed(nextId()));
    BOOST_TEST(executor3.starts().size() == 2U);
}

// Guards against a daemon that cannot start beside odd entries: it reads all of them at once.
BOOST_FIXTURE_TEST_CASE(daemon_starts_beside_odd_entries, OneDaemon)
{
    int kind = 0;
    for (const std::string &odd : oddEntriesLike(executor1.entry("s", "z"))) {
        for (const char *topic : {"keyed.servers", "keyed.members", "keyed.op"})
            store.put(topic, "odd" + std::to_string(++kind), odd);
    }
    for (const std::string &key :
         {std::string(), std::string("a b&c%zz\r\n"), std::string("\xff"), std::string(255, 'k')}) {
        for (const char *topic : {"keyed.servers", "keyed.members", "keyed.op"})
            store.put(topic, key, executor1.entry("s", "z"));
    }
    startDaemon();
    BOOST_TEST(isServed(nextId()));
    BOOST_TEST(isServed(nextId()));
    BOOST_TEST(!daemon->hasEnded());
}
