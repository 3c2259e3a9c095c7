#pragma once

// Keeps the directory of servers, the configuration and the drained data centres up to
// date with the store. An entry that cannot be parsed is logged and changes nothing.
//
// The configuration and the drains come from one reader, so that a gateway which has the
// configuration and serves requests knows the drains too.

#include "gateway/gateway_codec.hpp"
#include "gateway/gateway_log.hpp"
#include "gateway/gateway_state.hpp"
#include "gateway/store_reader.hpp"
#include "net/event_loop.hpp"

#include <map>
#include <memory>

namespace camphorrock
{

class directory_agent
{
public:
    // All arguments must outlive the agent.
    directory_agent(event_loop& loop,
                    store_client& store,
                    gateway_state& state,
                    const gateway_codec& codec,
                    gateway_log& log);
    directory_agent(const directory_agent&) = delete;
    directory_agent& operator=(const directory_agent&) = delete;

    // True once the servers and a configuration have been read.
    bool is_loaded() const;

private:
    // Passes a change of the servers on.
    void servers_changed();
    void on_servers_read(const std::vector<store_entry>& entries);
    void on_servers_changed(const std::vector<store_entry>& changes);
    void put_server(const store_entry& entry);
    void remove_server(const std::string& key);
    void apply_operator_entries(const std::vector<store_entry>& entries, bool is_dated);
    void apply_config(const store_entry& entry);
    void apply_drain(const data_centre& zone, const store_entry& entry, bool is_dated);
    bool is_news_dated() const;
    std::optional<listed_server> read_server(const store_entry& entry);
    duration removal_grace() const;
    bool is_known_gone(const listed_server& server) const;
    void on_store_restored();
    void apply_deferred_removals();
    void apply_deferred_returns();

    event_loop& loop_;
    store_client& store_;
    gateway_state& state_;
    const gateway_codec& codec_;
    gateway_log& log_;
    timer_handle expiry_timer_;
    std::optional<time_point> era_changed_at_; // the store last came back from a copy
    // The store came back from a copy a short time ago: a missing entry is no departure,
    // and the entry of a server that has left may be back.
    bool are_removals_deferred_ = false;
    std::set<std::string> deferred_removals_;             // keys
    std::map<std::string, store_entry> deferred_returns_; // by key
    timer_handle removals_timer_;
    timer_handle returns_timer_;
    std::unique_ptr<store_reader> servers_reader_;
    std::unique_ptr<store_reader> operator_reader_;
};

} // namespace camphorrock
