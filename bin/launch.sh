# Functions of the start scripts: build if needed, then replace the shell by the Java process.

lib="$here/target/crocusgrade-cli/lib"
jar="$here/target/crocusgrade-cli/crocusgrade-cli-0.1.0.jar"

# Builds with Maven if there is no build or a source is newer. Output goes to standard error.
build_if_needed() {
  if [ -f "$jar" ] && [ -d "$lib" ] && [ -z "$(newer_sources)" ]; then
    return
  fi
  echo "crocusgrade: building" >&2
  rm -rf "$lib"
  (cd "$here" && mvn -B -ntp -q -DskipTests package) >&2 || exit 1
  rm -f "$here"/target/crocusgrade-cli/*.jsa
  touch "$jar"
}

newer_sources() {
  find "$here"/*/src/main "$here"/*/pom.xml "$here/pom.xml" -newer "$jar" -type f -print -quit
}

class_path() {
  printf '%s' "$jar"
  printf ':%s' "$lib"/*.jar
}

# launch MAIN JVM-FLAG... -- ARGUMENT...
launch() {
  local main="$1" flags=()
  shift
  while [ "$1" != "--" ]; do
    flags+=("$1")
    shift
  done
  shift
  exec java "${flags[@]}" -Djava.net.preferIPv4Stack=true -cp "$(class_path)" "$main" "$@"
}
