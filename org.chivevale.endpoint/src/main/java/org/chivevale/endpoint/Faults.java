package org.chivevale.endpoint;

/**
 * Faults that tests and experiments set by command.
 *
 * <p>Thread safe.
 */
public final class Faults {
    private boolean silent;
    private volatile int lagMillis;
    private volatile int connectDelayMillis;
    private volatile int connectionLimit;

    /**
     * Creates the state without faults.
     *
     * @param connectDelayMillis what a new connection costs
     * @param connectionLimit connections that each group accepts
     */
    public Faults(int connectDelayMillis, int connectionLimit) {
        this.connectDelayMillis = connectDelayMillis;
        this.connectionLimit = connectionLimit;
    }

    /**
     * Starts or ends silence: nothing is read, answered or announced, and no connection is closed.
     *
     * @param newSilent true for silence
     */
    public synchronized void silence(boolean newSilent) {
        silent = newSilent;
        notifyAll();
    }

    /**
     * Waits for the end of silence.
     *
     * @throws InterruptedException when the thread is interrupted
     */
    public synchronized void awaitAudible() throws InterruptedException {
        while (silent) {
            wait();
        }
    }

    /**
     * Tells whether the endpoint is silent.
     *
     * @return true during silence
     */
    public synchronized boolean isSilent() {
        return silent;
    }

    /**
     * Returns how long a replica waits before it replays.
     *
     * @return milliseconds after receipt
     */
    public int lagMillis() {
        return lagMillis;
    }

    /**
     * Sets how long a replica waits before it replays.
     *
     * @param millis milliseconds after receipt
     */
    public void lagMillis(int millis) {
        lagMillis = millis;
    }

    /**
     * Returns what a new connection costs.
     *
     * @return milliseconds
     */
    public int connectDelayMillis() {
        return connectDelayMillis;
    }

    /**
     * Sets what a new connection costs.
     *
     * @param millis milliseconds
     */
    public void connectDelayMillis(int millis) {
        connectDelayMillis = millis;
    }

    /**
     * Returns how many connections each group accepts.
     *
     * @return the limit
     */
    public int connectionLimit() {
        return connectionLimit;
    }

    /**
     * Sets how many connections each group accepts.
     *
     * @param limit the limit
     */
    public void connectionLimit(int limit) {
        connectionLimit = limit;
    }
}
