#include "net/hangup_watch.hpp"

#include <sys/epoll.h>
#include <unistd.h>

#include <utility>

namespace camphorrock
{
namespace
{

constexpr int max_events_per_wait = 64;

} // namespace

result<std::unique_ptr<hangup_watch>>
hangup_watch::create(event_loop& loop, std::function<void(std::uint64_t)> on_hangup)
{
    const int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (epoll_fd < 0)
    {
        return fail(error_code::io, "cannot create an epoll instance");
    }
    std::unique_ptr<hangup_watch> made(new hangup_watch(epoll_fd, std::move(on_hangup)));
    hangup_watch* self = made.get();
    made->read_watch_ = loop.on_readable(epoll_fd, [self] { self->read_events(); });
    return made;
}

hangup_watch::hangup_watch(int epoll_fd, std::function<void(std::uint64_t)> on_hangup)
    : epoll_fd_(epoll_fd), on_hangup_(std::move(on_hangup))
{
}

hangup_watch::~hangup_watch()
{
    read_watch_.reset();
    close(epoll_fd_);
}

void hangup_watch::add(int fd, std::uint64_t connection_id)
{
    epoll_event wanted{};
    wanted.events = EPOLLRDHUP | EPOLLET;
    wanted.data.u64 = connection_id;
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &wanted);
}

void hangup_watch::read_events()
{
    epoll_event got[max_events_per_wait];
    const int n = epoll_wait(epoll_fd_, got, max_events_per_wait, 0);
    for (int i = 0; i < n; ++i)
    {
        on_hangup_(got[i].data.u64);
    }
}

} // namespace camphorrock
