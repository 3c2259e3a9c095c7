#pragma once

// One exchange as a libcurl easy handle: its set-up, its answer as it arrives, and how it
// ended.
//
// Invariant: the request goes out at most once. libcurl by itself repeats a request whose
// reused connection died before an answer came; here that ends the exchange as `cut`,
// unless no byte of the first attempt had been sent.

#include "net/http_client.hpp"

#include <curl/curl.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace camphorrock
{

struct curl_easy_deleter
{
    void operator()(CURL* raw) const
    {
        curl_easy_cleanup(raw);
    }
};

struct curl_list_deleter
{
    void operator()(curl_slist* raw) const
    {
        curl_slist_free_all(raw);
    }
};

using curl_easy = std::unique_ptr<CURL, curl_easy_deleter>;
using curl_list = std::unique_ptr<curl_slist, curl_list_deleter>;

// False for a request that would leave as something else: with a line break or zero byte
// in its method, target or headers, or a blank in its method or target.
bool is_sendable(const http_request& request);

class curl_exchange
{
public:
    using piece_callback = std::function<void(std::string_view)>;

    // `easy` is new or has been reset. The exchange must not move once it has been set
    // up.
    curl_exchange(exchange_id id,
                  curl_easy easy,
                  http_request request,
                  exchange_options options);

    curl_exchange(const curl_exchange&) = delete;
    curl_exchange& operator=(const curl_exchange&) = delete;

    // Fills the easy handle. `connections` must outlive every connection that it opens.
    // With `on_stored_piece`, the body is not kept: each piece is stored until
    // take_pieces(), and `on_stored_piece` is called within libcurl.
    void set_up(const endpoint& to,
                seconds max_idle,
                connection_count& connections,
                std::function<void()> on_stored_piece);

    // What the options say of connections: source, silence and closing. `client` must
    // outlive the exchange.
    void set_connection(const http_client_options& client);

    exchange_id id() const
    {
        return id_;
    }

    CURL* easy() const
    {
        return easy_.get();
    }

    // True once any byte of the request was handed to the operating system.
    bool has_sent() const;
    bool is_refused(CURLcode code) const;

    // The local port of the connection that the request went out on; 0 before.
    int local_port() const
    {
        return local_port_;
    }

    // The connection that was last opened for the exchange; -1 where none was.
    int opened_socket() const
    {
        return opened_socket_;
    }

    // Closes the connection at the end of the exchange.
    void forbid_reuse();

    // The end that libcurl reported, with the answer.
    exchange_result finish(CURLcode code);

    // The end by this program's own time limit.
    exchange_result time_out() const;

    // The part of a streamed body that arrived since the last call.
    std::string take_pieces();

    // Gives the easy handle back for another exchange, once libcurl has let go of it.
    curl_easy release();

private:
    static std::size_t
    on_header(const char* data, std::size_t size, std::size_t n, void* self);
    static std::size_t
    on_body(const char* data, std::size_t size, std::size_t n, void* self);
    static int on_request(void* self, char*, char*, int, int local_port);
    static curl_socket_t on_open_socket(void* self, curlsocktype, curl_sockaddr* address);
    static int on_close_socket(void* count, curl_socket_t fd);

    void note_connected();
    void set_method();
    void set_headers(const endpoint& to);
    bool take_bytes(std::size_t n);
    void add_line(std::string_view line);
    bool is_whole() const;

    exchange_id id_;
    curl_easy easy_;
    curl_list headers_;
    http_request request_;
    exchange_options options_;
    connection_count* connections_ = nullptr;
    const http_client_options* client_ = nullptr;
    std::function<void()> on_stored_piece_;
    std::string pieces_;
    http_response answer_;
    std::size_t answer_bytes_ = 0;
    bool is_too_large_ = false;
    bool has_headers_ = false;  // of the final answer
    bool is_requested_ = false; // libcurl has been about to send
    bool is_reused_ = false;
    int local_port_ = 0;
    int opened_socket_ = -1;
};

} // namespace camphorrock
