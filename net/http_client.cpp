#include "net/http_client.hpp"

#include "core/base/enum_names.hpp"
#include "net/connection_limits.hpp"
#include "net/curl_exchange.hpp"
#include "net/curl_pool.hpp"
#include "net/request_text.hpp"
#include "net/socket_address.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr enum_names<exchange_end, 8> exchange_end_names{{{
    {exchange_end::answered, "answered"},
    {exchange_end::not_connected, "not_connected"},
    {exchange_end::timed_out_before_send, "timed_out_before_send"},
    {exchange_end::withdrawn, "withdrawn"},
    {exchange_end::timed_out, "timed_out"},
    {exchange_end::connection_lost, "cut"},
    {exchange_end::invalid_answer, "invalid_answer"},
    {exchange_end::too_large, "too_large"},
}}};

constexpr std::size_t max_spare_handles = 256;

// An exchange and the client's state for it.
struct client_exchange
{
    std::unique_ptr<memory_claim> memory; // of the answer
    curl_exchange curl;
    endpoint to;
    std::shared_ptr<endpoint_connections> connections; // of the endpoint
    std::shared_ptr<curl_pool> pool;                   // null until it is started
    http_client::callback done;
    curl_exchange::piece_callback on_piece;
    time_point started{};
    timer_handle time_limit;
};

// True if the exchange uses, or is about to use, the connection.
bool uses_socket(const curl_exchange& it, int fd)
{
    const bool is_sent = it.local_port() != 0;
    return is_sent ? it.local_port() == local_port_of(fd) : it.opened_socket() == fd;
}

// Each endpoint has a pool of its own. With `shares_pool` they share one instead, except
// those with a limit of their own, and those whose connections were dropped until their
// own pool has been idle. In the shared pool, no more exchanges are in flight to an
// endpoint than it may have connections; further ones wait in `waiting_exchanges_`.
class curl_client : public http_client, public curl_pool_owner
{
public:
    curl_client(event_loop& loop, http_client_options options)
        : loop_(loop), options_(std::move(options)),
          limits_({static_cast<std::size_t>(options_.max_connections_per_endpoint)})
    {
        idle_sweep_ = loop_.every(options_.max_idle, [this] { close_idle_pools(); });
    }

    ~curl_client() override
    {
        for (auto& [number, it] : exchanges_)
        {
            if (it->pool)
            {
                it->pool->remove(it->curl.easy());
            }
        }
    }

    exchange_id send(const endpoint& to,
                     http_request request,
                     exchange_options options,
                     callback done) override
    {
        return start(to, std::move(request), options, nullptr, std::move(done));
    }

    exchange_id stream(const endpoint& to,
                       http_request request,
                       exchange_options options,
                       std::function<void(std::string_view)> on_piece,
                       callback done) override
    {
        return start(
            to, std::move(request), options, std::move(on_piece), std::move(done));
    }

    bool cancel(exchange_id id) override
    {
        const bool is_unstarted = unstarted_exchanges_.erase(id.value) > 0;
        const auto found = exchanges_.find(id.value);
        const bool is_unsent =
            found != exchanges_.end() && !found->second->curl.has_sent();
        remove(id);
        return !is_unstarted && !is_unsent;
    }

    void drop_connections(const endpoint& to) override
    {
        // Exchanges hold their pool, so it closes with the last of them.
        const bool had_pool = own_pools_.erase(to) > 0;
        if (!had_pool)
        {
            leave_shared_pool(to);
        }
    }

    void limit_connections(const endpoint& to,
                           std::optional<connection_limit> limit) override
    {
        limits_.set(to, limit);
        const std::shared_ptr<endpoint_connections> connections = connections_of(to);
        auto it = own_pools_.find(to);
        if (it == own_pools_.end())
        {
            leave_shared_pool(to);
            return;
        }
        it->second->apply_limit();
        if (connections->open() > connections->limit.pooled)
        {
            drop_connections(to);
        }
    }

    void on_exchange_finished(CURL* easy, CURLcode code) override
    {
        void* number = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &number);
        auto it = exchanges_.find(reinterpret_cast<std::uintptr_t>(number));
        if (it == exchanges_.end())
        {
            return;
        }
        curl_exchange& exchange = it->second->curl;
        finish(exchange.id(), exchange.finish(code));
    }

    void on_libcurl_returned() override
    {
        const std::vector<exchange_id> ready = std::exchange(exchanges_with_pieces_, {});
        for (exchange_id id : ready)
        {
            deliver_pieces(id);
        }
    }

