#include "net/socket_client.hpp"

#include "core/base/number_text.hpp"
#include "net/connection_limits.hpp"
#include "net/live_count.hpp"
#include "net/request_text.hpp"
#include "net/socket_address.hpp"
#include "net/socket_connection.hpp"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

using open_total = std::shared_ptr<std::size_t>;

struct pooled_connection
{
    std::unique_ptr<socket_connection> io;
    live_count in_group; // connections opened since the last drop
    live_count in_pool;
    time_point idle_until{};
};

// The connections to one endpoint, and the exchanges that wait for one.
struct socket_pool
{
    endpoint to;
    connection_limit limit;
    // Replaced when the connections are dropped: those of an earlier group are not kept.
    open_total group = std::make_shared<std::size_t>(0);
    open_total total = std::make_shared<std::size_t>(0);
    std::vector<pooled_connection> idle; // the one used last is last
    std::deque<exchange_id> waiting;     // also of exchanges that have ended meanwhile
    bool is_scheduled = false;           // serve() is going to be called

    bool has_room() const
    {
        return !idle.empty() || *group < limit.pooled;
    }
};

struct socket_exchange
{
    exchange_id id;
    socket_pool* pool;        // stays until its last exchange has ended
    bool is_startable = true; // the request and the endpoint are valid
    http_request request;
    exchange_options options;
    http_client::callback done;
    std::function<void(std::string_view)> on_piece;
    std::unique_ptr<memory_claim> memory; // of the answer
    time_point started{};
    timer_handle time_limit{};
    bool is_reused = false;
    std::optional<pooled_connection> connection{}; // empty while it waits for one

    bool has_sent() const
    {
        return connection && connection->io->has_sent();
    }
};

exchange_result make_end(exchange_end end)
{
    exchange_result made;
    made.end = end;
    return made;
}

exchange_end end_of(answer_state state, answer_fault fault)
{
    if (fault != answer_fault::none)
    {
        return exchange_end::invalid_answer;
    }
    switch (state)
    {
    case answer_state::complete:
        return exchange_end::answered;
    case answer_state::too_large:
        return exchange_end::too_large;
    case answer_state::incomplete:
    case answer_state::invalid:
        break;
    }
    return exchange_end::connection_lost;
}

// A connection is not used within this time before its server may close it: a request
// that is on its way when that happens is lost, and some can't be repeated.
constexpr seconds keep_alive_margin{1};

// How long the server keeps the connection, by "Keep-Alive: timeout=5".
std::optional<seconds> keep_alive_time(const http_response& answer)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text = answer.headers.find("Keep-Alive").value_or("");
    const std::size_t at = text.find(parameter);
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    const std::string_view rest = text.substr(at + parameter.size());
    const std::string_view digits = rest.substr(0, rest.find_first_not_of("0123456789"));
    const std::optional<std::uint32_t> value = parse_number<std::uint32_t>(digits);
    return value ? std::optional(seconds(*value)) : std::nullopt;
}

// How long a connection that its server keeps for `kept` is used: at least for half of
// it.
duration usable_time(duration kept)
{
    return std::max<duration>(kept - keep_alive_margin, kept / 2);
}

class pooling_client : public socket_client, private socket_connection_owner
{
public:
    pooling_client(event_loop& loop, http_client_options options)
        : loop_(loop), options_(std::move(options)),
          limits_({static_cast<std::size_t>(options_.max_connections_per_endpoint)})
    {
        idle_sweep_ = loop_.every(options_.max_idle, [this] { close_expired(); });
    }

    exchange_id send(const endpoint& to,
                     http_request request,
                     exchange_options options,
                     callback done) override
    {
        return start(
            to, std::move(request), std::move(options), nullptr, std::move(done));
    }

    exchange_id stream(const endpoint& to,
                       http_request request,
                       exchange_options options,
                       std::function<void(std::string_view)> on_piece,
                       callback done) override
    {
        return start(to,
                     std::move(request),
                     std::move(options),
                     std::move(on_piece),
                     std::move(done));
    }

