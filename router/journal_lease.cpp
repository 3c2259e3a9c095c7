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
    request_lease();
}

duration journal_lease::replacement_period() const
{
    return retention_ / leases_per_retention;
}

void journal_lease::request_lease()
{
    store_.grant_lease(retention_ + replacement_period(),
                       [this](const store_lease_grant& got)
                       {
                           bool is_done = got.end == store_end::done;
                           if (is_done)
                           {
                               lease_ = got.lease;
                           }
                           timer_ =
                               loop_.after(is_done ? replacement_period() : retry_period,
                                           [this] { request_lease(); });
                       });
}

} // namespace camphorrock
