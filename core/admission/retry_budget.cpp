#include "core/admission/retry_budget.hpp"

#include <algorithm>

namespace camphorrock
{

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), overflow_balance_(options.initial_balance)
{
}

void retry_budget::count_first_attempt(const caller_name& caller)
{
    double& balance = balance_of(caller);
    balance = std::min(balance + options_.retry_ratio, options_.max_balance);
}

bool retry_budget::try_spend(const caller_name& caller)
{
    double& balance = balance_of(caller);
    if (options_.retry_ratio <= 0 || balance < 1)
    {
        return false;
    }
    balance -= 1;
    return true;
}

double& retry_budget::balance_of(const caller_name& caller)
{
    const auto it = balances_.find(caller);
    if (it != balances_.end())
    {
        return it->second;
    }
    if (balances_.size() >= options_.max_callers)
    {
        return overflow_balance_;
    }
    return balances_.emplace(caller, options_.initial_balance).first->second;
}

} // namespace camphorrock
