#pragma once

// The rate limits of cold servers. A server is cold for a while after its start, and may
// turn cold at any other moment. While cold it takes only a few requests a second from
// all gateways together, and more may end it.
//
//     rates.note_entry(server, incarnation, left, received_at);   // its store entry
//     rates.observe(server, incarnation, statement, now);         // an answer of it
//     rates.adopt(server, incarnation, left, now);                // of another gateway
//     rates.note_evacuation_end(server, incarnation, span, ended_at);  // of its data
//     centre if (std::optional<double> rate = rates.rate_of(server, incarnation, policy,
//     now))
//         ... // tokens a second, see token_counter.hpp
//
// Each source says until when the server is cold. The latest statement of a source
// replaces its earlier one, and the latest end of all sources counts: an entry may be
// older than an answer that was received before it, so it does not end what the answer
// says. The end of a drain is the exception: it is only a guess that the servers of the
// data centre are cold, which an answer or an entry written later ends.
//
// After the cold time the rate doubles each `recovery_doubling_time`, for
// `recovery_time`, so that the requests that were kept back do not all return at once.
//
// All of this is known by incarnation: statements about an earlier one are ignored, and a
// later one starts without any.
//
// Memory: one row of about 200 bytes for each server that was noted, until expire()
// drops it; at most `max_servers`. Each call but take_changes() and expire() costs
// O(log servers).

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/servers/listed_server.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace camphorrock
{

// No server is cold for longer, whatever is said of it.
constexpr duration max_warm_up = std::chrono::hours(1);

enum class warm_up_source
{
    entry,   // the server's entry in the store
    answer,  // an answer of the server
    gateway, // another gateway got such an answer
    drain,   // a drain of the server's data centre has ended
};

constexpr std::size_t warm_up_source_count = 4;

// Returns the name, as in "entry".
std::string_view name_of(warm_up_source value);

// What one answer of a server says of its warm-up.
struct warm_up_statement
{
    bool is_present = false;      // the answer says something
    std::optional<duration> left; // how long it is still cold; empty if unreadable
};

// How many requests the cold servers of a service take. In any second, one gets at most
// `per_second` x `overage` + `slack`.
struct warm_up_policy
{
    double per_second = 0; // from all gateways together; 0: no limit
    double overage = 1.5;
    double slack = 8; // requests

    bool has_limit() const
    {
        return per_second > 0;
    }
};

// The tokens a second for a cold server: below `per_second` x `overage` by a margin, and
// with the burst of a token_counter within 0.9 of what a second allows, so that a change
// of the gateway that counts stays within the rest. Never below a rate at which a request
// now and then shows whether the server is still cold.
double cold_rate_of(const warm_up_policy& policy);

// How an answer changed what is known.
enum class warm_up_change
{
    none,
    changed,    // the server is cold and was not, or the reverse
    unreadable, // the first answer of its incarnation whose statement could not be read
};

// A change of a server from warm to cold, or from cold to warm.
struct warm_up_transition
{
    server_id server;
    bool is_cold = false;
    warm_up_source source = warm_up_source::entry; // that says the latest end
    duration left{};                               // of the cold time; zero at its end

    bool operator==(const warm_up_transition&) const = default;
};

// A server that is cold by its own answers to this gateway.
struct cold_server
{
    server_id server;
    server_incarnation incarnation;
    duration left{}; // of the cold time

    bool operator==(const cold_server&) const = default;
};

struct warm_up_rates_options
{
    // From the writing of a server's entry until it is received.
    duration max_entry_delay = milliseconds(800);
    duration recovery_time = seconds(4);
    duration recovery_doubling_time = seconds(1);
    double min_recovery_rate = 2; // tokens a second, when the recovery begins
    std::size_t max_servers = 4096;
};

class warm_up_rates
{
public:
    explicit warm_up_rates(warm_up_rates_options options = {}) : options_(options) {}

    // The entry says that the server is cold for `left` more, from `received_at`. No
    // effect if it was noted before, or if `left` is out of range. Returns true if the
    // server turned cold or warm.
    bool note_entry(const server_id& server,
                    const server_incarnation& incarnation,
                    duration left,
                    time_point received_at);

    // An answer of the server arrived. An unreadable statement changes nothing else.
    warm_up_change observe(const server_id& server,
                           const server_incarnation& incarnation,
                           const warm_up_statement& said,
                           time_point now);

    // Another gateway got an answer by which the server is cold for `left` more. Does not
    // shorten what another gateway said before, as messages may arrive in any order.
    // Returns true if the server was not known to be cold.
    bool adopt(const server_id& server,
               const server_incarnation& incarnation,
               duration left,
               time_point now);

    // The drain of the server's data centre ended at `ended_at`: it counts as cold for
    // `span` from then, unless it has said otherwise since. No effect if that end was
    // noted before.
    void note_evacuation_end(const server_id& server,
                             const server_incarnation& incarnation,
                             duration span,
                             time_point ended_at);

    bool is_cold(const server_id& server,
                 const server_incarnation& incarnation,
                 time_point now) const;

    // The tokens a second for the server now; empty if nothing limits its requests.
    std::optional<double> rate_of(const server_id& server,
                                  const server_incarnation& incarnation,
                                  const warm_up_policy& policy,
                                  time_point now) const;

    // The cold times that have begun or ended since the last call. O(servers).
    std::vector<warm_up_transition> take_transitions(time_point now);

    // The servers that are cold by their answers to this gateway, at most `most` of them.
    // O(servers).
    std::vector<cold_server> cold_by_answers(std::size_t most, time_point now) const;

    // The servers that are in recovery after a cold time, or were until lately.
    // O(servers).
    std::vector<server_id> recovering(time_point now) const;

    // The number of cold servers. O(servers).
    std::size_t cold_count(time_point now) const;

    // Drops the servers for which `is_known` is false.
    void expire(
        const std::function<bool(const server_id&, const server_incarnation&)>& is_known);

    bool empty() const
    {
        return rows_.empty();
    }

private:
    // What one source says.
    struct statement
    {
        std::optional<time_point> made_at;    // when the last one was received
        std::optional<time_point> cold_until; // empty if the server was never cold
    };

    struct row
    {
        server_incarnation incarnation;
        statement by_source[warm_up_source_count];
        bool is_told_cold = false; // the last turn that was taken is a beginning
        warm_up_source told_source = warm_up_source::entry;

        statement& of(warm_up_source source)
        {
            return by_source[static_cast<std::size_t>(source)];
        }
    };

    // The end of a server's cold time, and who says so.
    struct cold_end
    {
        time_point at{};
        warm_up_source source = warm_up_source::entry;
    };

    // Null if the statement is about an earlier incarnation, or if there is no room.
    row* row_for(const server_id& server, const server_incarnation& incarnation);
    const row* find(const server_id& server, const server_incarnation& incarnation) const;
    static void set_left(statement& it, duration left, time_point now);
    static std::optional<cold_end> end_of(const row& it);

    warm_up_rates_options options_;
    std::map<server_id, row> rows_;
    // The incarnation of each server that made a statement that could not be read.
    std::map<server_id, server_incarnation> unreadable_;
};

} // namespace camphorrock
