#include "core/admission/retry_budgets.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr double percent = 0.01;

} // namespace

void retry_budgets::configured(const std::vector<service_config>& services)
{
    std::map<service_name, retry_budget> old = std::exchange(budgets_, {});
    for (const service_config& it : services)
    {
        auto kept = old.extract(it.name);
        auto at = kept ? budgets_.insert(std::move(kept)).position
                       : budgets_.emplace(it.name, options_).first;
        at->second.set_share(it.retry_percent * percent);
    }
}

void retry_budgets::first_attempt(const service_name& service, const caller_name& caller)
{
    auto it = budgets_.find(service);
    if (it != budgets_.end())
    {
        it->second.first_attempt(caller);
    }
}

bool retry_budgets::try_spend(const service_name& service, const caller_name& caller)
{
    auto it = budgets_.find(service);
    return it != budgets_.end() && it->second.try_spend(caller);
}

} // namespace camphorrock
