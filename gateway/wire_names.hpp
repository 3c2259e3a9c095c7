#pragma once

// The names of the HTTP headers that a gateway reads and writes. The platform on which
// it runs defines them.

#include <string>

namespace camphorrock
{

struct wire_names
{
    std::string request_id;      // of one attempt by the client; servers echo it
    std::string remaining_ms;    // how long the client still waits, in milliseconds
    std::string expected_server; // the id of the only server that may run the request
    std::string server;          // the id of the server that answers
    std::string signature;       // a server's signature of its answer
    std::string not_run;         // present if the server did not run the request
    std::string shard_key;       // the key of a request to a keyed service
    std::string retry_after;     // how long a server wants no more requests, in seconds
    std::string leaving;         // present in the answers of a server that leaves
    std::string rate_limit;      // requests a second that a server takes from the fleet
    std::string warm_up;         // how long a server is still cold, in milliseconds
    std::string server_load;     // the requests at a server, and how slow its instance is
};

} // namespace camphorrock
