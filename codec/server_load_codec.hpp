#pragma once

// The datagram in which a gateway passes on what servers have reported of their load: a
// MessagePack array
//
//     ["server_loads", sender, number, [tag, incarnation, running, waiting, slots,
//                                       slowness in percent, age in microseconds, ...]]
//
// Builds that do not know it ignore it.

#include "core/gateway/servers/reported_load.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorrock
{

// Keeps a datagram below the size that networks carry in one piece.
constexpr std::size_t max_server_loads = 32;
constexpr duration max_server_load_age = seconds(10);

struct server_loads_notice
{
    std::uint64_t sender = 0; // random, drawn at the start of the sending gateway
    std::uint64_t sequence_number = 0; // increases with each notice
    std::vector<aged_server_report> reports;

    bool operator==(const server_loads_notice&) const = default;
};

std::string encode_server_loads(const server_loads_notice& notice);

// Returns nullopt for bytes that are not such an array, that exceed 4 KiB, or that have
// more than `max_server_loads` reports. A report with figures out of range is left out
// alone.
std::optional<server_loads_notice> decode_server_loads(std::string_view bytes);

} // namespace camphorrock
