#pragma once

// What an assigner answers on its peer port: JSON-RPC at POST /rpc for other instances,
// and for camphorrock-ctl, in JSON:
//
// clang-format off
//     GET  /operator/config                    the configuration
//     POST /operator/patch {base, id, patch}   200 {version}, 409 {version}, 400, 503
//     GET  /operator/status                    the fleet
//     GET  /operator/explain?/SERVICE/KEY      421 where another assigner holds it
//     POST /operator/move {service, key, to}   202, 421 as above
// clang-format on

#include "assigner/assigner_parts.hpp"
#include "assigner/operator_view.hpp"
#include "net/http_server.hpp"
#include "net/rpc_server.hpp"
#include "store/config_agent.hpp"

#include <functional>

namespace camphorrock
{

class operator_port : public http_handler
{
public:
    operator_port(assigner_parts& parts,
                  const config_agent& config,
                  std::function<fleet_view()> view);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

    rpc_server& rpc()
    {
        return rpc_;
    }

private:
    void patch(const http_request& request,
               const std::shared_ptr<http_responder>& responder);
    http_response explain(const http_request& request) const;
    http_response move(const http_request& request) const;

    assigner_parts& parts_;
    const config_agent& config_;
    std::function<fleet_view()> view_;
    rpc_server rpc_;
};

} // namespace camphorrock
