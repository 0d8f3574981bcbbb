// Tests of the decoding of configurations, server entries, VM entries and job submissions.
#define BOOST_TEST_MODULE platform_records
#include "member_list.h"
#include "records.h"
#include "server_list.h"

#include "lovage/node.h"

#include <boost/test/unit_test.hpp>

#include <fstream>

using namespace lovage;
using namespace lovage::platform;

namespace {

const std::string entry =
        R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1","slots":8,)"
        R"("state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},)"
        R"("labels":["a","r1-3"],"clock_ms":482113,"seq":4,"born":1700000000000})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const size_t at = text.find(from);
    BOOST_REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string jobWith(const std::string &field)
{
    return R"({"spec":"p","best_effort":true,"steps":[{"count":2,"cpu":500,"estimate_ms":90)"
            + field + "}]}";
}

} // namespace

BOOST_AUTO_TEST_CASE(server_entry_is_decoded)
{
    const auto server = decodeServer("i-1", entry);
    BOOST_REQUIRE(server.has_value());
    BOOST_TEST(server->id == "i-1");
    BOOST_TEST(server->capacity.milliCores == 16000U);
    BOOST_TEST(server->incarnation == 1700000000000U);
    BOOST_TEST(!server->isLeaving);
    BOOST_TEST(decodeServer("i-1", replaced(entry, "ready", "draining"))->isLeaving);
}

// Guards against use of damaged entries, which other writers may have put into the store.
BOOST_AUTO_TEST_CASE(damaged_server_entries_name_no_server)
{
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
                 {"\"service\":\"s\"", "\"service\":7"},
                 {"\"address\":\"10.0.0.9:8080\"", "\"address\":\"nowhere\""},
                 {"\"state\":\"ready\"", "\"state\":\"odd\""},
                 {"\"capacity\":{\"cpu\":16000", "\"capacity\":{\"cpu\":\"many\""},
                 {"\"zone\":\"z\",", ""},
                 {"{\"service\"", "\xff\xfe{\"service\""}})
        BOOST_TEST(!decodeServer("i-1", replaced(entry, from, to)).has_value());
    BOOST_TEST(!decodeServer("i-1", "").has_value());
    BOOST_TEST(!decodeServer("i-1", "[]").has_value());
}

// Guards against an incomplete configuration taking effect.
BOOST_AUTO_TEST_CASE(incomplete_configuration_is_rejected)
{
    const std::string document =
            R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","timeout_ms":1500,)"
            R"("slo_ms":60,"priority":2,"service":"s","attempts":3,"stretch_factor":1.6}],)"
            R"("services":[],"limits":{}})";
    const auto configuration = decodeConfiguration(document);
    BOOST_REQUIRE(configuration.has_value());
    BOOST_TEST(configuration.value().version == 7U);
    const Queue &queue = configuration.value().queues.front();
    BOOST_TEST(queue.attempts == 3U);
    BOOST_TEST((queue.timeout == std::chrono::milliseconds(1500)));
    BOOST_TEST((queue.objectiveSlack == std::chrono::milliseconds(60)));
    BOOST_TEST(!queue.hasAdvisor);
    const auto advised = decodeConfiguration(
            replaced(document, "\"attempts\":3", "\"advisor\":{\"valid_ms\":9},\"attempts\":3"));
    BOOST_REQUIRE(advised.has_value());
    BOOST_TEST(advised.value().queues.front().hasAdvisor);
    BOOST_TEST(!decodeConfiguration(replaced(document, "\"service\":\"s\",", "")).has_value());
    BOOST_TEST(!decodeConfiguration(replaced(document, "\"version\":7,", "")).has_value());
    BOOST_TEST(!decodeConfiguration(document.substr(0, document.size() / 2)).has_value());
}

