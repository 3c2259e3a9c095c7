#include "core/gateway/servers/reported_load.hpp"

#include <algorithm>
#include <cmath>

namespace camphorrock
{
namespace
{

// The requests that gateways count are renewed every 50 ms, so a report of the same
// requests is soon older than the count.
constexpr duration covered_half_life = milliseconds(40);
constexpr duration uncovered_half_life = milliseconds(100);
// An instance is slow for about 0.4 s at a time, and has been for half of it.
constexpr duration slowness_half_life = milliseconds(100);
constexpr int max_half_lives = 12; // less than 1/4000 remains after them
constexpr double min_part_of_counted = 0.5;

constexpr double harm_weight = 0.15; // of the newest comparison
constexpr double max_harm = 0.06;    // in units of the natural logarithm
constexpr double harm_to_trust = 0.0;
constexpr double max_error = 1.5;      // of one comparison, in the same units
constexpr double min_difference = 0.1; // of the expectations; less shows nothing

// The part of a report's weight that remains at this age.
double remaining(duration age, duration half_life)
{
    if (age >= half_life * max_half_lives)
    {
        return 0;
    }
    const double half_lives =
        static_cast<double>(age.count()) / static_cast<double>(half_life.count());
    return std::exp2(-std::max(0.0, half_lives));
}

double log_ratio(duration a, duration b)
{
    const auto us = [](duration it)
    {
        return static_cast<double>(std::max<duration::rep>(1, it.count()));
    };
    return std::log(us(a) / us(b));
}

double error_of(duration expected, duration measured)
{
    return std::min(std::abs(log_ratio(expected, measured)), max_error);
}

} // namespace

bool is_plausible(const server_load& load)
{
    return std::max({load.running, load.waiting, load.slots}) <= max_reported_requests;
}

server_load with_bounded_slowness(server_load load)
{
    load.slowness_percent =
        std::clamp(load.slowness_percent, min_slowness_percent, max_slowness_percent);
    return load;
}

bool reported_load::observe(const server_load& load, unsigned own, time_point at)
{
    if ((is_known_ && at <= observed_at_) || !is_plausible(load))
    {
        return false;
    }
    is_known_ = true;
    latest_ = with_bounded_slowness(load);
    const unsigned total = load.running + load.waiting;
    reported_others_ = total > own ? total - own : 0;
    observed_at_ = at;
    return true;
}

unsigned reported_load::requests_of_others(const counts& known, time_point now) const
{
    if (!is_known_)
    {
        return known.counted;
    }
    const duration half_life = known.is_covered ? covered_half_life : uncovered_half_life;
    const double weight = remaining(now - observed_at_, half_life);
    const double reported =
        std::min(reported_others_, known.counted + (known.slots + 1) / 2);
    const double mixed = known.counted + weight * (reported - known.counted);
    const double least = min_part_of_counted * known.counted;
    return static_cast<unsigned>(std::lround(std::max(mixed, least)));
}

double reported_load::slowness(time_point now) const
{
    const double reported = latest_.slowness_percent / 100.0;
    return 1 + (reported - 1) * remaining(now - observed_at_, slowness_half_life);
}

bool reported_load::compare(const comparison& it)
{
    if (std::abs(log_ratio(it.with_reports, it.without_reports)) < min_difference)
    {
        return false;
    }
    return add_harm(error_of(it.with_reports, it.measured) -
                    error_of(it.without_reports, it.measured));
}

bool reported_load::note_refusal()
{
    const bool has_reported_room = is_known_ && latest_.running < latest_.slots;
    return has_reported_room && add_harm(max_error);
}

bool reported_load::add_harm(double harm)
{
    harm_ += harm_weight * (harm - harm_);
    const bool was_trusted = is_trusted_;
    is_trusted_ = is_trusted_ ? harm_ <= max_harm : harm_ <= harm_to_trust;
    return was_trusted && !is_trusted_;
}

} // namespace camphorrock
