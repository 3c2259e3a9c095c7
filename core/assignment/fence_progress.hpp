#pragma once

// Follows the voters' acknowledgements of fences and says below which version no router
// can hold authority any more. See docs/DESIGN.md, "One owner".
//
//     progress.start(record, now);                    // after each new version
//     progress.acknowledged(voter, version, fenced_for, now);
//     if (since <= progress.barrier(now, duration{})) ... // nothing older is alive
//
// Where a majority of voters stays away, a version counts as fenced after
// voter_store_limit: each voter has by then read it from the store or stopped vouching.

#include "core/ownership/majority.hpp"
#include "core/ownership/ownership_options.hpp"

#include <deque>
#include <map>

namespace camphorrock
{

class fence_progress
{
public:
    explicit fence_progress(ownership_options options) : options_(options) {}

    // The longest `extra` that barrier() is asked for from now on.
    void set_max_request_time(duration longest)
    {
        options_.max_request_time = longest;
    }

    // The store holds this record at the latest now.
    void start(const shard_record& record, time_point now);

    // The voter's answer came now and says that it has refused lower versions for
    // `fenced_for` of its clock: what an earlier assigner fenced counts from then on.
    void acknowledged(const instance_id& voter,
                      epoch version,
                      duration fenced_for,
                      time_point now);

    // The highest version below which no router has held authority for `extra`.
    epoch barrier(time_point now, duration extra) const;

    // Was `version` acknowledged by majorities, whether or not authority has lapsed yet?
    bool is_fenced(epoch version, time_point now) const;

    // The highest version that this voter acknowledged.
    epoch acknowledged_by(const instance_id& voter) const;

private:
    struct milestone
    {
        epoch version;
        time_point at;
    };

    struct acknowledgement
    {
        epoch version;
        time_point at; // the version was fenced there by then
    };

    void note_fenced(time_point now);
    milestone joint_fence() const;
    void add(std::deque<milestone>& list, epoch version, time_point now);
    static epoch reached(const std::deque<milestone>& list, time_point by);

    ownership_options options_;
    std::vector<voter_entry> voters_;
    std::vector<voter_entry> previous_voters_;
    std::map<instance_id, acknowledgement> acknowledged_;
    std::deque<milestone> fenced_;  // by majorities, rising
    std::deque<milestone> started_; // rising
};

} // namespace camphorrock
