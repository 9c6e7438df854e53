#include "standins/caller/callrequest.h"

namespace standins {

namespace {

auto appendHeader(std::string &bytes, const char *name, const std::string &value) -> void
{
    if (!value.empty()) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
}

} // namespace

auto CallRequest::toBytes() const -> std::string
{
    std::string bytes = this->method + " " + this->path + " HTTP/1.1\r\n";
    appendHeader(bytes, "Host", this->host);
    appendHeader(bytes, "Accept", this->accept);
    appendHeader(bytes, "Idempotency-Key", this->key);
    appendHeader(bytes, "Last-Event-ID", this->lastEventId);
    if (!this->token.empty()) {
        appendHeader(bytes, "Cookie", "flamingograde=" + this->token);
    }
    if (this->deadlineMs > 0) {
        appendHeader(bytes, "Flamingograde-Timeout", std::to_string(this->deadlineMs));
    }
    if (this->method != "GET" || !this->body.empty()) {
        appendHeader(bytes, "Content-Type", "application/octet-stream");
        appendHeader(bytes, "Content-Length", std::to_string(this->body.size()));
    }
    return bytes + "\r\n" + this->body;
}

} // namespace standins
