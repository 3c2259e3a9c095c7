#include "fakes/relay/relay.hpp"

#include "net/socket_address.hpp"

namespace camphorrock
{
namespace
{

// Further connections are closed on accept.
constexpr std::size_t max_links = 4096;

// Returns the value of a result, or nullopt if it failed.
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

result<void> relay::set_fault(const relay_fault& fault)
{
    log_.write(event_id::relay_mode_changed,
               {{"mode", name_of(fault.mode)},
                {"direction", name_of(fault.direction)},
                {"delay_us", fault.delay},
                {"source", fault.source},
                {"connections", links_.size()}});
    if (!fault.source.empty())
    {
        faults_[fault.source] = fault;
        apply_fault(fault.source, faults_[fault.source]);
        return {};
    }
    default_fault_ = fault;
    for (auto& [source, source_fault] : faults_)
    {
        source_fault = fault;
        apply_fault(source, source_fault);
    }
    if (fault.mode == relay_mode::silence)
    {
        default_fault_ = relay_fault();
    }
    if (fault.mode == relay_mode::cut)
    {
        stop_listening();
        return {};
    }
    return listener_ ? result<void>() : listen(bound_);
}

result<void> relay::listen(const endpoint& address)
{
    BOOST_LEAF_AUTO(socket, tcp_socket::listen(address));
    bound_ = bound_endpoint(socket.fd());
    listener_.emplace(std::move(socket));
    accept_watch_ = loop_.on_readable(listener_->fd(), [this] { accept(); });
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
    std::string source = caller.peer_ip();
    relay_fault& fault = faults_.try_emplace(source, default_fault_).first->second;
    std::optional<tcp_socket> target = to_optional(tcp_socket::connect(target_));
    if (!target || fault.mode == relay_mode::cut)
    {
        caller.reset_on_close();
        return;
    }
    std::uint64_t id = ++last_link_id_;
    links_[id] = {source,
                  std::make_unique<relay_link>(loop_,
                                               fault,
                                               std::move(caller),
                                               std::move(*target),
                                               [this, id] { links_.erase(id); })};
}

// Puts the fault of a source into force. Its links refer to `source_fault`; a silence
// resets that to pass.
void relay::apply_fault(const std::string& source, relay_fault& source_fault)
{
    if (source_fault.mode == relay_mode::cut)
    {
        reset_links(source);
        return;
    }
    bool is_silence = source_fault.mode == relay_mode::silence;
    relay_direction direction = source_fault.direction;
    source_fault = is_silence ? relay_fault() : source_fault;
    for (auto& [id, it] : links_)
    {
        if (it.source != source)
        {
            continue;
        }
        if (is_silence)
        {
            it.link->silence(direction);
        }
        it.link->pump();
    }
}

void relay::reset_links(const std::string& source)
{
    for (auto it = links_.begin(); it != links_.end();)
    {
        if (it->second.source != source)
        {
            ++it;
            continue;
        }
        it->second.link->reset_on_close();
        it = links_.erase(it);
    }
}

void relay::stop_listening()
{
    accept_watch_.reset();
    listener_.reset();
}

} // namespace camphorrock
