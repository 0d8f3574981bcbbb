#include "lovage/routing.h"

namespace lovage {

namespace {

// A VM that refused a connection is asked again after this time.
constexpr Duration unreachableDelay = std::chrono::milliseconds(500);

} // namespace

VmTable::News VmTable::note(VmReport report, Time now)
{
    if (report.vm.name == self_.name)
        return News::Stale;
    const auto [entry, isNew] = rows_.try_emplace(report.vm.name, Row {report, now});
    if (isNew)
        return News::New;
    Row &row = entry->second;
    if (report.vm.incarnation < row.report.vm.incarnation)
        return News::Stale;
    const bool isRestarted = report.vm.incarnation > row.report.vm.incarnation;
    row.report = std::move(report);
    row.heardAt = now;
    return isRestarted ? News::Restarted : News::Known;
}

void VmTable::noteLoads(const std::string &vm, std::vector<ServiceLoad> loads)
{
    const auto found = rows_.find(vm);
    if (found != rows_.end())
        found->second.report.loads = std::move(loads);
}

void VmTable::noteUnreachable(const std::string &vm, Time now)
{
    const auto found = rows_.find(vm);
    if (found != rows_.end())
        found->second.avoidUntil = now + unreachableDelay;
}

std::vector<std::string> VmTable::removeLost(Time now)
{
    std::vector<std::string> lost;
    for (const auto &[name, row] : rows_) {
        if (now > row.heardAt + options_.loss)
            lost.push_back(name);
    }
    for (const std::string &name : lost)
        rows_.erase(name);
    return lost;
}

bool VmTable::isHeard(const Row &row, Time now) const
{
    return now <= row.heardAt + options_.silence && now >= row.avoidUntil;
}

const VmTable::Row *VmTable::find(const std::string &vm) const
{
    const auto found = rows_.find(vm);
    return found == rows_.end() ? nullptr : &found->second;
}

} // namespace lovage
