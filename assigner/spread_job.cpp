#include "assigner/spread_job.hpp"

#include "codec/shard_record_json.hpp"
#include "core/ownership/record_keys.hpp"
#include "net/rpc_answer.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

// Routers read the store each second.
constexpr duration longest_wait = seconds(3);
constexpr duration ask_period = milliseconds(100);
constexpr duration ask_timeout = milliseconds(250);

constexpr const char* record_suffix = "/record";

std::vector<shard_record> records_of(const std::vector<store_entry>& entries)
{
    std::vector<shard_record> records;
    for (const store_entry& it : entries)
    {
        if (!it.key.ends_with(record_suffix))
        {
            continue;
        }
        value_or_handle(
            [&]() -> result<void>
            {
                BOOST_LEAF_AUTO(record, parse_shard_record(it.value));
                records.push_back(std::move(record));
                return {};
            },
            [](const error&) {});
    }
    return records;
}

} // namespace

void spread_job::start(assigner_parts& parts, config_version version, callback done)
{
    std::shared_ptr<spread_job> job(new spread_job(parts, version, std::move(done)));
    job->timer_ = parts.loop.every(ask_period, [job] { job->ask(); });
    job->read_records();
}

spread_job::spread_job(assigner_parts& parts, config_version version, callback done)
    : parts_(parts), version_(version), done_(std::move(done)),
      give_up_at_(parts.loop.now() + longest_wait)
{
}

// After the version was written, so that voters named later learn of it from a record of
// an assigner that has read the store since.
void spread_job::read_records()
{
    parts_.store.get_prefix(shard_prefix,
                            store_page{},
                            [self = shared_from_this()](const store_read& got)
                            {
                                if (got.end == store_end::done)
                                {
                                    self->spread_.emplace(self->version_,
                                                          records_of(got.entries));
                                    self->ask();
                                }
                            });
}

void spread_job::ask()
{
    if (!done_)
    {
        return;
    }
    bool has_quorum = spread_ && spread_->has_quorum();
    if (has_quorum || parts_.loop.now() >= give_up_at_)
    {
        finish(has_quorum);
        return;
    }
    if (spread_)
    {
        for (const config_quorum::voter_query& it : spread_->pending_queries())
        {
            ask(it);
        }
    }
}

void spread_job::ask(const config_quorum::voter_query& voter_query)
{
    parts_.rpc.call(
        voter_query.voter.peer,
        "shard.vouch",
        write_message(lease_vote_params{voter_query.shard, voter_query.version}),
        ask_timeout,
        [self = shared_from_this(), id = voter_query.voter.id](const rpc_result& got)
        {
            std::optional<lease_vote_answer> answer = read_answer<lease_vote_answer>(got);
            if (!answer || !self->done_)
            {
                return;
            }
            self->spread_->on_voter_version(id, answer->config);
            if (self->spread_->has_quorum())
            {
                self->finish(true);
            }
        });
}

void spread_job::finish(bool has_quorum)
{
    callback done = std::exchange(done_, nullptr);
    timer_.reset();
    done(has_quorum);
}

} // namespace camphorrock
