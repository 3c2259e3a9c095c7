#include "codec/json_text.hpp"
#include "fakes/site/once_trial.hpp"
#include "net/http_client.hpp"
#include "net/pipelined_server.hpp"
#include "net/testing/read_peer.hpp"
#include "store/base64.hpp"
#include "testing/test_headers.hpp"

#include <json/value.h>

using namespace camphorrock;
using namespace camphorrock::testing;

namespace
{

// A gateway that passes each request on to one server and takes the first answer on the
// connection for that of the request.
class credulous_gateway : public http_handler
{
public:
    explicit credulous_gateway(event_loop& loop)
        : client(http_client::create(loop, {.max_connections_per_endpoint = 1}).value())
    {
        pipelined_server_options options;
        options.common.address = endpoint("127.0.0.1:0");
        port = create_pipelined_server(loop, options, *this).value();
    }

    void handle(http_request request, std::shared_ptr<http_responder> responder) override
    {
        client->send(server,
                     std::move(request),
                     {},
                     [responder](exchange_result got)
                     {
                         if (got.end == exchange_end::answered)
                         {
                             responder->respond(std::move(got.answer));
                             return;
                         }
                         responder->abort();
                     });
    }

    endpoint server;
    std::unique_ptr<http_client> client;
    std::unique_ptr<http_server> port;
};

struct trial_fixture
{
    trial_fixture()
        : loop(event_loop::create().value()), gateway(*loop),
          log(event_log::to_stderr("once_trial_test", severity::error))
    {
        options.gateways = {gateway.port->bound()};
        options.servers = 1;
        options.work = milliseconds(1);
        options.callers = 1;
    }

    void start()
    {
        trial = fakes::once_trial::create(*loop, options, *log).value();
        gateway.server = address_at(trial->store_address());
        trial->start_callers();
    }

    // The address of server s1, as the store at the address says it.
    endpoint address_at(const endpoint& store)
    {
        std::optional<exchange_result> got;
        gateway.client->send(store,
                             {"GET", "/camphorrock/kv-key?key=servers/s1", {}, ""},
                             {},
                             [&](exchange_result it) { got = std::move(it); });
        run_until(*loop, [&] { return got.has_value(); });
        const Json::Value item = parse_json(got->answer.body).value();
        const Json::Value entry =
            parse_json(parse_base64(item["value"].asString()).value()).value();
        return endpoint(entry["address"].asString());
    }

    // Ends the trial once that many requests have been answered.
    fakes::once_report report_after(std::size_t requests)
    {
        run_until(*loop, [&] { return trial->report().count.requests >= requests; });
        trial->stop_callers();
        run_until(*loop, [&] { return trial->in_flight() == 0; });
        return trial->report();
    }

    std::unique_ptr<event_loop> loop;
    credulous_gateway gateway;
    std::unique_ptr<event_log> log;
    fakes::once_trial_options options;
    std::unique_ptr<fakes::once_trial> trial;
};

} // namespace

TEST_CASE("a trial finds a gateway that takes the copy of a refusal for an answer")
{
    trial_fixture fixture;
    fixture.options.refuse_share = 0.5;
    fixture.start();
    const fakes::once_report got = fixture.report_after(40);
    CHECK(got.copies > 0);
    CHECK(got.count.mixed_up > 0);
    CHECK_FALSE(got.count.is_kept());
    CHECK_FALSE(got.traces.empty());
}

TEST_CASE("without copies and statuses after a run, nothing is found")
{
    trial_fixture fixture;
    fixture.options.refuse_share = 0.5;
    fixture.options.copy_share = 0;
    fixture.start();
    const fakes::once_report got = fixture.report_after(40);
    CHECK(got.copies == 0);
    CHECK(got.count.answered_refused > 0);
    CHECK(got.count.answered_ok > 0);
    CHECK(got.count.is_kept());
    CHECK(got.traces.empty());
}

TEST_CASE("a trial finds a status that promises 'not run' after a run")
{
    trial_fixture fixture;
    fixture.options.run_status_share = 1;
    fixture.options.run_statuses = {429};
    fixture.start();
    const fakes::once_report got = fixture.report_after(5);
    CHECK(got.count.refused_and_ran == got.count.requests);
}

TEST_CASE("pipelined requests of a caller are all answered, in their order")
{
    trial_fixture fixture;
    fixture.options.depth = 4;
    fixture.start();
    const fakes::once_report got = fixture.report_after(20);
    CHECK(got.count.answered_ok == got.count.requests);
    CHECK(got.count.is_kept());
}

TEST_CASE("servers of one address take turns there and refuse requests for the others")
{
    trial_fixture fixture;
    fixture.options.ids_at_address = 2;
    fixture.options.take_over = {milliseconds(10), milliseconds(20)};
    fixture.start();
    CHECK(fixture.report_after(20).count.answered_ok > 0);
}

TEST_CASE("the relayed store lists the servers at the addresses of their relays")
{
    trial_fixture fixture;
    fixture.options.relayed_store_address = endpoint("127.0.0.1:0");
    fixture.start();
    const endpoint relayed = fixture.address_at(fixture.trial->relayed_store_address());
    CHECK(relayed != fixture.gateway.server);
    fixture.gateway.server = relayed;
    const fakes::once_report got = fixture.report_after(10);
    CHECK(got.count.answered_ok > 0);
}
