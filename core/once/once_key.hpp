#pragma once

// The identity of an unrepeatable (non-idempotent) request within a shard: the hash of
// its key, the caller, and the id that the caller gave it (header Idempotency-Key). The
// scope of an id is therefore (service, key, caller): the same id on another key, or from
// another caller, identifies another request.

#include "core/base/key_hash.hpp"
#include "core/base/names.hpp"

#include <compare>
#include <cstddef>
#include <functional>

namespace camphorrock
{

struct once_key
{
    key_hash at; // of the request's key
    caller_name caller;
    request_id id;

    auto operator<=>(const once_key&) const = default;
};

struct once_key_hash
{
    std::size_t operator()(const once_key& key) const noexcept
    {
        constexpr std::size_t odd = 0x9e3779b97f4a7c15;
        std::size_t mixed = std::hash<request_id>()(key.id) * odd;
        mixed ^= std::hash<caller_name>()(key.caller);
        return mixed * odd ^ key.at.value;
    }
};

} // namespace camphorrock
