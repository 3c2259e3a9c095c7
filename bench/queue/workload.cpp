#include "bench/queue/workload.hpp"

#include <algorithm>
#include <random>

namespace camphorrock
{
namespace
{

// Long requests take between half and one and a half times their mean.
constexpr double long_spread = 0.5;

duration scaled(duration value, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

class stream
{
public:
    stream(const queue_scenario& scenario, bool is_long, std::uint64_t seed)
        : scenario_(scenario), is_long_(is_long), random_(seed)
    {
    }

    // Thinning of a Poisson process at the highest rate.
    void draw(std::vector<scripted_request>& out)
    {
        const double peak = highest_load();
        const double per_second = peak * rate_at_full_load();
        if (per_second <= 0)
        {
            return;
        }
        std::exponential_distribution<double> gap(per_second);
        for (double at = gap(random_); at < length_s(); at += gap(random_))
        {
            const scripted_request it = draw_one(at);
            const duration offset = it.arrival.time_since_epoch();
            if (unit_(random_) * peak < phase_at(scenario_.load, offset).load)
            {
                out.push_back(it);
            }
        }
    }

private:
    double length_s() const
    {
        return std::chrono::duration<double>(scenario_.length).count();
    }

    double highest_load() const
    {
        double peak = 0;
        for (const load_phase& it : scenario_.load)
        {
            peak = std::max(peak, it.load);
        }
        return peak;
    }

    double rate_at_full_load() const
    {
        const double share = is_long_ ? scenario_.long_share : scenario_.short_share;
        const duration mean = is_long_ ? scenario_.long_mean : scenario_.short_mean;
        return share * static_cast<double>(scenario_.offered_slots) /
               std::chrono::duration<double>(mean).count();
    }

    scripted_request draw_one(double at_s)
    {
        scripted_request it;
        it.arrival = time_point(duration(static_cast<duration::rep>(at_s * 1e6)));
        it.is_long = is_long_;
        it.service = std::max(duration(1), draw_service());
        it.deadline =
            it.arrival + (is_long_ ? scenario_.long_deadline : scenario_.short_deadline);
        it.caller = draw_caller();
        it.failure_draw = unit_(random_);
        return it;
    }

    duration draw_service()
    {
        const bool straggles = !is_long_ && unit_(random_) < scenario_.hidden_stragglers;
        if (is_long_ || straggles)
        {
            const double around = 1 - long_spread + 2 * long_spread * unit_(random_);
            return scaled(scenario_.long_mean, around);
        }
        return scaled(scenario_.short_mean, exponential_(random_));
    }

    std::size_t draw_caller()
    {
        const double others = static_cast<double>(scenario_.callers - 1);
        const double total = scenario_.first_caller_weight + others;
        const double at = unit_(random_) * total - scenario_.first_caller_weight;
        return at < 0 ? 0 : 1 + static_cast<std::size_t>(at);
    }

    const queue_scenario& scenario_;
    bool is_long_;
    std::mt19937_64 random_;
    std::uniform_real_distribution<double> unit_{0, 1};
    std::exponential_distribution<double> exponential_{1};
};

} // namespace

std::vector<scripted_request> draw_requests(const queue_scenario& scenario,
                                            std::uint64_t seed)
{
    std::vector<scripted_request> all;
    stream(scenario, false, 2 * seed).draw(all);
    stream(scenario, true, 2 * seed + 1).draw(all);
    std::stable_sort(all.begin(),
                     all.end(),
                     [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
    return all;
}

} // namespace camphorrock
