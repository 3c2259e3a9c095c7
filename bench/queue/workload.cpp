#include "bench/queue/workload.hpp"

#include <algorithm>
#include <random>

namespace camphorrock
{
namespace
{

// Service times of long requests are uniform between 0.5 and 1.5 times their mean.
constexpr double long_service_spread = 0.5;

duration scaled(duration value, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(value.count()) * factor));
}

// The random stream of the short or the long requests of one server.
class request_stream
{
public:
    request_stream(const queue_scenario& scenario, bool is_long, std::uint64_t seed)
        : scenario_(scenario), is_long_(is_long), random_(seed)
    {
    }

    // Samples the varying rate by thinning a Poisson process with the highest rate.
    void draw(std::vector<scripted_request>& out)
    {
        const double peak = max_load_factor();
        const double max_requests_per_s = peak * requests_per_s_at_full_load();
        if (max_requests_per_s <= 0)
        {
            return;
        }
        std::exponential_distribution<double> gap(max_requests_per_s);
        for (double at = gap(random_); at < length_s(); at += gap(random_))
        {
            const scripted_request it = draw_request(at);
            const duration offset = it.arrival.time_since_epoch();
            if (unit_(random_) * peak <
                phase_at(scenario_.load_phases, offset).load_factor)
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

    double max_load_factor() const
    {
        double peak = 0;
        for (const load_phase& it : scenario_.load_phases)
        {
            peak = std::max(peak, it.load_factor);
        }
        return peak;
    }

    double requests_per_s_at_full_load() const
    {
        const double share = is_long_ ? scenario_.long_share : scenario_.short_share;
        const duration mean =
            is_long_ ? scenario_.mean_long_service : scenario_.mean_short_service;
        return share * static_cast<double>(scenario_.nominal_slots) /
               std::chrono::duration<double>(mean).count();
    }

    scripted_request draw_request(double arrival_s)
    {
        scripted_request it;
        it.arrival = time_point(duration(static_cast<duration::rep>(arrival_s * 1e6)));
        it.is_long = is_long_;
        it.service_time = std::max(duration(1), draw_service_time());
        it.deadline =
            it.arrival + (is_long_ ? scenario_.long_deadline : scenario_.short_deadline);
        it.caller = draw_caller();
        it.failure_draw = unit_(random_);
        return it;
    }

    duration draw_service_time()
    {
        const bool is_straggler = !is_long_ && unit_(random_) < scenario_.straggler_share;
        if (is_long_ || is_straggler)
        {
            const double factor =
                1 - long_service_spread + 2 * long_service_spread * unit_(random_);
            return scaled(scenario_.mean_long_service, factor);
        }
        return scaled(scenario_.mean_short_service, exponential_(random_));
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
    request_stream(scenario, false, 2 * seed).draw(all);
    request_stream(scenario, true, 2 * seed + 1).draw(all);
    std::stable_sort(all.begin(),
                     all.end(),
                     [](const auto& a, const auto& b) { return a.arrival < b.arrival; });
    return all;
}

} // namespace camphorrock
