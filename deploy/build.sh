#!/usr/bin/env bash
# Builds what runs on the platform into target/: a Java runtime, the jars, and the launcher's argument files.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/java-launch.sh
mvn -B -ntp -q -DskipTests -Dspotless.check.skip -Dcheckstyle.skip package
jdk=$(dirname "$(dirname "$(find_java)")")
rm -rf target/runtime target/app
mkdir -p target/app
cp platform/target/sequoianotch-platform-*.jar platform/target/lib/*.jar target/app/
"$jdk/bin/jlink" --output target/runtime --strip-debug --no-header-files --no-man-pages \
    --add-modules java.base,java.logging,java.management,java.desktop,java.sql,java.naming,java.xml,java.compiler,jdk.unsupported,jdk.net
mv target/app/sequoianotch-platform-*.jar target/app/sequoianotch-platform.jar
for role in node control; do
    cp "deploy/$role.jvm" "target/$role.jvm"
done
# The self-test loads what a process needs; the archive spares each start the loading and checking of these classes.
target/runtime/bin/java -Xshare:dump -XX:+UseSerialGC -XX:+UseCompactObjectHeaders -Xmx128m -Xlog:disable
target/runtime/bin/java @target/node.jvm -XX:ArchiveClassesAtExit=target/app.jsa \
    -jar target/app/sequoianotch-platform.jar self-test --requests 500
for role in node control; do
    echo "-XX:SharedArchiveFile=target/app.jsa" >> "target/$role.jvm"
done
