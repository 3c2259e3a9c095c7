#include "router/journal_lease.hpp"

namespace camphorrock
{
namespace
{

constexpr int leases_per_retention = 8;
constexpr duration retry_period = seconds(1);

} // namespace

void journal_lease::set_retention(duration retention)
{
    if (retention == retention_)
    {
        return;
    }
    retention_ = retention;
    take();
}

duration journal_lease::period() const
{
    return retention_ / leases_per_retention;
}

void journal_lease::take()
{
    store_.grant_lease(retention_ + period(),
                       [this](const store_lease_grant& got)
                       {
                           bool is_done = got.end == store_end::done;
                           if (is_done)
                           {
                               lease_ = got.lease;
                           }
                           timer_ = loop_.after(is_done ? period() : retry_period,
                                                [this] { take(); });
                       });
}

} // namespace camphorrock
