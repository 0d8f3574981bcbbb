// Tests of following a topic of the store: keys of other writers, lists of several pages, and reads
// that fail.
#define BOOST_TEST_MODULE platform_store
#include "store.h"
#include "topic_values.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <map>
#include <mutex>
#include <thread>

using namespace lovage;
using lovage::platform::TopicValues;
using std::chrono::milliseconds;

namespace json = boost::json;

namespace {

using Values = std::map<std::string, std::string>;

std::string decodePercent(std::string_view text)
{
    std::string decoded;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
        i += 2;
    }
    return decoded;
}

std::string bigEndian(uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8)
        text.push_back(static_cast<char>((number >> shift) & 0xff));
    return text;
}

// Fake of the store with one topic, whose list of the newest values has pages of limited size.
class PagedStore
{
public:
    explicit PagedStore(IoThreads &threads)
        : server_(std::move(
                HttpServer::listen(threads, {"127.0.0.1", 0}, {},
                                   [this](const HttpRequest &request, HttpServer::Reply reply) {
                                       reply(handle(request));
                                   })
                        .value()))
    { }

    Endpoint endpoint() const { return {"127.0.0.1", server_->port()}; }

    // The value is base64 as it stands in the list, so that tests can damage it.
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        newest_[key] = value;
        ++end_;
    }
    // Deletes all records but the newest value of each key.
    void compact()
    {
        const std::lock_guard lock(mutex_);
        firstOffset_ = end_;
    }
    void setPageSize(size_t size)
    {
        const std::lock_guard lock(mutex_);
        pageSize_ = size;
    }
    // The next reads of a page other than the first one fail.
    void failLaterPages(int count)
    {
        const std::lock_guard lock(mutex_);
        failingPages_ = count;
    }
    // Each page is the first one and announces more.
    void repeatFirstPage(bool isRepeated)
    {
        const std::lock_guard lock(mutex_);
        isFirstPageRepeated_ = isRepeated;
    }
    size_t pagesRead()
    {
        const std::lock_guard lock(mutex_);
        return pagesRead_;
    }

private:
    HttpResponse handle(const HttpRequest &request)
    {
        const std::lock_guard lock(mutex_);
        return request.path() == "/-/log-newest" ? newest(request) : read(request);
    }

    HttpResponse newest(const HttpRequest &request)
    {
        ++pagesRead_;
        const auto after = request.query("after");
        HttpResponse response;
        if (after && failingPages_ > 0) {
            --failingPages_;
            response.status = 503;
            return response;
        }
        const bool isFirst = !after || isFirstPageRepeated_;
        auto row = isFirst ? newest_.begin() : newest_.upper_bound(decodePercent(*after));
        json::array items;
        for (; row != newest_.end() && items.size() < pageSize_; ++row)
            items.push_back({{"key", row->first}, {"value", row->second}, {"offset", 0}});
        const bool hasMore = row != newest_.end() || isFirstPageRepeated_;
        response.body = json::serialize(
                json::object {{"items", items}, {"has_more", hasMore}, {"end", end_}});
        return response;
    }

    HttpResponse read(const HttpRequest &request) const
    {
        HttpResponse response;
        const size_t from = std::stoul(std::string(*request.query("from")));
        if (from < firstOffset_) {
            response.status = 410;
            response.body = json::serialize(json::object {{"first_offset", firstOffset_}});
            return response;
        }
        // Changes are seen through the list alone.
        response.body = bigEndian(end_, 8) + bigEndian(firstOffset_, 8);
        return response;
    }

    std::mutex mutex_;
    Values newest_;
    uint64_t end_ = 0;
    uint64_t firstOffset_ = 0;
    size_t pageSize_ = 500;
    int failingPages_ = 0;
    bool isFirstPageRepeated_ = false;
    size_t pagesRead_ = 0;
    std::unique_ptr<HttpServer> server_;
};

struct Follower
{
    ~Follower() { threads.stop(); }

    void start()
    {
        threads.post(0, [this] { follower.start(); });
    }
    // Returns the latest values once they satisfy the condition, or after 2 s.
    Values awaitValues(const std::function<bool(const Values &)> &condition)
    {
        for (int i = 0; i < 400; ++i) {
            {
                const std::lock_guard lock(mutex);
                if (condition(values))
                    return values;
            }
            std::this_thread::sleep_for(milliseconds(5));
        }
        const std::lock_guard lock(mutex);
        return values;
    }

    IoThreads threads {1};
    PagedStore store {threads};
    std::mutex mutex;
    Values values;
    platform::Store client {threads, store.endpoint()};
    platform::TopicFollower follower {threads,
                                      client,
                                      "keyed.servers",
                                      Duration::zero(),
                                      milliseconds(20),
                                      [this](const Values &read) {
                                          const std::lock_guard lock(mutex);
                                          values = read;
                                      }};
};

} // namespace

