#include "fakes/site/trial_caller.hpp"

#include <utility>

namespace camphorrock::fakes
{
namespace
{

constexpr unsigned last_key = 65535;
constexpr std::size_t max_answer_bytes = std::size_t{1} << 20;

} // namespace

trial_caller::trial_caller(event_loop& loop, trial_caller_options options)
    : loop_(loop), options_(std::move(options)), random_(options_.seed)
{
}

void trial_caller::start()
{
    connect();
}

void trial_caller::stop()
{
    is_stopped_ = true;
    send_timer_.reset();
    connect_timer_.reset();
}

void trial_caller::connect()
{
    const endpoint& to = options_.gateways[connections_ % options_.gateways.size()];
    ++connections_;
    std::optional<tcp_socket> made = value_or_handle(
        [&]() -> result<std::optional<tcp_socket>>
        {
            BOOST_LEAF_AUTO(socket, tcp_socket::connect(to));
            return std::optional(std::move(socket));
        },
        [](const error&) { return std::optional<tcp_socket>(); });
    if (!made)
    {
        reconnect();
        return;
    }
    socket_ = std::move(made);
    begin_answer();
    is_closing_ = false;
    read_watch_ = loop_.on_readable(socket_->fd(), [this] { read_some(); });
    send_timer_ = loop_.every(options_.pause, [this] { send_next(); });
}

void trial_caller::reconnect()
{
    if (!is_stopped_)
    {
        connect_timer_ = loop_.after(options_.pause, [this] { connect(); });
    }
}

std::string trial_caller::make_request(const std::string& id)
{
    std::string made = "POST " + options_.prefix + id + " HTTP/1.1\r\n";
    made += "Host: camphorrock.example\r\nRequest-Id: " + id + "\r\n";
    const auto ms = std::chrono::duration_cast<milliseconds>(options_.time_limit);
    made += "Timeout-Remaining: " + std::to_string(ms.count()) + "\r\n";
    if (options_.is_keyed)
    {
        std::uniform_int_distribution<unsigned> any_key(0, last_key);
        made += "Shard-Key: " + std::to_string(any_key(random_)) + "\r\n";
    }
    return made + "Content-Length: 0\r\n\r\n";
}

void trial_caller::send_next()
{
    if (is_stopped_ || !socket_ || is_closing_ || in_flight_.size() >= options_.depth)
    {
        return;
    }
    const std::string id = options_.name + "-" + std::to_string(answers_.size());
    const std::string bytes = make_request(id);
    const socket_write written = socket_->write(bytes);
    if (written.state == socket_state::open && written.count == 0)
    {
        return; // the connection is not established yet
    }
    caller_answer entry;
    entry.request_id = id;
    entry.sent_at = loop_.now();
    entry.gateway = options_.gateways[(connections_ - 1) % options_.gateways.size()];
    in_flight_.push_back(answers_.size());
    answers_.push_back(entry);
    if (written.state != socket_state::open || written.count != bytes.size())
    {
        end_connection(caller_end::lost);
    }
}

void trial_caller::read_some()
{
    const socket_read got = socket_->read();
    if (!got.bytes.empty())
    {
        parse(got.bytes);
    }
    if (is_closing_)
    {
        end_connection(caller_end::unread);
        return;
    }
    const bool is_valid = parser_->state() == answer_state::incomplete;
    if (got.state != socket_state::open || !is_valid)
    {
        end_connection(caller_end::lost);
    }
}

void trial_caller::begin_answer()
{
    answer_rules rules;
    rules.max_head_bytes = max_answer_bytes;
    rules.max_answer_bytes = max_answer_bytes;
    parser_.emplace(std::move(rules), no_budget_);
}

void trial_caller::parse(std::string_view bytes)
{
    while (!bytes.empty() && !is_closing_)
    {
        bytes.remove_prefix(parser_->feed(bytes));
        if (parser_->state() != answer_state::complete)
        {
            return;
        }
        is_closing_ = !parser_->is_connection_kept();
        on_answer(parser_->take_answer());
        begin_answer();
    }
}

void trial_caller::on_answer(const http_response& got)
{
    if (in_flight_.empty())
    {
        return;
    }
    caller_answer& entry = answers_[in_flight_.front()];
    in_flight_.pop_front();
    entry.end = caller_end::answered;
    entry.status = got.status;
    entry.answered = got.headers.find("Request-Id").value_or("");
    entry.ended_at = loop_.now();
}

void trial_caller::end_connection(caller_end end)
{
    for (const std::size_t it : std::exchange(in_flight_, {}))
    {
        answers_[it].end = end;
        answers_[it].ended_at = loop_.now();
    }
    read_watch_.reset();
    send_timer_.reset();
    socket_.reset();
    reconnect();
}

} // namespace camphorrock::fakes
