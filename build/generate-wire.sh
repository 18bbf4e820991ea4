#!/usr/bin/env bash
# Regenerates org.chivevale.wire/src/generated from wire.proto with protoc from Maven Central.
set -euo pipefail
cd "$(dirname "$0")/.."
version=$(sed -n 's:.*<protobuf.version>\(.*\)</protobuf.version>.*:\1:p' pom.xml)
case "$(uname -m)" in
    aarch64) classifier=linux-aarch_64 ;;
    *) classifier=linux-x86_64 ;;
esac
mvn -q -B dependency:copy -Dartifact="com.google.protobuf:protoc:$version:exe:$classifier" \
    -DoutputDirectory="$PWD/target/protoc" -N
protoc=$(ls target/protoc/protoc-*.exe)
chmod +x "$protoc"
rm -rf org.chivevale.wire/src/generated/java/*
"$protoc" -Iorg.chivevale.wire/src/main/proto \
    --java_out=org.chivevale.wire/src/generated/java org.chivevale.wire/src/main/proto/wire.proto
