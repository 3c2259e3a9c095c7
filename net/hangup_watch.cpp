#include "net/hangup_watch.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <utility>

namespace camphorrock
{
namespace
{

constexpr int events_at_once = 64;

} // namespace

result<std::unique_ptr<hangup_watch>>
hangup_watch::create(event_loop& loop, std::function<void(std::uint64_t)> on_hangup)
{
    const int set = epoll_create1(EPOLL_CLOEXEC);
    if (set < 0)
    {
        return fail(error_code::io, "the operating system gives no epoll set");
    }
    std::unique_ptr<hangup_watch> made(new hangup_watch(set, std::move(on_hangup)));
    hangup_watch* self = made.get();
    made->readable_ = loop.on_readable(set, [self] { self->read_events(); });
    return made;
}

hangup_watch::hangup_watch(int set, std::function<void(std::uint64_t)> on_hangup)
    : set_(set), on_hangup_(std::move(on_hangup))
{
}

hangup_watch::~hangup_watch()
{
    readable_.reset();
    close(set_);
}

void hangup_watch::add(int fd, std::uint64_t number)
{
    epoll_event wanted{};
    wanted.events = EPOLLRDHUP | EPOLLET;
    wanted.data.u64 = number;
    epoll_ctl(set_, EPOLL_CTL_ADD, fd, &wanted);
}

void hangup_watch::read_events()
{
    epoll_event got[events_at_once];
    const int n = epoll_wait(set_, got, events_at_once, 0);
    for (int i = 0; i < n; ++i)
    {
        on_hangup_(got[i].data.u64);
    }
}

} // namespace camphorrock
