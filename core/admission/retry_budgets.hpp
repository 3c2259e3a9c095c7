#pragma once

// The retry budgets of all services, one each, at the share that the service's
// configuration says.
//
//     budgets.configured(config.services);
//     budgets.first_attempt(service, caller);
//     if (budgets.try_spend(service, caller)) ... // send the retry or the hedge
//
// A service that is not configured has no retries. Memory: one retry_budget a service.

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

    // These are all services. What callers have saved stays.
    void configured(const std::vector<service_config>& services);

    void first_attempt(const service_name& service, const caller_name& caller);

    // False where the caller has no retry left there.
    bool try_spend(const service_name& service, const caller_name& caller);

private:
    retry_budget_options options_;
    std::map<service_name, retry_budget> budgets_;
};

} // namespace camphorrock
