#pragma once

// The retry budgets of all services. Each service has its own, with the retry ratio of
// its configuration.
//
//     budgets.configure(config.services);
//     budgets.count_first_attempt(service, caller);
//     if (budgets.try_spend(service, caller)) ... // send the retry or the hedged request
//
// A service that is not configured has no retries. Memory: one retry_budget for each
// service.

#include "core/admission/retry_budget.hpp"
#include "core/config/service_config.hpp"

#include <map>
#include <vector>

namespace camphorrock
{

class retry_budgets
{
public:
    explicit retry_budgets(retry_budget_options options) : options_(options) {}

    // Replaces the set of services. A service that was configured before keeps the
    // balances of its callers.
    void configure(const std::vector<service_config>& services);

    void count_first_attempt(const service_name& service, const caller_name& caller);

    // Takes one retry from the caller's balance at the service. Returns false if none is
    // left, or the service is not configured.
    bool try_spend(const service_name& service, const caller_name& caller);

private:
    retry_budget_options options_;
    std::map<service_name, retry_budget> budgets_;
};

} // namespace camphorrock
