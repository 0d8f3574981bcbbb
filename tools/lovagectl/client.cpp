#include "client.h"

#include <boost/json.hpp>

#include <fmt/format.h>

namespace lovage::ctl {

namespace json = boost::json;

namespace {

Error malformed(std::string_view what)
{
    return mayHaveRun(ErrorCode::MalformedAnswer, fmt::format("malformed reply: {}", what));
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    return value != nullptr && value->is_string() ? std::string(value->get_string())
                                                  : std::string();
}

uint64_t numberOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    if (value == nullptr)
        return 0;
    boost::system::error_code error;
    const auto number = value->to_number<uint64_t>(error);
    return error ? 0 : number;
}

const json::array *arrayOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains({key.data(), key.size()});
    return value != nullptr ? value->if_array() : nullptr;
}

Result<json::value> parseBody(std::string_view body)
{
    boost::system::error_code error;
    json::value value = json::parse({body.data(), body.size()}, error);
    if (error || !value.is_object())
        return malformed("not a JSON object");
    return value;
}

// The failure that a body with verdict, code and reason describes.
Error failureOf(const HttpResponse &response)
{
    const auto body = parseBody(response.body);
    if (!body.has_value())
        return malformed(fmt::format("HTTP status {}", response.status));
    const json::object &object = body.value().get_object();
    const auto verdict = parseVerdict(textOf(object, "verdict"));
    const auto code = parseErrorCode(textOf(object, "code"));
    if (!verdict || !code)
        return malformed(fmt::format("HTTP status {}", response.status));
    return {*verdict, *code, textOf(object, "reason")};
}

} // namespace

Result<Status> parseStatus(std::string_view body)
{
    const auto value = parseBody(body);
    if (!value.has_value())
        return value.error();
    const json::object &object = value.value().get_object();
    Status status;
    status.vm = textOf(object, "vm");
    status.state = textOf(object, "state");
    status.follower = textOf(object, "follower");
    status.catalogueOffset = numberOf(object, "catalogueOffset");
    const json::array *members = arrayOf(object, "members");
    if (status.vm.empty() || members == nullptr)
        return malformed("no VM name or no members");
    for (const json::value &element : *members) {
        if (const json::object *member = element.if_object())
            status.members.push_back({textOf(*member, "vm"), textOf(*member, "dataCentre"),
                                      textOf(*member, "state"),
                                      numberOf(*member, "catalogueOffset")});
    }
    if (const json::array *alarms = arrayOf(object, "alarms")) {
        for (const json::value &element : *alarms) {
            if (const json::object *alarm = element.if_object())
                status.alarms.push_back(
                        fmt::format("{}: {}", textOf(*alarm, "code"), textOf(*alarm, "reason")));
        }
    }
    return status;
}

std::vector<VmStatus> laggingVms(const Status &status, uint64_t offset)
{
    std::vector<VmStatus> lagging;
    for (const VmStatus &member : status.members) {
        if (member.state != "leaving" && member.catalogueOffset < offset)
            lagging.push_back(member);
    }
    return lagging;
}

Client::Client(std::vector<Endpoint> vms, std::string token, Duration timeout)
    : vms_(std::move(vms)), token_(std::move(token)), timeout_(timeout)
{ }

Result<HttpResponse> Client::send(const HttpRequest &request)
{
    Result<HttpResponse> result = notRun(ErrorCode::PeerUnreachable, "no VM was given");
    for (const Endpoint &vm : vms_) {
        HttpRequest attempt = request;
        attempt.headers.push_back({"Authorization", "Bearer " + token_});
        result = sendHttp(vm, std::move(attempt), timeout_);
        if (result.has_value() || result.error().verdict != Verdict::NotRun)
            return result;
    }
    return result;
}

Result<json::value> Client::get(const std::string &target)
{
    const auto response = send({"GET", target, {}, {}});
    if (!response.has_value())
        return response.error();
    if (response.value().status != 200)
        return failureOf(response.value());
    return parseBody(response.value().body);
}

Result<uint64_t> Client::publish(const ChangeRecord &change)
{
    const auto response = send({"POST", "/v1/catalogue/changes", {}, serializeChange(change)});
    if (!response.has_value())
        return response.error();
    if (response.value().status != 200)
        return failureOf(response.value());
    const auto body = parseBody(response.value().body);
    if (!body.has_value())
        return body.error();
    return numberOf(body.value().get_object(), "offset");
}

Result<Entry> Client::entry(const std::string &name)
{
    const auto body = get("/v1/catalogue/" + name);
    if (!body.has_value())
        return body.error();
    const json::value *entry = body.value().get_object().if_contains("entry");
    if (entry == nullptr)
        return malformed("no entry");
    return parseEntry(json::serialize(*entry));
}

Result<Status> Client::status()
{
    const auto body = get("/v1/status");
    if (!body.has_value())
        return body.error();
    return parseStatus(json::serialize(body.value()));
}

} // namespace lovage::ctl