    bool cancel(exchange_id id) override
    {
        const std::unique_ptr<socket_exchange> taken = take(id);
        return taken == nullptr || taken->has_sent();
    }

    void drop_connections(const endpoint& to) override
    {
        auto it = pools_.find(to);
        if (it != pools_.end())
        {
            drop(it->second);
        }
    }

    void limit_connections(const endpoint& to,
                           std::optional<connection_limit> limit) override
    {
        limits_.set(to, limit);
        socket_pool& pool = pool_of(to);
        pool.limit = limits_.of(to);
        if (*pool.total > pool.limit.pooled)
        {
            drop(pool);
        }
        schedule(pool);
    }

private:
    void on_connection_opened(socket_connection& it) override
    {
        socket_exchange* exchange = find({it.exchange()});
        if (exchange == nullptr)
        {
            return;
        }
        if (const std::optional<exchange_end> why = reason_not_to_send(*exchange))
        {
            finish(exchange->id, make_end(*why));
            return;
        }
        if (!it.is_clean() || !send_request(*exchange))
        {
            finish(exchange->id, make_end(exchange_end::not_connected));
        }
    }

    void on_connection_failed(socket_connection& it, bool is_refused) override
    {
        exchange_result made = make_end(exchange_end::not_connected);
        made.is_connection_refused = is_refused;
        finish({it.exchange()}, std::move(made));
    }

    void on_pieces_arrived(socket_connection& it) override
    {
        deliver_pieces({it.exchange()});
    }

    void on_answer_ended(socket_connection& it) override
    {
        const exchange_id id{it.exchange()};
        deliver_pieces(id);
        socket_exchange* exchange = find(id);
        if (exchange == nullptr)
        {
            return; // it was cancelled meanwhile
        }
        exchange_result made = make_end(end_of(it.state(), it.fault()));
        made.fault = it.fault();
        if (made.end == exchange_end::answered)
        {
            made.answer = it.take_answer();
        }
        made.answer_bytes = made.end == exchange_end::too_large ? it.answer_bytes() : 0;
        if (it.is_reusable())
        {
            keep(*std::exchange(exchange->connection, std::nullopt),
                 *exchange->pool,
                 made.answer);
        }
        finish(id, std::move(made));
    }

    void on_idle_ended(socket_connection& it) override
    {
        socket_pool& pool = pool_of(it.to());
        std::erase_if(pool.idle,
                      [&](const pooled_connection& one) { return one.io.get() == &it; });
        schedule(pool);
    }

    exchange_id start(const endpoint& to,
                      http_request request,
                      exchange_options options,
                      std::function<void(std::string_view)> on_piece,
                      callback done)
    {
        const exchange_id id{++last_id_};
        const bool is_startable = is_sendable(request) && is_connectable(to);
        socket_pool& pool = pool_of(to);
        auto made = std::make_unique<socket_exchange>(socket_exchange{
            id,
            &pool,
            is_startable,
            std::move(request),
            std::move(options),
            std::move(done),
            std::move(on_piece),
            std::make_unique<memory_claim>(options_.memory, [this, id] { evict(id); }),
            loop_.now()});
        made->time_limit =
            loop_.after(made->options.timeout, [this, id] { time_out(id); });
        exchanges_.emplace(id.value, std::move(made));
        pool.waiting.push_back(id);
        schedule(pool);
        return id;
    }

    // Serves the pool before the loop next waits, and not within the current call.
    void schedule(socket_pool& pool)
    {
        if (pool.is_scheduled || pool.waiting.empty())
        {
            return;
        }
        pool.is_scheduled = true;
        scheduled_.push_back(&pool);
        if (scheduled_.size() > 1)
        {
            return;
        }
        loop_.post(
            [this, alive = std::weak_ptr<const bool>(alive_)]
            {
                if (!alive.expired())
                {
                    serve_scheduled();
                }
            });
    }

