#pragma once

// Queries voters until a majority of each shard's voters has a version of the
// configuration, as config_quorum decides.
//
//     config_quorum_job::start(context, version, [](bool has_quorum) { ... });
//
// The job owns itself until it has called the callback, exactly once: with true when
// there is a quorum, or with false after a timeout.

#include "assigner/assigner_context.hpp"
#include "core/config/config_quorum.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace camphorrock
{

class config_quorum_job : public std::enable_shared_from_this<config_quorum_job>
{
public:
    using callback = std::function<void(bool)>;

    // `version` must have been written to the store before.
    static void start(assigner_context& context, config_version version, callback done);

private:
    config_quorum_job(assigner_context& context, config_version version, callback done);
    void read_records();
    void send_queries();
    void send_query(const config_quorum::voter_query& query);
    void finish(bool has_quorum);

    assigner_context& context_;
    config_version version_;
    callback done_;
    std::optional<config_quorum> quorum_; // empty until the records are read
    time_point deadline_;
    timer_handle timer_;
};

} // namespace camphorrock