// Guards against accepting a job with best_effort that cannot be run as requested: gangs and
// long-running tasks are supported in stored jobs only.
BOOST_AUTO_TEST_CASE(gangs_and_long_running_tasks_require_a_stored_job)
{
    BOOST_REQUIRE(decodeJob("0123456789abcdef", jobWith("")).has_value());
    for (const char *field : {R"(,"gang":true)", R"(,"long_running":true)"}) {
        const auto job = decodeJob("0123456789abcdef", jobWith(field));
        BOOST_REQUIRE(!job.has_value());
        BOOST_TEST((job.error().code == ErrorCode::Impossible));
        BOOST_TEST((job.error().verdict == Verdict::NotRun));
    }
}

// Guards against misread fields of stored jobs, which determine how tasks are placed, ended and
// repeated.
BOOST_AUTO_TEST_CASE(fields_of_a_stored_job)
{
    const std::string body =
            replaced(jobWith(R"(,"gang":true,"long_running":true,"fills":true,"target_ms":10)"),
                     "true", "false");
    const auto job = decodeJob("0123456789abcdef", body);
    BOOST_REQUIRE(job.has_value());
    BOOST_TEST(job.value().isStored);
    const Step &step = job.value().steps.front();
    BOOST_TEST(step.isGang);
    BOOST_TEST(step.isEndless);
    BOOST_TEST(step.usesSpareCores);
    BOOST_TEST(step.isServing);
    const auto repeated = decodeJob(
            "0123456789abcdef",
            R"({"spec":"p","repeat_count":3,"start_at_ms":1700000000000,"interval_ms":500,)"
            R"("steps":[{"count":1,"cpu":1}]})");
    BOOST_REQUIRE(repeated.has_value());
    BOOST_TEST(repeated.value().repeatCount == 3U);
    BOOST_TEST(repeated.value().firstDueMs == 1700000000000);
    BOOST_TEST((repeated.value().repeatInterval == std::chrono::milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(malformed_jobs_are_refused)
{
    for (const std::string &body :
         {std::string("{"), std::string(R"({"spec":"p","best_effort":true,"steps":[]})"),
          jobWith(R"(,"after":[0])"), jobWith(R"(,"after":[-1])"), jobWith(R"(,"mem_mb":"x")"),
          replaced(jobWith(""), "\"count\":2", "\"count\":0"),
          replaced(jobWith(""), "\"count\":2", "\"count\":100000")}) {
        const auto job = decodeJob("0123456789abcdef", body);
        BOOST_REQUIRE(!job.has_value());
        BOOST_TEST((job.error().code != ErrorCode::Impossible));
    }
}

BOOST_AUTO_TEST_CASE(member_entry_round_trip)
{
    const VmInfo vm {"vm1", "dc1", "10.0.0.1:7000", 1700000000000000, 250};
    BOOST_TEST((decodeMember(encodeMember(vm)) == vm));
    BOOST_TEST(!decodeMember("{}").has_value());
}

// Guards against a template for the settings that has an unknown key or lacks a required one.
BOOST_AUTO_TEST_CASE(rendered_settings_are_valid)
{
    std::ifstream stream(LOVAGE_SOURCE_DIR "/deploy/settings.json.template");
    std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
                 {"{{node_name|json}}", "\"edge-a-1\""},
                 {"{{zone|json}}", "\"a\""},
                 {"{{listen.http|json}}", "\"10.0.0.1:1\""},
                 {"{{listen.readiness|json}}", "\"10.0.0.1:2\""},
                 {"{{ip}}:{{port_range.0}}", "10.0.0.1:3"},
                 {"{{platform.address|json}}", "\"10.0.0.2:4\""},
                 {"{{#seeds}}{ \"address\": {{.|json}} }{{,}}{{/seeds}}",
                  R"({ "address": "10.0.0.3:5" })"},
                 {"{{limits.cpu_share|json}}", "0.25"},
                 {"{{limits.cores|json}}", "1"},
                 {"{{limits.memory_mb|json}}", "512"},
                 {"{{platform.parts|json}}", "24"},
                 {"{{bounds.hold_max_ms|json}}", "1000"},
                 {"{{bounds.stop_ms|json}}", "50"},
                 {"{{bounds.retransmit_ms|json}}", "1400"},
                 {"{{platform.ttl_min_ms|json}}", "1000"},
                 {"{{bounds.status_s|json}}", "120"},
                 {"{{platform.keep_s|json}}", "300"},
                 {"{{bounds.grace_s|json}}", "6.5"}})
        text = replaced(text, from, to);
    // A section is rendered once if its name has a value, and else not at all.
    const std::string section = "{{#bounds.evacuate_ms}}\"evacuationLimitMs\": "
                                "{{bounds.evacuate_ms|json}},{{/bounds.evacuate_ms}}";
    const auto limited =
            parseNodeSettings(replaced(text, section, R"("evacuationLimitMs": 5000,)"));
    BOOST_REQUIRE(limited.has_value());
    BOOST_TEST((limited.value().evacuationLimit == Duration(std::chrono::seconds(5))));
    const auto settings = parseNodeSettings(replaced(text, section, ""));
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(!settings.value().evacuationLimit.has_value());
    BOOST_TEST(settings.value().cpuMilliCores == 250U);
    BOOST_TEST(settings.value().limits.heldBytes() == 64U << 20);
    BOOST_TEST((settings.value().stopLimit == std::chrono::milliseconds(6500)));
    BOOST_TEST((settings.value().resubmitDelay == std::chrono::milliseconds(1400)));
}

// Guards against leases of jobs that are too short to be renewed in time.
BOOST_AUTO_TEST_CASE(resubmit_delay_must_leave_time_for_a_lease)
{
    const std::string required =
            R"("name": "a", "dataCentre": "z", "http": "10.0.0.1:1", "readiness": "10.0.0.1:2",)"
            R"("peer": "10.0.0.1:3", "store": "10.0.0.2:4")";
    const auto parse = [&](const std::string &more) {
        return parseNodeSettings("{" + required + ", " + more + "}").has_value();
    };
    BOOST_TEST(parse(R"("resubmitDelayMs": 800, "stopTimeMs": 50)"));
    BOOST_TEST(!parse(R"("resubmitDelayMs": 700, "stopTimeMs": 50)"));
    BOOST_TEST(!parse(R"("resubmitDelayMs": 1300, "stopTimeMs": 600)"));
}

// Guards against limits that let clients take the memory of the VM, and against defaults that the
// smallest VM does not start with.
BOOST_AUTO_TEST_CASE(limits_must_fit_the_memory_of_the_vm)
{
    const std::string required =
            R"("name": "a", "dataCentre": "z", "http": "10.0.0.1:1", "readiness": "10.0.0.1:2",)"
            R"("peer": "10.0.0.1:3", "store": "10.0.0.2:4")";
    const auto parse = [&](const std::string &limits) {
        return parseNodeSettings("{" + required + R"(, "limits": {)" + limits + "}}").has_value();
    };
    BOOST_TEST(parse(""));
    BOOST_TEST(parse(R"("memoryMb": 120)"));
    BOOST_TEST(parse(R"("memoryMb": 64)"));
    BOOST_TEST(!parse(R"("memoryMb": 120, "maxHeldBytes": 20000000)"));
    BOOST_TEST(!parse(R"("memoryMb": 120, "maxBodyBytes": 4000000)"));
    BOOST_TEST(!parse(R"("memoryMb": 512, "maxBodyBytes": 4190000)")); // no room for a header
    BOOST_TEST(parse(R"("memoryMb": 512, "maxBodyBytes": 4000000, "maxRequestBytes": 9000000)"));
    BOOST_TEST(!parse(R"("memoryMb": 120, "maxFrameBytes": 12000000)"));
    BOOST_TEST(!parse(R"("maxBodyBytes": 10)")); // a job of the widest form has more
}

// Guards against limits that each fit the smallest VM and together exceed it. A topic is held twice
// while it is loaded, and the entries of servers once more by their list.
BOOST_AUTO_TEST_CASE(limits_fit_the_smallest_vm_together)
{
    constexpr size_t processBytes = 9U << 20; // without jobs, clients and peers
    constexpr size_t parsedDocumentBytes = 8U << 20;
    const NodeLimits limits;
    const size_t topics = 3 * limits.serverValueBytes() + 4 * limits.topicValueBytes();
    const size_t storedJobs = 2 * limits.storedJobBytes() + limits.partitionBytes();
    const size_t connections =
            2 * limits.heldBytes() + limits.queuedFrameBytes() + limits.responseBytes();
    BOOST_TEST(processBytes + parsedDocumentBytes + topics + storedJobs + connections
               <= limits.memoryMb << 20);
}

// Guards against peers that cannot reach a VM behind address translation.
BOOST_AUTO_TEST_CASE(advertised_peer_address_is_optional)
{
    const std::string required =
            R"("name": "a", "dataCentre": "z", "http": "10.0.0.1:1", "readiness": "10.0.0.1:2",)"
            R"("peer": "10.0.0.1:3", "store": "10.0.0.2:4")";
    const auto plain = parseNodeSettings("{" + required + "}");
    BOOST_REQUIRE(plain.has_value());
    BOOST_TEST(!plain.value().peerAdvertised.has_value());
    const auto translated =
            parseNodeSettings("{" + required + R"(, "peerAdvertised": "192.0.2.7:33"})");
    BOOST_REQUIRE(translated.has_value());
    BOOST_TEST((translated.value().peerAdvertised == Endpoint {"192.0.2.7", 33}));
    BOOST_TEST((translated.value().peer == Endpoint {"10.0.0.1", 3}));
    BOOST_TEST(
            !parseNodeSettings("{" + required + R"(, "peerAdvertised": "nowhere"})").has_value());
}

// Guards against reporting only the first of several errors in the settings.
BOOST_AUTO_TEST_CASE(every_error_in_the_settings_is_reported)
{
    const auto settings = parseNodeSettings(R"({"name": "UP", "http": "nowhere", "odd": 1})");
    BOOST_REQUIRE(!settings.has_value());
    BOOST_TEST(settings.error().errors.size() >= 6U);
}

namespace {

constexpr uint64_t startMs = 1'700'000'000'000;

// Entry of a server whose process started at startMs plus `age`.
std::string listedEntry(const std::string &dataCentre, uint64_t age, uint64_t beat,
                        const std::string &state = "ready")
{
    return R"({"service":"work","address":"10.0.0.1:80","zone":")" + dataCentre + R"(","state":")"
            + state + R"(","capacity":{"cpu":16000,"mem_mb":1,"gpu":0},)" + R"("born":)"
            + std::to_string(startMs + age) + R"(,"seq":)" + std::to_string(beat) + "}";
}

