# Shared by the launch scripts: finds a JDK 25 or later and the built jars. Sourced, not run.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)

java_major() {
    [ -x "$1/bin/java" ] || return 1
    "$1/bin/java" -XshowSettings:properties -version 2>&1 | sed -n 's/^ *java.specification.version = \([0-9]*\).*/\1/p'
}

find_java() {
    local home major
    for home in "${JAVA_HOME:-}" /usr/lib/jvm/* "$HOME"/.sdkman/candidates/java/* "$HOME"/.jdks/*; do
        [ -n "$home" ] || continue
        major=$(java_major "$home") || continue
        if [ -n "$major" ] && [ "$major" -ge 25 ]; then
            echo "$home/bin/java"
            return 0
        fi
    done
    echo "No JDK 25 or later was found. Set JAVA_HOME to one." >&2
    return 1
}

# Prints the class path of a module: its jar and the libraries that the build put beside it.
class_path() {
    local target=$root/$1/target
    local jar=$target/$1-0.1.0-SNAPSHOT.jar
    if [ ! -f "$jar" ]; then
        echo "$1 is not built. Run: mvn package" >&2
        return 1
    fi
    echo "$jar:$target/lib/*"
}
