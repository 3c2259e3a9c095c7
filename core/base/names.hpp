#pragma once

// The names that the system passes around. Each is a type of its own; see tagged.hpp.

#include "core/base/tagged.hpp"

namespace camphorrock
{

// A service as operators declare it; the first segment of a caller's path.
using service_name = tagged<struct service_name_tag>;

// A shard: a set of servers and partitions of one service, governed by one record.
using shard_id = tagged<struct shard_id_tag>;

// A server that holds state for keys.
using server_id = tagged<struct server_id_tag>;

// A process of ours (router or assigner) on an instance.
using instance_id = tagged<struct instance_id_tag>;

// A caller (tenant), from the header Camphorrock-Caller.
using caller_name = tagged<struct caller_name_tag>;

// The id of a request that may not be repeated, from the header Idempotency-Key.
using request_id = tagged<struct request_id_tag>;

// A data centre.
using data_centre = tagged<struct data_centre_tag>;

// The id that an operator's patch carries.
using patch_id = tagged<struct patch_id_tag>;

// An address and port, "127.0.0.1:8080".
using endpoint = tagged<struct endpoint_tag>;

} // namespace camphorrock
