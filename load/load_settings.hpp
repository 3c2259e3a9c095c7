#pragma once

// What the load tool sends; read from a YAML file. See docs/LOAD.md.

#include "app/settings_reader.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrock
{

// From `at` on, counted from the start, requests arrive at `rate` a second.
struct rate_step
{
    duration at{};
    double rate = 0;
};

// Which keys a caller asks for: ranks drawn by Zipf's law, and which key has rank 0 moves
// to another one each `hot_key_period`.
struct key_settings
{
    std::uint64_t count = 1000;
    double zipf = 0.9;         // exponent; 0 is uniform
    duration hot_key_period{}; // zero: the hot key stays
};

// What a caller does when an attempt brings no answer from a server.
struct retry_settings
{
    std::uint64_t retries = 3;
    duration delay = milliseconds(50);
    bool honours_retry_after = false;
};

// Shares of the unrepeatable requests that are sent again without need.
struct duplicate_settings
{
    double share = 0;         // sent through several routers at once
    std::uint64_t copies = 3; // through how many
    double late_share = 0;    // sent again after the request has ended
    duration late_delay = seconds(2);
};

struct caller_settings
{
    std::string name;
    service_name service;
    std::vector<endpoint> routers; // instead of those of the whole load; empty: those
    std::vector<rate_step> rates;  // the first is at 0
    key_settings keys;
    double write_share = 0; // unrepeatable POSTs with an Idempotency-Key
    double long_share = 0;  // requests with work=long
    duration timeout = seconds(1);
    retry_settings retry;
    duplicate_settings duplicates;
};

// Reads of some keys at a fixed period, to measure how long a key cannot be served.
struct probe_settings
{
    service_name service;
    std::uint64_t keys = 16;
    duration period = milliseconds(20);
    duration timeout = milliseconds(500);
};

struct load_settings
{
    std::uint64_t seed = 1;
    duration length = seconds(10);         // requests begin within this time
    duration drain = seconds(5);           // and are waited for this long after it
    duration patience = milliseconds(250); // a caller waits this long past its timeout
    std::uint64_t max_in_flight = 5000;    // requests beyond it are not sent, but counted
    std::int64_t connections_per_router = 256;
    std::vector<endpoint> routers;    // each attempt goes to one of them at random
    duration eject_time = seconds(1); // a router that failed is passed over for this long
    std::vector<caller_settings> callers;
    std::vector<probe_settings> probes;
    std::string history; // file; empty: none
};

// Reads the whole file; faults are noted in the reader.
load_settings read_load_settings(settings_map root);

} // namespace camphorrock
