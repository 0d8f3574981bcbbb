#include "lovage/membership.h"

#include "membership_impl.h"

#include <algorithm>

namespace lovage {

uint32_t vmNameHash(std::string_view vm)
{
    return static_cast<uint32_t>(stableHash(vm));
}

std::string_view toString(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        break;
    }
    return "dead";
}

std::string_view toString(VmRole role)
{
    switch (role) {
    case VmRole::Entry:
        return "entry";
    case VmRole::Executor:
        return "executor";
    case VmRole::Worker:
        break;
    }
    return "worker";
}

std::optional<VmRole> parseVmRole(std::string_view text)
{
    for (const VmRole role : {VmRole::Entry, VmRole::Executor, VmRole::Worker}) {
        if (toString(role) == text)
            return role;
    }
    return std::nullopt;
}

Membership::Membership(MembershipOptions options, uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(std::move(options), seed, now))
{ }

Membership::~Membership() = default;

std::vector<MembershipAction> Membership::handle(const MembershipEvent &event, Time now)
{
    if (impl_->isFenced)
        return {};
    std::visit([&](const auto &specific) { impl_->on(specific, now); }, event);
    if (!impl_->isFenced)
        impl_->updateDerivedState(now);
    return std::exchange(impl_->actions, {});
}

std::vector<Member> Membership::members() const
{
    std::vector<Member> result;
    result.reserve(impl_->peers.size());
    for (const auto &[vm, peer] : impl_->peers)
        result.push_back(peer.member);
    return result;
}

std::vector<LaggingVm> Membership::laggingBehind(uint64_t offset) const
{
    std::vector<LaggingVm> result;
    if (impl_->own.catalogueOffset < offset) {
        const MemberState state = impl_->isLeaving ? MemberState::Leaving : MemberState::Alive;
        result.push_back(
                {impl_->options.vm, impl_->options.dataCentre, state, impl_->own.catalogueOffset});
    }
    for (const auto &[vm, peer] : impl_->peers) {
        const Member &member = peer.member;
        const bool isKnown = member.state != MemberState::Dead || member.inVmList;
        if (isKnown && member.catalogueOffset < offset)
            result.push_back({vm, member.dataCentre, member.state, member.catalogueOffset});
    }
    std::ranges::sort(result, {}, &LaggingVm::vm);
    return result;
}

std::string Membership::relay() const
{
    return impl_->relay.relay;
}

bool Membership::isFenced() const
{
    return impl_->isFenced;
}

bool Membership::isLeaving() const
{
    return impl_->isLeaving;
}

std::string Membership::successor() const
{
    return impl_->successor();
}

size_t Membership::stateBytes() const
{
    size_t bytes = sizeof(Impl) + impl_->vmList.stateBytes();
    for (const auto &[vm, peer] : impl_->peers) {
        bytes += vm.size() + sizeof(peer) + peer.member.capacity.size() * sizeof(uint32_t)
                + peer.deaths.size() * sizeof(Time);
    }
    return bytes;
}

} // namespace lovage
