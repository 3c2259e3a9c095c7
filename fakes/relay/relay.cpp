#include "fakes/relay/relay.hpp"

#include "net/socket_address.hpp"

namespace camphorrock
{
namespace
{

// More connections than this are closed at accept.
constexpr std::size_t max_links = 4096;

// The value of a result, or none.
std::optional<tcp_socket> to_optional(result<tcp_socket> got)
{
    return got ? std::optional<tcp_socket>(std::move(*got)) : std::nullopt;
}

} // namespace

relay::relay(event_loop& loop, endpoint target, event_log& log)
    : loop_(loop), target_(std::move(target)), log_(log)
{
}

result<std::unique_ptr<relay>>
relay::create(event_loop& loop, const endpoint& listen, endpoint target, event_log& log)
{
    std::unique_ptr<relay> made(new relay(loop, std::move(target), log));
    BOOST_LEAF_CHECK(made->listen(listen));
    return made;
}

result<void> relay::set(const relay_fault& fault)
{
    log_.write(event_id::relay_mode_changed,
               {{"mode", name_of(fault.mode)},
                {"direction", name_of(fault.direction)},
                {"delay_us", fault.delay},
                {"connections", links_.size()}});
    fault_ = fault;
    if (fault.mode == relay_mode::cut)
    {
        cut();
        return {};
    }
    for (auto& [name, link] : links_)
    {
        if (fault.mode == relay_mode::silence)
        {
            link->silence(fault.direction);
        }
    }
    if (fault.mode == relay_mode::silence)
    {
        fault_ = relay_fault();
    }
    for (auto& [name, link] : links_)
    {
        link->pump();
    }
    if (!listener_)
    {
        return listen(bound_);
    }
    return {};
}

result<void> relay::listen(const endpoint& address)
{
    BOOST_LEAF_AUTO(socket, tcp_socket::listen(address));
    bound_ = bound_endpoint(socket.fd());
    listener_.emplace(std::move(socket));
    readable_ = loop_.on_readable(listener_->fd(), [this] { accept(); });
    return {};
}

void relay::accept()
{
    while (std::optional<tcp_socket> caller = to_optional(listener_->accept()))
    {
        if (links_.size() < max_links)
        {
            add_link(std::move(*caller));
        }
    }
}

void relay::add_link(tcp_socket caller)
{
    std::optional<tcp_socket> target = to_optional(tcp_socket::connect(target_));
    if (!target)
    {
        caller.reset_on_close();
        return;
    }
    std::uint64_t name = ++last_link_;
    links_[name] = std::make_unique<relay_link>(loop_,
                                                fault_,
                                                std::move(caller),
                                                std::move(*target),
                                                [this, name] { links_.erase(name); });
}

void relay::cut()
{
    readable_.reset();
    listener_.reset();
    for (auto& [name, link] : links_)
    {
        link->reset_on_close();
    }
    links_.clear();
}

} // namespace camphorrock
