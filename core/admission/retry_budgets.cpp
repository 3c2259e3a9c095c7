#include "core/admission/retry_budgets.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr double ratio_per_percent = 0.01;

} // namespace

void retry_budgets::configure(const std::vector<service_config>& services)
{
    std::map<service_name, retry_budget> previous = std::exchange(budgets_, {});
    for (const service_config& it : services)
    {
        auto node = previous.extract(it.name);
        auto at = node ? budgets_.insert(std::move(node)).position
                       : budgets_.emplace(it.name, options_).first;
        at->second.set_retry_ratio(it.retry_percent * ratio_per_percent);
    }
}

void retry_budgets::count_first_attempt(const service_name& service,
                                        const caller_name& caller)
{
    auto it = budgets_.find(service);
    if (it != budgets_.end())
    {
        it->second.count_first_attempt(caller);
    }
}

bool retry_budgets::try_spend(const service_name& service, const caller_name& caller)
{
    auto it = budgets_.find(service);
    return it != budgets_.end() && it->second.try_spend(caller);
}

} // namespace camphorrock
