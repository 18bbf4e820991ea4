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

/**
 * Reloads the settings file while the process runs, on SIGHUP and by polling the file.
 *
 * <p>Invariant: a file that cannot be read, or has an invalid value, changes nothing and is logged.
 * The first reading takes place right after the start, since the file may have changed meanwhile.
 * Used on the event loop.
 */
public final class SettingsWatch implements Service {
    /** Service name in the kernel. */
    public static final String NAME = "settings-watch";

    private static final Logger LOG = Logger.getLogger(SettingsWatch.class);
    private static final long POLL_INTERVAL_MILLIS = 2000;

    private final Path file;
    private final Consumer<Settings> changeHandler;
    private String lastText = "";

    /**
     * Prepares to watch a file; polling begins with {@link #start}.
     *
     * @param file the TOML file with the settings
     * @param changeHandler receives the parsed settings after each change of the file; a {@link
     *     ChivevaleException} that it throws is logged
     */
    public SettingsWatch(Path file, Consumer<Settings> changeHandler) {
        this.file = file;
        this.changeHandler = changeHandler;
    }

    @Override
    public void start(Kernel kernel) {
        EventLoop loop = kernel.find(EventLoop.NAME, EventLoop.class);
        loop.run(() -> reloadIfChanged("start"));
        loop.every(POLL_INTERVAL_MILLIS, () -> reloadIfChanged("file changed"));
        ReloadSignal.onSignal(() -> loop.run(() -> reloadIfChanged("SIGHUP")));
    }

    private String readFile() {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            LOG.warnf("cannot read settings %s: %s", file, e.getMessage());
            return lastText;
        }
    }

    private void reloadIfChanged(String cause) {
        String now = readFile();
        if (now.equals(lastText)) {
            return;
        }
        lastText = now;
        try {
            Settings settings = Settings.parse(file.toString(), now);
            changeHandler.accept(settings);
            LOG.infof("settings reloaded: %s", cause);
        } catch (ChivevaleException e) {
            LOG.warnf("settings not reloaded: %s", e.getMessage());
        }
    }
}
