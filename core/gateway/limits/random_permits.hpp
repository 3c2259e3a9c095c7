#pragma once

// Keeps a gateway's requests to a server with a rate limit to a share of the limit that
// is safe by itself, while no gateway that counts for the server can be reached.
//
// Permits come at random times, `permit_share` of the limit in the whole fleet, and
// are void soon after. An equal share for each gateway would not be safe: at a few
// requests a second it is less than one for each, and saved up shares would be used all
// at once.
//
// Memory: one row for each server, until expire().

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/limits/token_counter.hpp"

#include <cstddef>
#include <map>
#include <random>

namespace camphorrock
{

struct random_permits_options
{
    double permit_share = 0.5; // of the limit, for all gateways together
    duration validity = milliseconds(200);
    duration idle_time = seconds(60);
};

class random_permits
{
public:
    explicit random_permits(random_permits_options options = {}) : options_(options) {}

    // `rate` is the server's limit in requests a second, above 0; `gateways` the size of
    // the fleet.
    token_decision take(const server_id& server,
                        double rate,
                        std::size_t gateways,
                        duration max_wait,
                        std::minstd_rand& random,
                        time_point now);

    void expire(time_point now);

private:
    random_permits_options options_;
    std::map<server_id, time_point> next_at_; // when the next permit comes
};

} // namespace camphorrock
