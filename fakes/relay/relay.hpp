#pragma once

// Forwards TCP connections from one address to another, and injects faults on demand:
// into all connections, or into those from one source IP address.

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
    // Starts listening; port 0 selects a free port. All references must outlive the
    // relay. Fails if it cannot listen on the address.
    static result<std::unique_ptr<relay>>
    create(event_loop& loop, const endpoint& listen, endpoint target, event_log& log);

    // Injects the fault. `silence` affects only the connections that exist, and leaves
    // the mode at pass; the other modes stay in force until the next call for the same
    // source. A fault without a source replaces those of all sources. Fails with
    // error_code::io if the address cannot be bound again after a cut.
    result<void> set_fault(const relay_fault& fault);

    endpoint bound() const
    {
        return bound_;
    }

    // The fault of sources that have none of their own.
    const relay_fault& default_fault() const
    {
        return default_fault_;
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
    void apply_fault(const std::string& source, relay_fault& source_fault);
    void reset_links(const std::string& source);
    void stop_listening();

    event_loop& loop_;
    endpoint target_;
    event_log& log_;
    endpoint bound_;
    relay_fault default_fault_;
    std::map<std::string, relay_fault> faults_; // by source; links refer to them
    std::optional<tcp_socket> listener_;
    watch_handle accept_watch_;
    std::uint64_t last_link_id_ = 0;
    std::map<std::uint64_t, open_link> links_;
};

} // namespace camphorrock
