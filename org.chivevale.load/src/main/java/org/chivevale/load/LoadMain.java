package org.chivevale.load;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.chivevale.load.baseline.BaselineCommand;
import org.chivevale.load.demo.DemoCommand;
import org.chivevale.load.slopes.SlopesCommand;

/**
 * The load and measuring tool.
 *
 * <p>Run by one thread.
 */
public final class LoadMain {
    private static final int USAGE_STATUS = 2;

    private LoadMain() {}

    /** Prints the commands. */
    @Command(name = "help", description = "Show the commands")
    public static final class HelpCommand extends Help<Runnable> implements Runnable {}

    /**
     * Runs one command.
     *
     * @param args see {@code help}
     */
    public static void main(String[] args) {
        Cli<Runnable> cli =
                Cli.<Runnable>builder("chivevale-load")
                        .withDescription("Loads, checks and measures chivevale")
                        .withDefaultCommand(HelpCommand.class)
                        .withCommands(
                                HelpCommand.class,
                                DemoCommand.class,
                                BaselineCommand.class,
                                SlopesCommand.class)
                        .build();
        try {
            cli.parse(args).run();
            System.exit(0);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.exit(USAGE_STATUS);
        }
    }
}
