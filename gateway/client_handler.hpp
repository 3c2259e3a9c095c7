#pragma once

// Accepts clients' requests, also those that other gateways forward, and owns the relay
// of each one until the relay has ended. Tells the relays when the state changes, or when
// this gateway has lost its links to the servers.

#include "gateway/request_relay.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_set>
#include <vector>

namespace camphorrock
{

class client_handler : public http_handler
{
public:
    // `context` must outlive the handler.
    explicit client_handler(relay_context& context);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // The same for a request that another gateway has forwarded.
    void handle_forwarded(http_request request,
                          std::shared_ptr<http_responder> responder,
                          const forward_terms& terms);

    // Answers each request by `when` at the latest, also those in flight.
    void answer_all_by(time_point when);

    // Answers requests that arrive from now on at once, as not run.
    void refuse_requests()
    {
        context_.refuses_requests = true;
    }

    // Requests that have not ended, forwarded ones included.
    std::size_t in_flight() const
    {
        return relays_.size();
    }

    std::size_t forwarded_in_flight() const
    {
        return forwarded_in_flight_;
    }

private:
    void start(http_request request,
               std::shared_ptr<http_responder> responder,
               std::optional<forward_terms> forwarded);
    void notify_relays();
    void on_links_changed();
    std::vector<std::shared_ptr<request_relay>> all() const;

    relay_context& context_;
    std::unordered_set<std::shared_ptr<request_relay>> relays_;
    std::size_t forwarded_in_flight_ = 0;
    bool is_notify_posted_ = false; // several state changes cause one notification
};

} // namespace camphorrock
