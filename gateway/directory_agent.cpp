#include "gateway/directory_agent.hpp"

#include "gateway/warm_up_report.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

// For this long after a failed call to the store, an entry may be missing only because
// its lease lapsed during the outage.
constexpr duration lapse_window = seconds(4);
// For this long after a failed call or a new era of the store, a change may arrive later
// than usual.
constexpr duration late_news_window = seconds(4);
// A running server registers a lapsed entry again within this time.
constexpr duration lapse_grace = milliseconds(1600);
constexpr duration expiry_period = seconds(1);
// After the store came back from a copy: running servers that the copy lacks have written
// themselves again, and the copy has been read.
constexpr duration restored_removal_delay = milliseconds(2500);
// The store has removed the copy's entries of servers that no longer run.
constexpr duration restored_return_delay = seconds(6);

} // namespace

directory_agent::directory_agent(event_loop& loop,
                                 store_client& store,
                                 gateway_state& state,
                                 const gateway_codec& codec,
                                 gateway_log& log)
    : loop_(loop), store_(store), state_(state), codec_(codec), log_(log)
{
    operator_reader_ = std::make_unique<store_reader>(
        loop_,
        store_,
        codec_.operator_prefix(),
        store_freshness::linearizable,
        [this](const std::vector<store_entry>& all)
        { apply_operator_entries(all, false); },
        [this](const std::vector<store_entry>& changes)
        { apply_operator_entries(changes, is_news_dated()); });
    servers_reader_ = std::make_unique<store_reader>(
        loop_,
        store_,
        codec_.server_prefix(),
        store_freshness::linearizable,
        [this](const std::vector<store_entry>& all) { on_servers_read(all); },
        [this](const std::vector<store_entry>& changes) { on_servers_changed(changes); });
    store_.on_era_changed([this] { on_store_restored(); });
    expiry_timer_ = loop_.every(expiry_period,
                                [this]
                                {
                                    state_.servers().expire(loop_.now());
                                    servers_changed();
                                    report_warm_up_transitions(state_, log_, loop_.now());
                                });
}

void directory_agent::servers_changed()
{
    state_.servers_changed(loop_.now());
    if (state_.has_warm_up_news())
    {
        report_warm_up_transitions(state_, log_, loop_.now());
    }
}

bool directory_agent::is_loaded() const
{
    return servers_reader_->has_snapshot() && operator_reader_->has_snapshot() &&
           state_.has_config();
}

duration directory_agent::removal_grace() const
{
    const std::optional<time_point> failed = store_.last_failure();
    const bool may_have_lapsed = failed && loop_.now() - *failed < lapse_window;
    return may_have_lapsed ? lapse_grace : duration::zero();
}

void directory_agent::on_store_restored()
{
    are_removals_deferred_ = true;
    era_changed_at_ = loop_.now();
    log_.events().write(event_id::store_restored, {{"era", store_.era().value}});
    removals_timer_ =
        loop_.after(restored_removal_delay, [this] { apply_deferred_removals(); });
    returns_timer_ =
        loop_.after(restored_return_delay, [this] { apply_deferred_returns(); });
}

bool directory_agent::is_known_gone(const listed_server& server) const
{
    const known_server* known = state_.servers().find(server.id);
    return known != nullptr && known->is_missing && known->is_leaving(loop_.now()) &&
           known->entry.incarnation == server.incarnation;
}

void directory_agent::apply_deferred_removals()
{
    are_removals_deferred_ = false;
    for (const std::string& key : std::exchange(deferred_removals_, {}))
    {
        remove_server(key);
    }
    servers_changed();
}

void directory_agent::apply_deferred_returns()
{
    for (const auto& [key, entry] : std::exchange(deferred_returns_, {}))
    {
        put_server(entry);
    }
    servers_changed();
}

std::optional<listed_server> directory_agent::read_server(const store_entry& entry)
{
    return value_or_handle([&]() -> result<std::optional<listed_server>>
                           { return codec_.read_server(entry.key, entry.value); },
                           [&](const error& ec)
                           {
                               log_.events().write(event_id::server_unreadable,
                                                   {{"key", entry.key},
                                                    {"text", ec.text},
                                                    {"revision", entry.revision.value}});
                               return std::optional<listed_server>();
                           });
}

