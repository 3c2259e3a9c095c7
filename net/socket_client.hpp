#pragma once

// An http_client for the exchanges with servers, which accounts for every byte that they
// send. libcurl reads ahead, and drops what follows the first answer on a connection;
// this client skips answers that are not the request's own wherever they end.
//
//     result<std::unique_ptr<http_client>> client = socket_client::create(loop, options);
//
// In addition to http_client's contract:
// - A connection is used again only after a whole own answer with nothing behind it, to a
//   request that had been sent in full before, and if no answer was skipped. Bytes on an
//   idle connection close it.
// - A request is sent only while its connection has nothing to read.
// - Several lengths, and a length beside chunks, are refused as no answer.
//
// http_client_options::shares_pool has no effect: pools cost no memory of note.
//
// Cost: exchanges wait for a connection in their order, per endpoint. Each connection
// takes about 1 kB and, while an answer arrives, that answer.

#include "net/http_client.hpp"

namespace camphorrock
{

class socket_client : public http_client
{
public:
    // `loop` must outlive the client.
    static result<std::unique_ptr<http_client>> create(event_loop& loop,
                                                       http_client_options options);
};

} // namespace camphorrock
