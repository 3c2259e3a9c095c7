#pragma once

// One exchange as a libcurl easy handle: its options, its answer as it arrives, and its
// result.
//
// Invariant: the request is sent at most once. By default, libcurl repeats a request
// whose reused connection breaks before an answer arrives. Here such an exchange ends as
// `connection_lost`, unless no byte of the first attempt had been sent.

#include "net/http_client.hpp"
#include "net/memory_budget.hpp"

#include <curl/curl.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
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

class curl_exchange
{
public:
    using piece_callback = std::function<void(std::string_view)>;

    // `easy` is new or has been reset. Counts the answer's bytes in `memory`, which must
    // outlive the exchange. The exchange must not move after set_options().
    curl_exchange(exchange_id id,
                  curl_easy easy,
                  http_request request,
                  exchange_options options,
                  memory_claim& memory);

    curl_exchange(const curl_exchange&) = delete;
    curl_exchange& operator=(const curl_exchange&) = delete;

    // Sets the easy handle's options for a request to `to`. `connections` must outlive
    // every connection that the exchange opens. With `on_stored_piece`, the body does not
    // become part of the answer: each piece is stored until take_pieces(), and
    // `on_stored_piece` is called from within libcurl.
    void set_options(const endpoint& to,
                     seconds max_idle,
                     endpoint_connections& connections,
                     std::function<void()> on_stored_piece);

    // Applies the client's connection options: source address, acknowledgement timeout
    // and reset on close. `client` must outlive the exchange.
    void set_connection_options(const http_client_options& client);

    // `is_in_time` is asked just before the request is sent. If it returns false, the
    // exchange ends as timed_out_before_send.
    void set_send_check(std::function<bool()> is_in_time);

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

    // True if `code` stands for a connection that the other host refused (ECONNREFUSED).
    bool is_connection_refused(CURLcode code) const;

    // The local port of the connection that carries the request; 0 until it is sent.
    int local_port() const
    {
        return local_port_;
    }

    // The descriptor of the connection last opened for the exchange; -1 if none was.
    int opened_socket() const
    {
        return opened_socket_;
    }

    // Closes the connection at the end of the exchange.
    void forbid_reuse();

    // The result of an exchange whose end libcurl reported as `code`.
    exchange_result finish(CURLcode code);

    // The result of an exchange that is ended by exchange_options::timeout.
    exchange_result time_out() const;

    // The result of an exchange that is ended because its answer takes too much memory.
    exchange_result give_up() const;

    // The part of a streamed body that arrived since the last call.
    std::string take_pieces();

    // Resets and returns the easy handle for another exchange. Call it after the handle
    // has been removed from its multi handle.
    curl_easy release();

private:
    static std::size_t
    on_header(const char* data, std::size_t size, std::size_t n, void* self);
    static std::size_t
    on_body(const char* data, std::size_t size, std::size_t n, void* self);
    static int on_request(void* self, char*, char*, int, int local_port);
    static curl_socket_t on_open_socket(void* self, curlsocktype, curl_sockaddr* address);
    static int on_close_socket(void* connections, curl_socket_t fd);

    std::optional<exchange_end> reason_not_to_send() const;
    void record_connected();
    void set_method();
    void set_headers(const endpoint& to);
    bool count_answer_bytes(std::size_t n);
    bool claim_stated_length();
    bool check_header_line(std::string_view line);
    void add_header_line(std::string_view line);
    bool may_have_body() const;
    bool is_answer_whole() const;

    exchange_id id_;
    curl_easy easy_;
    curl_list headers_;
    http_request request_;
    exchange_options options_;
    memory_claim* memory_;
    endpoint_connections* connections_ = nullptr;
    const http_client_options* client_ = nullptr;
    std::function<void()> on_stored_piece_;
    std::function<bool()> is_in_time_;
    std::optional<exchange_end> not_sent_because_; // empty unless on_request() refused
    std::string pieces_;
    http_response answer_;
    std::size_t head_bytes_ = 0;
    std::size_t answer_bytes_ = 0;
    bool is_too_large_ = false;
    bool is_http_1_0_ = false; // the current answer
    answer_fault fault_ = answer_fault::none;
    bool has_final_headers_ = false; // those of the final answer are complete
    bool is_send_attempted_ = false; // on_request() has been called
    bool is_reused_ = false;
    int local_port_ = 0;
    int opened_socket_ = -1;
};

} // namespace camphorrock
