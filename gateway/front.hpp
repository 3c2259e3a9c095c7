#pragma once

// Takes the requests of clients, and keeps the relay of each until it has ended.

#include "gateway/request_relay.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <memory>
#include <unordered_set>

namespace camphorrock
{

class front : public http_handler
{
public:
    explicit front(relay_parts& parts);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    std::size_t in_flight() const
    {
        return relays_.size();
    }

private:
    void wake_all();

    relay_parts& parts_;
    std::unordered_set<std::shared_ptr<request_relay>> relays_;
    bool is_wake_posted_ = false;
};

} // namespace camphorrock
