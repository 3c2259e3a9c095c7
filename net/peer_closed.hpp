#pragma once

// Asks the operating system whether the other side of a connection has closed it or its
// sending side. True as soon as the close has arrived, also behind unread bytes and
// before the event loop has handled it. Costs one system call.

namespace camphorrock
{

bool has_peer_closed(int fd);

} // namespace camphorrock
