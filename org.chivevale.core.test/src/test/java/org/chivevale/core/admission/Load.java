package org.chivevale.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.chivevale.core.account.ClientAccountId;
import org.chivevale.core.admission.EndpointSimulation.Request;

/** Generates the requests of 75 to 87 accounts, of which a few are large. Not thread safe. */
final class Load {
    static final long[] OBJECTIVE_MILLIS = {150, 300, 600};
    static final long[] REMAINING_MILLIS = {700, 1050, 1400};
    static final ClientAccountId LARGEST = account(0);
    private static final double[] CLASS_SHARES = {0.25, 0.35, 0.4};
    private static final double[] LARGE_ACCOUNT_SHARES = {0.15, 0.1, 0.08};
    private static final double MEAN_WORK_SECONDS = 0.025;
    private static final long SECOND = 1_000_000_000;

    private final long seed;
    private final int accounts;
    private final double perSecond;

    /** The utilization is that of the slots, without the opening of connections. */
    Load(long seed, int slots, double utilization) {
        this.seed = seed;
        this.accounts = 75 + new Random(seed).nextInt(13);
        this.perSecond = utilization * slots / MEAN_WORK_SECONDS;
    }

    private static ClientAccountId account(int number) {
        return new ClientAccountId("account-" + number);
    }

    List<Request> usual(int seconds) {
        return generate(new Random(seed + 1), 0, seconds, perSecond, -1, false);
    }

    /** Adds a span in which the least urgent class has a multiple of its usual load. */
    List<Request> burst(int seconds, double factor) {
        int lowest = CLASS_SHARES.length - 1;
        double more = perSecond * CLASS_SHARES[lowest] * (factor - 1);
        return merge(
                usual(seconds),
                generate(new Random(seed + 2), 5, seconds - 5, more, lowest, false));
    }

    /** Adds a span in which the largest account has a multiple of its usual load. */
    List<Request> surge(int seconds, double factor) {
        return surge(seconds, factor, -1);
    }

    /** The same with all of the additional load in one class; -1 for the usual classes. */
    List<Request> surge(int seconds, double factor, int onlyClass) {
        double more = perSecond * LARGE_ACCOUNT_SHARES[0] * (factor - 1);
        return merge(
                usual(seconds),
                generate(new Random(seed + 2), 5, seconds - 5, more, onlyClass, true));
    }

    private static List<Request> merge(List<Request> some, List<Request> more) {
        some.addAll(more);
        some.sort(Comparator.comparingLong(request -> request.arrivalNanos));
        return some;
    }

    private List<Request> generate(
            Random random, int from, int to, double rate, int onlyClass, boolean largestOnly) {
        List<Request> requests = new ArrayList<>();
        double at = from;
        while (true) {
            at -= Math.log(1 - random.nextDouble()) / rate;
            if (at >= to) {
                return requests;
            }
            int drawn = draw(random, CLASS_SHARES);
            int accountNumber = draw(random, LARGE_ACCOUNT_SHARES);
            if (accountNumber == LARGE_ACCOUNT_SHARES.length) {
                accountNumber += random.nextInt(accounts - accountNumber);
            }
            requests.add(
                    new Request(
                            largestOnly ? LARGEST : account(accountNumber),
                            onlyClass < 0 ? drawn : onlyClass,
                            (long) (at * SECOND),
                            (3 + random.nextInt(45)) * EndpointSimulation.MILLI));
        }
    }

    /** Returns an index by its share; the number of shares for what they leave. */
    private static int draw(Random random, double[] shares) {
        double left = random.nextDouble();
        for (int i = 0; i < shares.length; i++) {
            left -= shares[i];
            if (left < 0) {
                return i;
            }
        }
        return shares.length;
    }
}
