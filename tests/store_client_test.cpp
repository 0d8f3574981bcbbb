// Tests of the client of the platform's store against its stand-in: pages, lost answers, refusals.
#define BOOST_TEST_MODULE store_client
#include "support/platform_standin.h"

#include "records.h"
#include "store.h"

#include <boost/test/unit_test.hpp>

#include <future>

using namespace lovage;
using namespace lovage::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration testTimeout = 10s;

struct StoreFixture
{
    ~StoreFixture()
    {
        threads.stop();
        platformThreads.stop();
    }

    // Waits until the followed values meet the condition. Returns whether they did in time.
    template<class Condition>
    bool waitFor(Condition condition)
    {
        const Time until = currentTime() + testTimeout;
        while (currentTime() < until) {
            {
                const std::lock_guard lock(mutex);
                if (condition(values))
                    return true;
            }
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }
    bool waitForCount(size_t count)
    {
        return waitFor([count](const auto &map) { return map.size() == count; });
    }
    bool waitForValue(const std::string &key, const std::string &value)
    {
        return waitFor([&](const auto &map) {
            const auto found = map.find(key);
            return found != map.end() && found->second == value;
        });
    }
    void startFollower()
    {
        threads.post(0, [this] { follower.start(); });
    }
    Result<uint64_t> append(uint64_t epoch, uint64_t sequence, std::vector<std::string> records)
    {
        std::promise<Result<uint64_t>> result;
        const AppendRecords request {3, epoch, sequence, std::move(records)};
        journal.append(request, [&](const Result<uint64_t> &offset) { result.set_value(offset); });
        return result.get_future().get();
    }
    Result<JournalPage> read(uint64_t from)
    {
        std::promise<Result<JournalPage>> result;
        journal.read(3, from, [&](const Result<JournalPage> &page) { result.set_value(page); });
        return result.get_future().get();
    }
    Result<GroupMembership> join(platform::StoreGroup &group, uint64_t generation)
    {
        std::promise<Result<GroupMembership>> result;
        JoinGroup request;
        request.lease = 5s;
        request.generation = generation;
        group.join(request, [&](const Result<GroupMembership> &parts) { result.set_value(parts); });
        return result.get_future().get();
    }

    IoThreads platformThreads {1};
    FakeStore fake {platformThreads};
    IoThreads threads {1};
    platform::Store store {threads, fake.endpoint()};
    platform::Journal journal {store};
    std::mutex mutex;
    std::map<std::string, std::string> values;
    platform::TopicFollower follower {
            threads, store, "keyed.servers", 200ms, 5ms, [this](const auto &all) {
                const std::lock_guard lock(mutex);
                values = all;
            }};
};

} // namespace

