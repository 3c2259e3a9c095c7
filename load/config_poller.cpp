#include "load/config_poller.hpp"

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

// Longer than the tests freeze a router, so that its first answer afterwards is recorded.
constexpr duration router_timeout = seconds(20);

} // namespace

config_poller::config_poller(event_loop& loop,
                             http_client& http,
                             store_client& store,
                             line_file& history,
                             version_lag& lag,
                             const operators_settings& settings)
    : loop_(loop), http_(http), store_(store), history_(history), lag_(lag),
      settings_(settings)
{
}

void config_poller::start()
{
    timer_ = loop_.every(settings_.poll_period, [this] { poll(); });
}

void config_poller::read_document(std::function<void(config_version)> done)
{
    config_document_record record;
    record.start = to_history_time(loop_.now());
    store_.get(config_key,
               [this, record, done = std::move(done)](const store_read& got)
               {
                   bool has_document = got.end == store_end::done && !got.entries.empty();
                   done(has_document ? record_document(record, got.entries.front().value)
                                     : config_version());
               });
}

void config_poller::poll()
{
    for (const endpoint& it : settings_.routers)
    {
        if (pending_routers_.insert(it).second)
        {
            request_status(it);
        }
    }
}

void config_poller::request_status(const endpoint& router)
{
    router_config_record record;
    record.start = to_history_time(loop_.now());
    record.router = router;
    exchange_options options;
    options.timeout = router_timeout;
    http_.send(router,
               {"GET", "/metrics", {}, ""},
               options,
               [this, record](const exchange_result& got)
               {
                   pending_routers_.erase(record.router);
                   record_status(record, got);
               });
}

config_version config_poller::record_document(config_document_record record,
                                              const std::string& text)
{
    record.end = to_history_time(loop_.now());
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

void config_poller::record_status(router_config_record record, const exchange_result& got)
{
    record.end = to_history_time(loop_.now());
    bool is_complete =
        got.end == exchange_end::answered && read_router_status(got.answer.body, record);
    if (is_complete)
    {
        history_.append(write_history_line(record));
        lag_.on_observed(record.router, record.version, loop_.now());
    }
}

} // namespace camphorrock
