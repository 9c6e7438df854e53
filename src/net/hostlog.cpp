/// The log on standard error.
#include "net/hostlog.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <memory>

namespace flamingograde::net {

namespace {

auto toLevel(LogLevel level) -> log4cxx::LevelPtr
{
    switch (level) {
    case LogLevel::Error:
        return log4cxx::Level::getError();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    }
    return log4cxx::Level::getInfo();
}

/// Returns how important an event is; what each request may cause is for debugging.
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

} // namespace

auto openLog(LogLevel level) -> void
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d %-5p %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    const auto root = log4cxx::Logger::getRootLogger();
    root->addAppender(appender);
    root->setLevel(toLevel(level));
}

auto writeLog(LogEvent event, const std::string &text) -> void
{
    static const auto logger = log4cxx::Logger::getRootLogger();
    const auto level = toLevel(levelOf(event));
    if (logger->isEnabledFor(level)) {
        logger->forcedLog(level, "[" + std::to_string(number(event)) + "] " + text);
    }
}

} // namespace flamingograde::net
