#include "core/admission/retry_budgets.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("each service has a retry budget with the ratio of its configuration")
{
    service_config diary;
    diary.name = service_name("diary");
    diary.retry_percent = 50;
    service_config claims;
    claims.name = service_name("claims");
    claims.retry_percent = 0;
    retry_budgets budgets({.retry_ratio = 0.1, .max_balance = 10, .initial_balance = 0});
    budgets.configure({claims, diary});
    const caller_name a("a");
    auto attempt = [&](const service_name& service, int times)
    {
        for (int n = 0; n < times; ++n)
        {
            budgets.count_first_attempt(service, a);
        }
    };
    attempt(diary.name, 2);

    SECTION("first attempts at one service allow no retries at another")
    {
        CHECK(budgets.try_spend(diary.name, a));
        CHECK_FALSE(budgets.try_spend(diary.name, a));
        CHECK_FALSE(budgets.try_spend(claims.name, a));
    }
    SECTION("a service with a ratio of 0 allows no retry, whatever the balance")
    {
        diary.retry_percent = 0;
        budgets.configure({claims, diary});
        CHECK_FALSE(budgets.try_spend(diary.name, a));
    }
    SECTION("a new ratio applies at once and keeps the balance")
    {
        diary.retry_percent = 100;
        budgets.configure({claims, diary});
        attempt(diary.name, 1);
        CHECK(budgets.try_spend(diary.name, a));
        CHECK(budgets.try_spend(diary.name, a));
        CHECK_FALSE(budgets.try_spend(diary.name, a));
    }
    SECTION("a service that is not configured allows no retry")
    {
        budgets.configure({claims});
        CHECK_FALSE(budgets.try_spend(diary.name, a));
    }
}
