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
    event_loop::callback fn;

    void attach()
    {
        raw.data = this;
    }

    static void fire(struct ev_loop*, Watcher* raw, int)
    {
        auto* self = static_cast<watcher*>(raw->data);
        std::shared_ptr<watcher> alive = self->shared_from_this();
        self->fn();
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
std::shared_ptr<Watcher> make_watcher(struct ev_loop* loop, event_loop::callback&& fn)
{
    auto made = std::make_shared<Watcher>();
    made->loop = loop;
    made->fn = std::move(fn);
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

    // Runs the callbacks posted so far. Those that they post in turn run in the next
    // iteration, before which the loop polls for events without waiting.
    static void run_posted(struct ev_loop* loop, ev_prepare* watcher, int)
    {
        auto* self = static_cast<impl*>(watcher->data);
        std::vector<callback> batch;
        batch.swap(self->posted);
        for (callback& fn : batch)
        {
            fn();
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

    // libev starts a timer at the time at which the current iteration began. Without the
    // update, a timer started at the end of a long callback would fire early.
    timer_handle start_timer(duration first, duration period, callback fn)
    {
        auto made = make_watcher<timer_watcher>(raw, std::move(fn));
        ev_now_update(raw);
        ev_timer_init(
            &made->raw, timer_watcher::fire, to_seconds(first), to_seconds(period));
        ev_timer_start(raw, &made->raw);
        return watch_handle(std::move(made));
    }
};

event_loop::event_loop(std::unique_ptr<impl> loop_impl) : impl_(std::move(loop_impl)) {}

event_loop::~event_loop() = default;

result<std::unique_ptr<event_loop>> event_loop::create()
{
    std::signal(SIGPIPE, SIG_IGN);
    struct ev_loop* raw = ev_loop_new(unsigned{EVBACKEND_EPOLL} | unsigned{EVFLAG_NOENV});
    if (raw == nullptr)
    {
        return fail(error_code::io, "cannot create an epoll event loop");
    }
    auto loop_impl = std::make_unique<impl>();
    loop_impl->raw = raw;
    loop_impl->start();
    return std::unique_ptr<event_loop>(new event_loop(std::move(loop_impl)));
}

void event_loop::run()
{
    ev_run(impl_->raw, 0);
}

void event_loop::stop()
{
    ev_break(impl_->raw, EVBREAK_ALL);
}

time_point event_loop::now() const
{
    timespec at{};
    clock_gettime(CLOCK_BOOTTIME, &at);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(at.tv_sec) + std::chrono::nanoseconds(at.tv_nsec)));
}

timer_handle event_loop::after(duration delay, callback fn)
{
    return impl_->start_timer(delay, duration::zero(), std::move(fn));
}

timer_handle event_loop::at(time_point when, callback fn)
{
    return after(std::max<duration>(when - now(), duration::zero()), std::move(fn));
}

timer_handle event_loop::every(duration period, callback fn)
{
    return impl_->start_timer(period, period, std::move(fn));
}

watch_handle event_loop::on_signal(int number, callback fn)
{
    auto made = make_watcher<signal_watcher>(impl_->raw, std::move(fn));
    ev_signal_init(&made->raw, signal_watcher::fire, number);
    ev_signal_start(impl_->raw, &made->raw);
    return watch_handle(std::move(made));
}

watch_handle event_loop::on_readable(int fd, callback fn)
{
    auto made = make_watcher<io_watcher>(impl_->raw, std::move(fn));
    ev_io_init(&made->raw, io_watcher::fire, fd, EV_READ);
    ev_io_start(impl_->raw, &made->raw);
    return watch_handle(std::move(made));
}

watch_handle event_loop::on_writable(int fd, callback fn)
{
    auto made = make_watcher<io_watcher>(impl_->raw, std::move(fn));
    ev_io_init(&made->raw, io_watcher::fire, fd, EV_WRITE);
    ev_io_start(impl_->raw, &made->raw);
    return watch_handle(std::move(made));
}

void event_loop::post(callback fn)
{
    impl_->posted.push_back(std::move(fn));
}

struct ev_loop* event_loop::raw()
{
    return impl_->raw;
}

} // namespace camphorrock
