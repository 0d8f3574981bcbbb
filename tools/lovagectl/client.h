// Calls to the operators' interface of entry VMs.
#pragma once

#include "lovage/catalogue.h"
#include "lovage/net.h"

#include <boost/json/value.hpp>

#include <string>
#include <vector>

namespace lovage::ctl {

// One VM as a status reply lists it.
struct VmStatus
{
    std::string vm;
    std::string dataCentre;
    std::string state;
    uint64_t catalogueOffset = 0;

    auto operator<=>(const VmStatus &) const = default;
};

struct Status
{
    std::string vm;
    std::string state;
    std::string follower;
    uint64_t catalogueOffset = 0;
    std::vector<VmStatus> members; // the replying VM included
    std::vector<std::string> alarms;
};

// Parses the body of GET /v1/status.
Result<Status> parseStatus(std::string_view body);

// VMs whose catalogue is older than the offset. VMs that have left are not counted; dead ones are,
// because they may come back with an old catalogue.
std::vector<VmStatus> laggingVms(const Status &status, uint64_t offset);

// Talks to the first VM that answers. Methods block.
class Client
{
public:
    Client(std::vector<Endpoint> vms, std::string token, Duration timeout);

    Result<boost::json::value> get(const std::string &target);
    // Sends a change once. It is sent to another VM only if it was not run at the first one.
    Result<uint64_t> publish(const ChangeRecord &change);
    Result<Entry> entry(const std::string &name);
    Result<Status> status();

private:
    Result<HttpResponse> send(const HttpRequest &request);

    std::vector<Endpoint> vms_;
    std::string token_;
    Duration timeout_;
};

} // namespace lovage::ctl
