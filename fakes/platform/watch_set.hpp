#pragma once

// The open watches of the fake platform. Each is a streamed response.

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

    // Starts the stream: an acknowledgement, then the changes that have been made since
    // the start revision. If those have been compacted, reports that and ends the stream.
    void add(const watch_request& wanted, std::shared_ptr<http_responder> responder);

    // Sends each watch the changes that it has not received yet.
    void send_changes();

    // Closes the connections of all watches without ending their streams.
    void abort_all();

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

    // Returns false if the changes have been compacted; the stream is then ended.
    bool send_changes(watch& to) const;

    const kv_engine& kv_;
    std::map<std::uint64_t, watch> watches_;
    std::uint64_t last_id_ = 0;
};

} // namespace camphorrock::fakes
