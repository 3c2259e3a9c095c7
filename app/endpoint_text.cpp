#include "app/endpoint_text.hpp"

#include "net/socket_address.hpp"

namespace camphorrock
{

bool is_endpoint_text(const std::string& text)
{
    return value_or_handle(
        [&]() -> result<bool>
        {
            BOOST_LEAF_CHECK(parse_address(endpoint(text)));
            return true;
        },
        [](const error&) { return false; });
}

bool is_ip_text(const std::string& text)
{
    return is_endpoint_text(text + ":0") || is_endpoint_text("[" + text + "]:0");
}

} // namespace camphorrock
