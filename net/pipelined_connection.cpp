#include "net/pipelined_connection.hpp"

#include "net/answer_text.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>
#include <vector>

namespace camphorrock
{
namespace
{

constexpr std::size_t read_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_stream_bytes = std::size_t{16} * 1024 * 1024;

} // namespace

// The way to answer one request. The connection may be gone before it.
class pipelined_connection::responder : public http_responder
{
public:
    responder(std::weak_ptr<pipelined_connection> connection, std::shared_ptr<slot> place)
        : connection_(std::move(connection)), slot_(std::move(place))
    {
    }

    ~responder() override
    {
        abort();
    }

    void respond(http_response answer) override
    {
        const std::shared_ptr<pipelined_connection> it = connection_.lock();
        if (it && !slot_->is_decided)
        {
            it->answer(*slot_, answer);
        }
        slot_->is_decided = true;
        drop_on_gone();
    }

    void start_stream(http_response head) override
    {
        const std::shared_ptr<pipelined_connection> it = connection_.lock();
        if (it && !slot_->is_decided)
        {
            it->begin_stream(*slot_, head);
        }
        slot_->is_decided = true;
    }

    void add_piece(std::string_view piece) override
    {
        const std::shared_ptr<pipelined_connection> it = connection_.lock();
        if (!it || !slot_->is_chunked || slot_->is_complete || piece.empty())
        {
            return;
        }
        append_chunk(slot_->bytes, piece);
        slot_->is_cut = slot_->bytes.size() > max_stream_bytes;
        slot_->is_complete = slot_->is_cut;
        it->flush_soon();
    }

    void end_stream() override
    {
        const std::shared_ptr<pipelined_connection> it = connection_.lock();
        if (it && slot_->is_chunked && !slot_->is_complete)
        {
            append_last_chunk(slot_->bytes);
            slot_->is_complete = true;
            it->flush_soon();
        }
        drop_on_gone();
    }

    void abort() override
    {
        const std::shared_ptr<pipelined_connection> it = connection_.lock();
        if (it && !slot_->is_complete)
        {
            slot_->is_decided = true;
            slot_->is_complete = true;
            slot_->is_cut = true;
            it->flush_soon();
        }
        drop_on_gone();
    }

    void on_gone(std::function<void()> what) override
    {
        const std::shared_ptr<pipelined_connection> it = connection_.lock();
        if (it && it->fd_ >= 0)
        {
            slot_->on_gone = std::move(what);
        }
        else if (it)
        {
            it->loop_.post(std::move(what));
        }
    }

private:
    // Destroyed only at the end: its captures may hold the responder itself.
    void drop_on_gone()
    {
        const std::function<void()> dropped = std::exchange(slot_->on_gone, nullptr);
    }

    std::weak_ptr<pipelined_connection> connection_;
    std::shared_ptr<slot> slot_;
};

pipelined_connection::pipelined_connection(event_loop& loop,
                                           int fd,
                                           const pipelined_server_options& options,
                                           pipelined_owner& owner)
    : loop_(loop), fd_(fd), options_(options), owner_(owner),
      parser_({options.common.max_header_bytes, options.common.max_body_bytes}),
      last_active_(loop.now())
{
}

pipelined_connection::~pipelined_connection()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
    }
}

void pipelined_connection::start()
{
    watch_input();
}

void pipelined_connection::watch_input()
{
    const bool is_wanted = fd_ >= 0 && slots_.size() < options_.max_pipelined;
    if (!is_wanted)
    {
        readable_.reset();
    }
    else if (!readable_)
    {
        readable_ = loop_.on_readable(fd_, [this] { read_some(); });
    }
}

