#include "net/curl_pool.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr double ms_per_second = 1000.0;
constexpr long max_shared_connections = 100000; // idle ones are closed by age instead

} // namespace

// One socket that libcurl wants watched; owned by libcurl's entry for the socket.
struct curl_pool::socket_watch
{
    struct ev_loop* loop = nullptr;
    curl_pool* pool = nullptr;
    ev_io raw{};

    ~socket_watch()
    {
        ev_io_stop(loop, &raw);
    }

    void watch(curl_socket_t fd, int what)
    {
        const int wanted = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                           ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
        ev_io_stop(loop, &raw);
        ev_io_set(&raw, fd, wanted);
        ev_io_start(loop, &raw);
    }

    static void fire(struct ev_loop*, ev_io* raw, int got)
    {
        auto* self = static_cast<socket_watch*>(raw->data);
        const int events = ((got & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
                           ((got & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
        self->pool->run_socket_action(raw->fd, events);
    }
};

result<std::shared_ptr<curl_pool>>
curl_pool::create(event_loop& loop,
                  std::shared_ptr<endpoint_connections> connections,
                  curl_pool_owner& owner)
{
    CURLM* multi = curl_multi_init();
    if (multi == nullptr)
    {
        return fail(error_code::io, "cannot create a libcurl multi handle");
    }
    curl_multi_setopt(multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
    return std::shared_ptr<curl_pool>(
        new curl_pool(loop, multi, std::move(connections), owner));
}

result<std::shared_ptr<curl_pool>> curl_pool::create_shared(event_loop& loop,
                                                            long connections_per_endpoint,
                                                            curl_pool_owner& owner)
{
    BOOST_LEAF_AUTO(made, create(loop, nullptr, owner));
    curl_multi_setopt(made->multi_, CURLMOPT_MAXCONNECTS, max_shared_connections);
    curl_multi_setopt(
        made->multi_, CURLMOPT_MAX_HOST_CONNECTIONS, connections_per_endpoint);
    return made;
}

curl_pool::curl_pool(event_loop& loop,
                     CURLM* multi,
                     std::shared_ptr<endpoint_connections> connections,
                     curl_pool_owner& owner)
    : loop_(loop), multi_(multi), connections_(std::move(connections)), owner_(owner),
      last_used_(loop.now())
{
    if (connections_)
    {
        apply_limit();
    }
    curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &curl_pool::on_socket);
    curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &curl_pool::on_timer);
    curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
    ev_init(&timer_,
            [](struct ev_loop*, ev_timer* raw, int) {
                static_cast<curl_pool*>(raw->data)->run_socket_action(CURL_SOCKET_TIMEOUT,
                                                                      0);
            });
    timer_.data = this;
}

curl_pool::~curl_pool()
{
    curl_multi_cleanup(multi_);
    ev_timer_stop(loop_.raw(), &timer_);
}

void curl_pool::apply_limit()
{
    const auto n = static_cast<long>(connections_->limit.pooled);
    curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS, n);
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, n);
}

bool curl_pool::add(CURL* easy)
{
    if (curl_multi_add_handle(multi_, easy) != CURLM_OK)
    {
        return false;
    }
    ++active_;
    last_used_ = loop_.now();
    return true;
}

void curl_pool::remove(CURL* easy)
{
    curl_multi_remove_handle(multi_, easy);
    --active_;
    last_used_ = loop_.now();
}

int curl_pool::on_socket(CURL*, curl_socket_t fd, int what, void* self, void* watch)
{
    auto* pool = static_cast<curl_pool*>(self);
    auto* it = static_cast<socket_watch*>(watch);
    if (what == CURL_POLL_REMOVE)
    {
        delete it;
        return 0;
    }
    if (it == nullptr)
    {
        it = new socket_watch{pool->loop_.raw(), pool};
        ev_init(&it->raw, &socket_watch::fire);
        it->raw.data = it;
        curl_multi_assign(pool->multi_, fd, it);
    }
    it->watch(fd, what);
    return 0;
}

int curl_pool::on_timer(CURLM*, long wait_ms, void* self)
{
    auto* pool = static_cast<curl_pool*>(self);
    struct ev_loop* loop = pool->loop_.raw();
    ev_timer_stop(loop, &pool->timer_);
    if (wait_ms >= 0)
    {
        ev_timer_set(&pool->timer_, static_cast<double>(wait_ms) / ms_per_second, 0.0);
        ev_timer_start(loop, &pool->timer_);
    }
    return 0;
}

void curl_pool::run_socket_action(curl_socket_t fd, int events)
{
    // The owner may drop the pool within its callbacks.
    const std::shared_ptr<curl_pool> alive = shared_from_this();
    int running = 0;
    curl_multi_socket_action(multi_, fd, events, &running);
    owner_.on_libcurl_returned();
    report_finished();
}

void curl_pool::report_finished()
{
    int left = 0;
    while (const CURLMsg* it = curl_multi_info_read(multi_, &left))
    {
        if (it->msg == CURLMSG_DONE)
        {
            owner_.on_exchange_finished(it->easy_handle, it->data.result);
        }
    }
}

} // namespace camphorrock
