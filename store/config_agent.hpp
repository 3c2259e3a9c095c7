#pragma once

// Keeps this instance's copy of the configuration fresh: reads the document from the
// store periodically, and from a peer that names a newer version. The version in force
// only goes up.

#include "codec/configuration_json.hpp"
#include "core/config/config_tracker.hpp"
#include "core/config/configuration.hpp"
#include "net/event_loop.hpp"
#include "net/rpc_client.hpp"
#include "store/store_client.hpp"

#include <functional>

namespace camphorrock
{

// Where the document lives in the store.
constexpr const char* config_key = "/camphorrock/config";

class config_agent
{
public:
    // `changed` is called after each version that came into force. The others must
    // outlive the agent.
    config_agent(event_loop& loop,
                 store_client& store,
                 rpc_client& rpc,
                 std::function<void(const configuration&)> changed);

    void start();

    // Someone at `peer` named a version.
    void version_seen(config_version version, const endpoint& peer);

    // A majority of voters, asked at `sent`, knows no version above `highest`.
    void majority_seen(time_point sent, config_version highest);

    const configuration& current() const
    {
        return current_;
    }

    bool may_serve() const
    {
        return tracker_.may_serve(loop_.now());
    }

    // Was the configuration in force current `age` ago or later?
    bool is_current_within(duration age) const
    {
        return tracker_.is_current_within(age, loop_.now());
    }

private:
    void read_store();
    bool take(const std::string& text); // false: it is no configuration

    event_loop& loop_;
    store_client& store_;
    rpc_client& rpc_;
    std::function<void(const configuration&)> changed_;
    config_tracker tracker_;
    configuration current_;
    bool is_reading_ = false;
    timer_handle timer_;
};

} // namespace camphorrock
