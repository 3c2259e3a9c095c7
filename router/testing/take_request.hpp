#pragma once

#include "net/testing/raw_listener.hpp"
#include "router/testing/parts_fixture.hpp"

#include <memory>
#include <string>

namespace camphorrock::testing
{

// Waits for a connection on which the whole head of a request has come.
inline std::unique_ptr<raw_peer> take_request(parts_fixture& fixture,
                                              raw_listener& listener)
{
    std::unique_ptr<raw_peer> peer;
    std::string got;
    fixture.run_until(
        [&]
        {
            peer = peer ? std::move(peer) : listener.accept();
            got += peer ? peer->read_some() : "";
            return got.find("\r\n\r\n") != std::string::npos;
        });
    return peer;
}

} // namespace camphorrock::testing
