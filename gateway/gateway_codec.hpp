#pragma once

// The forms in which the surroundings of a gateway keep and send what it deals with:
// entries of servers, the configuration, orders to servers, and headers. Translation
// only: no I/O, and no state that changes.

#include "core/base/result.hpp"
#include "core/gateway/gateway_config.hpp"
#include "core/gateway/key_orders.hpp"
#include "core/gateway/listed_server.hpp"
#include "gateway/wire_names.hpp"
#include "net/http_message.hpp"

#include <string>
#include <string_view>

namespace camphorrock
{

class gateway_codec
{
public:
    virtual ~gateway_codec() = default;

    virtual const wire_names& names() const = 0;

    // The key of the configuration in the store.
    virtual const std::string& config_key() const = 0;

    // Fails with invalid_argument where the text is not a whole configuration, or names a
    // service that it does not declare.
    virtual result<gateway_config> read_config(std::string_view text) const = 0;

    // The prefix of the keys in the store under which servers keep their entries.
    virtual const std::string& server_prefix() const = 0;

    // `key` is the whole key. Fails with invalid_argument.
    virtual result<listed_server> read_server(const std::string& key,
                                              std::string_view text) const = 0;

    // The id of the server whose entry has that key.
    virtual server_id server_of(const std::string& key) const = 0;

    virtual http_request make_order(const key_order& order) const = 0;
    virtual order_result read_order_answer(const http_response& answer) const = 0;

    // The target of the gateway's readiness, asked by the balancer in front of it.
    virtual const std::string& ready_target() const = 0;
};

} // namespace camphorrock
