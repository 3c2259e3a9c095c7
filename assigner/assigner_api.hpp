#pragma once

// The HTTP API of an assigner, on its peer port: JSON-RPC at POST /rpc for other
// instances, and these paths for camphorrock-ctl, with JSON bodies:
//
// clang-format off
//     GET  /operator/config                    the configuration
//     POST /operator/patch {base, id, patch}   200 {version}, 409 {version}, 400, 503
//     GET  /operator/status                    the state of the fleet
//     GET  /operator/explain?/SERVICE/KEY      421 if another assigner holds it
//     POST /operator/move {service, key, to}   202 (move planned), 421 as above
// clang-format on

#include "assigner/assigner_context.hpp"
#include "assigner/operator_view.hpp"
#include "net/http_server.hpp"
#include "net/rpc_server.hpp"
#include "store/config_agent.hpp"

#include <functional>

namespace camphorrock
{

class assigner_api : public http_handler
{
public:
    assigner_api(assigner_context& context,
                 const config_agent& config,
                 std::function<fleet_view()> view);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    // The methods served at POST /rpc; the owner adds those that need its state.
    rpc_server& rpc()
    {
        return rpc_;
    }

private:
    void handle_patch(const http_request& request,
                      const std::shared_ptr<http_responder>& responder);
    http_response handle_explain(const http_request& request) const;
    http_response handle_move(const http_request& request) const;

    assigner_context& context_;
    const config_agent& config_;
    std::function<fleet_view()> make_view_;
    rpc_server rpc_;
};

} // namespace camphorrock
