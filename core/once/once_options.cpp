#include "core/once/once_options.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr duration min_append_interval = milliseconds(2);

} // namespace

duration append_interval_for(unsigned store_writes_per_second, unsigned gates)
{
    duration all = seconds(1) * std::max(gates, 1U);
    return std::max(min_append_interval, all / std::max(store_writes_per_second, 1U));
}

} // namespace camphorrock
