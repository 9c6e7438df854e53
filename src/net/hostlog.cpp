/// The host's log on standard output: spdlog filters and formats, a bounded buffer writes.
#include "net/hostlog.h"

#include "net/linebuffer.h"
#include "net/logratelimiter.h"
#include "net/loop.h"

// Level names that operators' tools match.
#define SPDLOG_LEVEL_NAMES \
    { \
        "TRACE", "DEBUG", "INFO", "WARN", "ERROR", "FATAL", "OFF" \
    }
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <unistd.h>

#include <memory>

namespace flamingograde::net {

namespace {

constexpr std::size_t lineBytesMax = 16U << 10U;      ///< Longest text of a line; the rest is cut.
constexpr std::size_t bufferedBytesMax = 256U << 10U; ///< Lines not yet written to standard output.
/// Rate limit of the log: 40 KB/s, the rate at which a host logs state changes during a rollout.
constexpr double linesPerSecond = 200;
/// Lines allowed at once: enough for the first directory, of 120 upstreams and 350 rows.
constexpr double lineBurst = 2000;
/// Rate limit of lines about packets: covers the 62 new flows per second of the design size.
constexpr double packetLinesPerSecond = 100;
constexpr double packetLineBurst = 400;
/// Minimum interval between reports of dropped lines.
constexpr Duration dropReportInterval = std::chrono::seconds(1);

/// The process-wide state of the log.
struct LogState
{
    LineBuffer lines { STDOUT_FILENO, bufferedBytesMax };
    LogRateLimiter all { linesPerSecond, lineBurst };
    LogRateLimiter packets { packetLinesPerSecond, packetLineBurst };
    MonoTime lastDropReport;
};

auto state() -> LogState &
{
    static LogState instance;
    return instance;
}

/// Sink that appends the lines formatted by spdlog to the line buffer.
class LineSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
protected:
    auto sink_it_(const spdlog::details::log_msg &message) -> void override
    {
        spdlog::memory_buf_t line;
        this->formatter_->format(message, line);
        state().lines.add({ line.data(), line.size() });
    }

    auto flush_() -> void override {}
};

auto toSpdlogLevel(LogLevel level) -> spdlog::level::level_enum
{
    switch (level) {
    case LogLevel::Error:
        return spdlog::level::err;
    case LogLevel::Warn:
        return spdlog::level::warn;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Debug:
        return spdlog::level::debug;
    }
    return spdlog::level::info;
}

/// Returns the log level of an event. Events that any single request can cause are `Debug`.
auto levelOf(LogEvent event) -> LogLevel
{
    switch (event) {
    case LogEvent::SettingRefused:
    case LogEvent::TableRefused:
    case LogEvent::TableConflict:
        return LogLevel::Error;
    case LogEvent::ListenFailed:
    case LogEvent::PauseNoticed:
    case LogEvent::TableOlder:
    case LogEvent::PlatformLost:
    case LogEvent::MemberSuspected:
    case LogEvent::MemberDead:
    case LogEvent::MemberRefuted:
    case LogEvent::PeerSilent:
    case LogEvent::PeerMessageBad:
    case LogEvent::UpstreamEjected:
    case LogEvent::UpstreamSilent:
    case LogEvent::DirectoryRefused:
    case LogEvent::CookieShared:
    case LogEvent::LinesLeftOut:
        return LogLevel::Warn;
    case LogEvent::KeyAnsweredAgain:
    case LogEvent::KeyAnsweredUnknown:
    case LogEvent::RequestRefused:
    case LogEvent::TokenRefused:
    case LogEvent::ServiceUnknown:
    case LogEvent::BodyTooLarge:
    case LogEvent::AnswerLost:
    case LogEvent::CallerGone:
    case LogEvent::UpstreamShed:
    case LogEvent::FeedReopened:
    case LogEvent::FeedMoved:
        return LogLevel::Debug;
    default:
        return LogLevel::Info;
    }
}

/// Returns `text` as it fits one line: names that others chose may be long or have control
/// characters.
auto printableText(const std::string &text) -> std::string
{
    constexpr unsigned char firstPrintable = ' ';
    constexpr unsigned char deleteCode = 0x7f;
    auto line = text.substr(0, lineBytesMax);
    for (auto &character : line) {
        const auto code = static_cast<unsigned char>(character);
        character = code < firstPrintable || code == deleteCode ? '?' : character;
    }
    return line;
}

auto logger() -> spdlog::logger &
{
    static spdlog::logger instance("host", std::make_shared<LineSink>());
    return instance;
}

} // namespace

auto openLog(LogLevel level) -> void
{
    logger().set_formatter(std::make_unique<spdlog::pattern_formatter>(
            "time=%Y-%m-%dT%H:%M:%S.%e level=%l %v", spdlog::pattern_time_type::utc));
    logger().set_level(toSpdlogLevel(level));
}

auto writeLog(LogEvent event, const std::string &text) -> void
{
    const auto level = toSpdlogLevel(levelOf(event));
    if (!logger().should_log(level) || !state().all.take(Loop::now().mono)) {
        return;
    }
    const auto *const separator = text.empty() ? "" : " ";
    logger().log(level, "event={} name={}{}{}", number(event), toString(event), separator,
                 printableText(text));
}

auto mayLogPacket(MonoTime now) -> bool
{
    return state().packets.take(now);
}

auto flushLog(MonoTime now) -> void
{
    auto &log = state();
    if (now - log.lastDropReport >= dropReportInterval) {
        log.lastDropReport = now;
        const auto packets = log.packets.takeRefused();
        const auto others = log.all.takeRefused() + log.lines.takeDropped();
        if (packets + others > 0) {
            writeLog(LogEvent::LinesLeftOut,
                     "packets=" + std::to_string(packets) + " others=" + std::to_string(others));
        }
    }
    log.lines.flush();
}

} // namespace flamingograde::net
