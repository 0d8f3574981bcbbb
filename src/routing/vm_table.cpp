#include "lovage/routing.h"

#include <algorithm>

namespace lovage {

namespace {

// Time without new jobs for a VM that could not be connected to.
constexpr Duration unreachableDelay = std::chrono::milliseconds(500);
// Time for which reports list a lost VM. After it, the VM has either ended or declared this VM lost
// as well.
constexpr Duration lostVmNoticeTime = std::chrono::seconds(5);

// Inverse of the maximum relative drift between the clocks of two VMs.
constexpr int maxClockDriftInverse = 50;

ServiceLoad *findLoad(std::vector<ServiceLoad> &loads, const std::string &service)
{
    const auto found = std::find_if(loads.begin(), loads.end(), [&](const ServiceLoad &load) {
        return load.service == service;
    });
    return found == loads.end() ? nullptr : &*found;
}

} // namespace

VmTable::ReportResult VmTable::addReport(VmReport report, Time now)
{
    if (report.vm.name == self_.name)
        return ReportResult::Stale;
    lostAt_.erase(report.vm.name);
    const Duration clockOffset = report.sentAt - now;
    const auto [entry, isNew] = rows_.try_emplace(report.vm.name, Row {report, now, clockOffset});
    if (isNew)
        return ReportResult::New;
    Row &row = entry->second;
    if (report.vm.incarnation < row.report.vm.incarnation)
        return ReportResult::Stale;
    const bool isRestarted = report.vm.incarnation > row.report.vm.incarnation;
    // Only some reports list the holders, so the last list is kept.
    if (report.holders.empty() && !isRestarted)
        report.holders = std::move(row.report.holders);
    // A report that was delayed for less long gives a better bound. An earlier bound is lowered by
    // the possible drift since.
    const Duration drift = (now - row.lastReportAt) / maxClockDriftInverse;
    row.clockOffset = isRestarted ? clockOffset : std::max(clockOffset, row.clockOffset - drift);
    row.report = std::move(report);
    row.lastReportAt = now;
    return isRestarted ? ReportResult::Restarted : ReportResult::Known;
}

void VmTable::updateLoads(const std::string &vm, std::vector<ServiceLoad> loads)
{
    const auto found = rows_.find(vm);
    if (found != rows_.end())
        found->second.report.loads = std::move(loads);
}

void VmTable::markUnreachable(const std::string &vm, Time now)
{
    const auto found = rows_.find(vm);
    if (found != rows_.end())
        found->second.avoidUntil = now + unreachableDelay;
}

VmTable::RemovedVms VmTable::removeSilent(Time now)
{
    RemovedVms removed;
    std::erase_if(rows_, [&](const auto &entry) {
        const Row &row = entry.second;
        if (now <= std::max(row.lastReportAt, row.followedAt) + options_.lostAfter)
            return false;
        if (row.isFollowed || row.report.isFollowing) {
            removed.lost.push_back(entry.first);
            lostAt_[entry.first] = now;
        } else {
            removed.forgotten.push_back(entry.first);
        }
        return true;
    });
    return removed;
}

void VmTable::setFollowed(const std::string &vm, bool isFollowed, Time now)
{
    const auto found = rows_.find(vm);
    if (found == rows_.end())
        return;
    Row &row = found->second;
    if (isFollowed && !row.isFollowed)
        row.followedAt = now;
    row.isFollowed = isFollowed;
}

void VmTable::remove(const std::string &vm, Time now)
{
    if (rows_.erase(vm) > 0)
        lostAt_[vm] = now;
}

std::vector<std::string> VmTable::recentlyLost(Time now) const
{
    std::vector<std::string> lost;
    for (const auto &[vm, at] : lostAt_) {
        if (now < at + lostVmNoticeTime)
            lost.push_back(vm);
    }
    return lost;
}

std::vector<PoolView> poolsFor(const std::string &service, std::vector<ServiceLoad> &ownLoads,
                               VmTable &vms, Time now)
{
    std::vector<PoolView> pools;
    const auto addPool = [&](const std::string &vm, std::vector<ServiceLoad> &loads, bool isLocal) {
        ServiceLoad *load = findLoad(loads, service);
        if (load && load->rate > 0)
            pools.push_back({vm, load, isLocal});
    };
    const std::set<std::string> &evacuated = vms.evacuated();
    if (!evacuated.contains(vms.self().dataCentre))
        addPool(vms.self().name, ownLoads, true);
    for (auto &[name, row] : vms.rows()) {
        if (vms.isReachable(row, now) && !row.report.isDraining
            && !evacuated.contains(row.report.vm.dataCentre))
            addPool(name, row.report.loads, row.report.vm.dataCentre == vms.self().dataCentre);
    }
    return pools;
}

bool VmTable::isReachable(const Row &row, Time now) const
{
    return !isReportOverdue(row, now) && now >= row.avoidUntil;
}

bool VmTable::isReportOverdue(const Row &row, Time now) const
{
    const Duration timeout = std::max(options_.unreachableAfter,
                                      2 * row.report.nextReportWithin + options_.reportSlack);
    return now > row.lastReportAt + timeout;
}

Time VmTable::clockOf(const Row &row, Time now)
{
    const Duration drift = (now - row.lastReportAt) / maxClockDriftInverse;
    return now + row.clockOffset - drift;
}

const VmTable::Row *VmTable::find(const std::string &vm) const
{
    const auto found = rows_.find(vm);
    return found == rows_.end() ? nullptr : &found->second;
}

} // namespace lovage
