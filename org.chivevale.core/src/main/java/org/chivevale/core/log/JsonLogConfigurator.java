package org.chivevale.core.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback to write each event as a line of JSON to standard output, without blocking.
 *
 * <p>Done in code because parsing an XML file would lengthen every start. A file that the system
 * property {@code logback.configurationFile} names takes precedence. Logback finds the class as a
 * service and uses it once, on one thread.
 */
public final class JsonLogConfigurator extends ContextAwareBase implements Configurator {
    private static final String FILE_PROPERTY = "logback.configurationFile";
    private static final String LEVEL_PROPERTY = "chivevale.log.level";
    private static final int QUEUE_EVENTS = 4096;
    private static final int MAX_FLUSH_MILLIS = 500;

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        if (System.getProperty(FILE_PROPERTY) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        loggers.getLogger("io.netty").setLevel(Level.WARN);
        loggers.getLogger("io.netty.util.internal.MacAddressUtil").setLevel(Level.ERROR);
        loggers.getLogger("io.vertx").setLevel(Level.ERROR);
        Logger root = loggers.getLogger(Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO));
        root.addAppender(asyncAppender(loggers));
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static AsyncAppender asyncAppender(LoggerContext loggers) {
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(loggers);
        queue.setName("QUEUE");
        queue.setQueueSize(QUEUE_EVENTS);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(MAX_FLUSH_MILLIS);
        queue.addAppender(consoleAppender(loggers));
        queue.start();
        return queue;
    }

    private static ConsoleAppender<ILoggingEvent> consoleAppender(LoggerContext loggers) {
        ConsoleAppender<ILoggingEvent> output = new ConsoleAppender<>();
        output.setContext(loggers);
        output.setName("STDOUT");
        output.setEncoder(jsonEncoder(loggers));
        output.start();
        return output;
    }

    private static JsonEncoder jsonEncoder(LoggerContext loggers) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(loggers);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithThreadName(false);
        encoder.setWithContext(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(false);
        encoder.setWithThrowable(true);
        encoder.setWithFormattedMessage(true);
        encoder.start();
        return encoder;
    }
}
