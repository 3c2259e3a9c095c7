#pragma once

// Chooses a server for each request of one service, from what this gateway observes: its
// own requests in flight at each server, the requests in flight that other gateways
// report, the service times, and the attempts that fail.
//
//     std::optional<server_choice> to = pool.choose(criteria, random, now);
//     pool.attempt_started(*to, now);
//     pool.attempt_ended(*to, attempt_end::answered, elapsed, now);
//
// The expected latency at a server is the service time of the request plus the queueing
// time, which is that of the requests ahead of it for the server's slots. The server with
// the lowest cost is chosen; ties are broken at random. The cost is the sum of
//   - the queueing time;
//   - the service time multiplied by `service_time_weight`, so that slow servers with
//     free slots are used;
//   - for a server in another data centre, `remote_zone_penalty` of the service's mean
//     time;
//   - for a server that is assigned to another group of gateways, `out_of_group_penalty`
//     of the mean time. The gateways of other groups do not report their requests to
//     this one, so such a server counts as at least as busy as the mean of the in-group
//     servers;
//   - `failure_penalty` of the mean time, multiplied by the server's failure rate, so
//     that a server that fails some of its attempts is used when the others are busy.
//
// The service time of a server is known from its answers only, and a server that is
// expected to be slow may get no request that could show otherwise. So an estimate that
// has not been renewed for `estimate_valid_for` moves to the service's mean time, half of
// the way in each `estimate_half_life`, and the next answer weighs as much as it has
// moved. And a choice says whether a probe of the server is due, which is sent whatever
// is expected (core/gateway/servers/latency_limit.hpp):
//   - if at most one request would wait, at a random time between `first_probe_after` and
//     `last_probe_after` since the last attempt, so that many gateways do not probe at
//     the same moment;
//   - if more would, but fewer than one for each slot, after as many times as long as
//     there are gateways, since the queue is known from the requests in flight, and the
//     probes of all gateways lengthen it. An owner of keys, which all gateways of a large
//     fleet use, gets no such probes.
//
// A server that is unreachable or has lost its address to another one, or fails
// `failures_to_suspend` consecutive attempts, is suspended for a time that doubles with
// each further failure. It then returns on probation: it gets one request at a time until
// one is answered. If all servers are suspended, the one whose suspension ends first is
// chosen.
//
// A key owner that refuses `refusals_to_suspect` consecutive requests is suspected of
// being another server at the same address. It gets one request at a time, after pauses
// that double, until it accepts one.
//
// A server whose rate limit is reached gets no requests until the next token for it is
// due.
//
// A server may report its load in its answers (reported_load.hpp). While its reports are
// trusted, the requests of other gateways there follow them, and its service time is
// multiplied by the slowness that it reports. The service time is then learned without
// the slowness, beside the one that is learned as if nothing were reported, which is used
// again when the reports lose their trust. Reports are collected for other gateways, see
// take_reports(). All gateways then expect the same of each server, and requests that
// they send between two exchanges would meet at the same servers. So where servers report
// their load, each gateway prefers other ones, by `preference_spread` of the mean time.
//
// A server that asked for a pause when it shed a request gets none until the end of the
// pause, and then one at a time until it answers one, so that requests do not return all
// at once.
//
// A server of a drained data centre gets no requests, but for those for the keys that it
// owns until the drain's stop time.
//
// A server that can't queue a request may never answer it. So the requests that each
// server may hold are bounded (full_server.hpp): one that holds its bound is chosen only
// if no other has room, and the choice then says when room is expected. There is no bound
// while a server of the service has lately refused a request for lack of room, and none
// was silent for it. Requests that were given up count against the bound, and are told to
// other gateways only while a silence has shown a server of the service to be full. A
// server has passed over an attempt in flight if the attempt is probably lost because the
// server had no room for it; it counts against the bound no more.
//
// A server that is unreachable within `death_notice_time` after an attempt there was lost
// counts as crashed. What it held bounds what the others get, see borne_load.hpp.
//
// Memory: one row per server. A choice costs O(servers).

