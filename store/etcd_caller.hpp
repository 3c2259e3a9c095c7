#pragma once

// One call after another to the store's endpoints: which endpoint, which connection, how
// long, and whether a call that failed may be repeated.

#include "core/base/names.hpp"
#include "core/base/time.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "store/store_client.hpp"

#include <json/value.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace camphorrock
{

enum class etcd_call_kind
{
    read,  // repeated where the connection failed
    write, // sent at most once
};

enum class call_end
{
    answered,  // `body` is the answer's JSON
    refused,   // the store refused it: no effect
    not_sent,  // no endpoint was reached: no effect
    no_answer, // a write may have taken effect
};

struct call_answer
{
    call_end end = call_end::not_sent;
    Json::Value body;
};

class etcd_caller : public std::enable_shared_from_this<etcd_caller>
{
public:
    using callback = std::function<void(const call_answer&)>;

    // `loop` and `http` must outlive the caller. `options` names at least one endpoint.
    etcd_caller(event_loop& loop, http_client& http, store_client_options options);

    void
    call(const char* target, const Json::Value& body, etcd_call_kind kind, callback done);

    // For streams, which choose their own connection.
    http_request make_request(const char* target, const Json::Value& body) const;
    const endpoint& current() const;
    // The current endpoint failed: closes its connections and goes on to the next.
    void leave_current();

    const store_client_options& options() const
    {
        return options_;
    }

    event_loop& loop()
    {
        return loop_;
    }

    http_client& http()
    {
        return http_;
    }

private:
    struct attempt;

    void send(const std::shared_ptr<attempt>& it);
    void on_end(const std::shared_ptr<attempt>& it, const exchange_result& got);
    bool is_proven_alive() const;

    event_loop& loop_;
    http_client& http_;
    store_client_options options_;
    std::size_t current_ = 0;
    time_point last_answer_{};
    bool has_answered_ = false;
};

} // namespace camphorrock
