# Checks what endpoints saw, in the order of time, against what they had told
# VMs: lines of soak.sh.  A request counts for the VM that sent it there.  A VM that was restarted or suspended since it was told
# is excused.
function at(text,  p) {
	split(substr(text, 6), p, /[-T:Z]/)
	return p[3] * 86400 + p[4] * 3600 + p[5] * 60 + p[6]
}
function value(text) { return substr(text, index(text, "=") + 1) }
function excuse(vm,  e) {
	for (e in leaves) delete told[e, vm]
	for (e in limit) delete limited[e, vm]
	for (e in names) delete rest[e, vm]
}
# A new start of E has said nothing.
function forget(list, e,  k) {
	for (k in list) if (index(k, e SUBSEP) == 1) delete list[k]
}
# Arrivals at an endpoint with a limit, from VMs that know it.
function over(e, now,  i, n) {
	for (i = count[e]; i > 0 && now - arrived[e, i] <= 4; i--)
		n++
	return n > 6 * limit[e] + 5
}
{ now = at($1) }
$2 ~ /^note=/ {
	event = value($2); name = value($3)
	if (event == "restart" || event == "freeze") excuse(name)
	else if (event == "leaves") leaves[name] = now
	else if (event == "stays") { delete leaves[name]; forget(told, name); forget(rest, name) }
	else if (event == "limit") { limit[name] = value($4); since[name] = now; count[name] = 0 }
	else if (event == "lift") { delete limit[name]; forget(limited, name) }
	next
}
$2 == "sends" { sender[value($3), value($5)] = value($4); next }
{
	e = value($3); vm = value($4); names[e] = 1; arrivals++
	# The last part of the key numbers the requests with one id.
	req = value($6); sub(/\.[0-9]*$/, "", req)
	if ((e, req) in sender) vm = sender[e, req]
	if ((e, vm) in rest && now > rest[e, vm] + 0.5 && now < rest[e, vm] + 3 && ++spent[e, vm] == 3)
		print $1, e, "had asked", vm, "for rest"
	if ($2 == "refused") { rest[e, vm] = now; spent[e, vm] = 0; next }
	if (e in leaves) {
		if (!((e, vm) in told)) told[e, vm] = now
		else if (now - told[e, vm] > 2) print $1, e, "had told", vm, "that it leaves"
	}
	if (e in limit) {
		if (!((e, vm) in limited)) limited[e, vm] = now
		else if (now - limited[e, vm] > 0.5) {
			arrived[e, ++count[e]] = now
			if (now - since[e] > 7 && over(e, now)) print $1, e, "had named a limit of", limit[e]
		}
	}
}
END { if (arrivals > 300) print "endpoints were reached" }
