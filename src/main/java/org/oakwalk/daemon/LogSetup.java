package org.oakwalk.daemon;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback to log to standard error at the level set in {@code LOG_LEVEL}. Logback finds
 * this class as a service provider.
 */
public final class LogSetup extends ContextAwareBase implements Configurator {
  @Override
  public ExecutionStatus configure(LoggerContext context) {
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern("%d{HH:mm:ss.SSS}%X{simulated} %-5level %logger{0} - %msg%n%ex{5}");
    encoder.start();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    appender.setEncoder(encoder);
    appender.start();
    Level level = Level.toLevel(System.getenv("LOG_LEVEL"), Level.INFO);
    context.getLogger("ROOT").setLevel(level.isGreaterOrEqual(Level.WARN) ? level : Level.WARN);
    context.getLogger("org.oakwalk").setLevel(level);
    context.getLogger("ROOT").addAppender(appender);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
