#pragma once

// The open watches of the fake platform.

#include "fakes/platform/kv_engine.hpp"
#include "fakes/platform/kv_json.hpp"
#include "net/http_server.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace camphorrock::fakes
{

class watch_set
{
public:
    // `kv` must outlive the set.
    explicit watch_set(const kv_engine& kv) : kv_(kv) {}

    // Starts the stream: an acknowledgement, then the changes so far.
    void add(const watch_request& wanted, std::shared_ptr<http_responder> responder);

    // Sends every watch what has changed since the last call.
    void send_changes();

    // Breaks all connections.
    void cut_all();

    std::size_t size() const
    {
        return watches_.size();
    }

private:
    struct watch
    {
        std::shared_ptr<http_responder> responder;
        kv_range keys;
        std::uint64_t next_revision = 0;
    };

    // False if the changes that the watch needs are no longer kept.
    bool send_changes(watch& to) const;

    const kv_engine& kv_;
    std::map<std::uint64_t, watch> watches_;
    std::uint64_t last_number_ = 0;
};

} // namespace camphorrock::fakes
