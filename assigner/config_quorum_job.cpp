#include "assigner/config_quorum_job.hpp"

#include "codec/shard_record_json.hpp"
#include "core/ownership/record_keys.hpp"
#include "net/rpc_answer.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

// Routers read the store once a second, so this covers three reads.
constexpr duration quorum_timeout = seconds(3);
constexpr duration query_period = milliseconds(100);
constexpr duration query_timeout = milliseconds(250);

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

void config_quorum_job::start(assigner_context& context,
                              config_version version,
                              callback done)
{
    std::shared_ptr<config_quorum_job> job(
        new config_quorum_job(context, version, std::move(done)));
    job->timer_ = context.loop.every(query_period, [job] { job->send_queries(); });
    job->read_records();
}

config_quorum_job::config_quorum_job(assigner_context& context,
                                     config_version version,
                                     callback done)
    : context_(context), version_(version), done_(std::move(done)),
      deadline_(context.loop.now() + quorum_timeout)
{
}

// Reads the records after the version was written. A voter that only a later record names
// learns of the version with that record, since its assigner has read the store after
// that write.
void config_quorum_job::read_records()
{
    context_.store.get_prefix(shard_prefix,
                              store_page{},
                              [self = shared_from_this()](const store_read& got)
                              {
                                  if (got.end == store_end::done)
                                  {
                                      self->quorum_.emplace(self->version_,
                                                            records_of(got.entries));
                                      self->send_queries();
                                  }
                              });
}

void config_quorum_job::send_queries()
{
    if (!done_)
    {
        return;
    }
    bool has_quorum = quorum_ && quorum_->has_quorum();
    if (has_quorum || context_.loop.now() >= deadline_)
    {
        finish(has_quorum);
        return;
    }
    if (quorum_)
    {
        for (const config_quorum::voter_query& it : quorum_->pending_queries())
        {
            send_query(it);
        }
    }
}

void config_quorum_job::send_query(const config_quorum::voter_query& query)
{
    context_.rpc.call(
        query.voter.peer,
        "shard.vouch",
        write_message(lease_vote_params{query.shard, query.version}),
        query_timeout,
        [self = shared_from_this(), id = query.voter.id](const rpc_result& got)
        {
            std::optional<lease_vote_answer> answer = read_answer<lease_vote_answer>(got);
            if (!answer || !self->done_)
            {
                return;
            }
            self->quorum_->on_voter_version(id, answer->config);
            if (self->quorum_->has_quorum())
            {
                self->finish(true);
            }
        });
}

void config_quorum_job::finish(bool has_quorum)
{
    callback done = std::exchange(done_, nullptr);
    timer_.reset();
    done(has_quorum);
}

} // namespace camphorrock
