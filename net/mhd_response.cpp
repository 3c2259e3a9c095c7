#include "net/mhd_response.hpp"

#include "core/base/number_text.hpp"
#include "net/mhd_exchange.hpp"

#include <microhttpd.h>
#include <strings.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t stream_block_bytes = 4096;

constexpr const char* managed_headers[] = {
    "Connection", "Content-Length", "Keep-Alive", "Transfer-Encoding"};

bool is_managed_header(const std::string& name)
{
    return std::any_of(std::begin(managed_headers),
                       std::end(managed_headers),
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

ssize_t read_nothing(void*, std::uint64_t, char*, std::size_t)
{
    return MHD_CONTENT_READER_END_WITH_ERROR;
}

// For the answer to a HEAD request, which states a length but whose body is never read.
MHD_Response* make_bodiless(std::uint64_t length)
{
    return MHD_create_response_from_callback(
        length, stream_block_bytes, read_nothing, nullptr, nullptr);
}

std::optional<std::uint64_t> stated_length(const http_headers& headers)
{
    return parse_number<std::uint64_t>(headers.find("Content-Length").value_or(""));
}

using held_exchange = std::shared_ptr<mhd_exchange>;

ssize_t read_stream(void* held, std::uint64_t, char* buf, std::size_t max)
{
    return (*static_cast<held_exchange*>(held))->read_stream(buf, max);
}

void delete_exchange(void* held)
{
    delete static_cast<held_exchange*>(held);
}

void add_headers(MHD_Response* to, const http_headers& headers)
{
    for (const http_header& it : headers.all())
    {
        if (!is_managed_header(it.name))
        {
            // libmicrohttpd accepts no tabs; in a header's value, a space is equivalent.
            std::string value = it.value;
            std::replace(value.begin(), value.end(), '\t', ' ');
            MHD_add_response_header(to, it.name.c_str(), value.c_str());
        }
    }
}

} // namespace

void mhd_response_deleter::operator()(MHD_Response* raw) const
{
    MHD_destroy_response(raw);
}

mhd_response make_mhd_response(http_response answer, bool is_head, bool close_after)
{
    const std::optional<std::uint64_t> length =
        is_head ? stated_length(answer.headers) : std::nullopt;
    mhd_response made(length ? make_bodiless(*length) : make_raw(std::move(answer.body)));
    if (!made)
    {
        return made;
    }
    add_headers(made.get(), answer.headers);
    if (close_after)
    {
        MHD_add_response_header(made.get(), MHD_HTTP_HEADER_CONNECTION, "close");
    }
    return made;
}

mhd_response make_mhd_stream(const std::shared_ptr<mhd_exchange>& exchange)
{
    auto* held = new held_exchange(exchange);
    mhd_response made(MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, stream_block_bytes, read_stream, held, delete_exchange));
    if (made)
    {
        add_headers(made.get(), exchange->answer.headers);
    }
    return made;
}

} // namespace camphorrock
