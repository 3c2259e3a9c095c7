#pragma once

// Sends the assigner's orders to servers over HTTP.

#include "core/gateway/owners/key_orders.hpp"
#include "gateway/gateway_codec.hpp"
#include "net/http_client.hpp"

#include <functional>

namespace camphorrock
{

class order_sender
{
public:
    using callback = std::function<void(const order_result&)>;

    // Both must outlive the sender. `http` must reset the connections that it closes, so
    // that an order that has timed out does not arrive later.
    order_sender(http_client& http, const gateway_codec& codec)
        : http_(http), codec_(codec)
    {
    }

    // Calls `done` exactly once, never inside send(). The result is `not_sent` if no byte
    // of the order can have reached the server, `no_answer` if the server may have
    // received the order but its answer did not arrive.
    void send(const key_order& order, callback done);

private:
    http_client& http_;
    const gateway_codec& codec_;
};

} // namespace camphorrock
