#include "net/mhd_exchange.hpp"

#include <microhttpd.h>

#include <utility>

namespace camphorrock
{
namespace
{

class mhd_responder : public http_responder
{
public:
    explicit mhd_responder(std::shared_ptr<mhd_exchange> exchange)
        : exchange_(std::move(exchange))
    {
    }

    ~mhd_responder() override
    {
        exchange_->decide(mhd_exchange::decision::abort, {});
    }

    void respond(http_response answer) override
    {
        exchange_->decide(mhd_exchange::decision::answer, std::move(answer));
    }

    void abort() override
    {
        exchange_->decide(mhd_exchange::decision::abort, {});
    }

    void on_gone(std::function<void()> what) override
    {
        if (exchange_->raw != nullptr &&
            exchange_->decided == mhd_exchange::decision::none)
        {
            exchange_->on_gone = std::move(what);
        }
    }

private:
    std::shared_ptr<mhd_exchange> exchange_;
};

} // namespace

void mhd_exchange::decide(decision what, http_response with)
{
    if (decided != decision::none)
    {
        return;
    }
    decided = what;
    answer = std::move(with);
    // Dropped only now: its captures may hold the responder itself.
    const std::function<void()> dropped = std::exchange(on_gone, nullptr);
    if (raw != nullptr && is_suspended)
    {
        is_suspended = false;
        MHD_resume_connection(raw);
        server->run_soon();
    }
}

void mhd_exchange::suspend()
{
    is_suspended = true;
    MHD_suspend_connection(raw);
}

void mhd_exchange::end()
{
    raw = nullptr;
    is_suspended = false;
}

void mhd_exchange::report_gone()
{
    const std::function<void()> what = std::exchange(on_gone, nullptr);
    if (what && decided == decision::none)
    {
        what();
    }
}

std::shared_ptr<http_responder> make_responder(std::shared_ptr<mhd_exchange> exchange)
{
    return std::make_shared<mhd_responder>(std::move(exchange));
}

} // namespace camphorrock