// Guards against a list that is never read to its end: the key after which the next page begins
// comes from any writer and need not be a valid part of a URL.
BOOST_FIXTURE_TEST_CASE(keys_that_are_no_url_text_do_not_stop_the_reading, Follower)
{
    const std::string allBytes = [] {
        std::string bytes;
        for (int byte = 1; byte < 256; ++byte)
            bytes += static_cast<char>(byte);
        return bytes;
    }();
    const std::vector<std::string> keys {"",    " ",         "a b",  "a&after=z", "a%20b",
                                         "a#c", "a\r\nX: y", "\xff", allBytes,    "good"};
    for (const std::string &key : keys)
        store.put(key, "AAAA");
    store.setPageSize(1);
    start();
    const Values read =
            awaitValues([&](const Values &values) { return values.size() == keys.size(); });
    BOOST_TEST(read.size() == keys.size());
    for (const std::string &key : keys)
        BOOST_TEST(read.contains(key));
}

// Guards against a change that is never seen: a page that cannot be read must not end the reading
// of the list, since reading then goes on behind the changes on the missing pages.
BOOST_FIXTURE_TEST_CASE(failed_page_hides_no_change, Follower)
{
    for (const char *key : {"a", "b", "c"})
        store.put(key, "AAAA");
    store.setPageSize(2);
    start();
    BOOST_REQUIRE(awaitValues([](const Values &values) { return values.size() == 3; }).size()
                  == 3U);
    store.failLaterPages(1);
    store.put("c", "AAEC");
    store.compact();
    const std::string changed("\0\1\2", 3);
    const Values read =
            awaitValues([&](const Values &values) { return values.at("c") == changed; });
    BOOST_TEST((read.at("c") == changed));
}

// Guards against reading without a pause when the pages of the list make no progress, and against
// taking a part of the list for all of it.
BOOST_FIXTURE_TEST_CASE(pages_without_progress_are_read_again_after_a_pause, Follower)
{
    for (const char *key : {"a", "b", "c"})
        store.put(key, "AAAA");
    store.setPageSize(2);
    store.repeatFirstPage(true);
    start();
    std::this_thread::sleep_for(milliseconds(500));
    BOOST_TEST(store.pagesRead() <= 10U);
    BOOST_TEST(awaitValues([](const Values &values) { return !values.empty(); }).empty());
    store.repeatFirstPage(false);
    BOOST_TEST(awaitValues([](const Values &values) { return values.size() == 3; }).size() == 3U);
}

// Guards against an item that cannot be decoded and hides the items behind it.
BOOST_FIXTURE_TEST_CASE(page_of_undecodable_items_does_not_end_the_list, Follower)
{
    store.put("a", "no base64!");
    store.put("b", "AAAA");
    store.setPageSize(1);
    start();
    BOOST_TEST(
            awaitValues([](const Values &values) { return values.contains("b"); }).contains("b"));
}

// Guards against a key that is listed with an empty value and so seems to exist until it changes:
// records without a value delete their key.
BOOST_FIXTURE_TEST_CASE(key_without_a_value_does_not_exist, Follower)
{
    store.put("a", "");
    store.put("b", "AAAA");
    start();
    const Values read = awaitValues([](const Values &values) { return !values.empty(); });
    BOOST_TEST(read.contains("b"));
    BOOST_TEST(!read.contains("a"));
}

// Guards against partition numbers that are cut to those of other partitions.
BOOST_AUTO_TEST_CASE(membership_with_a_partition_out_of_range_is_refused)
{
    const auto decode = [](const std::string &partition) {
        return platform::decodeMembership(
                fmt::format(R"({{"generation":3,"parts":[["shards",{},0]]}})", partition));
    };
    BOOST_REQUIRE(decode("5").has_value());
    BOOST_TEST(decode("5").value().shards == std::vector<uint32_t> {5});
    for (const char *partition :
         {"-1", "4294967296", "18446744073709551615", "5.5", "\"5\"", "null"})
        BOOST_TEST(!decode(partition).has_value(), partition);
}

// Guards against other writers whose records take the memory of the VM, and against large records
// that leave no room for the entries of servers.
BOOST_AUTO_TEST_CASE(values_of_a_topic_are_bounded)
{
    constexpr size_t maxBytes = 4U << 20;
    TopicValues values(maxBytes);
    const std::string large(100'000, 'x');
    size_t stored = 0;
    for (int i = 0; i < 100; ++i)
        stored += values.set("odd-" + std::to_string(i), large) ? 1 : 0;
    BOOST_TEST(stored > 10U);
    BOOST_TEST(values.heldBytes() <= maxBytes / 2);
    for (int i = 0; i < 2000; ++i)
        BOOST_REQUIRE(values.set("server-" + std::to_string(i), std::string(600, 'x')));
    BOOST_TEST(!values.set("odd-0", large + large)); // the earlier value is gone too
    BOOST_TEST(!values.values().contains("odd-0"));
    while (values.set("small-" + std::to_string(stored++), "x"))
        BOOST_REQUIRE(values.heldBytes() <= maxBytes);
    while (!values.values().empty())
        values.erase(std::string(values.values().begin()->first));
    BOOST_TEST(values.heldBytes() == 0U);
}
