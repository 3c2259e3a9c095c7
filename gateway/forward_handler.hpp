#pragma once

// Takes requests that other gateways forward, on the port for other gateways. A request
// is not taken on while this gateway stops, reaches no server itself, or has as many
// forwarded requests as it takes: its own callers come first.

#include "gateway/client_handler.hpp"
#include "gateway/forward_protocol.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <memory>

namespace camphorrock
{

class forward_handler : public http_handler
{
public:
    // Both must outlive the handler.
    forward_handler(relay_context& context, client_handler& clients)
        : context_(context), clients_(clients)
    {
    }

    // Answers 400 if the target is not that of a forwarded request.
    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // Takes no more requests on.
    void stop()
    {
        is_stopping_ = true;
    }

private:
    // Empty if a request can be taken on.
    std::optional<forward_end> reason_to_decline() const;

    relay_context& context_;
    client_handler& clients_;
    bool is_stopping_ = false;
};

} // namespace camphorrock