private:
    exchange_id start(const endpoint& to,
                      http_request request,
                      exchange_options options,
                      curl_exchange::piece_callback on_piece,
                      callback done)
    {
        const exchange_id id{++last_id_};
        if (!is_sendable(request) || !is_connectable(to))
        {
            end_unstarted(id, std::move(done));
            return id;
        }
        auto memory =
            std::make_unique<memory_claim>(options_.memory, [this, id] { evict(id); });
        memory_claim& claim = *memory;
        auto made = std::unique_ptr<client_exchange>(new client_exchange{
            std::move(memory),
            {id, acquire_handle(), std::move(request), options, claim},
            to,
            connections_of(to),
            nullptr,
            std::move(done),
            std::move(on_piece),
            loop_.now(),
            {}});
        std::function<void()> stored;
        if (made->on_piece)
        {
            stored = [this, id]
            {
                exchanges_with_pieces_.push_back(id);
            };
        }
        made->curl.set_options(
            to, options_.max_idle, *made->connections, std::move(stored));
        made->curl.set_connection_options(options_);
        made->curl.set_send_check([this, deadline = made->started + options.timeout]
                                  { return loop_.now() < deadline; });
        curl_easy_setopt(
            made->curl.easy(), CURLOPT_PRIVATE, reinterpret_cast<void*>(id.value));
        made->time_limit = loop_.after(options.timeout, [this, id] { time_out(id); });
        client_exchange& it = *made;
        exchanges_.emplace(id.value, std::move(made));
        start_or_enqueue(id, it);
        return id;
    }

    void start_or_enqueue(exchange_id id, client_exchange& it)
    {
        const bool is_full = !has_own_pool(it.to) && it.connections->running_shared >=
                                                         it.connections->limit.pooled;
        if (is_full)
        {
            waiting_exchanges_[it.to].push_back(id);
            return;
        }
        std::shared_ptr<curl_pool> pool = pool_of(it.to, it.connections);
        if (pool == nullptr || !pool->add(it.curl.easy()))
        {
            callback done = std::move(it.done);
            remove(id);
            end_unstarted(id, std::move(done));
            return;
        }
        it.pool = std::move(pool);
        it.connections->running_shared += it.pool == shared_pool_ ? 1 : 0;
    }

    // Starts the endpoint's next waiting exchange, after one of its exchanges has ended.
    void start_next_waiting(const endpoint& to)
    {
        auto queue = waiting_exchanges_.find(to);
        while (queue != waiting_exchanges_.end() && !queue->second.empty())
        {
            const exchange_id id = queue->second.front();
            queue->second.pop_front();
            auto it = exchanges_.find(id.value);
            if (it != exchanges_.end())
            {
                start_or_enqueue(id, *it->second);
                return;
            }
        }
        if (queue != waiting_exchanges_.end())
        {
            waiting_exchanges_.erase(queue);
        }
    }

    void leave_pool(client_exchange& it)
    {
        if (it.pool)
        {
            it.pool->remove(it.curl.easy());
        }
        it.connections->running_shared -= it.pool && it.pool == shared_pool_ ? 1 : 0;
        it.pool.reset();
        start_next_waiting(it.to);
    }

    bool has_own_pool(const endpoint& to) const
    {
        return !options_.shares_pool || unshared_endpoints_.contains(to) ||
               limits_.has_own(to);
    }

    // Moves the endpoint's next exchanges to a pool of its own. Shuts down its idle
    // connections in the shared pool, which libcurl detects before it would reuse them.
    void leave_shared_pool(const endpoint& to)
    {
        auto found = connections_.find(to);
        const bool is_shared = options_.shares_pool && found != connections_.end();
        if (!is_shared || found->second->open() == 0)
        {
            return;
        }
        unshared_endpoints_.insert(to);
        std::vector<const curl_exchange*> running;
        for (auto& [number, it] : exchanges_)
        {
            if (it->to == to && it->pool)
            {
                it->curl.forbid_reuse();
                running.push_back(&it->curl);
            }
        }
        for (int fd : found->second->connected)
        {
            const bool is_used = std::any_of(running.begin(),
                                             running.end(),
                                             [&](const curl_exchange* it)
                                             { return uses_socket(*it, fd); });
            if (!is_used)
            {
                ::shutdown(fd, SHUT_RDWR);
            }
        }
    }

    // The connections point to the result until they are closed.
    std::shared_ptr<endpoint_connections> connections_of(const endpoint& to)
    {
        std::shared_ptr<endpoint_connections>& connections = connections_[to];
        if (!connections)
        {
            connections = std::make_shared<endpoint_connections>();
        }
        connections->limit = limits_.of(to);
        return connections;
    }

    // Returns null if memory runs out.
    std::shared_ptr<curl_pool>
    pool_of(const endpoint& to, const std::shared_ptr<endpoint_connections>& connections)
    {
        auto none = [](const error&)
        {
            return std::shared_ptr<curl_pool>();
        };
        if (!has_own_pool(to))
        {
            if (!shared_pool_)
            {
                const long limit = options_.max_connections_per_endpoint;
                shared_pool_ = value_or_handle(
                    [&] { return curl_pool::create_shared(loop_, limit, *this); }, none);
            }
            return shared_pool_;
        }
        std::shared_ptr<curl_pool>& own = own_pools_[to];
        if (!own)
        {
            own = value_or_handle(
                [&] { return curl_pool::create(loop_, connections, *this); }, none);
        }
        return own;
    }

    // Ends an exchange that could not start as not_connected, but not within send().
    void end_unstarted(exchange_id id, callback done)
    {
        unstarted_exchanges_.emplace(id.value,
                                     loop_.after(duration::zero(),
                                                 [this, id, done = std::move(done)]
                                                 {
                                                     timer_handle self = std::move(
                                                         unstarted_exchanges_[id.value]);
                                                     unstarted_exchanges_.erase(id.value);
                                                     done(exchange_result{});
                                                 }));
    }

    // Removes the exchange, closing its connection unless it has finished, and starts the
    // next one that waits. Returns null if the exchange has ended before.
    std::unique_ptr<client_exchange> remove(exchange_id id)
    {
        auto it = exchanges_.find(id.value);
        if (it == exchanges_.end())
        {
            return nullptr;
        }
        std::unique_ptr<client_exchange> taken = std::move(it->second);
        exchanges_.erase(it);
        leave_pool(*taken);
        recycle_handle(taken->curl.release());
        return taken;
    }

    void finish(exchange_id id, exchange_result got)
    {
        deliver_pieces(id);
        const std::unique_ptr<client_exchange> ended = remove(id);
        if (ended)
        {
            got.time_taken = loop_.now() - ended->started;
            ended->done(std::move(got));
        }
    }

    void time_out(exchange_id id)
    {
        auto it = exchanges_.find(id.value);
        if (it != exchanges_.end())
        {
            finish(id, it->second->curl.time_out());
        }
    }

    // Ends an exchange whose answer takes too much of the memory budget.
    void evict(exchange_id id)
    {
        auto it = exchanges_.find(id.value);
        if (it != exchanges_.end())
        {
            finish(id, it->second->curl.give_up());
        }
    }

    void deliver_pieces(exchange_id id)
    {
        auto it = exchanges_.find(id.value);
        if (it == exchanges_.end() || !it->second->on_piece)
        {
            return;
        }
        const std::string pieces = it->second->curl.take_pieces();
        if (!pieces.empty())
        {
            // A copy, since the callback may cancel the exchange.
            const curl_exchange::piece_callback on_piece = it->second->on_piece;
            on_piece(pieces);
        }
    }

    curl_easy acquire_handle()
    {
        if (spare_handles_.empty())
        {
            return curl_easy(curl_easy_init());
        }
        curl_easy taken = std::move(spare_handles_.back());
        spare_handles_.pop_back();
        return taken;
    }

    void recycle_handle(curl_easy easy)
    {
        if (spare_handles_.size() < max_spare_handles)
        {
            spare_handles_.push_back(std::move(easy));
        }
    }

    void close_idle_pools()
    {
        const time_point limit = loop_.now() - options_.max_idle;
        std::erase_if(own_pools_,
                      [&](const auto& it) {
                          return it.second->active() == 0 &&
                                 it.second->last_used() < limit;
                      });
        std::erase_if(unshared_endpoints_,
                      [&](const endpoint& it) {
                          return !own_pools_.contains(it) &&
                                 connections_[it]->open() == 0;
                      });
        std::erase_if(connections_,
                      [&](const auto& it)
                      {
                          return it.second.use_count() == 1 && it.second->open() == 0 &&
                                 !unshared_endpoints_.contains(it.first);
                      });
    }

    event_loop& loop_;
    http_client_options options_;
    std::uint64_t last_id_ = 0;
    connection_limits limits_;
    std::unordered_map<endpoint, std::shared_ptr<endpoint_connections>> connections_;
    std::unordered_set<endpoint>
        unshared_endpoints_; // left the shared pool for one of their own
    std::shared_ptr<curl_pool> shared_pool_;
    std::unordered_map<endpoint, std::shared_ptr<curl_pool>> own_pools_;
    std::unordered_map<std::uint64_t, std::unique_ptr<client_exchange>> exchanges_;
    std::unordered_map<endpoint, std::deque<exchange_id>> waiting_exchanges_;
    std::unordered_map<std::uint64_t, timer_handle> unstarted_exchanges_;
    std::vector<exchange_id> exchanges_with_pieces_;
    std::vector<curl_easy> spare_handles_;
    timer_handle idle_sweep_;
};

} // namespace

std::string_view name_of(exchange_end value)
{
    return exchange_end_names.name(value);
}

bool is_unsent(exchange_end value)
{
    return value == exchange_end::not_connected ||
           value == exchange_end::timed_out_before_send ||
           value == exchange_end::withdrawn;
}

result<std::unique_ptr<http_client>> http_client::create(event_loop& loop,
                                                         http_client_options options)
{
    if (curl_global_init(CURL_GLOBAL_NOTHING) != CURLE_OK)
    {
        return fail(error_code::io, "cannot initialize libcurl");
    }
    return std::make_unique<curl_client>(loop, std::move(options));
}

} // namespace camphorrock
