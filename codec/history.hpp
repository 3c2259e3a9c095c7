#pragma once

// The records of a test run: what the stand-in servers did, what the load tool's callers
// were told, and what the operators tool saw of the configuration. They are written as
// JSON lines and read by the history checker. All times are CLOCK_BOOTTIME in
// microseconds, so they compare between processes of one machine only.

#include "core/base/epoch.hpp"
#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"
#include "core/config/config_version.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace camphorrock
{

// A microsecond reading of CLOCK_BOOTTIME.
using history_time = std::uint64_t;

// A server took a grant or renewal: it owns the partition from `at` to `until`, unless it
// gives it up first.
struct grant_record
{
    history_time at = 0;
    history_time until = 0;
    server_id server;
    shard_id shard;
    hash_range partition;
    epoch since;

    bool operator==(const grant_record&) const = default;
};

// A server gave the partition up.
struct revoke_record
{
    history_time at = 0;
    server_id server;
    shard_id shard;
    hash_range partition;
    epoch since;

    bool operator==(const revoke_record&) const = default;
};

// A server began to run a request. Written before its effect.
struct run_start_record
{
    history_time at = 0;
    std::string run; // unique among all servers and their restarts
    server_id server;
    service_name service;
    std::string key;
    key_hash hash;
    epoch since;
    bool checks_epoch = true;
    request_id id;       // empty: the request may be repeated
    std::string tag;     // of the request: the same for all its attempts
    std::string attempt; // of the attempt that reached the server

    bool operator==(const run_start_record&) const = default;
};

// The run ended; a run without this record was lost with its server.
struct run_end_record
{
    history_time at = 0;
    std::string run;
    server_id server;

    bool operator==(const run_end_record&) const = default;
};

// What a caller sent once, and what it was told.
struct attempt_record
{
    history_time start = 0;
    history_time end = 0;
    std::string caller;
    endpoint router;
    service_name service;
    std::string key;
    request_id id;
    std::string tag;
    std::string attempt;
    std::string ended;   // how the exchange ended: "answered", "timed_out", ...
    unsigned status = 0; // of the answer; 0: none
    std::string outcome; // as told in Camphorrock-Outcome; empty where there was none

    std::string problem; // the problem's type, of an answer that no server gave

    // Read from the body of an answer that a server gave.
    std::string answer_run;
    std::string answer_key;
    std::string answer_tag;
    request_id answer_id;
    bool answer_whole = false;

    bool operator==(const attempt_record&) const = default;
};

// An operator's submission of a patch, and its answer.
struct patch_record
{
    history_time start = 0;
    history_time end = 0;
    std::string caller; // the operator
    endpoint assigner;
    patch_id id;
    config_version base;
    std::string ended;      // "accepted", "stale", ...; empty: no answer
    config_version version; // of the answer

    bool operator==(const patch_record&) const = default;
};

// What a router said of the configuration that it serves with.
struct router_config_record
{
    history_time start = 0;
    history_time end = 0;
    endpoint router;     // its admin port
    std::string process; // differs between two processes on one port
    config_version version;
    bool is_serving = false; // false: it refuses, or has no configuration

    bool operator==(const router_config_record&) const = default;
};

// A patch that the document lists as applied.
struct listed_patch
{
    patch_id id;
    config_version version;

    bool operator==(const listed_patch&) const = default;
};

// The document as a linearizable read of the store showed it.
struct document_record
{
    history_time start = 0;
    history_time end = 0;
    config_version version;
    std::vector<listed_patch> patches; // the latest ones, oldest first

    bool operator==(const document_record&) const = default;
};

using history_entry = std::variant<grant_record,
                                   revoke_record,
                                   run_start_record,
                                   run_end_record,
                                   attempt_record,
                                   patch_record,
                                   router_config_record,
                                   document_record>;

} // namespace camphorrock
