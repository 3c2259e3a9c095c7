#pragma once

// The settings file of camphorrock-load, in YAML. See docs/LOAD.md.

#include "app/settings_reader.hpp"
#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace camphorrock
{

// From `at` after the start of the load until the next step, requests arrive at `rate`
// per second.
struct rate_step
{
    duration at{};
    double rate = 0;
};

// The distribution of the keys of a caller's requests: their ranks follow a Zipf
// distribution, and each `hot_key_period` another key becomes the most popular one.
struct key_settings
{
    std::uint64_t count = 1000;
    double zipf = 0.9;         // exponent; 0 is uniform
    duration hot_key_period{}; // 0: the most popular key does not change
};

// What a caller does when an attempt does not get a server's answer.
struct retry_settings
{
    std::uint64_t retries = 3; // no retry once more than this many attempts were sent
    duration delay = milliseconds(50);
    bool honours_retry_after = false; // waits for the header's time if that is longer
};

// The fractions of the unrepeatable requests that are sent as duplicates, to test that
// each runs only once.
struct duplicate_settings
{
    double share = 0;         // sent as several copies at once
    std::uint64_t copies = 3; // in total, each to a random router
    double late_share = 0;    // sent once more after the request has ended
    duration late_delay = seconds(2);
};

struct caller_settings
{
    std::string name;
    service_name service;
    std::vector<endpoint> routers; // empty: those of load_settings
    std::vector<rate_step> rates;  // ordered by time; the first is at 0
    key_settings keys;
    double write_share = 0; // fraction of unrepeatable POSTs, with Idempotency-Key
    double long_share = 0;  // fraction of requests with work=long
    duration timeout = seconds(1);
    retry_settings retry;
    duplicate_settings duplicates;
};

// Reads each of some keys once per period, to measure how long a key is unavailable.
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
    duration length = seconds(10);               // new requests are sent for this long
    duration drain = seconds(5);                 // wait for their end, afterwards
    duration timeout_margin = milliseconds(250); // callers wait their timeout plus this
    // While this many attempts are in flight or scheduled, new requests are skipped, but
    // counted.
    std::uint64_t max_in_flight = 5000;
    std::int64_t connections_per_router = 256;
    std::vector<endpoint> routers;    // each attempt goes to a random one
    duration eject_time = seconds(1); // a failed router gets no attempts for this long
    std::vector<caller_settings> callers;
    std::vector<probe_settings> probes;
    std::string history; // path of the file; empty: no history
};

// Records all faults in the reader that `root` belongs to.
load_settings read_load_settings(settings_map root);

} // namespace camphorrock
