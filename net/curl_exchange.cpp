#include "net/curl_exchange.hpp"

#include "core/base/number_text.hpp"
#include "net/answer_check.hpp"
#include "net/answer_line_check.hpp"
#include "net/http_status.hpp"
#include "net/request_text.hpp"
#include "net/socket_options.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdint>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr int first_final_status = 200;

void append(curl_list& list, const std::string& line)
{
    curl_slist* longer = curl_slist_append(list.get(), line.c_str());
    if (longer != nullptr)
    {
        static_cast<void>(list.release());
        list.reset(longer);
    }
}

std::string_view trim(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

} // namespace

curl_exchange::curl_exchange(exchange_id id,
                             curl_easy easy,
                             http_request request,
                             exchange_options options,
                             memory_claim& memory)
    : id_(id), easy_(std::move(easy)), request_(std::move(request)),
      options_(std::move(options)), memory_(&memory)
{
}

void curl_exchange::set_options(const endpoint& to,
                                seconds max_idle,
                                endpoint_connections& connections,
                                std::function<void()> on_stored_piece)
{
    CURL* easy = easy_.get();
    connections_ = &connections;
    on_stored_piece_ = std::move(on_stored_piece);
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + to.str() + "/").c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, request_.target.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(
        easy,
        CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(
            std::chrono::ceil<milliseconds>(options_.connect_timeout).count()));
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(max_idle.count()));
    const long is_fresh = options_.connection == connection_choice::fresh ? 1 : 0;
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, is_fresh);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &curl_exchange::on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &curl_exchange::on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &curl_exchange::on_request);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &curl_exchange::on_open_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &curl_exchange::on_close_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, connections_);
    set_method();
    set_headers(to);
}

void curl_exchange::set_connection_options(const http_client_options& client)
{
    client_ = &client;
    if (!client.source.empty())
    {
        curl_easy_setopt(
            easy_.get(), CURLOPT_INTERFACE, ("host!" + client.source).c_str());
    }
}

void curl_exchange::set_send_check(std::function<bool()> is_in_time)
{
    is_in_time_ = std::move(is_in_time);
}

