// HTTP calls to the platform: log service and VM list.
#pragma once

#include "shared.h"

#include "lovage/net.h"

namespace lovage::daemon {

// Sends requests to the platform and puts the replies into the input queue. Used by the decision
// thread.
class PlatformLink
{
public:
    PlatformLink(IoThreads &threads, SharedState &shared);

    void readLog(const ReadLog &read);
    void appendChange(const AppendChange &append);
    void appendSnapshot(const AppendSnapshot &append);
    void pollVmList(Time now);

private:
    using Callback = std::function<void(Result<HttpResponse>)>;
    void call(const Endpoint &to, TrafficCounters &traffic, HttpRequest request, Duration timeout,
              Callback callback);

    SharedState &shared_;
    HttpClient logClient_;
    HttpClient listClient_;
};

} // namespace lovage::daemon
