// Read-copy-update (RCU) pointer based on liburcu.
#pragma once

#include <memory>
#include <utility>

namespace lovage {

namespace detail {
void rcuReadLock();
void rcuReadUnlock();
void *rcuDereference(void *const *slot);
void *rcuExchange(void **slot, void *value);
void rcuSynchronize();
} // namespace detail

// Registers the calling thread as an RCU reader for its lifetime. Every thread that reads an
// RcuPointer must create one first.
class RcuThread
{
public:
    RcuThread();
    ~RcuThread();
    RcuThread(const RcuThread &) = delete;
    RcuThread &operator=(const RcuThread &) = delete;
};

// Publishes immutable snapshots to reader threads. Readers never block and never write shared
// memory. Calls of publish() must not overlap. publish() waits for the readers of the old snapshot,
// so a thread that holds a guard must not call it.
template<class T>
class RcuPointer
{
public:
    // Keeps the snapshot alive while in scope. Must not be held while a network request is pending.
    class Guard
    {
    public:
        explicit Guard(const RcuPointer &pointer)
        {
            detail::rcuReadLock();
            value_ = static_cast<const T *>(detail::rcuDereference(&pointer.slot_));
        }
        ~Guard() { detail::rcuReadUnlock(); }
        Guard(const Guard &) = delete;
        Guard &operator=(const Guard &) = delete;

        explicit operator bool() const { return value_ != nullptr; }
        const T &operator*() const { return *value_; }
        const T *operator->() const { return value_; }

    private:
        const T *value_ = nullptr;
    };

    RcuPointer() = default;
    explicit RcuPointer(std::unique_ptr<const T> value)
        : slot_(const_cast<T *>(value.release())) { }
    ~RcuPointer() { delete static_cast<const T *>(slot_); }
    RcuPointer(const RcuPointer &) = delete;
    RcuPointer &operator=(const RcuPointer &) = delete;

    Guard read() const { return Guard(*this); }

    void publish(std::unique_ptr<const T> value)
    {
        void *raw = const_cast<T *>(value.release());
        std::unique_ptr<const T> old(static_cast<const T *>(detail::rcuExchange(&slot_, raw)));
        detail::rcuSynchronize();
    }

private:
    void *slot_ = nullptr;
};

} // namespace lovage