void directory_agent::on_servers_read(const std::vector<store_entry>& entries)
{
    std::vector<listed_server> servers;
    for (const store_entry& it : entries)
    {
        if (std::optional<listed_server> server = read_server(it))
        {
            servers.push_back(std::move(*server));
        }
    }
    state_.servers().replace(servers, removal_grace(), loop_.now());
    servers_changed();
}

void directory_agent::on_servers_changed(const std::vector<store_entry>& changes)
{
    for (const store_entry& it : changes)
    {
        if (it.revision.value == 0)
        {
            remove_server(it.key);
        }
        else
        {
            put_server(it);
        }
    }
    servers_changed();
}

void directory_agent::put_server(const store_entry& entry)
{
    const std::optional<listed_server> server = read_server(entry);
    if (!server)
    {
        return;
    }
    deferred_removals_.erase(entry.key);
    if (are_removals_deferred_ && is_known_gone(*server))
    {
        deferred_returns_[entry.key] = entry;
        return;
    }
    const known_server* old = state_.servers().find(server->id);
    const bool is_new = old == nullptr || old->is_missing ||
                        old->entry.incarnation != server->incarnation ||
                        old->entry.is_draining != server->is_draining;
    state_.servers().put(*server, loop_.now());
    if (is_new)
    {
        log_.events().write(event_id::server_seen,
                            {{"server", server->id},
                             {"service", server->service},
                             {"address", server->address},
                             {"zone", server->zone},
                             {"draining", server->is_draining},
                             {"life", server->incarnation.started_ms},
                             {"revision", entry.revision.value}});
    }
}

void directory_agent::remove_server(const std::string& key)
{
    deferred_returns_.erase(key);
    if (are_removals_deferred_)
    {
        deferred_removals_.insert(key);
        return;
    }
    const server_id id = codec_.server_id_of(key);
    state_.servers().remove(id, removal_grace(), loop_.now());
    log_.events().write(event_id::server_gone,
                        {{"server", id}, {"grace_us", removal_grace()}});
}

// False if a change that arrives now may have been made longer ago than usual.
bool directory_agent::is_news_dated() const
{
    const time_point now = loop_.now();
    const std::optional<time_point> failed = store_.last_failure();
    const bool has_failed = failed && now - *failed < late_news_window;
    const bool is_restored = era_changed_at_ && now - *era_changed_at_ < late_news_window;
    return !has_failed && !is_restored;
}

// Applies the drains before the configuration, with which the gateway begins to serve.
void directory_agent::apply_operator_entries(const std::vector<store_entry>& entries,
                                             bool is_dated)
{
    for (const store_entry& it : entries)
    {
        if (const std::optional<data_centre> zone = codec_.drained_zone_of(it.key))
        {
            apply_drain(*zone, it, is_dated);
        }
    }
    log_.set_drained_count(state_.drained().size());
    for (const store_entry& it : entries)
    {
        apply_config(it);
    }
}

void directory_agent::apply_drain(const data_centre& zone,
                                  const store_entry& entry,
                                  bool is_dated)
{
    const time_point now = loop_.now();
    const auto known = state_.drained().find(zone);
    if (entry.revision.value == 0)
    {
        if (known != state_.drained().end())
        {
            const evacuation ended = known->second;
            state_.end_evacuation(zone, now);
            log_.drain_ended(zone, ended, now);
        }
        return;
    }
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_CHECK(codec_.read_drain(entry.key, entry.value));
            if (state_.begin_evacuation(zone, entry.revision.value, is_dated, now))
            {
                log_.drain_begun(zone, state_.drained().at(zone), is_dated, now);
            }
            else if (known == state_.drained().end())
            {
                return fail(error_code::invalid_argument,
                            "too many data centres are drained");
            }
            return {};
        },
        [&](const error& ec)
        { log_.drain_unreadable(entry.key, entry.revision.value, ec.text); });
}

void directory_agent::apply_config(const store_entry& entry)
{
    if (entry.key != codec_.config_key() || entry.revision.value == 0)
    {
        return;
    }
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(config, codec_.read_config(entry.value));
            if (state_.set_config(config, loop_.now()))
            {
                log_.config_in_force(config, entry.revision.value);
            }
            return {};
        },
        [&](const error& ec)
        {
            log_.events().write(event_id::config_unreadable,
                                {{"text", ec.text}, {"revision", entry.revision.value}});
        });
}

} // namespace camphorrock
