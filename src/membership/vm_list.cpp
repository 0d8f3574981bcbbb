#include "vm_list.h"

namespace lovage {

std::optional<VmListUpdate> VmListState::replace(const std::vector<VmListEntry> &vms,
                                                 uint64_t version, Time now)
{
    std::map<std::string, VmListEntry> next;
    for (const VmListEntry &vm : vms) {
        if (isValidName(vm.name))
            next.insert_or_assign(vm.name, vm);
    }
    VmListUpdate update {version, version_, {}, {}};
    for (const auto &[name, vm] : next) {
        const auto known = vms_.find(name);
        if (known == vms_.end() || known->second != vm)
            update.changed.push_back(vm);
    }
    for (const auto &[name, vm] : vms_) {
        if (!next.contains(name))
            update.removed.push_back(name);
    }
    const bool isSame = update.changed.empty() && update.removed.empty();
    if (isSame && version_ != 0)
        return std::nullopt;
    vms_ = std::move(next);
    version_ = version;
    updateBackends(now);
    return update;
}

bool VmListState::apply(const VmListUpdate &update, Time now)
{
    const bool isKnownBase = update.base == 0 || update.base == version_;
    if (update.version <= version_ || !isKnownBase)
        return false;
    if (update.base == 0)
        vms_.clear();
    for (const VmListEntry &vm : update.changed)
        vms_.insert_or_assign(vm.name, vm);
    for (const std::string &name : update.removed)
        vms_.erase(name);
    version_ = update.version;
    updateBackends(now);
    return true;
}

VmListUpdate VmListState::fullUpdate() const
{
    VmListUpdate update {version_, 0, {}, {}};
    for (const auto &[name, vm] : vms_)
        update.changed.push_back(vm);
    return update;
}

void VmListState::updateBackends(Time now)
{
    for (const auto &[name, vm] : vms_) {
        if (vm.role != VmRole::Entry)
            backends_.insert_or_assign(name, Backend {vm, std::nullopt});
    }
    for (auto &[name, backend] : backends_) {
        if (!vms_.contains(name) && !backend.absentSince)
            backend.absentSince = now;
    }
}

bool VmListState::forgetAbsent(Time now)
{
    size_t absent = 0;
    for (const auto &[name, backend] : backends_)
        absent += backend.absentSince ? 1 : 0;
    // A list that lacks more than half of the servers is assumed to be wrong.
    if (absent == 0 || absent * 2 > backends_.size())
        return false;
    return std::erase_if(backends_,
                         [&](const auto &item) {
                             const auto &since = item.second.absentSince;
                             return since && now - *since >= forgetAfter_;
                         })
            > 0;
}

const VmListEntry *VmListState::find(const std::string &name) const
{
    const auto found = vms_.find(name);
    return found == vms_.end() ? nullptr : &found->second;
}

std::vector<VmListEntry> VmListState::backends() const
{
    std::vector<VmListEntry> result;
    result.reserve(backends_.size());
    for (const auto &[name, backend] : backends_)
        result.push_back(backend.entry);
    return result;
}

size_t VmListState::stateBytes() const
{
    return sizeof(*this) + vms_.size() * sizeof(*vms_.begin())
            + backends_.size() * sizeof(*backends_.begin());
}

} // namespace lovage