void curl_exchange::set_method()
{
    CURL* easy = easy_.get();
    if (request_.method == "HEAD")
    {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (states_length(request_))
    {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request_.content().data());
        curl_easy_setopt(easy,
                         CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request_.content().size()));
    }
    else
    {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void curl_exchange::set_headers(const endpoint& to)
{
    const std::optional<std::string_view> host = request_.headers.find("Host");
    append(headers_, "Host: " + (host ? std::string(*host) : to.str()));
    append(headers_, "Expect:");
    if (!request_.headers.find("Accept"))
    {
        append(headers_, "Accept:");
    }
    if (!request_.headers.find("Content-Type"))
    {
        append(headers_, "Content-Type:");
    }
    for (const http_header& it : request_.headers.all())
    {
        if (!is_managed_header(it.name))
        {
            // libcurl sends a header without a value only if it is given as "Name;".
            append(headers_,
                   it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
        }
    }
    curl_easy_setopt(easy_.get(), CURLOPT_HTTPHEADER, headers_.get());
}

bool curl_exchange::has_sent() const
{
    long head_bytes = 0;
    curl_off_t body_bytes = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_REQUEST_SIZE, &head_bytes);
    curl_easy_getinfo(easy_.get(), CURLINFO_SIZE_UPLOAD_T, &body_bytes);
    return head_bytes > 0 || body_bytes > 0;
}

exchange_result curl_exchange::finish(CURLcode code)
{
    exchange_result made;
    made.is_connection_reused = is_reused_;
    if (not_sent_because_)
    {
        made.end = *not_sent_because_;
    }
    else if (is_too_large_)
    {
        made = give_up();
    }
    else if (fault_ != answer_fault::none)
    {
        made.end = exchange_end::invalid_answer;
        made.fault = fault_;
    }
    else if (code == CURLE_OK && is_answer_whole())
    {
        made.end = exchange_end::answered;
        made.answer = std::move(answer_);
    }
    else
    {
        made.end =
            has_sent() ? exchange_end::connection_lost : exchange_end::not_connected;
        made.is_connection_refused =
            made.end == exchange_end::not_connected && is_connection_refused(code);
    }
    return made;
}

bool curl_exchange::is_connection_refused(CURLcode code) const
{
    long ec = 0;
    curl_easy_getinfo(easy_.get(), CURLINFO_OS_ERRNO, &ec);
    return code == CURLE_COULDNT_CONNECT && ec == ECONNREFUSED;
}

exchange_result curl_exchange::time_out() const
{
    exchange_result made;
    made.is_connection_reused = is_reused_;
    made.end = has_sent() ? exchange_end::timed_out : exchange_end::timed_out_before_send;
    return made;
}

exchange_result curl_exchange::give_up() const
{
    exchange_result made;
    made.is_connection_reused = is_reused_;
    made.end = exchange_end::too_large;
    made.answer_bytes = answer_bytes_;
    return made;
}

std::string curl_exchange::take_pieces()
{
    return std::exchange(pieces_, {});
}

void curl_exchange::forbid_reuse()
{
    curl_easy_setopt(easy_.get(), CURLOPT_FORBID_REUSE, 1L);
}

curl_easy curl_exchange::release()
{
    // With the exchange, libcurl closes its connection if nothing was sent on it.
    connections_->connecting.erase(opened_socket_);
    curl_easy_reset(easy_.get());
    return std::move(easy_);
}

std::size_t
curl_exchange::on_header(const char* data, std::size_t size, std::size_t n, void* self)
{
    auto* it = static_cast<curl_exchange*>(self);
    it->head_bytes_ += size * n;
    it->is_too_large_ = it->head_bytes_ > it->options_.max_head_bytes;
    if (it->is_too_large_ || !it->count_answer_bytes(size * n))
    {
        return 0;
    }
    const std::string_view line(data, size * n);
    if (!it->check_header_line(line))
    {
        return 0;
    }
    it->add_header_line(line);
    return it->fault_ == answer_fault::none && it->claim_stated_length() ? size * n : 0;
}

std::size_t
curl_exchange::on_body(const char* data, std::size_t size, std::size_t n, void* self)
{
    auto* it = static_cast<curl_exchange*>(self);
    if (it->on_stored_piece_)
    {
        it->pieces_.append(data, size * n);
        it->on_stored_piece_();
        return size * n;
    }
    if (!it->count_answer_bytes(size * n))
    {
        return 0;
    }
    it->answer_.body.append(data, size * n);
    return size * n;
}

// The end of an exchange whose request must not be sent any more.
std::optional<exchange_end> curl_exchange::reason_not_to_send() const
{
    if (!is_in_time_())
    {
        return exchange_end::timed_out_before_send;
    }
    if (options_.is_wanted && !options_.is_wanted())
    {
        return exchange_end::withdrawn;
    }
    return std::nullopt;
}

// Called by libcurl each time it is about to send the request. Aborts a second attempt if
// bytes of the first have been sent, and a first one that came too late.
int curl_exchange::on_request(void* self, char*, char*, int, int local_port)
{
    auto* it = static_cast<curl_exchange*>(self);
    if (it->is_send_attempted_ && it->has_sent())
    {
        return CURL_PREREQFUNC_ABORT;
    }
    it->not_sent_because_ = it->reason_not_to_send();
    if (it->not_sent_because_)
    {
        return CURL_PREREQFUNC_ABORT;
    }
    long connects = 0;
    curl_easy_getinfo(it->easy(), CURLINFO_NUM_CONNECTS, &connects);
    it->is_send_attempted_ = true;
    it->is_reused_ = connects == 0;
    it->local_port_ = local_port;
    it->record_connected();
    return CURL_PREREQFUNC_OK;
}

// Counts the connection that was opened for the exchange, if any, as one in use.
void curl_exchange::record_connected()
{
    if (connections_->connecting.erase(opened_socket_) > 0)
    {
        connections_->connected.insert(opened_socket_);
    }
}

// Called by libcurl for each connection that it is about to open. Opens none over the
// endpoint's limit, nor for a second attempt if bytes of the first have been sent.
curl_socket_t
curl_exchange::on_open_socket(void* self, curlsocktype, curl_sockaddr* address)
{
    auto* it = static_cast<curl_exchange*>(self);
    endpoint_connections& connections = *it->connections_;
    const bool is_second_attempt = it->is_send_attempted_ && it->has_sent();
    if (is_second_attempt || connections.open() >= connections.limit.open)
    {
        return CURL_SOCKET_BAD;
    }
    const int fd =
        socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    if (fd >= 0)
    {
        connections.connecting.insert(fd);
        it->opened_socket_ = fd;
        set_socket_options(fd, *it->client_);
    }
    return fd;
}

// Called by libcurl for each connection that it closes, possibly after the exchange.
int curl_exchange::on_close_socket(void* connections, curl_socket_t fd)
{
    auto* it = static_cast<endpoint_connections*>(connections);
    it->connecting.erase(fd);
    it->connected.erase(fd);
    return ::close(fd);
}

bool curl_exchange::count_answer_bytes(std::size_t n)
{
    answer_bytes_ += n;
    memory_->add(n);
    is_too_large_ = answer_bytes_ > options_.max_answer_bytes;
    return !is_too_large_;
}

// Once the final headers are complete: returns false if the body will exceed the bounds.
bool curl_exchange::claim_stated_length()
{
    const bool is_bounded = has_final_headers_ && may_have_body() && !on_stored_piece_;
    if (!is_bounded)
    {
        return true;
    }
    const std::string_view text = answer_.headers.find("Content-Length").value_or("");
    const auto length = parse_number<std::uint64_t>(text).value_or(0);
    const std::size_t size = stated_size(answer_bytes_, length);
    is_too_large_ = size > options_.max_answer_bytes;
    answer_bytes_ = is_too_large_ ? size : answer_bytes_;
    return !is_too_large_;
}

// libcurl passes lines on that end with a line feed alone or have no valid name.
bool curl_exchange::check_header_line(std::string_view line)
{
    const bool is_status = line.starts_with("HTTP/");
    answer_line_check check(is_status ? answer_line::status : answer_line::field);
    const bool is_valid = check.add(line) == line.size();
    fault_ = is_valid || has_final_headers_ ? fault_ : check.fault();
    return fault_ == answer_fault::none;
}

// A status line starts a new answer, which discards interim ones (1xx). Lines after the
// final headers are trailers and are ignored.
void curl_exchange::add_header_line(std::string_view line)
{
    if (has_final_headers_)
    {
        return;
    }
    if (line.starts_with("HTTP/"))
    {
        long status = 0;
        curl_easy_getinfo(easy_.get(), CURLINFO_RESPONSE_CODE, &status);
        answer_ = http_response{static_cast<int>(status), {}, {}};
        is_http_1_0_ = line.starts_with("HTTP/1.0");
        return;
    }
    const std::size_t colon = line.find(':');
    if (trim(line).empty())
    {
        has_final_headers_ = answer_.status >= first_final_status;
        fault_ = check_answer(answer_.status, is_http_1_0_, answer_.headers);
    }
    else if (colon != std::string_view::npos)
    {
        answer_.headers.add(std::string(trim(line.substr(0, colon))),
                            std::string(trim(line.substr(colon + 1))));
    }
}

bool curl_exchange::may_have_body() const
{
    return request_.method != "HEAD" && answer_.status != http_status::no_content &&
           answer_.status != http_status::not_modified;
}

// An answer that states neither length nor encoding ends where the connection closes, so
// its body may be truncated.
bool curl_exchange::is_answer_whole() const
{
    if (!may_have_body())
    {
        return has_final_headers_;
    }
    return has_final_headers_ &&
           (options_.allows_close_delimited || answer_.headers.find("Content-Length") ||
            answer_.headers.find("Transfer-Encoding"));
}

} // namespace camphorrock
