#pragma once

#include "net/testing/raw_listener.hpp"
#include "router/testing/context_fixture.hpp"

#include <memory>
#include <string>

namespace camphorrock::testing
{

// Accepts a connection and waits until the complete head of a request was received on it.
inline std::unique_ptr<raw_peer> accept_request(context_fixture& fixture,
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
