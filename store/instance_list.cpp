#include "store/instance_list.hpp"

#include "codec/json_text.hpp"
#include "net/http_status.hpp"
#include "store/instance_json.hpp"

#include <utility>

namespace camphorrock
{
namespace
{

constexpr const char* list_target = "/instances";
constexpr int first_redirect = 300;

bool is_success(const exchange_result& got)
{
    return got.end == exchange_end::answered && got.answer.status >= http_status::ok &&
           got.answer.status < first_redirect;
}

http_request make_request(const char* method, std::string target)
{
    http_request made;
    made.method = method;
    made.target = std::move(target);
    return made;
}

std::string target_of(const instance_id& id)
{
    return std::string(list_target) + "/" + id.str();
}

std::optional<std::vector<instance_entry>> read_answer(const exchange_result& got)
{
    if (!is_success(got))
    {
        return std::nullopt;
    }
    const result<Json::Value> body = parse_json(got.answer.body);
    return body ? read_instances(*body) : std::nullopt;
}

} // namespace

void instance_list::read(callback done)
{
    http_.send(platform_,
               make_request("GET", list_target),
               {},
               [done = std::move(done)](const exchange_result& got)
               { done(read_answer(got)); });
}

void instance_list::enter(const instance_entry& self, std::function<void(bool)> done)
{
    http_request request = make_request("PUT", target_of(self.id));
    request.headers.add("Content-Type", "application/json");
    request.body = write_json(to_json(self));
    http_.send(platform_,
               std::move(request),
               {},
               [done = std::move(done)](const exchange_result& got)
               { done(is_success(got)); });
}

void instance_list::leave(const instance_id& self, std::function<void(bool)> done)
{
    http_.send(platform_,
               make_request("DELETE", target_of(self)),
               {},
               [done = std::move(done)](const exchange_result& got)
               { done(is_success(got)); });
}

} // namespace camphorrock
