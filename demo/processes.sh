# Sourced by bin/demo and bin/bench-load with $label and $keep set: starts a store stand-in, two entries and four guards
# with endpoints on loopback, and stops them when the script exits.
built() {
	local module
	for module in daemon standins cli; do
		compgen -G "$module/target/coriandermux-$module-*.jar" >/dev/null && [[ -d "$module/target/lib" ]] || return 1
	done
}

if ! built; then
	echo "$label: building"
	mvn -B -q -o package -DskipTests || mvn -B -q package -DskipTests
fi

dir="$(mktemp -d)"
declare -A pids=()
finish() {
	local name
	for name in "${!pids[@]}"; do
		kill "${pids[$name]}" 2>/dev/null || true
	done
	for name in "${!pids[@]}"; do
		wait "${pids[$name]}" 2>/dev/null || true
	done
	if $keep; then
		echo "$label: settings and logs are in $dir"
	else
		rm -rf "$dir"
	fi
}
trap finish EXIT

standins="$(echo standins/target/coriandermux-standins-*.jar):standins/target/lib/*"

# run NAME COMMAND...: starts the command and records its process id. The command must exec its program, so that the id
# is that of the program.
run() {
	local name="$1"
	shift
	"$@" >"$dir/$name.log" 2>&1 </dev/null &
	pids[$name]=$!
}

standin() {
	exec java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx64m -cp "$standins" io.coriandermux.standins.StandInMain "$@"
}

# find_in_log NAME PATTERN: waits until a line in the log of the process matches and prints the group of the pattern.
find_in_log() {
	local found i
	for ((i = 0; i < 300; i++)); do
		found="$(sed -nE "s#.*$2.*#\\1#p" "$dir/$1.log" 2>/dev/null | head -n 1)"
		if [[ -n "$found" ]]; then
			echo "$found"
			return
		fi
		if ! kill -0 "${pids[$1]}" 2>/dev/null; then
			break
		fi
		sleep 0.1
	done
	echo "$label: $1 did not start:" >&2
	tail -n 20 "$dir/$1.log" >&2
	exit 1
}

ops() {
	bin/coriandermux "$@"
}

zones=(thess-a thess-b kavala thess-a)
speeds=(1 2 0.5 1.5)

run store standin store
for n in 1 2 3 4; do
	run "runner-$n" standin endpoint --name "runner-$n" --slots 6 --speed "${speeds[n - 1]}"
done
store="$(find_in_log store 'store ready at (http[^ ]+)')"

for owner in guild thornbury; do
	head -c 24 /dev/urandom | base64 >"$dir/$owner.key"
done
head -c 24 /dev/urandom | base64 >"$dir/installation.secret"
hash() {
	tr -d '\n' <"$dir/$1.key" | sha256sum | cut -d ' ' -f 1
}

for owner in guild thornbury; do
	ops pools set --owner "$owner" --editor demo --store "$store" --file "demo/pools-$owner.json" >>"$dir/tables.log"
done
for owner in guild thornbury; do
	ops routes set --owner "$owner" --editor demo --store "$store" --file "demo/routes-$owner.json" >>"$dir/tables.log"
done

for n in 1 2; do
	cat >"$dir/entry-$n.json" <<EOF
{"id": "entry-$n", "zone": "${zones[n - 1]}", "rack": "rack-$n", "address": "127.0.0.1", "callersPort": 0,
"operatorsPort": 0, "peerPort": 0, "stores": ["$store"], "secretFile": "installation.secret", "owners": [
{"owner": "guild", "keySha256": "$(hash guild)"}, {"owner": "thornbury", "keySha256": "$(hash thornbury)"}], "limits": {"drainMillis": 2000}}
EOF
	run "entry-$n" bin/coriandermuxd entry --settings "$dir/entry-$n.json"
done
processes=()
for n in 1 2 3 4; do
	url="$(find_in_log "runner-$n" 'ready at (http[^ ]+)')"
	processes+=(--process "runner-$n=$url")
	cat >"$dir/guard-$n.json" <<EOF
{"id": "guard-$n", "zone": "${zones[n - 1]}", "rack": "rack-$n", "address": "127.0.0.1", "operatorsPort": 0,
"peerPort": 0, "stores": ["$store"], "secretFile": "installation.secret", "endpoint": {"name": "runner-$n",
"url": "$url", "slots": 6, "capacity": {"cores": 60, "memoryMb": 250000, "accelerators": 0}}, "limits": {"drainMillis": 5000}}
EOF
	run "guard-$n" bin/coriandermuxd guard --settings "$dir/guard-$n.json"
done
declare -A operators=()
for n in 1 2; do
	processes+=(--process "entry-$n=http://127.0.0.1:$(find_in_log "entry-$n" 'callers at port ([0-9]+)')")
	processes+=(--process "entry-$n-ops=http://127.0.0.1:$(find_in_log "entry-$n" 'operators at port ([0-9]+)')")
done
for n in 1 2 3 4; do
	operators[guard-$n]="http://127.0.0.1:$(find_in_log "guard-$n" 'operators at port ([0-9]+)')"
	processes+=(--process "guard-$n-ops=${operators[guard-$n]}")
done

