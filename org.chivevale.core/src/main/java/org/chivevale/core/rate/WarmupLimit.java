package org.chivevale.core.rate;

/**
 * How many requests a cold endpoint may receive.
 *
 * <p>Immutable.
 *
 * @param ratePerSecond the requests per second that it can take
 * @param overshoot the factor by which one second may exceed the rate
 * @param slack the requests that may come on top in one second
 */
public record WarmupLimit(double ratePerSecond, double overshoot, double slack) {
    /**
     * Returns the bound for any second.
     *
     * @return the most requests that all proxies together may send within one second
     */
    public double bound() {
        return ratePerSecond * overshoot + slack;
    }
}
