#pragma once

// A scheduler's state for one of its servers: the latest clock reading, the unanswered
// exchanges, the grants that the server may still hold, and the requests in flight. Part
// of scheduler_authority; times are of the router's clock unless typed server_clock.

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
    // `predecessor_until` is set if an earlier process of this router may have scheduled
    // the server until then, so that its grants and requests may still be in effect.
    server_link(ownership_options options,
                std::optional<time_point> predecessor_until,
                time_point now);

    // Sets the longest time that a request of any sender may run at the server.
    void set_max_request_time(duration longest)
    {
        options_.max_request_time = longest;
    }

    // Applies the record's entry of the server and the partitions that it owns.
    void update(const server_entry& entry,
                const std::vector<partition_entry>& partitions,
                time_point now);

    // Appends the messages that are due. Grants end at `authority_until` at the latest,
    // and none is sent if it is in the past.
    void send_due_messages(time_point authority_until,
                           time_point now,
                           server_exchange_id& last_exchange,
                           scheduler_actions& actions);

    // The events below are those of scheduler_authority, for this server.
    void answered(server_exchange_id exchange, const server_reply& reply, time_point now);
    void failed(server_exchange_id exchange, bool is_connection_refused, time_point now);

    // Returns until when the server is certain to accept a request for this partition, or
    // nullopt if no request may be sent now.
    std::optional<time_point> admits_until(const partition_entry& partition,
                                           time_point authority_until,
                                           time_point now) const;

    // Returns false if max_requests_in_flight requests are counted; then don't send it.
    bool request_sent(std::uint64_t request, key_hash at, time_point now);
    void request_ended(std::uint64_t request, bool is_definite);

    server_condition condition(time_point now) const;
    // Returns the moving partitions that the server no longer holds.
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
        time_point valid_until; // of a grant: the earliest time that it can lapse
    };

    struct clock_sample
    {
        server_clock clock;
        time_point sent_at;     // the server read its clock at this time or later
        time_point received_at; // and at this time or earlier
    };

    struct partition_state
    {
        partition_entry entry;
        time_point granted_until = time_point::min();  // the grant is certain until then
        time_point may_hold_until = time_point::min(); // and impossible from then on
        time_point drain_until; // when a moving partition is revoked; see drain_limit
        bool is_revoke_acknowledged = false;
    };

    struct request_in_flight
    {
        std::uint64_t request = 0;
        key_hash at;
        time_point sent_at;
        bool is_ended = false; // ended here, but may still run at the server
    };

    bool is_drained(const partition_state& state, time_point now) const;
    bool is_released(const partition_state& state, time_point now) const;
    void update_quiescence(time_point now);
    std::size_t count_in_flight(const hash_range& range) const;
    void forget_expired_requests(time_point now);
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
    std::optional<time_point> predecessor_until_;
    server_entry entry_;
    std::map<key_hash, partition_state> partitions_; // by first hash
    std::vector<exchange> exchanges_;
    std::vector<request_in_flight> requests_;
    std::optional<clock_sample> clock_sample_;
    // True once no unresolved request can still run at the server. A request is
    // unresolved if it ended here without an answer or was sent by another router.
    // Matters only for a server that does not check epochs.
    bool is_quiescent_ = false;
    // When an unresolved request may last have been in transit.
    time_point last_unresolved_at_;
    // Start of the current period in which answers came without a gap.
    time_point responsive_since_;
    // Time of the last answer, or, if later, of the start of the link or of the end of a
    // pause of this process.
    time_point last_answer_at_;
    // Time of the first refused connection since the last answer or pause; max() if there
    // is none.
    time_point first_refusal_at_ = time_point::max();
    time_point last_checked_at_; // time of the last send_due_messages()
    time_point renew_due_;
    time_point clock_due_; // next attempt at the first reading
    time_point grant_due_; // next attempt at grants that are missing
    time_point revoke_due_;
};

} // namespace camphorrock