void pipelined_connection::read_some()
{
    const std::shared_ptr<pipelined_connection> alive = shared_from_this();
    char buf[read_bytes];
    const ssize_t n = recv(fd_, buf, sizeof buf, 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
    {
        return;
    }
    if (n <= 0)
    {
        client_left();
        return;
    }
    last_active_ = loop_.now();
    if (!is_reading_)
    {
        return; // behind the last request
    }
    const bool was_inside = parser_.is_inside();
    parser_.feed(std::string_view(buf, static_cast<std::size_t>(n)),
                 [this](parsed_request got) { take_request(std::move(got)); });
    if (fd_ < 0)
    {
        return;
    }
    request_began_ = was_inside ? request_began_ : last_active_;
    if (parser_.take_continue() && slots_.empty())
    {
        urgent_ += "HTTP/1.1 100 Continue\r\n\r\n";
        flush_soon();
    }
    if (parser_.fault() && is_reading_)
    {
        refuse(*parser_.fault());
    }
    watch_input();
}

void pipelined_connection::take_request(parsed_request got)
{
    if (!is_reading_ || fd_ < 0)
    {
        return;
    }
    auto place = std::make_shared<slot>();
    place->is_last = got.is_last;
    place->is_head = got.request.method == "HEAD";
    is_reading_ = !got.is_last;
    slots_.push_back(place);
    owner_.handle(std::move(got.request),
                  std::make_shared<responder>(weak_from_this(), place));
}

void pipelined_connection::refuse(const request_refusal& why)
{
    is_reading_ = false;
    auto place = std::make_shared<slot>();
    place->is_last = true;
    place->is_decided = true;
    slots_.push_back(place);
    http_response made;
    made.status = why.status;
    made.headers.add("Content-Type", "text/plain");
    made.body = why.text + "\n";
    answer(*place, made);
}

void pipelined_connection::answer(slot& it, const http_response& with)
{
    const bool is_newest = !slots_.empty() && slots_.back().get() == &it;
    if (owner_.is_closing() && is_newest && !parser_.is_inside())
    {
        it.is_last = true;
        is_reading_ = false;
    }
    append_answer(it.bytes, with, it.is_head, it.is_last);
    it.is_complete = true;
    flush_soon();
}

void pipelined_connection::begin_stream(slot& it, const http_response& with)
{
    append_stream_head(it.bytes, with, it.is_last);
    it.is_chunked = true;
    flush_soon();
}

void pipelined_connection::flush_soon()
{
    if (!is_flush_posted_ && fd_ >= 0)
    {
        is_flush_posted_ = true;
        loop_.post(
            [weak = weak_from_this()]
            {
                if (const std::shared_ptr<pipelined_connection> self = weak.lock())
                {
                    self->is_flush_posted_ = false;
                    self->flush();
                }
            });
    }
}

// Sends what the first slots have; later ones wait for their turn.
void pipelined_connection::flush()
{
    writable_.reset();
    if (fd_ < 0 || !send_bytes(urgent_))
    {
        return;
    }
    while (!slots_.empty())
    {
        slot& first = *slots_.front();
        if (!send_bytes(first.bytes))
        {
            return;
        }
        if (!first.is_complete)
        {
            break;
        }
        const bool is_end = first.is_cut || first.is_last;
        last_active_ = loop_.now();
        slots_.pop_front();
        if (is_end)
        {
            close();
            return;
        }
    }
    watch_input();
}

// True where all of it was sent.
bool pipelined_connection::send_bytes(std::string& bytes)
{
    while (!bytes.empty())
    {
        const ssize_t n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
        {
            continue;
        }
        if (n < 0 && errno == EAGAIN)
        {
            writable_ = loop_.on_writable(fd_, [this] { flush(); });
            return false;
        }
        if (n <= 0)
        {
            client_left();
            return false;
        }
        bytes.erase(0, static_cast<std::size_t>(n));
    }
    return true;
}

void pipelined_connection::client_left()
{
    const std::deque<std::shared_ptr<slot>> left = slots_;
    close();
    for (const std::shared_ptr<slot>& it : left)
    {
        if (const std::function<void()> gone = std::exchange(it->on_gone, nullptr))
        {
            gone();
        }
    }
}

void pipelined_connection::close()
{
    if (fd_ < 0)
    {
        return;
    }
    const std::shared_ptr<pipelined_connection> alive = shared_from_this();
    readable_.reset();
    writable_.reset();
    slots_.clear();
    ::close(std::exchange(fd_, -1));
    owner_.ended(*this);
}

void pipelined_connection::abort()
{
    for (const std::shared_ptr<slot>& it : slots_)
    {
        it->on_gone = nullptr;
    }
    close();
}

void pipelined_connection::close_if_idle()
{
    if (slots_.empty() && !parser_.is_inside())
    {
        close();
    }
}

void pipelined_connection::check_time(time_point now)
{
    const bool is_slow =
        parser_.is_inside() && now - request_began_ > options_.head_timeout;
    const bool is_idle = slots_.empty() && !parser_.is_inside() &&
                         now - last_active_ > options_.common.idle_timeout;
    if (is_slow || is_idle)
    {
        client_left();
    }
}

} // namespace camphorrock
