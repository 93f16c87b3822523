# Generate code and documentation from settings.schema.
#   awk -v mode=header|source|man -f gen-settings.awk settings.schema
# Every value below comes from the schema; edit that and run "make generate".

function fail(why) {
	print FILENAME ":" FNR ": " why > "/dev/stderr"
	failed = 1
	exit 1
}

function ctype(t) {
	if (t == "int") return "int64_t "
	if (t == "bool") return "bool "
	if (t == "names" || t == "keys") return "char **"
	if (index(t, "|")) return "int "
	return "char *"
}

function enumtype(t) {
	if (index(t, "|")) return "CFG_ENUM"
	return "CFG_" toupper(t)
}

function cstring(s) {
	gsub(/"/, "\\\"", s)
	return "\"" s "\""
}

function rest(from,   i, s) {
	s = $from
	for (i = from + 1; i <= NF; i++) s = s " " $i
	return s
}

/^#/ || NF == 0 { next }

$1 == "group" {
	if ($3 != "single" && $3 != "named") fail("single or named expected")
	g = ++groups
	gname[g] = $2; gkind[g] = $3; gdoc[g] = rest(4)
	next
}

$1 == "key" {
	if (NF < 7) fail("too few fields")
	k = ++keys[g]
	kname[g, k] = $2; ktype[g, k] = $3; kdef[g, k] = $4
	kmin[g, k] = $5; kmax[g, k] = $6; kdoc[g, k] = rest(7)
	next
}

{ fail("group or key expected") }

function header(   g, k, i, n, w) {
	print "/* Generated from settings.schema by gen-settings.awk. */"
	print "#ifndef CQ_SETTINGS_GEN_H\n#define CQ_SETTINGS_GEN_H\n"
	print "#include <stdbool.h>\n#include <stdint.h>"
	for (g = 1; g <= groups; g++) {
		for (k = 1; k <= keys[g]; k++) {
			n = split(ktype[g, k], w, "|")
			if (n < 2) continue
			print "\n/* Values of " kname[g, k] " in group " gname[g] ". */"
			printf "enum cfg_%s_%s\n{\n", gname[g], kname[g, k]
			for (i = 1; i <= n; i++)
				printf "  CFG_%s_%s_%s%s\n", toupper(gname[g]), \
				    toupper(kname[g, k]), toupper(w[i]), i < n ? "," : ""
			print "};"
		}
		print "\n/* " gdoc[g] " */"
		print "struct cfg_" gname[g] "\n{"
		if (gkind[g] == "named")
			print "  char *id; /* Name in the group's header. */"
		for (k = 1; k <= keys[g]; k++)
			print "  " ctype(ktype[g, k]) kname[g, k] "; /* " kdoc[g, k] " */"
		print "};"
	}
	print "\n/* Groups of the settings, as indices of cfg_groups. */"
	print "enum cfg_group_id\n{"
	for (g = 1; g <= groups; g++) print "  CFG_" toupper(gname[g]) ","
	print "  CFG_GROUPS\n};\n\n#endif"
}

function source(   g, k, i, n, w, def) {
	print "/* Generated from settings.schema by gen-settings.awk. */"
	print "#include \"libsettings.h\"\n\n#include <stddef.h>"
	for (g = 1; g <= groups; g++) {
		for (k = 1; k <= keys[g]; k++) {
			n = split(ktype[g, k], w, "|")
			if (n < 2) continue
			printf "\nstatic const char *const words_%s_%s[] = {", gname[g], kname[g, k]
			for (i = 1; i <= n; i++) printf " \"%s\",", w[i]
			print " NULL };"
		}
		printf "\nstatic const struct cfg_key keys_%s[] = {\n", gname[g]
		for (k = 1; k <= keys[g]; k++) {
			def = kdef[g, k]
			printf "  { \"%s\", %s, offsetof (struct cfg_%s, %s), ", \
			    kname[g, k], enumtype(ktype[g, k]), gname[g], kname[g, k]
			printf "%s, ", (def == "!" ? "NULL" : def == "-" ? "\"\"" : "\"" def "\"")
			if (ktype[g, k] == "int")
				printf "%s, %s, ", kmin[g, k], kmax[g, k]
			else
				printf "0, 0, "
			if (index(ktype[g, k], "|"))
				printf "words_%s_%s, ", gname[g], kname[g, k]
			else
				printf "NULL, "
			print cstring(kdoc[g, k]) " },"
		}
		print "};"
	}
	print "\nconst struct cfg_group cfg_groups[CFG_GROUPS] = {"
	for (g = 1; g <= groups; g++)
		printf "  { \"%s\", %s, keys_%s, %d, sizeof (struct cfg_%s), %s },\n", \
		    gname[g], gkind[g] == "named" ? "true" : "false", gname[g], \
		    keys[g], gname[g], cstring(gdoc[g])
	print "};"
}

function man(   g, k, t) {
	for (g = 1; g <= groups; g++) {
		print ".Ss " gname[g] (gkind[g] == "named" ? " NAME" : "")
		print gdoc[g]
		print ".Bl -tag -width Ds"
		for (k = 1; k <= keys[g]; k++) {
			t = ktype[g, k]
			gsub(/\|/, " | ", t)
			print ".It Ic " kname[g, k] " No (" t ")"
			print kdoc[g, k]
			if (kdef[g, k] == "!") print "Required."
			else if (kdef[g, k] != "-") print "Default: " kdef[g, k] "."
			if (ktype[g, k] == "int") print "From " kmin[g, k] " to " kmax[g, k] "."
		}
		print ".El"
	}
}

END {
	if (failed) exit 1
	if (mode == "header") header()
	else if (mode == "source") source()
	else if (mode == "man") man()
	else fail("mode is header, source or man")
}
