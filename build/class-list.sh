#!/usr/bin/env bash
# Regenerates deploy/classes.lst, the class list of the class data sharing archive that deploy/system.toml builds.
# The list holds the classes that the platform programs load at startup and those that PlatformPathTest loads.
# Missing classes and classes that no longer exist do no harm beyond a slower start.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mvn -q -B -ntp -DskipTests package -pl platform -am
mvn -q -B -ntp test -pl platform -am -Dtest=PlatformPathTest -Dsurefire.failIfNoSpecifiedTests=false \
    -DargLine="-XX:+UseSerialGC -XX:DumpLoadedClassList=$work/path.lst" > "$work/test.log"

cat > "$work/proxy.toml" <<END
id = "p"
region = "r"
data_center = "d"
http_api = false
control = ["127.0.0.1:1"]
[platform]
client_listen = "127.0.0.1:0"
ready_listen = "127.0.0.1:0"
metrics_listen = "127.0.0.1:0"
END
cat > "$work/control.toml" <<END
id = "c"
region = "r"
data_center = "d"
operator_api = false
admin_listen = "127.0.0.1:0"
wire_listen = "127.0.0.1:0"
data_folder = "$work/data"
[replication]
first = true
seeds = ["127.0.0.1:1"]
[platform]
control_listen = "127.0.0.1:0"
promote_address = "127.0.0.1:1"
[platform.regions]
"d" = "r"
END
for role in Proxy Control; do
    settings=$work/$(echo "$role" | tr '[:upper:]' '[:lower:]').toml
    CHIVEVALE_SETTINGS=$settings java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:DumpLoadedClassList="$work/$role.lst" \
        -Dorg.jboss.logging.provider=slf4j -Dslf4j.provider=ch.qos.logback.classic.spi.LogbackServiceProvider \
        -Dvertx.disableDnsResolver=true -Dio.netty.jfr.enabled=false -Djna.nounpack=true -Djna.boot.library.path=target/native/com/sun/jna/linux-x86-64:target/native/com/sun/jna/linux-aarch64 \
        -cp target/chivevale-platform.jar "org.chivevale.platform.Platform${role}Main" > "$work/$role.log" &
    program=$!
    until grep -q '"started ' "$work/$role.log" 2> /dev/null; do
        kill -0 "$program"
        sleep 0.1
    done
    kill "$program"
    wait "$program" || true
done
grep -hvE 'surefire|junit|opentest4j|jqwik|standin|apiguardian' "$work"/*.lst \
    | awk '!seen[$0]++' > deploy/classes.lst
wc -l deploy/classes.lst
