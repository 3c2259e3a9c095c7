#pragma once

// A router's part in one shard: renews the router's authority by lease votes, grants
// partitions to the servers that it schedules, revokes them when they move, and decides
// whether a request may be sent now. Each router has one for every shard, including
// shards of which it schedules no server.
//
//     scheduler_authority authority(shard, self, options, now);
//     authority.store_read(record, begun_at, now, actions);  // required once after start
//     authority.tick(now, actions);                          // every 20 to 50 ms
//     if (auto permit = authority.permit(at, now)) ... // send with permit->since
//
// Each call appends to `actions` what the program must send. Times are of this instance's
// boot clock, which is monotonic.
//
// Invariants:
//   - authority ends authority_ttl after the start of the latest round in which a
//     majority of the voters granted their votes, and during a change of voters also a
//     majority of the previous voters;
//   - no grant outlives the authority under which it was sent;
//   - a moving partition is not granted and gets no request permits, and it is reported
//     as released only after its server acknowledged the revocation or can no longer hold
//     a grant of this router, and, for a server that does not check epochs, once no
//     request is in flight.
// Memory is bounded by the record and the limits in ownership_options.

#include "core/ownership/lease_vote_rounds.hpp"
#include "core/ownership/ownership_options.hpp"
#include "core/ownership/scheduler_action.hpp"
#include "core/ownership/server_link.hpp"

#include <map>
#include <optional>

namespace camphorrock
{

// Permission to send one request.
struct request_permit
{
    server_id server;
    endpoint address;
    epoch since;      // the epoch that the request carries
    time_point until; // the request must be sent before then
};

class scheduler_authority
{
public:
    scheduler_authority(shard_id shard,
                        instance_id self,
                        ownership_options options,
                        time_point started_at);

    // Sets the longest time that a request of any sender may run at a server. Lower it
    // only once no request that was allowed the longer time can still run.
    void set_max_request_time(duration longest);

    // Takes the result of a linearizable read of the record that began at `begun_at`;
    // nullopt if there is no record. A read that began before `started_at` is ignored.
    // Until the first read that began later, this object only asks for the record. See
    // docs/DESIGN.md.
    void store_read(const std::optional<shard_record>& record,
                    time_point begun_at,
                    time_point now,
                    scheduler_actions& actions);

    // Takes a record from an assigner or another router. Versions that are not higher
    // than the current one are ignored.
    void record_received(const shard_record& record,
                         time_point now,
                         scheduler_actions& actions);

    void lease_vote_answered(const instance_id& voter,
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

    // The exchange ended without an answer. `is_connection_refused`: the host refused the
    // connection, which shows that the server's process is not running.
    void server_failed(const server_id& server,
                       server_exchange_id exchange,
                       bool is_connection_refused,
                       time_point now,
                       scheduler_actions& actions);

    // Returns a permit to send a request for this hash now, or nullopt if none may be
    // sent.
    std::optional<request_permit> permit(key_hash at, time_point now) const;

    // Counts a request that is about to be sent under a permit. Returns false if it must
    // not be sent: max_requests_in_flight are counted, or the server is no longer
    // scheduled here.
    bool request_sent(const server_id& server,
                      std::uint64_t request,
                      key_hash at,
                      time_point now);

    // The request ended here. `is_definite`: the server answered, or the connection
    // proves that the request no longer runs there; otherwise the request stays counted
    // until max_request_time after it was sent.
    void request_ended(const server_id& server, std::uint64_t request, bool is_definite);

    // Reports that this router is leaving, so that the assigner names other schedulers.
    void leave(time_point now, scheduler_actions& actions);

    void tick(time_point now, scheduler_actions& actions);

    bool holds_authority(time_point now) const;

    // Returns when the authority ends; time_point::min() if the router has never held it.
    time_point authority_until() const
    {
        return vote_rounds_.authority_until();
    }

    // Returns whether this router schedules the partition of `at`, even if no request may
    // be sent now.
    bool is_scheduler_of(key_hash at) const;

    // Returns the record with the highest version received; nullopt before the first.
    const std::optional<shard_record>& record() const
    {
        return record_;
    }

private:
    void
    adopt_record(const shard_record& record, time_point now, scheduler_actions& actions);
    void on_higher_version(epoch highest, time_point now, scheduler_actions& actions);
    void start_lease_vote_round(time_point now, scheduler_actions& actions);
    void send_due_server_messages(time_point now, scheduler_actions& actions);
    shard_report make_report(time_point now) const;
    const server_link* find_link(const server_id& id) const;
    void report_if_due(time_point now, scheduler_actions& actions);
    server_link* find_link(const server_id& id);

    shard_id shard_;
    instance_id self_;
    ownership_options options_;
    time_point started_at_;
    bool has_read_store_ = false;
    bool is_leaving_ = false;
    std::optional<shard_record> record_;
    lease_vote_rounds vote_rounds_;
    std::map<server_id, server_link> links_;
    server_exchange_id last_exchange_;
    time_point lease_vote_due_;
    time_point fetch_due_;
    duration fetch_backoff_{}; // doubles until a record is received
    time_point report_due_;
    shard_report last_report_;
};

} // namespace camphorrock