// Guards against keys that are missing because the list of newest records has several pages, by
// number of keys and by size.
BOOST_FIXTURE_TEST_CASE(keys_of_all_pages_are_followed, StoreFixture)
{
    for (int i = 0; i < 1201; ++i)
        fake.put("keyed.servers", "i-" + std::to_string(i), "v");
    for (int i = 0; i < 12; ++i)
        fake.put("keyed.servers", "large-" + std::to_string(i), std::string(200'000, 'x'));
    fake.compact("keyed.servers");
    startFollower();
    BOOST_TEST(waitForCount(1213));
    fake.put("keyed.servers", "i-7", "new");
    BOOST_TEST(waitForValue("i-7", "new"));
    fake.put("keyed.servers", "i-8", "");
    BOOST_TEST(waitForCount(1212));
}

// Guards against changes that are never seen because their records were deleted before they were
// read, and against records that are lost between two pages of a read.
BOOST_FIXTURE_TEST_CASE(changes_are_seen_after_compaction_and_over_pages, StoreFixture)
{
    fake.put("keyed.servers", "a", "1");
    startFollower();
    BOOST_TEST(waitForValue("a", "1"));
    fake.setDown(true);
    fake.put("keyed.servers", "a", "2");
    fake.compact("keyed.servers");
    fake.setDown(false);
    BOOST_TEST(waitForValue("a", "2"));
    fake.setDown(true);
    for (int i = 0; i < 20; ++i)
        fake.put("keyed.servers", "b" + std::to_string(i), std::string(200'000, 'x'));
    fake.setDown(false);
    BOOST_TEST(waitForCount(21));
}

// Guards against an evacuation that goes on because the record that withdrew it was deleted before
// it was read, against one that ends by the compaction, and against a version that goes back.
BOOST_FIXTURE_TEST_CASE(withdrawn_evacuation_ends_after_compaction, StoreFixture)
{
    std::atomic<uint64_t> version = 0;
    std::mutex stateMutex;
    std::vector<Evacuations> states;
    platform::TopicFollower *reader = nullptr;
    platform::TopicFollower operators {
            threads, store, "keyed.op", 100ms, 5ms, [&](const auto &records) {
                const std::lock_guard lock(stateMutex);
                states.push_back(platform::decodeEvacuations(records, reader->nextOffset()));
                version = states.back().version;
            }};
    reader = &operators;
    const auto waitForVersion = [&](uint64_t expected) {
        for (int i = 0; i < 500 && version < expected; ++i)
            std::this_thread::sleep_for(10ms);
        const std::lock_guard lock(stateMutex);
        BOOST_REQUIRE(version == expected);
        return states.back().dataCentres;
    };
    fake.put("keyed.op", "evacuate/a", "{}");
    fake.put("keyed.op", "evacuate/b", "\xff");
    threads.post(0, [&] { operators.start(); });
    BOOST_TEST((waitForVersion(2) == std::set<std::string> {"a", "b"}));
    fake.setDown(true);
    fake.put("keyed.op", "evacuate/a", "");
    fake.put("keyed.op", "evacuate/c", "{}");
    fake.compact("keyed.op");
    fake.setDown(false);
    BOOST_TEST((waitForVersion(4) == std::set<std::string> {"b", "c"}));
    fake.put("keyed.op", "evacuate/b", "");
    BOOST_TEST((waitForVersion(5) == std::set<std::string> {"c"}));
    threads.stop();
    for (size_t i = 1; i < states.size(); ++i)
        BOOST_TEST(states[i].version >= states[i - 1].version);
}

// Guards against a follower that gives up after its calls were refused.
BOOST_FIXTURE_TEST_CASE(follower_recovers_from_refused_calls, StoreFixture)
{
    fake.setRates({0, 0});
    startFollower();
    std::this_thread::sleep_for(300ms);
    fake.put("keyed.servers", "a", "1");
    fake.setRates({});
    BOOST_TEST(waitForValue("a", "1"));
    fake.loseAnswers("/-/log-read");
    std::this_thread::sleep_for(300ms);
    fake.put("keyed.servers", "a", "2");
    fake.loseAnswers("");
    BOOST_TEST(waitForValue("a", "2"));
}

// Guards against records that are appended twice because the answer to the first call was lost.
BOOST_FIXTURE_TEST_CASE(append_without_an_answer_takes_effect_once, StoreFixture)
{
    std::promise<Result<uint64_t>> opened;
    journal.open(3, 5, [&](const Result<uint64_t> &end) { opened.set_value(end); });
    BOOST_TEST(opened.get_future().get().value() == 0U);
    fake.loseAnswers("/-/log-append");
    const auto lost = append(5, 1, {"a", "b"});
    BOOST_REQUIRE(!lost.has_value());
    BOOST_TEST((lost.error().verdict == Verdict::MayHaveRun));
    fake.loseAnswers("");
    BOOST_TEST(append(5, 1, {"a", "b"}).value() == 0U);
    BOOST_TEST(append(5, 2, {"c"}).value() == 2U);
    BOOST_TEST(fake.recordCount("jobs", 3) == 3U);
    BOOST_TEST((append(4, 9, {"d"}).error().code == ErrorCode::Fenced));
    BOOST_TEST(fake.recordCount("jobs", 3) == 3U);
}

// Guards against a reader of the journal that takes the first page for the whole, and one that
// reads records which were trimmed.
BOOST_FIXTURE_TEST_CASE(journal_is_read_in_pages, StoreFixture)
{
    for (uint64_t i = 0; i < 8; ++i)
        BOOST_TEST(append(1, i, {std::string(250'000, 'x')}).has_value());
    size_t count = 0;
    size_t pages = 0;
    uint64_t end = 8;
    for (uint64_t from = 0; from < end; ++pages) {
        const auto page = read(from);
        BOOST_REQUIRE(page.has_value());
        BOOST_REQUIRE(!page.value().records.empty());
        end = page.value().endOffset;
        count += page.value().records.size();
        from += page.value().records.size();
    }
    BOOST_TEST(count == 8U);
    BOOST_TEST(pages > 1U);
    journal.trim(3, 6);
    std::this_thread::sleep_for(100ms);
    BOOST_TEST(read(0).value().records.size() == 2U);
}

// Guards against a member that keeps partitions which were given to another one.
BOOST_FIXTURE_TEST_CASE(partitions_move_between_members, StoreFixture)
{
    platform::StoreGroup first(store, "keepers", "jobs", "vm1");
    platform::StoreGroup second(store, "keepers", "jobs", "vm2");
    const auto alone = join(first, 0).value();
    BOOST_TEST(alone.shards.size() == 24U);
    BOOST_TEST(join(second, 0).value().shards.empty()); // the first one has not given them up
    const auto shared = join(first, alone.generation).value();
    BOOST_TEST(shared.shards.size() == 12U);
    const auto released = join(first, shared.generation).value();
    const auto taken = join(second, released.generation).value();
    BOOST_TEST(taken.shards.size() == 12U);
    fake.reassign("keepers");
    const auto moved = join(second, taken.generation).value();
    BOOST_TEST(moved.generation > taken.generation);
    BOOST_TEST(moved.shards.size() == 12U);
    BOOST_TEST((moved.shards != taken.shards));
}
