#pragma once

// Learns how long requests take, for each route and for each caller on a route, and says
// which of them are long. A caller that is new on a route is estimated by the route.
//
// A class is long when its mean is `long_factor` times the mean of the shortest routes
// that have a tenth of the requests, so a service whose requests all take long has no
// long class. Memory: at most `max_classes` rows; where they are used up, new callers are
// estimated by their route, and new routes stay unknown. Look-ups and updates are O(1),
// but every 64th update is O(routes log routes).

#include "core/admission/queued_request.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <unordered_map>

namespace camphorrock
{

struct service_time_table_options
{
    std::size_t max_classes = 4096;      // rows kept
    double weight = 0.05;                // of a new sample in the mean and deviation
    double deviations = 4;               // above the mean is the bound
    double long_factor = 8;              // times the short mean makes a class long
    duration unknown = milliseconds(20); // the estimate before the first sample
};

// What is expected of a request.
struct service_time_estimate
{
    duration mean{};
    duration bound{};     // rarely exceeded: the mean and some mean deviations
    bool is_long = false; // or not known yet, which is treated with the same care
};

class service_time_table
{
public:
    explicit service_time_table(service_time_table_options options);

    // A route that is declared long counts as long until it is known, and another route
    // to measure it by has been seen.
    service_time_estimate estimate(const caller_name& caller,
                                   const route_class& route,
                                   bool is_declared_long = false) const;

    // A request was answered after so long.
    void
    observe(const caller_name& caller, const route_class& route, duration service_time);

    // A request that has run for longer than this is long, whatever its class. Zero until
    // the first sample.
    duration long_threshold() const;

    std::size_t size() const
    {
        return size_;
    }

private:
    struct row
    {
        double mean_us = 0;
        double deviation_us = 0; // mean absolute
        std::size_t samples = 0;
    };

    struct route_row
    {
        row times;
        double recent = 0; // requests, of which old ones count less
        std::unordered_map<caller_name, row> callers;
    };

    void update(row& target, double sample_us) const;
    route_row* find_or_add(const route_class& route);
    row* find_or_add(route_row& route, const caller_name& caller);
    bool is_full() const;
    bool is_known(const route_row& route) const;
    void update_short_mean();
    bool is_long(const row& from) const;

    service_time_table_options options_;
    std::unordered_map<route_class, route_row> routes_;
    std::size_t size_ = 0;     // rows, those of callers included
    double short_mean_us_ = 0; // mean of the shortest routes with a share of requests
    std::size_t samples_ = 0;
};

} // namespace camphorrock
