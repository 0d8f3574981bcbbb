// Command line for operators. Operators act only through the catalogue.

#include "client.h"

#include "lovage/program.h"

#include <absl/flags/flag.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>
#include <thread>

ABSL_FLAG(std::string, vms, "127.0.0.1:8080",
          "comma-separated HTTP addresses of entry VMs; the first that answers is used");
ABSL_FLAG(std::string, token_file, "",
          "file that holds the operator's token; without it the variable LOVAGE_TOKEN is used");
ABSL_FLAG(uint64_t, replaces, 0,
          "version that a change or retirement replaces; 0 takes the version in the file or, "
          "without one, the version in force");
ABSL_FLAG(std::string, request_id, "",
          "id of the change; repeat it to ask after a change whose result is unknown");
ABSL_FLAG(bool, wait, false, "after a change, wait until it is in force on every VM");
ABSL_FLAG(uint64_t, timeout_ms, 10000, "longest time to wait for a reply or for the VMs, in ms");

namespace {

using namespace lovage;
using namespace lovage::ctl;

constexpr Duration pollInterval = std::chrono::milliseconds(100);

constexpr const char *usage =
        "command line for operators of the task dispatcher.\n\n"
        "  lovagectl [flags] validate FILE   check an entry file, without a VM\n"
        "  lovagectl [flags] publish FILE    publish a new entry\n"
        "  lovagectl [flags] change FILE     change an entry\n"
        "  lovagectl [flags] retire NAME     retire an entry; it refuses new submissions\n"
        "  lovagectl [flags] list            list the entries in force\n"
        "  lovagectl [flags] get NAME        print an entry, in the form of an entry file\n"
        "  lovagectl [flags] wait OFFSET     wait until all VMs are at the offset; names those "
        "behind\n"
        "  lovagectl [flags] status          state of the VMs, alarms\n"
        "  lovagectl [flags] explain ID      state, verdict and reason of one submission\n\n"
        "Exit codes: 0 success, 1 failure (refused, conflict, VMs behind), 2 wrong usage or "
        "invalid\n"
        "entry file. Only the commands above exist: a VM leaves by its stop signal or the VM list.";

Duration timeoutFlag()
{
    return std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
}

int fail(const Error &error)
{
    fmt::print(stderr, "lovagectl: {} ({}): {}\n", toString(error.code), toString(error.verdict),
               error.reason);
    return exitFailure;
}

std::optional<std::string> readFile(const std::string &file)
{
    const std::ifstream stream(file);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream)
        return std::nullopt;
    return text.str();
}

std::optional<Entry> readEntry(const std::string &file)
{
    const auto text = readFile(file);
    if (!text) {
        fmt::print(stderr, "{}: cannot be read\n", file);
        return std::nullopt;
    }
    auto entry = parseEntry(*text);
    if (!entry.has_value()) {
        fmt::print(stderr, "{}: {}\n", file, entry.error().reason);
        return std::nullopt;
    }
    return std::move(entry.value());
}

std::string newRequestId()
{
    std::random_device device;
    return fmt::format("ctl-{:x}-{:08x}{:08x}", toUnixMillis(currentTime()), device(), device());
}

// Polls until no VM lags; prints those that still do at the timeout.
int waitForOffset(Client &client, uint64_t offset)
{
    const Time deadline = currentTime() + timeoutFlag();
    std::vector<VmStatus> lagging;
    Result<Status> status = notRun(ErrorCode::Timeout, "no status was read in time");
    do {
        status = client.status();
        if (status.has_value()) {
            lagging = laggingVms(status.value(), offset);
            if (lagging.empty()) {
                fmt::print("in force at offset {} on {} VMs\n", offset,
                           status.value().members.size());
                return exitSuccess;
            }
        }
        std::this_thread::sleep_for(pollInterval);
    } while (currentTime() < deadline);
    if (!status.has_value())
        return fail(status.error());
    for (const VmStatus &vm : lagging)
        fmt::print(stderr, "behind: {} in {} ({}) at offset {}, not {}\n", vm.vm, vm.dataCentre,
                   vm.state, vm.catalogueOffset, offset);
    return exitFailure;
}

