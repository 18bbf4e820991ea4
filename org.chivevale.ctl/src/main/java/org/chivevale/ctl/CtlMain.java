package org.chivevale.ctl;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import org.chivevale.core.errors.ChivevaleException;

/**
 * The command line of the operators, {@code chivevalectl}.
 *
 * <p>Exit codes: 0 success, 1 rejected by the system, 2 wrong usage. Used by one thread.
 */
public final class CtlMain {
    private static final int REJECTED_STATUS = 1;
    private static final int USAGE_STATUS = 2;

    private CtlMain() {}

    /**
     * Runs one command and exits with its exit code.
     *
     * @param args the command line; see {@code help}
     */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /**
     * Runs one command and returns its exit code.
     *
     * @param args the command line; see {@code help}
     * @return 0, 1 or 2, as described above
     */
    public static int run(String... args) {
        try {
            Runnable command = cli().parse(args);
            boolean unknown =
                    command instanceof HelpCommand && args.length > 0 && !args[0].equals("help");
            if (unknown) {
                System.err.println("no command '" + String.join(" ", args) + "'; see 'help'");
                return USAGE_STATUS;
            }
            command.run();
            return 0;
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return USAGE_STATUS;
        } catch (ChivevaleException e) {
            System.err.println(e.code().number() + " " + e.code() + ": " + e.getMessage());
            return REJECTED_STATUS;
        }
    }

    private static Cli<Runnable> cli() {
        CliBuilder<Runnable> builder =
                Cli.<Runnable>builder("chivevalectl")
                        .withDescription("Operates chivevale")
                        .withDefaultCommand(HelpCommand.class)
                        .withCommands(
                                HelpCommand.class,
                                PlanCommands.NewKey.class,
                                PlanCommands.Plan.class,
                                PlanCommands.Confirm.class,
                                ReadCommands.Status.class,
                                ReadCommands.ShowConfiguration.class,
                                ReadCommands.History.class,
                                ReadCommands.Report.class);
        builder.withGroup("account")
                .withDescription("Client accounts, their rates and databases")
                .withCommands(
                        AccountCommands.AccountCreate.class,
                        AccountCommands.AccountChange.class,
                        AccountCommands.AccountRemove.class);
        builder.withGroup("rate")
                .withDescription("Rates and bursts of client accounts")
                .withCommands(AccountCommands.AccountChange.class);
        builder.withGroup("key")
                .withDescription("Keys of client accounts")
                .withCommands(AccountCommands.KeyCreate.class, AccountCommands.KeyWithdraw.class);
        builder.withGroup("database")
                .withDescription("Databases and their announcement credentials")
                .withCommands(
                        DatabaseCommands.DatabaseCreate.class,
                        DatabaseCommands.DatabaseChange.class,
                        DatabaseCommands.CredentialReplace.class);
        builder.withGroup("group")
                .withDescription("Database groups and their primaries")
                .withCommands(
                        DatabaseCommands.Switchover.class, DatabaseCommands.PromoteWithLoss.class);
        builder.withGroup("datacenter")
                .withDescription("Evacuation of data centres")
                .withCommands(
                        DataCenterCommands.Evacuate.class,
                        DataCenterCommands.Restore.class,
                        DataCenterCommands.EvacuationStatus.class);
        builder.withGroup("route")
                .withDescription(
                        "Read-only routes that are open without a key, and regions of routes")
                .withCommands(
                        RouteCommands.RouteOpen.class,
                        RouteCommands.RouteClose.class,
                        RouteCommands.RouteRegions.class);
        builder.withGroup("operator")
                .withDescription("Operators and their roles")
                .withCommands(OperatorCommands.OperatorCreate.class);
        return builder.build();
    }

    /**
     * Prints the help; needed since {@link Help} does not implement Runnable for this {@link Cli}.
     */
    @com.github.rvesse.airline.annotations.Command(name = "help", description = "Show the commands")
    public static final class HelpCommand extends Help<Runnable> implements Runnable {}
}
