#pragma once

// Polls the routers and records which configuration version each of them serves with.
// Also reads and records the configuration document in the store on demand.

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

class config_poller
{
public:
    // All references must outlive the poller.
    config_poller(event_loop& loop,
                  http_client& http,
                  store_client& store,
                  line_file& history,
                  version_lag& lag,
                  const operators_settings& settings);

    // Starts polling the routers every `poll_period`, for as long as the poller lives.
    void start();

    // Reads and records the document. Calls `done` with its version, or with version 0 if
    // there is no document or it could not be read or parsed.
    void read_document(std::function<void(config_version)> done);

private:
    void poll();
    void request_status(const endpoint& router);
    void record_status(router_config_record record, const exchange_result& got);
    config_version record_document(config_document_record record,
                                   const std::string& text);

    event_loop& loop_;
    http_client& http_;
    store_client& store_;
    line_file& history_;
    version_lag& lag_;
    const operators_settings& settings_;
    std::set<endpoint> pending_routers_; // routers with a query in flight
    timer_handle timer_;
};

} // namespace camphorrock
