#include "load/config_watch.hpp"

#include "codec/configuration_json.hpp"
#include "codec/history_json.hpp"
#include "load/history_clock.hpp"
#include "load/router_status.hpp"
#include "store/config_agent.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

// Longer than a router may be frozen, so that its first answer afterwards is recorded.
constexpr duration router_timeout = seconds(20);

} // namespace

config_watch::config_watch(event_loop& loop,
                           http_client& http,
                           store_client& store,
                           line_file& history,
                           version_lag& lag,
                           const operators_settings& settings)
    : loop_(loop), http_(http), store_(store), history_(history), lag_(lag),
      settings_(settings)
{
}

void config_watch::start()
{
    timer_ = loop_.every(settings_.poll_period, [this] { poll(); });
}

void config_watch::read_document(std::function<void(config_version)> done)
{
    config_document_record record;
    record.start = to_history(loop_.now());
    store_.get(config_key,
               [this, record, done = std::move(done)](const store_read& got)
               {
                   bool is_there = got.end == store_end::done && !got.entries.empty();
                   done(is_there ? on_document(record, got.entries.front().value)
                                 : config_version());
               });
}

void config_watch::poll()
{
    for (const endpoint& it : settings_.routers)
    {
        if (asked_.insert(it).second)
        {
            ask(it);
        }
    }
}

void config_watch::ask(const endpoint& router)
{
    router_config_record record;
    record.start = to_history(loop_.now());
    record.router = router;
    exchange_options options;
    options.timeout = router_timeout;
    http_.send(router,
               {"GET", "/metrics", {}, ""},
               options,
               [this, record](const exchange_result& got)
               {
                   asked_.erase(record.router);
                   on_router(record, got);
               });
}

config_version config_watch::on_document(config_document_record record,
                                         const std::string& text)
{
    record.end = to_history(loop_.now());
    return value_or_handle(
        [&]() -> result<config_version>
        {
            BOOST_LEAF_AUTO(config, parse_configuration(text));
            record.version = config.version;
            for (const applied_patch& it : config.patches)
            {
                record.patches.push_back({it.id, it.version});
            }
            history_.append(write_history_line(record));
            return config.version;
        },
        [](const error&) { return config_version(); });
}

void config_watch::on_router(router_config_record record, const exchange_result& got)
{
    record.end = to_history(loop_.now());
    bool is_told =
        got.end == exchange_end::answered && read_router_status(got.answer.body, record);
    if (is_told)
    {
        history_.append(write_history_line(record));
        lag_.on_seen(record.router, record.version, loop_.now());
    }
}

} // namespace camphorrock
