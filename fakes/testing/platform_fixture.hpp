#pragma once

// The fake platform and a store client on one event loop.

#include "fakes/platform/platform_service.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/testing/run_until.hpp"
#include "store/instance_list.hpp"
#include "store/store_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace camphorrock::testing
{

struct platform_fixture
{
    explicit platform_fixture(fakes::platform_options options = {})
        : loop(event_loop::create().value()), service(*loop, options),
          server(http_server::create(*loop, {.address = endpoint("127.0.0.1:0")}, service)
                     .value()),
          http(http_client::create(*loop, {}).value()),
          store(create_store_client(*loop, *http, make_options(server->bound())).value())
    {
    }

    static store_client_options make_options(const endpoint& platform)
    {
        store_client_options made;
        made.endpoints = {platform};
        made.call_timeout = milliseconds(200);
        made.watch_lifetime = milliseconds(100);
        made.watch_retry_delay = milliseconds(10);
        return made;
    }

    void set_fault(const char* member, const Json::Value& value)
    {
        Json::Value body;
        body[member] = value;
        service.set_faults(body).value();
    }

    void run_until(const std::function<bool()>& is_met)
    {
        testing::run_until(*loop, is_met);
    }

    // Starts a call and runs the loop until its callback receives the answer. Checks that
    // the callback is not made inside the call.
    template<class Answer>
    Answer wait(const std::function<void(std::function<void(Answer)>)>& start)
    {
        std::optional<Answer> got;
        start([&](Answer it) { got = std::move(it); });
        REQUIRE_FALSE(got.has_value());
        run_until([&] { return got.has_value(); });
        return std::move(*got);
    }

    store_write
    swap(const std::string& key, store_revision expected, const std::string& value)
    {
        return wait<store_write>(
            [&](auto done)
            { store->compare_and_swap(key, expected, value, held_lease, done); });
    }

    store_read get(const std::string& key)
    {
        return wait<store_read>([&](auto done) { store->get(key, done); });
    }

    std::unique_ptr<event_loop> loop;
    fakes::platform_service service;
    std::unique_ptr<http_server> server;
    std::unique_ptr<http_client> http;
    std::unique_ptr<store_client> store;
    store_lease held_lease;
};

} // namespace camphorrock::testing
