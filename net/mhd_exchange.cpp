#include "net/mhd_exchange.hpp"

#include "net/peer_closed.hpp"

#include <microhttpd.h>

#include <utility>

namespace camphorrock
{
namespace
{

// Limit of a stream whose caller does not read.
constexpr std::size_t max_unsent_bytes = std::size_t{16} * 1024 * 1024;

class mhd_responder : public http_responder
{
public:
    explicit mhd_responder(std::shared_ptr<mhd_exchange> exchange)
        : exchange_(std::move(exchange))
    {
    }

    ~mhd_responder() override
    {
        abort();
    }

    void respond(http_response answer) override
    {
        exchange_->decide(mhd_exchange::decision::answer, std::move(answer));
    }

    void start_stream(http_response head) override
    {
        exchange_->decide(mhd_exchange::decision::stream, std::move(head));
    }

    void add_piece(std::string_view piece) override
    {
        exchange_->add_piece(piece);
    }

    void end_stream() override
    {
        exchange_->end_stream();
    }

    void abort() override
    {
        exchange_->decide(mhd_exchange::decision::abort, {});
        exchange_->abort_stream();
    }

    void on_disconnect(std::function<void()> fn) override
    {
        exchange_->set_on_disconnect(std::move(fn));
    }

    bool is_disconnected() const override
    {
        return exchange_->is_disconnected();
    }

private:
    std::shared_ptr<mhd_exchange> exchange_;
};

} // namespace

void mhd_exchange::decide(decision value, http_response response)
{
    if (decided != decision::none)
    {
        return;
    }
    decided = value;
    answer = std::move(response);
    if (decided != decision::stream)
    {
        // Destroyed at the end of the scope: its captures may hold the responder itself.
        const std::function<void()> dropped = std::exchange(on_disconnect, nullptr);
        resume();
        return;
    }
    resume();
}

void mhd_exchange::add_piece(std::string_view piece)
{
    if (decided == decision::stream && is_answer_pending() && raw != nullptr)
    {
        unsent_bytes.append(piece);
        if (unsent_bytes.size() > max_unsent_bytes)
        {
            abort_stream();
            return;
        }
        resume();
    }
}

void mhd_exchange::end_stream()
{
    if (decided == decision::stream && is_answer_pending())
    {
        is_stream_ended = true;
        const std::function<void()> dropped = std::exchange(on_disconnect, nullptr);
        resume();
    }
}

void mhd_exchange::abort_stream()
{
    if (decided == decision::stream && is_answer_pending())
    {
        decided = decision::abort;
        const std::function<void()> dropped = std::exchange(on_disconnect, nullptr);
        resume();
    }
}

std::ptrdiff_t mhd_exchange::read_stream(char* buf, std::size_t max)
{
    if (decided != decision::stream)
    {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (!unsent_bytes.empty())
    {
        const std::size_t n = unsent_bytes.copy(buf, max);
        unsent_bytes.erase(0, n);
        return static_cast<std::ptrdiff_t>(n);
    }
    if (is_stream_ended)
    {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    suspend();
    return 0;
}

void mhd_exchange::suspend()
{
    is_suspended = true;
    MHD_suspend_connection(raw);
}

void mhd_exchange::resume()
{
    if (raw != nullptr && is_suspended)
    {
        is_suspended = false;
        MHD_resume_connection(raw);
        server->schedule_run();
    }
}

void mhd_exchange::detach()
{
    raw = nullptr;
    is_suspended = false;
}

void mhd_exchange::set_on_disconnect(std::function<void()> fn)
{
    if (raw == nullptr || !is_answer_pending())
    {
        return;
    }
    on_disconnect = std::move(fn);
    if (is_hung_up)
    {
        server->post([self = shared_from_this()] { self->report_disconnect(); });
    }
}

bool mhd_exchange::is_disconnected() const
{
    if (raw == nullptr || is_hung_up)
    {
        return true;
    }
    const MHD_ConnectionInfo* info =
        MHD_get_connection_info(raw, MHD_CONNECTION_INFO_CONNECTION_FD);
    return has_peer_closed(info->connect_fd);
}

void mhd_exchange::report_disconnect()
{
    const std::function<void()> fn = std::exchange(on_disconnect, nullptr);
    if (fn && is_answer_pending())
    {
        fn();
    }
}

std::shared_ptr<http_responder> make_responder(std::shared_ptr<mhd_exchange> exchange)
{
    return std::make_shared<mhd_responder>(std::move(exchange));
}

} // namespace camphorrock
