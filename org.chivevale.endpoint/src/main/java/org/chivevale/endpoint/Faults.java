package org.chivevale.endpoint;

/**
 * Faults that tests and experiments inject.
 *
 * <p>Thread safe.
 */
public final class Faults {
    private boolean silent;
    private volatile int lagMillis;
    private volatile int connectDelayMillis;
    private volatile int connectionLimit;

    /**
     * Creates the initial state without faults.
     *
     * @param connectDelayMillis delay added to each new connection
     * @param connectionLimit maximum number of connections per group
     */
    public Faults(int connectDelayMillis, int connectionLimit) {
        this.connectDelayMillis = connectDelayMillis;
        this.connectionLimit = connectionLimit;
    }

    /**
     * Makes the endpoint unresponsive or responsive.
     *
     * <p>A silent endpoint processes, sends and announces nothing, but leaves its connections open.
     *
     * @param newSilent true to make it unresponsive
     */
    public synchronized void setSilent(boolean newSilent) {
        silent = newSilent;
        notifyAll();
    }

    /**
     * Waits until the endpoint is not silent.
     *
     * @throws InterruptedException when the thread is interrupted
     */
    public synchronized void awaitNotSilent() throws InterruptedException {
        while (silent) {
            wait();
        }
    }

    /**
     * Tells whether the endpoint is silent.
     *
     * @return true while it is unresponsive
     */
    public synchronized boolean isSilent() {
        return silent;
    }

    /**
     * Returns the replay lag of replicas.
     *
     * @return the delay between the receipt and the replay of a record
     */
    public int lagMillis() {
        return lagMillis;
    }

    /**
     * Sets the replay lag of replicas.
     *
     * @param millis the delay between the receipt and the replay of a record
     */
    public void lagMillis(int millis) {
        lagMillis = millis;
    }

    /**
     * Returns the delay added to each new connection.
     *
     * @return the delay in milliseconds
     */
    public int connectDelayMillis() {
        return connectDelayMillis;
    }

    /**
     * Sets the delay added to each new connection.
     *
     * @param millis the delay in milliseconds
     */
    public void connectDelayMillis(int millis) {
        connectDelayMillis = millis;
    }

    /**
     * Returns the maximum number of connections per group.
     *
     * @return the limit
     */
    public int connectionLimit() {
        return connectionLimit;
    }

    /**
     * Sets the maximum number of connections per group.
     *
     * @param limit the limit
     */
    public void connectionLimit(int limit) {
        connectionLimit = limit;
    }
}
