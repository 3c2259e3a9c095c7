#pragma once

// The names of a shard's keys in the store; the table is in docs/DESIGN.md, "Key space".

#include "core/base/names.hpp"

#include <string>

namespace camphorrock
{

constexpr const char* shard_prefix = "/camphorrock/shard/";

inline std::string record_key(const shard_id& shard)
{
    return shard_prefix + shard.str() + "/record";
}

inline std::string lease_key(const shard_id& shard)
{
    return shard_prefix + shard.str() + "/lease";
}

// A service has one shard today, of the same name.
inline shard_id shard_of(const service_name& service)
{
    return shard_id(service.str());
}

} // namespace camphorrock
