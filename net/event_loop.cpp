#include "net/event_loop.hpp"

#include <ev.h>
#include <time.h>

#include <algorithm>
#include <csignal>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

// A libev watcher with its callback. It keeps itself alive while its callback runs, so
// that the callback may destroy the handle.
template<class Watcher>
struct watcher : watch_handle::state, std::enable_shared_from_this<watcher<Watcher>>
{
    struct ev_loop* loop = nullptr;
    Watcher raw{};
    event_loop::callback what;

    void attach()
    {
        raw.data = this;
    }

    static void fire(struct ev_loop*, Watcher* raw, int)
    {
        auto* self = static_cast<watcher*>(raw->data);
        std::shared_ptr<watcher> alive = self->shared_from_this();
        self->what();
    }
};

struct timer_watcher : watcher<ev_timer>
{
    ~timer_watcher() override
    {
        ev_timer_stop(loop, &raw);
    }
};

struct signal_watcher : watcher<ev_signal>
{
    ~signal_watcher() override
    {
        ev_signal_stop(loop, &raw);
    }
};

struct io_watcher : watcher<ev_io>
{
    ~io_watcher() override
    {
        ev_io_stop(loop, &raw);
    }
};

template<class Watcher>
std::shared_ptr<Watcher> make_watcher(struct ev_loop* loop, event_loop::callback&& what)
{
    auto made = std::make_shared<Watcher>();
    made->loop = loop;
    made->what = std::move(what);
    made->attach();
    return made;
}

ev_tstamp to_seconds(duration value)
{
    return std::chrono::duration<ev_tstamp>(value).count();
}

void do_nothing(struct ev_loop*, ev_idle*, int) {}

} // namespace

struct event_loop::impl
{
    struct ev_loop* raw = nullptr;
    ev_prepare before_wait{};
    ev_idle no_wait{}; // active while posted callbacks are left
    std::vector<callback> posted;

    ~impl()
    {
        ev_prepare_stop(raw, &before_wait);
        ev_idle_stop(raw, &no_wait);
        ev_loop_destroy(raw);
    }

    void start()
    {
        ev_idle_init(&no_wait, do_nothing);
        ev_prepare_init(&before_wait, run_posted);
        before_wait.data = this;
        ev_prepare_start(raw, &before_wait);
    }

    // Runs what was posted so far. What these post in turn runs in the next round, before
    // which the loop looks for events but does not wait.
    static void run_posted(struct ev_loop* loop, ev_prepare* watcher, int)
    {
        auto* self = static_cast<impl*>(watcher->data);
        std::vector<callback> batch;
        batch.swap(self->posted);
        for (callback& what : batch)
        {
            what();
        }
        if (self->posted.empty())
        {
            ev_idle_stop(loop, &self->no_wait);
        }
        else
        {
            ev_idle_start(loop, &self->no_wait);
        }
    }

    // libev counts from the time at which its round began; a long callback would make its
    // timers fire early.
    timer_handle start_timer(duration first, duration period, callback what)
    {
        auto made = make_watcher<timer_watcher>(raw, std::move(what));
        ev_now_update(raw);
        ev_timer_init(
            &made->raw, timer_watcher::fire, to_seconds(first), to_seconds(period));
        ev_timer_start(raw, &made->raw);
        return watch_handle(std::move(made));
    }
};

event_loop::event_loop(std::unique_ptr<impl> parts) : parts_(std::move(parts)) {}

event_loop::~event_loop() = default;

result<std::unique_ptr<event_loop>> event_loop::create()
{
    std::signal(SIGPIPE, SIG_IGN);
    struct ev_loop* raw = ev_loop_new(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV});
    if (raw == nullptr)
    {
        return fail(error_code::io, "the operating system gives no epoll loop");
    }
    auto parts = std::make_unique<impl>();
    parts->raw = raw;
    parts->start();
    return std::unique_ptr<event_loop>(new event_loop(std::move(parts)));
}

void event_loop::run()
{
    ev_run(parts_->raw, 0);
}

void event_loop::stop()
{
    ev_break(parts_->raw, EVBREAK_ALL);
}

time_point event_loop::now() const
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec)));
}

timer_handle event_loop::after(duration delay, callback what)
{
    return parts_->start_timer(delay, duration::zero(), std::move(what));
}

timer_handle event_loop::at(time_point when, callback what)
{
    return after(std::max<duration>(when - now(), duration::zero()), std::move(what));
}

timer_handle event_loop::every(duration period, callback what)
{
    return parts_->start_timer(period, period, std::move(what));
}

watch_handle event_loop::on_signal(int number, callback what)
{
    auto made = make_watcher<signal_watcher>(parts_->raw, std::move(what));
    ev_signal_init(&made->raw, signal_watcher::fire, number);
    ev_signal_start(parts_->raw, &made->raw);
    return watch_handle(std::move(made));
}

watch_handle event_loop::on_readable(int fd, callback what)
{
    auto made = make_watcher<io_watcher>(parts_->raw, std::move(what));
    ev_io_init(&made->raw, io_watcher::fire, fd, EV_READ);
    ev_io_start(parts_->raw, &made->raw);
    return watch_handle(std::move(made));
}

watch_handle event_loop::on_writable(int fd, callback what)
{
    auto made = make_watcher<io_watcher>(parts_->raw, std::move(what));
    ev_io_init(&made->raw, io_watcher::fire, fd, EV_WRITE);
    ev_io_start(parts_->raw, &made->raw);
    return watch_handle(std::move(made));
}

void event_loop::post(callback what)
{
    parts_->posted.push_back(std::move(what));
}

struct ev_loop* event_loop::raw()
{
    return parts_->raw;
}

} // namespace camphorrock
