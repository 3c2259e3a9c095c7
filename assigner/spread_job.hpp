#pragma once

// Waits until a version of the configuration is known to a majority of each shard's
// voters; config_spread decides.
//
//     spread_job::start(parts, version, [](bool is_known) { ... });
//
// Keeps itself alive until it has called back, once: with false where the time is over.

#include "assigner/assigner_parts.hpp"
#include "core/config/config_quorum.hpp"

#include <functional>
#include <memory>
#include <optional>

namespace camphorrock
{

class spread_job : public std::enable_shared_from_this<spread_job>
{
public:
    using callback = std::function<void(bool)>;

    // `version` is in the store.
    static void start(assigner_parts& parts, config_version version, callback done);

private:
    spread_job(assigner_parts& parts, config_version version, callback done);
    void read_records();
    void ask();
    void ask(const config_quorum::voter_query& voter_query);
    void finish(bool has_quorum);

    assigner_parts& parts_;
    config_version version_;
    callback done_;
    std::optional<config_quorum> spread_; // once the records are read
    time_point give_up_at_;
    timer_handle timer_;
};

} // namespace camphorrock
