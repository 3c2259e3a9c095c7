#include "net/http_client.hpp"

#include "core/base/enum_names.hpp"
#include "net/curl_exchange.hpp"
#include "net/curl_pool.hpp"
#include "net/socket_address.hpp"

#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr enum_names<exchange_end, 6> names{{{
    {exchange_end::answered, "answered"},
    {exchange_end::not_connected, "not_connected"},
    {exchange_end::timed_out_before_send, "timed_out_before_send"},
    {exchange_end::timed_out, "timed_out"},
    {exchange_end::cut, "cut"},
    {exchange_end::too_large, "too_large"},
}}};

constexpr std::size_t max_spare_handles = 256;

// An exchange with what the client keeps beside it.
struct client_exchange
{
    curl_exchange curl;
    std::shared_ptr<curl_pool> pool;
    http_client::callback done;
    curl_exchange::piece_callback on_piece;
    time_point started{};
    timer_handle time_limit;
};

bool is_ip_endpoint(const endpoint& to)
{
    return value_or_handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(parse_address(to));
            return true;
        },
        [](const error&) { return false; });
}

class curl_client : public http_client, public curl_pool_owner
{
public:
    curl_client(event_loop& loop, http_client_options options)
        : loop_(loop), options_(std::move(options))
    {
        sweep_ = loop_.every(options_.max_idle, [this] { close_idle_pools(); });
    }

