#pragma once

// Limits the retries and hedged requests sent for each caller to a fraction of its first
// attempts, so that retries cannot multiply the load while answers fail.
//
//     budget.count_first_attempt(caller);
//     if (budget.try_spend(caller)) ... // send the retry or the hedged request
//
// Each first attempt adds `retry_ratio` to the caller's balance, up to `max_balance`;
// each retry takes 1 from it. Memory: one entry for each caller, at most `max_callers`;
// all further callers share one balance. Each call is O(1).

#include "core/base/names.hpp"

#include <cstddef>
#include <unordered_map>

namespace camphorrock
{

struct retry_budget_options
{
    double retry_ratio = 0.1;       // retries allowed for each first attempt
    double max_balance = 10;        // retries that a caller can accumulate
    double initial_balance = 3;     // retries allowed to a new caller
    std::size_t max_callers = 1024; // entries kept
};

class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    // Sets the retries allowed for each first attempt from now on. With 0, no retry is
    // allowed whatever the balances.
    void set_retry_ratio(double retry_ratio)
    {
        options_.retry_ratio = retry_ratio;
    }

    void count_first_attempt(const caller_name& caller);

    // Takes one retry from the caller's balance. Returns false if the balance is below 1
    // or the retry ratio is 0.
    bool try_spend(const caller_name& caller);

    // The number of callers with a balance of their own.
    std::size_t size() const
    {
        return balances_.size();
    }

private:
    double& balance_of(const caller_name& caller);

    retry_budget_options options_;
    std::unordered_map<caller_name, double> balances_;
    double overflow_balance_; // of all callers beyond max_callers
};

} // namespace camphorrock
