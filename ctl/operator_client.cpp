#include "ctl/operator_client.hpp"

#include "codec/json_text.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <optional>

namespace camphorrock
{
namespace
{

// Adds what went wrong with one assigner to the list of faults.
void add_fault(std::string& faults, const endpoint& assigner, const error& ec)
{
    faults += (faults.empty() ? "" : "; ") + assigner.str() + ": " + ec.text;
}

result<void> none_answered(const std::string& faults)
{
    return fail(error_code::unavailable, "no assigner answered: " + faults);
}

} // namespace

result<operator_answer> operator_client::ask(const http_request& request,
                                             int elsewhere) const
{
    std::optional<operator_answer> last;
    std::string faults;
    for (const endpoint& it : options_.assigners)
    {
        value_or_handle(
            [&]() -> result<void>
            {
                BOOST_LEAF_ASSIGN(last, ask_one(it, request));
                return {};
            },
            [&](const error& ec) { add_fault(faults, it, ec); });
        if (last && last->status != elsewhere)
        {
            break;
        }
    }
    if (!last)
    {
        BOOST_LEAF_CHECK(none_answered(faults));
    }
    return *last;
}

result<std::vector<operator_answer>>
operator_client::ask_all(const http_request& request) const
{
    std::vector<operator_answer> answers;
    std::string faults;
    for (const endpoint& it : options_.assigners)
    {
        value_or_handle(
            [&]() -> result<void>
            {
                BOOST_LEAF_AUTO(answer, ask_one(it, request));
                answers.push_back(std::move(answer));
                return {};
            },
            [&](const error& ec) { add_fault(faults, it, ec); });
    }
    if (answers.empty())
    {
        BOOST_LEAF_CHECK(none_answered(faults));
    }
    return answers;
}

result<operator_answer> operator_client::ask_one(const endpoint& assigner,
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
