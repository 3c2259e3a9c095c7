#pragma once

// Accepts clients' requests and owns the relay of each one until the relay has ended.

#include "gateway/request_relay.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <memory>
#include <unordered_set>

namespace camphorrock
{

class client_handler : public http_handler
{
public:
    // `context` must outlive the handler.
    explicit client_handler(relay_context& context);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // Requests that have not ended.
    std::size_t in_flight() const
    {
        return relays_.size();
    }

private:
    void notify_relays();

    relay_context& context_;
    std::unordered_set<std::shared_ptr<request_relay>> relays_;
    bool is_notify_posted_ = false; // several state changes cause one notification
};

} // namespace camphorrock