// A list of data centre dc1 with one server, whose entry the tests change.
struct OneServer
{
    std::optional<ServerInfo> update(const std::string &text)
    {
        entries["own"] = text;
        now += std::chrono::milliseconds(400);
        if (auto updated = list.update(entries, now))
            servers = std::move(*updated);
        return servers.empty() ? std::nullopt : std::optional(servers.front());
    }

    ServerList list {"dc1"};
    std::map<std::string, std::string> entries;
    std::vector<ServerInfo> servers;
    Time now = fromUnixMillis(startMs + 60'000);
};

// Entries of other writers that name no server to use.
const std::vector<std::string> &unusableEntries()
{
    static const std::string good = listedEntry("dc1", 5, 2);
    static const std::vector<std::string> entries {
            "",
            "{",
            "null",
            "[]",
            "\xff\xfe no text",
            std::string(100'000, '['),
            replaced(good, "{\"service\"",
                     R"({"deep":)" + std::string(5000, '[') + std::string(5000, ']')
                             + R"(,"service")"),
            replaced(good, "16000", "1e400"),
            replaced(good, "16000", "-1"),
            replaced(good, "16000", "99999999999999999999999999"),
            replaced(good, "16000", "4294967296"),
            replaced(good, "10.0.0.1:80", "10.0.0.1:65536"),
            replaced(good, "10.0.0.1:80", "10.0.0.1:0"),
            replaced(good, "10.0.0.1:80", "10.0.0.1:-1"),
            replaced(good, "10.0.0.1:80", "10.0.0.1:99999999999999999999"),
            replaced(good, "10.0.0.1:80", "host.example:80"),
            replaced(good, "\"ready\"", "\"odd\""),
            replaced(good, "\"ready\"", "null"),
            replaced(good, "\"work\"", "\"\""),
            replaced(good, "\"work\"", "\"" + std::string(100'000, 'x') + "\""),
            replaced(good, "\"capacity\":{", "\"labels\":7,\"capacity\":{"),
            replaced(good, "\"capacity\":{", "\"labels\":[\"a\",7],\"capacity\":{"),
            replaced(good, "\"capacity\":{", "\"slots\":\"8\",\"capacity\":{"),
            replaced(good, "\"capacity\":{", "\"version\":8,\"capacity\":{"),
            replaced(good, "\"born\":1700000000005", "\"born\":\"1700000000005\""),
            replaced(good, "\"born\":1700000000005", "\"born\":null"),
            replaced(good, "\"born\":1700000000005", "\"born\":-1"),
            replaced(good, "\"born\":1700000000005", "\"born\":1700000000005.5"),
            replaced(good, "\"born\":1700000000005", "\"born\":9e15"),
            replaced(good, "\"born\":1700000000005", "\"born\":9000000000000000"),
            replaced(good, "\"born\":1700000000005", "\"born\":18446744073709551615"),
            replaced(good, "\"born\":1700000000005", "\"born\":1e300"),
    };
    return entries;
}

} // namespace

// Guards against decoding the entries of all servers at every heartbeat, and against missing a
// change because of that: a drain, a new process under the same id, a removal or an unreadable
// entry.
BOOST_AUTO_TEST_CASE(server_list_detects_changes_without_decoding_all_entries)
{
    platform::ServerList list("dc1");
    Time now = fromUnixMillis(startMs + 60'000);
    std::map<std::string, std::string> entries;
    for (int i = 0; i < 10; ++i)
        entries["own" + std::to_string(i)] = listedEntry("dc1", 5, 1);
    for (int i = 0; i < 90; ++i)
        entries["other" + std::to_string(i)] = listedEntry("dc2", 5, 1);
    BOOST_REQUIRE_EQUAL(list.update(entries, now).value().size(), 10U);
    BOOST_TEST(list.decodedCount() == 100U);
    for (auto &[id, text] : entries)
        text = listedEntry(id.starts_with("own") ? "dc1" : "dc2", 5, 2);
    BOOST_TEST(!list.update(entries, now).has_value());
    BOOST_TEST(list.decodedCount() == 110U);

    entries["own0"] = listedEntry("dc1", 5, 3, "draining");
    BOOST_TEST(list.update(entries, now).value().front().isLeaving);
    entries["own1"] = listedEntry("dc1", 6, 1);
    BOOST_TEST(list.update(entries, now).value().at(1).incarnation == startMs + 6);
    entries["own2"] = "{";
    const auto servers = list.update(entries, now).value();
    BOOST_TEST(servers.size() == 10U);
    BOOST_TEST(servers.at(2).isLeaving);
    entries.erase("own3");
    BOOST_TEST(list.update(entries, now).value().size() == 9U);
    // A server that has moved to this data centre is found after the interval for remote entries.
    entries["other0"] = listedEntry("dc1", 7, 1);
    now += std::chrono::seconds(11);
    BOOST_TEST(list.update(entries, now).value().size() == 10U);
}

// Guards against entries of other writers that are taken for servers, or that end the process.
BOOST_AUTO_TEST_CASE(entries_of_other_writers_name_no_server)
{
    for (const std::string &text : unusableEntries()) {
        OneServer server;
        BOOST_TEST(!server.update(text).has_value(), text.substr(0, 200));
    }
    for (const std::string &id : {std::string(), std::string("a b"), std::string("a\r\nX: y"),
                                  std::string("\xff"), std::string(256, 'a')})
        BOOST_TEST(!decodeServer(id, listedEntry("dc1", 5, 1)).has_value());
}

// Guards against a server that vanishes, and whose runs are started elsewhere, because another
// writer has replaced its entry until its next heartbeat.
BOOST_AUTO_TEST_CASE(unusable_entry_keeps_its_server_without_new_work)
{
    for (const std::string &text : unusableEntries()) {
        OneServer server;
        const auto good = server.update(listedEntry("dc1", 5, 1));
        BOOST_REQUIRE(good.has_value());
        auto unknown = server.update(text);
        BOOST_REQUIRE_MESSAGE(unknown.has_value(), text.substr(0, 200));
        BOOST_TEST(unknown->isLeaving);
        unknown->isLeaving = false;
        BOOST_TEST((unknown == good));
        BOOST_TEST((server.update(listedEntry("dc1", 5, 3)) == good));
        server.entries.clear();
        BOOST_TEST(server.list.update(server.entries, server.now).value().empty());
    }
}

// Guards against a server without new work for longer than the next heartbeat: an entry that names
// another data centre is decoded rarely.
BOOST_AUTO_TEST_CASE(entry_that_contradicts_the_running_process_is_left_out)
{
    for (const auto &[from, to] :
         std::vector<std::pair<std::string, std::string>> {{"\"dc1\"", "\"dc2\""},
                                                           {"\"work\"", "\"other\""},
                                                           {"10.0.0.1:80", "10.0.0.2:80"}}) {
        OneServer server;
        const auto good = server.update(listedEntry("dc1", 5, 1));
        const std::string contradiction = replaced(listedEntry("dc1", 5, 2), from, to);
        auto unknown = server.update(contradiction);
        BOOST_REQUIRE(unknown.has_value());
        BOOST_TEST(unknown->isLeaving);
        BOOST_TEST((server.update(listedEntry("dc1", 5, 3)) == good));
        // A later process may differ.
        const auto restarted = server.update(replaced(listedEntry("dc1", 6, 1), from, to));
        BOOST_TEST((restarted != good));
        BOOST_TEST((!restarted || !restarted->isLeaving));
    }
}

// Guards against an entry of another writer that was read first and outlives the heartbeats of the
// server itself.
BOOST_AUTO_TEST_CASE(contradiction_is_accepted_when_it_is_repeated)
{
    OneServer server;
    const auto first = server.update(replaced(listedEntry("dc1", 5, 1), "10.0.0.1", "10.0.0.2"));
    BOOST_TEST(server.update(listedEntry("dc1", 5, 2))->address == first->address);
    BOOST_TEST(server.update(listedEntry("dc1", 5, 3))->address == "10.0.0.1:80");
    BOOST_TEST(!server.servers.front().isLeaving);
}

// Guards against entries that are left out without a trace, and against one report per heartbeat
// of the other servers.
BOOST_AUTO_TEST_CASE(left_out_entry_is_reported_once_per_content)
{
    OneServer server;
    const auto report = [&](const std::string &text) {
        server.update(text);
        return server.list.takeLeftOut();
    };
    BOOST_TEST(report(listedEntry("dc1", 5, 1)).empty());
    const std::vector<LeftOutRecord> noJson {{"own", "unusable JSON", 1}};
    BOOST_TEST((report("{") == noJson));
    BOOST_TEST(report("{").empty());
    BOOST_TEST(report("[]").size() == 1U);
    BOOST_TEST((report("{") == noJson));
    BOOST_TEST(report(listedEntry("dc2", 5, 1)).size() == 1U);
    BOOST_TEST(report(listedEntry("dc1", 5, 2)).empty());
}

// Guards against records that are left out without a count, and against keys of other writers that
// break the lines of the log.
BOOST_AUTO_TEST_CASE(left_out_records_are_counted_by_topic)
{
    Metrics metrics;
    LeftOutRecords records(metrics, "keyed.servers");
    records.report({});
    BOOST_TEST(metrics.prometheusText().find(
                       R"(lovage_left_out_records_total{topic="keyed.servers"} 0)")
               != std::string::npos);
    records.report({{"a", "unusable JSON", 1}, {"b\n", "unusable state", 2}});
    BOOST_TEST(metrics.prometheusText().find(
                       R"(lovage_left_out_records_total{topic="keyed.servers"} 2)")
               != std::string::npos);
    BOOST_TEST(printable("a\r\n\xff\"") == "a\\x0d\\x0a\\xff\"");
    BOOST_TEST(printable(std::string(255, 'a')).size() < 80U);
}

// Guards against a record of another writer that hides the address of a VM, or that is taken for
// one.
BOOST_AUTO_TEST_CASE(records_of_other_writers_name_no_vm)
{
    const Time now = fromUnixMillis(startMs);
    const auto startMicros = static_cast<uint64_t>(now.time_since_epoch().count());
    const VmInfo vm {"vm1", "dc1", "10.0.0.1:7000", startMicros, 250};
    const std::string good = encodeMember(vm);
    MemberList list({"stored-jobs"});
    std::map<std::string, std::string> records {
            {"stored-jobs", "1"}, {"vm1", good},
            {"vm2", good}, // describes another VM
            {"vm3", "{"},         {"vm4", std::string(100'000, '[')},
            {"vm5", "\xff"},      {"", replaced(good, "vm1", "")},
    };
    for (const auto &[from, to] : std::vector<std::pair<std::string, std::string>> {
                 {"10.0.0.1:7000", "10.0.0.1:0"},
                 {"10.0.0.1:7000", "10.0.0.1:70000"},
                 {"10.0.0.1:7000", "nowhere"},
                 {"dc1", std::string(100'000, 'x')},
                 {std::to_string(startMicros), "18446744073709551615"},
                 {std::to_string(startMicros), "8000000000000000"},
                 {std::to_string(startMicros), "-1"},
                 {std::to_string(startMicros), "1.5"},
                 {std::to_string(startMicros), "\"1\""},
                 {":250", ":4294967296"},
                 {":250", ":\"250\""}}) {
        const std::string name = "odd" + std::to_string(records.size());
        records[name] = replaced(replaced(good, "vm1", name), from, to);
    }
    BOOST_TEST((list.update(records, now) == std::vector<VmInfo> {vm}));
    BOOST_TEST(list.takeLeftOut().size() == records.size() - 2);
    BOOST_TEST((list.update(records, now) == std::vector<VmInfo> {vm}));
    BOOST_TEST(list.takeLeftOut().empty());
    records["vm3"] = "}";
    list.update(records, now);
    BOOST_TEST(list.takeLeftOut().size() == 1U);
}

// Guards against numbers of a configuration that are cut to other values, or that overflow where
// times are computed from them.
BOOST_AUTO_TEST_CASE(numbers_of_a_route_stay_in_range)
{
    const std::string document =
            R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/a/","timeout_ms":1500,)"
            R"("slo_ms":60,"priority":2,"service":"s","attempts":3,"stretch_factor":1.6}]})";
    const auto queueWith = [&](const std::string &from, const std::string &to) {
        return decodeConfiguration(replaced(document, from, to)).value().queues.front();
    };
    constexpr Duration year = std::chrono::hours(24 * 365);
    for (const char *huge : {"9000000000000000", "18446744073709551615", "1e17", "1e300"}) {
        const std::string value = std::string(":") + huge;
        BOOST_TEST((queueWith(":60", value).objectiveSlack == year));
        BOOST_TEST((queueWith(":1500", value).timeout == year));
        BOOST_TEST(queueWith(":3", value).attempts == UINT32_MAX);
        BOOST_TEST(queueWith(":2", value).priority == UINT32_MAX);
        BOOST_TEST(queueWith(":1.6", value).stretchFactor <= 1000);
    }
    BOOST_TEST(queueWith(":3", ":4294967296").attempts == UINT32_MAX);
    BOOST_TEST(queueWith(":1.6", ":-1").stretchFactor >= 0);
    BOOST_TEST(!decodeConfiguration(replaced(document, ":7", ":1e17")).has_value());
    BOOST_TEST(!decodeConfiguration(replaced(document, ":7", ":-7")).has_value());
}

// Guards against numbers of a job that are cut to valid ones, or that overflow where due times are
// computed from them.
BOOST_AUTO_TEST_CASE(jobs_with_numbers_out_of_range_are_refused)
{
    const auto repeatedJob = [](const std::string &fields) {
        return decodeJob("0123456789abcdef",
                         R"({"spec":"p","steps":[{"count":1,"cpu":1}],)" + fields + "}");
    };
    BOOST_TEST(repeatedJob(R"("repeat_count":3,"start_at_ms":1700000000000,"interval_ms":500)")
                       .has_value());
    for (const char *fields :
         {R"("repeat_count":4294967296)", R"("repeat_count":-1)", R"("repeat_count":"3")",
          R"("repeat_count":3,"start_at_ms":9000000000000000)",
          R"("repeat_count":3,"start_at_ms":18446744073709551615)",
          R"("repeat_count":3,"interval_ms":9000000000000000)",
          R"("repeat_count":3,"interval_ms":18446744073709551615)",
          R"("repeat_count":4294967295,"interval_ms":1000000000000)"})
        BOOST_TEST(!repeatedJob(fields).has_value(), fields);
    const auto dependent = [](const std::string &after) {
        return decodeJob("0123456789abcdef",
                         R"({"spec":"p","steps":[{"count":1,"cpu":1},{"count":1,"after":[)" + after
                                 + "]}]}");
    };
    BOOST_TEST(dependent("0").has_value());
    for (const char *after : {"4294967296", "18446744073709551615", "0.5", "-4294967296"})
        BOOST_TEST(!dependent(after).has_value());
}

// Guards against a VM that runs out of memory, and against each next one that keeps the job: all
// occurrences that are due are opened at one time.
BOOST_AUTO_TEST_CASE(job_with_too_many_overdue_occurrences_is_refused)
{
    const Time now = fromUnixMillis(startMs);
    const auto isAccepted = [&](uint64_t count, uint64_t firstDueMs, uint64_t intervalMs) {
        return decodeJob("0123456789abcdef",
                         R"({"spec":"p","steps":[{"count":2,"cpu":1}],"repeat_count":)"
                                 + std::to_string(count) + R"(,"start_at_ms":)"
                                 + std::to_string(firstDueMs) + R"(,"interval_ms":)"
                                 + std::to_string(intervalMs) + "}",
                         now)
                .has_value();
    };
    BOOST_TEST(isAccepted(100, startMs - 5000, 50));
    BOOST_TEST(isAccepted(UINT32_MAX, startMs - 5000, 1000));
    BOOST_TEST(isAccepted(50'000, startMs, 0));
    BOOST_TEST(!isAccepted(UINT32_MAX, startMs, 0));
    BOOST_TEST(!isAccepted(UINT32_MAX, startMs + 1'000'000, 0));
    BOOST_TEST(!isAccepted(UINT32_MAX, 0, 1));
    BOOST_TEST(!isAccepted(UINT32_MAX, 0, 1000));
    BOOST_TEST(!isAccepted(50'001, startMs, 0));
}
