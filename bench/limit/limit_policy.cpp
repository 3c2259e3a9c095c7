#include "bench/limit/limit_policy.hpp"

#include <algorithm>

namespace camphorrock
{
namespace
{

constexpr duration demand_period = seconds(1);
// Below it, a bucket would never fill within a run.
constexpr double min_rate = 1e-6;

class token_bucket
{
public:
    // `capacity` is the most tokens that are saved up; it starts full.
    explicit token_bucket(double capacity) : capacity_(capacity), tokens_(capacity) {}

    // The rate, in tokens a second, holds for the time since the last call.
    token_decision take(double rate, duration max_wait, time_point now)
    {
        const std::chrono::duration<double> passed = now - updated_at_.value_or(now);
        tokens_ = std::min(capacity_, tokens_ + passed.count() * rate);
        updated_at_ = now;
        const double missing = std::max(0.0, 1 - tokens_);
        const std::chrono::duration<double> wait(missing / std::max(rate, min_rate));
        if (wait > max_wait)
        {
            return {};
        }
        tokens_ -= 1;
        return {true, std::chrono::duration_cast<duration>(wait)};
    }

private:
    double capacity_;
    double tokens_;
    std::optional<time_point> updated_at_;
};

class equal_split : public limit_policy
{
public:
    explicit equal_split(const limit_policy_options& options)
        : options_(options), buckets_(options.gateways, token_bucket(1))
    {
    }

    token_decision request(unsigned gateway, time_point now) override
    {
        return buckets_[gateway].take(
            options_.limit / options_.gateways, options_.max_wait, now);
    }

private:
    limit_policy_options options_;
    std::vector<token_bucket> buckets_;
};

class demand_split : public limit_policy
{
public:
    explicit demand_split(const limit_policy_options& options)
        : options_(options), buckets_(options.gateways, token_bucket(1)),
          shares_(options.gateways, 1.0 / options.gateways), requests_(options.gateways)
    {
    }

    token_decision request(unsigned gateway, time_point now) override
    {
        period_end_ = period_end_.value_or(now + demand_period);
        if (now >= *period_end_)
        {
            update_shares();
            period_end_ = now + demand_period;
        }
        ++requests_[gateway];
        return buckets_[gateway].take(
            options_.limit * shares_[gateway], options_.max_wait, now);
    }

private:
    void update_shares()
    {
        double sum = 0;
        for (const unsigned it : requests_)
        {
            sum += it;
        }
        for (std::size_t n = 0; n < shares_.size(); ++n)
        {
            shares_[n] = requests_[n] / sum;
        }
        requests_.assign(requests_.size(), 0);
    }

    limit_policy_options options_;
    std::vector<token_bucket> buckets_;
    std::vector<double> shares_;
    std::vector<unsigned> requests_; // in the present period
    std::optional<time_point> period_end_;
};

class central_bucket : public limit_policy
{
public:
    explicit central_bucket(const limit_policy_options& options)
        : options_(options), bucket_(token_counter_options().burst)
    {
    }

    token_decision request(unsigned, time_point now) override
    {
        return bucket_.take(options_.limit, options_.max_wait, now);
    }

private:
    limit_policy_options options_;
    token_bucket bucket_;
};

} // namespace

std::unique_ptr<limit_policy> make_equal_split(const limit_policy_options& options)
{
    return std::make_unique<equal_split>(options);
}

std::unique_ptr<limit_policy> make_demand_split(const limit_policy_options& options)
{
    return std::make_unique<demand_split>(options);
}

std::unique_ptr<limit_policy> make_central_bucket(const limit_policy_options& options)
{
    return std::make_unique<central_bucket>(options);
}

} // namespace camphorrock
