# Plays the case `name`, whose record goes to `folder`, from the root of the repository. To be sourced.
# Whatever happens, the processes that the case has started are ended, by their ids.
[ -x target/review/cases ] && [ -x target/release/corneltrestle-node ] || exit 2
scratch=$(mktemp -d) || exit 2
end() {
    trap '' INT TERM HUP
    kill -KILL "$player" 2>/dev/null
    wait "$player" 2>/dev/null
    while read -r pid; do
        if tr '\0' ' ' 2>/dev/null < "/proc/$pid/cmdline" | grep -qF "$scratch"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done < <(cat "$scratch/pids" 2>/dev/null)
    rm -rf "$scratch"
}
trap end EXIT
trap 'exit 2' INT TERM HUP
TROUBLE="$TROUBLE" target/review/cases "$name" "$folder/record.txt" "$scratch" &
player=$!
wait "$player"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
