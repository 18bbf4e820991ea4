package org.chivevale.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;
import org.chivevale.core.errors.ChivevaleException;
import org.chivevale.core.kernel.Kernel;
import org.chivevale.core.kernel.Service;
import org.chivevale.core.settings.Settings;
import org.jboss.logging.Logger;
import sun.misc.Signal;

/**
 * Takes changes of the settings file while the process runs, at SIGHUP and by looking now and then.
 *
 * <p>Invariant: a file with errors changes nothing and is named in the log. Used on the event loop.
 */
public final class SettingsWatch implements Service {
    /** Name in the kernel. */
    public static final String NAME = "settings-watch";

    private static final Logger LOG = Logger.getLogger(SettingsWatch.class);
    private static final long LOOK_EVERY_MILLIS = 2000;

    private final Path file;
    private final Consumer<Settings> changed;
    private String text = "";

    /**
     * Creates the service.
     *
     * @param file the settings file
     * @param changed takes changed settings; what it throws is logged
     */
    public SettingsWatch(Path file, Consumer<Settings> changed) {
        this.file = file;
        this.changed = changed;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        text = read();
        loop.every(LOOK_EVERY_MILLIS, () -> look("change of the file"));
        Signal.handle(new Signal("HUP"), signal -> loop.run(() -> look("SIGHUP")));
    }

    private String read() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            LOG.warnf("settings %s cannot be read: %s", file, e.getMessage());
            return text;
        }
    }

    private void look(String cause) {
        String now = read();
        if (now.equals(text)) {
            return;
        }
        text = now;
        try {
            changed.accept(Settings.parse(file.toString(), now));
            LOG.infof("settings reloaded: %s", cause);
        } catch (ChivevaleException e) {
            LOG.warnf("settings not reloaded: %s", e.getMessage());
        }
    }
}
