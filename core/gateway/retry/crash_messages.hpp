#pragma once

// The messages by which gateways share what they know of requests that crash servers; see
// crash_exchange.hpp. They are sent as datagrams, which may be lost, repeated or late.

#include "core/base/enum_names.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "core/gateway/retry/request_fingerprint.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace camphorrock
{

// Identifies one attempt of a suspect: random, drawn by the gateway that asks.
struct trial_id
{
    std::uint64_t value = 0;

    auto operator<=>(const trial_id&) const = default;
};

// How many crashes a gateway knows of for each of the two fingerprints of a request.
struct known_crashes
{
    unsigned whole = 0;
    unsigned path = 0;

    auto operator<=>(const known_crashes&) const = default;
};

// Asks the counting gateway for the permission to send a suspect to a server.
struct trial_request
{
    trial_id id;
    service_name service;
    request_fingerprint request;
    known_crashes known;
    server_id server;
    duration lifetime{}; // the attempt ends within this time
    endpoint reply_to;

    bool operator==(const trial_request&) const = default;
};

enum class trial_answer
{
    run,          // the request may be sent to that server
    wait,         // another attempt of the same request runs; ask again later
    other_server, // another suspect runs on that server
    condemned,    // the request crashes servers
    cleared,      // the request is no suspect any more
};

inline constexpr enum_names<trial_answer, 5> trial_answer_names{{{
    {trial_answer::run, "run"},
    {trial_answer::wait, "wait"},
    {trial_answer::other_server, "other_server"},
    {trial_answer::condemned, "condemned"},
    {trial_answer::cleared, "cleared"},
}}};

struct trial_reply
{
    trial_id id;
    trial_answer answer = trial_answer::wait;

    bool operator==(const trial_reply&) const = default;
};

// How an attempt of a suspect ended. One that crashed its server may have had no
// permission: then its id is new.
enum class trial_end
{
    completed, // a server answered
    crashed,   // its server ended under it
    unknown,   // anything else
};

inline constexpr enum_names<trial_end, 3> trial_end_names{{{
    {trial_end::completed, "completed"},
    {trial_end::crashed, "crashed"},
    {trial_end::unknown, "unknown"},
}}};

// Repeated until a trial_noted arrives. The gateway that sends it sets the last two.
struct trial_report
{
    trial_id id;
    service_name service;
    request_fingerprint request;
    trial_end end = trial_end::unknown;
    server_id server;
    duration started_ago{};
    duration ended_ago{};
    endpoint reply_to;

    bool operator==(const trial_report&) const = default;
};

// The report of that attempt has arrived.
struct trial_noted
{
    trial_id id;

    bool operator==(const trial_noted&) const = default;
};

// What is known of one fingerprint.
struct suspect_row
{
    std::uint64_t fingerprint = 0;
    unsigned crashes = 0; // 0: it is cleared

    bool operator==(const suspect_row&) const = default;
};

// Tells a gateway which requests are suspects.
struct suspects_notice
{
    std::vector<suspect_row> rows;

    bool operator==(const suspects_notice&) const = default;
};

// Asks for a suspects_notice of all verdicts. Sent by a gateway that was just started.
struct verdicts_request
{
    endpoint reply_to;

    bool operator==(const verdicts_request&) const = default;
};

// No message names a longer time.
constexpr duration max_crash_message_time = std::chrono::hours(1);

using crash_message = std::variant<trial_request,
                                   trial_reply,
                                   trial_report,
                                   trial_noted,
                                   suspects_notice,
                                   verdicts_request>;

} // namespace camphorrock
