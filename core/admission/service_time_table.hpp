#pragma once

// Estimates the service time of requests from past ones, for each route and for each
// caller on a route, and classifies requests as short or long. A caller that has few
// samples on a route gets the estimate of the route.
//
// A request is long if its estimated mean is more than `long_factor` times the short
// mean. The short mean is the mean of one route: of the shortest routes that together
// receive a tenth of the requests, the one with the highest mean. So a service whose
// requests all take long has no long requests.
//
// Memory: at most `max_rows` rows. Once they are used up, new callers are estimated by
// their route, and new routes by `initial_estimate`. estimate() and observe() are O(1),
// but every 64th observe() is O(routes log routes), and so is each of the first 63.

#include "core/admission/queued_request.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <unordered_map>

namespace camphorrock
{

struct service_time_table_options
{
    std::size_t max_rows = 4096; // of routes, and of callers on routes
    double sample_weight = 0.05; // of a new sample in the moving averages
    double bound_deviations = 4; // from the mean to the bound, in mean deviations
    double long_factor = 8;      // times the short mean: longer requests are long
    duration initial_estimate = milliseconds(20); // mean and bound without samples
};

// The expected service time of a request.
struct service_time_estimate
{
    duration mean{};
    duration bound{};     // rarely exceeded: the mean plus `bound_deviations` deviations
    bool is_long = false; // also true for an unknown route, which may turn out to be long
};

class service_time_table
{
public:
    explicit service_time_table(service_time_table_options options);

    // A route that is declared long counts as long until it has enough samples and there
    // is another route to compare it with.
    service_time_estimate estimate(const caller_name& caller,
                                   const route_class& route,
                                   bool is_declared_long = false) const;

    // Adds a sample.
    void
    observe(const caller_name& caller, const route_class& route, duration service_time);

    // A request that has run for longer than this counts as long, whatever its estimate.
    // Zero before the first sample.
    duration long_threshold() const;

    // The rows in use.
    std::size_t size() const
    {
        return size_;
    }

private:
    struct time_stats
    {
        double mean_us = 0;
        double deviation_us = 0; // mean absolute deviation
        std::size_t samples = 0;
    };

    struct route_stats
    {
        time_stats times;
        double recent_requests = 0; // decayed count
        std::unordered_map<caller_name, time_stats> callers;
    };

    void update(time_stats& target, double sample_us) const;
    route_stats* find_or_add(const route_class& route);
    time_stats* find_or_add(route_stats& route, const caller_name& caller);
    bool is_full() const;
    bool is_classified(const route_stats& route) const;
    void update_short_mean();
    bool is_long(const time_stats& stats) const;

    service_time_table_options options_;
    std::unordered_map<route_class, route_stats> routes_;
    std::size_t size_ = 0;     // rows of routes and callers
    double short_mean_us_ = 0; // see above
    std::size_t total_samples_ = 0;
};

} // namespace camphorrock
