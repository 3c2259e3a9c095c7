#pragma once

// Decides whether a gateway has lost its links to the servers, so that what it sees of
// its own links is not taken for the state of the servers.
//
//     links.attempt_started(id, expected_latency, now);
//     links.attempt_ended(id, attempt_evidence::unreached, server, now);
//     if (links.begin_round(now)) ...           // open a connection to some servers
//     links.end_round({.asked = 4, .accepted = 0, .is_late = false}, now);
//     if (links.state() == link_state::lost) ...
//
// Suspicion arises in three ways: attempts fail at several servers and none is reached in
// between, an attempt stays without an answer for long and no server has been reached
// since it was sent, or a server seems to have crashed under a request. Each may have
// another cause, so a round of probes decides: the operating system of a server accepts a
// connection also if the server is slow or full. If one of the probes is accepted, the
// links are up, and what fails is the servers' own affair. If none is, the links are lost
// until all probes of several rounds in a row are accepted again.
//
// A round that took much longer than its probes may take says nothing: this gateway's
// own loop was late. It is repeated; after `max_late_rounds` the links count as up.
//
// Memory: one row for each attempt in flight.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

namespace camphorrock
{

enum class link_state
{
    up,
    suspected, // a round of probes is due or in flight
    lost,      // no server can be reached from here
};

// "up", "suspected", "lost".
std::string_view name_of(link_state value);

// Why the links were suspected.
enum class link_suspicion
{
    failures, // attempts failed at several servers, none was reached in between
    silence,  // an attempt stayed without an answer, no server was reached since its send
    crash,    // a server seems to have crashed under a request
};

// "failures", "silence", "crash".
std::string_view name_of(link_suspicion value);

// What the end of an attempt says of the link to its server.
enum class attempt_evidence
{
    reached,   // the server sent an answer
    unreached, // no connection could be opened, or it broke without an answer
    none,
};

struct link_monitor_options
{
    unsigned failed_servers_to_suspect = 2; // distinct ones
    duration silence_limit = milliseconds(400);
    int silence_factor = 2; // of the expected latency, if that is longer
    unsigned probes_per_round = 4;
    duration round_pause = seconds(1); // between rounds while the links are up
    unsigned max_late_rounds = 2;
    unsigned probes_per_return_round = 2;
    duration return_period = milliseconds(300); // of rounds while the links are lost
    unsigned rounds_to_return = 2;
};

// A round of probes that has ended.
struct probe_round
{
    unsigned asked = 0;
    unsigned accepted = 0;
    bool is_late = false; // it took much longer than its probes may take
};

class link_monitor
{
public:
    explicit link_monitor(link_monitor_options options = {}) : options_(options) {}

    link_state state() const
    {
        return state_;
    }

    // Of the latest suspicion.
    link_suspicion suspicion() const
    {
        return suspicion_;
    }

    // `id` identifies the attempt until its end.
    void attempt_started(std::uint64_t id, duration expected_latency, time_point now);

    // A reached server ends a suspicion, also if its round is in flight: the round then
    // decides nothing. Not that of a crash, which the answer of an earlier moment must
    // not confirm.
    void attempt_ended(std::uint64_t id,
                       attempt_evidence evidence,
                       const server_id& server,
                       time_point now);

    // A server seems to have crashed: a round of probes is to show whether the link broke
    // in its place.
    void suspect_crash();

    // Looks for an attempt that has been without an answer for long. Not to be called
    // while the loop is late: answers may have arrived that it has not read. O(attempts
    // in flight).
    void check_silence(time_point now);

    // The number of servers to probe now; 0 if no round is due, or one is in flight.
    // After any other number, end_round() must follow.
    unsigned begin_round(time_point now);

    void end_round(const probe_round& round, time_point now);

    // True if rounds may be due: while attempts are in flight, or the links are not up.
    bool needs_timer() const
    {
        return !attempts_.empty() || state_ != link_state::up;
    }

private:
    struct attempt
    {
        time_point started{};
        time_point overdue_at{};
    };

    void suspect(link_suspicion why);
    void set_up(time_point now);
    void end_suspicion(const probe_round& round, time_point now);
    void count_return_round(const probe_round& round, time_point now);

    link_monitor_options options_;
    link_state state_ = link_state::up;
    link_suspicion suspicion_ = link_suspicion::failures;
    std::unordered_map<std::uint64_t, attempt> attempts_; // in flight
    std::set<server_id> failed_servers_; // since a server was last reached
    time_point last_reached_at_{};
    time_point next_round_at_{};
    bool is_round_in_flight_ = false;
    unsigned late_rounds_ = 0;   // consecutive
    unsigned return_rounds_ = 0; // consecutive, with all probes accepted
};

} // namespace camphorrock
