#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2. To be run after deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
source bin/java-launch.sh
jdk=$(dirname "$(dirname "$(find_java)")")
rm -rf target/review-2
mkdir -p target/review-2
"$jdk/bin/javac" -Xlint:all -d target/review-2 review/standins-2/*.java
