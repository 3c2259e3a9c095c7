#pragma once

// Records, again and again, which version each router serves with and what the store's
// document lists.

#include "app/line_file.hpp"
#include "codec/history.hpp"
#include "load/operators_settings.hpp"
#include "load/version_lag.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <set>

namespace camphorrock
{

class config_watch
{
public:
    // All references must outlive the watch.
    config_watch(event_loop& loop,
                 http_client& http,
                 store_client& store,
                 line_file& history,
                 version_lag& lag,
                 const operators_settings& settings);

    void start();

    // Reads the document now. `done` gets its version, 0 where it could not be read or
    // there is none.
    void read_document(std::function<void(config_version)> done);

private:
    void poll();
    void ask(const endpoint& router);
    void on_router(router_config_record record, const exchange_result& got);
    config_version on_document(config_document_record record, const std::string& text);

    event_loop& loop_;
    http_client& http_;
    store_client& store_;
    line_file& history_;
    version_lag& lag_;
    const operators_settings& settings_;
    std::set<endpoint> asked_; // routers that have not answered yet
    timer_handle timer_;
};

} // namespace camphorrock
