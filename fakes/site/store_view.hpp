#pragma once

// Another view of a site's store: the same items, but servers are listed at addresses of
// their own, such as those of relays to them.
//
//     store_view view(store);
//     view.set_address("s1", relay->bound());

#include "core/base/names.hpp"
#include "net/http_server.hpp"

#include <map>
#include <memory>
#include <string>

namespace camphorrock::fakes
{

class store_view : public http_handler
{
public:
    // `store` must outlive the view.
    explicit store_view(http_handler& store) : store_(store) {}

    // Lists the server of the id at the address.
    void set_address(const std::string& id, const endpoint& address);

    void handle(http_request request, std::shared_ptr<http_responder> responder) override;

private:
    http_handler& store_;
    // Shared with the responders of pending calls.
    std::shared_ptr<std::map<std::string, endpoint>> addresses_ =
        std::make_shared<std::map<std::string, endpoint>>();
};

} // namespace camphorrock::fakes
