#pragma once

// Sends the assigner's orders to servers over HTTP.
//
// A server may write an answer once more, late, where the answer to a later order is
// expected. So each order has an id, and an answer that names another one is skipped. As
// answers need not name an order, none may be taken for another that means more: on a
// connection that carried grants, a release is ended only by an answer that no grant
// gets, and no connection is used on after a release or a refusal. What is left is an
// accepted grant's answer that is taken for that to a later grant.

#include "core/gateway/owners/key_orders.hpp"
#include "gateway/gateway_codec.hpp"
#include "net/http_client.hpp"

#include <cstdint>
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
    std::uint64_t last_number_ = 0; // of an order
};

} // namespace camphorrock
