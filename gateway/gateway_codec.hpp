#pragma once

// Translates between a gateway's types and the formats of the platform on which it runs:
// the store entries of servers, the configuration, orders to servers, and HTTP headers.
// A codec does no I/O and has no mutable state.

#include "core/base/result.hpp"
#include "core/gateway/config/gateway_config.hpp"
#include "core/gateway/owners/key_orders.hpp"
#include "core/gateway/servers/listed_server.hpp"
#include "gateway/wire_names.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace camphorrock
{

class gateway_codec
{
public:
    virtual ~gateway_codec() = default;

    virtual const wire_names& names() const = 0;

    // The prefix of the store keys that the operator writes. It has no characters that a
    // query encodes.
    virtual const std::string& operator_prefix() const = 0;

    // The store key that holds the configuration, under operator_prefix().
    virtual const std::string& config_key() const = 0;

    // Fails with error_code::invalid_argument if the text is not a complete
    // configuration, or if a route names a service that it does not declare.
    virtual result<gateway_config> read_config(std::string_view text) const = 0;

    // The data centre that is drained while the full store key `key` exists, which may be
    // empty. Nullopt for all other keys.
    virtual std::optional<data_centre> drained_zone_of(const std::string& key) const = 0;

    // `text` is the value of a key that drains a data centre. Fails with
    // error_code::invalid_argument if the key names none or the text is not readable.
    virtual result<void> read_drain(const std::string& key,
                                    std::string_view text) const = 0;

    // The prefix of the store keys under which servers register their entries.
    virtual const std::string& server_prefix() const = 0;

    // `key` is the full store key, with its prefix. Fails with
    // error_code::invalid_argument if the text is not a valid entry.
    virtual result<listed_server> read_server(const std::string& key,
                                              std::string_view text) const = 0;

    // The id of the server whose entry has the full store key `key`.
    virtual server_id server_id_of(const std::string& key) const = 0;

    // False for an answer that a server gives to grants only.
    virtual bool may_answer_release(const http_response& answer) const = 0;

    virtual http_request make_order(const key_order& order) const = 0;
    // An answer that no order can have is reported as order_end::no_answer, since the
    // server may have carried the order out.
    virtual order_result read_order_answer(const http_response& answer) const = 0;

    // The request target at which the load balancer probes the gateway's readiness.
    virtual const std::string& ready_target() const = 0;
};

} // namespace camphorrock
