// Serializers and parsers for the bodies of the log service and the VM list.
#include "reader.h"

#include <fmt/format.h>

namespace lovage::backend {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> roleNames = {"entry", "executor", "worker"};
constexpr uint64_t maxCount = UINT32_MAX;

VmInfo parseVm(Body &body, const json::value &value, const std::string &path)
{
    ObjectReader reader(body, value, path);
    VmInfo vm;
    vm.name = reader.id("name");
    vm.role = reader.choice("role",
                            [](std::string_view text) { return enumOf<VmRole>(roleNames, text); });
    vm.dataCentre = reader.id("dataCentre");
    vm.rack = reader.id("rack");
    vm.address = reader.id("address");
    vm.port = static_cast<uint16_t>(reader.number("port", UINT16_MAX));
    vm.isLeaving = reader.choice("state", [](std::string_view text) -> std::optional<bool> {
        if (text == "live" || text == "leaving")
            return text == "leaving";
        return std::nullopt;
    });
    if (reader.has("slots"))
        vm.slots = static_cast<uint32_t>(reader.number("slots", maxCount));
    if (reader.has("milliCores"))
        vm.capacity.milliCores = static_cast<uint32_t>(reader.number("milliCores", maxCount));
    if (reader.has("memoryMb"))
        vm.capacity.memoryMb = static_cast<uint32_t>(reader.number("memoryMb", maxCount));
    if (reader.has("accelerators"))
        vm.capacity.accelerators = static_cast<uint32_t>(reader.number("accelerators", maxCount));
    reader.finish();
    if (!isValidName(vm.name))
        reader.fail("name", "is not a valid name");
    return vm;
}

} // namespace

std::string_view toString(VmRole role)
{
    return roleNames.at(static_cast<size_t>(role));
}

std::string serializeOffset(uint64_t offset)
{
    return fmt::format(R"({{"offset":{}}})", offset);
}

Result<uint64_t> parseOffset(std::string_view text)
{
    Body body = replyBody(text, {});
    ObjectReader reader(body, body.root(), "");
    const uint64_t offset = reader.number("offset", UINT64_MAX);
    reader.finish();
    return finishParse(body, offset);
}

std::string serialize(const LogPage &page)
{
    std::string out = fmt::format(R"({{"first":{},"next":{},"records":[)", page.first, page.next);
    for (const LogRecord &record : page.records) {
        out += &record == &page.records.front() ? "" : ",";
        out += fmt::format(R"({{"offset":{},"data":)", record.offset);
        appendQuoted(out, record.data);
        out += '}';
    }
    return out + "]}";
}

Result<LogPage> parseLogPage(std::string_view text, const BodyLimits &limits)
{
    Body body = replyBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    LogPage page;
    page.first = reader.number("first", UINT64_MAX);
    page.next = reader.number("next", UINT64_MAX);
    reader.each("records", [&](const json::value &value, const std::string &path) {
        ObjectReader record(body, value, path);
        page.records.push_back({record.number("offset", UINT64_MAX), record.payload("data")});
        record.finish();
    });
    reader.finish();
    return finishParse(body, std::move(page));
}

std::string serialize(const std::vector<VmInfo> &vms)
{
    std::string out = R"({"vms":[)";
    for (const VmInfo &vm : vms) {
        out += &vm == &vms.front() ? R"({"name":)" : R"(,{"name":)";
        appendQuoted(out, vm.name);
        out += fmt::format(R"(,"role":"{}","dataCentre":)", toString(vm.role));
        appendQuoted(out, vm.dataCentre);
        out += R"(,"rack":)";
        appendQuoted(out, vm.rack);
        out += R"(,"address":)";
        appendQuoted(out, vm.address);
        out += fmt::format(R"(,"port":{},"state":"{}","slots":{},"milliCores":{},"memoryMb":{},)"
                           R"("accelerators":{}}})",
                           vm.port, vm.isLeaving ? "leaving" : "live", vm.slots,
                           vm.capacity.milliCores, vm.capacity.memoryMb, vm.capacity.accelerators);
    }
    return out + "]}";
}

Result<std::vector<VmInfo>> parseVmList(std::string_view text, const BodyLimits &limits)
{
    Body body = replyBody(text, limits);
    ObjectReader reader(body, body.root(), "");
    std::vector<VmInfo> vms;
    reader.each("vms", [&](const json::value &value, const std::string &path) {
        vms.push_back(parseVm(body, value, path));
    });
    reader.finish();
    return finishParse(body, std::move(vms));
}

} // namespace lovage::backend
