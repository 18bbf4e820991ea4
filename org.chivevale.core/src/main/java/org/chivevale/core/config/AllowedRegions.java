package org.chivevale.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.chivevale.core.account.ClientAccountId;

/**
 * The regions whose endpoints may run a request.
 *
 * <p>Immutable and thread safe. Invariant: without a restriction the set of names is empty; with
 * one, only the named regions are permitted, which are none when two restrictions exclude each
 * other.
 *
 * @param isRestricted false when every region is permitted
 * @param names the permitted regions of a restriction
 */
public record AllowedRegions(boolean isRestricted, Set<String> names) {
    /** Permits every region. */
    public static final AllowedRegions ANY = new AllowedRegions(false, Set.of());

    public AllowedRegions {
        names = isRestricted ? Set.copyOf(names) : Set.of();
    }

    /**
     * Creates the regions of a route or client account.
     *
     * @param names the regions it is limited to; empty for every region
     * @return the regions
     */
    public static AllowedRegions of(List<String> names) {
        return names.isEmpty() ? ANY : new AllowedRegions(true, new HashSet<>(names));
    }

    /**
     * Returns the regions that a request on a route may run in.
     *
     * @param configuration the configuration in force
     * @param route the request's route
     * @param account the request's client account; without a restriction if it is not configured
     * @return the regions that route and account both permit
     */
    public static AllowedRegions ofRequest(
            Configuration configuration, Route route, ClientAccountId account) {
        return route.allowedRegions().intersect(ofAccount(configuration, account));
    }

    /**
     * Returns the regions that the requests of a client account may run in.
     *
     * @param configuration the configuration in force
     * @param account the client account; without a restriction if it is not configured
     * @return the regions that the account permits
     */
    public static AllowedRegions ofAccount(Configuration configuration, ClientAccountId account) {
        Account configured = configuration.account(account);
        return configured == null ? ANY : configured.allowedRegions();
    }

    /**
     * Combines two restrictions, which both apply.
     *
     * @param other the other restriction
     * @return the regions that both permit
     */
    public AllowedRegions intersect(AllowedRegions other) {
        if (!isRestricted) {
            return other;
        }
        if (!other.isRestricted) {
            return this;
        }
        Set<String> common = new HashSet<>(names);
        common.retainAll(other.names);
        return new AllowedRegions(true, common);
    }

    /**
     * Tells whether an endpoint in a region may run the request.
     *
     * @param region the endpoint's region
     * @return true when it is permitted
     */
    public boolean permits(String region) {
        return !isRestricted || names.contains(region);
    }

    /**
     * Tells whether no endpoint may run the request.
     *
     * @return true when the restrictions exclude each other
     */
    public boolean isEmpty() {
        return isRestricted && names.isEmpty();
    }

    /**
     * Lists the names as they are stored.
     *
     * @return the sorted names; empty when every region is permitted
     */
    public List<String> toList() {
        return new ArrayList<>(new TreeSet<>(names));
    }
}
