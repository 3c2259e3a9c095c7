#pragma once

// The names of the headers that a gateway reads and writes, as the surroundings define
// them.

#include <string>

namespace camphorrock
{

struct wire_names
{
    std::string request_id;      // of the client's attempt; echoed by servers
    std::string remaining_ms;    // how long the client will still wait
    std::string expected_server; // the id of the only server that may run the request
    std::string server;          // the id of the server that answers
    std::string signature;       // a server's signature of its answer
    std::string not_run;         // present where the server did not run the request
    std::string shard_key;       // of a request for a service that is divided by key
};

} // namespace camphorrock
