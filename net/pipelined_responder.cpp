#include "net/pipelined_responder.hpp"

#include "net/answer_text.hpp"

#include <cstddef>
#include <utility>

namespace camphorrock
{
namespace
{

constexpr std::size_t max_unsent_bytes = std::size_t{16} * 1024 * 1024;

} // namespace

pipelined_responder::pipelined_responder(std::weak_ptr<answer_queue> connection,
                                         std::shared_ptr<pending_answer> pending)
    : connection_(std::move(connection)), pending_(std::move(pending))
{
}

pipelined_responder::~pipelined_responder()
{
    pipelined_responder::abort();
}

void pipelined_responder::respond(http_response answer)
{
    const std::shared_ptr<answer_queue> it = connection_.lock();
    if (it && !pending_->is_decided)
    {
        it->answer(*pending_, answer);
    }
    pending_->is_decided = true;
    drop_on_disconnect();
}

void pipelined_responder::start_stream(http_response head)
{
    const std::shared_ptr<answer_queue> it = connection_.lock();
    if (it && !pending_->is_decided)
    {
        it->begin_stream(*pending_, head);
    }
    pending_->is_decided = true;
}

void pipelined_responder::add_piece(std::string_view piece)
{
    const std::shared_ptr<answer_queue> it = connection_.lock();
    if (!it || !pending_->is_chunked || pending_->is_complete || piece.empty())
    {
        return;
    }
    append_chunk(pending_->bytes, piece);
    pending_->is_aborted = pending_->bytes.size() > max_unsent_bytes;
    pending_->is_complete = pending_->is_aborted;
    it->on_bytes_added();
}

void pipelined_responder::end_stream()
{
    const std::shared_ptr<answer_queue> it = connection_.lock();
    if (it && pending_->is_chunked && !pending_->is_complete)
    {
        append_last_chunk(pending_->bytes);
        pending_->is_complete = true;
        it->on_bytes_added();
    }
    drop_on_disconnect();
}

void pipelined_responder::abort()
{
    const std::shared_ptr<answer_queue> it = connection_.lock();
    if (it && !pending_->is_complete)
    {
        pending_->is_decided = true;
        pending_->is_complete = true;
        pending_->is_aborted = true;
        it->on_bytes_added();
    }
    drop_on_disconnect();
}

void pipelined_responder::on_disconnect(std::function<void()> fn)
{
    const std::shared_ptr<answer_queue> it = connection_.lock();
    if (it && it->is_open())
    {
        pending_->on_disconnect = std::move(fn);
    }
    else if (it)
    {
        it->post(std::move(fn));
    }
}

bool pipelined_responder::is_disconnected() const
{
    const std::shared_ptr<answer_queue> it = connection_.lock();
    return !it || it->is_client_gone();
}

// Destroyed at the end of the scope: its captures may hold the responder itself.
void pipelined_responder::drop_on_disconnect()
{
    const std::function<void()> dropped = std::exchange(pending_->on_disconnect, nullptr);
}

} // namespace camphorrock