int sendChange(Client &client, ChangeRecord change)
{
    change.requestId = absl::GetFlag(FLAGS_request_id);
    if (change.requestId.empty())
        change.requestId = newRequestId();
    if (absl::GetFlag(FLAGS_replaces) != 0)
        change.replaces = absl::GetFlag(FLAGS_replaces);
    const auto offset = client.publish(change);
    if (!offset.has_value()) {
        if (offset.error().verdict == Verdict::MayHaveRun)
            fmt::print(stderr, "the result is unknown; ask again with --request_id={}\n",
                       change.requestId);
        return fail(offset.error());
    }
    fmt::print("accepted at offset {}\n", offset.value());
    return absl::GetFlag(FLAGS_wait) ? waitForOffset(client, offset.value()) : exitSuccess;
}

int validate(Client &, const std::string &file)
{
    if (!readEntry(file))
        return exitUsage;
    fmt::print("{}: valid\n", file);
    return exitSuccess;
}

int publish(Client &client, const std::string &file)
{
    auto entry = readEntry(file);
    if (!entry)
        return exitUsage;
    ChangeRecord change;
    change.operation = ChangeOperation::Publish;
    change.entry = std::move(*entry);
    return sendChange(client, std::move(change));
}

int changeEntry(Client &client, const std::string &file)
{
    auto entry = readEntry(file);
    if (!entry)
        return exitUsage;
    ChangeRecord change;
    change.operation = ChangeOperation::Change;
    change.replaces = entry->version;
    if (change.replaces == 0 && absl::GetFlag(FLAGS_replaces) == 0) {
        const auto current = client.entry(entry->name);
        if (!current.has_value())
            return fail(current.error());
        change.replaces = current.value().version;
    }
    change.entry = std::move(*entry);
    return sendChange(client, std::move(change));
}

int retire(Client &client, const std::string &name)
{
    auto current = client.entry(name);
    if (!current.has_value())
        return fail(current.error());
    ChangeRecord change;
    change.operation = ChangeOperation::Retire;
    change.replaces = current.value().version;
    change.entry = std::move(current.value());
    return sendChange(client, std::move(change));
}

int list(Client &client, const std::string &)
{
    const auto body = client.get("/v1/catalogue");
    if (!body.has_value())
        return fail(body.error());
    const boost::json::object &object = body.value().get_object();
    const boost::json::value *entries = object.if_contains("entries");
    if (entries == nullptr || !entries->is_array())
        return fail(mayHaveRun(ErrorCode::MalformedAnswer, "no entries in the reply"));
    fmt::print("{:<24} {:<16} {:<12} {:<9} {:>8}  {}\n", "name", "owner", "class", "backend",
               "version", "state");
    for (const boost::json::value &value : entries->get_array()) {
        const auto entry = parseEntry(boost::json::serialize(value));
        if (!entry.has_value())
            return fail(entry.error());
        const Entry &row = entry.value();
        fmt::print("{:<24} {:<16} {:<12} {:<9} {:>8}  {}\n", row.name, row.owner, row.workClass,
                   toString(row.backendKind), row.version, row.retired ? "retired" : "in force");
    }
    return exitSuccess;
}

int get(Client &client, const std::string &name)
{
    const auto entry = client.entry(name);
    if (!entry.has_value())
        return fail(entry.error());
    fmt::print("{}\n", serializeEntry(entry.value()));
    return exitSuccess;
}

int wait(Client &client, const std::string &text)
{
    char *end = nullptr;
    const uint64_t offset = std::strtoull(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0') {
        fmt::print(stderr, "lovagectl: '{}' is not an offset\n", text);
        return exitUsage;
    }
    return waitForOffset(client, offset);
}

