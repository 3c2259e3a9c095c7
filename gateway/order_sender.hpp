#pragma once

// Sends an assigner's orders to servers.

#include "core/gateway/key_orders.hpp"
#include "gateway/gateway_codec.hpp"
#include "net/http_client.hpp"

#include <functional>

namespace camphorrock
{

class order_sender
{
public:
    using callback = std::function<void(const order_result&)>;

    // Both must outlive the sender. `http` resets connections when it closes them, so
    // that an order whose time has run out does not arrive later.
    order_sender(http_client& http, const gateway_codec& codec)
        : http_(http), codec_(codec)
    {
    }

    // Ends in exactly one callback, never inside send().
    void send(const key_order& order, callback done);

private:
    http_client& http_;
    const gateway_codec& codec_;
};

} // namespace camphorrock
