#pragma once

// The options of a client's sockets, by http_client_options.

#include "net/http_client.hpp"

namespace camphorrock
{

// Applies the acknowledgement timeout and the reset on close to a socket that is not
// connected yet.
void set_socket_options(int fd, const http_client_options& client);

// When the socket is closed, the system goes on delivering what was sent, however late
// the other side reads it.
void deliver_behind_close(int fd);

} // namespace camphorrock
