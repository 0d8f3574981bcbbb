#include "lovage/net.h"

#include <cassert>

namespace lovage {

ByteBudget::Holder ByteBudget::open()
{
    const Holder holder = ++lastHolder_;
    held_[holder] = 0;
    return holder;
}

void ByteBudget::close(Holder holder)
{
    if (const auto found = held_.find(holder); found != held_.end()) {
        subtract(found->second, holder);
        held_.erase(found);
    }
}

std::vector<ByteBudget::Holder> ByteBudget::hold(Holder holder, size_t bytes)
{
    const auto found = held_.find(holder);
    if (found == held_.end())
        return {};
    subtract(found->second, holder);
    found->second = bytes;
    bySize_.emplace(bytes, holder);
    total_ += bytes;
    largeTotal_ += isLarge(bytes) ? bytes : 0;
    std::vector<Holder> refused;
    while (isExceeded()) {
        const Holder largest = bySize_.rbegin()->second;
        close(largest);
        refused.push_back(largest);
    }
    return refused;
}

bool ByteBudget::isExceeded() const
{
    return total_ > limits_.maxBytes || largeTotal_ > limits_.maxBytes - limits_.reservedBytes;
}

void ByteBudget::subtract(size_t bytes, Holder holder)
{
    bySize_.erase({bytes, holder});
    assert(total_ >= bytes);
    total_ -= bytes;
    largeTotal_ -= isLarge(bytes) ? bytes : 0;
}

std::shared_ptr<ConnectionBudget> makeBudget(size_t maxBytes, size_t ordinaryBytes)
{
    constexpr size_t reservedShare = 4;
    return std::make_shared<ConnectionBudget>(
            ByteBudget::Limits {maxBytes, maxBytes / reservedShare, ordinaryBytes});
}

uint64_t ConnectionBudget::open(std::function<void()> refuse)
{
    const std::lock_guard lock(mutex_);
    const auto holder = budget_.open();
    refuse_[holder] = std::move(refuse);
    return holder;
}

void ConnectionBudget::hold(uint64_t holder, size_t bytes)
{
    std::vector<std::function<void()>> refusals;
    {
        const std::lock_guard lock(mutex_);
        for (const auto refused : budget_.hold(holder, bytes)) {
            const auto found = refuse_.find(refused);
            refusals.push_back(std::move(found->second));
            refuse_.erase(found);
        }
    }
    for (const auto &refuse : refusals)
        refuse();
}

void ConnectionBudget::close(uint64_t holder)
{
    const std::lock_guard lock(mutex_);
    budget_.close(holder);
    refuse_.erase(holder);
}

size_t ConnectionBudget::heldBytes() const
{
    const std::lock_guard lock(mutex_);
    return budget_.heldBytes();
}

} // namespace lovage
