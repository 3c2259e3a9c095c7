#include "gateway/client_handler.hpp"

#include <vector>

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
}

void client_handler::handle(http_request request,
                            std::shared_ptr<http_responder> responder)
{
    auto ended = [this](const std::shared_ptr<request_relay>& it)
    {
        relays_.erase(it);
    };
    auto made = std::make_shared<request_relay>(
        context_, std::move(request), std::move(responder), std::move(ended));
    relays_.insert(made);
    made->start();
}

void client_handler::notify_relays()
{
    is_notify_posted_ = false;
    const std::vector<std::shared_ptr<request_relay>> all(relays_.begin(), relays_.end());
    for (const std::shared_ptr<request_relay>& it : all)
    {
        it->on_state_changed();
    }
}

} // namespace camphorrock
