#include "inputs.h"

namespace lovage::daemon {

void InputQueue::push(Input input)
{
    bool wake = false;
    {
        const std::lock_guard lock(mutex_);
        inputs_.push_back(std::move(input));
        wake = isWaiting_;
    }
    if (wake)
        ready_.notify_one();
}

void InputQueue::take(std::vector<Input> &batch, Duration wait)
{
    batch.clear();
    std::unique_lock lock(mutex_);
    if (inputs_.empty() && wait > Duration::zero()) {
        isWaiting_ = true;
        ready_.wait_for(lock, wait, [this] { return !inputs_.empty(); });
        isWaiting_ = false;
    }
    batch.swap(inputs_);
}

} // namespace lovage::daemon
