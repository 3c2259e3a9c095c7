#include "assigner/patch_job.hpp"

#include "assigner/config_quorum_job.hpp"
#include "codec/configuration_json.hpp"
#include "codec/json_merge.hpp"
#include "store/config_agent.hpp"

namespace camphorrock
{

void patch_job::start(assigner_context& context,
                      patch_request request,
                      Json::Value patch,
                      callback done)
{
    std::shared_ptr<patch_job> job(
        new patch_job(context, std::move(request), std::move(patch), std::move(done)));
    job->carry_out(job->patcher_.start());
}

patch_job::patch_job(assigner_context& context,
                     patch_request request,
                     Json::Value patch,
                     callback done)
    : context_(context), request_(std::move(request)), patch_(std::move(patch)),
      done_(std::move(done)), patcher_(request_, {})
{
}

void patch_job::carry_out(const patch_action& action)
{
    switch (action.step)
    {
    case patch_step::read:
        read_configuration();
        return;
    case patch_step::swap:
        swap_configuration();
        return;
    case patch_step::answer:
        answer(action);
        return;
    }
}

// Reports `accepted` only once no router can continue to serve with an older version.
void patch_job::answer(const patch_action& action)
{
    if (action.end != patch_end::accepted)
    {
        finish({action.end, action.version, {}});
        return;
    }
    config_quorum_job::start(context_,
                             action.version,
                             [self = shared_from_this(), action](bool has_quorum)
                             {
                                 patch_end end = has_quorum ? patch_end::accepted
                                                            : patch_end::unknown;
                                 self->finish({end, action.version, {}});
                             });
}

void patch_job::read_configuration()
{
    context_.store.get(
        config_key,
        [self = shared_from_this()](const store_read& got)
        {
            bool is_read = value_or_handle(
                [&]() -> result<bool>
                {
                    self->current_ = {};
                    self->revision_ = {};
                    if (got.end == store_end::done && !got.entries.empty())
                    {
                        BOOST_LEAF_ASSIGN(self->current_,
                                          parse_configuration(got.entries.front().value));
                        self->revision_ = got.entries.front().revision;
                    }
                    return got.end == store_end::done;
                },
                [](const error&) { return false; });
            self->carry_out(self->patcher_.on_read(is_read ? &self->current_ : nullptr));
        });
}

void patch_job::swap_configuration()
{
    value_or_handle(
        [&]() -> result<void>
        {
            BOOST_LEAF_AUTO(next, patched_configuration(current_, request_, patch_));
            context_.store.compare_and_swap(
                config_key,
                revision_,
                configuration_text(next),
                store_lease{},
                [self = shared_from_this()](const store_write& got)
                { self->carry_out(self->patcher_.on_swap(got.end)); });
            return {};
        },
        [&](const error& ec) {
            finish({patch_end::unavailable, current_.version, ec.text});
        });
}

void patch_job::finish(patch_result ended)
{
    context_.log.write(event_id::patch_ended,
                       {{"patch", request_.id},
                        {"base", request_.base.value},
                        {"end", ended.fault.empty() ? name_of(ended.end) : "invalid"},
                        {"version", ended.version.value},
                        {"fault", ended.fault}});
    done_(ended);
}

} // namespace camphorrock