    void serve_scheduled()
    {
        const std::vector<socket_pool*> batch = std::exchange(scheduled_, {});
        for (socket_pool* it : batch)
        {
            it->is_scheduled = false;
            serve(*it);
        }
    }

    // Starts the exchanges that wait, while there are connections for them.
    void serve(socket_pool& pool)
    {
        while (!pool.waiting.empty())
        {
            socket_exchange* it = find(pool.waiting.front());
            if (it != nullptr && it->is_startable && !pool.has_room())
            {
                return;
            }
            pool.waiting.pop_front();
            if (it != nullptr)
            {
                begin(*it, pool);
            }
        }
    }

    // May end the exchange.
    void begin(socket_exchange& it, socket_pool& pool)
    {
        if (!it.is_startable)
        {
            finish(it.id, make_end(exchange_end::not_connected));
            return;
        }
        if (it.options.connection == connection_choice::pooled && use_idle(it, pool))
        {
            return;
        }
        if (*pool.group >= pool.limit.pooled && !pool.idle.empty())
        {
            pool.idle.erase(pool.idle.begin());
        }
        open(it, pool);
    }

    // Returns whether the exchange was sent on an idle connection, or has ended.
    bool use_idle(socket_exchange& it, socket_pool& pool)
    {
        while (std::optional<pooled_connection> idle = take_idle(pool))
        {
            if (const std::optional<exchange_end> why = reason_not_to_send(it))
            {
                pool.idle.push_back(std::move(*idle));
                finish(it.id, make_end(*why));
                return true;
            }
            it.connection = std::move(idle);
            if (send_request(it))
            {
                it.is_reused = true;
                return true;
            }
            it.connection.reset();
        }
        return false;
    }

    // Closes connections that can't be used any more. Returns an open one that has
    // nothing to read, if there is any.
    std::optional<pooled_connection> take_idle(socket_pool& pool)
    {
        while (!pool.idle.empty())
        {
            pooled_connection last = std::move(pool.idle.back());
            pool.idle.pop_back();
            if (loop_.now() < last.idle_until && last.io->is_clean())
            {
                return last;
            }
        }
        return std::nullopt;
    }

    void open(socket_exchange& it, socket_pool& pool)
    {
        std::unique_ptr<socket_connection> io;
        if (*pool.total < pool.limit.open)
        {
            io = socket_connection::open(loop_, pool.to, options_, *this);
        }
        if (!io)
        {
            finish(it.id, make_end(exchange_end::not_connected));
            return;
        }
        it.connection = pooled_connection{
            std::move(io), live_count(pool.group), live_count(pool.total)};
        it.connection->io->set_exchange(it.id.value);
        it.connection->io->start(it.options.connect_timeout);
    }

    // The end of an exchange whose request must not be sent any more.
    std::optional<exchange_end> reason_not_to_send(const socket_exchange& it) const
    {
        if (loop_.now() >= it.started + it.options.timeout)
        {
            return exchange_end::timed_out_before_send;
        }
        if (it.options.is_wanted && !it.options.is_wanted())
        {
            return exchange_end::withdrawn;
        }
        return std::nullopt;
    }

    // Returns false if the connection broke before any byte was sent.
    bool send_request(socket_exchange& it)
    {
        answer_rules rules;
        rules.is_head_request = it.request.method == "HEAD";
        rules.is_streamed = static_cast<bool>(it.on_piece);
        rules.max_head_bytes = it.options.max_head_bytes;
        rules.max_answer_bytes = it.options.max_answer_bytes;
        rules.allows_close_delimited = it.options.allows_close_delimited;
        rules.is_own_answer = it.options.is_own_answer;
        const std::string_view body =
            states_length(it.request) ? it.request.content() : std::string_view();
        socket_connection& io = *it.connection->io;
        io.set_exchange(it.id.value);
        return io.send(make_request_head(it.request, it.pool->to),
                       body,
                       std::move(rules),
                       *it.memory);
    }

