#include "lovage/rcu.h"

#define URCU_API_MAP
#include <urcu/urcu-memb.h>

namespace lovage {

namespace detail {

void rcuReadLock()
{
    urcu_memb_read_lock();
}

void rcuReadUnlock()
{
    urcu_memb_read_unlock();
}

void *rcuDereference(void *const *slot)
{
    return rcu_dereference(*slot);
}

void *rcuExchange(void **slot, void *value)
{
    return rcu_xchg_pointer(slot, value);
}

void rcuSynchronize()
{
    urcu_memb_synchronize_rcu();
}

} // namespace detail

RcuThread::RcuThread()
{
    urcu_memb_register_thread();
}

RcuThread::~RcuThread()
{
    urcu_memb_unregister_thread();
}

} // namespace lovage
