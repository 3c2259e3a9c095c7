#include "store/store_client.hpp"

#include "store/etcd_caller.hpp"
#include "store/etcd_json.hpp"
#include "store/etcd_watch.hpp"

#include <random>
#include <utility>

namespace camphorrock
{
namespace
{

store_end to_store_end(call_end end)
{
    return end == call_end::no_answer ? store_end::unknown : store_end::failed;
}

// Converts a call's answer. Ends in `unknown` if the answer is malformed, since the call
// may have taken effect.
template<class Answer, class Read>
Answer read_as(const call_answer& got, Read read)
{
    Answer made;
    if (got.end != call_end::answered)
    {
        made.end = to_store_end(got.end);
        return made;
    }
    std::optional<Answer> answer = read(got.body);
    if (!answer)
    {
        made.end = store_end::unknown;
        return made;
    }
    return std::move(*answer);
}

class etcd_client : public store_client
{
public:
    etcd_client(event_loop& loop, http_client& http, store_client_options options)
        : random_(options.seed),
          caller_(std::make_shared<etcd_caller>(loop, http, std::move(options)))
    {
    }

    void get(const std::string& key, read_callback done) override
    {
        read(make_range(key), std::move(done));
    }

    void get_prefix(const std::string& prefix,
                    const store_page& page,
                    read_callback done) override
    {
        read(make_page_range(prefix, page), std::move(done));
    }

    void compare_and_swap(const std::string& key,
                          store_revision expected,
                          std::string value,
                          store_lease lease,
                          write_callback done) override
    {
        write(make_swap(key, expected, value, lease), std::move(done));
    }

    void compare_and_delete(const std::string& key,
                            store_revision expected,
                            write_callback done) override
    {
        write(make_delete(key, expected), std::move(done));
    }

    void grant_lease(duration time_to_live, lease_callback done) override
    {
        call_lease(
            etcd_target::lease_grant, make_lease_grant(time_to_live), std::move(done));
    }

    void keep_alive(store_lease lease, lease_callback done) override
    {
        call_lease(etcd_target::lease_keepalive, make_lease_call(lease), std::move(done));
    }

    void revoke_lease(store_lease lease, lease_callback done) override
    {
        caller_->call(etcd_target::lease_revoke,
                      make_lease_call(lease),
                      etcd_call_kind::write,
                      [lease, done = std::move(done)](const call_answer& got)
                      {
                          store_lease_grant made;
                          made.lease = lease;
                          made.end = got.end == call_end::answered
                                         ? store_end::done
                                         : to_store_end(got.end);
                          done(made);
                      });
    }

    watch_handle
    watch(const std::string& prefix, watch_start from, watch_callback on_changes) override
    {
        auto made = std::make_shared<etcd_watch>(
            caller_, prefix, from, std::move(on_changes), random_());
        return made->start();
    }

private:
    void read(const Json::Value& body, read_callback done)
    {
        caller_->call(etcd_target::range,
                      body,
                      etcd_call_kind::read,
                      [done = std::move(done)](const call_answer& got)
                      { done(read_as<store_read>(got, read_range)); });
    }

    void write(const Json::Value& body, write_callback done)
    {
        caller_->call(etcd_target::txn,
                      body,
                      etcd_call_kind::write,
                      [done = std::move(done)](const call_answer& got)
                      { done(read_as<store_write>(got, read_txn)); });
    }

    void call_lease(const char* target, const Json::Value& body, lease_callback done)
    {
        caller_->call(target,
                      body,
                      etcd_call_kind::write,
                      [done = std::move(done)](const call_answer& got)
                      { done(read_as<store_lease_grant>(got, read_lease)); });
    }

    std::mt19937_64 random_;
    std::shared_ptr<etcd_caller> caller_;
};

} // namespace

result<std::unique_ptr<store_client>>
create_store_client(event_loop& loop, http_client& http, store_client_options options)
{
    if (options.endpoints.empty())
    {
        return fail(error_code::invalid_argument,
                    "the store client needs at least one endpoint");
    }
    return std::make_unique<etcd_client>(loop, http, std::move(options));
}

} // namespace camphorrock
