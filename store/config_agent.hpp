#pragma once

// Keeps this instance's configuration up to date. Reads the document from the store
// periodically, and from a peer that reports a newer version. The version in force never
// decreases.

#include "codec/configuration_json.hpp"
#include "core/config/config_tracker.hpp"
#include "core/config/configuration.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_client.hpp"
#include "store/store_client.hpp"

#include <functional>

namespace camphorrock
{

// The store's key for the configuration document.
constexpr const char* config_key = "/camphorrock/config";

class config_agent
{
public:
    // `on_changed` is called each time that a new version comes into force. The other
    // arguments must outlive the agent.
    config_agent(event_loop& loop,
                 store_client& store,
                 rpc_client& rpc,
                 std::function<void(const configuration&)> on_changed);

    void start();

    // `peer` reported a version. If it is newer than the one in force, asks the peer for
    // the document, unless a peer was asked within
    // config_tracker_options::request_interval before.
    void on_peer_version(config_version version, const endpoint& peer);

    // A majority of voters answered queries sent at `sent`, and reported no version above
    // `highest`.
    void on_majority_version(time_point sent, config_version highest);

    const configuration& current() const
    {
        return current_;
    }

    // True while the configuration in force is known to be recent enough to serve with.
    bool may_serve() const
    {
        return tracker_.may_serve(loop_.now());
    }

    // True if the configuration in force is known to have been current at most `age` ago.
    bool is_current_within(duration age) const
    {
        return tracker_.is_current_within(age, loop_.now());
    }

private:
    void read_store();
    // Puts the document into force if it is newer. False if the text is not a valid
    // configuration.
    bool adopt_document(const std::string& text);

    event_loop& loop_;
    store_client& store_;
    rpc_client& rpc_;
    std::function<void(const configuration&)> on_changed_;
    config_tracker tracker_;
    configuration current_;
    bool is_reading_ = false;
    timer_handle timer_;
};

} // namespace camphorrock
