#include "gateway/store_write_agent.hpp"

#include "codec/store_write_codec.hpp"
#include "core/gateway/store/store_watchers.hpp"

#include <utility>

namespace camphorrock
{

store_write_agent::store_write_agent(gateway_state& state, send_function send)
    : state_(state), send_(std::move(send))
{
    set_fleet();
    state_.on_fleet_change([this] { set_fleet(); });
}

void store_write_agent::connect(store_client& store)
{
    store_ = &store;
    store.on_unwatched_write([this](store_revision at) { tell(at); });
}

void store_write_agent::set_fleet()
{
    watchers_ = store_watchers_of(state_.gateways());
    std::erase(watchers_, state_.settings().peer);
}

void store_write_agent::tell(store_revision at)
{
    const std::string datagram = encode_store_write({at.value});
    for (const endpoint& it : watchers_)
    {
        send_(it, datagram);
    }
}

bool store_write_agent::on_datagram(std::string_view datagram)
{
    const std::optional<store_write_notice> notice = decode_store_write(datagram);
    if (!notice)
    {
        return false;
    }
    if (store_ != nullptr)
    {
        store_->note_unwatched_write({notice->revision});
    }
    return true;
}

} // namespace camphorrock