int printStatus(Client &client, const std::string &)
{
    const auto result = client.status();
    if (!result.has_value())
        return fail(result.error());
    const Status &status = result.value();
    fmt::print("{} is {}; catalogue {} at offset {}\n", status.vm, status.state, status.follower,
               status.catalogueOffset);
    for (const VmStatus &member : status.members)
        fmt::print("  {:<20} {:<16} {:<8} offset {}\n", member.vm, member.dataCentre, member.state,
                   member.catalogueOffset);
    for (const std::string &alarm : status.alarms)
        fmt::print("alarm {}\n", alarm);
    return status.alarms.empty() ? exitSuccess : exitFailure;
}

int explain(Client &client, const std::string &id)
{
    const auto body = client.get("/v1/submissions/" + id);
    if (!body.has_value()) {
        fmt::print("{}: failed, {}\n", id, toString(body.error().verdict));
        return fail(body.error());
    }
    const boost::json::object &object = body.value().get_object();
    const boost::json::value *results = object.if_contains("results");
    const boost::json::value *state = object.if_contains("state");
    fmt::print("{}: {}", id, state != nullptr ? boost::json::serialize(*state) : "?");
    if (results != nullptr && results->is_array())
        fmt::print(", {} results", results->get_array().size());
    fmt::print("\n");
    return exitSuccess;
}

struct Command
{
    bool hasArgument = false;
    std::function<int(Client &, const std::string &)> run;
};

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> table = {
            {"validate", {true, validate}},  {"publish", {true, publish}},
            {"change", {true, changeEntry}}, {"retire", {true, retire}},
            {"list", {false, list}},         {"get", {true, get}},
            {"wait", {true, wait}},          {"status", {false, printStatus}},
            {"explain", {true, explain}},
    };
    return table;
}

std::optional<std::vector<Endpoint>> vmsFlag()
{
    std::vector<Endpoint> vms;
    std::istringstream text(absl::GetFlag(FLAGS_vms));
    for (std::string part; std::getline(text, part, ',');) {
        const auto endpoint = parseEndpoint(part);
        if (!endpoint) {
            fmt::print(stderr, "lovagectl: '{}' is not an IP address with a port\n", part);
            return std::nullopt;
        }
        vms.push_back(*endpoint);
    }
    return vms;
}

std::optional<std::string> tokenFlag()
{
    const std::string file = absl::GetFlag(FLAGS_token_file);
    if (file.empty()) {
        const char *token = std::getenv("LOVAGE_TOKEN"); // NOLINT(concurrency-mt-unsafe)
        return token != nullptr ? std::string(token) : std::string();
    }
    auto token = readFile(file);
    if (!token) {
        fmt::print(stderr, "lovagectl: token file '{}' cannot be read\n", file);
        return std::nullopt;
    }
    token->erase(token->find_last_not_of(" \r\n") + 1);
    return token;
}

int run(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        fmt::print(stderr, "lovagectl: a command is required; see --help\n");
        return exitUsage;
    }
    const auto found = commands().find(arguments[0]);
    if (found == commands().end()) {
        fmt::print(stderr, "lovagectl: unknown command '{}'; see --help\n", arguments[0]);
        return exitUsage;
    }
    const Command &command = found->second;
    if (arguments.size() != (command.hasArgument ? 2U : 1U)) {
        fmt::print(stderr, "lovagectl: '{}' takes {} argument; see --help\n", arguments[0],
                   command.hasArgument ? "one" : "no");
        return exitUsage;
    }
    const auto vms = vmsFlag();
    const auto token = tokenFlag();
    if (!vms || !token)
        return exitUsage;
    Client client(*vms, *token, timeoutFlag());
    return command.run(client, command.hasArgument ? arguments[1] : "");
}

} // namespace

int main(int argc, char **argv)
{
    return run(lovage::parseCommandLine("lovagectl", usage, argc, argv));
}