#include "core/base/names.hpp"
#include "core/gateway/servers/borne_load.hpp"
#include "core/gateway/servers/full_server.hpp"
#include "core/gateway/servers/remote_loads.hpp"
#include "core/gateway/servers/reported_load.hpp"
#include "core/gateway/servers/server_directory.hpp"
#include "core/gateway/servers/server_service_time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorrock
{

enum class attempt_end
{
    answered,     // a complete answer that is none of the following
    server_error, // a complete answer that reports a failure of the server
    shed,         // the server had no room and did not run the request
    not_owner, // the server does not own the key, or is another server than intended; it
               // did not run the request
    other_server, // another server has the address; it did not run the request
    unreachable,  // nothing was sent
    lost,         // sent, but no complete answer was received
    cancelled,    // cancelled by this gateway; no evidence about the server
};

// Returns the name, as in "server_error".
std::string_view name_of(attempt_end value);

struct server_pool_options
{
    double smoothing = 0.1; // weight of the newest sample in a moving average
    duration initial_mean_time = milliseconds(100); // before the first answer
    duration estimate_valid_for = seconds(3);
    duration estimate_half_life = seconds(1); // of the difference to the mean time
    duration first_probe_after = milliseconds(500);
    duration last_probe_after = seconds(1);
    double service_time_weight = 0.3;
    double remote_zone_penalty = 0.35;  // fraction of the service's mean time
    double out_of_group_penalty = 0.35; // fraction of the service's mean time
    double warm_up_factor = 2.0; // minimum service time during warm-up, in mean times
    unsigned failures_to_suspend = 2;
    double failure_penalty = 3.0;             // in mean times, at a failure rate of 1
    duration failure_decay_time = seconds(3); // the failure rate decays to 1/e in it
    duration first_suspension = milliseconds(300);
    duration max_suspension = seconds(2);
    unsigned refusals_to_suspect = 3;
    duration first_suspicion = milliseconds(100);
    duration max_suspicion = milliseconds(400);
    // How long a server counts as full after it shed a request.
    duration full_duration = milliseconds(250);
    // Keys stay with a leaving server until they are moved, but no longer than this.
    duration leaving_owner_limit = milliseconds(900);
    duration death_notice_time = seconds(1);
    unsigned queue_length = 12; // maximum requests that wait at a server
    // How long a refusal for lack of room, or a silence of a full server, says how the
    // servers of the service behave when they are full.
    duration full_behaviour_lifetime = seconds(60);
    // The cost of servers that report their load differs by up to this between gateways.
    double preference_spread = 0.8;    // in mean times
    std::uint64_t preference_seed = 0; // another one for each gateway
};

// Which servers a request may be sent to.
struct server_criteria
{
    std::vector<server_id> excluded; // servers not to choose, such as those already tried
    std::optional<server_id> owner =
        {}; // owner of the key: only this server may be chosen
    // Requests in flight at the owner of all gateways, if they were counted; else the
    // pool's estimate is used.
    std::optional<unsigned> owner_load = {};
    std::size_t bytes = 0; // of the request's body
};

// What an expected latency rests on.
struct latency_evidence
{
    unsigned answers = 0;      // of this incarnation, to this gateway
    duration age{};            // since the latest of them, or since the server was listed
    duration untested{};       // since the latest attempt was sent or answered
    bool is_probe_due = false; // the request may be sent whatever is expected
};

// What was expected of an attempt at a server that reports its load, with its reports
// (trusted or not) and without them.
struct report_expectation
{
    bool is_known = false; // the server has reported its load
    unsigned load_with = 0;
    unsigned load_without = 0;
    double slowness = 1;
    duration latency_with{};
    duration latency_without{};
};

struct server_choice
{
    server_id server;
    server_incarnation incarnation;
    endpoint address;
    duration expected_latency{}; // until the answer
    unsigned load = 0; // requests in flight there before this one, of all gateways
    duration expected_service{}; // the part of expected_latency without the queueing time
    unsigned slots = 0;
    latency_evidence evidence{};
    duration probe_after{}; // without a further attempt, a probe is due after it
    unsigned counted = 0;   // like `load`, but only requests that a gateway has told of
    duration room_in{};     // until the server is expected to have room; zero if it has
    std::size_t bytes = 0;  // of the request's body
    held_load sum{};        // what the server holds with this request; borne_load.hpp
    report_expectation reports{};
};

// Until a server gets requests again, and what it waits for.
struct pool_wait
{
    duration left{};
    bool is_for_limit = false; // for a token, not for the end of a pause

    auto operator<=>(const pool_wait&) const = default;
};

class server_pool
{
public:
    server_pool(data_centre here, server_pool_options options = {});

    // Sets the servers of the pool's service, usable or not, from the directory. Keeps
    // the statistics of servers whose incarnation is unchanged.
    void update(const std::vector<const known_server*>& servers, time_point now);

    // Returns nullopt if no server may be chosen.
    std::optional<server_choice> choose(const server_criteria& criteria,
                                        std::minstd_rand& random,
                                        time_point now) const;

    // An attempt was sent. `to` is what choose() returned for it.
    void attempt_started(const server_choice& to, time_point now);

    // An attempt ended. `to` is what choose() returned for it; `elapsed` is the time
    // since the attempt started.
    void attempt_ended(const server_choice& to,
                       attempt_end how,
                       duration elapsed,
                       time_point now);

    // The server shed a request and asked for no more of them for `span`.
    void pause(const server_id& server, duration span, time_point now);

    // True if the server's pause has not ended.
    bool is_paused(const server_id& server, time_point now) const;

    // The server's rate limit is reached: no token for it is due before `until`.
    void note_limit_reached(const server_id& server, time_point until);

    // The server has another rate limit, or none any more.
    void forget_limit_reached(const server_id& server);

    // Ends the suspensions of servers that could not be reached.
    void forget_unreachable();

    // If all servers that may be chosen are paused or have reached their limits: how long
    // until the first of them gets requests again.
    std::optional<pool_wait> wait_left(const server_criteria& criteria,
                                       time_point now) const;

    // True if an attempt that has got no response for `elapsed` is probably lost, by what
    // other attempts at the server show.
    bool
    is_probably_lost(const server_choice& to, duration elapsed, time_point now) const;

    // Returns the class of the attempt's silence if it is probably lost and its request
    // counts as at the server no more: the server had no room for it, or others had none
    // lately. To be called until it returns a class, and end_passed_over() then at the
    // attempt's end.
    std::optional<silence_class>
    pass_over(const server_choice& to, duration elapsed, time_point now);
    void end_passed_over(const server_choice& to);

    // How long an attempt takes before is_probably_lost() can be true.
    duration overdue_after(const server_choice& to) const;

    // An attempt was given up after it was sent, and the server may still hold its
    // request. Returns until when, for those that count the server's requests; nullopt if
    // they need not know.
    std::optional<time_point>
    note_given_up(const server_choice& to, duration elapsed, time_point now);

    // An attempt got no response for `elapsed`. To be called after attempt_ended().
    silence_class note_silence(const server_choice& to, duration elapsed, time_point now);

    // Sets the option of that name.
    void set_leaving_owner_limit(duration span)
    {
        options_.leaving_owner_limit = span;
    }

    // Sets the servers that are assigned to this gateway's group. All servers are in the
    // group until the first call; a server added by update() is until the next call.
    void set_group_servers(const std::set<server_id>& in_group);

    // Updates the requests in flight of other gateways. `gateways` is the number of
    // gateways that use the in-group servers, including this one.
    void set_remote_loads(const remote_loads& loads, unsigned gateways);

    // An answer of the server to this gateway reported its load. To be called before
    // attempt_ended() of the answered attempt. Returns false, without effect, if the
    // server's incarnation is another one.
    bool observe_report(const server_id& server,
                        const server_incarnation& incarnation,
                        const server_load& load,
                        time_point now);

    // A report of the server could not be read. Returns true for the first one of its
    // incarnation.
    bool note_unreadable_report(const server_id& server,
                                const server_incarnation& incarnation);

    // Reports that other gateways have received. Those of unknown servers, and those that
    // are not newer than what is known, have no effect. O(log servers) each.
    void adopt_reports(const std::vector<aged_server_report>& reports, time_point now);

    // Appends this gateway's reports that are to be sent to other gateways, until `to`
    // has `max_rows`. Each is returned once. O(servers).
    void take_reports(std::vector<aged_server_report>& to,
                      std::size_t max_rows,
                      time_point now);

    // True, once, if the reports of the server have lost their trust.
    bool take_lost_trust(const server_id& server);

    // Appends the number of this gateway's requests in flight for each server that has
    // any, with those given up while their count matters to others.
    void add_in_flight(std::vector<server_requests>& to, time_point now) const;

    // Appends the service times that were measured since the last call, and forgets them.
    void take_service_times(std::vector<server_service_time>& to);

    // Returns the moving average of the service time over all servers of the service.
    duration mean_service_time() const;

    // True if the latest failure was that the server was unreachable, and the suspension
    // that followed has not ended.
    bool is_server_unreachable(const server_id& server, time_point now) const;

    // Returns the estimated throughput of the server in requests per second.
    double capacity(const server_id& server, time_point now) const;

    // Returns the largest number of requests that the server is taken to hold; 0 if it is
    // not known. See full_server.hpp.
    unsigned bound(const server_id& server, time_point now) const;

    // Returns the number of this gateway's requests in flight at the server.
    unsigned in_flight(const server_id& server) const;

    // Returns the number of servers that take new requests and are not suspended.
    // O(servers).
    std::size_t usable_count(time_point now) const;

private:
    struct row
    {
        listed_server entry;
        bool is_usable = false;                  // see known_server::is_usable()
        bool is_missing = false;                 // see known_server::is_missing
        std::optional<time_point> leaving_since; // see known_server::leaving_since()
        // See known_server::evacuation_stop_at.
        std::optional<time_point> evacuation_stop_at;
        bool is_in_group = true;      // assigned to this gateway's group
        unsigned own_requests = 0;    // requests in flight of this gateway
        unsigned passed_over = 0;     // of them, those that the server has passed over
        unsigned remote_requests = 0; // requests in flight of other gateways, estimated
        // The same without extrapolation.
        unsigned reported_requests = 0;
        double average_service_us = 0; // moving average of the service time
        // The same, learned with the loads and without the slowness that were reported;
        // equal to the average of a server that reports nothing.
        double usual_service_us = 0;
        time_point estimated_at{};    // when the average was last renewed or set
        time_point tested_at{};       // when the last attempt was sent or answered
        duration probe_after{};       // after tested_at, a probe is due
        unsigned answers = 0;         // that the average rests on
        bool was_unreachable = false; // the latest failure was that it was unreachable
        unsigned failures = 0;        // consecutive
        double failure_rate = 0;      // moving average as of failure_rate_at
        time_point failure_rate_at{};
        time_point suspended_until{};
        unsigned refusals = 0; // consecutive refusals of keys that it should own
        time_point suspected_until{};
        time_point full_until{};
        time_point paused_until{};
        bool is_pause_tested = true; // it answered a request after its last pause
        time_point limited_until{};  // when the next token for it is due
        time_point warm_up_end{};
        unsigned measured_answers = 0; // since the last take_service_times()
        double measured_us = 0;        // the sum of their service times
        full_server fullness;
        std::size_t own_bytes = 0; // of the bodies of this gateway's requests in flight
        // When an attempt there was lost, and what the server held then. Attempts that
        // are lost within `death_notice_time` after that one do not replace it.
        std::optional<time_point> lost_at;
        held_load held_at_loss;
        server_tag tag;
        double preference = 0; // from 0 (used first) to 1; another one at each gateway
        reported_load reported;
        bool is_report_new = false; // not taken by take_reports() yet
        bool has_unreadable_report = false;
        bool has_lost_trust = false; // not taken by take_lost_trust() yet
    };

    // Whether an expectation rests on the server's reports.
    enum class basis
    {
        counted,
        reported,
    };

    // Requests in flight per usable in-group server, rounded to the nearest integer; 0 if
    // there is no such server.
    unsigned mean_in_group_load() const;
    bool
    is_eligible(const row& it, const server_criteria& criteria, time_point now) const;
    bool is_allowed(const row& it, const server_criteria& criteria, time_point now) const;
    static bool is_paused(const row& it, time_point now);
    bool is_suspended(const row& it, time_point now) const;
    static unsigned own_counted(const row& it);
    // Requests in flight at the server, of the gateways that tell of theirs.
    static unsigned counted_at(const row& it, const server_criteria& criteria);
    // The number of requests by which the server holds more than it may before it gets a
    // further one; 0 if it has room.
    unsigned
    excess_at(const row& it, const server_criteria& criteria, time_point now) const;
    duration
    room_in(const row& it, const server_criteria& criteria, time_point now) const;
    bool is_without_answer_when_full(time_point now) const;
    bool is_suspected(const row& it, time_point now) const;
    static held_load held_with(const row& it, const server_criteria& criteria);
    void note_loss(row& it, const held_load& held, time_point now);
    void note_possible_death(row& it, time_point now);
    void note_key_refusal(row& it, time_point now);
    // Raised to that of a full server while the row counts as one.
    unsigned load_of(const row& it, unsigned requests, time_point now) const;
    // Takes the report if it may be true; `own` of its requests are this gateway's.
    // Returns false if it may not, or is not newer than the latest one.
    bool take_report(row& it, const server_load& load, unsigned own, time_point at);
    // The basis on which the row is used.
    static basis basis_of(const row& it);
    unsigned requests_of_others(const row& it, basis on, time_point now) const;
    // The moving average, moved to the mean time by its age. Without the slowness.
    double estimated_service_us(const row& it, basis on, time_point now) const;
    double expected_service_us(const row& it, basis on, time_point now) const;
    // By how much the moving average has moved to the mean time: from 0 to 1.
    double estimate_decay(const row& it, time_point now) const;
    bool is_probe_due(const row& it,
                      unsigned load,
                      const server_criteria& criteria,
                      time_point now) const;
    duration draw_probe_after(std::minstd_rand& random) const;
    static void note_test(row& it, const server_choice& to, time_point now);
    report_expectation expect_with_reports(const row& it,
                                           const server_criteria& criteria,
                                           time_point now) const;
    void update_service_time(row& it,
                             const server_choice& to,
                             duration elapsed,
                             time_point now);
    void compare_reports(row& it, const server_choice& to, duration elapsed);
    void note_failed_attempt(row& it, bool is_unreachable, time_point now);
    // The failure rate of the row, decayed until `now`.
    double failure_rate(const row& it, time_point now) const;
    // `failure` is 1 for a failed attempt and 0 for an answered one.
    void update_failure_rate(row& it, double failure, time_point now);
    double cost_us(const row& it, time_point now) const;
    server_choice make_choice(const row& it,
                              const server_criteria& criteria,
                              std::minstd_rand& random,
                              time_point now) const;

    data_centre here_;
    server_pool_options options_;
    std::map<server_id, row> rows_;
    double mean_service_us_;   // moving average of the service time over all servers
    unsigned gateways_ = 1;    // that use the in-group servers
    double spread_ = 0;        // of the preferences, in mean times
    bool has_reports_ = false; // some server reports its load
    bool is_covered_ = false;  // all other gateways have reported their requests
    std::unordered_map<std::uint32_t, server_id> ids_by_tag_;
    borne_load borne_;
    std::optional<time_point> shed_at_;         // the last refusal for lack of room
    std::optional<time_point> full_silence_at_; // the last silence of the class `full`
};

} // namespace camphorrock
