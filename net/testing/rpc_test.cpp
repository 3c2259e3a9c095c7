#include "net/rpc_client.hpp"
#include "net/rpc_server.hpp"
#include "net/testing/loop_fixture.hpp"
#include "net/testing/raw_listener.hpp"
#include "testing/test_headers.hpp"

using namespace camphorrock;
using camphorrock::testing::loop_fixture;
using camphorrock::testing::raw_listener;
using camphorrock::testing::raw_peer;

namespace
{

result<Json::Value> divide(const Json::Value& params)
{
    if (!params["a"].isInt() || !params["b"].isInt())
    {
        return fail(error_code::invalid_argument, "a and b must be numbers");
    }
    if (params["b"].asInt() == 0)
    {
        return fail(error_code::conflict, "division by zero");
    }
    return Json::Value(params["a"].asInt() / params["b"].asInt());
}

Json::Value make_params(int a, int b)
{
    Json::Value made;
    made["a"] = a;
    made["b"] = b;
    return made;
}

} // namespace

TEST_CASE("a remote call returns the method's result or its error")
{
    rpc_server rpc;
    rpc.add("divide", divide);
    loop_fixture net(
        [&](const http_request& request, const std::shared_ptr<http_responder>& responder)
        {
            responder->respond({200, {}, rpc.dispatch(request.body)});
        });
    rpc_client client(*net.client);
    std::vector<rpc_result> got;
    auto call = [&](const std::string& method, const Json::Value& params)
    {
        got.clear();
        client.call(net.server->bound(),
                    method,
                    params,
                    seconds(5),
                    [&](rpc_result it) { got.push_back(std::move(it)); });
        CHECK(got.empty());
        net.run_until([&] { return !got.empty(); });
        return got[0];
    };

    SECTION("a result")
    {
        const rpc_result it = call("divide", make_params(6, 2));
        CHECK(it.end == rpc_end::answered);
        CHECK(it.value.asInt() == 3);
    }

    SECTION("errors, by their code")
    {
        rpc_result it = call("divide", Json::Value(Json::objectValue));
        CHECK(it.end == rpc_end::refused);
        CHECK(it.code == -32602);
        it = call("divide", make_params(1, 0));
        CHECK(it.code == -32000 - static_cast<int>(error_code::conflict));
        CHECK(it.text.find("division by zero") != std::string::npos);
        CHECK(call("multiply", make_params(1, 1)).code == -32601);
    }

    SECTION("a batch, in the order of its calls")
    {
        client.batch(net.server->bound(),
                     {{"divide", make_params(4, 2)},
                      {"divide", make_params(4, 0)},
                      {"none", make_params(1, 1)}},
                     seconds(5),
                     [&](std::vector<rpc_result> it) { got = std::move(it); });
        net.run_until([&] { return !got.empty(); });
        REQUIRE(got.size() == 3);
        CHECK(got[0].value.asInt() == 2);
        CHECK(got[1].end == rpc_end::refused);
        CHECK(got[2].code == -32601);
    }

    SECTION("nothing listens")
    {
        client.call(endpoint("127.0.0.1:1"),
                    "divide",
                    make_params(1, 1),
                    seconds(5),
                    [&](rpc_result it) { got.push_back(std::move(it)); });
        net.run_until([&] { return !got.empty(); });
        CHECK(got[0].end == rpc_end::connection_refused);
    }
}

TEST_CASE("a body that is not a JSON-RPC answer counts as no answer")
{
    raw_listener listener;
    loop_fixture net;
    rpc_client client(*net.client);
    std::vector<rpc_result> got;
    auto keep = [&](rpc_result it)
    {
        got.push_back(std::move(it));
    };
    client.call(listener.bound(), "divide", make_params(1, 1), seconds(5), keep);
    std::unique_ptr<raw_peer> peer;
    net.run_until([&] { return (peer = listener.accept()) != nullptr; });
    const std::string status = GENERATE("200 OK", "500 Oops");
    const std::string body = GENERATE(as<std::string>(),
                                      "",
                                      "nonsense",
                                      "[]",
                                      R"({"id":1,"jsonrpc":"2.0"})",
                                      R"({"id":7,"jsonrpc":"2.0","result":1})",
                                      R"({"id":"1","jsonrpc":"2.0","result":1})");
    INFO(status << " " << body);
    peer->send("HTTP/1.1 " + status +
               "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    net.run_until([&] { return !got.empty(); });
    CHECK(got[0].end == rpc_end::no_answer);
    CHECK_FALSE(got[0].text.empty());
}

TEST_CASE("a body that is not a JSON-RPC request is answered with an error")
{
    rpc_server rpc;
    rpc.add("divide", divide);

    SECTION("common malformed requests")
    {
        CHECK(rpc.dispatch("{").find("-32700") != std::string::npos);
        CHECK(rpc.dispatch("[]").find("-32600") != std::string::npos);
        CHECK(rpc.dispatch("1").find("-32600") != std::string::npos);
        CHECK(rpc.dispatch(std::string(100000, '[')).find("error") != std::string::npos);
        CHECK(rpc.dispatch(R"({"jsonrpc":"2.0","method":1,"id":1})").find("-32600") !=
              std::string::npos);
        CHECK(rpc.dispatch(R"({"jsonrpc":"2.0","method":"divide","id":1,"params":[1]})")
                  .find("error") != std::string::npos);
    }

    rc::prop(
        "a randomly corrupted request",
        [&]
        {
            std::string body =
                R"({"jsonrpc":"2.0","method":"divide","id":1,"params":{"a":1,"b":1}})";
            const auto at = *rc::gen::inRange<std::size_t>(0, body.size());
            body.replace(at, 1, *rc::gen::arbitrary<std::string>());
            RC_ASSERT(!rpc.dispatch(body).empty());
        });
}
