#pragma once

// Forwards TCP connections from one address to another, with faults on demand: of all
// connections, or of those that come from one IP address.

#include "app/event_log.hpp"
#include "core/base/names.hpp"
#include "core/base/result.hpp"
#include "fakes/relay/relay_fault.hpp"
#include "fakes/relay/relay_link.hpp"
#include "fakes/relay/tcp_socket.hpp"
#include "net/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorrock
{

class relay
{
public:
    // Listens at once; port 0 takes a free one. All references must outlive the relay.
    static result<std::unique_ptr<relay>>
    create(event_loop& loop, const endpoint& listen, endpoint target, event_log& log);

    // Brings the fault about. `silence` concerns the connections that exist and then
    // leaves the mode at pass; the others hold until the next call for the same source. A
    // fault without a source replaces those of all sources. Fails with error_code::io
    // where the address cannot be bound anew after a cut.
    result<void> set(const relay_fault& fault);

    endpoint bound() const
    {
        return bound_;
    }

    // The one that holds for sources without a fault of their own.
    const relay_fault& fault() const
    {
        return fault_;
    }

    std::size_t connections() const
    {
        return links_.size();
    }

private:
    struct open_link
    {
        std::string source;
        std::unique_ptr<relay_link> link;
    };

    relay(event_loop& loop, endpoint target, event_log& log);
    result<void> listen(const endpoint& address);
    void accept();
    void add_link(tcp_socket caller);
    void apply(const std::string& source, relay_fault& held);
    void cut(const std::string& source);
    void stop_listening();

    event_loop& loop_;
    endpoint target_;
    event_log& log_;
    endpoint bound_;
    relay_fault fault_;
    std::map<std::string, relay_fault> faults_; // by source; links refer to them
    std::optional<tcp_socket> listener_;
    watch_handle readable_;
    std::uint64_t last_link_ = 0;
    std::map<std::uint64_t, open_link> links_;
};

} // namespace camphorrock