    ~curl_client() override
    {
        for (auto& [number, it] : exchanges_)
        {
            it->pool->remove(it->curl.easy());
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

    void cancel(exchange_id id) override
    {
        refused_.erase(id.value);
        take(id);
    }

    void drop_connections(const endpoint& to) override
    {
        // Exchanges hold the pool that they run in, so it closes with the last of them.
        pools_.erase(to);
    }

    void limit_connections(const endpoint& to,
                           std::optional<connection_limit> limit) override
    {
        if (limit)
        {
            limits_[to] = *limit;
        }
        else
        {
            limits_.erase(to);
        }
        auto it = pools_.find(to);
        if (it == pools_.end() || it->second->connections().limit == limit_of(to))
        {
            return;
        }
        connection_count& count = it->second->connections();
        count.limit = limit_of(to);
        it->second->limit_changed();
        if (count.open > count.limit.pooled)
        {
            drop_connections(to);
        }
    }

    void on_finished(CURL* easy, CURLcode code) override
    {
        void* number = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &number);
        auto it = exchanges_.find(reinterpret_cast<std::uintptr_t>(number));
        if (it != exchanges_.end())
        {
            exchange_result got = it->second->curl.finish(code);
            end(it->second->curl.id(), std::move(got));
        }
    }

    void on_returned() override
    {
        const std::vector<exchange_id> ready = std::exchange(with_pieces_, {});
        for (exchange_id id : ready)
        {
            hand_on_pieces(id);
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
        std::shared_ptr<curl_pool> pool = is_sendable(request) ? pool_of(to) : nullptr;
        if (!pool)
        {
            refuse(id, std::move(done));
            return id;
        }
        auto made = std::unique_ptr<client_exchange>(
            new client_exchange{{id, take_handle(), std::move(request), options},
                                pool,
                                std::move(done),
                                std::move(on_piece),
                                loop_.now(),
                                {}});
        std::function<void()> stored;
        if (made->on_piece)
        {
            stored = [this, id]
            {
                with_pieces_.push_back(id);
            };
        }
        made->curl.set_up(to, options_.max_idle, pool->connections(), std::move(stored));
        made->curl.set_connection(options_);
        curl_easy_setopt(
            made->curl.easy(), CURLOPT_PRIVATE, reinterpret_cast<void*>(id.value));
        if (!pool->add(made->curl.easy()))
        {
            refuse(id, std::move(made->done));
            return id;
        }
        made->time_limit = loop_.after(options.timeout, [this, id] { time_out(id); });
        exchanges_.emplace(id.value, std::move(made));
        return id;
    }

    connection_limit limit_of(const endpoint& to) const
    {
        auto it = limits_.find(to);
        if (it != limits_.end())
        {
            return it->second;
        }
        return {static_cast<std::size_t>(options_.max_connections_per_endpoint)};
    }

    // Shared with dropped pools of the endpoint, as long as there is one.
    std::shared_ptr<connection_count> count_of(const endpoint& to)
    {
        std::shared_ptr<connection_count> count = counts_[to].lock();
        if (!count)
        {
            count = std::make_shared<connection_count>();
            counts_[to] = count;
        }
        count->limit = limit_of(to);
        return count;
    }

    // None for an address that is not "IP:port".
    std::shared_ptr<curl_pool> pool_of(const endpoint& to)
    {
        auto it = pools_.find(to);
        if (it != pools_.end())
        {
            return it->second;
        }
        if (!is_ip_endpoint(to))
        {
            return nullptr;
        }
        std::shared_ptr<curl_pool> made =
            value_or_handle([&] { return curl_pool::create(loop_, count_of(to), *this); },
                            [](const error&) { return std::shared_ptr<curl_pool>(); });
        if (made)
        {
            pools_.emplace(to, made);
        }
        return made;
    }

    // Ends an exchange that could not start, though not inside send().
    void refuse(exchange_id id, callback done)
    {
        refused_.emplace(id.value,
                         loop_.after(duration::zero(),
                                     [this, id, done = std::move(done)]
                                     {
                                         timer_handle self =
                                             std::move(refused_[id.value]);
                                         refused_.erase(id.value);
                                         done(exchange_result{});
                                     }));
    }

    // Removes the exchange; unless it has finished, its connection is closed.
    std::unique_ptr<client_exchange> take(exchange_id id)
    {
        auto it = exchanges_.find(id.value);
        if (it == exchanges_.end())
        {
            return nullptr;
        }
        std::unique_ptr<client_exchange> taken = std::move(it->second);
        exchanges_.erase(it);
        taken->pool->remove(taken->curl.easy());
        keep_handle(taken->curl.release());
        return taken;
    }

    void end(exchange_id id, exchange_result got)
    {
        hand_on_pieces(id);
        const std::unique_ptr<client_exchange> ended = take(id);
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
            end(id, it->second->curl.time_out());
        }
    }

    void hand_on_pieces(exchange_id id)
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

    curl_easy take_handle()
    {
        if (spare_handles_.empty())
        {
            return curl_easy(curl_easy_init());
        }
        curl_easy taken = std::move(spare_handles_.back());
        spare_handles_.pop_back();
        return taken;
    }

    void keep_handle(curl_easy easy)
    {
        if (spare_handles_.size() < max_spare_handles)
        {
            spare_handles_.push_back(std::move(easy));
        }
    }

    void close_idle_pools()
    {
        const time_point limit = loop_.now() - options_.max_idle;
        std::erase_if(pools_,
                      [&](const auto& it) {
                          return it.second->active() == 0 &&
                                 it.second->last_used() < limit;
                      });
        std::erase_if(counts_, [](const auto& it) { return it.second.expired(); });
    }

    event_loop& loop_;
    http_client_options options_;
    std::uint64_t last_id_ = 0;
    std::unordered_map<endpoint, connection_limit> limits_;
    std::unordered_map<endpoint, std::weak_ptr<connection_count>> counts_;
    std::unordered_map<endpoint, std::shared_ptr<curl_pool>> pools_;
    std::unordered_map<std::uint64_t, std::unique_ptr<client_exchange>> exchanges_;
    std::unordered_map<std::uint64_t, timer_handle> refused_;
    std::vector<exchange_id> with_pieces_;
    std::vector<curl_easy> spare_handles_;
    timer_handle sweep_;
};

} // namespace

std::string_view name_of(exchange_end value)
{
    return names.name(value);
}

bool is_nothing_sent(exchange_end value)
{
    return value == exchange_end::not_connected ||
           value == exchange_end::timed_out_before_send;
}

result<std::unique_ptr<http_client>> http_client::create(event_loop& loop,
                                                         http_client_options options)
{
    if (curl_global_init(CURL_GLOBAL_NOTHING) != CURLE_OK)
    {
        return fail(error_code::io, "libcurl does not start");
    }
    return std::make_unique<curl_client>(loop, std::move(options));
}

} // namespace camphorrock
