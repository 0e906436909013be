#!/usr/bin/env bash
# Builds the files for the platform into target/: a Java runtime, the jar, and the argument files of the java launcher.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/java-launch.sh
mvn -B -ntp -q -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package
jdk=$(dirname "$(dirname "$(find_java)")")
rm -rf target/runtime target/app
mkdir -p target/app
cp platform/target/sequoianotch-platform-*-all.jar target/app/sequoianotch-platform.jar
# Netty loads the native library for the processor architecture from this folder; from the jar, it would write a copy to
# disk at each start. The jar has one library for x86-64 and one for arm64.
(cd target/app && "$jdk/bin/jar" -x -f sequoianotch-platform.jar META-INF/native && mv META-INF/native/*.so . && rm -r META-INF)
"$jdk/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages \
    --add-modules java.base,java.logging,java.management,java.desktop,java.sql,java.naming,java.xml,java.compiler,jdk.unsupported,jdk.net
for role in node control; do
    cp "deploy/$role.jvm" "target/$role.jvm"
done
# The class archive saves each start from loading, verifying and linking the classes, and from generating those of
# lambda expressions. The self-test loads the classes that serve requests; a control host and a node, started and
# stopped once each, load those of a start and a stop. The archive is dumped with G1, because other collectors do not
# store objects in it; every collector can read them. The platform sets -Xshare:auto, which cannot be combined with the
# newer option AOTCache.
java=target/runtime/bin/java
options=target/training.options
classes=target/training.classes
cp target/node.jvm "$options"
"$java" "@$options" -XX:DumpLoadedClassList="$classes" \
    -jar target/app/sequoianotch-platform.jar self-test --requests 500
pids=()
# Addresses in the upper half of the loopback range that differ between concurrent builds, as those of the self-test.
prefix="127.$((128 + ($$ >> 8 & 0x7f))).$(($$ & 0xff))"
for role in control node; do
    case $role in control) ip="$prefix.200" ;; node) ip="$prefix.201" ;; esac
    settings="target/training.$role.ini"
    printf '%s\n' "[host]" "name = training-$role" "data_centre = training" "region = training" "ip = $ip" \
        "service = training" "backend_address = $ip:18301" "[listen]" "callers = $ip:18304" "ready = $ip:18302" \
        "control = $ip:18306" "peer_port = 18320" "metrics_port = 18321" "[deployment]" "key = only-for-training" \
        "seeds = $prefix.200:18306" "first_start = true" "[control]" "data_folder = target/training.data" > "$settings"
    SEQUOIANOTCH_CONFIG="$settings" "$java" "@target/$role.jvm" -XX:DumpLoadedClassList="$classes.$role" \
        -jar target/app/sequoianotch-platform.jar "$role" > "target/training.$role.log" &
    pids+=("$!")
done
sleep 4
kill "${pids[@]}"
wait "${pids[@]}"
# The numbers of classes differ between the lists, and are only needed for class loaders that the programs do not use.
cat "$classes" "$classes.control" "$classes.node" | sed 's/ id: [0-9]*$//' | awk '!seen[$0]++' > "$classes.all"
mv "$classes.all" "$classes"
# Leaves out the command line parser, which only the self-test uses.
sed -i '/^com\/github\/rvesse/d' "$classes"
sed -i 's/^-XX:+UseSerialGC$/-XX:+UseG1GC/' "$options"
"$java" "@$options" -Xshare:dump -XX:+AOTClassLinking -XX:SharedClassListFile="$classes" \
    -XX:SharedArchiveFile=target/app.jsa -jar target/app/sequoianotch-platform.jar
rm -rf target/training.*
for role in node control; do
    echo "-XX:SharedArchiveFile=target/app.jsa" >> "target/$role.jvm"
done
# Fails the build if the archive cannot be used.
"$java" @target/node.jvm -Xshare:on -jar target/app/sequoianotch-platform.jar self-test --requests 1
