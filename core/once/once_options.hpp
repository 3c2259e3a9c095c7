#pragma once

// The options of a once_gate.

#include "core/base/names.hpp"
#include "core/base/time.hpp"

#include <cstddef>
#include <cstdint>

namespace camphorrock
{

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;

// The settings that operators may change while a gate is in use.
struct once_settings
{
    // The service's servers recognise a repeated id and do not run it again.
    bool servers_deduplicate = false;

    // How long an id is remembered after its request has ended.
    duration retention = seconds(3600);

    bool operator==(const once_settings&) const = default;
};

struct once_options : once_settings
{
    instance_id router;       // the owner of the journal that the gate writes
    std::uint64_t writer = 0; // drawn at random by each process; not 0

    // How long outcomes wait for a batch with other entries before they are written
    // alone.
    duration outcome_delay = milliseconds(100);

    std::size_t max_batch_entries = 512;
    std::size_t max_batch_bytes = 512 * kibibyte; // the store accepts values up to 1 MB

    std::size_t max_payload_bytes = 4 * kibibyte; // a larger answer is not kept
    std::size_t max_id_bytes = 256;               // of a request id or a caller's name
    std::size_t max_memory_bytes = 16 * mebibyte; // of all ids; further ids are refused
    std::size_t filter_bytes = mebibyte;          // for ids past their retention

    // Backoff after a failed call of the store.
    duration initial_retry_delay = milliseconds(100);
    duration max_retry_delay = seconds(5);

    // Between two loads that look for an outcome that a predecessor wrote late.
    duration refresh_interval = seconds(2);
};

} // namespace camphorrock
