package review.standin;

import java.util.ArrayList;
import java.util.List;

/** Builds configurations as an operator sends them. */
final class Configs {
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private final List<String> tenants = new ArrayList<>();

    Configs route(String host, String type, String service, int timeoutMillis, int stalenessMillis) {
        String staleness =
                stalenessMillis == 0 ? "" : ",\"max_staleness_ms\":" + stalenessMillis;
        routes.add(
                String.format(
                        "{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"/\",\"type\":\"%s\","
                                + "\"timeout_ms\":%d,\"target_latency_ms\":800,\"priority\":1,"
                                + "\"service\":\"%s\",\"attempts\":2,\"allow_anonymous\":false%s}",
                        host, host, type, timeoutMillis, service, staleness));
        return this;
    }

    Configs service(String name, int maxConnections, int syncReplicas) {
        services.add(
                String.format(
                        "{\"name\":\"%s\",\"health_path\":\"/health\",\"max_conns\":%d,"
                                + "\"protocol\":\"h1\",\"tls\":false,\"sync_replicas\":%d}",
                        name, maxConnections, syncReplicas));
        return this;
    }

    Configs tenant(String name, String key) {
        tenants.add(
                String.format(
                        "{\"name\":\"%s\",\"api_keys\":[\"%s\"],\"priority\":1,"
                                + "\"rate_per_s\":2000,\"burst\":2000}",
                        name, key));
        return this;
    }

    String build(long version) {
        return String.format(
                "{\"version\":%d,\"routes\":[%s],\"services\":[%s],"
                        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
                        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
                        + "\"tx_idle_ms\":3000},\"tenants\":[%s]}",
                version,
                String.join(",", routes),
                String.join(",", services),
                String.join(",", tenants));
    }
}
