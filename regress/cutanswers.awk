# Seeded plans of answers that end early (see fakecut.c), and what their callers
# may get.  With -v mode=plan: a file of curl's options for n requests to the
# address front.  With -v mode=check: reads the endpoints' logs and curl's
# results, and the replies in the directory dir.

function one_of(list,   w, k) {
	k = split(list, w, " ")
	return w[1 + int(rand() * k)]
}

# Where an answer is cut: near the end of its head, anywhere, or nowhere.
function place(whole_share,   r) {
	r = rand()
	if (r < whole_share)
		return "all"
	r = rand()
	if (r < 0.3)
		return "h" int(rand() * 9) - 6
	if (r < 0.4)
		return "h0"
	if (r < 0.6)
		return int(rand() * 220)
	return -1 - int(rand() * 150)
}

function plan(   i, route, form, how, target) {
	srand(seed)
	for (i = 1; i <= n; i++) {
		route = one_of("safe once tell tell")
		form = one_of(route == "tell" ? "length chunks chunks trailers early sealed old close close gone failed bare" : "length chunks trailers early sealed old close none bare gone failed busy")
		how = rand() < hush ? "hush" : one_of("fin rst")
		target = "/" route "/cut," form "," how "," one_of("0 0 1 2") "," place(0.1) "," place(0.4) "," place(0.4) "/" name "-" i
		print "url = \"http://" front target "\""
		print "header = \"Host: h.example\""
		print "header = \"Authorization: Token k1\""
		print "header = \"X-Attempt-Id: " name "-" i "\""
		print "header = \"X-Deadline-Ms: " (how == "hush" ? 1500 : 5000) "\""
		print "data = \"x\"\nsilent\nnoproxy = \"*\"\nmax-time = 20"
		print "output = \"" dir "/" name "-" i ".body\""
		print "dump-header = \"" dir "/" name "-" i ".head\""
		print "write-out = \"result " target " %{http_code} %{exitcode} %{time_total}\\n\""
		if (i < n)
			print "next"
	}
}

function slurp(file,   text, line) {
	text = ""
	RS = "\001"
	while ((getline line <file) > 0)
		text = text line
	close(file)
	RS = "\n"
	return text
}

function fault(why) {
	faults++
	print "FAULT: " why ": " $0 >"/dev/stderr"
}

function status_of(form) {
	return form == "gone" ? 404 : form == "failed" ? 500 : form == "busy" ? 503 : form == "none" ? 204 : 200
}

# The body of an answer to a 2xx that looks complete.
function check_whole(target, route, form, how, body, whole) {
	if (body == whole)
		return
	if ((form != "close" && form != "old") || how != "fin")
		fault("a part looks complete")
	else if (index(whole, body) != 1 || (route == "tell" && body !~ /\n\n$/))
		fault(body == "" && route == "tell" ? "an empty stream looks complete" : "ends inside an event and looks complete")
	else if (target in last_empty && last_empty[target])
		fault("resumed by nothing and looks complete")
}

function check_success(target, route, form, how, code, exit_code, sealed, body, whole) {
	if (!sealed)
		fault("a success without a seal")
	if (code != status_of(form) || form == "bare")
		fault("a success that no endpoint gave")
	if (exit_code == 0)
		check_whole(target, route, form, how, body, whole)
	else if (route != "tell" || index(whole, body) != 1 || (body != "" && body !~ /\n\n$/))
		fault("a part that is not the first one")
	tally[exit_code ? "broken" : body == whole ? "whole" : "part by its close"]++
}

function check(   target, w, p, route, form, how, i, code, exit_code, head, body, whole, sealed, k) {
	target = $2
	split(target, w, "/")
	route = w[2]
	i = w[4]
	split(w[3], p, ",")
	form = p[2]
	how = p[3]
	code = $3
	exit_code = $4
	head = slurp(dir "/" i ".head")
	body = slurp(dir "/" i ".body")
	sealed = head ~ /\r?\nX-Server-Seal: 3e1b\.07\r?\n/
	whole = form == "none" || route == "tell" ? "" : "ran " target "\n"
	for (k = 1; route == "tell" && k <= 5; k++)
		whole = whole "id: " k "\ndata: t" k "\n\n"
	if (status_of(form) >= 300)
		whole = "ran " target "\n"
	if (code == 0)
		fault("no answer")
	else if (code < 200 || code >= 600)
		fault("no status of an answer")
	else if (code < 300)
		check_success(target, route, form, how, code, exit_code, sealed, body, whole)
	else if (sealed && (code != status_of(form) || body != whole || exit_code != 0))
		fault("a failure that no endpoint gave")
	else if (!sealed && route == "once" && code ~ /^(408|421|429|503)$/ && ran[target])
		fault("refused, and has run")
	if (code >= 300)
		tally[sealed ? "failed at its endpoint" : "answered " code]++
	if (ran[target] > (route == "once" ? 1 : 2))
		fault("ran " ran[target] " times")
	if (how == "hush") {
		hushes++
		late += $5 > 2
	}
	cases++
	attempts[ran[target] > 2 ? 2 : ran[target] + 0]++
}

BEGIN {
	if (mode == "plan") {
		plan()
		exit
	}
}
/event=cut / && index($0, "/" name "-") {
	for (f = 1; f <= NF; f++) {
		eq = index($f, "=")
		v[substr($f, 1, eq - 1)] = substr($f, eq + 1)
	}
	ran[v["target"]]++
	cuts += v["sent"] + 0 < v["whole"] + 0
	in_head += v["sent"] + 0 < v["head"] + 0
	if (v["resumed"] + 0) {
		resumed++
		resumed_cut += v["sent"] + 0 < v["whole"] + 0
		last_empty[v["target"]] = v["sent"] + 0 <= v["head"] + 0
	}
}
/^result / { check() }
END {
	if (mode == "check") {
		print "requests " cases + 0 ", faults " faults + 0 ", half of the silent ones in time: " (2 * late <= hushes ? "yes" : late " of " hushes " late")
		print "attempts cut " cuts + 0 ", in their heads " in_head + 0 ", resumed " resumed + 0 ", of these cut " resumed_cut + 0 ", requests with 0, 1, 2 attempts " attempts[0] + 0 ", " attempts[1] + 0 ", " attempts[2] + 0 >"/dev/stderr"
		for (t in tally)
			print "  " t ": " tally[t] >"/dev/stderr"
	}
}
