# Starts programs on free loopback ports for the demo and the measurements, and terminates them on exit;
# sourced by those scripts.
dir=$(mktemp -d "${TMPDIR:-/tmp}/plantainloom-run.XXXXXX")
pids=()
finish() {
  local code=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$code" -eq 0 ]; then rm -rf "$dir"; else echo "logs are in $dir" >&2; fi
}
trap finish EXIT

# start PROGRAM NAME TEMPLATE [KEY=VALUE...]: renders the settings template and starts the program.
start() {
  local program=$1 name=$2 template=$3
  shift 3
  settings "$template" "$dir/$name.jsonc" "NAME=$name" "$@"
  "bin/$program" --config "$dir/$name.jsonc" >"$dir/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

# address NAME: waits until the program listens, then prints its address.
address() {
  for _ in $(seq 300); do
    if [ -s "$dir/$1.address" ]; then
      cat "$dir/$1.address"
      return
    fi
    sleep 0.05
  done
  echo "$1 did not start:" >&2
  tail -5 "$dir/$1.log" >&2
  exit 1
}

# settings TEMPLATE TARGET [KEY=VALUE...]: replaces each @KEY@ of the template, and @DIR@, in TARGET.
settings() {
  local template=$1 target=$2
  shift 2
  local script="s|@DIR@|$dir|g"
  for pair in "$@"; do script="$script;s|@${pair%%=*}@|${pair#*=}|g"; done
  case $template in
    /*) ;;
    *) template="examples/$template" ;;
  esac
  sed "$script" "$template" >"$target"
}
