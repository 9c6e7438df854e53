/// One outgoing HTTP request and its answer.
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

/// How a call ended.
enum class CallEnd : std::uint8_t {
    NotSent, ///< No byte of the request left this process.
    Lost,    ///< It may have been sent, and no answer began.
    Whole,   ///< The whole answer came.
    Cut,     ///< The answer broke off.
};

/// What is sent and how long it may take.
struct HttpRequest
{
    Address target;
    std::string head;                        ///< Request line and headers with the empty line.
    std::shared_ptr<const std::string> body; ///< May be null.
    bool isHead = false;                     ///< The method is HEAD: the answer has no body.
    bool fresh = false;                      ///< On a new connection, used for nothing else.
    std::optional<WallTime> notAfter;        ///< Not written after this.
    Duration timeout { 0 };                  ///< For the whole call.
    Duration silence { 0 };                  ///< Longest time without a byte; 0: no limit.
};

/// What the user of a call is told.
struct CallHandlers
{
    std::function<void(HttpHead)> onHead;          ///< The answer's head came.
    std::function<void(std::string_view)> onBody;  ///< Some of the body came.
    std::function<void(CallEnd, int error)> onEnd; ///< Last; `error` is of a failed connect.
};

/// Sends one request and reports its answer.
///
/// Destroying it drops the call and closes its connection.
/// @remarks Not thread safe. Not to be destroyed from within its own handlers.
class HttpCall
{
public:
    /// Precondition: `owner` outlives the call.
    HttpCall(HttpClient &owner, HttpRequest sent, CallHandlers told);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    auto operator=(const HttpCall &) -> HttpCall & = delete;

    /// Starts the call; handlers may be called from within. Precondition: called once.
    auto start() -> void;
    /// Ends the call soon, as if its time were over. Precondition: none.
    auto breakOff() -> void;
    /// Stops reading the body until `resume`. Precondition: none.
    auto pause() -> void;
    /// Goes on reading. Precondition: none.
    auto resume() -> void;

private:
    enum class Stage : std::uint8_t {
        Connecting,
        Waiting, ///< Written, no head yet.
        Reading,
        Ended,
    };
    using SocketRead = void (*)(st_h2o_socket_t *, const char *);

    friend struct ClientCallbacks;

    auto connect() -> void;
    auto connected(st_h2o_socket_t *socket, int error) -> void;
    auto runOn(st_h2o_socketpool_t *pool) -> void;
    [[nodiscard]] auto mayWrite() const -> bool;
    auto takeHead(int status, st_h2o_header_t *headers, std::size_t count) -> void;
    auto takeBody(const char *error) -> void;
    auto takeBytes() -> void;
    [[nodiscard]] auto isCutAtChunk() const -> bool;
    auto closeIfFresh() -> void;
    auto end(CallEnd end, int error = 0) -> void;
    auto timeOut() -> void;
    auto watchSilence() -> void;
    auto drop() -> void;

    HttpClient &client;
    HttpRequest request;
    CallHandlers handlers;
    std::unique_ptr<Connector> connector;
    st_h2o_http1client_t *raw = nullptr;
    Timer deadline;
    Timer silence;
    MonoTime lastByte;
    SocketRead stoppedRead = nullptr;
    std::array<h2o_iovec_t, 2> buffers {}; ///< The request as it is being written.
    Stage stage = Stage::Connecting;
    bool pooled = false;  ///< Runs on a connection that was used before.
    bool chunked = false; ///< The body ends by its last chunk.
};

} // namespace flamingograde::net
