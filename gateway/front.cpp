#include "gateway/front.hpp"

#include <vector>

namespace camphorrock
{

front::front(relay_parts& parts) : parts_(parts)
{
    parts_.state.on_change(
        [this]
        {
            if (!is_wake_posted_)
            {
                is_wake_posted_ = true;
                parts_.loop.post([this] { wake_all(); });
            }
        });
}

void front::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    auto ended = [this](const std::shared_ptr<request_relay>& it)
    {
        relays_.erase(it);
    };
    auto made = std::make_shared<request_relay>(
        parts_, std::move(request), std::move(responder), std::move(ended));
    relays_.insert(made);
    made->start();
}

void front::wake_all()
{
    is_wake_posted_ = false;
    const std::vector<std::shared_ptr<request_relay>> all(relays_.begin(), relays_.end());
    for (const std::shared_ptr<request_relay>& it : all)
    {
        it->wake();
    }
}

} // namespace camphorrock
