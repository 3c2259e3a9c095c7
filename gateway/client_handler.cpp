#include "gateway/client_handler.hpp"

namespace camphorrock
{

client_handler::client_handler(relay_context& context) : context_(context)
{
    context_.state.on_change(
        [this]
        {
            if (!is_notify_posted_)
            {
                is_notify_posted_ = true;
                context_.loop.post([this] { notify_relays(); });
            }
        });
    if (context_.links != nullptr)
    {
        context_.links->on_change([this] { on_links_changed(); });
    }
}

void client_handler::handle(http_request request,
                            std::shared_ptr<http_responder> responder)
{
    start(std::move(request), std::move(responder), std::nullopt);
}

void client_handler::handle_forwarded(http_request request,
                                      std::shared_ptr<http_responder> responder,
                                      const forward_terms& terms)
{
    ++forwarded_in_flight_;
    start(std::move(request), std::move(responder), terms);
}

void client_handler::start(http_request request,
                           std::shared_ptr<http_responder> responder,
                           std::optional<forward_terms> forwarded)
{
    auto ended = [this, is_forwarded = forwarded.has_value()](
                     const std::shared_ptr<request_relay>& it)
    {
        forwarded_in_flight_ -= is_forwarded ? 1 : 0;
        relays_.erase(it);
    };
    auto made = std::make_shared<request_relay>(
        context_, std::move(request), std::move(responder), std::move(ended), forwarded);
    relays_.insert(made);
    made->start();
}

void client_handler::answer_all_by(time_point when)
{
    context_.answer_by = when;
    for (const std::shared_ptr<request_relay>& it : all())
    {
        it->answer_by(when);
    }
}

// A copy, since a relay may end while the caller iterates.
std::vector<std::shared_ptr<request_relay>> client_handler::all() const
{
    return {relays_.begin(), relays_.end()};
}

void client_handler::notify_relays()
{
    is_notify_posted_ = false;
    for (const std::shared_ptr<request_relay>& it : all())
    {
        it->on_state_changed();
    }
}

// Connections from before a loss may hang also after it.
void client_handler::on_links_changed()
{
    if (context_.links->state() != link_state::lost)
    {
        context_.state.forget_unreachable_servers();
        return;
    }
    for (const auto& [id, server] : context_.state.servers().all())
    {
        context_.http.drop_connections(server.entry.address);
    }
    for (const std::shared_ptr<request_relay>& it : all())
    {
        it->on_links_lost();
    }
}

} // namespace camphorrock
