/// An HTTP GET that delivers its complete answer.
#include "net/plainget.h"

#include "net/httpcall.h"
#include "net/httpclient.h"
#include "net/requesthead.h"

#include <utility>

namespace flamingograde::net {

PlainGet::PlainGet(HttpClient &client, const GetRequest &request, Done callback)
    : bodyMax(request.bodyMax), onBytes(request.onBytes), done(std::move(callback))
{
    HttpRequest sent;
    sent.target = request.target;
    sent.head = getRequestHead(request.host, request.path);
    sent.timeout = request.timeout;
    sent.bodyTimeout = request.bodyTimeout;
    sent.newConnection = true;
    CallHandlers handlers;
    handlers.onHead = [this](HttpHead received) { this->head = std::move(received); };
    handlers.onBody = [this](std::string_view bytes) { this->takeBody(bytes); };
    handlers.onEnd = [this](CallEnd end, int /*error*/) {
        this->done(end == CallEnd::Complete ? &this->head : nullptr, this->body);
    };
    this->call = std::make_unique<HttpCall>(client, std::move(sent), std::move(handlers));
    this->call->start();
}

PlainGet::~PlainGet() = default;

auto PlainGet::takeBody(std::string_view bytes) -> void
{
    if (this->body.size() + bytes.size() > this->bodyMax) {
        this->call->expire();
        return;
    }
    this->body.append(bytes);
    if (this->onBytes) {
        this->onBytes(bytes.size(), this->head.contentLength.value_or(0));
    }
}

} // namespace flamingograde::net
