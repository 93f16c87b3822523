# Which safeguard has which effect: the deciding code in simulated time, over
# all combinations of a few faults in a run.  With nothing switched off, no run
# may break a property; with a safeguard switched off, some run must, or the
# loss of that safeguard would go unnoticed here.  The counts are those of the
# search and change with any time constant in the code: a line is right as long
# as it says "found" or "not found" as here.
model=${CQ_MODEL:-./model}
echo "== lease and orders, without:"
$model lease
echo "== announcements of weights, without:"
$model announcements
echo "== revoked keys, without:"
$model keys
