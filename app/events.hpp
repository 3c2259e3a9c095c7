#pragma once

// The table of numbered log events, one row per event. docs/EVENTS.md is the catalogue
// for operators; a test compares the two. To add an event, add it to the enum, to the
// table in events.cpp and to the catalogue. A number is never reused.
//
//   101-199  every program        401-499  store and instance list
//   201-299  router               501-599  fakes
//   301-399  assigner             601-699  load tool

#include "app/severity.hpp"

#include <span>
#include <string>
#include <string_view>

namespace camphorrock
{

// The value of an enumerator is the event's number.
enum class event_id : unsigned
{
    program_started = 101,
    program_ready = 102,
    program_stopping = 103,
    program_stopped = 104,
    listen_failed = 105,
    config_in_force = 106,
    config_unreadable = 107,
    program_failed = 108,
    config_part_unreadable = 109,
    loop_late = 110,

    record_adopted = 201,
    record_unreadable = 202,
    lane_failed = 203,
    authority_gained = 204,
    authority_lost = 205,
    request_refused = 206,
    journal_unreadable = 207,
    journal_released = 208,
    request_sent = 219,
    request_answered = 220,
    request_sent_again = 221,
    attempt_failed = 222,
    request_answered_here = 223,
    client_gone = 224,
    server_seen = 225,
    server_gone = 226,
    server_unreadable = 227,
    assignment_in_force = 228,
    store_lost = 229,
    store_regained = 230,
    lines_left_out = 231,
    settings_reloaded = 232,
    server_leaving = 233,
    server_paused = 234,
    store_restored = 235,
    server_limited = 236,
    server_limit_ended = 237,
    server_limit_unreadable = 238,
    token_decided = 239,
    server_probed = 240,
    request_suspected = 241,
    request_condemned = 242,
    suspect_cleared = 243,
    trial_answered = 244,
    links_probed = 245,
    links_lost = 246,
    links_back = 247,
    request_forwarded = 248,
    forward_ended = 249,
    forward_taken = 250,
    watch_answered = 251,
    drain_begun = 252,
    drain_ended = 253,
    drain_unreadable = 254,
    warm_up_begun = 255,
    warm_up_ended = 256,
    server_load_unreadable = 257,
    server_load_distrusted = 258,
    watch_answer_too_large = 259,

    elected = 301,
    lease_lost = 302,
    record_written = 303,
    assignment_changed = 304,
    write_ended_unknown = 305,
    patch_ended = 306,
    keys_elected = 311,
    keys_resigned = 312,
    keys_written = 313,
    order_ended = 314,
    keys_handed_over = 315,
    keys_predecessor_ended = 316,
    keys_waiting = 317,
    keys_predecessor_bounded = 318,
    keys_predecessor_restarted = 319,

    grant_accepted = 501,
    grant_refused = 502,
    grant_revoked = 503,
    relay_mode_changed = 511,

    load_finished = 601,
};

struct event_row
{
    event_id id;
    std::string_view name;
    severity level;
    std::string_view meaning; // a sentence for the catalogue
};

// All rows, in ascending order of their numbers.
std::span<const event_row> all_events();

// Returns the row of an event. O(log n).
const event_row& row_of(event_id id);

// Formats the event's line in docs/EVENTS.md: "| 101 | program_started | info | ... |".
std::string catalogue_line(const event_row& row);

} // namespace camphorrock
