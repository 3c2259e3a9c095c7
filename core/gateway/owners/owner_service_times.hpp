#pragma once

// The service times of the owners of keys, as the whole fleet measures them. A gateway
// of a large fleet gets few answers of any one owner, too few to tell a slow server from
// a fast one, so all gateways report their measurements to the assigner, which adds them
// up here and divides the keys by what each owner can carry.
//
//     times.add({tag, answers, total}, now);        // for each row of a report
//     const duration mean = times.estimate(id, prior, now);
//
// A measurement loses half of its weight in each `half_life`, so that an owner that turns
// slow loses keys soon, and gets them back. With few answers the estimate stays near the
// prior, which weighs as much as `prior_answers`.
//
// Memory: one row of about 50 bytes for each owner, at most `max_owners`; expire() drops
// those that have not been reported for long. Each call costs O(log owners), expire()
// O(owners).

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/servers/server_service_time.hpp"

#include <cstddef>
#include <map>

namespace camphorrock
{

struct owner_service_times_options
{
    duration half_life = seconds(3);
    double prior_answers = 4;
    std::size_t max_owners = 8192;
    duration retention = seconds(30); // of an owner without reports
};

class owner_service_times
{
public:
    explicit owner_service_times(owner_service_times_options options = {})
        : options_(options)
    {
    }

    // Ignored if it has no answers, or for a further owner beyond `max_owners`.
    void add(const server_service_time& measured, time_point now);

    // The mean service time of the server; `prior` is what is assumed without any
    // measurement.
    duration estimate(const server_id& server, duration prior, time_point now) const;

    // Drops the owners that have not been reported within the retention time.
    void expire(time_point now);

    std::size_t size() const
    {
        return rows_.size();
    }

private:
    // Weighted sums as of `at`.
    struct row
    {
        double answers = 0;
        double total_us = 0;
        time_point at{};
    };

    // What is left of a weight of 1 after the time from `from` until `now`.
    double remaining_weight(time_point from, time_point now) const;

    owner_service_times_options options_;
    std::map<server_tag, row> rows_;
};

} // namespace camphorrock
