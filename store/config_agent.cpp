#include "store/config_agent.hpp"

namespace camphorrock
{
namespace
{

constexpr duration read_period = seconds(1);
constexpr duration peer_timeout = milliseconds(500);

} // namespace

config_agent::config_agent(event_loop& loop,
                           store_client& store,
                           rpc_client& rpc,
                           std::function<void(const configuration&)> on_changed)
    : loop_(loop), store_(store), rpc_(rpc), on_changed_(std::move(on_changed)),
      tracker_({})
{
}

void config_agent::start()
{
    read_store();
    timer_ = loop_.every(read_period, [this] { read_store(); });
}

void config_agent::on_peer_version(config_version version, const endpoint& peer)
{
    if (!tracker_.on_version_reported(loop_.now(), version))
    {
        return;
    }
    rpc_.call(peer,
              "config.get",
              Json::Value(Json::objectValue),
              peer_timeout,
              [this](const rpc_result& got)
              {
                  if (got.end == rpc_end::answered)
                  {
                      adopt_document(got.value.asString());
                  }
              });
}

void config_agent::on_majority_version(time_point sent, config_version highest)
{
    tracker_.on_contact(sent, highest);
}

void config_agent::read_store()
{
    if (is_reading_)
    {
        return;
    }
    is_reading_ = true;
    time_point sent = loop_.now();
    store_.get(config_key,
               [this, sent](const store_read& got)
               {
                   is_reading_ = false;
                   if (got.end != store_end::done)
                   {
                       return;
                   }
                   bool is_usable =
                       got.entries.empty() || adopt_document(got.entries.front().value);
                   if (is_usable)
                   {
                       tracker_.on_contact(sent, tracker_.version());
                   }
               });
}

bool config_agent::adopt_document(const std::string& text)
{
    return value_or_handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_AUTO(config, parse_configuration(text));
            if (tracker_.on_document(config.version))
            {
                current_ = std::move(config);
                on_changed_(current_);
            }
            return true;
        },
        [](const error&) { return false; });
}

} // namespace camphorrock
