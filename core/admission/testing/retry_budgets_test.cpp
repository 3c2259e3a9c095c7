#include "core/admission/retry_budgets.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;

TEST_CASE("retries follow the setting of each service")
{
    service_config diary;
    diary.name = service_name("diary");
    diary.retry_percent = 50;
    service_config claims;
    claims.name = service_name("claims");
    claims.retry_percent = 0;
    retry_budgets budgets({.share = 0.1, .max_saved = 10, .initial = 0});
    budgets.configured({claims, diary});
    const caller_name a("a");
    auto attempt = [&](const service_name& service, int times)
    {
        for (int n = 0; n < times; ++n)
        {
            budgets.first_attempt(service, a);
        }
    };
    attempt(diary.name, 2);

    SECTION("a service earns its own share, and another one has none of it")
    {
        CHECK(budgets.try_spend(diary.name, a));
        CHECK_FALSE(budgets.try_spend(diary.name, a));
        CHECK_FALSE(budgets.try_spend(claims.name, a));
    }
    SECTION("no percent: no retry, whatever was saved")
    {
        diary.retry_percent = 0;
        budgets.configured({claims, diary});
        CHECK_FALSE(budgets.try_spend(diary.name, a));
    }
    SECTION("another share counts at once, and what was saved stays")
    {
        diary.retry_percent = 100;
        budgets.configured({claims, diary});
        attempt(diary.name, 1);
        CHECK(budgets.try_spend(diary.name, a));
        CHECK(budgets.try_spend(diary.name, a));
        CHECK_FALSE(budgets.try_spend(diary.name, a));
    }
    SECTION("a service that is not configured has none")
    {
        budgets.configured({claims});
        CHECK_FALSE(budgets.try_spend(diary.name, a));
    }
}
