#pragma once

// A router's part in one shard: it keeps authority by vouching, grants the partitions of
// the servers that it schedules, takes them back when they move, and says whether a
// request may be sent now. Each router holds one for each shard, also where it schedules
// nothing.
//
//     scheduler_authority authority(shard, self, options, now);
//     authority.store_read(record, begun_at, now, actions);  // needed once after start
//     authority.tick(now, actions);                          // every 20 to 50 ms
//     if (auto permit = authority.permit(at, now)) ... // send with permit->since
//
// Each event appends to `actions` what the program must send. Time is this instance's
// boot clock and never falls.
//
// Invariants:
//   - authority ends authority_ttl after the sending of a round that a majority of the
//     voters, and of the previous voters while they change, answered with ok;
//   - no grant outlives the authority under which it was sent;
//   - a moving partition is neither granted nor admitted, and is reported as released
//     only when its server acknowledged the revocation or can hold no grant of this
//     router, and, for a server that does not check epochs, when nothing is in flight.
// Memory is bounded by the record and the limits in ownership_options.

#include "core/ownership/ownership_options.hpp"
#include "core/ownership/scheduler_action.hpp"
#include "core/ownership/server_link.hpp"
#include "core/ownership/vouch_rounds.hpp"

#include <map>
#include <optional>

namespace camphorrock
{

// Leave to send one request.
struct request_permit
{
    server_id server;
    endpoint address;
    epoch since;      // the epoch that the request carries
    time_point until; // the request must have been sent by then
};

class scheduler_authority
{
public:
    scheduler_authority(shard_id shard,
                        instance_id self,
                        ownership_options options,
                        time_point started_at);

    // Requests that may still run at a server, whoever sent them, take at most this long.
    // A lower value only once no longer request can run.
    void set_max_request_time(duration longest);

    // A linearizable read of the record (none: it is absent), begun at `begun_at`. The
    // first one that began after the start lets the machine act; see docs/DESIGN.md.
    void store_read(const std::optional<shard_record>& record,
                    time_point begun_at,
                    time_point now,
                    scheduler_actions& actions);

    // The record came from an assigner or another router. Lower versions are ignored.
    void record_received(const shard_record& record,
                         time_point now,
                         scheduler_actions& actions);

    void vouch_answered(const instance_id& voter,
                        std::uint64_t round,
                        bool is_ok,
                        epoch highest,
                        time_point now,
                        scheduler_actions& actions);

    void server_answered(const server_id& server,
                         server_exchange_id exchange,
                         const server_reply& reply,
                         time_point now,
                         scheduler_actions& actions);

    // The exchange ended without an answer.
    void server_failed(const server_id& server,
                       server_exchange_id exchange,
                       bool is_connection_refused,
                       time_point now,
                       scheduler_actions& actions);

    // May a request for this hash be sent now?
    std::optional<request_permit> permit(key_hash at, time_point now) const;

    // A request was sent under a permit. False: too many are counted; do not send it.
    bool request_sent(const server_id& server,
                      std::uint64_t request,
                      key_hash at,
                      time_point now);

    // It ended. `is_definite`: the server answered or the connection proves that it runs
    // no more; otherwise it counts until max_request_time after it was sent.
    void request_ended(const server_id& server, std::uint64_t request, bool is_definite);

    // This router leaves: the assigner will name other schedulers.
    void leave(time_point now, scheduler_actions& actions);

    void tick(time_point now, scheduler_actions& actions);

    bool holds_authority(time_point now) const;

    // The end of the authority as far as it is known; in the past where there is none.
    time_point authority_until() const
    {
        return rounds_.authority_until();
    }

    // Does this router schedule the partition of `at`, admitting or not?
    bool is_scheduler_of(key_hash at) const;

    // The highest record known; none before the first.
    const std::optional<shard_record>& record() const
    {
        return record_;
    }

private:
    void adopt(const shard_record& record, time_point now, scheduler_actions& actions);
    void note_higher(epoch highest, time_point now, scheduler_actions& actions);
    void start_round(time_point now, scheduler_actions& actions);
    void drive_servers(time_point now, scheduler_actions& actions);
    shard_report make_report(time_point now) const;
    const server_link* find_link(const server_id& id) const;
    void report_if_due(time_point now, scheduler_actions& actions);
    server_link* find_link(const server_id& id);

    shard_id shard_;
    instance_id self_;
    ownership_options options_;
    time_point started_at_;
    bool is_ready_ = false;
    bool is_leaving_ = false;
    std::optional<shard_record> record_;
    vouch_rounds rounds_;
    std::map<server_id, server_link> links_;
    server_exchange_id last_exchange_;
    time_point vouch_due_;
    time_point fetch_due_;
    duration fetch_wait_{}; // doubles until a record comes
    time_point report_due_;
    shard_report last_report_;
};

} // namespace camphorrock