    void keep(pooled_connection it, socket_pool& pool, const http_response& answer)
    {
        if (!it.in_group.is_in(pool.group))
        {
            return;
        }
        const std::optional<seconds> kept = keep_alive_time(answer);
        const duration used = kept ? usable_time(*kept) : options_.max_idle;
        it.idle_until = loop_.now() + std::min<duration>(options_.max_idle, used);
        it.io->begin_idle();
        pool.idle.push_back(std::move(it));
    }

    void drop(socket_pool& pool)
    {
        pool.idle.clear();
        pool.group = std::make_shared<std::size_t>(0);
        schedule(pool);
    }

    socket_exchange* find(exchange_id id)
    {
        auto it = exchanges_.find(id.value);
        return it == exchanges_.end() ? nullptr : it->second.get();
    }

    // Removes the exchange, and lets one that waits have its connection. Returns null if
    // the exchange has ended before.
    std::unique_ptr<socket_exchange> take(exchange_id id)
    {
        auto it = exchanges_.find(id.value);
        if (it == exchanges_.end())
        {
            return nullptr;
        }
        std::unique_ptr<socket_exchange> taken = std::move(it->second);
        exchanges_.erase(it);
        schedule(*taken->pool);
        return taken;
    }

    void finish(exchange_id id, exchange_result got)
    {
        const std::unique_ptr<socket_exchange> ended = take(id);
        if (!ended)
        {
            return;
        }
        ended->time_limit.reset();
        ended->connection.reset();
        got.is_connection_reused = ended->is_reused;
        got.time_taken = loop_.now() - ended->started;
        ended->done(std::move(got));
    }

    void time_out(exchange_id id)
    {
        const socket_exchange* it = find(id);
        const bool is_sent = it != nullptr && it->has_sent();
        finish(id,
               make_end(is_sent ? exchange_end::timed_out
                                : exchange_end::timed_out_before_send));
    }

    // Ends an exchange whose answer takes too much of the memory budget.
    void evict(exchange_id id)
    {
        exchange_result made = make_end(exchange_end::too_large);
        const socket_exchange* it = find(id);
        made.answer_bytes = it == nullptr ? 0 : it->memory->bytes();
        finish(id, std::move(made));
    }

    void deliver_pieces(exchange_id id)
    {
        socket_exchange* it = find(id);
        if (it == nullptr || !it->on_piece)
        {
            return;
        }
        const std::string pieces = it->connection->io->take_pieces();
        if (!pieces.empty())
        {
            // A copy, since the callback may cancel the exchange.
            const std::function<void(std::string_view)> on_piece = it->on_piece;
            on_piece(pieces);
        }
    }

    // The pool stays until close_expired() finds it unused.
    socket_pool& pool_of(const endpoint& to)
    {
        auto [it, is_new] = pools_.try_emplace(to);
        if (is_new)
        {
            it->second.to = to;
            it->second.limit = limits_.of(to);
        }
        return it->second;
    }

    void close_expired()
    {
        const time_point now = loop_.now();
        for (auto& [to, pool] : pools_)
        {
            std::erase_if(pool.idle,
                          [&](const pooled_connection& it)
                          { return it.idle_until <= now; });
        }
        std::erase_if(pools_,
                      [](const auto& it)
                      {
                          const socket_pool& pool = it.second;
                          return *pool.total == 0 && pool.waiting.empty() &&
                                 !pool.is_scheduled;
                      });
    }

    event_loop& loop_;
    http_client_options options_;
    std::uint64_t last_id_ = 0;
    connection_limits limits_;
    std::unordered_map<endpoint, socket_pool> pools_;
    std::unordered_map<std::uint64_t, std::unique_ptr<socket_exchange>> exchanges_;
    std::vector<socket_pool*> scheduled_;
    timer_handle idle_sweep_;
    std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);
};

} // namespace

result<std::unique_ptr<http_client>> socket_client::create(event_loop& loop,
                                                           http_client_options options)
{
    return std::make_unique<pooling_client>(loop, std::move(options));
}

} // namespace camphorrock
