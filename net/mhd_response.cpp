#include "net/mhd_response.hpp"

#include <microhttpd.h>
#include <strings.h>

#include <algorithm>
#include <string>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr const char* own_headers[] = {
    "Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding"};

bool is_own_header(const std::string& name)
{
    return std::any_of(std::begin(own_headers),
                       std::end(own_headers),
                       [&](const char* it) { return strcasecmp(it, name.c_str()) == 0; });
}

void delete_body(void* body)
{
    delete static_cast<std::string*>(body);
}

MHD_Response* make_raw(std::string body)
{
    auto* held = new std::string(std::move(body));
    return MHD_create_response_from_buffer_with_free_callback_cls(
        held->size(), held->data(), delete_body, held);
}

} // namespace

void mhd_response_deleter::operator()(MHD_Response* raw) const
{
    MHD_destroy_response(raw);
}

mhd_response make_mhd_response(http_response answer, bool close_after)
{
    mhd_response made(make_raw(std::move(answer.body)));
    if (!made)
    {
        return made;
    }
    for (const http_header& it : answer.headers.all())
    {
        if (!is_own_header(it.name))
        {
            MHD_add_response_header(made.get(), it.name.c_str(), it.value.c_str());
        }
    }
    if (close_after)
    {
        MHD_add_response_header(made.get(), MHD_HTTP_HEADER_CONNECTION, "close");
    }
    return made;
}

} // namespace camphorrock
