/// One GET whose answer is taken as a whole.
#include "net/plainget.h"

#include "net/httpcall.h"
#include "net/httpclient.h"
#include "net/requesthead.h"

#include <utility>

namespace flamingograde::net {

PlainGet::PlainGet(HttpClient &client, const GetRequest &asked, Done callback)
    : bodyMax(asked.bodyMax), done(std::move(callback))
{
    HttpRequest sent;
    sent.target = asked.target;
    sent.head = getHead(asked.host, asked.path);
    sent.timeout = asked.timeout;
    sent.fresh = true;
    CallHandlers handlers;
    handlers.onHead = [this](HttpHead came) { this->head = std::move(came); };
    handlers.onBody = [this](std::string_view bytes) { this->takeBody(bytes); };
    handlers.onEnd = [this](CallEnd end, int /*error*/) {
        this->done(end == CallEnd::Whole ? &this->head : nullptr, this->body);
    };
    this->call = std::make_unique<HttpCall>(client, std::move(sent), std::move(handlers));
    this->call->start();
}

PlainGet::~PlainGet() = default;

auto PlainGet::takeBody(std::string_view bytes) -> void
{
    if (this->body.size() + bytes.size() > this->bodyMax) {
        this->call->breakOff();
        return;
    }
    this->body.append(bytes);
}

} // namespace flamingograde::net
