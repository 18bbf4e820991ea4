package review.standin;

import java.nio.file.Path;

/** A case: runs it and ends with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
abstract class Scenario {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;
    private static final long PROMOTE_MILLIS = 1000;

    /** False for the run without the disruption. */
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));

    Record record;
    Platform platform;
    Deployment deployment;

    /** Plays the case; returns one of the three exit codes. */
    abstract int play() throws Exception;

    /** Runs a case in a folder, which gets its record. */
    static void main(Scenario scenario, String[] args) {
        Path root = Path.of(args[0]).toAbsolutePath();
        int code = NOT_RUN;
        try (Record record = new Record(Path.of(args[1]).resolve("record.txt"));
                Platform platform = new Platform(record, PROMOTE_MILLIS);
                Deployment deployment = new Deployment(root, record, platform.address())) {
            scenario.record = record;
            scenario.platform = platform;
            scenario.deployment = deployment;
            record.say("disruption: %s", scenario.hasTrouble ? "yes" : "no");
            try {
                code = scenario.play();
            } catch (Exception e) {
                record.say("the case could not run: %s", e);
            }
            record.say("result: %d", code);
        } catch (Exception e) {
            System.out.println("the case could not run: " + e);
        }
        System.exit(code);
    }
}
