#pragma once

// The message by which a gateway tells all others that it reaches no server, so that they
// send no request by it, or that it reaches servers again. Sent as a datagram, which may
// be lost or late, and repeated while the links are lost.

#include "core/base/names.hpp"

namespace camphorrock
{

struct links_notice
{
    endpoint from;
    bool is_cut_off = false;

    bool operator==(const links_notice&) const = default;
};

} // namespace camphorrock
