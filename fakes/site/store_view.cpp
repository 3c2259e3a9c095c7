#include "fakes/site/store_view.hpp"

#include "codec/json_text.hpp"
#include "store/base64.hpp"

#include <json/value.h>

#include <utility>

namespace camphorrock::fakes
{
namespace
{

constexpr std::string_view servers_prefix = "servers/";

using address_map = std::map<std::string, endpoint>;

Json::Value parse_object(const std::string& text)
{
    return value_or_handle([&] { return parse_json(text); },
                           [](const error&) { return Json::Value(); });
}

// Changes the value of an item of a server that has an address in the view.
void change_address(Json::Value& item, const address_map& addresses)
{
    const std::string key = item["key"].asString();
    if (!key.starts_with(servers_prefix) || !item.isMember("value"))
    {
        return;
    }
    const auto found = addresses.find(key.substr(servers_prefix.size()));
    if (found == addresses.end())
    {
        return;
    }
    Json::Value entry = parse_object(parse_base64(item["value"].asString()).value_or(""));
    entry["address"] = found->second.str();
    item["value"] = to_base64(write_json(entry));
}

// An answer of the store is one item, or has some under `items` or `events`.
void change_addresses(http_response& answer, const address_map& addresses)
{
    Json::Value body = parse_object(answer.body);
    if (!body.isObject())
    {
        return;
    }
    if (body.isMember("key"))
    {
        change_address(body, addresses);
    }
    for (const char* list : {"items", "events"})
    {
        if (body.isMember(list))
        {
            for (Json::Value& it : body[list])
            {
                change_address(it, addresses);
            }
        }
    }
    answer.body = write_json(body);
}

class view_responder : public http_responder
{
public:
    view_responder(std::shared_ptr<http_responder> to,
                   std::shared_ptr<const address_map> addresses)
        : to_(std::move(to)), addresses_(std::move(addresses))
    {
    }

    void respond(http_response answer) override
    {
        change_addresses(answer, *addresses_);
        to_->respond(std::move(answer));
    }

    void start_stream(http_response head) override
    {
        to_->start_stream(std::move(head));
    }

    void add_piece(std::string_view piece) override
    {
        to_->add_piece(piece);
    }

    void end_stream() override
    {
        to_->end_stream();
    }

    void abort() override
    {
        to_->abort();
    }

    void on_disconnect(std::function<void()> fn) override
    {
        to_->on_disconnect(std::move(fn));
    }

    bool is_disconnected() const override
    {
        return to_->is_disconnected();
    }

private:
    std::shared_ptr<http_responder> to_;
    std::shared_ptr<const address_map> addresses_;
};

} // namespace

void store_view::set_address(const std::string& id, const endpoint& address)
{
    (*addresses_)[id] = address;
}

void store_view::handle(http_request request, std::shared_ptr<http_responder> responder)
{
    store_.handle(std::move(request),
                  std::make_shared<view_responder>(std::move(responder), addresses_));
}

} // namespace camphorrock::fakes
