#pragma once

// What a scheduler keeps about one of its servers: the latest clock reading, the
// exchanges without an answer, the grants that may still hold there, and the requests in
// flight. A part of scheduler_authority; times are those of the router.

#include "core/ownership/ownership_options.hpp"
#include "core/ownership/scheduler_action.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorrock
{

class server_link
{
public:
    // `inherited_at` is set where an earlier process of this router may have scheduled
    // the server until then: its grants and requests may still be alive.
    server_link(ownership_options options,
                std::optional<time_point> inherited_at,
                time_point now);

    // Requests that may still run take at most this long.
    void set_max_request_time(duration longest)
    {
        options_.max_request_time = longest;
    }

    // Takes over what the record says of the server.
    void update(const server_entry& entry,
                const std::vector<partition_entry>& partitions,
                time_point now);

    // Sends what is due. `authority_until` bounds the grants; in the past: none is sent.
    void drive(time_point authority_until,
               time_point now,
               server_exchange_id& last_exchange,
               scheduler_actions& actions);

    void answered(server_exchange_id exchange, const server_reply& reply, time_point now);
    void failed(server_exchange_id exchange, bool is_connection_refused, time_point now);

    // Until when a request for this partition is sure to be accepted; none: not now.
    std::optional<time_point> admits_until(const partition_entry& partition,
                                           time_point authority_until,
                                           time_point now) const;

    bool request_sent(std::uint64_t request, key_hash at, time_point now);
    void request_ended(std::uint64_t request, bool is_definite);

    server_condition condition(time_point now) const;
    std::vector<granted_partition> released(time_point now) const;

    const server_entry& entry() const
    {
        return entry_;
    }

private:
    enum class exchange_kind
    {
        clock,
        grant,
        revoke,
    };

    struct exchange
    {
        server_exchange_id id;
        exchange_kind kind = exchange_kind::clock;
        time_point sent_at;
        time_point valid_until; // of a grant: at least this long, on the router's clock
    };

    struct echo
    {
        server_clock clock;
        time_point sent_at;     // the reading is not older than this
        time_point received_at; // nor younger than this
    };

    struct partition_state
    {
        partition_entry entry;
        time_point granted_until = time_point::min();  // sure to hold until then
        time_point may_hold_until = time_point::min(); // cannot hold from then on
        time_point drain_until;                        // for a moving partition
        bool is_revoke_acknowledged = false;
    };

    struct request_in_flight
    {
        std::uint64_t request = 0;
        key_hash at;
        time_point sent_at;
        bool is_ended = false; // here, not surely at the server
    };

    bool is_drained(const partition_state& state, time_point now) const;
    bool is_released(const partition_state& state, time_point now) const;
    void note_clean(time_point now);
    std::size_t in_flight(const hash_range& range) const;
    void forget_old_requests(time_point now);
    exchange&
    open_exchange(exchange_kind kind, time_point now, server_exchange_id& last_exchange);
    std::optional<exchange> close_exchange(server_exchange_id id);
    void send_grants(time_point authority_until,
                     time_point now,
                     server_exchange_id& last_exchange,
                     scheduler_actions& actions);
    void send_revokes(time_point now,
                      server_exchange_id& last_exchange,
                      scheduler_actions& actions);
    void apply_grant_reply(const exchange& ended, const server_reply& reply);
    void apply_revoke_reply(const server_reply& reply);
    bool has_missing_grant(time_point now) const;
    partition_state carry_over(const partition_entry& entry, time_point now) const;
    duration grant_ttl(time_point authority_until, time_point now) const;

    ownership_options options_;
    std::optional<time_point> inherited_at_;
    server_entry entry_;
    std::map<key_hash, partition_state> partitions_; // by first hash
    std::vector<exchange> exchanges_;
    std::vector<request_in_flight> requests_;
    std::optional<echo> echo_;
    // For a server that does not check epochs: no request that ended here without an
    // answer, or that another router sent, can still run there.
    bool is_clean_ = false;
    time_point doubtful_at_;   // when such a request may last have been under way
    time_point responsive_at_; // it has answered without a gap since then
    time_point heard_at_;      // of the last answer, or when the link began
    time_point refused_at_ = time_point::max(); // of the first refusal since
    time_point driven_at_;                      // of the last drive
    time_point renew_due_;
    time_point clock_due_; // of the first reading
    time_point grant_due_; // of grants that are missing
    time_point revoke_due_;
};

} // namespace camphorrock
