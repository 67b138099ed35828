# Shared by the start scripts: builds when needed, then becomes the Java process.

# Builds with Maven if there is no build or a source is newer. Output goes to standard error.
build_if_needed() {
  local lib="$here/cli/target/lib" jar="$here/cli/target/crocusgrade-cli-0.1.0.jar"
  if [ -f "$jar" ] && [ -d "$lib" ] && [ -z "$(newer_sources "$jar")" ]; then
    return
  fi
  echo "crocusgrade: building" >&2
  rm -rf "$lib"
  (cd "$here" && mvn -B -ntp -q -DskipTests package) >&2 || exit 1
  touch "$jar"
}

newer_sources() {
  find "$here"/*/src/main "$here"/*/pom.xml "$here/pom.xml" -newer "$1" -type f -print -quit
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
  build_if_needed
  exec java "${flags[@]}" -Djava.net.preferIPv4Stack=true \
    -cp "$here/cli/target/crocusgrade-cli-0.1.0.jar:$here/cli/target/lib/*" "$main" "$@"
}
