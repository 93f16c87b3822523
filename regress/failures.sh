# Guards against requests to failed endpoints for as long as each VM has to
# find them by itself, and against reports that take live endpoints away: the
# placement and health of endpoints in simulated time, the old rule beside the
# new one.  140 endpoints, 12 requests a second for each; the named ones accept
# no connections for 12 s.
#
#   dead_sends       attempts at failed endpoints by all VMs
#   waited_s         time that requests waited for their connections
#   known_ms         until a VM avoids a failed endpoint: median/95 percent of
#                    all pairs; unaware: pairs that did not until it was back
#   false_own        ejections of live endpoints on a VM's own failures
#   false_reported   the same on reports of others
#   false_elsewhere  of both, at VMs other than the one at fault
#   most_out         endpoints that one VM avoided on reports, at most; half of
#                    them may be
#   out_2s, out_5s   pairs that still avoid an endpoint so long after it is back
#   refused          requests that tried five endpoints in vain
#
# The rule "trial" has 80 ms for a connection and ejects after one failure.
failures=${CQ_FAILURES:-./failures}
$failures
