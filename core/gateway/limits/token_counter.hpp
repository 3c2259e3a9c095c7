#pragma once

// Counts the requests that a server with a rate limit gets from the whole fleet, and
// hands out a token for each. One gateway counts for each server, see
// ranked_gateways_of(); the others ask it before they send.
//
//     const token_decision got = counter.take(server, rate, max_wait, true, now);
//     if (got.is_granted) send_after(got.wait); else refuse_for(got.wait);
//
// Tokens are due at even intervals. At most `burst` of them are saved up while there is
// no demand, so that in any span T at most `rate` x T + `burst` requests are sent. A
// token that is due within `max_wait` is granted ahead of time; requests are served in
// the order in which they ask. A refusal says when to ask again: each gets a later time
// than the one before, so that those who were refused do not return together, and the
// number of questions stays near the rate.
//
// A gateway that is not the preferred one of a server counts for those that do not reach
// the preferred one, and hands out only `standby_share` of the rate. So does one that was
// started less than `settling_time` ago: until then, others may ask another one, and it
// does not know the tokens that its last run handed out.
//
// Memory: one row of about 100 bytes for each server with a limit, until `idle_time`
// after the last call. Each call costs O(log servers).

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <map>

namespace camphorrock
{

struct token_decision
{
    bool is_granted = false;
    // Until the token may be used, or until it is worth asking again.
    duration wait{};
};

struct token_counter_options
{
    double burst = 2;
    double standby_share = 0.4;
    duration settling_time = seconds(1);
    // From a refusal until the next question, at most; limits may rise meanwhile.
    duration max_return_wait = seconds(4);
    duration idle_time = seconds(60);
};

class token_counter
{
public:
    // `started_at` is when this gateway was started.
    explicit token_counter(time_point started_at, token_counter_options options = {})
        : options_(options), started_at_(started_at)
    {
    }

    // Takes a token that is due within `max_wait`. `rate` is what the server takes in a
    // second, above 0; `is_preferred` is true on the preferred gateway of the server.
    token_decision take(const server_id& server,
                        double rate,
                        duration max_wait,
                        bool is_preferred,
                        time_point now);

    // Counts a request that was sent without a token.
    void spend(const server_id& server, double rate, bool is_preferred, time_point now);

    // A token that was granted is not used.
    void give_back(const server_id& server, time_point now);

    // Drops the rows that are idle.
    void expire(time_point now);

private:
    struct row
    {
        time_point last_asked_at{};
        double rate = 0;        // tokens a second, after shares
        time_point next_at{};   // when the next token is due
        time_point return_at{}; // when the last one that was refused asks again
    };

    // Adds the row if it is new, and gives it the rate.
    row&
    update_row(const server_id& server, double rate, bool is_preferred, time_point now);

    token_counter_options options_;
    time_point started_at_;
    std::map<server_id, row> rows_;
};

} // namespace camphorrock
