#pragma once

// Options of a once_gate.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace camphorrock
{

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

// What operators may change while a gate stands.
struct once_settings
{
    bool servers_deduplicate = false; // the service's servers recognise a repeated id

    duration retention = seconds(3600); // how long an id is remembered after its end

    bool operator==(const once_settings&) const = default;
};

struct once_options : once_settings
{
    instance_id router;       // whose journal is written
    std::uint64_t writer = 0; // random, drawn anew by each process; not 0

    duration outcome_delay =
        milliseconds(100); // batches without a new request wait so long
    std::size_t max_batch_entries = 512;
    std::size_t max_batch_bytes = 512 * kibibyte; // the store takes 1 MB

    std::size_t max_payload_bytes = 4 * kibibyte; // a larger answer is not kept
    std::size_t max_id_bytes = 256;               // of a request id or a caller's name
    std::size_t max_memory_bytes = 16 * mebibyte; // of all ids; further ones are refused
    std::size_t filter_bytes = mebibyte;          // remembers ids past their retention

    duration first_retry = milliseconds(100); // after a failed call of the store
    duration max_retry = seconds(5);
    duration refresh_interval =
        seconds(2); // between looks for a predecessor's late outcome
};

} // namespace camphorrock
