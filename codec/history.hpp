#pragma once

// The records of a test run: what the fake servers did, which answers the load tool's
// callers received, and which configurations the operators tool observed. They are
// written as JSON lines and read by the history checker. All times are readings of
// CLOCK_BOOTTIME in microseconds, so they are comparable only between processes of one
// machine.

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

// A reading of CLOCK_BOOTTIME in microseconds.
using history_time = std::uint64_t;

// A server accepted a grant or a renewal: it owns the partition from `at` to `until`,
// unless it releases it first.
struct grant_record
{
    history_time at = 0;
    history_time until = 0;
    server_id server;
    shard_id shard;
    hash_range partition;
    epoch since; // of the grant; "epoch" in JSON

    bool operator==(const grant_record&) const = default;
};

// A server released the partition.
struct revoke_record
{
    history_time at = 0;
    server_id server;
    shard_id shard;
    hash_range partition;
    epoch since; // of the grant; "epoch" in JSON

    bool operator==(const revoke_record&) const = default;
};

// A server began to run a request. Written before the request takes effect.
struct run_start_record
{
    history_time at = 0;
    std::string run; // unique among all servers and their restarts
    server_id server;
    service_name service;
    std::string key;
    key_hash hash;
    epoch since; // that the request carried; "epoch" in JSON
    bool checks_epoch = true;
    request_id id;       // empty: the request is repeatable
    std::string tag;     // identifies the request; the same for all its attempts
    std::string attempt; // identifies the attempt that reached the server

    bool operator==(const run_start_record&) const = default;
};

// The run ended. A run without this record was lost when its server failed.
struct run_end_record
{
    history_time at = 0;
    std::string run;
    server_id server;

    bool operator==(const run_end_record&) const = default;
};

// One attempt of a caller's request, and the answer that the caller received.
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
    unsigned status = 0; // HTTP status; 0: no answer
    std::string outcome; // the header Camphorrock-Outcome; empty: no such header

    std::string problem; // the problem type of an answer that no server sent

    // Read from the body of an answer that a server sent; else empty.
    std::string answer_run;
    std::string answer_key;
    std::string answer_tag;
    request_id answer_id;
    bool is_answer_complete = false; // the body is a complete server_answer

    bool operator==(const attempt_record&) const = default;
};

// One submission of a configuration patch by an operator, and its answer.
struct patch_record
{
    history_time start = 0;
    history_time end = 0;
    std::string caller; // the operator; "operator" in JSON
    endpoint assigner;
    patch_id id;
    config_version base;    // the version that the patch applies to
    std::string ended;      // "accepted", "stale", ...; empty: no answer
    config_version version; // of the answer

    bool operator==(const patch_record&) const = default;
};

// A router's answer about the configuration that it serves with.
struct router_config_record
{
    history_time start = 0;
    history_time end = 0;
    endpoint router;     // its admin port
    std::string process; // identifies the process among all that listen on the port
    config_version version;
    bool is_serving = false; // false: it refuses requests, or has no configuration

    bool operator==(const router_config_record&) const = default;
};

// A patch that the configuration document lists as applied.
struct listed_patch
{
    patch_id id;
    config_version version;

    bool operator==(const listed_patch&) const = default;
};

// The configuration document that a linearizable read of the store returned.
struct config_document_record
{
    history_time start = 0;
    history_time end = 0;
    config_version version;
    std::vector<listed_patch> patches; // the latest patches, oldest first

    bool operator==(const config_document_record&) const = default;
};

using history_entry = std::variant<grant_record,
                                   revoke_record,
                                   run_start_record,
                                   run_end_record,
                                   attempt_record,
                                   patch_record,
                                   router_config_record,
                                   config_document_record>;

} // namespace camphorrock
