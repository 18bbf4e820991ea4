package org.chivevale.load;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.chivevale.load.baseline.BaselineCommand;
import org.chivevale.load.demo.DemoCommand;
import org.chivevale.load.slopes.SlopesCommand;

/**
 * The command line of the load generator and the measurements, {@code chivevale-load}.
 *
 * <p>Used by one thread.
 */
public final class LoadMain {
    private static final int USAGE_STATUS = 2;

    private LoadMain() {}

    /** Prints the help. */
    @Command(name = "help", description = "Show the commands")
    public static final class HelpCommand extends Help<Runnable> implements Runnable {}

    /**
     * Runs one command and exits with 0, or with 2 after wrong usage.
     *
     * @param args the command line; see {@code help}
     */
    public static void main(String[] args) {
        Cli<Runnable> cli =
                Cli.<Runnable>builder("chivevale-load")
                        .withDescription("Loads chivevale, checks its guarantees and measures it")
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
