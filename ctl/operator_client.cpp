#include "ctl/operator_client.hpp"

#include "codec/json_text.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <optional>

namespace camphorrock
{
namespace
{

// Appends the error of one assigner.
void append_error(std::string& errors, const endpoint& assigner, const error& ec)
{
    errors += (errors.empty() ? "" : "; ") + assigner.str() + ": " + ec.text;
}

result<void> no_answer_error(const std::string& errors)
{
    return fail(error_code::unavailable, "no assigner answered: " + errors);
}

} // namespace

result<operator_answer> operator_client::send(const http_request& request,
                                              int try_next_status) const
{
    std::optional<operator_answer> last;
    std::string errors;
    for (const endpoint& it : options_.assigners)
    {
        value_or_handle(
            [&]() -> result<void>
            {
                BOOST_LEAF_ASSIGN(last, send_to(it, request));
                return {};
            },
            [&](const error& ec) { append_error(errors, it, ec); });
        if (last && last->status != try_next_status)
        {
            break;
        }
    }
    if (!last)
    {
        BOOST_LEAF_CHECK(no_answer_error(errors));
    }
    return *last;
}

result<std::vector<operator_answer>>
operator_client::send_to_all(const http_request& request) const
{
    std::vector<operator_answer> answers;
    std::string errors;
    for (const endpoint& it : options_.assigners)
    {
        value_or_handle(
            [&]() -> result<void>
            {
                BOOST_LEAF_AUTO(answer, send_to(it, request));
                answers.push_back(std::move(answer));
                return {};
            },
            [&](const error& ec) { append_error(errors, it, ec); });
    }
    if (answers.empty())
    {
        BOOST_LEAF_CHECK(no_answer_error(errors));
    }
    return answers;
}

result<operator_answer> operator_client::send_to(const endpoint& assigner,
                                                 const http_request& request) const
{
    BOOST_LEAF_AUTO(loop, event_loop::create());
    BOOST_LEAF_AUTO(http, http_client::create(*loop, {}));
    exchange_options options;
    options.timeout = options_.timeout;
    std::optional<exchange_result> ended;
    http->send(assigner,
               request,
               options,
               [&](exchange_result got)
               {
                   ended = std::move(got);
                   loop->stop();
               });
    loop->run();
    if (!ended || ended->end != exchange_end::answered)
    {
        exchange_end end = ended ? ended->end : exchange_end::not_connected;
        return fail(error_code::unavailable, std::string(name_of(end)));
    }
    operator_answer answer;
    answer.status = ended->answer.status;
    BOOST_LEAF_ASSIGN(answer.body, parse_json(ended->answer.body));
    return answer;
}

} // namespace camphorrock
