#include "platformlink.h"

#include "lovage/backend.h"

namespace lovage::daemon {

namespace {

constexpr std::string_view streamPath = "/v1/streams/catalogue/records";
constexpr size_t maxPageBytes = 64U << 20;

HttpClientOptions clientOptions(const Settings &settings)
{
    HttpClientOptions options;
    options.maxResponseBytes = maxPageBytes;
    options.localAddress = settings.localAddress;
    return options;
}

Error unexpectedStatus(const HttpResponse &response)
{
    return mayHaveRun(ErrorCode::LogUnavailable, fmt::format("status {}", response.status));
}

VmListEntry toEntry(const backend::VmInfo &vm)
{
    VmListEntry entry;
    entry.name = vm.name;
    entry.role = vm.role == backend::VmRole::Entry ? VmRole::Entry
            : vm.role == backend::VmRole::Executor ? VmRole::Executor
                                                   : VmRole::Worker;
    entry.dataCentre = vm.dataCentre;
    entry.rack = vm.rack;
    entry.address = {vm.address, vm.port};
    entry.leaving = vm.isLeaving;
    entry.slots = vm.slots;
    entry.capacity = vm.capacity;
    return entry;
}

} // namespace

PlatformLink::PlatformLink(IoThreads &threads, SharedState &shared)
    : shared_(shared), logClient_(threads, 0, clientOptions(shared.settings)),
      listClient_(threads, 0, clientOptions(shared.settings))
{ }

void PlatformLink::call(const Endpoint &to, TrafficCounters &traffic, HttpRequest request,
                        Duration timeout, Callback callback)
{
    traffic.sent(wireBytes(request));
    HttpClient &client = &traffic == &shared_.counters.logTraffic ? logClient_ : listClient_;
    client.send(to, std::move(request), timeout,
                [&traffic, callback = std::move(callback)](Result<HttpResponse> result) {
                    if (result.has_value())
                        traffic.received(wireBytes(result.value()));
                    callback(std::move(result));
                });
}

void PlatformLink::readLog(const ReadLog &read)
{
    HttpRequest request;
    request.method = "GET";
    request.target = fmt::format("{}?from={}&max={}&waitMs={}", streamPath, read.from, read.max,
                                 read.wait / std::chrono::milliseconds(1));
    const Duration timeout = read.wait + shared_.settings.platform.requestTimeout;
    call(shared_.settings.platform.logService, shared_.counters.logTraffic, std::move(request),
         timeout, [this, token = read.token](Result<HttpResponse> result) {
             Result<backend::LogPage> parsed = notRun(ErrorCode::LogUnavailable, {});
             if (!result.has_value())
                 parsed = result.error();
             else if (result.value().status != 200)
                 parsed = unexpectedStatus(result.value());
             else
                 parsed = backend::parseLogPage(result.value().body);
             if (!parsed.has_value()) {
                 shared_.counters.logErrors.add();
                 shared_.queue.push(LogError {token, parsed.error().reason});
                 return;
             }
             LogPage page {token, parsed.value().first, parsed.value().next, {}};
             for (backend::LogRecord &record : parsed.value().records)
                 page.records.push_back({record.offset, std::move(record.data)});
             shared_.queue.push(std::move(page));
         });
}

void PlatformLink::appendChange(const AppendChange &append)
{
    HttpRequest request;
    request.method = "POST";
    request.target = streamPath;
    request.body = append.data;
    call(shared_.settings.platform.logService, shared_.counters.logTraffic, std::move(request),
         shared_.settings.platform.requestTimeout,
         [this, token = append.token](Result<HttpResponse> result) {
             Result<uint64_t> offset = notRun(ErrorCode::LogUnavailable, {});
             if (!result.has_value())
                 offset = result.error();
             else if (result.value().status != 200)
                 offset = unexpectedStatus(result.value());
             else
                 offset = backend::parseOffset(result.value().body);
             if (offset.has_value()) {
                 shared_.queue.push(AppendReplied {token, offset.value()});
                 return;
             }
             shared_.counters.logErrors.add();
             const bool isUnsent = !result.has_value() && result.error().verdict == Verdict::NotRun;
             shared_.queue.push(AppendFailed {token, !isUnsent, offset.error().reason});
         });
}

void PlatformLink::appendSnapshot(const AppendSnapshot &append)
{
    HttpRequest request;
    request.method = "POST";
    request.target = streamPath;
    request.body = append.data;
    call(shared_.settings.platform.logService, shared_.counters.logTraffic, std::move(request),
         shared_.settings.platform.requestTimeout, [this](Result<HttpResponse> result) {
             if (!result.has_value())
                 shared_.counters.logErrors.add();
         });
}

void PlatformLink::pollVmList(Time now)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/v1/vms";
    call(shared_.settings.platform.vmList, shared_.counters.vmListTraffic, std::move(request),
         shared_.settings.platform.requestTimeout, [this, now](Result<HttpResponse> result) {
             Result<std::vector<backend::VmInfo>> parsed = notRun(ErrorCode::Internal, {});
             if (!result.has_value())
                 parsed = result.error();
             else if (result.value().status != 200)
                 parsed = unexpectedStatus(result.value());
             else
                 parsed = backend::parseVmList(result.value().body);
             VmListInput input;
             input.asOf = now;
             if (parsed.has_value()) {
                 input.vms.emplace();
                 for (const backend::VmInfo &vm : parsed.value())
                     input.vms->push_back(toEntry(vm));
             } else {
                 input.reason = parsed.error().reason;
                 shared_.counters.vmListErrors.add();
             }
             shared_.queue.push(std::move(input));
         });
}

} // namespace lovage::daemon
