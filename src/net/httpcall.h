/// One outgoing HTTP request and its response.
#pragma once

#include "net/connector.h"
#include "net/httphead.h"
#include "net/timer.h"

#include <flamingograde/address.h>
#include <flamingograde/clock.h>

#include <h2o/memory.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct st_h2o_http1client_t;
struct st_h2o_header_t;
struct st_h2o_socket_t;
struct st_h2o_socketpool_t;

namespace flamingograde::net {

class HttpClient;

/// Outcome of a call.
enum class CallEnd : std::uint8_t {
    NotSent,   ///< No byte of the request left this process.
    Lost,      ///< The request may have been sent, but no response head arrived.
    Complete,  ///< The complete response arrived.
    Truncated, ///< The response was truncated.
};

/// An outgoing request with its time limits.
struct HttpRequest
{
    Address target;
    std::string head; ///< Request line and headers, including the final empty line.
    std::shared_ptr<const std::string> body; ///< May be null.
    bool isHead = false;                     ///< The method is HEAD: the response has no body.
    bool newConnection = false;              ///< Use a new connection and close it after the call.
    std::optional<WallTime> writeDeadline;   ///< Latest time at which the request may be written.
    Duration timeout { 0 };                  ///< For the whole call, or until the response head.
    Duration bodyTimeout { 0 };              ///< After the head, longest time between two parts of
                                             ///< the body; 0: `timeout` covers the whole call.
    Duration silence { 0 };                  ///< Maximum time without a received byte; 0: no limit.
};

/// Callbacks of a call.
struct CallHandlers
{
    std::function<void(HttpHead)> onHead;         ///< The response head arrived.
    std::function<void(std::string_view)> onBody; ///< A part of the body arrived.
    /// Called last; `error` is the `errno` value of a failed connect, otherwise 0.
    std::function<void(CallEnd, int error)> onEnd;
};

/// Sends one request and reports its response.
///
/// Destruction cancels the call and closes its connection.
/// @remarks Not thread safe. Must not be destroyed from within its own handlers.
class HttpCall
{
public:
    /// Precondition: `owner` outlives the call.
    HttpCall(HttpClient &owner, HttpRequest outgoing, CallHandlers callbacks);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    auto operator=(const HttpCall &) -> HttpCall & = delete;

    /// Starts the call; handlers may be called from within. Precondition: called once.
    auto start() -> void;
    /// Ends the call in the next loop iteration, as if it had timed out. Precondition: none.
    auto expire() -> void;
    /// Stops reading the body until `resume`. Precondition: none.
    auto pause() -> void;
    /// Resumes reading after `pause`. Precondition: none.
    auto resume() -> void;

private:
    enum class Stage : std::uint8_t {
        Connecting,
        Waiting, ///< The request is written, no response head has arrived.
        Reading,
        Ended,
    };
    using SocketReadCallback = void (*)(st_h2o_socket_t *, const char *);

    friend struct ClientCallbacks;

    auto connect() -> void;
    auto connected(st_h2o_socket_t *socket, int error) -> void;
    auto sendOverPool(st_h2o_socketpool_t *pool) -> void;
    [[nodiscard]] auto isBeforeWriteDeadline() const -> bool;
    auto handleHead(int status, st_h2o_header_t *headers, std::size_t count) -> void;
    auto handleBody(const char *error) -> void;
    auto takeBytes() -> void;
    [[nodiscard]] auto isClosedBetweenChunks() const -> bool;
    auto closeIfFresh() -> void;
    auto end(CallEnd end, int error = 0) -> void;
    auto timeOut() -> void;
    auto restartBodyTimeout() -> void;
    auto checkSilence() -> void;
    auto drop() -> void;

    HttpClient &client;
    HttpRequest request;
    CallHandlers handlers;
    std::unique_ptr<Connector> connector;
    st_h2o_http1client_t *raw = nullptr;
    Timer deadline;
    Timer silence;
    MonoTime lastByte;
    SocketReadCallback pausedReadCallback = nullptr;
    std::array<h2o_iovec_t, 2> buffers {}; ///< Head and body of the request while h2o writes them.
    Stage stage = Stage::Connecting;
    bool reusesConnection = false; ///< Runs on a reused connection.
    bool chunked = false; ///< The body has a transfer encoding and ends with its last chunk.
};

} // namespace flamingograde::net
