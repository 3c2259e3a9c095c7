#pragma once

// A router_context on a real event loop, with a store that never answers and a log that
// discards all events.

#include "net/testing/run_until.hpp"
#include "router/live_request.hpp"
#include "router/router_context.hpp"

#include <optional>

namespace camphorrock::testing
{

class null_store : public store_client
{
public:
    void get(const std::string&, read_callback) override {}
    void get_prefix(const std::string&, const store_page&, read_callback) override {}
    void compare_and_swap(const std::string&,
                          store_revision,
                          std::string,
                          store_lease,
                          write_callback) override
    {
    }
    void compare_and_delete(const std::string&, store_revision, write_callback) override
    {
    }
    void grant_lease(duration, lease_callback) override {}
    void keep_alive(store_lease, lease_callback) override {}
    void revoke_lease(store_lease, lease_callback) override {}
    watch_handle watch(const std::string&, watch_start, watch_callback) override
    {
        return {};
    }
};

class null_log : public event_log
{
public:
    void write(event_id, std::initializer_list<field>) override {}
};

// How a request ended.
struct request_end
{
    bool is_ended = false;
    request_summary summary;
};

// TTLs of authority and grants that outlast any stall of the machine that runs the tests.
inline ownership_options long_ttl_ownership()
{
    ownership_options options;
    options.authority_ttl = seconds(600);
    options.grant_ttl = seconds(600);
    return options;
}

struct context_fixture
{
    explicit context_fixture(std::unique_ptr<store_client> custom_store = nullptr)
        : loop(event_loop::create().value()),
          http(http_client::create(*loop, {}).value()),
          store(custom_store ? std::move(custom_store) : std::make_unique<null_store>())
    {
        service.name = service_name("diary");
        retries.configure({service});
    }

    // Makes a repeatable request for `hash`. Its end is stored in `end`, which must
    // outlive it.
    live_request_ptr make_request(key_hash hash, duration timeout, request_end& end)
    {
        auto made = std::make_shared<live_request>(
            [&end](const request_summary& summary, http_response*) {
                end = {true, summary};
            },
            random);
        made->method = "GET";
        made->target_text = "/diary/street";
        made->target.service = service.name;
        made->target.hash = hash;
        made->caller = caller_name("tayside");
        made->deadline = loop->now() + timeout;
        return made;
    }

    // Runs the loop for some turns, so that work in flight makes progress.
    void run_some_turns()
    {
        constexpr int turns = 50;
        int n = 0;
        run_until([&] { return ++n > turns; });
    }

    void run_until(const std::function<bool()>& is_met)
    {
        testing::run_until(*loop, is_met);
    }

    service_config service;
    router_settings settings;
    std::unique_ptr<event_loop> loop;
    std::unique_ptr<http_client> http;
    std::unique_ptr<http_client> control_http = http_client::create(*loop, {}).value();
    rpc_client rpc{*control_http};
    std::unique_ptr<store_client> store;
    null_log log;
    metrics_registry metrics;
    route_table routes{instance_id("r1")};
    std::mt19937_64 random{7};
    instance_list instances{*http, endpoint("127.0.0.1:1")};
    assigner_directory assigners{*loop, instances};
    retry_budgets retries{retry_budget_options()};
    write_budget journal_writes;
    router_context context{settings,
                           *loop,
                           *http,
                           *control_http,
                           rpc,
                           *store,
                           log,
                           metrics,
                           routes,
                           random,
                           assigners,
                           retries,
                           journal_writes,
                           long_ttl_ownership()};
};

} // namespace camphorrock::testing
