#pragma once

// Bounds the retries and hedged requests that are sent for each caller to a share of its
// first attempts, so that retries cannot multiply the load when answers fail.
//
//     budget.first_attempt(caller);
//     if (budget.try_spend(caller)) ... // send the retry or the hedge
//
// A caller earns `share` for each first attempt, up to `max_saved`, and spends one for
// each retry. Memory: one row a caller, at most `max_callers`; further callers share one
// row. O(1).

#include "core/base/names.hpp"

#include <cstddef>
#include <unordered_map>

namespace camphorrock
{

struct retry_budget_options
{
    double share = 0.1;             // retries earned by a first attempt
    double max_saved = 10;          // retries that a caller can save up
    double initial = 3;             // retries that a new caller has
    std::size_t max_callers = 1024; // rows kept
};

class retry_budget
{
public:
    explicit retry_budget(retry_budget_options options);

    // Retries earned by a first attempt from now on; 0 allows none at all, whatever is
    // saved.
    void set_share(double share)
    {
        options_.share = share;
    }

    void first_attempt(const caller_name& caller);

    // Takes one retry from the caller's budget; false where there is none.
    bool try_spend(const caller_name& caller);

    std::size_t size() const
    {
        return saved_.size();
    }

private:
    double& row(const caller_name& caller);

    retry_budget_options options_;
    std::unordered_map<caller_name, double> saved_;
    double shared_;
};

} // namespace camphorrock
