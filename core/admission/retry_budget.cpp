#include "core/admission/retry_budget.hpp"

#include <algorithm>

namespace camphorrock
{

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), shared_(options.initial)
{
}

void retry_budget::first_attempt(const caller_name& caller)
{
    double& saved = row(caller);
    saved = std::min(saved + options_.share, options_.max_saved);
}

bool retry_budget::try_spend(const caller_name& caller)
{
    double& saved = row(caller);
    if (options_.share <= 0 || saved < 1)
    {
        return false;
    }
    saved -= 1;
    return true;
}

double& retry_budget::row(const caller_name& caller)
{
    const auto it = saved_.find(caller);
    if (it != saved_.end())
    {
        return it->second;
    }
    if (saved_.size() >= options_.max_callers)
    {
        return shared_;
    }
    return saved_.emplace(caller, options_.initial).first->second;
}

} // namespace camphorrock
